//===- CachedState.h - Control host state from before a restart -*- C++ -*-===//
//
// After a restart of all control hosts the targets are unknown until each has
// reported, and the routing is unknown until a leader is elected. Entry hosts
// that start at the same time would refuse all requests meanwhile. Therefore
// each control host keeps a file with its last state and sends it to entry
// hosts that have no state yet. It is only a hint: nothing is acknowledged
// based on it, and any later update takes precedence.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Quarantine.h"
#include "pepperlug/Quota.h"

namespace pepperlug::fleet
{

struct CachedState {
    RoutingState routing; ///< committed routing
    std::vector<TargetReport> targets; ///< ready and warm targets
    std::vector<SuspectReport> suspects; ///< ages at the time of writing
    std::vector<TenantLoad> loads{}; ///< of tenants near their limits
};

CachedState makeCachedState(const RoutingState &routing, const Registry &registry);

/// Replaces the file atomically and syncs it. Throws Error.
void writeCachedState(const std::string &path, const CachedState &state);

/// Returns nothing if there is no file. Throws Error if it can't be read.
std::optional<CachedState> readCachedState(const std::string &path);

/// Returns the cached targets for which the registry has no report yet.
std::vector<TargetReport> unreportedTargets(const std::vector<TargetReport> &targets, const Registry &registry);

} // namespace pepperlug::fleet
