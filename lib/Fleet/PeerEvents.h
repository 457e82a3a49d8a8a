//===- PeerEvents.h - Log lines of the peer network -------------*- C++ -*-===//
#pragma once

#include "EventLog.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet
{

/// Logs a connection that was closed since nothing arrived on it any more.
inline void reportSilence(EventLog &events, const SilentConnection &silent)
{
    events.state("connection-silent",
                 {{"peer", silent.peer.text()},
                  {"silent_ms", std::chrono::duration_cast<Milliseconds>(silent.silence).count()},
                  {"calls", silent.calls},
                  {"peer_alive", silent.isPeerAlive}});
}

/// Logs what a handler of a call or reply threw.
inline void reportFailure(EventLog &events, const std::string &path, const std::string &reason)
{
    constexpr std::size_t LongestTold = 200;
    events.state("handler-failed",
                 {{"path", printable(path, LongestTold)}, {"reason", printable(reason, LongestTold)}});
}

} // namespace pepperlug::fleet
