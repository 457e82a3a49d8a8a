//===- LeaseHolder.cpp - Use and renewal of leases ------------------------===//
//
// A lease is valid from the time at which its request was sent, and its duration is reduced by the allowed clock drift,
// so it expires here before it expires at the issuer, regardless of message delays. Once a request is sent, earlier
// grants are used only up to the `keep` in it, so the issuer may reduce its reservation when it receives the request.
//
//===----------------------------------------------------------------------===//
#include "LeaseHolder.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace pepperlug
{

namespace
{

constexpr int ExchangesPerLeaseTime = 5;
constexpr int ExchangesUntilLost = 4; ///< a host counts as lost after this many exchange intervals without a message
constexpr auto MinIntervalPerIssuer = Milliseconds(50); ///< bounds the rate of requests to all issuers together
constexpr std::size_t OwnZoneIssuers = 8; ///< issuers in the own zone
constexpr std::size_t OtherZoneIssuers = 8; ///< issuers in all other zones together
constexpr std::size_t IssuersPerOtherZone = 2;
constexpr std::size_t StandbyLeases = 3; ///< issuers of one slot in advance, so that a first overflow finds a lease
constexpr unsigned MinStandbySpare = 3; ///< least spare and leased slots of the issuer of a standby lease
constexpr int ShortfallRateFactor = 4; ///< factor on the rate of exchanges while demand exceeds the leases
constexpr double CreditShare = 0.5; ///< share of an issuer's spare slots; other hosts name it to callers as well
constexpr unsigned KeepSlack = 1; ///< slots above the want in `keep`, so that small swings need no new growth

std::uint64_t rendezvousScore(const std::string &self, const std::string &other)
{
    return hash64(self + "|" + other);
}

} // namespace

LeaseHolder::LeaseHolder(std::uint64_t incarnation)
    : m_incarnation(incarnation)
{
}

void LeaseHolder::applyBundle(const Bundle &bundle, HostId self, TimePoint now)
{
    m_self = self;
    m_appliedAt = now;
    m_services = bundle.services.size();
    m_leaseTime = bundle.policy.leaseTime;
    m_drift = bundle.policy.driftAllowance;
    m_regions.clear();
    m_zones.clear();
    for (const EntryHost &host : bundle.hosts) {
        m_regions.push_back(bundle.regionOf(host.zone));
        m_zones.push_back(host.zone);
    }
    const ZoneId ownZone = bundle.hosts[idx(self)].zone;
    const std::string &ownName = bundle.hosts[idx(self)].name;

    std::vector<std::size_t> zones(bundle.zones.size());
    for (std::size_t n = 0; n < zones.size(); ++n) {
        zones[n] = n;
    }
    std::stable_sort(zones.begin(), zones.end(), [&](std::size_t lhs, std::size_t rhs) {
        return bundle.latency(ownZone, makeId<ZoneId>(lhs)) < bundle.latency(ownZone, makeId<ZoneId>(rhs));
    });
    m_issuers.clear();
    std::size_t otherZoneIssuers = 0;
    for (const std::size_t zone : zones) {
        std::vector<HostId> hosts = bundle.zones[zone].hosts;
        std::erase(hosts, self);
        const bool isOwn = makeId<ZoneId>(zone) == ownZone;
        std::sort(hosts.begin(), hosts.end(), [&](HostId lhs, HostId rhs) {
            return rendezvousScore(ownName, bundle.hosts[idx(lhs)].name)
                < rendezvousScore(ownName, bundle.hosts[idx(rhs)].name);
        });
        const std::size_t available = otherZoneIssuers < OtherZoneIssuers ? OtherZoneIssuers - otherZoneIssuers : 0;
        hosts.resize(std::min(hosts.size(), isOwn ? OwnZoneIssuers : std::min(IssuersPerOtherZone, available)));
        otherZoneIssuers += isOwn ? 0 : hosts.size();
        m_issuers.insert(m_issuers.end(), hosts.begin(), hosts.end());
    }
    for (const HostId host : m_issuers) {
        peer(host).services.resize(m_services);
    }
}

void LeaseHolder::remap(const IdMap &ids)
{
    ids.hosts.apply(m_peers);
    for (auto &[id, peer] : m_peers) {
        ids.services.apply(peer.services);
    }
}

LeaseHolder::Peer &LeaseHolder::peer(HostId host)
{
    Peer &it = m_peers[host];
    it.services.resize(m_services);
    return it;
}

const LeaseHolder::Peer *LeaseHolder::find(HostId host) const
{
    const auto it = m_peers.find(host);
    return it == m_peers.end() ? nullptr : &it->second;
}

Duration LeaseHolder::exchangeInterval() const
{
    return std::max<Duration>(m_leaseTime / ExchangesPerLeaseTime, MinIntervalPerIssuer * m_issuers.size());
}

unsigned LeaseHolder::freeSlots(const HeldLease &held, TimePoint now) const
{
    if (now >= held.validUntil) {
        return 0;
    }
    const unsigned limit = std::min(held.amount, held.keepLimit);
    return limit > held.used ? limit - held.used : 0;
}

// Distributes the overflow to the nearest issuers first, each up to the present lease and the spare slots that it
// reported. The remainder is requested from the nearest live issuer, since reported spare slots may be out of date.
std::vector<unsigned> LeaseHolder::distributeWants(ServiceId service, unsigned overflow, TimePoint now) const
{
    std::vector<unsigned> wants(m_issuers.size(), 0);
    std::optional<std::size_t> firstAlive;
    std::size_t standby = 0;
    for (std::size_t n = 0; n < m_issuers.size(); ++n) {
        if (!lastContact(m_issuers[n]) || !isAlive(m_issuers[n], now) || isLeaving(m_issuers[n])) {
            continue;
        }
        firstAlive = firstAlive.value_or(n);
        const HeldLease &held = find(m_issuers[n])->services[idx(service)];
        const unsigned share = std::min(overflow, std::min(held.amount, held.keepLimit) + held.spare);
        wants[n] = share;
        overflow -= share;
        const bool mayStandBy =
            held.spare + held.amount >= MinStandbySpare && m_regions[idx(m_issuers[n])] == m_regions[idx(m_self)];
        if (share == 0 && standby < StandbyLeases && mayStandBy) {
            wants[n] = 1;
            ++standby;
        }
    }
    if (firstAlive) {
        wants[*firstAlive] += overflow;
    }
    return wants;
}

LeaseRequest LeaseHolder::makeRequest(Peer &peer, const HostStatus &own, TimePoint now)
{
    LeaseRequest request;
    request.sequence = ++peer.sequence;
    request.incarnation = m_incarnation;
    request.configIndex = own.configIndex;
    request.leaving = own.isLeaving;
    request.ledgerId = own.ledgerId;
    request.ledgerAge = own.ledgerAge;
    for (std::size_t n = 0; n < peer.services.size(); ++n) {
        HeldLease &held = peer.services[n];
        const unsigned want = own.isLeaving ? 0 : held.want;
        const unsigned limit = now < held.validUntil ? std::min(held.amount, held.keepLimit) : 0;
        // Slots in use can't be given back, and a request may outlive its lease.
        held.keepLimit = std::max(held.used, std::min(limit, want + (own.isLeaving ? 0 : KeepSlack)));
        request.wants.push_back({static_cast<std::uint32_t>(n), held.keepLimit, want});
    }
    return request;
}

bool LeaseHolder::isDue(const Peer &peer, Duration interval, TimePoint now) const
{
    return !peer.isAwaitingReply && now >= peer.requestedAt + interval;
}

// Returns true if the overflow of some service exceeds its leases.
bool LeaseHolder::hasShortfall(const std::vector<unsigned> &overflow, TimePoint now) const
{
    for (std::size_t n = 0; n < overflow.size(); ++n) {
        if (overflow[n] > heldSlots(makeId<ServiceId>(n), now)) {
            return true;
        }
    }
    return false;
}

void LeaseHolder::poll(const std::vector<unsigned> &overflow, const HostStatus &own, TimePoint now, Effects &out)
{
    const Duration interval =
        hasShortfall(overflow, now) ? exchangeInterval() / ShortfallRateFactor : exchangeInterval();
    const bool anyDue =
        std::any_of(m_issuers.begin(), m_issuers.end(), [&](HostId host) { return isDue(*find(host), interval, now); });
    if (!anyDue) {
        return;
    }
    for (std::size_t service = 0; service < m_services; ++service) {
        const std::vector<unsigned> wants = distributeWants(makeId<ServiceId>(service), overflow[service], now);
        for (std::size_t n = 0; n < m_issuers.size(); ++n) {
            peer(m_issuers[n]).services[service].want = wants[n];
        }
    }
    for (const HostId host : m_issuers) {
        Peer &it = peer(host);
        if (!isDue(it, interval, now)) {
            continue;
        }
        it.isAwaitingReply = true;
        it.requestedAt = now;
        out.emplace_back(SendLeaseRequest{host, makeRequest(it, own, now), exchangeInterval() * 2});
    }
}

void LeaseHolder::makeAllDue()
{
    for (auto &[id, it] : m_peers) {
        it.requestedAt = {};
    }
}

bool LeaseHolder::handleGrant(HostId issuer, const LeaseGrant &grant, TimePoint now)
{
    Peer &it = peer(issuer);
    if (!it.isAwaitingReply || grant.sequence != it.sequence) {
        return false;
    }
    it.isAwaitingReply = false;
    recordContact(issuer, {grant.configIndex, grant.leaving, grant.ledgerId, grant.ledgerAge}, now);
    const auto valid = std::chrono::duration_cast<Duration>(grant.duration * (1 - m_drift));
    for (const ServiceGrant &service : grant.grants) {
        if (service.service >= it.services.size()) {
            continue;
        }
        HeldLease &held = it.services[service.service];
        held.amount = service.amount;
        held.keepLimit = service.amount;
        held.spare = service.spare;
        held.credit = service.spare * CreditShare;
        held.validUntil = it.requestedAt + valid;
    }
    return true;
}

void LeaseHolder::handleFailure(HostId issuer, std::uint64_t sequence)
{
    Peer &it = peer(issuer);
    if (it.isAwaitingReply && sequence == it.sequence) {
        it.isAwaitingReply = false;
    }
}

void LeaseHolder::recordContact(HostId host, const HostStatus &status, TimePoint now)
{
    Peer &it = peer(host);
    const std::uint64_t index = std::max(it.status.configIndex, status.configIndex);
    it.lastContact = now;
    it.status = status;
    it.status.configIndex = index;
}

bool LeaseHolder::hasFreeSlots(HostId issuer, ServiceId service, TimePoint now) const
{
    return freeSlots(issuer, service, now) > 0;
}

std::optional<HostId> LeaseHolder::chooseLease(ServiceId service, std::optional<RegionId> region,
                                               const std::vector<HostId> &excluded, TimePoint now) const
{
    std::optional<HostId> best;
    unsigned bestFree = 0;
    for (const HostId host : m_issuers) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), host) != excluded.end();
        if (isExcluded || (region && m_regions[idx(host)] != *region) || !hasFreeSlots(host, service, now)) {
            continue;
        }
        // m_issuers is sorted by distance. Hosts of one zone are equally near; the one with the most free slots is
        // chosen.
        if (best && m_zones[idx(*best)] != m_zones[idx(host)]) {
            break;
        }
        const unsigned hostFree = freeSlots(find(host)->services[idx(service)], now);
        if (hostFree > bestFree) {
            best = host;
            bestFree = hostFree;
        }
    }
    return best;
}

