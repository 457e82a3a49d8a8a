//===- PlannedStop.cpp - When a stopping entry host may exit --------------===//
#include "PlannedStop.h"

namespace pepperlug::fleet
{

namespace
{

/// Callers with a cached directory answer arrive for that long after the directory has dropped this host.
constexpr Milliseconds MinServingTime{2500};
/// For the refusals of requests that arrive during the exit.
constexpr Milliseconds MinRefusingTime{200};
/// Before the exit, in which no further requests are taken, whatever their deadlines.
constexpr Milliseconds CompletionTime{1000};

} // namespace

PlannedStop::PlannedStop(TimePoint startedAt, Duration gracePeriod)
    : m_startedAt(startedAt)
    , m_times(stopTimes(startedAt, gracePeriod))
{
}

const StopTimes &PlannedStop::times() const
{
    return m_times;
}

PlannedStop::Phase PlannedStop::advance(const Work &work, TimePoint now)
{
    const bool isIdle = work.openRequests == 0 && work.undelivered == 0;
    const bool mayRefuse = isIdle && now >= m_startedAt + MinServingTime;
    if (m_phase == Phase::Serving && (mayRefuse || now >= m_times.exitAt - CompletionTime)) {
        m_phase = Phase::Refusing;
        m_refusingSince = now;
    }
    const bool mayExit = isIdle && now >= m_refusingSince + MinRefusingTime;
    if (m_phase == Phase::Refusing && (mayExit || now >= m_times.exitAt)) {
        m_phase = Phase::Over;
    }
    return m_phase;
}

} // namespace pepperlug::fleet
