//===- ControlWatch.h - A host that follows control hosts -------*- C++ -*-===//
//
// Asks one control host again and again for what is new; the reply is held back
// until there is something, so that news travels at once. Each ask also says that
// the asker lives. When the control host fails or has lost its majority, the next
// one is asked.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "FleetMessages.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet
{

/// How a reply came in.
struct ReplyInfo {
    Address from;
    TimePoint sentAt{}; ///< what it does not tell may have happened since then
    Duration elapsed{}; ///< from the ask to the reply, the time for which it was held back included
    std::size_t bytes = 0; ///< of its body
};

class ControlWatch
{
public:
    struct Hooks {
        /// What this host says of itself to another one, whose life the epoch names: its report with a new sequence
        /// number, the routing that it has, and what it confirms.
        std::function<FleetWatchCall(const Address &to, const std::string &epoch)> makeCall;
        std::function<std::vector<Address>()> candidates; ///< control hosts in the order of preference
        /// Takes a reply over; the next ask tells that it was. False: something in it needs all that the asked host
        /// knows.
        std::function<bool(const ReplyInfo &receipt, const FleetWatchReply &reply)> onReply;
        std::function<void(const Address &peer, bool isLost, const std::string &reason)> onLink;
    };

    /// `patience`: how long a reply may be held back.
    ControlWatch(PeerNet &net, const Clock &clock, Milliseconds patience, Hooks hooks);

    /// Asks now if no ask is on its way and the pause after a failure is over, and gives signs of life while one is; to
    /// be called regularly.
    void poll(TimePoint now);
    /// Ends the ask that is on its way, so that the next poll tells the newest report.
    void restartPoll();

private:
    void ask(const Address &to);
    void giveSign(const Address &to);
    FleetWatchCall describe(const Address &to) const;
    void onReply(const Address &from, std::uint64_t number, const PeerReply &reply);
    Address next(const std::vector<Address> &candidates) const;

    PeerNet &m_net;
    const Clock &m_clock;
    Milliseconds m_patience;
    Hooks m_hooks;
    mutable std::mutex m_mutex;
    Address m_control;
    std::string m_epoch;
    std::uint64_t m_since = 0;
    std::uint64_t m_suspectsSince = 0;
    std::uint64_t m_backpressureSince = 0;
    std::uint64_t m_loadsSince = 0;
    bool m_isAsking = false;
    bool m_isLost = true;
    bool m_moveOn = true; ///< another control host is to be asked next
    std::uint64_t m_askNumber = 0;
    TimePoint m_askedAt{};
    TimePoint m_signAt{}; ///< of the last ask or sign of life
    CallId m_call{};
    TimePoint m_notBefore{};
    TimePoint m_now{};
};

} // namespace pepperlug::fleet
