//===- SharedChanges.h - Changes made once for many hosts -------*- C++ -*-===//
#pragma once

#include "FleetMessages.h"

namespace pepperlug::fleet
{

/// Time for which a snapshot is sent to hosts that have no state. They get what has changed since with their next poll.
constexpr Milliseconds SnapshotLifetime{500};

/// Hosts that are sent the same changes of the registry.
struct Audience {
    UpdateRecipient reader{};
    std::uint64_t since = 0; ///< registry version that they have; 0: they are sent a snapshot
    bool hasNoState = false; ///< entry hosts that have no routing either
    auto operator<=>(const Audience &) const = default; // NOLINT(modernize-use-nullptr): the check misreads this line
};
Audience audienceOf(const FleetWatchCall &call);

/// Changes of the registry as sent to one audience.
struct SharedChanges {
    TimePoint madeAt{};
    std::uint64_t version = 0; ///< of the registry, up to which they reach
    RegistryChanges changes;
    std::vector<std::string> packed; ///< packChanges(); empty if they are few
    std::vector<TargetReport> cachedTargets; ///< not reported since the restart; for hosts without state
    std::vector<std::string> packedCachedTargets; ///< packTargets(); empty if they are few
    /// Copies the changes into a reply, packed if the sender of the call reads that.
    void copyTo(FleetWatchReply &reply, const FleetWatchCall &call) const;
};

/// Keeps changes for all hosts of an audience that poll at the same version of the registry, or, for a snapshot, within
/// SnapshotLifetime.
class ChangesCache
{
public:
    /// `cachedTargets`: known from before a restart.
    const SharedChanges &changesFor(const Audience &audience, const Registry &registry,
                                    const std::vector<TargetReport> &cachedTargets, TimePoint now);
    /// Removes what no further host will be sent; to be called regularly.
    void removeExpired(TimePoint now);
    /// Returns how often changes have been made.
    std::uint64_t madeCount() const;

private:
    std::map<Audience, SharedChanges> m_changes;
    std::uint64_t m_madeCount = 0;
};

} // namespace pepperlug::fleet
