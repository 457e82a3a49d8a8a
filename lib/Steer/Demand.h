//===- Demand.h - How many slots a service's callers need --------*- C++ -*-===//
//
// Estimates demand in slots as arrivals a second times the seconds that one
// takes. Counting what runs and waits instead was tried: it swings with every
// burst and grows with the queue, so hosts asked for what they did not need and
// kept what others did.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <cmath>

namespace pepperlug
{

class DemandEstimator
{
public:
    void requestArrived()
    {
        ++m_arrived;
        ++m_running;
    }

    void requestEnded()
    {
        --m_running;
    }

    /// To be called once a tick; `latency` is what one request takes at a target, zero if not known yet.
    void refresh(Duration tick, Duration latency)
    {
        const double tickSeconds = std::chrono::duration<double>(tick).count();
        const double rate = m_arrived / tickSeconds;
        m_arrived = 0;
        m_rate += std::min(1.0, tickSeconds / MeanSeconds) * (rate - m_rate);
        m_offered = latency > Duration{} ? m_rate * std::chrono::duration<double>(latency).count() : m_running;
    }

    /// Slots that callers need on the mean.
    double offeredLoad() const
    {
        return m_offered;
    }

    /// Slots that callers need on the mean, to the nearest whole.
    unsigned meanSlots() const
    {
        return static_cast<unsigned>(std::lround(m_offered));
    }

    /// Slots to have so that swings seldom wait.
    unsigned slotsWithMargin() const
    {
        return static_cast<unsigned>(std::ceil(m_offered + Swing * std::sqrt(m_offered)));
    }

private:
    static constexpr double MeanSeconds = 0.4;
    static constexpr double Swing = 0.5;

    unsigned m_arrived = 0;
    unsigned m_running = 0;
    double m_rate = 0;
    double m_offered = 0;
};

} // namespace pepperlug
