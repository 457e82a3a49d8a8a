//===- RegionPlan.h - Traffic shares of regions -----------------*- C++ -*-===//
//
// Requests stay in their own region while it can serve them; the excess is spread
// over the spare capacity of other regions. The shares move slowly, since a large
// shift of traffic meets caches that don't hold its data.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

/// Shares of one region's requests by the region that serves them. The sum is 1.
using RegionShares = std::map<std::string, double>;

/// Slots of one service, by region.
using RegionSlots = std::map<std::string, double>;

double sumOf(const RegionSlots &slots);

/// Computes which regions should serve a region's requests, so that no region has a higher utilization than the others
/// without need. A region whose demand is at most `FullUtilization` of its slots serves all of it. `bound` is demand
/// that can't be moved, in addition to `demand`; only what it leaves of a region's slots is divided.
RegionShares plannedShares(const std::string &region, const RegionSlots &capacity, const RegionSlots &demand,
                           const RegionSlots &bound = {});

/// Shares in use, which approach the planned shares at a bounded rate.
class RegionPlan
{
public:
    /// Time after a loss, or after the first plan, until the demand that a plan needs is known: reports of demand cross
    /// two hosts and are averaged over some seconds.
    static constexpr std::chrono::seconds SettleTime{6};

    /// `maxStep`: share of the requests that may move to other regions in a second.
    explicit RegionPlan(double maxStep);

    /// `followsLosses`: after a region has lost many of its slots, and after the first plan, the planned shares are
    /// adopted at once until they have settled. Requests that stay with a region that can't serve them are late.
    void moveTowards(const RegionShares &planned, const RegionSlots &capacity, TimePoint now,
                     bool followsLosses = false);
    /// Adopts planned shares at once until then.
    void adoptUntil(TimePoint until);
    /// Region for a point in [0, 1); empty while there is no plan.
    std::string regionAt(double point) const;
    /// Region for a key, by weighted rendezvous hashing: a region whose share grows gains keys, and no other key moves.
    std::string regionForKey(std::uint64_t key) const;
    const RegionShares &shares() const;

private:
    /// Returns true if a region has just lost many slots, or there was no capacity before.
    bool hasLostSlots(const RegionSlots &capacity, TimePoint now);

    double m_maxStep;
    RegionShares m_shares;
    TimePoint m_movedAt{};
    RegionSlots m_recentCapacity; ///< highest one of the last seconds
    TimePoint m_notedAt{}; ///< when m_recentCapacity was updated
    TimePoint m_settledAt{};
};

} // namespace pepperlug::fleet
