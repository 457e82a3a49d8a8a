//===- LeaseHolder.h - Capacity leased from other hosts ----------*- C++ -*-===//
//
// The leases that this host holds, their use, and the periodic exchange of
// requests and grants with their issuers, which is also the heartbeat.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "IdMap.h"
#include "pepperlug/Steer.h"

namespace pepperlug
{

/// State that a host reports about itself in every lease request and grant.
struct HostStatus {
    std::uint64_t configIndex = 0; ///< index of the configuration in force
    bool isLeaving = false;
    std::string ledgerId;
    std::chrono::seconds ledgerAge{};
};

/// Holder's side of the leases between entry hosts.
class LeaseHolder
{
public:
    explicit LeaseHolder(std::uint64_t incarnation);

    /// Applies a bundle and selects the issuers: a few hosts of the own zone and of others, nearest zones first,
    /// selected by rendezvous hashing. Their bounded number keeps the cost of the exchange independent of the number of
    /// hosts.
    void applyBundle(const Bundle &bundle, HostId self, TimePoint now);
    /// Moves the state to the ids of another bundle; applyBundle() must follow.
    void remap(const IdMap &ids);

    /// Sends a request to each issuer for which one is due. `overflow` is the demand, by service, that exceeds the own
    /// slice.
    void poll(const std::vector<unsigned> &overflow, const HostStatus &own, TimePoint now, Effects &out);
    /// Makes a request to every issuer due at the next poll().
    void makeAllDue();
    /// Applies a grant, unless it answers an earlier request than the last. Returns true if it was applied.
    bool handleGrant(HostId issuer, const LeaseGrant &grant, TimePoint now);
    /// Handles a failed request; the next one is sent when it is due.
    void handleFailure(HostId issuer, std::uint64_t sequence);
    /// Records a message from a host and the status in it.
    void recordContact(HostId peer, const HostStatus &status, TimePoint now);

    /// Returns true if a lease of the issuer has free slots.
    bool hasFreeSlots(HostId issuer, ServiceId service, TimePoint now) const;
    /// Returns the nearest issuer whose lease has free slots; only one in `region` if given.
    std::optional<HostId> chooseLease(ServiceId service, std::optional<RegionId> region,
                                      const std::vector<HostId> &excluded, TimePoint now) const;
    /// Returns the host of a region that last reported the most spare slots, and counts one of these as used.
    std::optional<HostId> chooseWithSpare(ServiceId service, RegionId region, const std::vector<HostId> &excluded,
                                          TimePoint now);
    /// Returns the nearest live host of a region.
    std::optional<HostId> chooseAlive(RegionId region, const std::vector<HostId> &excluded, TimePoint now) const;
    /// Takes a slot of a lease for a forwarded request.
    void startUse(HostId issuer, ServiceId service);
    /// Releases the slot of a forwarded request.
    void endUse(HostId issuer, ServiceId service);
    /// Returns true, and takes `slots` off the host's credit, if a look-up answer may name the host to callers that are
    /// expected to use as many. The credit is a share of the spare slots that the host last reported.
    bool spendLookupCredit(HostId host, ServiceId service, double slots);
    /// Returns the slots of a lease that are not in use.
    unsigned freeSlots(HostId issuer, ServiceId service, TimePoint now) const;

    /// Returns true if the host has sent a message recently. A host that is not an issuer counts as alive.
    bool isAlive(HostId host, TimePoint now) const;
    bool isLeaving(HostId host) const;
    /// Returns a token of the host's ledger, with the age that the host last reported, so the token is never from the
    /// future.
    std::optional<HomeToken> ownerToken(HostId host, const std::string &name) const;
    std::optional<TimePoint> lastContact(HostId host) const;
    std::uint64_t configIndex(HostId host) const;
    unsigned heldSlots(ServiceId service, TimePoint now) const;
    unsigned usedSlots(ServiceId service) const;
    unsigned spare(HostId host, ServiceId service) const;
    const std::vector<HostId> &issuers() const;
    /// Returns the time between two requests to one issuer.
    Duration exchangeInterval() const;

private:
    /// The lease of one service by one issuer.
    struct HeldLease {
        unsigned amount = 0;
        TimePoint validUntil{};
        unsigned keepLimit = 0; ///< `keep` of the last request: the use of earlier grants stays within it
        unsigned used = 0;
        unsigned spare = 0; ///< as last reported by the issuer
        double credit = 0; ///< part of `spare` that look-up answers of this host may use until the next grant
        unsigned want = 0;
    };

    struct Peer {
        std::vector<HeldLease> services;
        std::uint64_t sequence = 0;
        bool isAwaitingReply = false;
        TimePoint requestedAt{};
        std::optional<TimePoint> lastContact;
        HostStatus status;
    };

    Peer &peer(HostId host);
    const Peer *find(HostId host) const;
    unsigned freeSlots(const HeldLease &held, TimePoint now) const;
    bool isDue(const Peer &peer, Duration interval, TimePoint now) const;
    bool hasShortfall(const std::vector<unsigned> &overflow, TimePoint now) const;
    std::vector<unsigned> distributeWants(ServiceId service, unsigned overflow, TimePoint now) const;
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
