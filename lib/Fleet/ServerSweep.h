//===- ServerSweep.h - Time limits of a host's HTTP servers -----*- C++ -*-===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug::fleet
{

/// Applies the time limits of connections about once a second, and reports what callers cost.
class ServerSweep
{
public:
    /// How many connections were cut off since the last call, since their callers read nothing.
    std::uint64_t run(const std::vector<HttpServer *> &servers, TimePoint now, Metrics &metrics)
    {
        if (now < m_next) {
            return 0;
        }
        m_next = now + std::chrono::seconds(1);
        HttpServerStats sum;
        for (HttpServer *it : servers) {
            it->sweep();
            const HttpServerStats stats = it->stats();
            sum.heldBytes += stats.heldBytes;
            sum.slowReadersCutOff += stats.slowReadersCutOff;
            sum.refusedUnread += stats.refusedUnread;
            sum.malformedRequests += stats.malformedRequests;
        }
        const std::uint64_t cutOff = sum.slowReadersCutOff - m_reported.slowReadersCutOff;
        metrics.gauge("pepperlug_answer_bytes_held", static_cast<double>(sum.heldBytes));
        metrics.count("pepperlug_slow_readers_cut_off", cutOff);
        metrics.count("pepperlug_requests_refused_unread", sum.refusedUnread - m_reported.refusedUnread);
        metrics.count("pepperlug_malformed_requests", sum.malformedRequests - m_reported.malformedRequests);
        m_reported = sum;
        return cutOff;
    }

private:
    TimePoint m_next{};
    HttpServerStats m_reported;
};

} // namespace pepperlug::fleet
