//===- ControlWatch.h - Long polling of control hosts -----------*- C++ -*-===//
//
// Polls one control host for updates. The control host holds the reply until
// there is an update, so that updates arrive at once. Each poll also serves as
// a heartbeat of this host. What this host notices while a poll is pending goes
// with a heartbeat beside it. When the control host fails or has lost its
// majority, the next one is polled.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "FleetMessages.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet
{

/// Metadata of a reply.
struct ReplyInfo {
    Address from;
    TimePoint sentAt{}; ///< when the request was sent; the reply may lack events since then
    Duration elapsed{}; ///< from the request to the reply, including the time for which the reply was held
    std::size_t bytes = 0; ///< length of the body
};

/// Makes calls to other hosts.
template <typename Net>
concept PeerCaller = requires(Net net, const Address &to, std::string text, Duration time, ReplyHandler handler)
{
    net.call(to, text, text, time, handler, CallLimit::Silence);
};

struct ControlWatchHooks {
    /// Returns the state of this host for another host, whose incarnation the epoch names: its report with a new
    /// sequence number, its routing index, and its confirmations.
    std::function<FleetWatchCall(const Address &to, const std::string &epoch)> makeCall;
    std::function<std::vector<Address>()> candidates; ///< control hosts by preference, best first
    /// Applies a reply, whose changes may be moved out; the next request confirms it. Returns false if it refers to
    /// state that this host lacks, so that the next request has to ask for the full state.
    std::function<bool(const ReplyInfo &info, FleetWatchReply &reply)> onReply;
    /// Receives the reply to a heartbeat that was sent while a poll is pending; may be empty.
    std::function<void(const FleetAliveReply &reply)> onAlive;
    /// Called for each poll without a usable reply; `sentAt` is when it was sent. May be empty.
    std::function<void(const Address &peer, TimePoint sentAt, const std::string &reason)> onPollFailed;
    /// Called when the connection to a control host is lost or regained.
    std::function<void(const Address &peer, bool isLost, const std::string &reason)> onLink;
};

/// Polls one control host at a time, and switches to another one when it fails.
template <PeerCaller Net>
class BasicControlWatch
{
public:
    using Hooks = ControlWatchHooks;

    /// `maxWait`: the longest time for which a reply may be held.
    BasicControlWatch(Net &net, const Clock &clock, Milliseconds maxWait, Hooks hooks);

    /// Sends a request if none is pending and the delay after a failure is over; sends heartbeats while one is pending.
    /// Must be called regularly.
    void poll(TimePoint now);
    /// Sends the newest report at once if a poll is pending; otherwise the next poll does.
    void sendReport();

private:
    void sendPoll(const Address &to);
    void sendHeartbeat(const Address &to);
    FleetWatchCall makeCall(const Address &to) const;
    void onReply(const Address &from, std::uint64_t number, const PeerReply &reply);
    void endFailedPoll();
    Address next(const std::vector<Address> &candidates) const;

    Net &m_net;
    const Clock &m_clock;
    Milliseconds m_maxWait;
    Hooks m_hooks;
    mutable std::mutex m_mutex;
    Address m_control;
    std::string m_epoch;
    std::uint64_t m_since = 0;
    std::uint64_t m_suspectsSince = 0;
    std::uint64_t m_backpressureSince = 0;
    bool m_isPolling = false;
    bool m_isLost = true;
    bool m_mustSwitchHost = true; ///< poll the next control host
    std::uint64_t m_pollNumber = 0;
    TimePoint m_polledAt{};
    TimePoint m_lastSentAt{}; ///< when the last request or heartbeat was sent
    TimePoint m_nextPollAt{};
    TimePoint m_now{};
};

using ControlWatch = BasicControlWatch<PeerNet>;

} // namespace pepperlug::fleet
