//===- Placement.cpp - Service, region and target of a request ------------===//
//
// A request is admitted where it can still be answered within its objective, or where a slot is free. Everything else
// is refused at once: the caller may come back, and a queue of requests that will be late serves nobody.
//
//===----------------------------------------------------------------------===//
#include "Admission.h"
#include "Impl.h"
#include "RetryAdvice.h"

namespace pepperlug::fleet
{

namespace
{

/// Time to a target of another region and back, where nothing better is known.
constexpr Milliseconds OtherRegionLatency{60};
/// Part of the shift bound that requests may use besides the plan.
constexpr double UnplannedShiftShare = 0.2;
/// Silence of a target, in work times, after which it is doubted.
constexpr int ResponseTimeoutFactor = 3;
constexpr Milliseconds MinResponseTimeout{600};
constexpr Milliseconds PlanInterval{200};
constexpr unsigned LowestPriority = std::numeric_limits<unsigned>::max();

} // namespace

std::string Balancer::Impl::pickService(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    // Each part is owed its weight with every request; the one that is owed most gets it.
    std::vector<double> &owed = m_serviceCredits[route.name];
    owed.resize(route.services.size());
    double sum = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < route.services.size(); ++n) {
        owed[n] += route.services[n].weight;
        sum += route.services[n].weight;
        best = owed[n] > owed[best] ? n : best;
    }
    owed[best] -= sum;
    return route.services[best].service;
}

std::string Balancer::Impl::pickRegion(const OpenRequest &open)
{
    const auto plan = m_plans.find(open.service);
    if (!open.route.homeRegions.empty() || plan == m_plans.end()) {
        return m_region;
    }
    // All requests of a key go to one region, so that no target of another has to learn it.
    const std::uint64_t key = open.affinity != 0 ? open.affinity : m_random();
    const RegionPlan &shares = plan->second;
    const std::string region =
        m_settings.policy.hashesRegions ? shares.regionForKey(key) : shares.regionAt(unitInterval(key));
    return region.empty() ? m_region : region;
}

Balancer::Impl::Placement Balancer::Impl::placeInRegion(const OpenRequest &open, const std::string &region,
                                                        bool keepsKey)
{
    TargetQuery query;
    query.service = open.service;
    query.affinity = keepsKey ? open.affinity : 0;
    query.excluded = open.triedTargets;
    query.homeRegions = &open.route.homeRegions;
    query.region = region;
    const Duration serviceTime = m_stats[open.route.name].serviceTime().value_or(open.route.objective);
    query.responseTimeout = std::max<Duration>(MinResponseTimeout, serviceTime * ResponseTimeoutFactor);
    query.admissibleUtilization = admissibleUtilization(open, !region.empty() && region != m_region);
    Placement placement;
    placement.admissibleUtilization = query.admissibleUtilization;
    query.isUrgent = isMostUrgent(open.route);
    const TargetChoice choice = m_targets.choose(query, m_now);
    placement.target = choice.target;
    if (placement.target == nullptr) {
        placement.refusal = choice.untilCapacity ? Refusal::Backpressure : Refusal::NoTarget;
        placement.untilCapacity = choice.untilCapacity.value_or(Duration(0));
        return placement;
    }
    placement.utilization = (placement.target->estimatedRequests(m_now) + 1) / placement.target->slots();
    return placement;
}

// Asked with every request, and a table may have hundreds of routes. A tenant's priority goes before that of a route.
void Balancer::Impl::updateUrgentPriorities()
{
    m_urgentPriority.clear();
    std::optional<unsigned> tenantPriority;
    bool usesRoutePriority = m_table->tenants.empty();
    for (const Tenant &tenant : m_table->tenants) {
        usesRoutePriority |= !tenant.priority;
        tenantPriority = std::min(tenantPriority.value_or(LowestPriority), tenant.priority.value_or(LowestPriority));
    }
    for (const Route &route : m_table->routes) {
        const unsigned own = usesRoutePriority || route.isPublic ? route.priority : LowestPriority;
        const unsigned priority = std::min(own, tenantPriority.value_or(LowestPriority));
        for (const WeightedService &it : route.services) {
            const auto [entry, isNew] = m_urgentPriority.try_emplace(it.service, priority);
            entry->second = std::min(entry->second, priority);
        }
    }
}

bool Balancer::Impl::isMostUrgent(const Route &route) const
{
    const auto it = m_urgentPriority.find(route.services.front().service);
    return it == m_urgentPriority.end() || route.priority <= it->second;
}

