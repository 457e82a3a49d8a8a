//===- RegistryPeers.cpp - Requests of other hosts to a control host ------===//
#include "../Daemon/HttpStatus.h"
#include "RegistryImpl.h"

#include <algorithm>
#include <numeric>

namespace pepperlug::fleet
{

namespace
{

/// Largest routing changes that are sent with a reply, in bytes. On a link of 4 Mbit/s, the narrowest known, departures
/// of targets wait 16 ms behind them, less than for the next tick of their host.
constexpr std::size_t MaxInlineChanges = 8 * 1024;

UpdateRecipient readerOf(const FleetWatchCall &request)
{
    return request.self.role == HostRole::Entry ? UpdateRecipient::EntryHost : UpdateRecipient::ControlHost;
}

} // namespace

void RegistryDaemon::Impl::onPeerCall(const IncomingCallPtr &call)
{
    try {
        using Handler = void (Impl::*)(const IncomingCallPtr &);
        static const std::map<std::string, Handler> Handlers{{path::FleetWatch, &Impl::onWatch},
                                                             {path::FleetAlive, &Impl::onAlive},
                                                             {path::FleetConfirm, &Impl::onConfirm},
                                                             {path::FleetRouting, &Impl::onRouting},
                                                             {path::FleetControlHosts, &Impl::onControlHosts},
                                                             {path::FleetProbe, &Impl::onProbe},
                                                             {path::FleetJoin, &Impl::onJoin}};
        const auto it = Handlers.find(call->path());
        if (it != Handlers.end()) {
            (this->*it->second)(call);
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

void RegistryDaemon::Impl::onJoin(const IncomingCallPtr &call)
{
    const auto join = decode<MembershipCall>(call->body(), call->peer());
    m_log->post(JoinRequested{join.name, join.diskId, join.zone});
    call->reply(Ok, "");
}

void RegistryDaemon::Impl::onControlHosts(const IncomingCallPtr &call)
{
    FleetControlHostsReply reply;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, entry] : m_registry.hosts()) {
            if (entry.report.role == HostRole::Control && Registry::isLive(entry)) {
                reply.hosts.push_back(entry.report);
            }
        }
    }
    call->reply(Ok, encode(reply));
}

RegistryDaemon::Impl::ReceivedCall RegistryDaemon::Impl::receiveCall(const IncomingCallPtr &call, TimePoint now)
{
    ReceivedCall received{decode<FleetWatchCall>(call->body(), call->peer())};
    FleetWatchCall &request = received.request;
    const bool isSameEpoch = request.epoch == m_epoch;
    if (!isSameEpoch) {
        request.since = 0;
        request.loadsSince = 0;
    }
    mergeSuspects(takeReports(request.suspects, isSameEpoch, request.epoch.empty()), true, now);
    mergeBackpressure(takeReports(request.backpressure, isSameEpoch, request.epoch.empty()), true, now);
    const bool isOutdated = !m_registry.receive(request.self, now);
    received.isNewest = acceptSequence(request.self.peer, request.self.id, request.self.sequence);
    const bool isLiveEntry = request.self.role == HostRole::Entry && request.self.presence != Presence::Gone;
    if (isLiveEntry && received.isNewest && isOutdated) {
        // A later request went to another control host, which reports the sender's state. This one was delayed, mostly
        // by a network partition. To wait for confirmations of its state would delay acknowledgements by a lease after
        // each such request.
        m_metrics.count("pepperlug_asks_overtaken");
        received.isNewest = false;
        return received;
    }
    const bool isInitialHeartbeat = call->path() == path::FleetAlive && isUninitialized(request);
    if (received.isNewest && !isInitialHeartbeat) {
        recordConfirmations(request, isSameEpoch, now);
    } else if (isLiveEntry) {
        // A request that was overtaken on a slow connection says nothing about the host's current state, nor does a
        // heartbeat of a host that waits for its first reply. Both show only that the host is alive.
        m_confirmations.renewFollowerLease(request.self.id, now);
    }
    return received;
}

// The mutex is held.
void RegistryDaemon::Impl::mergeBackpressure(const std::vector<BackpressureReport> &reports, bool isDirect,
                                             TimePoint now)
{
    for (const BackpressureReport &it : reports) {
        if (!m_backpressure.merge(it, isDirect, now)) {
            continue;
        }
        m_events.state("target-signal",
                       {{"target", it.target.id},
                        {"leaving", it.isLeaving},
                        {"limit_per_s", it.isLimited ? nlohmann::json(it.rateLimit) : nlohmann::json()},
                        {"age_ms", it.age.count()},
                        {"from_entry", isDirect}});
    }
}

void RegistryDaemon::Impl::onWatch(const IncomingCallPtr &call)
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    ReceivedCall received = receiveCall(call, now);
    const TimePoint until = now + received.request.maxWait;
    const bool isInitial = received.isNewest && isUninitialized(received.request);
    m_watchers.push_back({call, std::move(received.request), until, isInitial});
    replyToWatchers(now);
    resolvePending(now);
}

void RegistryDaemon::Impl::onAlive(const IncomingCallPtr &call)
{
    {
        const TimePoint now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        receiveCall(call, now);
        resolvePending(now);
    }
    call->reply(Ok, "");
}

