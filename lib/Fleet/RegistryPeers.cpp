//===- RegistryPeers.cpp - What other hosts ask of a control host ---------===//
#include "../Daemon/HttpStatus.h"
#include "RegistryImpl.h"

#include <algorithm>
#include <numeric>

namespace pepperlug::fleet
{

namespace
{

/// Changes of the routing that are no longer than this come with the reply. On a link of 4 Mbit/s, the narrowest that
/// was met, departures of targets wait 16 ms behind them, less than for the next tick of their host.
constexpr std::size_t ShortChanges = 8 * 1024;

NewsReader readerOf(const FleetWatchCall &ask)
{
    return ask.self.role == HostRole::Entry ? NewsReader::EntryHost : NewsReader::ControlHost;
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
                                                             {path::FleetProbe, &Impl::onTrial},
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

RegistryDaemon::Impl::HeardAsk RegistryDaemon::Impl::hear(const IncomingCallPtr &call, TimePoint now)
{
    HeardAsk heard{decode<FleetWatchCall>(call->body(), call->peer())};
    FleetWatchCall &ask = heard.ask;
    const bool isSameEpoch = ask.epoch == m_epoch;
    if (!isSameEpoch) {
        ask.since = 0;
        ask.loadsSince = 0;
    }
    hearSuspects(takeReports(ask.suspects, isSameEpoch, ask.epoch.empty()), true, now);
    hearBackpressure(takeReports(ask.backpressure, isSameEpoch, ask.epoch.empty()), true, now);
    const bool isLate = !m_registry.receive(ask.self, now);
    heard.isNewest = isNewestOf(ask.self.peer, ask.self.id, ask.self.sequence);
    const bool isLivingEntry = ask.self.role == HostRole::Entry && ask.self.presence != Presence::Gone;
    if (isLivingEntry && heard.isNewest && isLate) {
        // A later ask went to another control host, which speaks for the asker. This one was held up, mostly by a cut;
        // to wait for what it says would hold up acknowledgements for a lease after each such ask.
        m_metrics.count("pepperlug_asks_overtaken");
        heard.isNewest = false;
        return heard;
    }
    const bool isSignOnly = call->path() == path::FleetAlive && hasNothing(ask);
    if (heard.isNewest && !isSignOnly) {
        noteConfirmations(ask, isSameEpoch, now);
    } else if (isLivingEntry) {
        // An ask that comes after a later one, over a connection that was slow, says nothing of what the host has now;
        // nor does a sign of life of one that waits for its first reply.
        m_confirmations.followerLives(ask.self.id, now);
    }
    return heard;
}

// The mutex is held.
void RegistryDaemon::Impl::hearBackpressure(const std::vector<BackpressureReport> &reports, bool isDirect,
                                            TimePoint now)
{
    for (const BackpressureReport &it : reports) {
        if (!m_backpressure.merge(it, isDirect, now)) {
            continue;
        }
        m_events.state("target-signal",
                       {{"target", it.target.id},
                        {"leaving", it.isLeaving},
                        {"limit_per_s", it.isLimited ? nlohmann::json(it.perSecond) : nlohmann::json()},
                        {"age_ms", it.age.count()},
                        {"from_entry", isDirect}});
    }
}

void RegistryDaemon::Impl::onWatch(const IncomingCallPtr &call)
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    HeardAsk heard = hear(call, now);
    const TimePoint until = now + heard.ask.maxWait;
    const bool beginsHere = heard.isNewest && hasNothing(heard.ask);
    m_watchers.push_back({call, std::move(heard.ask), until, beginsHere});
    replyWatchers(now);
    settle(now);
}

void RegistryDaemon::Impl::onAlive(const IncomingCallPtr &call)
{
    {
        const TimePoint now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        hear(call, now);
        settle(now);
    }
    call->reply(Ok, "");
}

// A host that knows nothing may have what is remembered from before a restart.
const RoutingHistory &RegistryDaemon::Impl::historyFor(bool knowsNothing) const
{
    const bool isRemembered = knowsNothing && m_remembered && m_rememberedHistory.index() > m_history.index();
    return isRemembered ? m_rememberedHistory : m_history;
}

void RegistryDaemon::Impl::onRouting(const IncomingCallPtr &call)
{
    const auto ask = decode<FleetRoutingCall>(call->body(), call->peer());
    FleetRoutingReply reply;
    {
        const std::lock_guard lock(m_mutex);
        reply.changes = historyFor(ask.index == 0).since(ask.index);
    }
    std::string body = encode(reply);
    m_metrics.count("pepperlug_news_bytes{to=\"entry\"}", body.size());
    call->reply(Ok, std::move(body));
}

bool RegistryDaemon::Impl::hasNews(const FleetWatchCall &call) const
{
    return call.since == 0 || m_registry.changedVersion() > call.since || m_history.index() > call.newestRoutingIndex
        || m_quarantine.hasChangedSince(call.suspects.since, readerOf(call))
        || m_backpressure.hasChangedSince(call.backpressure.since, readerOf(call)) || hasLoadsFor(call);
}

bool RegistryDaemon::Impl::hasLoadsFor(const FleetWatchCall &call) const
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
    reply.changes = isControl ? m_registry.heardSince(call.since, now) : m_registry.changedSince(call.since, now);
    reply.isWhole = call.since == 0;
    reply.suspects = makeUpdateReply(call.suspects, m_quarantine, readerOf(call), now);
    reply.backpressure = makeUpdateReply(call.backpressure, m_backpressure, readerOf(call), now);
    if (isControl) {
        return reply;
    }
    reply.demand = m_registry.demand(m_settings.regionOfZone);
    reply.loadsVersion = m_quotas.version();
    if (hasLoadsFor(call)) {
        reply.loads = m_quotas.loads();
    }
    const bool knowsNothing = call.routingIndex == 0 && call.since == 0;
    if (knowsNothing && m_remembered) {
        reply.cachedTargets = unreportedTargets(m_remembered->targets, m_registry);
    }
    const RoutingHistory &history = historyFor(knowsNothing);
    reply.routingIndex = history.index();
    std::vector<std::string> changes = history.since(call.routingIndex);
    const auto addSize = [](std::size_t sum, const std::string &it) {
        return sum + it.size();
    };
    if (std::accumulate(changes.begin(), changes.end(), std::size_t{0}, addSize) <= ShortChanges) {
        reply.routingChanges = std::move(changes);
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
        const FleetWatchReply news = makeReply(watcher.ask, now);
        if (watcher.beginsHere) {
            m_confirmations.followerIsTold(watcher.ask.self.id, {news.version, news.routingIndex});
        }
        std::string reply = encode(news);
        m_metrics.count(isEntry ? "pepperlug_news_bytes{to=\"entry\"}" : "pepperlug_news_bytes{to=\"control\"}",
                        reply.size());
        watcher.call->reply(Ok, std::move(reply));
        return true;
    });
}

