//===- ControlWatchImpl.h - Definitions of ControlWatch.h -------*- C++ -*-===//
//
// For ControlWatch.cpp, and for tests with a network of their own.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "ControlWatch.h"
#include "PackedChanges.h"
#include "PeerReplies.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace watch
{

/// Time without a byte from the polled host after which a request fails, beyond the time for which the reply may be
/// held.
constexpr Milliseconds ReplyTimeout{700};
constexpr Milliseconds RetryDelay{150};
/// Between two heartbeats while a reply is pending. Three fit into the lease, after which other hosts no longer wait
/// for this one.
constexpr Milliseconds HeartbeatInterval{600};

inline TypedReply<FleetWatchReply> readWatchReply(const PeerReply &reply, const std::string &peer)
{
    TypedReply<FleetWatchReply> read = readReply<FleetWatchReply>(reply, peer);
    if (!read.message) {
        return read;
    }
    FleetWatchReply &message = *read.message;
    try {
        if (!message.packedChanges.empty()) {
            message.changes = unpackChanges(std::exchange(message.packedChanges, {}), peer);
        }
        if (!message.packedCachedTargets.empty()) {
            message.cachedTargets = unpackTargets(std::exchange(message.packedCachedTargets, {}), peer);
        }
    } catch (const Error &ex) {
        return {std::nullopt, ex.what()};
    }
    return read;
}

} // namespace watch

template <PeerCaller Net>
BasicControlWatch<Net>::BasicControlWatch(Net &net, const Clock &clock, Milliseconds maxWait, Hooks hooks)
    : m_net(net)
    , m_clock(clock)
    , m_maxWait(maxWait)
    , m_hooks(std::move(hooks))
{
}

template <PeerCaller Net>
Address BasicControlWatch<Net>::next(const std::vector<Address> &candidates) const
{
    const auto it = std::find(candidates.begin(), candidates.end(), m_control);
    if (it == candidates.end()) {
        return candidates.front();
    }
    if (!m_mustSwitchHost) {
        return m_control;
    }
    return std::next(it) == candidates.end() ? candidates.front() : *std::next(it);
}

template <PeerCaller Net>
void BasicControlWatch<Net>::poll(TimePoint now)
{
    std::optional<Address> pendingHost;
    {
        const std::lock_guard lock(m_mutex);
        m_now = now;
        if (m_isPolling && now - m_lastSentAt < watch::HeartbeatInterval) {
            return;
        }
        if (m_isPolling) {
            m_lastSentAt = now;
            pendingHost = m_control;
        } else if (now < m_nextPollAt) {
            return;
        }
    }
    if (pendingHost) {
        sendHeartbeat(*pendingHost);
        return;
    }
    const std::vector<Address> candidates = m_hooks.candidates();
    if (candidates.empty()) {
        return;
    }
    Address to;
    {
        const std::lock_guard lock(m_mutex);
        to = next(candidates);
        if (to != m_control) {
            m_epoch.clear();
            m_since = 0;
            m_suspectsSince = 0;
            m_backpressureSince = 0;
        }
        m_control = to;
        m_mustSwitchHost = false;
        m_isPolling = true;
    }
    sendPoll(to);
}

template <PeerCaller Net>
FleetWatchCall BasicControlWatch<Net>::makeCall(const Address &to) const
{
    std::string epoch;
    {
        const std::lock_guard lock(m_mutex);
        epoch = m_epoch;
    }
    FleetWatchCall call = m_hooks.makeCall(to, epoch);
    call.epoch = epoch;
    const std::lock_guard lock(m_mutex);
    call.since = m_since;
    call.suspects.since = m_suspectsSince;
    call.backpressure.since = m_backpressureSince;
    call.readsPacked = true;
    return call;
}

