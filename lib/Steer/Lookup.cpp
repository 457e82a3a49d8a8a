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

// Whether callers of the look-up may be sent to this host; if so, the use of it is noted. Within the callers' own
// region nothing is spent: that is no shift.
bool Steering::Impl::reserveLookup(const LookupArrived &event, HostId host)
{
    const ServiceId service = event.service;
    const RegionId from = event.callerZone ? m_bundle->regionOf(*event.callerZone) : m_region;
    if (host == *m_self) {
        // By mean demand, not by what is free this moment: a full slice with a short queue is no reason to move
        // callers.
        const unsigned capacity = localCapacity(service);
        const unsigned takenByOthers = m_issuer.committed(service) - m_issuer.localUsed(service);
        const bool hasRoom = m_demand[idx(service)].offeredLoad() + takenByOthers < capacity;
        if (from == m_region || !hasRoom) {
            return hasRoom;
        }
        return m_issuer.admitLookup(from, service, slotsPerLookup(service), m_now + m_bundle->policy.lookupTtl, m_now);
    }
    if (from == m_bundle->regionOf(host) && !m_holder.lastContact(host)) {
        return true; // nothing is known against it
    }
    // The host itself counts and caps those who come to it from another region.
    return m_holder.spendLookupCredit(host, service, slotsPerLookup(service));
}

// Measured: what own callers use, over the answers that they keep. The bundle's figure stands in until there are some.
double Steering::Impl::slotsPerLookup(ServiceId service) const
{
    const double kept = m_homeLookups[idx(service)].total();
    constexpr double EnoughToMeasure = 10;
    if (kept < EnoughToMeasure) {
        return 1.0 / m_bundle->policy.lookupsPerSlot;
    }
    return std::min(1.0, m_demand[idx(service)].offeredLoad() / kept);
}

// Slots that the host could give to callers, as far as is known here; at least one, so that none is left out for good.
unsigned Steering::Impl::freeSlotsAt(HostId host, ServiceId service) const
{
    if (host != *m_self) {
        return m_holder.spare(host, service) + 1;
    }
    return m_issuer.spare(service, localCapacity(service), localNeed(service)) + 1;
}

// Hosts that may be named for a caller, nearest first. Those that are equally near come in random order, weighted by
// the room that they have: in a fixed order, callers of a lost region would all fall on the same zone.
std::vector<HostId> Steering::Impl::candidateHosts(const LookupArrived &event)
{
    const ZoneId callerZone = event.callerZone.value_or(m_zone);
    const std::vector<ZoneId> &zones = m_zonesByDistance[idx(callerZone)];
    std::vector<HostId> all;
    std::size_t groupStart = 0;
    for (std::size_t n = 0; n < zones.size(); ++n) {
        if (serves(zones[n], event.service)) {
            for (const HostId host : m_bundle->zones[idx(zones[n])].hosts) {
                const bool isLeaving = m_holder.isLeaving(host) || (host == *m_self && m_stopAskedAt);
                if (m_holder.isAlive(host, m_now) && !isLeaving && !isDrainedHost(host)) {
                    all.push_back(host);
                }
            }
        }
        const bool endsGroup = n + 1 == zones.size()
            || m_bundle->latency(callerZone, zones[n]) != m_bundle->latency(callerZone, zones[n + 1]);
        if (endsGroup) {
            shuffleByFreeSlots(all, groupStart, event.service);
            groupStart = all.size();
        }
    }
    return all;
}

// Only as many places are drawn as an answer has: in a system with many zones most hosts are equally far.
void Steering::Impl::shuffleByFreeSlots(std::vector<HostId> &hosts, std::size_t from, ServiceId service)
{
    std::vector<unsigned> rooms;
    unsigned total = 0;
    for (std::size_t n = from; n < hosts.size(); ++n) {
        rooms.push_back(freeSlotsAt(hosts[n], service));
        total += rooms.back();
    }
    const std::size_t places = std::min(rooms.size(), MaxHostsInAnswer);
    for (std::size_t place = 0; place < places; ++place) {
        auto drawn = static_cast<unsigned>(m_random() % total);
        std::size_t n = place;
        while (drawn >= rooms[n]) {
            drawn -= rooms[n];
            ++n;
        }
        total -= rooms[n];
        std::swap(rooms[place], rooms[n]);
        std::swap(hosts[from + place], hosts[from + n]);
    }
}

// The first host is one that has room as far as this host can know; the others follow by distance, from at least one
// other zone where there is one, for the case that the first can't be reached.
std::vector<HostId> Steering::Impl::rankHosts(const LookupArrived &event)
{
    std::vector<HostId> hosts = candidateHosts(event);
    const auto first =
        std::find_if(hosts.begin(), hosts.end(), [&](HostId host) { return reserveLookup(event, host); });
    if (first != hosts.end()) {
        std::rotate(hosts.begin(), first, first + 1);
    }
    if (hosts.size() <= MaxHostsInAnswer) {
        return hosts;
    }
    // Keep one host of another zone, or the answer is of no use when a whole zone is lost.
    const auto isElsewhere = [&](HostId host) {
        return m_bundle->hosts[idx(host)].zone != m_bundle->hosts[idx(hosts.front())].zone;
    };
    const auto cut = hosts.begin() + MaxHostsInAnswer;
    const auto other = std::find_if(hosts.begin(), hosts.end(), isElsewhere);
    if (other != hosts.end() && other >= cut) {
        *(cut - 1) = *other;
    }
    hosts.resize(MaxHostsInAnswer);
    return hosts;
}

// The home of a caller's operations is the host that it is sent to: no hop is needed then, and a host that is leaving
// gives nobody its own ledger any more, which will soon be gone.
std::optional<HomeToken> Steering::Impl::ownerTokenOf(HostId host) const
{
    if (host == *m_self) {
        return m_ledger.token(m_now);
    }
    const std::optional<HomeToken> token = m_holder.ownerToken(host, m_bundle->hosts[idx(host)].name);
    const bool isOwnOfUse = !m_stopAskedAt && !isDrainedHost(*m_self);
    return token || !isOwnOfUse ? token : std::optional(m_ledger.token(m_now));
}

void Steering::Impl::handle(const LookupArrived &event)
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
    const bool isOwnCaller = !event.callerZone || m_bundle->regionOf(*event.callerZone) == m_region;
    if (isOwnCaller && answer.hosts.front() == *m_self) {
        m_homeLookups[idx(event.service)].add(m_now + answer.ttl, 1);
    }
    answer.ownerToken = ownerTokenOf(answer.hosts.front());
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
