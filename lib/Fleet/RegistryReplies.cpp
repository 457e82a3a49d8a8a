//===- RegistryReplies.cpp - A control host's replies to its watchers -----===//
//
// Watchers are the entry hosts that follow this host and the other control hosts. Their polls are held until there are
// updates for them. Updates are gathered, and all watchers that are due get theirs in one round, so that what is the
// same for them is made once.
//
//===----------------------------------------------------------------------===//
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

} // namespace

// A host without state may get the cached state from before a restart.
const RoutingHistory &RegistryDaemon::Impl::historyFor(bool hasNoState) const
{
    const bool usesCache = hasNoState && m_cached && m_cachedHistory.index() > m_history.index();
    return usesCache ? m_cachedHistory : m_history;
}

bool RegistryDaemon::Impl::hasUpdates(const FleetWatchCall &call) const
{
    const UpdateRecipient reader = audienceOf(call).reader;
    return call.since == 0 || m_registry.changedVersion() > call.since || m_history.index() > call.newestRoutingIndex
        || m_quarantine.hasChangedSince(call.suspects.since, reader)
        || m_backpressure.hasChangedSince(call.backpressure.since, reader);
}

const ReplySchedule &RegistryDaemon::Impl::scheduleOf(HostRole role) const
{
    return role == HostRole::Entry ? m_entryReplies : m_controlReplies;
}

std::size_t RegistryDaemon::Impl::recipientsOf(HostRole role, TimePoint now) const
{
    return role == HostRole::Entry ? m_confirmations.waitedFollowers(now) : m_registry.controlHosts().size();
}

bool RegistryDaemon::Impl::isCurrent(TimePoint now) const
{
    return m_log && m_log->status().isCurrent(now) && !m_isLeaving;
}

RegistryDaemon::Impl::ReplyRound RegistryDaemon::Impl::startRound(TimePoint now) const
{
    const auto isDue = [&](HostRole role) {
        return scheduleOf(role).isDue(now, recipientsOf(role, now));
    };
    return {now, isCurrent(now), isDue(HostRole::Entry), isDue(HostRole::Control)};
}

// A host that follows one without a majority should switch to another at once.
bool RegistryDaemon::Impl::isReplyDue(const Watcher &watcher, const ReplyRound &round) const
{
    const bool isEntry = watcher.request.self.role == HostRole::Entry;
    const bool mayAnnounce = isEntry ? round.mayAnnounceToEntryHosts : round.mayAnnounceToControlHosts;
    return round.now >= watcher.until || (isEntry && !round.isCurrent) || (mayAnnounce && hasUpdates(watcher.request));
}

FleetWatchReply RegistryDaemon::Impl::makeReply(const FleetWatchCall &call, const ReplyRound &round)
{
    static const std::vector<TargetReport> NoTargets;
    const Audience audience = audienceOf(call);
    FleetWatchReply reply;
    reply.epoch = m_epoch;
    reply.isCurrent = round.isCurrent;
    const std::vector<TargetReport> &cachedTargets = m_cached ? m_cached->targets : NoTargets;
    m_changesCache.changesFor(audience, m_registry, cachedTargets, round.now).copyTo(reply, call);
    reply.suspects = makeUpdateReply(call.suspects, m_quarantine, audience.reader, round.now);
    reply.backpressure = makeUpdateReply(call.backpressure, m_backpressure, audience.reader, round.now);
    if (call.self.role == HostRole::Control) {
        return reply;
    }
    reply.demand = m_demand;
    const RoutingHistory &history = historyFor(audience.hasNoState);
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

void RegistryDaemon::Impl::replyTo(const Watcher &watcher, const ReplyRound &round)
{
    const FleetWatchReply message = makeReply(watcher.request, round);
    const bool isEntry = watcher.request.self.role == HostRole::Entry;
    if (watcher.isInitial) {
        m_confirmations.recordFirstReply(watcher.request.self.id, {message.version, message.routingIndex});
    }
    if (hasUpdates(watcher.request)) {
        (isEntry ? m_entryReplies : m_controlReplies).recordReplies(round.now);
    }
    std::string reply = encode(message);
    m_metrics.count(isEntry ? "pepperlug_news_bytes{to=\"entry\"}" : "pepperlug_news_bytes{to=\"control\"}",
                    reply.size());
    watcher.call->reply(Ok, std::move(reply));
}

void RegistryDaemon::Impl::holdOrReply(Watcher watcher, TimePoint now)
{
    const ReplyRound round = startRound(now);
    if (isReplyDue(watcher, round)) {
        replyTo(watcher, round);
    } else {
        m_watchers.push_back(std::move(watcher));
    }
}

void RegistryDaemon::Impl::replyToWatchers(TimePoint now)
{
    m_changesCache.removeExpired(now);
    const ReplyRound round = startRound(now);
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        if (!isReplyDue(watcher, round)) {
            return false;
        }
        replyTo(watcher, round);
        return true;
    });
    m_announced = updateCount();
}

// Each addend only grows.
std::uint64_t RegistryDaemon::Impl::updateCount() const
{
    return m_registry.changedVersion() + m_quarantine.version() + m_backpressure.version() + m_history.index();
}

// Updates that are gathered now are announced by a later tick.
void RegistryDaemon::Impl::announceUpdates(TimePoint now)
{
    if (updateCount() == m_announced) {
        return;
    }
    const ReplyRound round = startRound(now);
    if (round.mayAnnounceToEntryHosts || round.mayAnnounceToControlHosts) {
        replyToWatchers(now);
    }
}

} // namespace pepperlug::fleet
