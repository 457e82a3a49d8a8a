//===- EventLog.h - JSON event lines on standard output ---------*- C++ -*-===//
//
// One JSON line for each decision and each state change. The rate is limited:
// decisions beyond it are counted and dropped, and the count is in the first
// line of the next second. State changes are never dropped for the rate.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

/// Rate-limited log of decisions and state changes.
class EventLog
{
public:
    EventLog(const std::string &process, const Clock &clock, unsigned linesPerSecond);

    /// Logs a decision about a request; may be dropped.
    void decision(const char *what, const nlohmann::json &fields);
    /// Logs a state change of the process, such as its start or stop.
    void state(const char *what, const nlohmann::json &fields);
    /// Waits until all lines are written, or until the time has passed.
    void flush(Duration atMost);
    /// Returns the number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    void write(const char *kind, const char *what, const nlohmann::json &fields, bool isDroppable);

    std::string m_process;
    const Clock &m_clock;
    unsigned m_linesPerSecond;
    LogSink m_sink;
    mutable std::mutex m_mutex;
    TimePoint m_windowStart{};
    unsigned m_lines = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace pepperlug::fleet
