//===- Placement.cpp - Service, region and target of a request ------------===//
//
// A request is admitted if it can still be answered within its objective, or if a slot is free. Everything else is
// refused at once: the caller may retry, and a queue of requests that will be late serves nobody.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

namespace pepperlug::fleet
{

namespace
{

/// Share of maxShift for requests that leave their region outside the plan.
constexpr double UnplannedShiftShare = 0.2;
/// Utilization of all targets of a service up to which a returning caller may use a target without the key's data. The
/// data makes the work several times shorter, so spilled requests would overload a service that has little room.
constexpr double MaxSpillUtilization = 0.6;
/// Service times without an answer after which a target counts as unresponsive.
constexpr int ResponseTimeoutFactor = 3;
constexpr Milliseconds MinResponseTimeout{600};

} // namespace

std::string Balancer::Impl::pickService(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    // Smooth weighted round-robin: each request adds the weights to the credits, and the service with the highest
    // credit serves it and pays the sum of the weights.
    std::vector<double> &credits = m_serviceCredits[route.name];
    credits.resize(route.services.size());
    double sum = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < route.services.size(); ++n) {
        credits[n] += route.services[n].weight;
        sum += route.services[n].weight;
        best = credits[n] > credits[best] ? n : best;
    }
    credits[best] -= sum;
    return route.services[best].service;
}

std::string Balancer::Impl::regionByPlan(const OpenRequest &open, std::uint64_t key) const
{
    const std::string region = open.regions.isBound() ? std::string() : m_plans.regionFor(open.service, key);
    return region.empty() ? m_region : region;
}

// All requests of a key go to one region, so that no target in another region has to cache its data.
std::string Balancer::Impl::pickRegion(const OpenRequest &open)
{
    return regionByPlan(open, open.affinity != 0 ? open.affinity : m_random());
}

// A region that serves the requests of tenants or routes with home regions has less room for others.
std::string Balancer::Impl::boundRegion(const OpenRequest &open) const
{
    if (!open.regions.isBound()) {
        return {};
    }
    return open.regions.contains(m_region) ? m_region : open.regions.homes().front();
}

Balancer::Impl::Placement Balancer::Impl::placeInRegion(const OpenRequest &open, const std::string &region,
                                                        bool keepsKey)
{
    TargetQuery query;
    query.service = open.service;
    query.affinity = keepsKey ? open.affinity : 0;
    query.excluded = open.triedTargets;
    query.regions = &open.regions;
    query.region = region;
    const Duration serviceTime = m_admission.stats(open.route.name).serviceTime().value_or(open.route.objective);
    query.responseTimeout = std::max<Duration>(MinResponseTimeout, serviceTime * ResponseTimeoutFactor);
    query.admissibleUtilization = admissibleUtilization(open, !region.empty() && region != m_region);
    Placement placement;
    placement.admissibleUtilization = query.admissibleUtilization;
    query.isUrgent = m_admission.isMostUrgent(open.route);
    const TargetChoice choice = m_targets.choose(query, m_now);
    placement.target = choice.target;
    if (placement.target == nullptr) {
        placement.refusal = choice.untilCapacity ? Refusal::Backpressure : Refusal::NoTarget;
        placement.untilCapacity = choice.untilCapacity.value_or(Duration(0));
        return placement;
    }
    placement.utilization = (placement.target->estimatedRequests(m_now) + 1) / placement.target->slots();
    placement.admissibleUtilization -= reservedUtilization(open, *placement.target);
    return placement;
}

double Balancer::Impl::admissibleUtilization(const OpenRequest &open, bool isInOtherRegion) const
{
    const Duration objectiveLeft = open.route.objective - (m_now - open.arrivedAt);
    return m_admission.admissibleUtilization(open.route, objectiveLeft, open.deadline - m_now, isInOtherRegion,
                                             open.isCallerRetry, m_now);
}

