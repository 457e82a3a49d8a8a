//===- Impl.h - State of the entry host's reducer ----------------*- C++ -*-===//
//
// The state behind Steering. Its member functions are grouped by file: Config,
// Placement, Attempts, OnceFlow, Lookup and Steering, which dispatches events.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Demand.h"
#include "HostChoosers.h"
#include "LeaseHolder.h"
#include "LeaseIssuer.h"
#include "SliceGuard.h"
#include "TargetPool.h"

#include <queue>
#include <unordered_map>

namespace pepperlug
{

struct Attempt {
    unsigned number = 0;
    std::optional<TargetId> target;
    std::optional<HostId> host;
    bool toOwner = false;
    bool isHedge = false; ///< counted at the issuer on its own
    bool isRunning = true;
    TimePoint startedAt{};
};

enum class Phase {
    AwaitingClaimSync, ///< its claim is on the way to the disk
    AwaitingCloseSync, ///< its claim is being closed as not run
    AwaitingEarlierRequest, ///< an earlier request with the same key runs
    Queued,
    Running,
    Detached, ///< a once-only operation whose caller has been answered or has left
};

struct Request {
    RequestArrived info;
    Charge charge;
    Phase phase = Phase::Queued;
    bool isCharged = false; ///< counted at the issuer
    bool countsAsDemand = false; ///< part of the demand estimate
    bool holdsClaim = false;
    bool maybeSent = false; ///< a target or another host may have got it
    bool hedged = false;
    TimePoint arrivedAt{};
    std::vector<Attempt> attempts;
    std::vector<TargetId> triedTargets;
    std::vector<HostId> triedHosts;
    Refuse pendingRefusal; ///< with AwaitingCloseSync
};

/// Requests that wait for a slot. Callers of other regions wait apart, by region: what holds them up, a cap or their
/// share, must not hold up own callers.
struct ServiceQueue {
    std::deque<RequestId> local;
    std::map<RegionId, std::deque<RequestId>> otherRegions;

    std::size_t size() const
    {
        std::size_t sum = local.size();
        for (const auto &[region, queue] : otherRegions) {
            sum += queue.size();
        }
        return sum;
    }
};

class Steering::Impl
{
public:
    Impl(SteerSettings settings, TimePoint now);

    void handle(const ConfigApplied &event);
    void handle(const ControlReplied &event);
    void handle(const LookupArrived &event);
    void handle(const RequestArrived &event);
    void handle(const AttemptEnded &event);
    void handle(const CallerDisconnected &event);
    void handle(const LeaseRequestArrived &event);
    void handle(const LeaseGranted &event);
    void handle(const LeaseFailed &event);
    void handle(const TargetReported &event);
    void handle(const PlatformListArrived &event);
    void handle(const ClaimSynced &event);
    void handle(const StopRequested &event);
    void handle(const Tick &event);

    // Config.cpp
    void remapRequests(const IdMap &ids);
    void applyDrains(const ConfigApplied &event);
    void refreshSlice();
    bool isDrainedHost(HostId host) const;

    // Placement.cpp
    Charge chargeOf(const RequestArrived &info) const;
    /// Starts the request, queues it, or says why neither is possible.
    std::optional<Reason> place(Request &request);
    std::optional<Reason> tryLocal(Request &request);
    bool tryLease(Request &request);
    bool tryNeighbour(Request &request);
    std::optional<Reason> placeByBaseline(Request &request);
    bool enqueue(Request &request);
    void runQueue(ServiceId service);
    void runQueue(ServiceId service, std::deque<RequestId> &queue);
    std::deque<RequestId> &queueOf(const Request &request);
    bool noneQueuedAhead(const Request &request);
    /// Time that one more request would wait behind those that wait already, for `slots` to come free.
    Duration queueWait(ServiceId service, std::size_t waiting, unsigned slots) const;
    Duration localQueueWait(ServiceId service) const;
    /// Region to which a request of this charge may be sent on; nothing for any.
    std::optional<RegionId> forwardRegion(const Charge &charge) const;
    /// Whether going to the nearest lease adds less time than waiting here.
    bool isLeaseFaster(ServiceId service, std::optional<RegionId> region, const std::vector<HostId> &excluded) const;
    bool willMissDeadline(const Request &request) const;
    void startAtTarget(Request &request, TargetId target, Reason reason);
    void startAtHost(Request &request, HostId host, Reason reason, bool toOwner);
    void refuse(Request &request, Outcome outcome, Reason reason, const std::string &peer);
    Milliseconds retryAfter(const Request &request, Reason reason) const;
    void logDecision(const Request &request, Reason reason, std::optional<TargetId> target, std::optional<HostId> host,
                     unsigned attempt);