bool RegistryDaemon::Impl::onPeerNews(const ReplyInfo &receipt, const FleetWatchReply &reply)
{
    const TimePoint now = m_clock.now();
    bool isAllKnown = false;
    {
        const std::lock_guard lock(m_mutex);
        isAllKnown = m_registry.merge(reply.changes, now);
        if (isAllKnown) {
            // Followers are told of changes alone, so what they have to come to is the newest of these.
            m_confirmations.merged(receipt.from.text(), reply.epoch, reply.version, m_registry.changedVersion());
        }
        hearSuspects(reply.suspects.reports, false, now);
        hearBackpressure(reply.backpressure.reports, false, now);
        m_epochs[receipt.from] = reply.epoch;
        const bool hasDepartures =
            std::any_of(reply.changes.targets.begin(), reply.changes.targets.end(),
                        [](const AgedReport<TargetReport> &it) { return it.report.presence != Presence::Ready; });
        if (hasDepartures) {
            oweConfirmation(receipt.from, {reply.version, 0});
        }
        replyWatchers(now);
    }
    if (!isAllKnown) {
        m_events.state("reports-unknown", {{"peer", receipt.from.text()}, {"renewals", reply.changes.renewals.size()}});
    }
    return isAllKnown;
}

} // namespace pepperlug::fleet
