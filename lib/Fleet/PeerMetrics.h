//===- PeerMetrics.h - Connections between hosts, for operators -*- C++ -*-===//
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

inline void publishTraffic(Metrics &metrics, const PeerTraffic &traffic)
{
    metrics.gauge("pepperlug_peer_calls_made", static_cast<double>(traffic.callsMade));
    metrics.gauge("pepperlug_peer_bytes_sent", static_cast<double>(traffic.bytesSent));
    metrics.gauge("pepperlug_peer_connections_made", static_cast<double>(traffic.connectionsMade));
    metrics.gauge("pepperlug_peer_connections_silent", static_cast<double>(traffic.connectionsSilent));
}

} // namespace pepperlug::fleet
