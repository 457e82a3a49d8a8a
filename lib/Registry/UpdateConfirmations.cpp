//===- UpdateConfirmations.cpp - Who has confirmed what news ----------------===//
//
// A control host only hears from its own followers. Of all others it knows by the confirmations of the other control
// hosts, each of which speaks for those that follow it in the moment in which it confirms. What a host confirms may
// therefore go back, as when an entry host comes to it that knows less; it is never wrong to confirm too little.
//
// A confirmation of a position is made after the position has come to be. So if nothing is missing at a time T, each
// entry host has the news that asked a control host within the lease before T and before the news arose, wherever it
// went since: the control host that it asked then counts it until T. That holds only as long as nobody forgets a
// follower before its lease is over, which is why a host that has moved is left to its lease.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Registry.h"

#include <algorithm>
#include <limits>

namespace pepperlug::fleet
{

namespace
{

/// Pairs of versions kept for each control host. Several replies arrive in each tick of 25 ms at most, and followers
/// answer within about a second: some hundred pairs tell all that is of use.
constexpr std::size_t MostPairs = 256;
/// Leases after which a silent follower is forgotten. Beyond the first it is not waited for; the second leaves room for
/// callers whose times were read in another order.
constexpr int LeasesUntilForgotten = 2;

// The first pair that a host at an own version has not come to.
template <typename Pairs>
auto firstBeyond(Pairs &pairs, std::uint64_t own)
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

UpdateVersions UpdateConfirmations::lowestOfFollowers(TimePoint now) const
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

void UpdateConfirmations::recordPoll(const std::string &id, UpdateVersions has, TimePoint now)
{
    Follower &follower = m_followers[id];
    follower.polledAt = now;
    follower.applied = has;
    if (has.routingIndex == 0) {
        follower.applied.routingIndex = follower.sentRoutingIndex;
    }
    collapse(now);
}

void UpdateConfirmations::renewFollowerLease(const std::string &id, TimePoint now)
{
    m_followers[id].polledAt = now;
}

// Hosts that restart in series would otherwise hold up everything: each waits for its first reply about as long as
// passes until the next one restarts. Measured by "hosts that restart in series hold up neither departures nor
// changes": nothing is acknowledged in 2 s without it, and all with it.
void UpdateConfirmations::recordFirstReply(const std::string &id, UpdateVersions told)
{
    const auto it = m_followers.find(id);
    const bool hasNothing = it != m_followers.end() && it->second.applied.registryVersion == 0
        && it->second.applied.routingIndex == it->second.sentRoutingIndex;
    if (!hasNothing) {
        return;
    }
    it->second.applied = told;
    it->second.sentRoutingIndex = told.routingIndex;
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
    MergedNews &news = m_merged[peer];
    if (news.epoch != epoch) {
        news = {epoch, {}};
    }
    std::vector<VersionPair> &pairs = news.pairs;
    const bool saysNothingNew = !pairs.empty() && theirs <= pairs.back().theirs;
    if (saysNothingNew) {
        return;
    }
    // Nothing changed here since, so whoever has come as far as before has the later news too.
    while (!pairs.empty() && pairs.back().own >= own) {
        pairs.pop_back();
    }
    // To drop a pair only means to confirm less for a while. The old ones are what a slow follower comes to first.
    if (pairs.size() == MostPairs) {
        pairs.pop_back();
    }
    pairs.push_back({theirs, own});
}

// A follower that goes back below the pair that is left makes this host confirm nothing until it has caught up.
void UpdateConfirmations::collapse(TimePoint now)
{
    const std::uint64_t reached = lowestOfFollowers(now).registryVersion;
    for (auto &[peer, news] : m_merged) {
        const auto beyond = firstBeyond(news.pairs, reached);
        if (beyond != news.pairs.begin()) {
            news.pairs.erase(news.pairs.begin(), std::prev(beyond));
        }
    }
}

UpdateVersions UpdateConfirmations::versionsConfirmedTo(const std::string &peer, const std::string &epoch,
                                                        std::uint64_t ownRouting, TimePoint now) const
{
    const UpdateVersions lowest = lowestOfFollowers(now);
    // Routing is agreed on, so its index means the same everywhere, whoever told it.
    UpdateVersions upTo{0, std::min(ownRouting, lowest.routingIndex)};
    const auto it = m_merged.find(peer);
    if (it == m_merged.end() || it->second.epoch != epoch) {
        return upTo;
    }
    const std::vector<VersionPair> &pairs = it->second.pairs;
    const auto beyond = firstBeyond(pairs, lowest.registryVersion);
    if (beyond != pairs.begin()) {
        upTo.registryVersion = std::prev(beyond)->theirs;
    }
    return upTo;
}

void UpdateConfirmations::recordPeerConfirmation(const std::string &peer, UpdateVersions upTo)
{
    m_confirmed[peer] = upTo;
}

std::vector<std::string> UpdateConfirmations::unconfirmedHosts(UpdateVersions position,
                                                               const std::vector<std::string> &peers,
                                                               TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[id, follower] : m_followers) {
        if (isInLease(follower, now) && !follower.applied.reaches(position)) {
            names.push_back(id);
        }
    }
    for (const std::string &peer : peers) {
        const auto it = m_confirmed.find(peer);
        const UpdateVersions upTo = it == m_confirmed.end() ? UpdateVersions{} : it->second;
        if (!upTo.reaches(position)) {
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
    std::erase_if(m_followers,
                  [&](const auto &it) { return now - it.second.polledAt > LeasesUntilForgotten * m_lease; });
    collapse(now);
}

} // namespace pepperlug::fleet
