//===- FanOut.cpp - What is in force goes out to the entry hosts ----------===//
//
// Entry hosts ask and are answered when there is something new. Only the leader's replies renew a host's slice, so the
// leader alone knows when a host that stays silent has surely lost it, and its zone may take it over.
//
//===----------------------------------------------------------------------===//
#include "ControlImpl.h"
#include "HttpStatus.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto MaxPatience = Milliseconds(2000);
/// Lifetime of a slice in capacity leases, with a margin for messages on their way; see SliceGuard.
constexpr int LeasesUntilVoid = 4;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

WatchReply ControlDaemon::Impl::makeWatchReply(std::uint64_t index, const std::string &digest, bool changed) const
{
    const ConfigState &config = m_state.config();
    WatchReply reply;
    reply.term = m_consensus->term();
    reply.index = config.index;
    reply.current = m_consensus->role() == ControlRole::Leader && m_consensus->isCurrent(m_clock.now());
    reply.changed = changed && config.index > index;
    if (!reply.changed) {
        return reply;
    }
    reply.hasBundle = !m_state.bundle() || m_state.bundle()->digest != digest;
    reply.bundleText = reply.hasBundle ? config.bundleText : std::string();
    reply.drainedTargets = config.drainedTargets;
    reply.drainedHosts = config.drainedHosts;
    reply.voidHosts = config.voidHosts;
    return reply;
}

void ControlDaemon::Impl::onWatchCall(const IncomingCallPtr &call)
{
    const auto message = decode<WatchCall>(call->body(), call->peer());
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    m_hosts[message.host] = {now, message.index, message.leaving, message.idleTargets};
    if (m_state.config().index > message.index) {
        call->reply(Ok, encode(makeWatchReply(message.index, message.digest, true)));
        return;
    }
    const Duration patience = std::min<Duration>(message.patience, MaxPatience);
    m_watchers.push_back({call, message.index, message.digest, now + patience});
}

void ControlDaemon::Impl::replyWatchers(TimePoint now)
{
    const std::uint64_t index = m_state.config().index;
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        if (index <= watcher.index && now < watcher.until) {
            return false;
        }
        watcher.call->reply(Ok, encode(makeWatchReply(watcher.index, watcher.digest, true)));
        return true;
    });
}

void ControlDaemon::Impl::voidLostHosts(TimePoint now)
{
    if (!m_leadingSince || !m_state.bundle()) {
        return;
    }
    const Bundle &bundle = *m_state.bundle();
    const auto surelyOver = std::chrono::duration_cast<Duration>(bundle.policy.leaseTime * LeasesUntilVoid
                                                                 * (1 + bundle.policy.driftAllowance));
    // One that led only lately does not know whom the leader before renewed.
    if (now < *m_leadingSince + surelyOver || m_consensus->commitIndex() < m_consensus->lastIndex()) {
        return;
    }
    for (const EntryHost &host : bundle.hosts) {
        const auto it = m_hosts.find(host.name);
        const bool isLost = it == m_hosts.end() || now > it->second.at + surelyOver;
        const bool isVoid = contains(m_state.config().voidHosts, host.name);
        if (isLost == isVoid) {
            continue;
        }
        ControlCommand command;
        command.kind = isLost ? CommandKind::VoidHost : CommandKind::UnvoidHost;
        command.author = m_settings.name;
        command.subject = host.name;
        post(CommandProposed{++m_lastToken, encode(command)});
        return; // one at a time; the next when this one is decided
    }
}

} // namespace pepperlug
