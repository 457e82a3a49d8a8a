//===- Demand.h - Estimate of a service's demand in slots --------*- C++ -*-===//
//
// Estimates demand in slots as the offered load: arrivals per second times the
// mean latency in seconds. The count of running and queued requests is no
// substitute: it swings with every burst and grows with the queue, so hosts
// request slots that they don't need and keep slots that others need.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <cmath>

namespace pepperlug
{

/// Estimate of the slots that callers of one service need.
class DemandEstimator
{
public:
    void requestArrived()
    {
        ++m_arrivals;
        ++m_running;
    }

    void requestEnded()
    {
        --m_running;
    }

    /// Updates the estimate; must be called once per tick. `latency` is the mean latency at a target, zero if unknown.
    /// Without a latency the running requests are the estimate.
    void refresh(Duration tick, Duration latency)
    {
        const double tickSeconds = std::chrono::duration<double>(tick).count();
        const double rate = m_arrivals / tickSeconds;
        m_arrivals = 0;
        m_rate += std::min(1.0, tickSeconds / RateAveragingSeconds) * (rate - m_rate);
        m_offeredLoad = latency > Duration{} ? m_rate * std::chrono::duration<double>(latency).count() : m_running;
    }

    /// Returns the mean number of slots that callers need.
    double offeredLoad() const
    {
        return m_offeredLoad;
    }

    /// Returns the mean number of slots that callers need, rounded to the nearest integer.
    unsigned meanSlots() const
    {
        return static_cast<unsigned>(std::lround(m_offeredLoad));
    }

    /// Returns the number of slots with which requests seldom queue: the mean plus MarginDeviations standard deviations
    /// of a Poisson-distributed load.
    unsigned slotsWithMargin() const
    {
        return static_cast<unsigned>(std::ceil(m_offeredLoad + MarginDeviations * std::sqrt(m_offeredLoad)));
    }

private:
    static constexpr double RateAveragingSeconds = 0.4;
    static constexpr double MarginDeviations = 0.5;

    unsigned m_arrivals = 0;
    unsigned m_running = 0;
    double m_rate = 0;
    double m_offeredLoad = 0;
};

} // namespace pepperlug