// A host without state may get the cached state from before a restart.
const RoutingHistory &RegistryDaemon::Impl::historyFor(bool hasNoState) const
{
    const bool usesCache = hasNoState && m_cached && m_cachedHistory.index() > m_history.index();
    return usesCache ? m_cachedHistory : m_history;
}

void RegistryDaemon::Impl::onRouting(const IncomingCallPtr &call)
{
    const auto request = decode<FleetRoutingCall>(call->body(), call->peer());
    FleetRoutingReply reply;
    {
        const std::lock_guard lock(m_mutex);
        reply.changes = historyFor(request.index == 0).changesSince(request.index);
    }
    std::string body = encode(reply);
    m_metrics.count("pepperlug_news_bytes{to=\"entry\"}", body.size());
    call->reply(Ok, std::move(body));
}

bool RegistryDaemon::Impl::hasUpdates(const FleetWatchCall &call) const
{
    return call.since == 0 || m_registry.changedVersion() > call.since || m_history.index() > call.newestRoutingIndex
        || m_quarantine.hasChangedSince(call.suspects.since, readerOf(call))
        || m_backpressure.hasChangedSince(call.backpressure.since, readerOf(call)) || hasLoadUpdates(call);
}

bool RegistryDaemon::Impl::hasLoadUpdates(const FleetWatchCall &call) const
{
    return call.self.role == HostRole::Entry && m_quotas.version() != call.loadsSince;
}

FleetWatchReply RegistryDaemon::Impl::makeReply(const FleetWatchCall &call, TimePoint now) const
{
    FleetWatchReply reply;
    reply.epoch = m_epoch;
    reply.version = m_registry.version();
    reply.isCurrent = !m_isLeaving && m_log->status().isCurrent(now);
    const bool isControl = call.self.role == HostRole::Control;
    reply.changes = isControl ? m_registry.receivedSince(call.since, now) : m_registry.changedSince(call.since, now);
    reply.isWhole = call.since == 0;
    reply.suspects = makeUpdateReply(call.suspects, m_quarantine, readerOf(call), now);
    reply.backpressure = makeUpdateReply(call.backpressure, m_backpressure, readerOf(call), now);
    if (isControl) {
        return reply;
    }
    reply.demand = m_registry.demand(m_settings.regionOfZone);
    reply.loadsVersion = m_quotas.version();
    if (hasLoadUpdates(call)) {
        reply.loads = m_quotas.loads();
    }
    const bool hasNoState = call.routingIndex == 0 && call.since == 0;
    if (hasNoState && m_cached) {
        reply.cachedTargets = unreportedTargets(m_cached->targets, m_registry);
    }
    const RoutingHistory &history = historyFor(hasNoState);
    reply.routingIndex = history.index();
    std::vector<std::string> changes = history.changesSince(call.routingIndex);
    const auto addSize = [](std::size_t sum, const std::string &it) {
        return sum + it.size();
    };
    if (std::accumulate(changes.begin(), changes.end(), std::size_t{0}, addSize) <= MaxInlineChanges) {
        reply.routingChanges = std::move(changes);
    }
    return reply;
}

void RegistryDaemon::Impl::replyToWatchers(TimePoint now)
{
    const bool isCurrent = m_log && m_log->status().isCurrent(now) && !m_isLeaving;
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        // A host that follows one without a majority should switch to another at once.
        const bool isEntry = watcher.request.self.role == HostRole::Entry;
        if (now < watcher.until && !hasUpdates(watcher.request) && (isCurrent || !isEntry)) {
            return false;
        }
        const FleetWatchReply message = makeReply(watcher.request, now);
        if (watcher.isInitial) {
            m_confirmations.recordFirstReply(watcher.request.self.id, {message.version, message.routingIndex});
        }
        std::string reply = encode(message);
        m_metrics.count(isEntry ? "pepperlug_news_bytes{to=\"entry\"}" : "pepperlug_news_bytes{to=\"control\"}",
                        reply.size());
        watcher.call->reply(Ok, std::move(reply));
        return true;
    });
}

bool RegistryDaemon::Impl::onPeerReply(const ReplyInfo &info, const FleetWatchReply &reply)
{
    const TimePoint now = m_clock.now();
    bool isFullyMerged = false;
    {
        const std::lock_guard lock(m_mutex);
        isFullyMerged = m_registry.merge(reply.changes, now);
        if (isFullyMerged) {
            // Followers receive only changes, so they have to confirm the newest of these.
            m_confirmations.recordMerge(info.from.text(), reply.epoch, reply.version, m_registry.changedVersion());
        }
        mergeSuspects(reply.suspects.reports, false, now);
        mergeBackpressure(reply.backpressure.reports, false, now);
        m_epochs[info.from] = reply.epoch;
        const bool hasDepartures =
            std::any_of(reply.changes.targets.begin(), reply.changes.targets.end(),
                        [](const AgedReport<TargetReport> &it) { return it.report.presence != Presence::Ready; });
        if (hasDepartures) {
            queueConfirmation(info.from, {reply.version, 0});
        }
        replyToWatchers(now);
    }
    if (!isFullyMerged) {
        m_events.state("reports-unknown", {{"peer", info.from.text()}, {"renewals", reply.changes.renewals.size()}});
    }
    return isFullyMerged;
}

} // namespace pepperlug::fleet
