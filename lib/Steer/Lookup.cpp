//===- Lookup.cpp - Answers to look-ups -----------------------------------===//
//
// Callers cache a look-up answer until its TTL expires. An answer that sends callers to another region therefore uses
// capacity there for the TTL, as a forwarded request does while it runs.
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
    return m_servedServices[idx(zone)][idx(service)];
}

// Returns true if the look-up's callers may be sent to the host; if so, their expected use is recorded. For callers
// of this region that this host serves itself nothing is recorded, since that is no shift.
bool Steering::Impl::reserveLookup(const LookupArrived &event, HostId host)
{
    const ServiceId service = event.service;
    const RegionId from = event.callerZone ? m_bundle->regionOf(*event.callerZone) : m_region;
    if (host == *m_self) {
        // Mean demand decides, not the slots that are free at this moment: a full slice with a short queue is no reason
        // to move callers.
        const unsigned capacity = localCapacity(service);
        const unsigned takenByOthers = m_issuer.committed(service) - m_issuer.localUsed(service);
        const bool hasCapacity = m_demand[idx(service)].offeredLoad() + takenByOthers < capacity;
        if (from == m_region || !hasCapacity) {
            return hasCapacity;
        }
        return m_issuer.admitLookup(from, service, slotsPerLookup(service), m_now + m_bundle->policy.lookupTtl, m_now);
    }
    if (from == m_bundle->regionOf(host) && !m_holder.lastContact(host)) {
        return true; // no report of the host yet
    }
    // The host itself counts and limits callers who arrive from another region.
    return m_holder.spendLookupCredit(host, service, slotsPerLookup(service));
}

// Slots that callers of this region use, divided by the answers that they cache. The bundle's value applies until
// enough answers are cached.
double Steering::Impl::slotsPerLookup(ServiceId service) const
{
    const double cachedAnswers = m_localLookups[idx(service)].total();
    constexpr double MinCachedAnswers = 10;
    if (cachedAnswers < MinCachedAnswers) {
        return 1.0 / m_bundle->policy.lookupsPerSlot;
    }
    return std::min(1.0, m_demand[idx(service)].offeredLoad() / cachedAnswers);
}

// Free slots of the host as far as known here; at least one, so that no host is excluded permanently.
unsigned Steering::Impl::freeSlotsAt(HostId host, ServiceId service) const
{
    if (host != *m_self) {
        return m_holder.spare(host, service) + 1;
    }
    return m_issuer.spare(service, localCapacity(service), localNeed(service)) + 1;
}

// Hosts that may be named to a caller, nearest first. Equally near hosts are in random order, weighted by their free
// slots: in a fixed order, all callers of a lost region would be sent to the same zone.
std::vector<HostId> Steering::Impl::candidateHosts(const LookupArrived &event)
{
    const ZoneId callerZone = event.callerZone.value_or(m_zone);
    const std::vector<ZoneId> &zones = m_zonesByDistance[idx(callerZone)];
    std::vector<HostId> all;
    std::size_t groupStart = 0;
    for (std::size_t n = 0; n < zones.size(); ++n) {
        if (serves(zones[n], event.service)) {
            for (const HostId host : m_bundle->zones[idx(zones[n])].hosts) {
                const bool isLeaving = m_holder.isLeaving(host) || (host == *m_self && m_stopRequestedAt);
                if (m_holder.isAlive(host, m_now) && !isLeaving && !isDrainedHost(host)) {
                    all.push_back(host);
                }
            }
        }
        const bool isGroupEnd = n + 1 == zones.size()
            || m_bundle->latency(callerZone, zones[n]) != m_bundle->latency(callerZone, zones[n + 1]);
        if (isGroupEnd) {
            shuffleByFreeSlots(all, groupStart, event.service);
            groupStart = all.size();
        }
    }
    return all;
}

// Only as many hosts are drawn as an answer holds: in a system with many zones most hosts are equally far.
void Steering::Impl::shuffleByFreeSlots(std::vector<HostId> &hosts, std::size_t from, ServiceId service)
{
    std::vector<unsigned> weights;
    unsigned total = 0;
    for (std::size_t n = from; n < hosts.size(); ++n) {
        weights.push_back(freeSlotsAt(hosts[n], service));
        total += weights.back();
    }
    const std::size_t places = std::min(weights.size(), MaxHostsInAnswer);
    for (std::size_t place = 0; place < places; ++place) {
        auto drawn = static_cast<unsigned>(m_random() % total);
        std::size_t n = place;
        while (drawn >= weights[n]) {
            drawn -= weights[n];
            ++n;
        }
        total -= weights[n];
        std::swap(weights[place], weights[n]);
        std::swap(hosts[from + place], hosts[from + n]);
    }
}

// The first host has free slots as far as known here. The others follow by distance, as alternatives if the first can't
// be reached, and include a host of another zone if there is one.
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
    // Keep a host of another zone; otherwise the answer is useless if a whole zone is lost.
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

// The owner of a caller's keys is the host that the caller is sent to, which saves a hop. If that host's ledger is
// unknown it is this host, but not while it is leaving, because its ledger will soon be gone.
std::optional<HomeToken> Steering::Impl::ownerTokenOf(HostId host) const
{
    if (host == *m_self) {
        return m_ledger.token(m_now);
    }
    const std::optional<HomeToken> token = m_holder.ownerToken(host, m_bundle->hosts[idx(host)].name);
    const bool mayOwn = !m_stopRequestedAt && !isDrainedHost(*m_self);
    return token || !mayOwn ? token : std::optional(m_ledger.token(m_now));
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
        m_localLookups[idx(event.service)].add(m_now + answer.ttl, 1);
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
