//===- Admission.cpp - Admission control ----------------------------------===//
#include "Admission.h"
#include "RetryAdvice.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Shares of the objective that a request may be predicted to take. Less urgent requests leave capacity for urgent
/// ones.
constexpr double MaxObjectiveShare = 0.9;
constexpr double LessUrgentMaxObjectiveShare = 0.75;
/// Utilization up to which a request is admitted whatever the prediction: a slot is free for it.
constexpr double FreeUtilization = 1.0;
constexpr double LessUrgentFreeUtilization = 0.9;
/// Lower bound of the service time in seconds; avoids a division by zero.
constexpr double MinServiceTime = 1e-6;
/// Time since the last urgent request after which less urgent ones may use the capacity kept for it. Urgent requests
/// come in bursts, which a shorter time would meet with full queues.
constexpr std::chrono::seconds UrgentInterval{3};
constexpr unsigned LowestPriority = std::numeric_limits<unsigned>::max();

} // namespace

// The prediction uses the service time of a warm target: a cold one answers late in any case, but caches the key's
// data. The queue ahead consists of mean requests.
double admissibleUtilization(const AdmissionQuery &query)
{
    const double freeUtilization = query.isUrgent ? FreeUtilization : LessUrgentFreeUtilization;
    if (!query.serviceTime || !query.warmServiceTime) {
        return FreeUtilization;
    }
    const double inTime =
        secondsOf(query.objectiveLeft) * (query.isUrgent ? MaxObjectiveShare : LessUrgentMaxObjectiveShare);
    const double late = secondsOf(query.timeLeft) * query.lateDeadlineShare;
    const double wait = std::max(inTime, late) - secondsOf(*query.warmServiceTime) - secondsOf(query.extraLatency);
    return std::max(freeUtilization, 1 + wait / std::max(secondsOf(*query.serviceTime), MinServiceTime));
}

AdmissionControl::AdmissionControl(const BalancePolicy &policy)
    : m_policy(policy)
{
}

// Computed in advance, since every request needs it and a table may have hundreds of routes. A tenant's priority
// overrides that of a route.
void AdmissionControl::setTable(const RouteTable &table)
{
    m_urgentPriority.clear();
    m_urgentRoutes.clear(); // other routes may be the most urgent ones now
    std::optional<unsigned> tenantPriority;
    bool usesRoutePriority = table.tenants.empty();
    for (const Tenant &tenant : table.tenants) {
        usesRoutePriority |= !tenant.priority;
        tenantPriority = std::min(tenantPriority.value_or(LowestPriority), tenant.priority.value_or(LowestPriority));
    }
    for (const Route &route : table.routes) {
        const unsigned own = usesRoutePriority || route.isPublic ? route.priority : LowestPriority;
        const unsigned priority = std::min(own, tenantPriority.value_or(LowestPriority));
        for (const WeightedService &it : route.services) {
            const auto [entry, isNew] = m_urgentPriority.try_emplace(it.service, priority);
            entry->second = std::min(entry->second, priority);
        }
    }
}

void AdmissionControl::countRequest(const Route &route, std::optional<Duration> deadline, TimePoint now)
{
    if (deadline) {
        m_stats[route.name].addDeadline(*deadline);
    }
    if (!m_policy.reservesForUrgent || !isMostUrgent(route)) {
        return;
    }
    for (const WeightedService &it : route.services) {
        m_urgentRoutes[it.service][route.name] = {route.objective, now};
    }
}

RouteStats &AdmissionControl::stats(const std::string &route)
{
    return m_stats[route];
}

double AdmissionControl::answerBytes(const std::string &route) const
{
    const auto it = m_stats.find(route);
    return it == m_stats.end() ? 0 : it->second.answerBytes();
}

bool AdmissionControl::isMostUrgent(const Route &route) const
{
    const auto it = m_urgentPriority.find(route.services.front().service);
    return it == m_urgentPriority.end() || route.priority <= it->second;
}

// A caller that was refused before has less time left than at its first try. One that did not wait as advised
// gets no precedence.
bool AdmissionControl::isReturning(const Route &route, std::optional<Duration> deadline) const
{
    const auto stats = m_stats.find(route.name);
    const bool isRelevant = m_policy.lateDeadlineShare > 0 || m_policy.schedulesReturns;
    if (!isRelevant || !deadline || stats == m_stats.end()) {
        return false;
    }
    const std::optional<Duration> usual = stats->second.firstTryDeadline();
    return usual && *usual - *deadline >= minRetryAfterFor(route);
}

double AdmissionControl::admissibleUtilization(const Route &route, Duration objectiveLeft, Duration timeLeft,
                                               bool isInOtherRegion, bool isReturning, TimePoint now) const
{
    AdmissionQuery query = queryFor(route.name, objectiveLeft, isInOtherRegion);
    query.timeLeft = timeLeft;
    query.isUrgent = isMostUrgent(route);
    query.lateDeadlineShare = isReturning ? m_policy.lateDeadlineShare : 0;
    if (!m_policy.reservesForUrgent || query.isUrgent) {
        return pepperlug::fleet::admissibleUtilization(query);
    }
    const std::optional<double> limit = limitBesideUrgent(route.services.front().service, isInOtherRegion, now);
    query.isUrgent = !limit;
    const double own = pepperlug::fleet::admissibleUtilization(query);
    return limit ? std::min(own, *limit) : own;
}

AdmissionQuery AdmissionControl::queryFor(const std::string &route, Duration objectiveLeft, bool isInOtherRegion) const
{
    AdmissionQuery query;
    const auto stats = m_stats.find(route);
    if (stats != m_stats.end()) {
        query.serviceTime = stats->second.serviceTime();
        query.warmServiceTime = stats->second.warmServiceTime();
    }
    query.objectiveLeft = objectiveLeft;
    query.extraLatency = isInOtherRegion ? OtherRegionLatency : Milliseconds(0);
    return query;
}

// A less urgent request with a longer objective, or a returning one, may wait in a queue in which an urgent request
// would be late. All wait in the same queue, so its length must stay below what urgent requests accept.
std::optional<double> AdmissionControl::limitBesideUrgent(const std::string &service, bool isInOtherRegion,
                                                          TimePoint now) const
{
    std::optional<double> limit;
    const auto routes = m_urgentRoutes.find(service);
    if (routes == m_urgentRoutes.end()) {
        return limit;
    }
    for (const auto &[name, route] : routes->second) {
        if (now - route.seenAt > UrgentInterval) {
            continue;
        }
        AdmissionQuery query = queryFor(name, route.objective, isInOtherRegion);
        query.isUrgent = true;
        const double own = pepperlug::fleet::admissibleUtilization(query) * LessUrgentFreeUtilization;
        limit = std::min(limit.value_or(own), own);
    }
    return limit;
}

} // namespace pepperlug::fleet
