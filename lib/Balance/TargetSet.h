//===- TargetSet.h - Targets as one entry host believes them -----*- C++ -*-===//
//
// What is known of each target: its last report, the requests that this host has
// there, the load that it told, its failures, and how much it bears while cold.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "LimitShare.h"
#include "pepperlug/Balance.h"

#include <unordered_map>

namespace pepperlug::fleet
{

struct TargetState {
    TargetReport report;
    std::string region;
    std::uint64_t hash = 0;
    bool isSilent = false;
    std::optional<TimePoint> unconfirmedSince; ///< a control host that told all it knows did not know of it
    bool isRetired = false; ///< another incarnation answered at its address
    unsigned inFlight = 0; ///< of this host
    TimePoint coldUntil{};
    std::optional<TimePoint> presumedColdSince; ///< an evacuation ended then; a later report decides
    /// When the next request may go there while it is cold; nothing until one was considered.
    std::optional<TimePoint> nextColdRequestAt;
    std::optional<TargetLoad> load;
    unsigned inFlightAtLoad = 0;
    TimePoint loadAt{};
    std::optional<TimePoint> awaitingSince; ///< requests are there, and nothing came back since then
    unsigned failures = 0; ///< in a row
    TimePoint blockedUntil{};
    bool isLeaving = false; ///< it said so in an answer
    TimePoint backoffUntil{}; ///< this host sends it nothing until then
    bool isRecovering = false; ///< and has not run a request of this host since
    std::optional<double> limit; ///< requests a second that it takes from all hosts together
    /// Requests of this host's part of the limit; nothing until one was considered.
    std::optional<TokenBucket> bucket;
    std::size_t limitRank = 0; ///< of this host among those that may share the limit
    std::uint64_t rankedAt = 0; ///< version of the entry hosts as of the rank; 0: not ranked yet

    /// Requests there, of all hosts, as believed.
    double estimatedRequests(TimePoint now) const;
    double slots() const;
    bool isCold(TimePoint now) const;
    bool isBackingOff(TimePoint now) const;
    /// Whether it has kept this host waiting for so long without any answer that it may have stopped.
    bool isUnresponsive(TimePoint now, Duration responseTimeout) const;
};

/// What a request needs of a target.
struct TargetQuery {
    std::string_view service;
    std::uint64_t affinity = 0; ///< 0: none
    std::set<std::string> excluded;
    const std::vector<std::string> *homeRegions = nullptr; ///< null or empty: any
    std::string region; ///< empty: any
    Duration responseTimeout{}; ///< silence after which a target with requests is not trusted
    double admissibleUtilization =
        1; ///< requests over slots, this one included, up to which it would be answered in time
    bool isUrgent = false; ///< no route of the service is more urgent
};

/// Where a request may go.
struct TargetChoice {
    TargetState *target = nullptr; ///< null if there is none
    /// With no target: until one has room that was left out for what it asks for alone; nothing if none was.
    std::optional<Duration> untilCapacity;
};

class TargetSet
{
public:
    explicit TargetSet(const BalanceSettings &settings);

    void apply(const RegistryChanges &changes, TimePoint now);
    /// Doubts all targets that are not among what a control host knows; they are left out unless one reports them soon.
    void markOthersUnconfirmed(const RegistryChanges &known, TimePoint now);
    /// Takes targets that are not known otherwise; they are left out unless one reports them soon.
    void addRestored(const std::vector<TargetReport> &targets, TimePoint now);
    void setDemand(std::vector<RegionDemand> demand);
    void setTable(std::shared_ptr<const RouteTable> table);
    void setEvacuatedZones(const std::set<std::string> &zones, TimePoint now);

    /// Best target for a request.
    TargetChoice choose(const TargetQuery &query, TimePoint now);
    /// Null if it is not known, or has started again since.
    TargetState *find(const Incarnation &incarnation);
    const TargetState *find(const Incarnation &incarnation) const;
    /// Whether it has neither left nor begun to, and its zone is not evacuated.
    bool acceptsRequests(const TargetState &target) const;
    /// Whether a target is in one of the regions; with none, each is.
    static bool isHome(const std::vector<std::string> &homeRegions, const TargetState &target);

    void attemptStarted(TargetState &target, TimePoint now);
    /// What came of an attempt says nothing of a later incarnation under the same id.
    void attemptEnded(const Incarnation &incarnation, AttemptOutcome outcome, const std::optional<TargetLoad> &load,
                      TimePoint now);
    void attemptCancelled(const Incarnation &incarnation);
    /// No connection to it could be made.
    void markUnreachable(const Incarnation &incarnation, TimePoint now);

    /// A target wants nothing from this host for a while. Returns for how long it gets nothing.
    Duration startBackoff(const Incarnation &incarnation, std::chrono::duration<double> backoff, TimePoint now);
    /// A target names a limit of requests a second, or none any more.
    void setLimit(const Incarnation &incarnation, std::optional<double> perSecond);
    /// A target says in its answers that it leaves.
    void setLeaving(const Incarnation &incarnation);
    /// A request that was taken from this host's part of a limit was not sent.
    void refundLimit(const Incarnation &incarnation);

    /// Slots of usable targets by region. Of a limited target no more than its limit keeps busy, with requests that
    /// take `work` seconds each; nothing: that is not known.
    std::map<std::string, double> capacity(std::string_view service, std::optional<double> serviceTime,
                                           TimePoint now) const;
    /// What the entry hosts of each region ask of a service.
    std::map<std::string, double> demand(std::string_view service) const;
    std::size_t usable(TimePoint now) const;
    std::string regionOf(const std::string &zone) const;
    std::size_t entryHosts() const;

private:
    bool isUsable(const TargetState &target, TimePoint now) const;
    /// Time between two requests of this host to a cold target; nothing if it bears any number.
    std::optional<Duration> coldRequestInterval(const TargetState &target) const;
    static void blockAfterFailures(TargetState &target, TimePoint now);
    static void setColdUntil(TargetState &target, TimePoint until, TimePoint now);
    bool mayReceiveWhileCold(TargetState &target, TimePoint now) const;
    std::size_t limitRank(TargetState &target) const;
    std::optional<Duration> untilCapacity(TargetState &target, const TargetQuery &query, TimePoint now) const;
    std::optional<Duration> untilLimitAllows(TargetState &target, const TargetQuery &query, TimePoint now) const;
    std::size_t warmingHostCount(const TargetState &target) const;
    bool isWarmingHost(const TargetState &target) const;
    bool warmsTarget(const HostReport &host, const TargetState &target) const;
    TargetState *chooseAmong(std::vector<TargetState *> &candidates, const TargetQuery &query, TimePoint now);

    const BalanceSettings &m_settings;
    std::shared_ptr<const RouteTable> m_table;
    std::set<std::string> m_evacuated;
    std::unordered_map<std::string, TargetState> m_targets;
    std::map<std::string, HostReport> m_entryHosts; ///< live ones, by id
    std::uint64_t m_entryHostsVersion = 1; ///< rises when one comes or goes
    std::vector<RegionDemand> m_demand;
};

} // namespace pepperlug::fleet