std::optional<HostId> LeaseHolder::chooseWithSpare(ServiceId service, RegionId region,
                                                   const std::vector<HostId> &excluded, TimePoint now)
{
    HeldLease *best = nullptr;
    std::optional<HostId> bestHost;
    for (const HostId host : m_issuers) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), host) != excluded.end();
        if (isExcluded || m_regions[idx(host)] != region || isLeaving(host) || !isAlive(host, now)) {
            continue;
        }
        HeldLease &held = peer(host).services[idx(service)];
        if (held.spare > (best == nullptr ? 0 : best->spare)) {
            best = &held;
            bestHost = host;
        }
    }
    if (best != nullptr) {
        --best->spare;
    }
    return bestHost;
}

std::optional<HostId> LeaseHolder::chooseAlive(RegionId region, const std::vector<HostId> &excluded,
                                               TimePoint now) const
{
    for (const HostId host : m_issuers) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), host) != excluded.end();
        if (!isExcluded && m_regions[idx(host)] == region && !isLeaving(host) && isAlive(host, now)) {
            return host;
        }
    }
    return std::nullopt;
}

void LeaseHolder::startUse(HostId issuer, ServiceId service)
{
    ++peer(issuer).services[idx(service)].used;
}

void LeaseHolder::endUse(HostId issuer, ServiceId service)
{
    HeldLease &held = peer(issuer).services[idx(service)];
    assert(held.used > 0 && "endUse() without startUse()");
    --held.used;
}

