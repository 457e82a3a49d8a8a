//===- RegionPlan.h - Parts of the requests that go to each region -*- C++ -*-===//
//
// Requests stay in their own region while it can serve them; what it can't serve
// is spread over the room of the others. The parts move slowly, since a large
// move of traffic meets caches that don't know it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

/// Parts of one region's requests by the region that serves them; they sum to 1.
using RegionShares = std::map<std::string, double>;

/// What each region should send where, so that no region is filled above the others without need. Regions that can
/// serve their own demand up to `FullRegion` of their slots keep it.
RegionShares plannedShares(const std::string &region, const std::map<std::string, double> &capacity,
                           const std::map<std::string, double> &demand);

/// The shares in use, which follow the plan at a bounded speed.
class RegionPlan
{
public:
    /// `maxStep`: part of the requests that may move to other regions in a second.
    explicit RegionPlan(double maxStep);

    void moveTowards(const RegionShares &planned, const std::map<std::string, double> &capacity, TimePoint now);
    /// Region for a point in [0, 1); empty while there is no plan.
    std::string regionAt(double point) const;
    /// Region for a key, by weighted rendezvous hashing: where a share grows keys come, and no others move.
    std::string regionForKey(std::uint64_t key) const;
    const RegionShares &shares() const;

private:
    double m_maxStep;
    RegionShares m_shares;
    TimePoint m_movedAt{};
};

} // namespace pepperlug::fleet
