//===- SliceGuard.cpp - Leases of slices ----------------------------------===//
//
// Two hosts of one zone may have different configurations in force for a while. The sum over them stays within the
// targets' slots because each host uses the smaller of its old and its new slots on each target until all present and
// former owners have reported the new configuration, or until every slice lease of the old one must have expired.
//
//===----------------------------------------------------------------------===//
#include "SliceGuard.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

/// Duration of a slice lease, in capacity lease times.
constexpr int LeaseTimesPerSliceLease = 3;

} // namespace

void SliceGuard::applyConfig(const Bundle *before, const Bundle &bundle, HostId self,
                             const std::vector<std::string> &voidHosts, std::uint64_t index, TimePoint now)
{
    const ZoneId zone = bundle.hosts[idx(self)].zone;
    std::vector<HostId> owners;
    for (const HostId host : bundle.zones[idx(zone)].hosts) {
        if (std::find(voidHosts.begin(), voidHosts.end(), bundle.hosts[idx(host)].name) == voidHosts.end()) {
            owners.push_back(host);
        }
    }
    std::vector<HostId> previousOwners;
    if (before != nullptr) {
        const IdMap ids(*before, bundle);
        ids.targets.apply(m_slots);
        previousOwners = m_awaitedOwners;
        previousOwners.insert(previousOwners.end(), m_otherOwners.begin(), m_otherOwners.end());
        for (HostId &host : previousOwners) {
            // A host that was removed from the bundle can't report the new configuration, so its slice lease must
            // expire first.
            const std::optional<HostId> moved = ids.hosts(host);
            m_mustAwaitExpiry |= !moved;
            host = moved.value_or(self);
        }
        std::erase(previousOwners, self);
    }
    m_slots.resize(bundle.targets.size(), 0);
    m_self = self;
    m_index = index;
    m_appliedAt = now;
    m_sliceLease = bundle.policy.leaseTime * LeaseTimesPerSliceLease;
    m_drift = bundle.policy.driftAllowance;
    m_assignedSlots = sliceOf(bundle, zone, owners, self);
    m_otherOwners = owners;
    std::erase(m_otherOwners, self);
    m_awaitedOwners = m_otherOwners;
    for (const HostId host : previousOwners) {
        if (std::find(m_awaitedOwners.begin(), m_awaitedOwners.end(), host) == m_awaitedOwners.end()) {
            m_awaitedOwners.push_back(host);
        }
    }
    for (std::size_t n = 0; n < m_slots.size(); ++n) {
        m_slots[n] = std::min(m_slots[n], m_assignedSlots[n]);
    }
}

void SliceGuard::handleControlReply(std::uint64_t index, TimePoint now)
{
    // A reply with a newer index does not renew the lease until that configuration is in force here.
    if (index <= m_index) {
        m_lastControlReply = now;
    }
}

bool SliceGuard::isValid(const LeaseHolder &holder, TimePoint now) const
{
    if (m_otherOwners.empty()) {
        return true;
    }
    const auto lease = std::chrono::duration_cast<Duration>(m_sliceLease * (1 - m_drift));
    if (m_lastControlReply && now < *m_lastControlReply + lease) {
        return true;
    }
    return std::all_of(m_otherOwners.begin(), m_otherOwners.end(), [&](HostId host) {
        const std::optional<TimePoint> contact = holder.lastContact(host);
        return contact && now < *contact + lease && holder.configIndex(host) <= m_index;
    });
}

bool SliceGuard::othersConfirmed(const LeaseHolder &holder) const
{
    return std::all_of(m_awaitedOwners.begin(), m_awaitedOwners.end(),
                       [&](HostId host) { return holder.configIndex(host) >= m_index; });
}

bool SliceGuard::refresh(const LeaseHolder &holder, TimePoint now)
{
    if (!hasPendingSlots()) {
        return false;
    }
    const auto longestLease = std::chrono::duration_cast<Duration>(m_sliceLease * (1 + m_drift));
    const bool leasesExpired = now >= m_appliedAt + longestLease && isValid(holder, now);
    if (!leasesExpired && (m_mustAwaitExpiry || !othersConfirmed(holder))) {
        return false;
    }
    m_mustAwaitExpiry = false;
    m_awaitedOwners = m_otherOwners;
    m_slots = m_assignedSlots;
    return true;
}

const std::vector<unsigned> &SliceGuard::slots() const
{
    return m_slots;
}

bool SliceGuard::hasPendingSlots() const
{
    return m_slots != m_assignedSlots;
}

} // namespace pepperlug
