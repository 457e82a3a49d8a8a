//===- CallerShares.cpp - Redirection of callers to other regions ---------===//
#include "pepperlug/Registry.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Link use above which a region redirects callers.
constexpr double MinLinkUse = 0.25;
/// Difference in link use above which a region receives redirected callers of another one.
constexpr double MinLinkUseGap = 0.06;
/// Fractions of a region's callers that may be redirected, and returned, in a second. Callers return more slowly, so
/// that shares do not oscillate.
constexpr double RedirectedPerSecond = 0.03;
constexpr double ReturnedPerSecond = 0.015;
/// Fraction of a region's callers that is redirected at most.
constexpr double MaxRedirectedFraction = 0.4;
/// Time between two updates that counts at most, so that a pause does not cause one large step.
constexpr std::chrono::duration<double> MaxElapsedTime{1.0};

} // namespace

void CallerShares::update(const std::map<std::string, RegionLoad> &regions, TimePoint now)
{
    const std::chrono::duration<double> sinceLast = now - m_updatedAt.value_or(now);
    const std::chrono::duration<double> elapsed = std::min(sinceLast, MaxElapsedTime);
    m_updatedAt = now;
    std::erase_if(m_redirected, [&](const auto &it) { return !regions.contains(it.first); });
    for (const auto &[region, load] : regions) {
        RedirectedShare &share = m_redirected[region];
        const auto isLess = [](const auto &lhs, const auto &rhs) {
            return lhs.second.linkUse < rhs.second.linkUse;
        };
        const auto leastUsed = std::min_element(regions.begin(), regions.end(), isLess);
        const bool isValidDestination = regions.contains(share.region) && share.region != region;
        if (share.fraction <= 0 || !isValidDestination) {
            share = {leastUsed->first, 0};
        }
        const double gap = load.linkUse - regions.at(share.region).linkUse;
        const bool isOverloaded = load.linkUse > MinLinkUse && gap > MinLinkUseGap;
        const double step = isOverloaded ? RedirectedPerSecond : (gap < MinLinkUseGap / 2 ? -ReturnedPerSecond : 0);
        share.fraction = std::clamp(share.fraction + step * elapsed.count(), 0.0, MaxRedirectedFraction);
    }
}

RedirectedShare CallerShares::redirectedFrom(const std::string &region) const
{
    const auto it = m_redirected.find(region);
    return it == m_redirected.end() ? RedirectedShare{} : it->second;
}

} // namespace pepperlug::fleet
