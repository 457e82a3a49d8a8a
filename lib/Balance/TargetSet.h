//===- TargetSet.h - Targets known to an entry host -------------*- C++ -*-===//
//
// State of each target: its last report, the requests that this host has there,
// its reported load, its failures, its backpressure and its cold phase.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "DepartedTargets.h"
#include "EntryHosts.h"
#include "FailureBlock.h"
#include "LimitShare.h"
#include "pepperlug/Balance.h"
#include "TargetRing.h"

#include <random>
#include <unordered_map>

namespace pepperlug::fleet
{

/// State of one incarnation of a target.
struct TargetState {
    TargetReport report;
    std::string region;
    std::uint64_t hash = 0;
    bool isSilent = false;
    std::optional<TimePoint> unconfirmedSince; ///< a control host's snapshot lacked it
    bool isRetired = false; ///< another incarnation answered at its address
    unsigned inFlight = 0; ///< requests of this host
    TimePoint coldUntil{};
    std::optional<TimePoint> presumedColdSince; ///< end of an evacuation; a later report overrides it
    /// When the next request may be sent while the target is cold; nothing until one was considered.
    std::optional<TimePoint> nextColdRequestAt;
    std::optional<TargetLoad> load;
    unsigned inFlightAtLoad = 0;
    TimePoint loadAt{};
    std::optional<TimePoint> awaitingSince; ///< requests are in flight without any answer since then
    FailureBlock failures;
    bool isLeaving = false; ///< reported in an answer
    TimePoint backoffUntil{}; ///< this host sends it nothing until then
    bool isRecovering = false; ///< has not run a request of this host since its last back-off
    std::optional<double> limit; ///< requests per second from all hosts together
    /// This host's share of the limit in requests; nothing until one was considered.
    std::optional<TokenBucket> bucket;
    std::size_t limitRank = 0; ///< of this host among those that are in the target's region, or not, as it is
    std::uint64_t rankedAt = 0; ///< version of the entry hosts that the rank is for; 0: not ranked yet
    unsigned countedSlots = 0; ///< that TargetRing::slots() includes

    /// Estimated number of requests at the target, of all hosts.
    double estimatedRequests(TimePoint now) const;
    double slots() const;
    /// Estimated requests with one more, over the slots.
    double utilization(TimePoint now) const;
    bool isCold(TimePoint now) const;
    bool isBackingOff(TimePoint now) const;
    /// Returns true if no answer has arrived for longer than the timeout while requests were in flight.
    bool isUnresponsive(TimePoint now, Duration responseTimeout) const;
};

/// Requirements of a request on its target.
struct TargetQuery {
    std::string_view service;
    std::uint64_t affinity = 0; ///< 0: none
    std::set<std::string> excluded;
    const AllowedRegions *regions = nullptr; ///< null: all
    std::string region; ///< empty: any
    Duration responseTimeout{}; ///< without an answer after which a target is avoided
    double admissibleUtilization = 1; ///< highest utilization at which the answer would be in time
    bool isUrgent = false; ///< no route of the service is more urgent
};

/// Result of choosing a target.
struct TargetChoice {
    TargetState *target = nullptr; ///< null if there is none
    /// Without a target: time until one has capacity that only its backpressure excludes; nothing if there is none.
    std::optional<Duration> untilCapacity;
};

/// Targets and live entry hosts as known to one entry host.
class TargetSet
{
public:
    explicit TargetSet(const BalanceSettings &settings);

    void apply(const RegistryChanges &changes, TimePoint now);
    /// Marks all targets that a control host's snapshot lacks as unconfirmed. They become unusable unless one reports
    /// them soon.
    void markOthersUnconfirmed(const RegistryChanges &known, TimePoint now);
    /// Adds restored targets that are not known otherwise. They become unusable unless a control host reports them.
    void addRestored(const std::vector<TargetReport> &targets, TimePoint now);
    void setDemand(std::vector<RegionDemand> demand);
    void setTable(std::shared_ptr<const RouteTable> table);
    void setEvacuatedZones(const std::set<std::string> &zones, TimePoint now);

    /// Chooses the best target for a request.
    TargetChoice choose(const TargetQuery &query, TimePoint now);
    /// Returns null if the target is not known, or has restarted since.
    TargetState *find(const Incarnation &incarnation);
    const TargetState *find(const Incarnation &incarnation) const;
    /// Returns true if the target is neither gone nor draining nor leaving, and its zone is not evacuated.
    bool acceptsRequests(const TargetState &target) const;

