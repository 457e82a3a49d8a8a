//===- LeaseHolder.h - Capacity borrowed from other hosts --------*- C++ -*-===//
//
// The leases that this host holds, what it uses of them, and the regular
// exchange with their issuers, which serves as heartbeat too.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "IdMap.h"
#include "pepperlug/Steer.h"

namespace pepperlug
{

/// What a host says of itself with every exchange.
struct HostStatus {
    std::uint64_t configIndex = 0;
    bool isLeaving = false;
    std::string ledgerId;
    std::chrono::seconds ledgerAge{};
};

class LeaseHolder
{
public:
    explicit LeaseHolder(std::uint64_t incarnation);

    /// Chooses the issuers: the few that rendezvous hashing gives of the own zone and of others, nearest zones first.
    /// So the cost of the exchange does not grow with the number of hosts.
    void applyBundle(const Bundle &bundle, HostId self, TimePoint now);
    void remap(const IdMap &ids);

    /// Asks each issuer whose turn has come. `overflow` is, by service, the demand that the own slice can't hold.
    void poll(const std::vector<unsigned> &overflow, const HostStatus &own, TimePoint now, Effects &out);
    /// Makes it every issuer's turn at the next poll().
    void makeAllDue();
    /// Takes a grant; an answer to any but the last request is dropped. Returns whether it was taken.
    bool handleGrant(HostId issuer, const LeaseGrant &grant, TimePoint now);
    void handleFailure(HostId issuer, std::uint64_t sequence);
    /// Notes that a request of that host arrived.
    void recordContact(HostId peer, const HostStatus &said, TimePoint now);

    bool hasFreeSlots(HostId issuer, ServiceId service, TimePoint now) const;
    /// The nearest issuer with room, seen from this host; only in `region` if given.
    std::optional<HostId> chooseLease(ServiceId service, std::optional<RegionId> region,
                                      const std::vector<HostId> &excluded, TimePoint now) const;
    /// The host of a region with most slots to spare, as it said last; counts one of them as gone.
    std::optional<HostId> chooseWithSpare(ServiceId service, RegionId region, const std::vector<HostId> &excluded,
                                          TimePoint now);
    /// The nearest live host of a region.
    std::optional<HostId> chooseAlive(RegionId region, const std::vector<HostId> &excluded, TimePoint now) const;
    void startUse(HostId issuer, ServiceId service);
    void endUse(HostId issuer, ServiceId service);
    /// Whether callers who will use about so many slots may be named this host; takes them off what it said to have to
    /// spare.
    bool spendLookupCredit(HostId host, ServiceId service, double slots);
    /// Slots of a lease that are not in use.
    unsigned freeSlots(HostId issuer, ServiceId service, TimePoint now) const;

    /// Whether the host was heard lately. One that this host exchanges nothing with counts as alive.
    bool isAlive(HostId host, TimePoint now) const;
    bool isLeaving(HostId host) const;
    /// Ledger of the host as it said last; its age is that of then, so a token made of it is never from the future.
    std::optional<HomeToken> ownerToken(HostId host, const std::string &name) const;
    std::optional<TimePoint> lastContact(HostId host) const;
    std::uint64_t configIndex(HostId host) const;
    unsigned heldSlots(ServiceId service, TimePoint now) const;
    unsigned usedSlots(ServiceId service) const;
    unsigned spare(HostId host, ServiceId service) const;
    const std::vector<HostId> &issuers() const;
    /// Time between two requests to one issuer.
    Duration exchangeInterval() const;

private:
    struct Held {
        unsigned amount = 0;
        TimePoint validUntil{};
        unsigned kept = 0; ///< what the last request promised to stay within
        unsigned used = 0;
        unsigned spare = 0; ///< as the issuer said last
        double credit = 0; ///< part of the spare that look-up answers from here may fill until it says more
        unsigned want = 0;
    };

    struct Peer {
        std::vector<Held> services;
        std::uint64_t sequence = 0;
        bool isAsking = false;
        TimePoint askedAt{};
        std::optional<TimePoint> lastHeard;
        HostStatus said;
    };

    Peer &peer(HostId host);
    const Peer *find(HostId host) const;
    unsigned freeSlots(const Held &held, TimePoint now) const;
    bool isDue(const Peer &peer, Duration interval, TimePoint now) const;
    bool isShort(const std::vector<unsigned> &overflow, TimePoint now) const;
    std::vector<unsigned> shareWants(ServiceId service, unsigned overflow, TimePoint now) const;
    LeaseRequest makeRequest(Peer &peer, const HostStatus &own, TimePoint now);

    std::uint64_t m_incarnation;
    HostId m_self{};
    std::size_t m_services = 0;
    Duration m_leaseTime{};
    TimePoint m_appliedAt{};
    double m_drift = 0;
    std::vector<HostId> m_issuers; ///< nearest first
    std::vector<RegionId> m_regions; ///< by HostId
    std::vector<ZoneId> m_zones; ///< by HostId
    std::map<HostId, Peer> m_peers;
};

} // namespace pepperlug
