//===- CachedState.h - What a control host knew before a restart -*- C++ -*-===//
//
// After a restart of all control hosts nobody knows the targets until each has
// reported itself, and nobody knows the routing until a leader is elected again.
// Entry hosts that start at the same time would refuse everything meanwhile. So
// each control host keeps a file of what it knew last, and gives it to entry
// hosts that know nothing yet. It is a hint: nothing is promised upon it, and any later
// news goes before it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Quarantine.h"
#include "pepperlug/Quota.h"

namespace pepperlug::fleet
{

struct CachedState {
    RoutingState routing; ///< as it was agreed on
    std::vector<TargetReport> targets; ///< ready and warm ones
    std::vector<SuspectReport> suspects; ///< ages as of the writing
    std::vector<TenantLoad> loads{}; ///< of tenants near their limits
};

CachedState makeCachedState(const RoutingState &routing, const Registry &registry);

/// Replaces the file in one step and syncs it. Throws Error.
void writeCachedState(const std::string &path, const CachedState &remembered);

/// Nothing if there is no file. Throws Error if it can't be read.
std::optional<CachedState> readCachedState(const std::string &path);

/// The remembered targets of which the registry has not heard yet.
std::vector<TargetReport> unreportedTargets(const std::vector<TargetReport> &targets, const Registry &registry);

} // namespace pepperlug::fleet