    void attemptStarted(TargetState &target, TimePoint now);
    /// Records the end of an attempt. It does not affect a later incarnation under the same id.
    void attemptEnded(const Incarnation &incarnation, AttemptOutcome outcome, const std::optional<TargetLoad> &load,
                      TimePoint now);
    void attemptCancelled(const Incarnation &incarnation);
    /// Records that an attempt was cancelled because another target answered the request, to which it was sent later.
    void attemptOutrun(const Incarnation &incarnation, TimePoint sentAt, TimePoint now);
    /// Records that the head of a successful answer has arrived.
    void answerBegun(const Incarnation &incarnation);
    /// Records that no connection to the target could be made; it is not used for a while.
    void blockAtOnce(const Incarnation &incarnation, TimePoint now);

    /// Starts a back-off that a target asked for. Returns for how long this host sends it nothing.
    Duration startBackoff(const Incarnation &incarnation, std::chrono::duration<double> backoff, TimePoint now);
    /// Sets or removes a target's rate limit, in requests per second.
    void setLimit(const Incarnation &incarnation, std::optional<double> perSecond);
    /// Records that a target reported in an answer that it is leaving.
    void setLeaving(const Incarnation &incarnation);
    /// Returns a request to this host's share of a rate limit because it was not sent.
    void refundLimit(const Incarnation &incarnation);

    /// Slots of usable targets by region. A limited target counts with at most the slots that its rate limit occupies,
    /// given the service time in seconds; nothing: not known.
    std::map<std::string, double> capacity(std::string_view service, std::optional<double> serviceTime,
                                           TimePoint now) const;
    /// Demand of the entry hosts of each region on a service, in slots, without what home regions bind.
    std::map<std::string, double> demand(std::string_view service) const;
    /// Demand on a service that home regions bind to each region, in slots.
    std::map<std::string, double> boundDemand(std::string_view service) const;
    std::size_t usable(TimePoint now) const;
    /// Returns up to a number of usable targets of a service at random.
    std::vector<const TargetState *> sample(std::size_t count, std::string_view service, std::mt19937_64 &random,
                                            TimePoint now) const;
    /// Forgets failures of a service's targets that were this host's own.
    void forgetFailures(std::string_view service);
    std::string regionOf(const std::string &zone) const;
    std::size_t entryHosts() const;
    /// Returns how many targets all calls together have read or changed.
    std::uint64_t visitedTargets() const;

private:
    using RingsByRegion = std::map<std::string, TargetRing>;

    void addToRing(TargetState &target);
    void removeFromRing(TargetState &target);
    /// Must be called after each change that affects whether the target is usable, or its slots.
    void updateShare(TargetState &target);
    /// Rings whose targets meet the service and the regions of a query.
    std::vector<const TargetRing *> ringsFor(const TargetQuery &query) const;
    bool isAvailable(TargetState &target, const TargetQuery &query, TimePoint now) const;
    TargetState *chooseByKey(const std::vector<const TargetRing *> &rings, const TargetQuery &query, TimePoint now);
    TargetState *chooseLeastLoaded(const std::vector<const TargetRing *> &rings, const TargetQuery &query,
                                   TimePoint now);
    TargetChoice chooseAmongAll(const std::vector<const TargetRing *> &rings, const TargetQuery &query, TimePoint now);
    double slotsAt(const TargetState &target, std::optional<double> serviceTime, TimePoint now) const;
    bool isUsable(const TargetState &target, TimePoint now) const;
    /// Time between two requests of this host to a cold target; nothing if there is no limit.
    std::optional<Duration> coldRequestInterval(const TargetState &target) const;
    static void setColdUntil(TargetState &target, TimePoint until, TimePoint now);
    bool mayReceiveWhileCold(TargetState &target, TimePoint now) const;
    std::size_t limitRank(TargetState &target) const;
    std::optional<std::size_t> limitOwners(TargetState &target) const;
    std::optional<Duration> untilCapacity(TargetState &target, const TargetQuery &query, TimePoint now) const;
    std::optional<Duration> untilLimitAllows(TargetState &target, const TargetQuery &query, TimePoint now) const;
    std::size_t warmingHostCount(const TargetState &target) const;
    bool isWarmingHost(const TargetState &target) const;

    const BalanceSettings &m_settings;
    std::shared_ptr<const RouteTable> m_table;
    std::set<std::string> m_evacuated;
    std::unordered_map<std::string, TargetState> m_targets;
    std::map<std::string, RingsByRegion, std::less<>> m_rings; ///< of m_targets, by service
    DepartedTargets m_departed;
    EntryHosts m_entryHosts;
    std::uint64_t m_samples = 0; ///< for which a point of the ring was drawn
    mutable std::uint64_t m_visited = 0;
    std::vector<RegionDemand> m_demand;
};

} // namespace pepperlug::fleet
