//===- RegistryPeers.cpp - Requests of other hosts to a control host ------===//
#include "../Daemon/HttpStatus.h"
#include "RegistryImpl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Within this time after its start a control host hears of all others that are running.
constexpr std::chrono::seconds DiscoveryTime{1};

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
                                                             {path::FleetQuota, &Impl::onQuota},
                                                             {path::FleetQuotaLoan, &Impl::onQuotaLoan},
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
        for (const auto &[id, entry] : m_registry.controlHosts()) {
            if (Registry::isLive(*entry)) {
                reply.hosts.push_back(entry->report);
            }
        }
        reply.isComplete = m_clock.now() - m_startedAt > DiscoveryTime;
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
    const bool isInitialHeartbeat = isLiveEntry && call->path() == path::FleetAlive && isUninitialized(request);
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
    // Hosts that start together share one snapshot.
    const HostRole role = received.request.self.role;
    const bool wantsSnapshot = received.request.since == 0;
    const Duration gatherTime = wantsSnapshot ? scheduleOf(role).gatherTime(recipientsOf(role, now)) : Duration(0);
    const TimePoint until = now + std::max<Duration>(received.request.maxWait, gatherTime);
    const bool isInitial = received.isNewest && isUninitialized(received.request);
    holdOrReply({call, std::move(received.request), until, isInitial}, now);
    announceUpdates(now);
    resolvePending(now);
}

void RegistryDaemon::Impl::onAlive(const IncomingCallPtr &call)
{
    FleetAliveReply reply;
    {
        const TimePoint now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        receiveCall(call, now);
        announceUpdates(now);
        resolvePending(now);
        reply = {isCurrent(now), m_history.index()};
    }
    call->reply(Ok, encode(reply));
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
            m_saved.recordMerge(info.from.text(), reply.epoch, reply.version, m_registry.changedVersion());
        }
        mergeSuspects(reply.suspects.reports, false, now);
        mergeBackpressure(reply.backpressure.reports, false, now);
        m_epochs[info.from] = reply.epoch;
        const bool hasDepartures =
            std::any_of(reply.changes.targets.begin(), reply.changes.targets.end(),
                        [](const AgedReport<TargetReport> &it) { return it.report.presence != Presence::Ready; });
        if (hasDepartures) {
            queueConfirmation(info.from, {reply.version, 0});
            saveDepartures(now);
        }
        announceUpdates(now);
    }
    if (!isFullyMerged) {
        m_events.state("reports-unknown", {{"peer", info.from.text()}, {"renewals", reply.changes.renewals.size()}});
    }
    return isFullyMerged;
}

} // namespace pepperlug::fleet
