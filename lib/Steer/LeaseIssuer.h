//===- LeaseIssuer.h - Lending this host's slice -----------------*- C++ -*-===//
//
// Keeps the one sum that no promise about capacity may exceed: what callers of
// this host's region use, what is lent to other hosts, and what callers of other
// regions use directly. Every admission and every lease passes through here.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "ExpiringCount.h"
#include "IdMap.h"
#include "ShiftMeter.h"
#include "TargetPool.h"

namespace pepperlug
{

/// Whose capacity a running request uses here.
struct Charge {
    enum class Kind {
        Local, ///< a caller of this host's own region
        Region, ///< a caller of another region who came here directly
        Holder, ///< another entry host, under its lease
    };
    Kind kind = Kind::Local;
    RegionId region{};
    HostId holder{};
};

class LeaseIssuer
{
public:
    explicit LeaseIssuer(TimePoint now);

    void applyBundle(const Bundle &bundle, HostId self, TimePoint now);
    /// Moves what is known to the ids of another bundle; applyBundle must follow.
    void remap(const IdMap &ids);

    /// Answers a holder. `capacity` is by service; `localNeed` is what this host keeps for its own callers.
    LeaseGrant handleRequest(HostId holder, const LeaseRequest &request, const std::vector<unsigned> &capacity,
                             const std::vector<unsigned> &localNeed, TimePoint now);

    /// Whether one more request may run; grows the part of a region of direct callers if cap and link allow.
    /// Returns the reason of the refusal, nothing if admitted. Call startUse() when it then runs.
    std::optional<Reason> admit(const Charge &charge, ServiceId service, unsigned capacity, TimePoint now);
    void startUse(const Charge &charge, ServiceId service);
    void endUse(const Charge &charge, ServiceId service);
    /// Notes a look-up answer that sends a caller of another region here, who will use about so many slots. Returns
    /// false, and notes nothing, if cap or link do not allow it.
    bool admitLookup(RegionId from, ServiceId service, double slots, TimePoint expires, TimePoint now);

    /// Lets leases and look-up answers run out.
    void refresh(TimePoint now);

    unsigned committed(ServiceId service) const;
    unsigned localUsed(ServiceId service) const;
    unsigned lent(ServiceId service) const;
    /// Slots that callers of another region hold here, by lease or by use.
    unsigned heldByRegion(RegionId region, ServiceId service) const;
    ShiftView shift(RegionId from) const;
    /// Slots that could still be lent, after what home needs.
    unsigned spare(ServiceId service, unsigned capacity, unsigned localNeed) const;
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
        /// Slots up to which direct callers have grown; growing further is metered. Reserves nothing: they get what is
        /// free when they come.
        unsigned level = 0;
        unsigned peak = 0; ///< of their use since levelChecked
        TimePoint levelChecked{};
    };

    struct ServiceUse {
        std::map<HostId, Holder> holders;
        std::vector<RegionUse> regions; ///< by RegionId; the own region counts its holders only
        unsigned localUsed = 0;
    };

    struct Arrival {
        HostId holder{};
        ServiceId service{};
    };

    /// Slots that can't be given to others now.
    unsigned committed(const RegionUse &use) const;
    /// Slots to which callers of a region have grown, as caps count them.
    unsigned taken(const RegionUse &use) const;
    unsigned directUse(const RegionUse &use) const;
    void checkLevel(RegionUse &use, TimePoint now);
    /// Slots of the link from that region that are taken, over all services.
    unsigned linkUse(RegionId region) const;
    unsigned levelOf(RegionId region) const;
    /// Slots left after all that is committed and that home still needs; below zero where too much is lent.
    int margin(ServiceId service, unsigned capacity, unsigned localNeed) const;
    /// Raises the level of direct callers to `slots` if cap and link allow.
    bool raiseLevel(RegionId region, ServiceId service, unsigned slots, TimePoint now);
    void setReserved(ServiceId service, HostId id, Holder &holder, unsigned amount);
    ServiceGrant grant(HostId id, const LeaseRequest &request, const ServiceWant &want, unsigned capacity,
                       unsigned localNeed, TimePoint now);
    unsigned fairShare(const ServiceUse &use, HostId id, unsigned pool, TimePoint now) const;

    const Bundle *m_bundle = nullptr;
    RegionId m_ownRegion{};
    Duration m_leaseTime{};
    Duration m_reserveTime{}; ///< how long a lease counts here: its time and the drift that is allowed
    TimePoint m_started;
    std::vector<ServiceUse> m_services;
    std::vector<ShiftMeter> m_meters; ///< by RegionId of the callers
};

} // namespace pepperlug
