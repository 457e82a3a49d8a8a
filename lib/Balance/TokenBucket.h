//===- TokenBucket.h - What may be used at once and with time ---*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <optional>

namespace pepperlug::fleet
{

/// How a bucket fills.
struct BucketConfig {
    double perSecond = 0;
    double depth = 0; ///< most that it holds
};

/// Fills with time and is emptied by use. Its terms may change from call to call.
class TokenBucket
{
public:
    explicit TokenBucket(double level = 0)
        : m_level(level)
    {
    }

    /// Whether an amount may be used now; more than the depth, whenever the bucket is full.
    bool has(double amount, const BucketConfig &terms, TimePoint now)
    {
        refill(terms, now);
        return m_level >= std::min(amount, terms.depth);
    }

    /// A negative amount gives back what was taken too much; what is beyond the depth is lost at the next call of has()
    /// or refill().
    void take(double amount)
    {
        m_level -= amount;
    }

    /// Until has() is true, as of its last call.
    Duration timeUntil(double amount, const BucketConfig &terms) const
    {
        const double missing = std::max(0.0, std::min(amount, terms.depth) - m_level);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / terms.perSecond));
    }

    void refill(const BucketConfig &terms, TimePoint now)
    {
        const TimePoint filledAt = m_filledAt.value_or(now);
        const std::chrono::duration<double> passed = std::max(Duration(0), now - filledAt);
        m_level = std::min(terms.depth, m_level + terms.perSecond * passed.count());
        m_filledAt = std::max(filledAt, now);
    }

private:
    double m_level;
    std::optional<TimePoint> m_filledAt; ///< nothing until it is first used
};

} // namespace pepperlug::fleet