    // Attempts.cpp
    void endAttempt(Request &request, Attempt &attempt, AttemptResult result);
    void releaseAttempt(const Request &request, Attempt &attempt);
    void handleFailedAttempt(Request &request, const Attempt &attempt, AttemptResult result);
    void cancelAttempts(Request &request);
    void releaseCharge(Request &request);
    void erase(RequestId id);
    void handleDeadline(Request &request);
    void startHedge(Request &request);
    bool takeRetryToken();
    std::string peerName(const Attempt &attempt) const;

    // OnceFlow.cpp
    /// Returns true if the request goes on to be placed now.
    bool claim(Request &request);
    void startAtOwner(Request &request, const OperationKey &key);
    void finishClaim(Request &request, const AttemptEnded &event);
    /// Closes the claim of a refused request. Returns true if the refusal has to wait for a disk.
    bool closeClaim(Request &request, const Refuse &refusal);
    void answerWaiters(const std::string &key);

    // Lookup.cpp
    std::vector<HostId> rankHosts(const LookupArrived &event);
    std::vector<HostId> candidateHosts(const LookupArrived &event);
    void shuffleByFreeSlots(std::vector<HostId> &hosts, std::size_t from, ServiceId service);
    unsigned freeSlotsAt(HostId host, ServiceId service) const;
    /// Slots that a caller who keeps a look-up answer uses about.
    double slotsPerLookup(ServiceId service) const;
    bool reserveLookup(const LookupArrived &event, HostId host);
    bool serves(ZoneId zone, ServiceId service) const;
    std::optional<HomeToken> ownerTokenOf(HostId host) const;

    // Steering.cpp
    void pollLeases();
    HostStatus ownStatus() const;
    unsigned localNeed(ServiceId service) const;
    unsigned localCapacity(ServiceId service) const;
    std::vector<unsigned> capacities() const;
    std::vector<unsigned> localNeeds() const;
    void runTimers();
    void checkStop();
    void checkPeers();
    void reportChange(std::string what, std::string subject, std::string detail = {});

    enum class TimerKind { Deadline, Hedge };
    struct Timer {
        TimePoint at{};
        RequestId id{};
        TimerKind kind{};
        bool operator>(const Timer &other) const
        {
            return at > other.at;
        }
    };

    SteerSettings m_settings;
    TimePoint m_now;
    Effects *m_out = nullptr;
    std::mt19937_64 m_random;

    BundlePtr m_bundle;
    std::uint64_t m_index = 0;
    std::optional<HostId> m_self; ///< nothing if the bundle does not name this host
    ZoneId m_zone{};
    RegionId m_region{};
    std::vector<bool> m_drainedHosts; ///< by HostId
    std::vector<std::vector<ZoneId>> m_zonesByDistance; ///< by ZoneId of the caller
    std::vector<std::vector<bool>> m_serves; ///< by ZoneId, then ServiceId

    TargetPool m_pool;
    LeaseIssuer m_issuer;
    LeaseHolder m_holder;
    SliceGuard m_guard;
    bool m_sliceValid = false;
    std::vector<DemandEstimator> m_demand; ///< by ServiceId
    std::vector<ExpiringCount> m_homeLookups; ///< by ServiceId: answers that name this host to callers of its region
    std::vector<ServiceQueue> m_queues; ///< by ServiceId
    std::vector<bool> m_alive; ///< by HostId, as last told

    Ledger m_ledger;
    std::unordered_map<std::string, std::vector<RequestId>> m_waiters; ///< by key
    std::unordered_map<RequestId, Request> m_requests;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;

    RoundRobinChooser m_roundRobin;
    double m_retryTokens = 0;
    std::optional<TimePoint> m_stopAskedAt;
    bool m_stopTold = false;
    TimePoint m_nextLedgerSweep{};
};

} // namespace pepperlug