bool LeaseHolder::spendLookupCredit(HostId host, ServiceId service, double slots)
{
    HeldLease &held = peer(host).services[idx(service)];
    if (held.credit < slots) {
        return false;
    }
    held.credit -= slots;
    return true;
}

unsigned LeaseHolder::freeSlots(HostId issuer, ServiceId service, TimePoint now) const
{
    const Peer *it = find(issuer);
    return it == nullptr || it->status.isLeaving ? 0 : freeSlots(it->services[idx(service)], now);
}

bool LeaseHolder::isAlive(HostId host, TimePoint now) const
{
    if (host == m_self) {
        return true;
    }
    const Peer *it = find(host);
    const bool isIssuer = std::find(m_issuers.begin(), m_issuers.end(), host) != m_issuers.end();
    if (!isIssuer) {
        return true;
    }
    // An issuer without any message yet has as long, from the time at which the bundle was applied.
    const TimePoint since = it != nullptr && it->lastContact ? *it->lastContact : m_appliedAt;
    return now < since + exchangeInterval() * ExchangesUntilLost;
}

bool LeaseHolder::isLeaving(HostId host) const
{
    const Peer *it = find(host);
    return it != nullptr && it->status.isLeaving;
}

std::optional<HomeToken> LeaseHolder::ownerToken(HostId host, const std::string &name) const
{
    const Peer *it = find(host);
    if (it == nullptr || it->status.ledgerId.empty()) {
        return std::nullopt;
    }
    return HomeToken{name, it->status.ledgerId, it->status.ledgerAge};
}

std::optional<TimePoint> LeaseHolder::lastContact(HostId host) const
{
    const Peer *it = find(host);
    return it == nullptr ? std::nullopt : it->lastContact;
}

std::uint64_t LeaseHolder::configIndex(HostId host) const
{
    const Peer *it = find(host);
    return it == nullptr ? 0 : it->status.configIndex;
}

unsigned LeaseHolder::heldSlots(ServiceId service, TimePoint now) const
{
    unsigned sum = 0;
    for (const auto &[id, it] : m_peers) {
        const HeldLease &held = it.services[idx(service)];
        sum += now < held.validUntil ? std::min(held.amount, held.keepLimit) : 0;
    }
    return sum;
}

unsigned LeaseHolder::usedSlots(ServiceId service) const
{
    unsigned sum = 0;
    for (const auto &[id, it] : m_peers) {
        sum += it.services[idx(service)].used;
    }
    return sum;
}

unsigned LeaseHolder::spare(HostId host, ServiceId service) const
{
    const Peer *it = find(host);
    return it == nullptr ? 0 : it->services[idx(service)].spare;
}

const std::vector<HostId> &LeaseHolder::issuers() const
{
    return m_issuers;
}

} // namespace pepperlug
