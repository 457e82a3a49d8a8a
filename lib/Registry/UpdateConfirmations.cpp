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

/// Leases after which a silent follower is removed. After the first it is not waited for; the second allows for callers
/// whose times were read in another order.
constexpr int LeasesUntilRemoved = 2;

} // namespace

UpdateConfirmations::UpdateConfirmations(Duration lease)
    : m_lease(lease)
{
}

bool UpdateConfirmations::isInLease(const Follower &follower, TimePoint now) const
{
    return now - follower.polledAt <= m_lease;
}

void UpdateConfirmations::waitFor(std::string_view id, const Follower &follower) const
{
    ++m_visited;
    m_waited.byPoll.emplace(follower.polledAt, id);
    m_waited.registryVersions.insert(follower.applied.registryVersion);
    m_waited.routingIndexes.insert(follower.applied.routingIndex);
}

// Does nothing if the follower isn't waited for.
void UpdateConfirmations::stopWaitingFor(std::string_view id, const Follower &follower) const
{
    ++m_visited;
    if (m_waited.byPoll.erase({follower.polledAt, id}) == 0) {
        return;
    }
    m_waited.registryVersions.erase(m_waited.registryVersions.find(follower.applied.registryVersion));
    m_waited.routingIndexes.erase(m_waited.routingIndexes.find(follower.applied.routingIndex));
}

void UpdateConfirmations::endLeases(TimePoint now) const
{
    while (!m_waited.byPoll.empty() && now - m_waited.byPoll.begin()->first > m_lease) {
        const auto it = m_followers.find(std::string(m_waited.byPoll.begin()->second));
        stopWaitingFor(it->first, it->second);
    }
}

UpdateVersions UpdateConfirmations::lowestFollowerVersions(TimePoint now) const
{
    endLeases(now);
    if (m_waited.byPoll.empty()) {
        return UpdateVersions::max();
    }
    return {*m_waited.registryVersions.begin(), *m_waited.routingIndexes.begin()};
}

void UpdateConfirmations::recordPoll(const std::string &id, UpdateVersions applied, TimePoint now)
{
    const auto it = m_followers.try_emplace(id).first;
    Follower &follower = it->second;
    stopWaitingFor(it->first, follower);
    follower.polledAt = now;
    follower.applied = applied;
    if (applied.routingIndex == 0) {
        follower.applied.routingIndex = follower.sentRoutingIndex;
    }
    waitFor(it->first, follower);
    dropReachedPairs(now);
}

void UpdateConfirmations::renewFollowerLease(const std::string &id, TimePoint now)
{
    const auto it = m_followers.try_emplace(id).first;
    stopWaitingFor(it->first, it->second);
    it->second.polledAt = now;
    waitFor(it->first, it->second);
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
    const bool isWaitedFor = m_waited.byPoll.contains({it->second.polledAt, it->first});
    stopWaitingFor(it->first, it->second);
    it->second.applied = sent;
    it->second.sentRoutingIndex = sent.routingIndex;
    if (isWaitedFor) {
        waitFor(it->first, it->second);
    }
}

std::optional<UpdateConfirmations::Follower> UpdateConfirmations::follower(const std::string &id) const
{
    const auto it = m_followers.find(id);
    return it == m_followers.end() ? std::nullopt : std::optional(it->second);
}

void UpdateConfirmations::removeFollower(const std::string &id)
{
    const auto it = m_followers.find(id);
    if (it != m_followers.end()) {
        stopWaitingFor(it->first, it->second);
        m_followers.erase(it);
    }
}

void UpdateConfirmations::recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs,
                                      std::uint64_t own)
{
    m_merged[peer].record(epoch, theirs, own);
}

// Drops all pairs before the last one that every follower has reached. A follower that falls back below that pair makes
// this host confirm nothing until it has caught up.
void UpdateConfirmations::dropReachedPairs(TimePoint now)
{
    const std::uint64_t reached = lowestFollowerVersions(now).registryVersion;
    for (auto &[peer, merged] : m_merged) {
        merged.dropReached(reached);
    }
}

UpdateVersions UpdateConfirmations::versionsConfirmedTo(const std::string &peer, const std::string &epoch,
                                                        std::uint64_t ownRoutingIndex, TimePoint now) const
{
    const UpdateVersions lowest = lowestFollowerVersions(now);
    // The routing is replicated by consensus, so its index means the same at every host.
    UpdateVersions confirmed{0, std::min(ownRoutingIndex, lowest.routingIndex)};
    const auto it = m_merged.find(peer);
    if (it != m_merged.end()) {
        confirmed.registryVersion = it->second.reachedAt(epoch, lowest.registryVersion);
    }
    return confirmed;
}

void UpdateConfirmations::recordPeerConfirmation(const std::string &peer, UpdateVersions confirmed)
{
    m_confirmed[peer] = confirmed;
}

bool UpdateConfirmations::hasConfirmed(const std::string &peer, UpdateVersions versions) const
{
    const auto it = m_confirmed.find(peer);
    return (it == m_confirmed.end() ? UpdateVersions{} : it->second).reaches(versions);
}

bool UpdateConfirmations::isConfirmed(UpdateVersions versions, const std::vector<std::string> &peers,
                                      TimePoint now) const
{
    return lowestFollowerVersions(now).reaches(versions)
        && std::all_of(peers.begin(), peers.end(), [&](const std::string &it) { return hasConfirmed(it, versions); });
}

std::vector<std::string> UpdateConfirmations::unconfirmedHosts(UpdateVersions versions,
                                                               const std::vector<std::string> &peers,
                                                               TimePoint now) const
{
    std::vector<std::string> names;
    m_visited += m_followers.size();
    for (const auto &[id, follower] : m_followers) {
        if (isInLease(follower, now) && !follower.applied.reaches(versions)) {
            names.push_back(id);
        }
    }
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(names),
                 [&](const std::string &it) { return !hasConfirmed(it, versions); });
    return names;
}

void UpdateConfirmations::removeExpired(const std::vector<std::string> &peers, TimePoint now)
{
    const auto isUnknown = [&](const auto &it) {
        return std::find(peers.begin(), peers.end(), it.first) == peers.end();
    };
    std::erase_if(m_merged, isUnknown);
    std::erase_if(m_confirmed, isUnknown);
    std::erase_if(m_followers, [&](const auto &it) {
        const bool isExpired = now - it.second.polledAt > LeasesUntilRemoved * m_lease;
        if (isExpired) {
            stopWaitingFor(it.first, it.second);
        }
        return isExpired;
    });
    dropReachedPairs(now);
}

std::size_t UpdateConfirmations::waitedFollowers(TimePoint now) const
{
    endLeases(now);
    return m_waited.byPoll.size();
}

std::uint64_t UpdateConfirmations::visitedFollowers() const
{
    return m_visited;
}

} // namespace pepperlug::fleet
