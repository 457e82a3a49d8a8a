//===- CallerShares.cpp - Callers that go to another region's hosts -------===//
#include "pepperlug/Registry.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// A region whose links are used less than this keeps its callers.
constexpr double CrowdedUse = 0.25;
/// A region takes guests while it is used that much less than the one they come from.
constexpr double LeastGap = 0.06;
/// Parts of a region's callers that may be moved in a second. The way back is slower, so that shares do not swing.
constexpr double PartMovedPerSecond = 0.03;
constexpr double PartReturnedPerSecond = 0.015;
constexpr double MostGuests = 0.4;
/// Longest time between two calls that counts, so that a pause is not made up for at once.
constexpr std::chrono::duration<double> LongestStep{1.0};

} // namespace

void CallerShares::update(const std::map<std::string, RegionLoad> &regions, TimePoint now)
{
    const std::chrono::duration<double> sinceLast = now - m_movedAt.value_or(now);
    const std::chrono::duration<double> passed = std::min(sinceLast, LongestStep);
    m_movedAt = now;
    std::erase_if(m_guests, [&](const auto &it) { return !regions.contains(it.first); });
    for (const auto &[region, load] : regions) {
        RedirectedShare &guests = m_guests[region];
        const auto isLess = [](const auto &lhs, const auto &rhs) {
            return lhs.second.linkUse < rhs.second.linkUse;
        };
        const auto emptiest = std::min_element(regions.begin(), regions.end(), isLess);
        const bool hasHost = regions.contains(guests.region) && guests.region != region;
        if (guests.fraction <= 0 || !hasHost) {
            guests = {emptiest->first, 0};
        }
        const double gap = load.linkUse - regions.at(guests.region).linkUse;
        const bool isCrowded = load.linkUse > CrowdedUse && gap > LeastGap;
        const double step = isCrowded ? PartMovedPerSecond : (gap < LeastGap / 2 ? -PartReturnedPerSecond : 0);
        guests.fraction = std::clamp(guests.fraction + step * passed.count(), 0.0, MostGuests);
    }
}

RedirectedShare CallerShares::redirectedFrom(const std::string &region) const
{
    const auto it = m_guests.find(region);
    return it == m_guests.end() ? RedirectedShare{} : it->second;
}

} // namespace pepperlug::fleet
