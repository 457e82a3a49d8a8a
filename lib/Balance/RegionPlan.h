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

/// Slots of a region that has lost many of them.
struct RegionLoss {
    std::string region;
    double before = 0; ///< highest number of the last seconds
    double now = 0;
};

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
    /// Returns the losses that are followed.
    std::vector<RegionLoss> moveTowards(const RegionShares &planned, const RegionSlots &capacity, TimePoint now,
                                        bool followsLosses = false);
    /// Returns true until the demand is known that a plan needs.
    bool isStarting(TimePoint now) const;
    /// Starts the time anew that isStarting() covers, since demand is known from now on.
    void beginSettling(TimePoint now);
    /// Region for a point in [0, 1); empty while there is no plan.
    std::string regionAt(double point) const;
    /// Region for a key, by weighted rendezvous hashing: a region whose share grows gains keys, and no other key moves.
    std::string regionForKey(std::uint64_t key) const;
    const RegionShares &shares() const;

private:
    /// Returns the regions that have just lost many of their slots. Each loss is returned once.
    std::vector<RegionLoss> findLosses(const RegionSlots &capacity, TimePoint now);
    /// Returns true if a region has regained slots since its loss.
    bool hasRegainedSlots(const RegionSlots &capacity);

    double m_maxStep;
    RegionShares m_shares;
    TimePoint m_movedAt{};
    RegionSlots m_recentCapacity; ///< highest one of the last seconds, or since the last loss
    TimePoint m_notedAt{}; ///< when m_recentCapacity was updated
    RegionSlots m_lastCapacity; ///< at m_notedAt
    RegionSlots m_lowestSince; ///< lowest capacity since the loss, of regions whose loss has not settled
    TimePoint m_startedAt{}; ///< when the first plan was adopted
    TimePoint m_settledAt{}; ///< when the last loss will have settled
};

} // namespace pepperlug::fleet
