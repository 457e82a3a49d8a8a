//===- RegionPlan.cpp - Traffic shares of regions -------------------------===//
#include "RegionPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pepperlug::fleet
{

namespace
{

/// Utilization up to which a region serves all of its own callers.
constexpr double FullUtilization = 0.6;
/// Fraction of a region's slots whose loss within seconds is followed at once. Single targets that restart are fewer.
constexpr double LargeLoss = 0.2;
/// Half-life of the capacity that a loss is measured against. Targets that fail at the same moment are reported as lost
/// within two of their report intervals of 1.5 s.
constexpr std::chrono::duration<double> CapacityHalfLife{6.0};
/// Spare slots below which a region counts as full.
constexpr double MinSpareSlots = 0.5;

double valueOr0(const std::map<std::string, double> &values, const std::string &key)
{
    const auto it = values.find(key);
    return it == values.end() ? 0.0 : it->second;
}

RegionShares normalized(RegionShares shares)
{
    const double sum = sumOf(shares);
    if (sum <= 0) {
        return {};
    }
    for (auto &[region, share] : shares) {
        share /= sum;
    }
    return shares;
}

} // namespace

double sumOf(const RegionSlots &slots)
{
    return std::accumulate(slots.begin(), slots.end(), 0.0, [](double n, const auto &it) { return n + it.second; });
}

RegionShares plannedShares(const std::string &region, const RegionSlots &capacity, const RegionSlots &demand,
                           const RegionSlots &bound)
{
    const double totalCapacity = sumOf(capacity);
    if (totalCapacity <= 0) {
        return {};
    }
    // All regions get the same utilization when the total demand exceeds FullUtilization.
    const double level = std::max(FullUtilization, (sumOf(demand) + sumOf(bound)) / totalCapacity);
    const auto room = [&](const std::string &name) {
        return std::max(0.0, valueOr0(capacity, name) * level - valueOr0(bound, name));
    };
    const double wanted = valueOr0(demand, region);
    const double kept = wanted <= 0 ? 1.0 : std::min(1.0, room(region) / wanted);
    RegionShares shares;
    shares[region] = kept;
    RegionShares spare;
    for (const auto &[name, slots] : capacity) {
        const double free = room(name) - valueOr0(demand, name);
        if (name != region && free > MinSpareSlots) {
            spare[name] = free;
        }
    }
    spare = normalized(spare);
    if (spare.empty()) {
        return {{region, 1.0}};
    }
    for (const auto &[name, part] : spare) {
        shares[name] = (1 - kept) * part;
    }
    if (valueOr0(capacity, region) <= 0) {
        shares.erase(region);
    }
    return normalized(shares);
}

RegionPlan::RegionPlan(double maxStep)
    : m_maxStep(maxStep)
{
}

// Targets of a region that fails are reported as lost one after the other, so the comparison is with the highest
// capacity of the last seconds, which decays to the last one: updates may be seconds apart. After a loss it starts
// again from what is left: a region that has lost nearly all of its slots would otherwise count as losing them for
// minutes.
std::vector<RegionLoss> RegionPlan::findLosses(const RegionSlots &capacity, TimePoint now)
{
    std::vector<RegionLoss> losses;
    const double remaining = std::exp2(-secondsOf(now - m_notedAt) / CapacityHalfLife.count());
    m_notedAt = now;
    for (auto &[region, recent] : m_recentCapacity) {
        recent = std::max(recent * remaining, valueOr0(m_lastCapacity, region));
        const double slots = valueOr0(capacity, region);
        if (slots < recent * (1 - LargeLoss)) {
            losses.push_back({region, recent, slots});
            m_lowestSince[region] = slots;
            recent = slots;
        }
    }
    for (const auto &[region, slots] : capacity) {
        double &recent = m_recentCapacity[region];
        recent = std::max(recent, slots);
    }
    m_lastCapacity = capacity;
    return losses;
}

bool RegionPlan::hasRegainedSlots(const RegionSlots &capacity)
{
    bool hasRegained = false;
    for (auto &[region, lowest] : m_lowestSince) {
        const double slots = valueOr0(capacity, region);
        hasRegained = hasRegained || slots * (1 - LargeLoss) > lowest;
        lowest = std::min(lowest, slots);
    }
    return hasRegained;
}

bool RegionPlan::isStarting(TimePoint now) const
{
    return m_shares.empty() || now < m_startedAt + SettleTime;
}

// Losses are noted even if they are not followed, so that a plan that begins to follow them does not take the present
// capacity for a first one. A region that regains slots ends the time after its loss: the caches of its targets are
// cold, so its share may return at the bounded rate only.
std::vector<RegionLoss> RegionPlan::moveTowards(const RegionShares &planned, const RegionSlots &capacity, TimePoint now,
                                                bool followsLosses)
{
    if (planned.empty()) {
        return {};
    }
    std::vector<RegionLoss> losses = findLosses(capacity, now);
    if (!losses.empty()) {
        m_settledAt = now + SettleTime;
    } else if (now >= m_settledAt || hasRegainedSlots(capacity)) {
        m_settledAt = now;
        m_lowestSince.clear();
    }
    if (!followsLosses) {
        losses.clear();
    }
    const bool isSettling = isStarting(now) || now < m_settledAt;
    m_startedAt = m_shares.empty() ? now : m_startedAt;
    // The first plan is adopted as a whole, and traffic leaves a region without targets at once.
    const bool leavesEmptyRegion = std::any_of(m_shares.begin(), m_shares.end(), [&](const auto &it) {
        return it.second > 0 && valueOr0(capacity, it.first) <= 0;
    });
    if (m_shares.empty() || leavesEmptyRegion || (followsLosses && isSettling)) {
        m_shares = planned;
        m_movedAt = now;
        return losses;
    }
    double moved = 0;
    for (const auto &[region, share] : planned) {
        moved += std::max(0.0, share - valueOr0(m_shares, region));
    }
    const double allowed = m_maxStep * std::chrono::duration<double>(now - m_movedAt).count();
    m_movedAt = now;
    if (moved <= 0) {
        return losses;
    }
    const double part = std::min(1.0, allowed / moved);
    RegionShares next;
    for (const auto &[region, share] : m_shares) {
        next[region] = share * (1 - part);
    }
    for (const auto &[region, share] : planned) {
        next[region] += share * part;
    }
    m_shares = next;
    return losses;
}

void RegionPlan::beginSettling(TimePoint now)
{
    m_startedAt = now;
}

std::string RegionPlan::regionAt(double point) const
{
    for (const auto &[region, share] : m_shares) {
        if (point < share) {
            return region;
        }
        point -= share;
    }
    return m_shares.empty() ? std::string() : m_shares.rbegin()->first;
}

std::string RegionPlan::regionForKey(std::uint64_t key) const
{
    std::string best;
    double bestRank = -1;
    for (const auto &[region, share] : m_shares) {
        const double rank = share / -std::log(unitInterval(hash64(region, key)));
        if (share > 0 && rank > bestRank) {
            best = region;
            bestRank = rank;
        }
    }
    return best;
}

const RegionShares &RegionPlan::shares() const
{
    return m_shares;
}

} // namespace pepperlug::fleet
