//===- RegistryReplies.cpp - A control host's replies to its watchers -----===//
//
// Watchers are the entry hosts that follow this host and the other control hosts. Their polls are held until there are
// updates for them. Updates are gathered, and all watchers that are due get theirs in one round, so that what is the
// same for them is made once.
//
//===----------------------------------------------------------------------===//
#include "../Daemon/HttpStatus.h"
#include "PackedChanges.h"
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
/// Time for which a snapshot of the registry is sent to hosts that have no state. They get what has changed since with
/// their next poll.
constexpr Milliseconds SnapshotLifetime{500};

UpdateRecipient readerOf(const FleetWatchCall &request)
{
    return request.self.role == HostRole::Entry ? UpdateRecipient::EntryHost : UpdateRecipient::ControlHost;
}

// Entry hosts receive the demand summed by region, and never connect to one another.
void removeLoad(RegistryChanges &changes)
{
    for (AgedReport<HostReport> &it : changes.hosts) {
        if (it.report.role == HostRole::Entry) {
            it.report.demand.clear();
            it.report.tenants.clear();
            it.report.peer.clear();
        }
    }
}

} // namespace

// A host without state may get the cached state from before a restart.
const RoutingHistory &RegistryDaemon::Impl::historyFor(bool hasNoState) const
{
    const bool usesCache = hasNoState && m_cached && m_cachedHistory.index() > m_history.index();
    return usesCache ? m_cachedHistory : m_history;
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

bool RegistryDaemon::Impl::mayAnnounce(HostRole role, TimePoint now) const
{
    return role == HostRole::Entry ? m_entryReplies.isDue(now, m_confirmations.waitedFollowers(now))
                                   : m_controlReplies.isDue(now, m_registry.controlHosts().size());
}

// A host that follows one without a majority should switch to another at once.
bool RegistryDaemon::Impl::isReplyDue(const Watcher &watcher, TimePoint now) const
{
    const HostRole role = watcher.request.self.role;
    return now >= watcher.until || (role == HostRole::Entry && !isCurrent(now))
        || (hasUpdates(watcher.request) && mayAnnounce(role, now));
}

bool RegistryDaemon::Impl::isCurrent(TimePoint now) const
{
    return m_log && m_log->status().isCurrent(now) && !m_isLeaving;
}

RegistryDaemon::Impl::Audience RegistryDaemon::Impl::audienceOf(const FleetWatchCall &call)
{
    const bool hasNoState = call.self.role == HostRole::Entry && call.routingIndex == 0 && call.since == 0;
    return {readerOf(call), call.since, hasNoState};
}

const RegistryDaemon::Impl::SharedChanges &RegistryDaemon::Impl::changesFor(const Audience &audience, TimePoint now)
{
    SharedChanges &shared = m_sharedChanges[audience];
    const bool isOfThisVersion = shared.madeAt && shared.version == m_registry.version();
    const bool isRecentSnapshot = shared.madeAt && audience.since == 0 && now - *shared.madeAt < SnapshotLifetime;
    if (isOfThisVersion || isRecentSnapshot) {
        return shared;
    }
    shared = {};
    shared.madeAt = now;
    shared.version = m_registry.version();
    if (audience.reader == UpdateRecipient::ControlHost) {
        shared.changes = m_registry.receivedSince(audience.since, now);
    } else {
        shared.changes = m_registry.changedSince(audience.since, now);
        removeLoad(shared.changes);
    }
    if (audience.hasNoState && m_cached) {
        shared.cachedTargets = unreportedTargets(m_cached->targets, m_registry);
    }
    if (changeCount(shared.changes) >= MinPackedChanges) {
        shared.packed = packChanges(shared.changes);
    }
    if (shared.cachedTargets.size() >= MinPackedChanges) {
        shared.packedCachedTargets = packTargets(shared.cachedTargets);
    }
    return shared;
}

void RegistryDaemon::Impl::fillChanges(FleetWatchReply &reply, const FleetWatchCall &call, TimePoint now)
{
    const SharedChanges &shared = changesFor(audienceOf(call), now);
    reply.version = shared.version;
    reply.isWhole = call.since == 0;
    if (call.readsPacked && !shared.packed.empty()) {
        reply.packedChanges = shared.packed;
    } else {
        reply.changes = shared.changes;
    }
    if (call.readsPacked && !shared.packedCachedTargets.empty()) {
        reply.packedCachedTargets = shared.packedCachedTargets;
    } else {
        reply.cachedTargets = shared.cachedTargets;
    }
}

void RegistryDaemon::Impl::dropSharedChanges(TimePoint now)
{
    std::erase_if(m_sharedChanges, [&](const auto &it) {
        const bool isSnapshot = it.first.since == 0;
        return !isSnapshot || now - *it.second.madeAt >= SnapshotLifetime;
    });
}

FleetWatchReply RegistryDaemon::Impl::makeReply(const FleetWatchCall &call, TimePoint now)
{
    FleetWatchReply reply;
    reply.epoch = m_epoch;
    reply.isCurrent = isCurrent(now);
    fillChanges(reply, call, now);
    reply.suspects = makeUpdateReply(call.suspects, m_quarantine, readerOf(call), now);
    reply.backpressure = makeUpdateReply(call.backpressure, m_backpressure, readerOf(call), now);
    if (call.self.role == HostRole::Control) {
        return reply;
    }
    reply.demand = m_demand;
    reply.loadsVersion = m_quotas.version();
    if (hasLoadUpdates(call)) {
        reply.loads = m_quotas.loads();
    }
    const RoutingHistory &history = historyFor(audienceOf(call).hasNoState);
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

void RegistryDaemon::Impl::replyTo(const Watcher &watcher, TimePoint now)
{
    const FleetWatchReply message = makeReply(watcher.request, now);
    const bool isEntry = watcher.request.self.role == HostRole::Entry;
    if (watcher.isInitial) {
        m_confirmations.recordFirstReply(watcher.request.self.id, {message.version, message.routingIndex});
    }
    std::string reply = encode(message);
    m_metrics.count(isEntry ? "pepperlug_news_bytes{to=\"entry\"}" : "pepperlug_news_bytes{to=\"control\"}",
                    reply.size());
    watcher.call->reply(Ok, std::move(reply));
}

void RegistryDaemon::Impl::holdOrReply(Watcher watcher, TimePoint now)
{
    if (!isReplyDue(watcher, now)) {
        m_watchers.push_back(std::move(watcher));
        return;
    }
    replyTo(watcher, now);
    if (hasUpdates(watcher.request)) {
        recordRound(watcher.request.self.role, now);
    }
}

void RegistryDaemon::Impl::recordRound(HostRole role, TimePoint now)
{
    (role == HostRole::Entry ? m_entryReplies : m_controlReplies).recordReplies(now);
}

void RegistryDaemon::Impl::replyToWatchers(TimePoint now)
{
    dropSharedChanges(now);
    std::set<HostRole> updated;
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        if (!isReplyDue(watcher, now)) {
            return false;
        }
        if (hasUpdates(watcher.request)) {
            updated.insert(watcher.request.self.role);
        }
        replyTo(watcher, now);
        return true;
    });
    for (const HostRole role : updated) {
        recordRound(role, now);
    }
    m_announced = updateCount();
}

// Each addend only grows.
std::uint64_t RegistryDaemon::Impl::updateCount() const
{
    return m_registry.changedVersion() + m_quarantine.version() + m_backpressure.version() + m_history.index()
        + m_quotas.version();
}

// Updates that are gathered now are announced by a later tick.
void RegistryDaemon::Impl::announceUpdates(TimePoint now)
{
    const bool isDue = mayAnnounce(HostRole::Entry, now) || mayAnnounce(HostRole::Control, now);
    if (isDue && updateCount() != m_announced) {
        replyToWatchers(now);
    }
}

} // namespace pepperlug::fleet