// All hosts keep the same targets' slots free, as a host can't keep a part of a slot: a share of the targets, by their
// ids, keeps one. A request that was admitted before is older than the callers who return.
double Balancer::Impl::reservedUtilization(const OpenRequest &open, const TargetState &target) const
{
    if (open.isCallerRetry || open.attemptsStarted > 0) {
        return 0;
    }
    const double reserved = m_returns.reservedUtilization(open.service, open.route.priority, m_now);
    const double oneSlot = 1 / target.slots();
    const bool keepsSlot = reserved > 0 && unitInterval(hash64(target.report.id)) * oneSlot < reserved;
    return keepsSlot ? std::max(reserved, oneSlot) : 0;
}

// Small answers are never held back: the bound on large answers leaves capacity for them.
bool Balancer::Impl::fitsLink(const OpenRequest &open)
{
    const double bytes = m_admission.answerBytes(open.route.name);
    return bytes < static_cast<double>(LargeAnswerBytes) || m_link.has(bytes, m_now);
}

// By the shares of the plan, so that returning callers do not fill the targets of a region that bound demand fills. The
// sample of all regions has as many targets of the smallest one as of the largest.
Balancer::Impl::Placement Balancer::Impl::placeReturning(const OpenRequest &open)
{
    Placement placement = placeInRegion(open, regionByPlan(open, m_random()), false);
    if (placement.target != nullptr && placement.utilization > placement.admissibleUtilization) {
        placement.target = nullptr;
    }
    return placement;
}

bool Balancer::Impl::maySpillByPlan(const OpenRequest &open) const
{
    const std::optional<double> utilization = m_plans.utilizationWithBound(open.service);
    return utilization && *utilization <= MaxSpillUtilization && !open.regions.isBound();
}

Balancer::Impl::Placement Balancer::Impl::place(const OpenRequest &open)
{
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
    if (hasTarget && maySpillByPlan(open)) {
        const Placement returning = placeReturning(open);
        if (returning.target != nullptr) {
            return returning;
        }
    }
    // A returning caller may use any target with free capacity, although that target has to load the key's data.
    Placement other = placeInRegion(open, {}, !hasTarget);
    if (other.target == nullptr) {
        return regionHasNoTarget ? other : rejected;
    }
    const bool isInOtherRegion = other.target->region != m_region;
    if (other.utilization > admissibleUtilization(open, isInOtherRegion) - reservedUtilization(open, *other.target)) {
        return {nullptr, other.utilization, Refusal::Overloaded, other.admissibleUtilization};
    }
    const bool mayMove = regionHasNoTarget || !isInOtherRegion
        || m_shiftAllowances[open.service].take(m_now, m_settings.shiftWindow,
                                                m_settings.maxShift * UnplannedShiftShare);
    return mayMove ? other : rejected;
}

void Balancer::Impl::updatePlans()
{
    if (!m_table || !m_plans.isDue(m_now)) {
        return;
    }
    for (const ServiceTraits &service : m_table->services) {
        const auto serviceTime = m_meanServiceTime.find(service.name);
        const std::optional<double> mean =
            serviceTime == m_meanServiceTime.end() ? std::nullopt : std::optional(serviceTime->second);
        RegionState state{m_targets.capacity(service.name, mean, m_now), m_targets.demand(service.name),
                          m_targets.boundDemand(service.name), m_targets.capacity(service.name, std::nullopt, m_now)};
        if (m_settings.policy.schedulesReturns) {
            // As many callers return to this host as it sends away, so it schedules for an equal part of all slots.
            const auto hosts = static_cast<double>(std::max<std::size_t>(1, m_targets.entryHosts()));
            m_returns.setSlots(service.name, sumOf(state.capacity) / hosts);
        }
        for (const RegionLoss &it : m_plans.update(service.name, std::move(state), followsLosses(), m_now)) {
            m_out->emplace_back(RegionLossFollowed{service.name, it.region, it.before, it.now});
        }
    }
}

bool Balancer::Impl::followsLosses() const
{
    const LossFollowing following = m_settings.policy.lossFollowing;
    return following == LossFollowing::On || (following == LossFollowing::Paced && m_hasPacedTargets);
}

} // namespace pepperlug::fleet
