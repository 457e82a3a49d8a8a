//===- Placement.cpp - Service, region and target of a request ------------===//
//
// A request is admitted where it can still be answered within its objective, or where a slot is free. Everything else
// is refused at once: the caller may come back, and a queue of requests that will be late serves nobody.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <limits>

namespace pepperlug::fleet
{

namespace
{

/// Time to a target of another region and back, where nothing better is known.
constexpr Milliseconds AbroadTime{60};
/// Part of the objective that a request may be predicted to use.
constexpr double ObjectivePart = 0.9;
constexpr double LessUrgentObjectivePart = 0.75;
/// Fill up to which a request is admitted whatever the prediction says.
constexpr double FreeFill = 1.0;
constexpr double LessUrgentFreeFill = 0.9;
/// Part of the shift bound that requests may use besides the plan.
constexpr double OverflowPart = 0.2;
/// Silence of a target, in work times, after which it is doubted.
constexpr int PatienceInWork = 3;
constexpr Milliseconds LeastPatience{600};
constexpr Milliseconds PlanInterval{200};

} // namespace

std::string Balancer::Impl::pickService(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    // Each part is owed its weight with every request; the one that is owed most gets it.
    std::vector<double> &owed = m_turns[route.name];
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
    const double point = open.affinity != 0
        ? static_cast<double>(open.affinity) / static_cast<double>(std::numeric_limits<std::uint64_t>::max())
        : std::uniform_real_distribution<double>(0, 1)(m_random);
    const std::string region = plan->second.pick(point);
    return region.empty() ? m_region : region;
}

Balancer::Impl::Placement Balancer::Impl::placeIn(const OpenRequest &open, const std::string &region)
{
    TargetQuery query;
    query.service = open.service;
    query.affinity = open.affinity;
    query.excluded = open.tried;
    query.homeRegions = &open.route.homeRegions;
    query.region = region;
    const Duration work = m_stats[open.route.name].work().value_or(open.route.objective);
    query.patience = std::max<Duration>(LeastPatience, work * PatienceInWork);
    Placement placement;
    placement.target = m_targets.choose(query, m_now);
    if (placement.target == nullptr) {
        placement.refusal = Refusal::NoTarget;
        return placement;
    }
    placement.fill = (placement.target->believedRequests(m_now) + 1) / placement.target->slots();
    return placement;
}

bool Balancer::Impl::isMostUrgent(const Route &route) const
{
    return std::none_of(m_table->routes.begin(), m_table->routes.end(), [&](const Route &other) {
        const bool sharesService = std::any_of(other.services.begin(), other.services.end(), [&](const auto &it) {
            return it.service == route.services.front().service;
        });
        return sharesService && other.priority < route.priority;
    });
}

bool Balancer::Impl::isAdmissible(const OpenRequest &open, const Placement &placement, bool isAbroad) const
{
    static_assert(LessUrgentFreeFill <= FreeFill);
    if (placement.fill <= LessUrgentFreeFill) {
        return true; // for most requests; the walk over all routes below is not needed then
    }
    const bool isUrgent = isMostUrgent(open.route);
    if (isUrgent && placement.fill <= FreeFill) {
        return true;
    }
    const auto stats = m_stats.find(open.route.name);
    const std::optional<Duration> work = stats == m_stats.end() ? std::nullopt : stats->second.work();
    if (!work) {
        return placement.fill <= FreeFill;
    }
    const double way = isAbroad ? std::chrono::duration<double>(AbroadTime).count() : 0;
    // A target that does not remember the key is late in any case, but learns it; the wait is that of the mean request.
    const double wait = std::chrono::duration<double>(*work).count() * std::max(0.0, placement.fill - 1);
    const double predicted = std::chrono::duration<double>(*stats->second.warmWork()).count() + wait + way;
    const double objective = std::chrono::duration<double>(open.route.objective - (m_now - open.arrivedAt)).count();
    return predicted <= objective * (isUrgent ? ObjectivePart : LessUrgentObjectivePart);
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
    if (!fitsLink(open)) {
        return {nullptr, 0, Refusal::LinkFull};
    }
    const std::string region = pickRegion(open);
    Placement planned = placeIn(open, region);
    if (planned.target != nullptr && isAdmissible(open, planned, region != m_region)) {
        return planned;
    }
    const bool regionIsDead = planned.target == nullptr;
    if (!regionIsDead && open.affinity != 0) {
        return {nullptr, planned.fill, Refusal::Overloaded};
    }
    Placement other = placeIn(open, {});
    if (other.target == nullptr) {
        return planned.target == nullptr ? other : Placement{nullptr, planned.fill, Refusal::Overloaded};
    }
    const bool isAbroad = other.target->region != m_region;
    if (!isAdmissible(open, other, isAbroad)) {
        return {nullptr, other.fill, Refusal::Overloaded};
    }
    const bool mayMove = regionIsDead || !isAbroad
        || m_overflow[open.service].take(m_now, m_settings.shiftWindow, m_settings.maxShift * OverflowPart);
    return mayMove ? other : Placement{nullptr, planned.fill, Refusal::Overloaded};
}

void Balancer::Impl::followPlans()
{
    if (m_now < m_planDue || !m_table) {
        return;
    }
    m_planDue = m_now + PlanInterval;
    // Two windows lie between the states that are compared, and chance moves some requests too.
    const double window = std::chrono::duration<double>(m_settings.shiftWindow).count();
    const double step = m_settings.maxShift / window / 2;
    for (const ServiceTraits &service : m_table->services) {
        const std::map<std::string, double> capacity = m_targets.capacity(service.name, m_now);
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
        plan->second.follow(plannedShares(m_region, capacity, demand), capacity, m_now);
    }
}

} // namespace pepperlug::fleet
