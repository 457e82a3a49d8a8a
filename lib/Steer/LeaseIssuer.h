//===- LeaseIssuer.h - Leases on this host's slice ---------------*- C++ -*-===//
//
// Keeps the sum of all slots that are committed: those in use by callers of this
// host's region, those lent to other hosts, and those in use by callers of other
// regions who came here directly. Every admission and every lease is counted
// here, so that the sum never exceeds the capacity.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "ExpiringCount.h"
#include "IdMap.h"
#include "ShiftMeter.h"
#include "TargetPool.h"

namespace pepperlug
{

/// Account to which the slot of a running request is charged.
struct Charge {
    enum class Kind {
        Local, ///< a caller of this host's region
        Region, ///< a caller of another region who came here directly
        Holder, ///< another entry host, under its lease
    };
    Kind kind = Kind::Local;
    RegionId region{};
    HostId holder{};
};

/// Issuer's side of the leases between entry hosts.
class LeaseIssuer
{
public:
    explicit LeaseIssuer(TimePoint now);

    void applyBundle(const Bundle &bundle, HostId self, TimePoint now);
    /// Moves the state to the ids of another bundle; applyBundle() must follow.
    void remap(const IdMap &ids);

    /// Returns the answer to a lease request. `capacity` and `localNeed`, the slots kept for callers of this region,
    /// are by service.
    LeaseGrant handleRequest(HostId holder, const LeaseRequest &request, const std::vector<unsigned> &capacity,
                             const std::vector<unsigned> &localNeed, TimePoint now);

    /// Admits one more request, and raises the level of its region if shift cap and link limit allow. Returns the
    /// reason of the refusal, or nothing if the request is admitted; startUse() must follow when it runs.
    std::optional<Reason> admit(const Charge &charge, ServiceId service, unsigned capacity, TimePoint now);
    void startUse(const Charge &charge, ServiceId service);
    void endUse(const Charge &charge, ServiceId service);
    /// Records a look-up answer that sends a caller of another region here, who is expected to use `slots`. Returns
    /// false, and records nothing, if the shift cap or the link limit does not allow it.
    bool admitLookup(RegionId from, ServiceId service, double slots, TimePoint expires, TimePoint now);

    /// Drops expired leases and look-up answers.
    void refresh(TimePoint now);

    /// Returns the slots in use or lent.
    unsigned committed(ServiceId service) const;
    unsigned localUsed(ServiceId service) const;
    unsigned lent(ServiceId service) const;
    /// Returns the slots that callers of another region hold here, by lease or by direct use.
    unsigned heldByRegion(RegionId region, ServiceId service) const;
    ShiftView shift(RegionId from) const;
    /// Returns the slots that could still be lent, beyond the need of callers of this region.
    unsigned spare(ServiceId service, unsigned capacity, unsigned localNeed) const;
    /// Returns true if all leases of an earlier process of this host must have expired.
    bool canLend(TimePoint now) const;

private:
    struct Holder {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        unsigned reserved = 0;
        TimePoint expires{};
        unsigned used = 0;
        unsigned want = 0;
        TimePoint wantedAt{};
    };

    struct RegionUse {
        unsigned reservedByHolders = 0;
        unsigned usedByHolders = 0;
        unsigned usedDirectly = 0;
        ExpiringCount lookups;
        /// Slots to which the use by direct callers has grown; further growth is metered. It reserves nothing: direct
        /// callers get the slots that are free on arrival.
        unsigned level = 0;
        unsigned peak = 0; ///< highest use by direct callers since `levelChecked`
        TimePoint levelChecked{};
    };

    struct ServiceUse {
        std::map<HostId, Holder> holders;
        std::vector<RegionUse> regions; ///< by RegionId; of this region only the holders are counted
        unsigned localUsed = 0;
    };

    struct Arrival {
        HostId holder{};
        ServiceId service{};
    };

    /// Returns the slots that can't be given to others now.
    unsigned committed(const RegionUse &use) const;
    /// Returns the slots of a region as the shift cap counts them.
    unsigned meteredSlots(const RegionUse &use) const;
    unsigned directUse(const RegionUse &use) const;
    void lowerLevel(RegionUse &use, TimePoint now);
    /// Returns the slots committed to a region, over all services, as the link limit counts them.
    unsigned linkUse(RegionId region) const;
    /// Returns the slots of a region over all services, as the shift cap counts them.
    unsigned levelOf(RegionId region) const;
    /// Returns the capacity minus the committed slots and the unmet need of this region; negative if too many slots are
    /// lent.
    int margin(ServiceId service, unsigned capacity, unsigned localNeed) const;
    /// Raises the level of direct callers to `slots`. Returns false if the shift cap does not allow it.
    bool raiseLevel(RegionId region, ServiceId service, unsigned slots, TimePoint now);
    void setReserved(ServiceId service, HostId id, Holder &holder, unsigned amount);
    ServiceGrant grant(HostId id, const LeaseRequest &request, const ServiceWant &want, unsigned capacity,
                       unsigned localNeed, TimePoint now);
    unsigned fairShare(const ServiceUse &use, HostId id, unsigned pool, TimePoint now) const;

    const Bundle *m_bundle = nullptr;
    RegionId m_ownRegion{};
    Duration m_leaseTime{};
    Duration m_reserveTime{}; ///< time for which a lease counts here: the lease time plus the allowed clock drift
    TimePoint m_startedAt;
    std::vector<ServiceUse> m_services;
    std::vector<ShiftMeter> m_meters; ///< by RegionId of the callers
};

} // namespace pepperlug
