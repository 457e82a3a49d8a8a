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
    bool has(double amount, const BucketConfig &config, TimePoint now)
    {
        refill(config, now);
        return m_level >= std::min(amount, config.depth);
    }

    /// A negative amount gives back what was taken too much; what is beyond the depth is lost at the next call of has()
    /// or refill().
    void take(double amount)
    {
        m_level -= amount;
    }

    /// Until has() is true, as of its last call.
    Duration timeUntil(double amount, const BucketConfig &config) const
    {
        const double missing = std::max(0.0, std::min(amount, config.depth) - m_level);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / config.perSecond));
    }

    void refill(const BucketConfig &config, TimePoint now)
    {
        const TimePoint refilledAt = m_refilledAt.value_or(now);
        const std::chrono::duration<double> passed = std::max(Duration(0), now - refilledAt);
        m_level = std::min(config.depth, m_level + config.perSecond * passed.count());
        m_refilledAt = std::max(refilledAt, now);
    }

private:
    double m_level;
    std::optional<TimePoint> m_refilledAt; ///< nothing until it is first used
};

} // namespace pepperlug::fleet