double Balancer::Impl::admissibleUtilization(const OpenRequest &open, bool isInOtherRegion) const
{
    AdmissionQuery query;
    const auto stats = m_stats.find(open.route.name);
    if (stats != m_stats.end()) {
        query.serviceTime = stats->second.serviceTime();
        query.warmServiceTime = stats->second.warmServiceTime();
    }
    query.objectiveLeft = open.route.objective - (m_now - open.arrivedAt);
    query.timeLeft = open.deadline - m_now;
    query.extraLatency = isInOtherRegion ? OtherRegionLatency : Milliseconds(0);
    query.isUrgent = isMostUrgent(open.route);
    query.lateDeadlineShare = open.isCallerRetry ? m_settings.policy.lateDeadlineShare : 0;
    return pepperlug::fleet::admissibleUtilization(query);
}

// A caller that was refused has less time left than those that come for the first time. One that did not wait as it
// was told gets no precedence.
bool Balancer::Impl::isCallerRetry(const OpenRequest &open)
{
    if (m_settings.policy.lateDeadlineShare <= 0 || !open.request.deadline) {
        return false;
    }
    const std::optional<Duration> whole = m_stats[open.route.name].firstTryDeadline();
    return whole && *whole - *open.request.deadline >= minRetryAfterFor(open.route);
}

// Small answers are never held back: they are what the bound on large ones leaves room for.
bool Balancer::Impl::fitsLink(const OpenRequest &open)
{
    const auto stats = m_stats.find(open.route.name);
    const double bytes = stats == m_stats.end() ? 0 : stats->second.answerBytes();
    return bytes < static_cast<double>(LargeAnswerBytes) || m_link.has(bytes, m_now);
}

Balancer::Impl::Placement Balancer::Impl::place(const OpenRequest &open)
{
    if (open.hasNoRegion) {
        return {nullptr, 0, Refusal::NoTarget};
    }
    if (!fitsLink(open)) {
        return {nullptr, 0, Refusal::LinkFull};
    }
    const std::string region = pickRegion(open);
    const Placement planned = placeInRegion(open, region);
    if (planned.target != nullptr && planned.utilization <= planned.admissibleUtilization) {
        return planned;
    }
    const bool hasTarget = planned.target != nullptr;
    const bool regionHasNoTarget = !hasTarget && planned.refusal == Refusal::NoTarget;
    const Placement rejected = hasTarget
        ? Placement{nullptr, planned.utilization, Refusal::Overloaded, planned.admissibleUtilization}
        : planned;
    if (hasTarget && open.affinity != 0 && !open.isCallerRetry) {
        return rejected;
    }
    // A returning caller is served by whoever has room, at the price of a target that has to learn its key.
    Placement other = placeInRegion(open, {}, !hasTarget);
    if (other.target == nullptr) {
        return regionHasNoTarget ? other : rejected;
    }
    const bool isInOtherRegion = other.target->region != m_region;
    if (other.utilization > admissibleUtilization(open, isInOtherRegion)) {
        return {nullptr, other.utilization, Refusal::Overloaded, other.admissibleUtilization};
    }
    const bool mayMove = regionHasNoTarget || !isInOtherRegion
        || m_shiftAllowances[open.service].take(m_now, m_settings.shiftWindow,
                                                m_settings.maxShift * UnplannedShiftShare);
    return mayMove ? other : rejected;
}

void Balancer::Impl::updatePlans()
{
    if (m_now < m_plansDueAt || !m_table) {
        return;
    }
    m_plansDueAt = m_now + PlanInterval;
    // Two windows lie between the states that are compared, and chance moves some requests too.
    const double window = std::chrono::duration<double>(m_settings.shiftWindow).count();
    const double step = m_settings.maxShift / window / 2;
    for (const ServiceTraits &service : m_table->services) {
        const auto serviceTime = m_meanServiceTime.find(service.name);
        const std::map<std::string, double> capacity = m_targets.capacity(
            service.name, serviceTime == m_meanServiceTime.end() ? std::nullopt : std::optional(serviceTime->second),
            m_now);
        std::map<std::string, double> demand = m_targets.demand(service.name);
        double sum = 0;
        for (const auto &[region, slots] : demand) {
            sum += slots;
        }
        if (sum < 1) {
            // Nothing is known of the demand yet: regions are taken to be alike.
            double total = 0;
            for (const auto &[region, slots] : capacity) {
                total += slots;
            }
            demand.clear();
            std::set<std::string> regions;
            for (const auto &[zone, region] : m_settings.regionOfZone) {
                regions.insert(region);
            }
            for (const std::string &region : regions) {
                demand[region] = total / static_cast<double>(regions.size());
            }
        }
        const auto [plan, isNew] = m_plans.try_emplace(service.name, step);
        plan->second.moveTowards(plannedShares(m_region, capacity, demand), capacity, m_now);
    }
}

} // namespace pepperlug::fleet
