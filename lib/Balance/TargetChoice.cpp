//===- TargetChoice.cpp - Choice of the target of a request ---------------===//
//
// With an affinity key, the choice is the first of the few targets that the key prefers that would answer in time, or
// else the least loaded of them. All entry hosts compute the same preference without communication, so a target sees
// the same keys again and has their data cached. If these targets are full, no other one is used: a target caches a
// limited number of keys, so a key that spills over evicts another one elsewhere, all targets become slow, and more
// keys spill over.
//
// Only if no target is found that way are all targets of the service looked at.
//
//===----------------------------------------------------------------------===//
#include "TargetSet.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

TargetState *leastLoaded(const std::vector<TargetState *> &targets, TimePoint now)
{
    const auto it =
        std::ranges::min_element(targets, {}, [now](const TargetState *it) { return it->utilization(now); });
    return it == targets.end() ? nullptr : *it;
}

} // namespace

std::vector<const TargetRing *> TargetSet::ringsFor(const TargetQuery &query) const
{
    std::vector<const TargetRing *> rings;
    const auto service = m_rings.find(query.service);
    if (service == m_rings.end()) {
        return rings;
    }
    for (const auto &[region, ring] : service->second) {
        const bool isAllowed = query.regions == nullptr || query.regions->contains(region);
        if (isAllowed && (query.region.empty() || query.region == region) && ring.mayHaveUsable()) {
            rings.push_back(&ring);
        }
    }
    return rings;
}

bool TargetSet::isAvailable(TargetState &target, const TargetQuery &query, TimePoint now) const
{
    ++m_visited;
    return isUsable(target, now) && !query.excluded.contains(target.report.id)
        && (!target.isCold(now) || mayReceiveWhileCold(target, now)) && !untilCapacity(target, query, now)
        && target.failures.mayUse(now) && !target.isUnresponsive(now, query.responseTimeout);
}

TargetState *TargetSet::chooseByKey(const std::vector<const TargetRing *> &rings, const TargetQuery &query,
                                    TimePoint now)
{
    TargetRing::Ranked ranked;
    for (const TargetRing *it : rings) {
        it->addPreferred(
            query.affinity, [&](TargetState &target) { return isAvailable(target, query, now); }, ranked);
    }
    std::ranges::sort(ranked, {}, [](const auto &it) { return it.first; });
    std::vector<TargetState *> first;
    for (const auto &[distance, target] : ranked) {
        if (first.size() == m_settings.policy.targetsPerKey) {
            break;
        }
        if (std::find(first.begin(), first.end(), target) != first.end()) {
            continue;
        }
        if (target->utilization(now) <= query.admissibleUtilization) {
            return target;
        }
        first.push_back(target);
    }
    return leastLoaded(first, now);
}

TargetState *TargetSet::chooseLeastLoaded(const std::vector<const TargetRing *> &rings, const TargetQuery &query,
                                          TimePoint now)
{
    const std::uint64_t point = hash64(std::to_string(++m_samples), m_settings.seed);
    std::vector<TargetState *> candidates;
    for (const TargetRing *it : rings) {
        const std::vector<TargetState *> sampled =
            it->sample(point, [&](TargetState &target) { return isAvailable(target, query, now); });
        candidates.insert(candidates.end(), sampled.begin(), sampled.end());
    }
    return leastLoaded(candidates, now);
}

TargetChoice TargetSet::choose(const TargetQuery &query, TimePoint now)
{
    const std::vector<const TargetRing *> rings = ringsFor(query);
    TargetState *target = query.affinity != 0 ? chooseByKey(rings, query, now) : chooseLeastLoaded(rings, query, now);
    return target != nullptr ? TargetChoice{target, std::nullopt} : chooseAmongAll(rings, query, now);
}

// If all targets failed recently or are unresponsive, the one whose block ends first is chosen, unless its answers have
// no end.
TargetChoice TargetSet::chooseAmongAll(const std::vector<const TargetRing *> &rings, const TargetQuery &query,
                                       TimePoint now)
{
    std::vector<TargetState *> available;
    TargetState *firstUnblocked = nullptr;
    std::optional<Duration> soonest;
    for (const TargetRing *ring : rings) {
        for (const auto &[hash, target] : ring->targets()) {
            ++m_visited;
            const bool isExcluded = !isUsable(*target, now) || query.excluded.contains(target->report.id);
            if (isExcluded || (target->isCold(now) && !mayReceiveWhileCold(*target, now))) {
                continue;
            }
            if (const std::optional<Duration> wait = untilCapacity(*target, query, now)) {
                soonest = std::min(soonest.value_or(*wait), *wait);
                continue;
            }
            if (target->failures.mayUse(now) && !target->isUnresponsive(now, query.responseTimeout)) {
                available.push_back(target);
            } else if (target->failures.mayUseWithoutOther()
                       && (firstUnblocked == nullptr
                           || target->failures.blockedUntil() < firstUnblocked->failures.blockedUntil())) {
                firstUnblocked = target;
            }
        }
    }
    TargetState *chosen = available.empty() ? firstUnblocked : leastLoaded(available, now);
    return chosen == nullptr ? TargetChoice{nullptr, soonest} : TargetChoice{chosen, std::nullopt};
}

} // namespace pepperlug::fleet
