//===- Impl.h - State of the balancer ---------------------------*- C++ -*-===//
#pragma once

#include "../Support/StopAdmission.h"
#include "Admission.h"
#include "DemandEstimate.h"
#include "LinkBudget.h"
#include "LoosenedRoutes.h"
#include "RegionPlanner.h"
#include "RelayHosts.h"
#include "RetryBudget.h"
#include "ReturnSchedule.h"
#include "RunLimit.h"
#include "ShedWatch.h"
#include "TargetSet.h"

#include <random>

namespace pepperlug::fleet
{

/// Returns true if the outcome means that the target has not run the request.
bool isCertainlyNotRun(AttemptOutcome outcome);

class Balancer::Impl
{
public:
    explicit Impl(BalanceSettings settings);

    void reduce(const BalanceEvent &event, TimePoint now, BalanceEffects &out);
    std::size_t openRequests() const;
    std::vector<ServiceDemand> demand(TimePoint now) const;
    double linkUse(TimePoint now) const;
    std::uint64_t tableVersion() const;
    bool isSuspended() const;
    std::vector<std::string> unreachableServices() const;
    std::optional<Withheld> withheldBecause(RequestId id, unsigned attempt) const;
    std::size_t usableTargets(TimePoint now) const;
    std::map<std::string, RegionShares> regionShares() const;
    const Quarantine &quarantine() const;
    const BackpressureTable &backpressure() const;

private:
    struct Attempt {
        Incarnation target;
        std::string address;
        TimePoint startedAt{};
        double utilization = 0;
        double expectedBytes = 0; ///< taken from the link's budget for the answer
        bool usesLimitShare = false; ///< taken from this host's share of the target's rate limit
        std::string region; ///< of the target or relay when it was chosen
        std::uint64_t routingIndex = 0; ///< that a relay carries
        std::string tenant; ///< that the target is told
        bool hasTenants = false; ///< the caller's key is not passed on
        std::string relay; ///< id of the entry host that the request was relayed to; empty: sent to a target
    };

    /// A token, and the tenant whose limit it is of. The key of a request may be given to another tenant meanwhile.
    struct QuotaToken {
        std::string tenant;
        TimePoint expiry{};
    };

    struct OpenRequest {
        CallerRequest request;
        Route route; ///< with the tenant's priority
        AllowedRegions regions; ///< by the home regions of the route and the tenant
        std::string tenant; ///< that the request is counted for; empty: none
        TenantLimit limit;
        std::optional<QuotaToken> token; ///< that the request has taken from a tenant's limit
        bool awaitsToken = false; ///< not sent
        bool hasNoQuotaDecision = false; ///< no control host has decided in time whether the tenant is within its limit
        std::uint64_t tableVersion = 0; ///< of the table that the route is from
        std::string service;
        std::uint64_t affinity = 0;
        TimePoint arrivedAt{};
        TimePoint deadline{};
        unsigned attemptsStarted = 0;
        std::map<unsigned, Attempt> attempts; ///< in progress, by number
        std::set<std::string> triedTargets;
        std::set<std::string> triedRelays;
        unsigned relaysStarted = 0;
        std::string lastTarget;
        RunLimit runs;
        bool isShedWithFreeSlots = false; ///< by the target of the last attempt
        bool isCallerRetry = false; ///< the caller was refused before, and waited
        bool hasAnswerBegun = false; ///< a part of an answer was sent to the caller
        bool awaitsProbe = false; ///< not sent; the control hosts decide whether it may be, as a probe
        bool isProbe = false; ///< quarantined, but may be sent once
    };

    /// Tenant of a request by the current table.
    struct CallerIdentity {
        const Tenant *tenant = nullptr;
        bool isAllowed = true;
        /// Name of the tenant; empty: none.
        std::string name() const
        {
            return tenant != nullptr ? tenant->name : std::string();
        }
    };

    /// Target that a request may be sent to, or the reason why there is none.
    struct Placement {
        TargetState *target = nullptr;
        double utilization = 0;
        Refusal refusal{};
        double admissibleUtilization = 1;
        Duration untilCapacity{}; ///< Refusal::Backpressure: until a target accepts one more request
    };

    // Balancer.cpp
    void handle(const RoutesChanged &event);
    void handle(const ReportsChanged &event);
    void handle(const CallerRequest &event);
    void handle(const CallerLeft &event);
    void handle(const AnswerBegun &event);
    void handle(const AttemptEnded &event);
    void handle(const StopPlanned &event);
    void handle(const ExitDue &event);
    void handle(const BalanceTick &event);
    void startAttempt(OpenRequest &open, const Placement &placement);
    void refuse(OpenRequest &open, Refusal reason, Duration drainTime = {});
    void failRequest(OpenRequest &open, Refusal reason);
    Refusal refusalAfter(const OpenRequest &open, AttemptOutcome outcome, bool hasRoute, Refusal unserved) const;
    void endExpired();
    void giveUp(OpenRequest &open);
    bool mayHedge(const OpenRequest &open) const;
    bool isTargetUnresponsive(const Attempt &attempt, const Route &route);
    void hedgeUnresponsive();
    /// `answered`: the attempt that another target has answered, if that is the reason.
    void cancelAttempts(OpenRequest &open, const Attempt *answered = nullptr);
    Duration timeAtTarget(const Attempt &attempt) const;
    void recordShed(OpenRequest &open, const AttemptEnded &event, const std::string &target);
    bool mayRetry(const OpenRequest &open, AttemptOutcome outcome);
    Milliseconds retryAfter(const OpenRequest &open, Refusal reason, Duration drainTime);

