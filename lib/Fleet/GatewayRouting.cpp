//===- GatewayRouting.cpp - The routing that an entry host decides by -----===//
//
// The followed control host tells with each reply how new its routing is. Short changes come with the reply; long ones
// are fetched apart and may take as long as the link needs, while departures of targets and the signs of life of this
// host go on beside them.
//
//===----------------------------------------------------------------------===//
#include "../Daemon/HttpStatus.h"
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// Time without a byte after which a fetch is given up; with the next reply it is begun anew. The farthest way and back
/// takes 70 ms, and packets that wait much longer on a link are the exception.
constexpr Milliseconds FetchSilence{1000};

} // namespace

void GatewayDaemon::Impl::followRouting(const Address &from, const FleetWatchReply &reply)
{
    bool isWholeWanted = false;
    {
        const std::lock_guard lock(m_mutex);
        // Said with the next ask, so that it is held back although this host has not got the newest yet.
        m_routingLag.heard(reply.routingIndex, m_clock.now());
        if (reply.routingIndex <= m_routing.index || m_isFetchingRouting) {
            return;
        }
        isWholeWanted = m_wantsWholeRouting;
    }
    if (reply.routingChanges.empty() || isWholeWanted) {
        fetchRouting(from);
        return;
    }
    adoptRouting(from, reply.routingChanges);
}

void GatewayDaemon::Impl::fetchRouting(const Address &from)
{
    FleetRoutingCall call;
    {
        const std::lock_guard lock(m_mutex);
        m_isFetchingRouting = true;
        call.index = m_wantsWholeRouting ? 0 : m_routing.index;
    }
    const TimePoint askedAt = m_clock.now();
    m_net.call(
        from, path::FleetRouting, encode(call), FetchSilence,
        [this, from, askedAt](const PeerReply &reply) { onRoutingFetched(from, askedAt, reply); }, CallLimit::Silence);
}

void GatewayDaemon::Impl::onRoutingFetched(const Address &from, TimePoint askedAt, const PeerReply &reply)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isFetchingRouting = false;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(m_clock.now() - askedAt);
    if (!reply.delivered || reply.status != Ok) {
        m_events.state("routing-not-fetched",
                       {{"from", from.text()}, {"reason", reply.reason}, {"took_ms", took.count()}});
        return; // the next reply, half a second later at most, begins anew
    }
    m_metrics.count("pepperlug_news_bytes{to=\"entry\"}", reply.body.size());
    m_events.state("routing-fetched", {{"from", from.text()}, {"bytes", reply.body.size()}, {"took_ms", took.count()}});
    try {
        adoptRouting(from, decode<FleetRoutingReply>(reply.body, from.text()).changes);
    } catch (const Error &ex) {
        m_events.state("routing-unreadable", {{"from", from.text()}, {"reason", ex.what()}});
    }
    tellAgeOfNews();
    // Whoever waits for this host to have the change should not wait for the held-back reply too.
    m_watch->hurry();
}

void GatewayDaemon::Impl::adoptRouting(const Address &from, const std::vector<std::string> &changes)
{
    RoutingView before;
    {
        const std::lock_guard lock(m_mutex);
        before = m_routing;
    }
    RoutingView after;
    try {
        after = applyRoutingChanges(before, changes, from.text());
    } catch (const Error &ex) {
        m_events.state("routing-unreadable", {{"from", from.text()}, {"reason", ex.what()}});
        const std::lock_guard lock(m_mutex);
        m_wantsWholeRouting = true;
        return;
    }
    if (after.index > before.index && after.table) {
        m_events.state("routing",
                       {{"index", after.index},
                        {"table", after.table->version},
                        {"routes", after.table->routes.size()},
                        {"routes_with_homes", after.table->routesWithHomes()},
                        {"tenants", after.table->tenants.size()},
                        {"evacuated", after.evacuatedZones},
                        {"from", from.text()}});
        m_metrics.gauge("pepperlug_routing_index", static_cast<double>(after.index));
        reduce(RoutesChanged{after.table, after.evacuatedZones});
    }
    // Last, since asks tell it: from then on others rely on it.
    const std::lock_guard lock(m_mutex);
    m_wantsWholeRouting = false;
    m_routingLag.reached(after.index);
    if (after.index > m_routing.index) {
        m_routing = std::move(after);
    }
}

void GatewayDaemon::Impl::tellAgeOfNews()
{
    UpdateReceived news;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_viewAsOf) {
            return;
        }
        news.requestedAt = *m_viewAsOf;
        news.behindSince = m_routingLag.behindSince();
        news.isArriving = !m_wantsWholeRouting;
    }
    m_metrics.gauge("pepperlug_routing_behind", news.behindSince ? 1 : 0);
    reduce(news);
}

// Log index such that nothing is decided by an older routing; the mutex is held. It may be one that has not arrived
// yet: while this host decides nothing, nobody has to wait for it.
std::uint64_t GatewayDaemon::Impl::actsUpon() const
{
    return m_balancer->isSuspended() ? m_routingLag.newest() : m_routing.index;
}

} // namespace pepperlug::fleet