// A reply that takes long on a full link must not make this host look dead: it still acts on what it knows, so
// acknowledgements have to wait for it.
template <PeerCaller Net>
void BasicControlWatch<Net>::sendHeartbeat(const Address &to)
{
    m_net.call(to, path::FleetAlive, encode(makeCall(to)), watch::ReplyTimeout, [this, to](const PeerReply &reply) {
        const bool isEmpty = reply.body.empty(); // from an earlier version
        if (!m_hooks.onAlive || isEmpty) {
            return;
        }
        if (const auto read = readReply<FleetAliveReply>(reply, to.text()); read.message) {
            m_hooks.onAlive(*read.message);
        }
    });
}

template <PeerCaller Net>
void BasicControlWatch<Net>::sendPoll(const Address &to)
{
    FleetWatchCall call = makeCall(to);
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        // This host may have missed updates for a while, so the reply must not be held.
        call.maxWait = m_isLost ? Milliseconds(0) : m_maxWait;
        number = ++m_pollNumber;
        m_polledAt = m_clock.now();
        m_lastSentAt = m_polledAt;
    }
    m_net.call(
        to, path::FleetWatch, encode(call), m_maxWait + watch::ReplyTimeout,
        [this, to, number](const PeerReply &reply) { onReply(to, number, reply); }, CallLimit::Silence);
}

template <PeerCaller Net>
void BasicControlWatch<Net>::onReply(const Address &from, std::uint64_t number, const PeerReply &reply)
{
    auto [message, reason] = watch::readWatchReply(reply, from.text());
    bool linkChanged = false;
    ReplyInfo info{from, {}, {}, reply.body.size()};
    {
        const std::lock_guard lock(m_mutex);
        if (number != m_pollNumber) {
            return;
        }
        info.sentAt = m_polledAt;
        info.elapsed = m_clock.now() - m_polledAt;
        // The control host answers over another connection, so it is polled again at once, for what it has since.
        const bool isHostAlive = reply.failure == CallFailure::ConnectionSilent;
        if (isHostAlive) {
            m_nextPollAt = TimePoint{};
        } else {
            linkChanged = m_isLost != !message;
            m_isLost = !message;
            // A host without a majority may lack committed changes.
            m_mustSwitchHost = !message || !message->isCurrent;
            m_nextPollAt = m_mustSwitchHost ? m_now + watch::RetryDelay : TimePoint{};
        }
    }
    bool isFullyApplied = true;
    try {
        if (!message && m_hooks.onPollFailed) {
            m_hooks.onPollFailed(from, info.sentAt, reason);
        }
        if (linkChanged) {
            m_hooks.onLink(from, !message, reason);
        }
        if (message) {
            isFullyApplied = m_hooks.onReply(info, *message);
        }
    } catch (...) {
        endFailedPoll();
        throw;
    }
    const std::lock_guard lock(m_mutex);
    if (message) {
        // Requests and heartbeats may confirm the reply only now that it is applied.
        m_epoch = message->epoch;
        m_since = isFullyApplied ? message->version : 0;
        m_suspectsSince = message->suspects.version;
        m_backpressureSince = message->backpressure.version;
    }
    m_isPolling = false;
}

// A hook may throw, which the network code records. The poll is over all the same, and what the reply told is not known
// here, so that the next one has to ask for the full state.
template <PeerCaller Net>
void BasicControlWatch<Net>::endFailedPoll()
{
    const std::lock_guard lock(m_mutex);
    m_since = 0;
    m_suspectsSince = 0;
    m_backpressureSince = 0;
    m_nextPollAt = m_now + watch::RetryDelay;
    m_isPolling = false;
}

// The pending poll is not given up for it: its reply may be on its way, and a host that notices updates all the time
// would never get one.
template <PeerCaller Net>
void BasicControlWatch<Net>::sendReport()
{
    Address to;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isPolling) {
            return;
        }
        m_lastSentAt = m_clock.now();
        to = m_control;
    }
    sendHeartbeat(to);
}

} // namespace pepperlug::fleet
