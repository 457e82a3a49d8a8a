//===- SliceGuard.cpp - Slices with a lease of their own ------------------===//
//
// Two hosts of one zone may have different configurations in force for a while. The sum over them stays within the
// targets' slots because each host uses the lesser of its old and its new slice until all hosts concerned have said
// that they have the new one, or have been out of touch so long that their slices have run out.
//
//===----------------------------------------------------------------------===//
#include "SliceGuard.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

/// How many capacity leases the lease of a slice lasts.
constexpr int LeasesInSlice = 3;

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
    std::vector<HostId> concerned;
    if (before != nullptr) {
        const IdMap ids(*before, bundle);
        ids.targets.apply(m_slots);
        concerned = m_mustConfirm;
        concerned.insert(concerned.end(), m_others.begin(), m_others.end());
        for (HostId &host : concerned) {
            // A host that was taken out of the bundle can't confirm; only time tells that its slice has run out.
            const std::optional<HostId> moved = ids.hosts(host);
            m_mustWaitOut |= !moved;
            host = moved.value_or(self);
        }
        std::erase(concerned, self);
    }
    m_slots.resize(bundle.targets.size(), 0);
    m_self = self;
    m_index = index;
    m_appliedAt = now;
    m_sliceLease = bundle.policy.leaseTime * LeasesInSlice;
    m_drift = bundle.policy.driftAllowance;
    m_wanted = sliceOf(bundle, zone, owners, self);
    m_others = owners;
    std::erase(m_others, self);
    m_mustConfirm = m_others;
    for (const HostId host : concerned) {
        if (std::find(m_mustConfirm.begin(), m_mustConfirm.end(), host) == m_mustConfirm.end()) {
            m_mustConfirm.push_back(host);
        }
    }
    for (std::size_t n = 0; n < m_slots.size(); ++n) {
        m_slots[n] = std::min(m_slots[n], m_wanted[n]);
    }
}

void SliceGuard::handleControlReply(std::uint64_t index, TimePoint now)
{
    // An answer that knows of something newer renews nothing until that is in force here.
    if (index <= m_index) {
        m_controlHeard = now;
    }
}

bool SliceGuard::isValid(const LeaseHolder &holder, TimePoint now) const
{
    if (m_others.empty()) {
        return true;
    }
    const auto lease = std::chrono::duration_cast<Duration>(m_sliceLease * (1 - m_drift));
    if (m_controlHeard && now < *m_controlHeard + lease) {
        return true;
    }
    return std::all_of(m_others.begin(), m_others.end(), [&](HostId host) {
        const std::optional<TimePoint> heard = holder.lastContact(host);
        return heard && now < *heard + lease && holder.configIndex(host) <= m_index;
    });
}

bool SliceGuard::othersConfirmed(const LeaseHolder &holder) const
{
    return std::all_of(m_mustConfirm.begin(), m_mustConfirm.end(),
                       [&](HostId host) { return holder.configIndex(host) >= m_index; });
}

bool SliceGuard::refresh(const LeaseHolder &holder, TimePoint now)
{
    if (!hasPendingSlots()) {
        return false;
    }
    const auto surelyOver = std::chrono::duration_cast<Duration>(m_sliceLease * (1 + m_drift));
    const bool waitedOut = now >= m_appliedAt + surelyOver && isValid(holder, now);
    if (!waitedOut && (m_mustWaitOut || !othersConfirmed(holder))) {
        return false;
    }
    m_mustWaitOut = false;
    m_mustConfirm = m_others;
    m_slots = m_wanted;
    return true;
}

const std::vector<unsigned> &SliceGuard::slots() const
{
    return m_slots;
}

bool SliceGuard::hasPendingSlots() const
{
    return m_slots != m_wanted;
}

} // namespace pepperlug
