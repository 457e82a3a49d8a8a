//===- Demand.h - How many slots a service's callers need --------*- C++ -*-===//
//
// Estimates demand in slots from what runs, waits and was refused. Two figures
// come of it: what is kept for own callers, a plain mean, since a short queue
// takes up its swings; and what is asked of others, which follows a rise at once
// and a fall slowly, so that leases do not swing.
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
        follow(m_refusedRate, rate, MeanSeconds, tickSeconds);
        const double needed = m_running + m_refusedRate * std::chrono::duration<double>(latency).count();
        follow(m_mean, needed, MeanSeconds, tickSeconds);
        follow(m_wanted, needed, needed > m_wanted ? RiseSeconds : FallSeconds, tickSeconds);
    }

    /// Slots that own callers need on the mean, rounded up.
    unsigned needed() const
    {
        return static_cast<unsigned>(std::ceil(m_mean - Rounding));
    }

    /// Slots to have, own and leased, rounded up.
    unsigned wanted() const
    {
        return static_cast<unsigned>(std::ceil(m_wanted - Rounding));
    }

private:
    static constexpr double MeanSeconds = 0.3;
    static constexpr double RiseSeconds = 0.05;
    static constexpr double FallSeconds = 1;
    static constexpr double Rounding = 0.05; ///< a little above a whole slot is not one slot more

    static void follow(double &value, double target, double constant, double tick)
    {
        value += std::min(1.0, tick / constant) * (target - value);
    }

    unsigned m_running = 0;
    unsigned m_refused = 0;
    double m_refusedRate = 0;
    double m_mean = 0;
    double m_wanted = 0;
};

} // namespace pepperlug
