//===- RegionPlanner.cpp - Regions that serve an entry host's callers -----===//
#include "RegionPlanner.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds PlanInterval{200};
/// Demand in slots below which none is known yet.
constexpr double MinKnownDemand = 1;

} // namespace

RegionPlanner::RegionPlanner(const BalanceSettings &settings, std::string region)
    : m_settings(settings)
    , m_region(std::move(region))
{
}

bool RegionPlanner::isDue(TimePoint now)
{
    if (now < m_dueAt) {
        return false;
    }
    m_dueAt = now + PlanInterval;
    return true;
}

void RegionPlanner::expire()
{
    m_dueAt = {};
}

RegionSlots RegionPlanner::evenDemand(const RegionSlots &capacity) const
{
    std::set<std::string> regions;
    for (const auto &[zone, region] : m_settings.regionOfZone) {
        regions.insert(region);
    }
    RegionSlots demand;
    for (const std::string &region : regions) {
        demand[region] = sumOf(capacity) / static_cast<double>(regions.size());
    }
    return demand;
}

// The even demand fills all slots, and limits leave only as many as their rates occupy. Beside them it counts in the
// same part, or else a service with a small demand would send limited targets nothing. The reported demand is in slots
// that are occupied, too.
double RegionPlanner::ownDemand(const RegionState &state, double even) const
{
    const auto limited = state.capacity.find(m_region);
    const auto unlimited = state.unlimited.find(m_region);
    if (limited == state.capacity.end() || unlimited == state.unlimited.end() || limited->second >= unlimited->second) {
        return even;
    }
    const auto reported = state.demand.find(m_region);
    return std::max(reported == state.demand.end() ? 0 : reported->second, even * limited->second / unlimited->second);
}

// Half of the bound: the states that it compares lie two windows apart, and random choices move some requests too.
double RegionPlanner::maxStep() const
{
    return m_settings.maxShift / std::chrono::duration<double>(m_settings.shiftWindow).count() / 2;
}

// After all hosts have restarted, a small region would keep all of its callers by the first reports of demand, which
// come from a few hosts.
std::vector<RegionLoss> RegionPlanner::update(const std::string &service, RegionState state, bool followsLosses,
                                              TimePoint now)
{
    const auto [place, isNew] = m_plans.try_emplace(service, ServicePlan{RegionPlan(maxStep()), false, std::nullopt});
    ServicePlan &it = place->second;
    const double sum = sumOf(state.demand) + sumOf(state.bound);
    const double slots = sumOf(state.capacity);
    it.utilizationWithBound = state.bound.empty() ? std::nullopt : std::optional(slots > 0 ? sum / slots : 1);
    if (sum < MinKnownDemand) {
        RegionSlots even = evenDemand(state.capacity);
        even[m_region] = ownDemand(state, even[m_region]);
        state.demand = std::move(even);
    } else if (!it.isDemandKnown) {
        it.isDemandKnown = true;
        it.plan.beginSettling(now);
    }
    if (sum >= MinKnownDemand && followsLosses && it.plan.isStarting(now)) {
        for (const auto &[region, demand] : evenDemand(state.capacity)) {
            state.demand[region] = std::max(state.demand[region], demand);
        }
    }
    const RegionShares planned = plannedShares(m_region, state.capacity, state.demand, state.bound);
    const bool countsLimits = !followsLosses || state.unlimited.empty();
    return it.plan.moveTowards(planned, countsLimits ? state.capacity : state.unlimited, now, followsLosses);
}

std::string RegionPlanner::regionFor(const std::string &service, std::uint64_t key) const
{
    const auto it = m_plans.find(service);
    if (it == m_plans.end()) {
        return {};
    }
    const RegionPlan &plan = it->second.plan;
    return m_settings.policy.hashesRegions ? plan.regionForKey(key) : plan.regionAt(unitInterval(key));
}

std::optional<double> RegionPlanner::utilizationWithBound(const std::string &service) const
{
    const auto it = m_plans.find(service);
    return it == m_plans.end() ? std::nullopt : it->second.utilizationWithBound;
}

std::map<std::string, RegionShares> RegionPlanner::shares() const
{
    std::map<std::string, RegionShares> shares;
    for (const auto &[service, it] : m_plans) {
        shares[service] = it.plan.shares();
    }
    return shares;
}

} // namespace pepperlug::fleet
