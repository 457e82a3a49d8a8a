//===- TokenBucket.h - Token bucket -----------------------------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <optional>

namespace pepperlug::fleet
{

/// Rate and capacity of a token bucket.
struct BucketConfig {
    double perSecond = 0;
    double depth = 0; ///< largest level
};

/// Token bucket whose configuration may change from call to call.
class TokenBucket
{
public:
    explicit TokenBucket(double level = 0)
        : m_level(level)
    {
    }

    /// Returns true if an amount may be taken now. An amount above the depth needs a full bucket.
    bool has(double amount, const BucketConfig &config, TimePoint now)
    {
        refill(config, now);
        return m_level >= std::min(amount, config.depth);
    }

    /// Takes an amount; a negative one is a refund. The next call of has() or refill() drops what exceeds the depth.
    void take(double amount)
    {
        m_level -= amount;
    }

    /// Time until has() returns true, as of the last refill.
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
    std::optional<TimePoint> m_refilledAt; ///< nothing until the first use
};

} // namespace pepperlug::fleet
