//===- PeerReports.h - What operators read of the peer network --*- C++ -*-===//
#pragma once

#include "pepperlug/Wire.h"

namespace pepperlug
{

inline void publishTraffic(Metrics &metrics, const PeerTraffic &traffic)
{
    metrics.gauge("pepperlug_peer_bytes_sent", static_cast<double>(traffic.bytesSent));
    metrics.gauge("pepperlug_peer_bytes_received", static_cast<double>(traffic.bytesReceived));
    metrics.gauge("pepperlug_peer_calls_made", static_cast<double>(traffic.callsMade));
    metrics.gauge("pepperlug_peer_connections_made", static_cast<double>(traffic.connectionsMade));
    metrics.gauge("pepperlug_peer_connections_silent", static_cast<double>(traffic.connectionsSilent));
    metrics.gauge("pepperlug_peer_calls_refused", static_cast<double>(traffic.callsRefused));
    metrics.gauge("pepperlug_peer_connections_refused", static_cast<double>(traffic.connectionsRefused));
    metrics.gauge("pepperlug_peer_handlers_failed", static_cast<double>(traffic.handlersFailed));
}

/// Returns the detail of a state line.
inline std::string describeSilence(const SilentConnection &silent)
{
    const auto time = std::chrono::duration_cast<Milliseconds>(silent.silence).count();
    return "nothing arrived for " + std::to_string(time) + " ms, " + std::to_string(silent.calls)
        + (silent.isPeerAlive ? " calls ended; the peer answers" : " calls ended");
}

} // namespace pepperlug
