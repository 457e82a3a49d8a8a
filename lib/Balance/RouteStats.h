//===- RouteStats.h - Request statistics of an entry host -------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pepperlug::fleet
{

/// Service times, without queueing, answer sizes and deadlines of a route's requests.
class RouteStats
{
public:
    /// `utilization`: requests over slots at the target when the attempt began; above 1, a part of `took` was queueing.
    void addServiceTime(Duration took, double utilization)
    {
        const double serviceTime = std::chrono::duration<double>(took).count() / std::max(1.0, utilization);
        m_serviceTime = m_count == 0 ? serviceTime : m_serviceTime + (serviceTime - m_serviceTime) * Weight;
        if (m_count == 0) {
            m_warmServiceTime = serviceTime;
        }
        // Converges to the quantile WarmQuantile of the service times.
        m_warmServiceTime *= serviceTime < m_warmServiceTime ? 1 - Step * (1 - WarmQuantile) : 1 + Step * WarmQuantile;
        ++m_count;
    }

    void addAnswerBytes(std::uint64_t bytes)
    {
        const auto size = static_cast<double>(bytes);
        m_answerBytes = m_answerBytes <= 0 ? size : m_answerBytes + (size - m_answerBytes) * Weight;
    }

    /// `left`: time that the caller had left when its request arrived.
    void addDeadline(Duration left)
    {
        m_deadlines[m_deadlineCount++ % m_deadlines.size()] = std::chrono::duration<float>(left).count();
    }

    /// Deadline that most callers have at their first try; nothing while there are too few samples.
    std::optional<Duration> firstTryDeadline() const
    {
        const std::size_t n = std::min<std::size_t>(m_deadlineCount, m_deadlines.size());
        if (n < MinSamples) {
            return std::nullopt;
        }
        auto sorted = m_deadlines;
        const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(n) * FirstTryQuantile);
        std::nth_element(sorted.begin(), it, sorted.begin() + static_cast<std::ptrdiff_t>(n));
        return std::chrono::duration_cast<Duration>(std::chrono::duration<float>(*it));
    }

    /// Mean size of an answer; 0 while there is no sample.
    double answerBytes() const
    {
        return m_answerBytes;
    }

    /// Service time at a target that has the key's data cached; nothing while there are too few samples.
    std::optional<Duration> warmServiceTime() const
    {
        if (m_count < MinSamples) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_warmServiceTime));
    }

    /// Mean service time; nothing while there are too few samples.
    std::optional<Duration> serviceTime() const
    {
        if (m_count < MinSamples) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_serviceTime));
    }

private:
    static constexpr double Weight = 0.05;
    static constexpr unsigned MinSamples = 5;
    static constexpr double WarmQuantile = 0.3;
    static constexpr double Step = 0.05;
    /// Under load, up to half of the requests come from callers that were refused before and have less time left, and a
    /// few callers have longer deadlines than the rest. The deadline of most first tries lies in between.
    static constexpr double FirstTryQuantile = 0.75;
    /// Enough for a quantile of 0.75; not more, since each request partially sorts them.
    static constexpr std::size_t DeadlineSamples = 32;

    double m_serviceTime = 0;
    double m_answerBytes = 0;
    double m_warmServiceTime = 0;
    unsigned m_count = 0;
    std::array<float, DeadlineSamples> m_deadlines{}; ///< seconds, of the latest requests
    unsigned m_deadlineCount = 0;
};

/// Bounds the share of requests that leave their region outside the plan.
class ShiftAllowance
{
public:
    void countRequest(TimePoint now)
    {
        m_requests.push_back(now);
    }

    bool take(TimePoint now, Duration window, double part)
    {
        drop(m_requests, now, window);
        drop(m_moved, now, window);
        if (static_cast<double>(m_moved.size()) + 1 > part * static_cast<double>(m_requests.size())) {
            return false;
        }
        m_moved.push_back(now);
        return true;
    }

private:
    static void drop(std::deque<TimePoint> &times, TimePoint now, Duration window)
    {
        while (!times.empty() && now - times.front() > window) {
            times.pop_front();
        }
    }

    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_moved;
};

} // namespace pepperlug::fleet
