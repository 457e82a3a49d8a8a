//===- GatewayRouting.cpp - Routing of an entry host ----------------------===//
//
// The followed control host advertises the log index of its routing in each reply. Short changes come with the reply.
// Long ones are fetched separately and may take as long as the link needs, while departures of targets and heartbeats
// of this host pass beside them.
//
//===----------------------------------------------------------------------===//
#include "../Daemon/HttpStatus.h"
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// Time without a byte after which a fetch is given up; the next reply starts it again. The longest round trip takes 70
/// ms, and packets rarely wait much longer on a link.
constexpr Milliseconds FetchIdleTimeout{1000};

} // namespace

void GatewayDaemon::Impl::updateRouting(const Address &from, const FleetWatchReply &reply)
{
    bool needsFullRouting = false;
    {
        const std::lock_guard lock(m_mutex);
        // The next request reports the advertised index, so that its reply is held although this host still lacks that
        // routing.
        m_routingLag.addAdvertised(reply.routingIndex, m_clock.now());
        if (reply.routingIndex <= m_routing.index || m_isFetchingRouting) {
            return;
        }
        needsFullRouting = m_needsFullRouting;
    }
    if (reply.routingChanges.empty() || needsFullRouting) {
        fetchRouting(from);
        return;
    }
    applyRouting(from, reply.routingChanges);
}

void GatewayDaemon::Impl::fetchRouting(const Address &from)
{
    FleetRoutingCall call;
    {
        const std::lock_guard lock(m_mutex);
        m_isFetchingRouting = true;
        call.index = m_needsFullRouting ? 0 : m_routing.index;
    }
    const TimePoint sentAt = m_clock.now();
    m_net.call(
        from, path::FleetRouting, encode(call), FetchIdleTimeout,
        [this, from, sentAt](const PeerReply &reply) { onRoutingFetched(from, sentAt, reply); }, CallLimit::Silence);
}

void GatewayDaemon::Impl::onRoutingFetched(const Address &from, TimePoint sentAt, const PeerReply &reply)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isFetchingRouting = false;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(m_clock.now() - sentAt);
    if (!reply.delivered || reply.status != Ok) {
        m_events.state("routing-not-fetched",
                       {{"from", from.text()}, {"reason", reply.reason}, {"took_ms", took.count()}});
        return; // retried with the next reply, half a second later at most
    }
    m_metrics.count("pepperlug_news_bytes{to=\"entry\"}", reply.body.size());
    m_events.state("routing-fetched", {{"from", from.text()}, {"bytes", reply.body.size()}, {"took_ms", took.count()}});
    try {
        applyRouting(from, decode<FleetRoutingReply>(reply.body, from.text()).changes);
    } catch (const Error &ex) {
        m_events.state("routing-unreadable", {{"from", from.text()}, {"reason", ex.what()}});
    }
    reportViewAge();
    // A change waits for the confirmation of this host, which must not wait for the held reply.
    m_watch->sendReport();
}

void GatewayDaemon::Impl::applyRouting(const Address &from, const std::vector<std::string> &changes)
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
        m_needsFullRouting = true;
        return;
    }
    if (after.index > before.index && after.table) {
        m_events.state("routing",
                       {{"index", after.index},
                        {"table", after.table->version},
                        {"routes", after.table->routes.size()},
                        {"routes_with_homes", after.table->routesWithHomeRegions()},
                        {"tenants", after.table->tenants.size()},
                        {"evacuated", after.evacuatedZones},
                        {"from", from.text()}});
        m_metrics.gauge("pepperlug_routing_index", static_cast<double>(after.index));
        reduce(RoutesChanged{after.table, after.evacuatedZones, after.index});
    }
    // Set last, since requests report it and other hosts rely on it from then on.
    const std::lock_guard lock(m_mutex);
    m_needsFullRouting = false;
    m_routingLag.setApplied(after.index);
    if (after.index > m_routing.index) {
        m_routing = std::move(after);
    }
}

void GatewayDaemon::Impl::reportViewAge()
{
    UpdateReceived received;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_routingLag.heardAt()) {
            return;
        }
        received.requestedAt = m_viewAsOf.value_or(TimePoint{});
        received.heardAt = m_routingLag.heardAt();
        received.behindSince = m_routingLag.behindSince();
        received.isArriving = !m_needsFullRouting;
    }
    m_metrics.gauge("pepperlug_routing_behind", received.behindSince ? 1 : 0);
    reduce(received);
}

// A control host that answers while a long reply is on its way shows that this host is slow, not cut off.
void GatewayDaemon::Impl::onAlive(const FleetAliveReply &reply)
{
    if (!reply.isCurrent) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_routingLag.addContact(m_clock.now());
        m_routingLag.addAdvertised(reply.routingIndex, m_clock.now());
    }
    reportViewAge();
}

void GatewayDaemon::Impl::reportSuspension()
{
    const std::lock_guard lock(m_mutex);
    const std::optional<TimePoint> heardAt = m_routingLag.heardAt();
    const bool isSuspended = m_balancer->isSuspended();
    if (isSuspended == m_wasSuspended) {
        return;
    }
    m_wasSuspended = isSuspended;
    m_metrics.gauge("pepperlug_routing_suspended", isSuspended ? 1 : 0);
    m_events.state(
        isSuspended ? "routing-suspended" : "routing-resumed",
        {{"index", m_routing.index},
         {"newest_index", m_routingLag.newestIndex()},
         {"view_age_ms", viewAge().count()},
         {"heard_ms_ago", heardAt ? std::chrono::duration_cast<Milliseconds>(m_clock.now() - *heardAt).count() : -1}});
}

// Log index of the oldest routing by which this host decides. While it decides nothing, this may be an index that has
// not arrived yet, so that nobody has to wait for it. The mutex is held.
std::uint64_t GatewayDaemon::Impl::activeRoutingIndex() const
{
    return m_balancer->isSuspended() ? m_routingLag.newestIndex() : m_routing.index;
}

} // namespace pepperlug::fleet
