//===- RegionPlanner.h - Regions that serve an entry host's callers -*- C++ -*-===//
//
// Keeps the plan of each service up to date with the capacity and the demand of
// the regions.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "RegionPlan.h"

#include "pepperlug/Balance.h"

namespace pepperlug::fleet
{

/// What is known of a service's regions, in slots.
struct RegionState {
    RegionSlots capacity; ///< of usable targets
    RegionSlots demand; ///< by the callers' region, without `bound`
    RegionSlots bound; ///< demand that home regions bind to a region
    /// Like `capacity`, but with the slots that rate limits of targets exclude; empty: the same. Losses that are
    /// followed are measured by it, since the slots that a limit leaves change with the service time.
    RegionSlots unlimited{};
};

/// Plans of an entry host, by service.
class RegionPlanner
{
public:
    /// `region`: that of the host.
    RegionPlanner(const BalanceSettings &settings, std::string region);

    /// Returns true if the plans are due for an update; the next one is due after an interval.
    bool isDue(TimePoint now);
    /// Makes the plans due at once.
    void expire();
    /// Updates the plan of a service. `followsLosses`: see RegionPlan::moveTowards(); in that case the first reports of
    /// demand do not count as all demand. Returns the losses that are followed.
    std::vector<RegionLoss> update(const std::string &service, RegionState state, bool followsLosses, TimePoint now);

    /// Returns the region for a key; empty while the service has no plan.
    std::string regionFor(const std::string &service, std::uint64_t key) const;
    /// Demand of all regions over slots; nothing if home regions bind no demand.
    std::optional<double> utilizationWithBound(const std::string &service) const;
    /// Shares of the host's callers that the regions serve, by service.
    std::map<std::string, RegionShares> shares() const;

private:
    struct ServicePlan {
        RegionPlan plan;
        bool isDemandKnown = false;
        std::optional<double> utilizationWithBound;
    };

    /// Demand of each region if all regions have the same and the service is full.
    RegionSlots evenDemand(const RegionSlots &capacity) const;
    /// Demand of the host's region while none is known, given the even one.
    double ownDemand(const RegionState &state, double even) const;
    double maxStep() const;

    const BalanceSettings &m_settings;
    std::string m_region;
    std::map<std::string, ServicePlan> m_plans;
    TimePoint m_dueAt{};
};

} // namespace pepperlug::fleet
