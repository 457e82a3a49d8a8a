//===- RetryBudget.h - Limit of retries -------------------------*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

namespace pepperlug::fleet
{

/// Retry budget of one service at one host over a sliding window. The slack is divided by the number of hosts. A host
/// that restarts begins with empty counters, so only a share of the budget is used.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings)
        : m_settings(settings)
    {
    }

    void countRequest(TimePoint now)
    {
        m_requests.push_back(now);
        drop(now);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    bool take(TimePoint now, std::size_t hosts)
    {
        drop(now);
        const double slack = m_settings.slack * SlackShare / static_cast<double>(std::max<std::size_t>(1, hosts));
        const double allowed = m_settings.ratio * RatioShare * static_cast<double>(m_requests.size()) + slack;
        if (static_cast<double>(m_retries.size()) + 1 > allowed) {
            return false;
        }
        m_retries.push_back(now);
        return true;
    }

private:
    static constexpr double SlackShare = 0.4;
    static constexpr double RatioShare = 0.7;

    void drop(TimePoint now)
    {
        for (std::deque<TimePoint> *times : {&m_requests, &m_retries}) {
            while (!times->empty() && now - times->front() > m_settings.window) {
                times->pop_front();
            }
        }
    }

    RetryBudgetSettings m_settings;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace pepperlug::fleet
