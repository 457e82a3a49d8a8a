//===- Clock.cpp - The steady clock and the manual one --------------------===//
#include "pepperlug/Support.h"

namespace pepperlug
{

TimePoint SteadyClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Milliseconds SteadyClock::wallTime() const
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

TimePoint ManualClock::now() const
{
    return TimePoint(Duration(m_now.load()));
}

Milliseconds ManualClock::wallTime() const
{
    return std::chrono::duration_cast<Milliseconds>(now().time_since_epoch());
}

void ManualClock::advance(Duration by)
{
    m_now += by.count();
}

} // namespace pepperlug
