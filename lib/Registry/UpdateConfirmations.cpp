//===- UpdateConfirmations.cpp - Which hosts have confirmed which updates -===//
//
// A control host receives polls from its own followers alone. All others it covers by the confirmations of the other
// control hosts, each of which includes the hosts that follow it at the time of the confirmation. Confirmed versions
// may therefore decrease, as when an entry host with older versions begins to follow; to confirm too little is always
// safe.
//
// A confirmation of a version is made after the version exists. So if no confirmation is missing at a time T, an entry
// host has the update if it polled a control host within the lease before T and before the update was made, whichever
// control host it has followed since: the one that it polled then counts it until T. That holds only as long as no
// follower is removed before its lease is over, which is why a host that has moved keeps its lease.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Registry.h"

#include <algorithm>
#include <limits>

namespace pepperlug::fleet
{

namespace
{

/// Pairs of versions kept for each control host. At most several replies arrive in each tick of 25 ms, and followers
/// confirm within about a second: a few hundred pairs hold all that is of use.
constexpr std::size_t MaxVersionPairs = 256;
/// Leases after which a silent follower is removed. After the first it is not waited for; the second allows for callers
/// whose times were read in another order.
constexpr int LeasesUntilRemoved = 2;

// Returns the first pair that a host at version `own` has not reached.
template <typename Pairs>
auto firstUnreached(Pairs &pairs, std::uint64_t own)
{
    return std::partition_point(pairs.begin(), pairs.end(), [&](const auto &pair) { return pair.own <= own; });
}

} // namespace

UpdateConfirmations::UpdateConfirmations(Duration lease)
    : m_lease(lease)
{
}

bool UpdateConfirmations::isInLease(const Follower &follower, TimePoint now) const
{
    return now - follower.polledAt <= m_lease;
}

UpdateVersions UpdateConfirmations::lowestFollowerVersions(TimePoint now) const
{
    UpdateVersions lowest = UpdateVersions::max();
    for (const auto &[id, follower] : m_followers) {
        if (!isInLease(follower, now)) {
            continue;
        }
        lowest.registryVersion = std::min(lowest.registryVersion, follower.applied.registryVersion);
        lowest.routingIndex = std::min(lowest.routingIndex, follower.applied.routingIndex);
    }
    return lowest;
}

void UpdateConfirmations::recordPoll(const std::string &id, UpdateVersions applied, TimePoint now)
{
    Follower &follower = m_followers[id];
    follower.polledAt = now;
    follower.applied = applied;
    if (applied.routingIndex == 0) {
        follower.applied.routingIndex = follower.sentRoutingIndex;
    }
    dropReachedPairs(now);
}

void UpdateConfirmations::renewFollowerLease(const std::string &id, TimePoint now)
{
    m_followers[id].polledAt = now;
}

// Without this, hosts that restart in series would delay every acknowledgement: each waits for its first reply about as
// long as passes until the next one restarts. In the test "hosts that restart in series hold up neither departures nor
// changes" nothing is acknowledged within 2 s without it, and everything with it.
void UpdateConfirmations::recordFirstReply(const std::string &id, UpdateVersions sent)
{
    const auto it = m_followers.find(id);
    const bool hasNoUpdates = it != m_followers.end() && it->second.applied.registryVersion == 0
        && it->second.applied.routingIndex == it->second.sentRoutingIndex;
    if (!hasNoUpdates) {
        return;
    }
    it->second.applied = sent;
    it->second.sentRoutingIndex = sent.routingIndex;
}

std::optional<UpdateConfirmations::Follower> UpdateConfirmations::follower(const std::string &id) const
{
    const auto it = m_followers.find(id);
    return it == m_followers.end() ? std::nullopt : std::optional(it->second);
}

void UpdateConfirmations::removeFollower(const std::string &id)
{
    m_followers.erase(id);
}

void UpdateConfirmations::recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs,
                                      std::uint64_t own)
{
    MergedUpdates &updates = m_merged[peer];
    if (updates.epoch != epoch) {
        updates = {epoch, {}};
    }
    std::vector<VersionPair> &pairs = updates.pairs;
    const bool isKnown = !pairs.empty() && theirs <= pairs.back().theirs;
    if (isKnown) {
        return;
    }
    // The later updates changed nothing here, so a host that has reached this version has them too.
    while (!pairs.empty() && pairs.back().own >= own) {
        pairs.pop_back();
    }
    // Dropping a pair only confirms less for a while. The older pairs are those that a slow follower reaches first.
    if (pairs.size() == MaxVersionPairs) {
        pairs.pop_back();
    }
    pairs.push_back({theirs, own});
}

// Drops all pairs before the last one that every follower has reached. A follower that falls back below that pair makes
// this host confirm nothing until it has caught up.
void UpdateConfirmations::dropReachedPairs(TimePoint now)
{
    const std::uint64_t reached = lowestFollowerVersions(now).registryVersion;
    for (auto &[peer, updates] : m_merged) {
        const auto unreached = firstUnreached(updates.pairs, reached);
        if (unreached != updates.pairs.begin()) {
            updates.pairs.erase(updates.pairs.begin(), std::prev(unreached));
        }
    }
}

UpdateVersions UpdateConfirmations::versionsConfirmedTo(const std::string &peer, const std::string &epoch,
                                                        std::uint64_t ownRoutingIndex, TimePoint now) const
{
    const UpdateVersions lowest = lowestFollowerVersions(now);
    // The routing is replicated by consensus, so its index means the same at every host.
    UpdateVersions confirmed{0, std::min(ownRoutingIndex, lowest.routingIndex)};
    const auto it = m_merged.find(peer);
    if (it == m_merged.end() || it->second.epoch != epoch) {
        return confirmed;
    }
    const std::vector<VersionPair> &pairs = it->second.pairs;
    const auto unreached = firstUnreached(pairs, lowest.registryVersion);
    if (unreached != pairs.begin()) {
        confirmed.registryVersion = std::prev(unreached)->theirs;
    }
    return confirmed;
}

void UpdateConfirmations::recordPeerConfirmation(const std::string &peer, UpdateVersions confirmed)
{
    m_confirmed[peer] = confirmed;
}

std::vector<std::string> UpdateConfirmations::unconfirmedHosts(UpdateVersions versions,
                                                               const std::vector<std::string> &peers,
                                                               TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[id, follower] : m_followers) {
        if (isInLease(follower, now) && !follower.applied.reaches(versions)) {
            names.push_back(id);
        }
    }
    for (const std::string &peer : peers) {
        const auto it = m_confirmed.find(peer);
        const UpdateVersions confirmed = it == m_confirmed.end() ? UpdateVersions{} : it->second;
        if (!confirmed.reaches(versions)) {
            names.push_back(peer);
        }
    }
    return names;
}

void UpdateConfirmations::removeExpired(const std::vector<std::string> &peers, TimePoint now)
{
    const auto isUnknown = [&](const auto &it) {
        return std::find(peers.begin(), peers.end(), it.first) == peers.end();
    };
    std::erase_if(m_merged, isUnknown);
    std::erase_if(m_confirmed, isUnknown);
    std::erase_if(m_followers, [&](const auto &it) { return now - it.second.polledAt > LeasesUntilRemoved * m_lease; });
    dropReachedPairs(now);
}

} // namespace pepperlug::fleet
