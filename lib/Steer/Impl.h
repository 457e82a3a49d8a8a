//===- Impl.h - State of the entry host's reducer ----------------*- C++ -*-===//
//
// The state of Steering. Its member functions are grouped by source file:
// Config, Placement, Attempts, OnceFlow, Lookup, and Steering, which dispatches
// events.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "../Support/StopAdmission.h"
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

/// One attempt of a request, at a target or at another entry host.
struct Attempt {
    unsigned number = 0;
    std::optional<TargetId> target;
    std::optional<HostId> host;
    bool toOwner = false;
    bool isHedge = false; ///< charged at the issuer in addition to the request
    bool isRunning = true;
    TimePoint startedAt{};
};

/// Phase of a request.
enum class Phase {
    AwaitingClaimSync, ///< its claim is being written to disk
    AwaitingCloseSync, ///< the closing of its claim as not run is being written to disk
    AwaitingEarlierRequest, ///< an earlier request with the same key is running
    Queued,
    Running,
    Detached, ///< a once-only operation whose caller has been answered or has disconnected
};

/// A request in progress.
struct Request {
    RequestArrived info;
    Charge charge;
    Phase phase = Phase::Queued;
    bool isCharged = false; ///< `charge` is counted at the issuer
    bool countsAsDemand = false; ///< part of the demand estimate
    bool holdsClaim = false;
    bool maybeSent = false; ///< a target or another host may have received it
    bool wasHedged = false;
    TimePoint arrivedAt{};
    std::vector<Attempt> attempts;
    std::vector<TargetId> triedTargets;
    std::vector<HostId> triedHosts;
    Refuse pendingRefusal; ///< valid in phase AwaitingCloseSync
};

/// Requests of one service that wait for a slot. Those of callers of other regions are queued separately, by region: a
/// cap or a share that holds them up must not delay callers of this region.
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

/// State of the reducer.
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
    /// Starts or queues the request, or returns the reason why neither is possible.
    std::optional<Reason> place(Request &request);
    std::optional<Reason> tryLocal(Request &request);
    bool tryLease(Request &request);
    bool tryNeighbour(Request &request);
    std::optional<Reason> placeByBaseline(Request &request);
    bool enqueue(Request &request);
    void refuseQueuedBeyondStop();
    void runQueue(ServiceId service);
    void runQueue(ServiceId service, std::deque<RequestId> &queue);
    std::deque<RequestId> &queueOf(const Request &request);
    /// Returns true if no queued request has precedence over this one.
    bool noneQueuedAhead(const Request &request);
    /// Returns the expected wait of a further request behind `waiting` others that share `slots`.
    Duration queueWait(ServiceId service, std::size_t waiting, unsigned slots) const;
    Duration localQueueWait(ServiceId service) const;
    /// Returns the only region to which a request with this charge may be forwarded, or nothing if any is allowed.
    std::optional<RegionId> forwardRegion(const Charge &charge) const;
    /// Returns true if forwarding to the nearest lease adds less latency than the queue here, or if there is no
    /// capacity here.
    bool isLeaseFaster(ServiceId service, std::optional<RegionId> region, const std::vector<HostId> &excluded) const;
    /// Returns true if a request started now would be expected to miss its deadline.
    bool willMissDeadline(const Request &request) const;
    void startAtTarget(Request &request, TargetId target, Reason reason);
    void startAtHost(Request &request, HostId host, Reason reason, bool toOwner);
    void refuse(Request &request, Outcome outcome, Reason reason, const std::string &peer);
    Milliseconds retryAfter(const Request &request, Reason reason) const;
    void logDecision(const Request &request, Reason reason, std::optional<TargetId> target, std::optional<HostId> host,
                     unsigned attempt);

    // Attempts.cpp
    void endAttempt(Request &request, Attempt &attempt, AttemptResult result);
    /// Releases what an attempt used besides its target.
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
    /// Claims the operation of a once-only request. Returns true if the request is to be placed now.
    bool claim(Request &request);
    void startAtOwner(Request &request, const OperationKey &key);
    void finishClaim(Request &request, const AttemptEnded &event);
    /// Closes the claim of a refused request. Returns true if the refusal has to wait until that is on disk.
    bool closeClaim(Request &request, const Refuse &refusal);
    /// Answers the requests that waited for the earlier request with their key.
    void answerWaiters(const std::string &key);

    // Lookup.cpp
    std::vector<HostId> rankHosts(const LookupArrived &event);
    std::vector<HostId> candidateHosts(const LookupArrived &event);
    void shuffleByFreeSlots(std::vector<HostId> &hosts, std::size_t from, ServiceId service);
    unsigned freeSlotsAt(HostId host, ServiceId service) const;
    /// Returns the mean number of slots in use per cached look-up answer.
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
    /// Emits StopReady once a stop is requested and complete.
    void checkStop();
    void giveUpRequests();
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
    std::optional<HostId> m_self; ///< empty if the bundle does not name this host
    ZoneId m_zone{};
    RegionId m_region{};
    std::vector<bool> m_drainedHosts; ///< by HostId
    std::vector<std::vector<ZoneId>> m_zonesByDistance; ///< by ZoneId of the caller
    std::vector<std::vector<bool>> m_servedServices; ///< by ZoneId, then ServiceId

    TargetPool m_pool;
    LeaseIssuer m_issuer;
    LeaseHolder m_holder;
    SliceGuard m_guard;
    bool m_sliceValid = false;
    std::vector<DemandEstimator> m_demand; ///< by ServiceId
    std::vector<ExpiringCount> m_localLookups; ///< by ServiceId: cached answers naming this host to its own region
    std::vector<ServiceQueue> m_queues; ///< by ServiceId
    std::vector<bool> m_reportedAlive; ///< by HostId, as last reported

    Ledger m_ledger;
    std::unordered_map<std::string, std::vector<RequestId>> m_waiters; ///< by key
    std::unordered_map<RequestId, Request> m_requests;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;

    RoundRobinChooser m_roundRobin;
    double m_retryTokens = 0;
    std::optional<TimePoint> m_stopRequestedAt;
    StopAdmission m_stop;
    bool m_stopReported = false;
    TimePoint m_nextLedgerSweep{};
};

} // namespace pepperlug
