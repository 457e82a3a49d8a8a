//===- ExpiringCount.h - A sum whose entries expire --------------*- C++ -*-===//
//
// Sums the slots that callers with a cached look-up answer are expected to use,
// until the answers expire.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <cmath>

namespace pepperlug
{

/// Sum of slots that expire at given times. Entries are added in order of their expiry; an
/// entry that expires earlier than the last one is kept as long as that.
class ExpiringCount
{
public:
    void add(TimePoint expires, double slots)
    {
        // Expiry is rounded up to keep the queue short: all answers that expire within one resolution step are one
        // entry.
        const TimePoint rounded(((expires.time_since_epoch() / Resolution) + 1) * Resolution);
        if (m_entries.empty() || m_entries.back().expires < rounded) {
            m_entries.push_back({rounded, 0});
        }
        m_entries.back().slots += slots;
        m_total += slots;
    }

    void expire(TimePoint now)
    {
        while (!m_entries.empty() && m_entries.front().expires <= now) {
            m_total -= m_entries.front().slots;
            m_entries.pop_front();
        }
        if (m_entries.empty()) {
            m_total = 0; // drops the accumulated rounding error
        }
    }

    double total() const
    {
        return m_total;
    }

    /// Returns the sum in whole slots, rounded up.
    unsigned slots() const
    {
        return static_cast<unsigned>(std::ceil(m_total - RoundingTolerance));
    }

private:
    static constexpr Duration Resolution = Milliseconds(50);
    static constexpr double RoundingTolerance = 1e-6;

    struct Entry {
        TimePoint expires;
        double slots;
    };

    std::deque<Entry> m_entries;
    double m_total = 0;
};

} // namespace pepperlug
