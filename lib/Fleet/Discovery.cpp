//===- Discovery.cpp - When an entry host knows the control hosts ---------===//
#include "Discovery.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// After a seed failed to list the control hosts. A seed that starts at the same time needs about as long until it
/// listens.
constexpr Milliseconds SeedRetryDelay{150};
/// After a seed that has just started listed the control hosts that it has heard of so far.
constexpr Milliseconds IncompleteListDelay{500};
/// Time after which an entry host follows a control host of another zone although one of its own may be missing from
/// the lists.
constexpr std::chrono::seconds MaxDiscoveryTime{1};

} // namespace

Discovery::Discovery(std::string zone)
    : m_zone(std::move(zone))
{
}

// A seed that is reachable but can't list the control hosts is followed itself.
void Discovery::recordList(const FleetControlHostsReply &list, TimePoint now)
{
    m_firstListAt = m_firstListAt.value_or(now);
    const bool hasNearHost =
        std::any_of(list.hosts.begin(), list.hosts.end(), [&](const HostReport &it) { return it.zone == m_zone; });
    m_isDone = list.hosts.empty() || list.isComplete || hasNearHost || now - *m_firstListAt > MaxDiscoveryTime;
}

// If no seed is reachable, the seeds are followed in turn.
void Discovery::recordFailure(bool triedAll)
{
    m_isDone = triedAll;
}

bool Discovery::isDone() const
{
    return m_isDone;
}

Duration Discovery::retryDelay() const
{
    return m_firstListAt ? IncompleteListDelay : SeedRetryDelay;
}

} // namespace pepperlug::fleet
