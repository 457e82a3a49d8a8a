//===- RegistryPeers.cpp - What other hosts ask of a control host ---------===//
#include "RegistryImpl.h"

namespace pepperlug::fleet
{

namespace
{

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;

} // namespace

void RegistryDaemon::Impl::onPeerCall(const IncomingCallPtr &call)
{
    try {
        if (call->path() == path::FleetWatch) {
            onWatch(call);
            return;
        }
        if (call->path() == path::FleetJoin) {
            const auto join = decode<MembershipCall>(call->body(), call->peer());
            m_log->post(JoinRequested{join.name, join.diskId, join.zone});
            call->reply(Ok, "");
            return;
        }
        std::optional<ControlMessage> message = decodeControlMessage(call->path(), call->body(), call->peer());
        if (!message) {
            call->reply(NotFound, "unknown path " + call->path());
            return;
        }
        m_log->post(MessageReceived{std::move(*message)});
        call->reply(Ok, "");
    } catch (const Error &ex) {
        m_metrics.count("pepperlug_bad_peer_messages");
        call->reply(BadRequest, ex.what());
    }
}

void RegistryDaemon::Impl::onWatch(const IncomingCallPtr &call)
{
    Watcher watcher;
    watcher.call = call;
    watcher.ask = decode<FleetWatchCall>(call->body(), call->peer());
    const TimePoint now = m_clock.now();
    watcher.until = now + watcher.ask.patience;
    const std::lock_guard lock(m_mutex);
    if (watcher.ask.epoch != m_epoch) {
        watcher.ask.since = 0;
    }
    const HostReport &self = watcher.ask.self;
    m_registry.receive(self, now);
    if (self.role == HostRole::Control) {
        std::uint64_t &seen = m_seenBy[self.peer];
        seen = watcher.ask.since;
    }
    m_watchers.push_back(std::move(watcher));
    replyWatchers(now);
    settleDepartures(now);
}

bool RegistryDaemon::Impl::hasNews(const FleetWatchCall &call) const
{
    return call.since == 0 || m_registry.changedVersion() > call.since || m_routing.index() > call.routingIndex;
}

FleetWatchReply RegistryDaemon::Impl::makeReply(const FleetWatchCall &call, TimePoint now) const
{
    FleetWatchReply reply;
    reply.epoch = m_epoch;
    reply.version = m_registry.version();
    reply.isCurrent = !m_isLeaving && m_log->status().isCurrent(now);
    const bool isControl = call.self.role == HostRole::Control;
    reply.changes = isControl ? m_registry.heardSince(call.since, now) : m_registry.changedSince(call.since, now);
    reply.isWhole = call.since == 0;
    if (isControl) {
        return reply;
    }
    reply.demand = m_registry.demand(m_settings.regionOfZone);
    const RoutingState *routing = &m_routing;
    const bool knowsNothing = call.routingIndex == 0 && call.since == 0;
    if (knowsNothing && m_remembered) {
        reply.remembered = unheardOf(m_remembered->targets, m_registry);
        routing = m_remembered->routing.index() > m_routing.index() ? &m_remembered->routing : &m_routing;
    }
    if (routing->index() > call.routingIndex) {
        reply.hasRouting = true;
        reply.routingIndex = routing->index();
        reply.tableText = routing->text();
        reply.evacuatedZones.assign(routing->evacuatedZones().begin(), routing->evacuatedZones().end());
    }
    return reply;
}

void RegistryDaemon::Impl::replyWatchers(TimePoint now)
{
    const bool isCurrent = m_log && m_log->status().isCurrent(now) && !m_isLeaving;
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        // A host that follows one without a majority should look for another at once.
        const bool isEntry = watcher.ask.self.role == HostRole::Entry;
        if (now < watcher.until && !hasNews(watcher.ask) && (isCurrent || !isEntry)) {
            return false;
        }
        std::string reply = encode(makeReply(watcher.ask, now));
        m_metrics.count(isEntry ? "pepperlug_news_bytes{to=\"entry\"}" : "pepperlug_news_bytes{to=\"control\"}",
                        reply.size());
        watcher.call->reply(Ok, std::move(reply));
        return true;
    });
}

void RegistryDaemon::Impl::onPeerNews(const NewsReceipt &receipt, const FleetWatchReply &reply)
{
    const TimePoint now = m_clock.now();
    bool isAllKnown = false;
    ControlWatch *watch = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        isAllKnown = m_registry.merge(reply.changes, now);
        replyWatchers(now);
        const auto it = m_peers.find(receipt.from);
        watch = it == m_peers.end() ? nullptr : it->second.get();
    }
    if (!isAllKnown && watch != nullptr) {
        m_events.state("reports-unknown", {{"peer", receipt.from.text()}, {"renewals", reply.changes.renewals.size()}});
        watch->askForAll();
    }
}

} // namespace pepperlug::fleet
