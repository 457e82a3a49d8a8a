//===- EventLog.h - Decision lines on standard output -----------*- C++ -*-===//
//
// One JSON line for each decision and each change of state. The volume is bounded:
// lines past the rate are counted, and the count is told with the next second's
// first line. Changes of state are never left out for decisions.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

class EventLog
{
public:
    EventLog(const std::string &process, const Clock &clock, unsigned linesPerSecond);

    /// A decision that touches a request.
    void decision(const char *what, const nlohmann::json &fields);
    /// A change of what the process believes, its start or its stop.
    void state(const char *what, const nlohmann::json &fields);
    /// Lines that were left out so far.
    std::uint64_t dropped() const;

private:
    void write(const char *kind, const char *what, const nlohmann::json &fields, bool mayDrop);

    std::string m_process;
    const Clock &m_clock;
    unsigned m_linesPerSecond;
    LogSink m_sink;
    mutable std::mutex m_mutex;
    TimePoint m_second{};
    unsigned m_lines = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_toldDropped = 0;
};

} // namespace pepperlug::fleet
