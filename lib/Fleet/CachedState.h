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
#include "pepperlug/Routes.h"

namespace pepperlug::fleet
{

struct CachedState {
    RoutingState routing; ///< committed routing
    std::vector<TargetReport> targets; ///< ready and warm targets
    std::vector<SuspectReport> suspects; ///< ages at the time of writing
};

/// What has changed since a cached state was written.
struct RecentChanges {
    RoutingState routing;
    std::vector<std::string> changedTargets; ///< ids
    std::vector<TargetReport> targets; ///< those of them that are ready and warm
    std::vector<SuspectReport> suspects;
};

CachedState makeCachedState(const RoutingState &routing, const Registry &registry);
/// `version`: of the registry when the cached state was made.
RecentChanges makeRecentChanges(const RoutingState &routing, const Registry &registry, std::uint64_t version,
                                TimePoint now);

/// Replaces the file atomically and syncs it. Throws Error.
void writeCachedState(const std::string &path, const CachedState &state);
/// Writes the changes since the state in the file at `path` to another one beside it. Throws Error.
void writeRecentChanges(const std::string &path, const RecentChanges &changes);

/// Returns the state with the changes that were written since, or nothing if there is no file. Throws Error if one
/// can't be read.
std::optional<CachedState> readCachedState(const std::string &path);

/// Returns the time from one write of all targets to the next, which use a bounded share of a processor.
Duration cacheWriteInterval(std::size_t targets);

/// Returns the cached targets for which the registry has no report yet.
std::vector<TargetReport> unreportedTargets(const std::vector<TargetReport> &targets, const Registry &registry);

} // namespace pepperlug::fleet
