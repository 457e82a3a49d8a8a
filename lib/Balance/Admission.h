//===- Admission.h - Admission control ---------------------------*- C++ -*-===//
//
// A target serves its queue in order, so waiting requests delay all later ones.
// A request is admitted if its answer is predicted to be in time. A request of a
// caller that was refused before may also be admitted with a late answer.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "RouteStats.h"

#include "pepperlug/Balance.h"

namespace pepperlug::fleet
{

/// Assumed round trip to a target in another region.
constexpr Milliseconds OtherRegionLatency{60};

/// Input of an admission decision.
struct AdmissionQuery {
    Duration objectiveLeft{}; ///< until the answer would be late
    Duration timeLeft{}; ///< until the answer would be useless
    Duration extraLatency{}; ///< round trip beyond that of a target in the same region
    /// At a target that has the key's data cached; nothing while there are too few samples.
    std::optional<Duration> warmServiceTime;
    std::optional<Duration> serviceTime; ///< mean; nothing while there are too few samples
    bool isUrgent = false; ///< no route of the service is more urgent
    double lateDeadlineShare = 0; ///< of `timeLeft`, that a late answer may be predicted to take; 0: none
};

/// Returns the highest utilization of a target (requests, this one included, over slots) at which a request is
/// admitted.
double admissibleUtilization(const AdmissionQuery &query);

/// Admission decisions of an entry host, with the statistics by route that they need.
class AdmissionControl
{
public:
    explicit AdmissionControl(const BalancePolicy &policy);

    void setTable(const RouteTable &table);
    /// Records the arrival of a request. `deadline`: time that the caller had left; nothing if it did not state it.
    void countRequest(const Route &route, std::optional<Duration> deadline, TimePoint now);
    RouteStats &stats(const std::string &route);
    /// Mean size of a route's answers; 0 while there is no sample.
    double answerBytes(const std::string &route) const;
    /// Returns true if no route of the service is more urgent.
    bool isMostUrgent(const Route &route) const;
    /// Returns true if the caller was refused before, and waited as advised. Must be called before the request is
    /// counted.
    bool isReturning(const Route &route, std::optional<Duration> deadline) const;
    /// Returns the highest utilization of a target at which a request of the route is admitted.
    /// `objectiveLeft`: until the answer would be late; `timeLeft`: until it would be useless.
    double admissibleUtilization(const Route &route, Duration objectiveLeft, Duration timeLeft, bool isInOtherRegion,
                                 bool isReturning, TimePoint now) const;

private:
    /// A most urgent route whose requests were seen lately.
    struct UrgentRoute {
        Duration objective{};
        TimePoint seenAt{};
    };

    AdmissionQuery queryFor(const std::string &route, Duration objectiveLeft, bool isInOtherRegion) const;
    /// Returns the highest utilization at which less urgent requests are admitted now that urgent ones use the service;
    /// nothing if none were seen lately.
    std::optional<double> limitBesideUrgent(const std::string &service, bool isInOtherRegion, TimePoint now) const;

    BalancePolicy m_policy;
    std::map<std::string, std::map<std::string, UrgentRoute>> m_urgentRoutes; ///< by service and route
    std::map<std::string, unsigned> m_urgentPriority; ///< by service: the most urgent one among its routes
    std::map<std::string, RouteStats> m_stats; ///< by route
};

} // namespace pepperlug::fleet
