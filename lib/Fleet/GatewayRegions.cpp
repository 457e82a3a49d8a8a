//===- GatewayRegions.cpp - Regions that serve an entry host's callers ----===//
#include "GatewayImpl.h"

#include <cmath>

namespace pepperlug::fleet
{

void GatewayDaemon::Impl::carryOut(const RegionLossFollowed &effect)
{
    m_metrics.count("pepperlug_plan_losses");
    m_events.state("region-loss",
                   {{"service", effect.service},
                    {"region", effect.region},
                    {"slots_before", std::lround(effect.slotsBefore)},
                    {"slots", std::lround(effect.slotsNow)}});
}

// Regions without a share are written as 0, so that a gauge does not keep the last share of a region that callers have
// left.
void GatewayDaemon::Impl::reportRegionShares()
{
    std::map<std::string, std::map<std::string, double>> all;
    {
        const std::lock_guard lock(m_mutex);
        all = m_balancer->regionShares();
    }
    for (auto &[service, shares] : all) {
        for (const auto &[zone, region] : m_settings.regionOfZone) {
            std::string name = "pepperlug_region_share{service=\"";
            name.append(service).append("\",region=\"").append(region).append("\"}");
            m_metrics.gauge(name, shares[region]);
        }
    }
}

} // namespace pepperlug::fleet