    // RoutesInForce.cpp
    void handle(const UpdateReceived &event);
    void updateSuspension();
    bool mayHaveMissedRoutes() const;
    bool hasOlderRoutingThan(const CallerRequest &request) const;
    const Route *currentRoute(const OpenRequest &open) const;
    CallerIdentity identifyCaller(const CallerRequest &request, const Route *route) const;
    void assignRoute(OpenRequest &open, const Route &route, const CallerIdentity &caller);
    void restrictRuns(OpenRequest &open) const;
    static void assignTenant(OpenRequest &open, const CallerIdentity &caller);
    bool refreshRoute(OpenRequest &open);
    bool isStillUsable(const TargetState *target, const Attempt &attempt) const;

    // Quotas.cpp
    void handle(const QuotaReplied &event);
    void handle(const QuotaCallFailed &event);
    QuotaDecision requestToken(OpenRequest &open);
    void refundToken(const OpenRequest &open, Refusal reason);
    void sendWithToken(OpenRequest &open, TimePoint tokenExpiry);
    void advanceQuotas();

    // Backpressures.cpp
    void handle(const TargetSignalled &event);
    void handle(const BackpressureReceived &event);
    void applyKnownBackpressure();
    void applyBackpressure(const Incarnation &target);
    void publishBackpressure(const Incarnation &target, bool isLocal);
    void expireLimits();
    void recordServiceTime(const OpenRequest &open, Duration took);

    // Suspicion.cpp
    void handle(const TargetChecked &event);
    void handle(const SuspectsReceived &event);
    void handle(const ProbeDecided &event);
    bool refuseOrProbe(OpenRequest &open);
    bool isQuarantined(const OpenRequest &open) const;
    bool mayUseAnotherTarget(const OpenRequest &open, AttemptOutcome outcome) const;
    void checkForCrash(const OpenRequest &open, const Attempt &attempt);
    void clearSuspicion(const OpenRequest &open);
    void publishSuspect(const std::string &digest, const std::string &target, bool isLocal);
    Milliseconds timeUntilProbe(const OpenRequest &open) const;

    // Relaying.cpp
    bool isCutOff(const std::string &service) const;
    void recordReachability(const std::string &service, AttemptOutcome outcome);
    void probeTargets();
    void probeTargets(const std::string &service, TargetReachability &reachability);
    void handle(const TargetProbed &event);
    bool startRelay(OpenRequest &open);
    void relayOrRefuse(OpenRequest &open);
    void relayUnanswered(const std::string &service);
    void endRelay(OpenRequest &open, const Attempt &attempt, const AttemptEnded &event);

    // Placement.cpp
    Placement place(const OpenRequest &open);
    Placement placeInRegion(const OpenRequest &open, const std::string &region, bool keepsKey = true);
    double admissibleUtilization(const OpenRequest &open, bool isInOtherRegion) const;
    double reservedUtilization(const OpenRequest &open, const TargetState &target) const;
    std::string pickRegion(const OpenRequest &open);
    std::string regionByPlan(const OpenRequest &open, std::uint64_t key) const;
    std::string boundRegion(const OpenRequest &open) const;
    bool maySpillByPlan(const OpenRequest &open) const;
    Placement placeReturning(const OpenRequest &open);
    std::string pickService(const Route &route);
    bool fitsLink(const OpenRequest &open);
    void updatePlans();
    bool followsLosses() const;

    BalanceSettings m_settings;
    std::mt19937_64 m_random;
    TargetSet m_targets;
    std::map<std::string, TargetReachability> m_reachability; ///< by service
    RelayHosts m_relays;
    std::string m_region;
    AdmissionControl m_admission;
    ReturnSchedule m_returns; ///< empty unless BalancePolicy::schedulesReturns
    std::shared_ptr<const RouteTable> m_table;
    std::optional<RouteIndex> m_routeIndex; ///< of m_table
    std::uint64_t m_routingIndex = 0; ///< log index of the routing in force
    LoosenedRoutes m_loosened; ///< by the latest tables
    std::optional<UpdateReceived> m_lastUpdate;
    bool m_isSuspended = false;
    std::unordered_map<std::uint64_t, OpenRequest> m_open;
    RegionPlanner m_plans;
    bool m_hasPacedTargets = false; ///< a target has reported its pace
    std::map<std::string, RetryBudget> m_budgets; ///< by service
    std::map<std::string, ShedWatch> m_sheds; ///< by service
    Quarantine m_quarantine;
    QuotaHolder m_quotas;
    BackpressureTable m_backpressure;
    /// Targets that may have crashed and are being checked, with the digests of the requests whose connections ended.
    std::map<Incarnation, std::set<std::string>> m_pendingChecks;
    StopAdmission m_stop;
    LinkBudget m_link;
    DemandEstimate m_demand;
    ArrivalRate m_requestedBytes;
    std::map<std::string, ShiftAllowance> m_shiftAllowances; ///< by service
    std::map<std::string, double> m_meanServiceTime; ///< by service: seconds, over recent answers
    std::map<std::string, std::vector<double>> m_serviceCredits; ///< by route: credit of each of its services
    TimePoint m_now{};
    BalanceEffects *m_out = nullptr;
};

} // namespace pepperlug::fleet
