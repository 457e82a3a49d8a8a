//===- Demand.h - How many slots a service's callers need --------*- C++ -*-===//
//
// Estimates demand in slots from what runs, waits and was refused. Follows a
// rise at once and a fall slowly, so that leases do not swing.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <cmath>

namespace pepperlug
{

class Demand
{
public:
    void arrived()
    {
        ++m_running;
        m_peak = std::max(m_peak, static_cast<double>(m_running));
    }

    void ended()
    {
        --m_running;
    }

    void refused()
    {
        ++m_refused;
    }

    /// To be called once a tick; `latency` is what one request takes.
    void refresh(Duration tick, Duration latency)
    {
        const double tickSeconds = std::chrono::duration<double>(tick).count();
        const double rate = m_refused / tickSeconds;
        m_refused = 0;
        const double share = std::min(1.0, tickSeconds / AverageSeconds);
        m_refusedRate += share * (rate - m_refusedRate);
        const double needed = m_running + m_refusedRate * std::chrono::duration<double>(latency).count();
        m_peak = std::max(needed, m_peak * std::exp2(-tickSeconds / HalfLifeSeconds));
    }

    unsigned slots() const
    {
        return static_cast<unsigned>(std::ceil(m_peak - 1e-6));
    }

    unsigned running() const
    {
        return m_running;
    }

private:
    static constexpr double AverageSeconds = 0.25;
    static constexpr double HalfLifeSeconds = 1;

    unsigned m_running = 0;
    unsigned m_refused = 0;
    double m_refusedRate = 0;
    double m_peak = 0;
};

} // namespace pepperlug
