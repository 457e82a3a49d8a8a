//===- LeaseIssuer.cpp - Admission and leases of this host's slice --------===//
//
// A lease counts in full from the time it is granted until its holder reports that it keeps less, or until it has
// expired by this host's clock with the allowed drift added. Requests that outlive their lease still count as used.
//
//===----------------------------------------------------------------------===//
#include "LeaseIssuer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pepperlug
{

namespace
{

constexpr unsigned WeightScale = 64; ///< keeps the fraction when a zone's slots are divided among its hosts

// Shares of caps and link limits follow the slices: a host with more slots gets more of the growth into its region.
std::vector<unsigned> hostWeights(const Bundle &bundle, RegionId region)
{
    std::vector<unsigned> zoneSlots(bundle.zones.size(), 0);
    for (const Target &target : bundle.targets) {
        zoneSlots[idx(target.zone)] += target.slots;
    }
    std::vector<unsigned> weights(bundle.hosts.size(), 0);
    for (std::size_t n = 0; n < bundle.hosts.size(); ++n) {
        const ZoneId zone = bundle.hosts[n].zone;
        const auto hostsOfZone = static_cast<unsigned>(bundle.zones[idx(zone)].hosts.size());
        weights[n] = bundle.regionOf(zone) == region ? zoneSlots[idx(zone)] * WeightScale / hostsOfZone : 0;
    }
    return weights;
}

} // namespace

LeaseIssuer::LeaseIssuer(TimePoint now)
    : m_startedAt(now)
{
}

void LeaseIssuer::applyBundle(const Bundle &bundle, HostId self, TimePoint now)
{
    const bool isFirst = m_bundle == nullptr;
    m_bundle = &bundle;
    m_ownRegion = bundle.regionOf(self);
    m_leaseTime = bundle.policy.leaseTime;
    m_reserveTime = std::chrono::duration_cast<Duration>(m_leaseTime * (1 + bundle.policy.driftAllowance));
    m_services.resize(bundle.services.size());
    for (ServiceUse &use : m_services) {
        use.regions.resize(bundle.regions.size());
    }
    if (isFirst) {
        m_startedAt = now;
    }
    // A bundle may remove a host or move it to another region, so the sums by region are recomputed.
    for (ServiceUse &use : m_services) {
        for (RegionUse &region : use.regions) {
            region.reservedByHolders = 0;
            region.usedByHolders = 0;
        }
        for (const auto &[id, holder] : use.holders) {
            RegionUse &region = use.regions[idx(bundle.regionOf(id))];
            region.reservedByHolders += holder.reserved;
            region.usedByHolders += holder.used;
        }
    }

    const std::vector<unsigned> weights = hostWeights(bundle, m_ownRegion);
    m_meters.resize(bundle.regions.size());
    for (ShiftMeter &meter : m_meters) {
        meter.setCap(std::nullopt, {});
        meter.setLinkLimit(std::nullopt);
    }
    for (const ShiftCap &cap : bundle.shiftCaps) {
        if (cap.to == m_ownRegion) {
            m_meters[idx(cap.from)].setCap(shareOf(cap.slots, weights, idx(self)), cap.interval);
        }
    }
    for (const LinkLimit &limit : bundle.linkLimits) {
        if (limit.to == m_ownRegion) {
            m_meters[idx(limit.from)].setLinkLimit(shareOf(limit.slots, weights, idx(self)));
        }
    }
}

void LeaseIssuer::remap(const IdMap &ids)
{
    ids.services.apply(m_services);
    for (ServiceUse &use : m_services) {
        ids.hosts.apply(use.holders);
        ids.regions.apply(use.regions);
    }
    ids.regions.apply(m_meters);
}

unsigned LeaseIssuer::committed(const RegionUse &use) const
{
    return std::max(use.reservedByHolders, use.usedByHolders) + use.usedDirectly;
}

unsigned LeaseIssuer::directUse(const RegionUse &use) const
{
    return std::max(use.usedDirectly, use.lookups.slots());
}

unsigned LeaseIssuer::meteredSlots(const RegionUse &use) const
{
    return std::max(use.reservedByHolders, use.usedByHolders) + std::max(use.level, directUse(use));
}

unsigned LeaseIssuer::committed(ServiceId service) const
{
    const ServiceUse &use = m_services[idx(service)];
    unsigned sum = use.localUsed;
    for (const RegionUse &region : use.regions) {
        sum += committed(region);
    }
    return sum;
}

unsigned LeaseIssuer::localUsed(ServiceId service) const
{
    return m_services[idx(service)].localUsed;
}

unsigned LeaseIssuer::heldByRegion(RegionId region, ServiceId service) const
{
    return meteredSlots(m_services[idx(service)].regions[idx(region)]);
}

unsigned LeaseIssuer::lent(ServiceId service) const
{
    unsigned sum = 0;
    for (const RegionUse &region : m_services[idx(service)].regions) {
        sum += region.reservedByHolders;
    }
    return sum;
}

int LeaseIssuer::margin(ServiceId service, unsigned capacity, unsigned localNeed) const
{
    const unsigned localUsed = m_services[idx(service)].localUsed;
    const unsigned kept = localNeed > localUsed ? localNeed - localUsed : 0;
    return static_cast<int>(capacity) - static_cast<int>(committed(service) + kept);
}

unsigned LeaseIssuer::spare(ServiceId service, unsigned capacity, unsigned localNeed) const
{
    return static_cast<unsigned>(std::max(0, margin(service, capacity, localNeed)));
}

unsigned LeaseIssuer::linkUse(RegionId region) const
{
    unsigned sum = 0;
    for (const ServiceUse &use : m_services) {
        sum += committed(use.regions[idx(region)]);
    }
    return sum;
}

unsigned LeaseIssuer::levelOf(RegionId region) const
{
    unsigned sum = 0;
    for (const ServiceUse &use : m_services) {
        sum += meteredSlots(use.regions[idx(region)]);
    }
    return sum;
}

// A restarted host does not know what it lent before. Requests under old leases are refused on arrival, but callers may
// still arrive with old look-up answers; so nothing is lent until the longest old lease must have expired.
bool LeaseIssuer::canLend(TimePoint now) const
{
    return m_bundle != nullptr && now >= m_startedAt + m_reserveTime;
}

bool LeaseIssuer::raiseLevel(RegionId region, ServiceId service, unsigned slots, TimePoint now)
{
    RegionUse &use = m_services[idx(service)].regions[idx(region)];
    if (slots <= use.level) {
        return true;
    }
    const unsigned growth = slots - use.level;
    if (m_meters[idx(region)].allowedByCap(growth, now) < growth) {
        return false;
    }
    m_meters[idx(region)].recordGrowth(growth, now);
    use.level = slots;
    return true;
}

// The level follows a falling use with a delay, so that a return to a recent level does not count as a shift.
void LeaseIssuer::lowerLevel(RegionUse &use, TimePoint now)
{
    use.peak = std::max(use.peak, directUse(use));
    if (now < use.levelChecked + m_leaseTime) {
        return;
    }
    use.level = std::min(use.level, use.peak);
    use.peak = directUse(use);
    use.levelChecked = now;
}

std::optional<Reason> LeaseIssuer::admit(const Charge &charge, ServiceId service, unsigned capacity, TimePoint now)
{
    ServiceUse &use = m_services[idx(service)];
    RegionUse &region = use.regions[idx(charge.region)];
    if (charge.kind == Charge::Kind::Holder) {
        const auto it = use.holders.find(charge.holder);
        const bool isLive = it != use.holders.end() && now < it->second.expires;
        const bool hasRoom = isLive && it->second.used < it->second.reserved;
        return hasRoom && region.usedByHolders < region.reservedByHolders ? std::nullopt
                                                                          : std::optional(Reason::OverLease);
    }
    if (committed(service) >= capacity) {
        return Reason::NoCapacity;
    }
    if (charge.kind == Charge::Kind::Local) {
        return std::nullopt;
    }
    if (m_meters[idx(charge.region)].allowedByLink(1, linkUse(charge.region)) == 0) {
        return Reason::LinkLimit;
    }
    if (!raiseLevel(charge.region, service, region.usedDirectly + 1, now)) {
        return Reason::ShiftCap;
    }
    return std::nullopt;
}

void LeaseIssuer::startUse(const Charge &charge, ServiceId service)
{
    ServiceUse &use = m_services[idx(service)];
    switch (charge.kind) {
    case Charge::Kind::Local:
        ++use.localUsed;
        break;
    case Charge::Kind::Region:
        ++use.regions[idx(charge.region)].usedDirectly;
        break;
    case Charge::Kind::Holder:
        ++use.holders[charge.holder].used;
        ++use.regions[idx(charge.region)].usedByHolders;
        break;
    }
}

void LeaseIssuer::endUse(const Charge &charge, ServiceId service)
{
    ServiceUse &use = m_services[idx(service)];
    switch (charge.kind) {
    case Charge::Kind::Local:
        assert(use.localUsed > 0 && "endUse() without startUse() for a local request");
        --use.localUsed;
        break;
    case Charge::Kind::Region:
        assert(use.regions[idx(charge.region)].usedDirectly > 0 && "endUse() without startUse() for a direct request");
        --use.regions[idx(charge.region)].usedDirectly;
        break;
    case Charge::Kind::Holder:
        assert(use.holders[charge.holder].used > 0 && "endUse() without startUse() for a forwarded request");
        --use.holders[charge.holder].used;
        --use.regions[idx(charge.region)].usedByHolders;
        break;
    }
}

bool LeaseIssuer::admitLookup(RegionId from, ServiceId service, double slots, TimePoint expires, TimePoint now)
{
    RegionUse &use = m_services[idx(service)].regions[idx(from)];
    const auto needed = static_cast<unsigned>(std::ceil(use.lookups.total() + slots));
    const unsigned more = needed > use.usedDirectly ? needed - use.usedDirectly : 0;
    const bool linkAllows = m_meters[idx(from)].allowedByLink(more, linkUse(from)) == more;
    if (!linkAllows || !raiseLevel(from, service, needed, now)) {
        return false;
    }
    use.lookups.add(expires, slots);
    return true;
}

void LeaseIssuer::setReserved(ServiceId service, HostId id, Holder &holder, unsigned amount)
{
    RegionUse &region = m_services[idx(service)].regions[idx(m_bundle->regionOf(id))];
    region.reservedByHolders += amount;
    region.reservedByHolders -= holder.reserved;
    holder.reserved = amount;
}

void LeaseIssuer::refresh(TimePoint now)
{
    for (std::size_t service = 0; service < m_services.size(); ++service) {
        ServiceUse &use = m_services[service];
        for (auto &[id, holder] : use.holders) {
            if (holder.reserved > 0 && now >= holder.expires) {
                setReserved(makeId<ServiceId>(service), id, holder, 0);
            }
        }
        for (RegionUse &region : use.regions) {
            region.lookups.expire(now);
            lowerLevel(region, now);
        }
    }
}

// Max-min fairness: the smallest wants are met first, and the rest of the pool is shared among the others.
unsigned LeaseIssuer::fairShare(const ServiceUse &use, HostId id, unsigned pool, TimePoint now) const
{
    std::vector<unsigned> wants;
    unsigned own = 0;
    for (const auto &[other, holder] : use.holders) {
        const bool isCurrent = now < holder.wantedAt + m_reserveTime;
        if (isCurrent && holder.want > 0) {
            wants.push_back(holder.want);
        }
        own = other == id ? holder.want : own;
    }
    std::sort(wants.begin(), wants.end());
    unsigned left = pool;
    for (std::size_t n = 0; n < wants.size(); ++n) {
        const auto share = static_cast<unsigned>(left / (wants.size() - n));
        if (wants[n] > share) {
            return std::min(own, share);
        }
        left -= wants[n];
    }
    return own;
}

ServiceGrant LeaseIssuer::grant(HostId id, const LeaseRequest &request, const ServiceWant &want, unsigned capacity,
                                unsigned localNeed, TimePoint now)
{
    const ServiceId service = makeId<ServiceId>(want.service);
    ServiceUse &use = m_services[want.service];
    Holder &holder = use.holders[id];
    const RegionId region = m_bundle->regionOf(id);
    const bool isNewProcess = holder.incarnation != request.incarnation;
    if (!isNewProcess && request.sequence <= holder.sequence) {
        return {want.service, 0, 0}; // out of order: the holder no longer waits for the answer
    }
    // A restarted holder does not know its old leases, but callers still use look-up answers of its old process, so a
    // new incarnation does not shorten an old lease.
    const unsigned live = now < holder.expires ? holder.reserved : 0;
    const unsigned kept = isNewProcess ? live : std::min(live, std::max(want.keep, holder.used));
    holder.incarnation = request.incarnation;
    holder.sequence = request.sequence;
    holder.want = want.want;
    holder.wantedAt = now;
    setReserved(service, id, holder, kept);

    const unsigned available = spare(service, capacity, localNeed);
    int lentSlots = 0;
    for (const auto &[other, it] : use.holders) {
        lentSlots += static_cast<int>(it.reserved);
    }
    const auto pool = static_cast<unsigned>(std::max(0, lentSlots + margin(service, capacity, localNeed)));
    const unsigned target = canLend(now) ? std::min(want.want, fairShare(use, id, pool, now)) : 0;
    unsigned amount = std::min(kept, target);
    if (target > kept) {
        unsigned growth = std::min(target - kept, available);
        if (region != m_ownRegion) {
            growth = m_meters[idx(region)].allowedByLink(growth, linkUse(region));
            growth = m_meters[idx(region)].allowedByCap(growth, now);
            m_meters[idx(region)].recordGrowth(growth, now);
        }
        amount = kept + growth;
    }
    if (isNewProcess) {
        amount = std::min(amount, target);
    }
    setReserved(service, id, holder, std::max(kept, amount));
    holder.expires = now + m_reserveTime;
    return {want.service, amount, spare(service, capacity, localNeed)};
}

LeaseGrant LeaseIssuer::handleRequest(HostId holder, const LeaseRequest &request, const std::vector<unsigned> &capacity,
                                      const std::vector<unsigned> &localNeed, TimePoint now)
{
    assert(m_bundle != nullptr && "lease request before a bundle is in force");
    LeaseGrant reply;
    reply.sequence = request.sequence;
    reply.duration = std::chrono::duration_cast<std::chrono::microseconds>(m_leaseTime);
    for (const ServiceWant &want : request.wants) {
        if (want.service < m_services.size()) {
            reply.grants.push_back(grant(holder, request, want, capacity[want.service], localNeed[want.service], now));
        }
    }
    return reply;
}

ShiftView LeaseIssuer::shift(RegionId from) const
{
    const ShiftMeter &meter = m_meters[idx(from)];
    return {levelOf(from), linkUse(from), meter.cap().value_or(UINT32_MAX), meter.interval(), meter.linkLimit()};
}

} // namespace pepperlug
