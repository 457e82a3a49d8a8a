//===- GatewaySpares.cpp - Connections opened in advance to targets -------===//
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// Short against the time for which a target stays wanted, long enough for the sorting to cost nothing.
constexpr Milliseconds UpdateInterval{1000};

} // namespace

// The mutex is held.
void GatewayDaemon::Impl::noteAttempt(const Address &target, const std::string &zone, TimePoint now)
{
    const auto &regions = m_settings.regionOfZone;
    if (m_settings.spareConnections > 0 && regionOf(regions, zone) != regionOf(regions, m_settings.zone)) {
        m_recentTargets.addAttempt(target, now);
    }
}

void GatewayDaemon::Impl::updateSpareConnections(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_settings.spareConnections == 0 || now < m_nextSparesUpdate) {
        return;
    }
    m_nextSparesUpdate = now + UpdateInterval;
    m_client->keepConnected(m_recentTargets.mostRecent(m_settings.spareConnections, now));
    const SpareConnectionCounts counts = m_client->spareConnections();
    m_metrics.count("pepperlug_spare_connections{event=\"opened\"}", counts.opened - m_spareCounts.opened);
    m_metrics.count("pepperlug_spare_connections{event=\"used\"}", counts.used - m_spareCounts.used);
    m_metrics.count("pepperlug_spare_connections{event=\"closed-unused\"}",
                    counts.closedUnused - m_spareCounts.closedUnused);
    m_spareCounts = counts;
}

} // namespace pepperlug::fleet
