//===- ServerSweep.h - Time limits of a host's HTTP servers -----*- C++ -*-===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug::fleet
{

/// Applies the time limits of connections about once a second, and reports what callers cost.
class ServerSweep
{
public:
    /// What a port refused since the last call.
    struct Refused {
        std::string port; ///< address
        std::string reason;
        std::uint64_t count = 0;
    };

    /// What has happened since the last call.
    struct Findings {
        std::uint64_t cutOff = 0; ///< connections whose callers read nothing
        std::uint64_t failures = 0; ///< requests whose handler threw
        std::string lastFailure; ///< path and reason
        std::vector<Refused> refused; ///< for lack of memory or descriptors
    };

    Findings run(const std::vector<HttpServer *> &servers, TimePoint now, Metrics &metrics)
    {
        if (now < m_next) {
            return {};
        }
        m_next = now + std::chrono::seconds(1);
        HttpServerStats sum;
        std::vector<Refused> refused;
        for (HttpServer *it : servers) {
            it->sweep();
            const HttpServerStats stats = it->stats();
            sum.heldBytes += stats.heldBytes;
            sum.slowReadersCutOff += stats.slowReadersCutOff;
            sum.refusedUnread += stats.refusedUnread;
            sum.malformedRequests += stats.malformedRequests;
            sum.refusedNoRoom += stats.refusedNoRoom;
            sum.givenUp += stats.givenUp;
            sum.connectionsSpared += stats.connectionsSpared;
            addRefused(refused, it->address().text(), stats);
            sum.droppedWaiting += stats.droppedWaiting;
            sum.failedHandlings += stats.failedHandlings;
            sum.lastFailure = stats.lastFailure.empty() ? sum.lastFailure : stats.lastFailure;
        }
        Findings findings{sum.slowReadersCutOff - m_reported.slowReadersCutOff,
                          sum.failedHandlings - m_reported.failedHandlings, sum.lastFailure, std::move(refused)};
        metrics.gauge("pepperlug_answer_bytes_held", static_cast<double>(sum.heldBytes));
        metrics.count("pepperlug_slow_readers_cut_off", findings.cutOff);
        metrics.count("pepperlug_failed_handlings", findings.failures);
        metrics.count("pepperlug_waiting_requests_dropped", sum.droppedWaiting - m_reported.droppedWaiting);
        metrics.count("pepperlug_requests_refused_unread", sum.refusedUnread - m_reported.refusedUnread);
        metrics.count("pepperlug_requests_refused_no_memory", sum.refusedNoRoom - m_reported.refusedNoRoom);
        metrics.count("pepperlug_requests_given_up", sum.givenUp - m_reported.givenUp);
        metrics.count("pepperlug_connections_spared", sum.connectionsSpared - m_reported.connectionsSpared);
        metrics.count("pepperlug_malformed_requests", sum.malformedRequests - m_reported.malformedRequests);
        m_reported = sum;
        return findings;
    }

private:
    void addRefused(std::vector<Refused> &refused, const std::string &port, const HttpServerStats &stats)
    {
        HttpServerStats &reported = m_reportedByPort[port];
        const auto add = [&](const char *reason, std::uint64_t count) {
            if (count > 0) {
                refused.push_back({port, reason, count});
            }
        };
        add("no memory", stats.refusedNoRoom - reported.refusedNoRoom);
        add("no progress while memory is short", stats.givenUp - reported.givenUp);
        add("too many connections", stats.connectionsSpared - reported.connectionsSpared);
        reported = stats;
    }

    TimePoint m_next{};
    std::map<std::string, HttpServerStats> m_reportedByPort;
    HttpServerStats m_reported;
};

} // namespace pepperlug::fleet
