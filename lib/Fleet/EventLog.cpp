//===- EventLog.cpp - JSON event lines on standard output -----------------===//
#include "EventLog.h"

namespace pepperlug::fleet
{

namespace
{

constexpr auto RateWindow = std::chrono::seconds(1);
constexpr std::size_t MaxQueuedLines = 4096;

} // namespace

EventLog::EventLog(const std::string &process, const Clock &clock, unsigned linesPerSecond)
    : m_process(process)
    , m_clock(clock)
    , m_linesPerSecond(linesPerSecond)
    , m_sink("events", "-", MaxQueuedLines)
{
}

void EventLog::decision(const char *what, const nlohmann::json &fields)
{
    write("decision", what, fields, true);
}

void EventLog::state(const char *what, const nlohmann::json &fields)
{
    write("state", what, fields, false);
}

void EventLog::flush(Duration atMost)
{
    m_sink.flush(atMost);
}

std::uint64_t EventLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped + m_sink.dropped();
}

void EventLog::write(const char *kind, const char *what, const nlohmann::json &fields, bool isDroppable)
{
    std::uint64_t newlyDropped = 0;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (now - m_windowStart >= RateWindow) {
            m_windowStart = now;
            m_lines = 0;
            newlyDropped = m_dropped - m_reportedDropped;
            m_reportedDropped = m_dropped;
        }
        if (isDroppable && m_lines >= m_linesPerSecond) {
            ++m_dropped;
            return;
        }
        ++m_lines;
    }
    nlohmann::json line{{"at_ms", m_clock.wallTime().count()}, {"process", m_process}, {"kind", kind}, {"what", what}};
    line.update(fields);
    if (newlyDropped > 0) {
        line["lines_dropped"] = newlyDropped;
    }
    m_sink.writeLater([line = std::move(line)] { return jsonText(line); });
}

} // namespace pepperlug::fleet
