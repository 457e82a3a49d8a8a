//===- Lookup.cpp - Which entry host a caller should use ------------------===//
//
// Callers keep the answer for a time, so one that moves them to another region uses up capacity there until that time
// has passed, just as a forwarded request does while it runs.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::size_t MaxHostsInAnswer = 4;

} // namespace

bool Steering::Impl::serves(ZoneId zone, ServiceId service) const
{
    return m_serves[idx(zone)][idx(service)];
}

// Whether callers of the look-up may be sent to this host, and the use of it is noted. Within the callers' own region
// nothing is spent: that is no shift.
bool Steering::Impl::spendLookup(const LookupArrived &event, HostId host)
{
    const ServiceId service = event.service;
    const RegionId from = event.callerZone ? m_bundle->regionOf(*event.callerZone) : m_region;
    const RegionId to = m_bundle->regionOf(host);
    const TimePoint expires = m_now + m_bundle->policy.lookupTtl;
    if (host == *m_self) {
        if (from == m_region) {
            const bool hasRoom = m_issuer.committed(service) < localCapacity(service);
            return hasRoom || !leaseIsQuicker(service, std::nullopt, {});
        }
        const Charge charge{Charge::Kind::Region, from, {}};
        if (m_issuer.admit(charge, service, localCapacity(service), homeNeed(service), m_now)) {
            return false;
        }
        m_issuer.lookedUp(from, service, expires);
        return true;
    }
    if (from == to) {
        const bool knowsIt = m_holder.lastHeard(host).has_value();
        const bool hasRoom = m_holder.spare(host, service) > 0 || m_holder.canUse(host, service, m_now);
        return !knowsIt || hasRoom;
    }
    if (from != m_region || !m_holder.canUse(host, service, m_now)) {
        return false;
    }
    m_holder.lookedUp(host, service, expires);
    return true;
}

// The first host is one that has room as far as this host can know; the others follow by distance, from at least one
// other zone where there is one, for the case that the first can't be reached.
std::vector<HostId> Steering::Impl::rankHosts(const LookupArrived &event)
{
    const ZoneId callerZone = event.callerZone.value_or(m_zone);
    std::vector<HostId> candidates;
    for (const ZoneId zone : m_zonesByDistance[idx(callerZone)]) {
        if (!serves(zone, event.service)) {
            continue;
        }
        const std::vector<HostId> &hosts = m_bundle->zones[idx(zone)].hosts;
        const std::size_t offset = hosts.empty() ? 0 : m_random() % hosts.size();
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            const HostId host = hosts[(n + offset) % hosts.size()];
            const bool isLeaving = m_holder.isLeaving(host) || (host == *m_self && m_stopAskedAt);
            if (m_holder.isAlive(host, m_now) && !isLeaving && !isDrainedHost(host)) {
                candidates.push_back(host);
            }
        }
    }
    const auto first =
        std::find_if(candidates.begin(), candidates.end(), [&](HostId host) { return spendLookup(event, host); });
    if (first != candidates.end()) {
        std::rotate(candidates.begin(), first, first + 1);
    }
    if (candidates.size() > MaxHostsInAnswer) {
        // Keep one host of another zone, or the answer is of no use when a whole zone is lost.
        const auto zoneOf = [&](HostId host) {
            return m_bundle->hosts[idx(host)].zone;
        };
        const auto cut = candidates.begin() + MaxHostsInAnswer;
        const bool oneZone = std::all_of(candidates.begin(), cut,
                                         [&](HostId host) { return zoneOf(host) == zoneOf(candidates.front()); });
        const auto other = std::find_if(cut, candidates.end(),
                                        [&](HostId host) { return zoneOf(host) != zoneOf(candidates.front()); });
        if (oneZone && other != candidates.end()) {
            *(cut - 1) = *other;
        }
        candidates.resize(MaxHostsInAnswer);
    }
    return candidates;
}

// The home of a caller's operations is the host that it is sent to: no hop is needed then, and a host that is leaving
// gives nobody its own ledger any more, which will soon be gone.
std::optional<HomeToken> Steering::Impl::homeTokenOf(HostId host) const
{
    if (host == *m_self) {
        return m_ledger.token(m_now);
    }
    const std::optional<HomeToken> token = m_holder.homeToken(host, m_bundle->hosts[idx(host)].name);
    const bool isOwnOfUse = !m_stopAskedAt && !isDrainedHost(*m_self);
    return token || !isOwnOfUse ? token : std::optional(m_ledger.token(m_now));
}

void Steering::Impl::on(const LookupArrived &event)
{
    if (!m_self) {
        m_out->emplace_back(Refuse{event.id, Outcome::NotRun, Reason::NotReady, Milliseconds(1000), {}});
        return;
    }
    AnswerLookup answer;
    answer.id = event.id;
    answer.hosts = rankHosts(event);
    if (answer.hosts.empty()) {
        m_out->emplace_back(Refuse{event.id, Outcome::NotRun, Reason::NoCapacity, m_bundle->policy.leaseTime, {}});
        return;
    }
    answer.ttl = m_bundle->policy.lookupTtl;
    answer.home = homeTokenOf(answer.hosts.front());
    answer.bundleVersion = m_bundle->version;

    Decision decision;
    decision.id = event.id;
    decision.service = event.service;
    decision.isLookup = true;
    decision.reason = answer.hosts.front() == *m_self ? Reason::LocalTarget : Reason::LeasedZone;
    decision.callerZone = event.callerZone;
    decision.host = answer.hosts.front();
    decision.capacity = localCapacity(event.service);
    decision.committed = m_issuer.committed(event.service);
    decision.queued = static_cast<unsigned>(m_queues[idx(event.service)].size());
    m_out->emplace_back(std::move(answer));
    m_out->emplace_back(decision);
}

} // namespace pepperlug
