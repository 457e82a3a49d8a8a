//===- ExpiringCount.h - A count of things that end by themselves -*- C++ -*-===//
//
// Sums the slots that look-up answers stand for which callers keep for a time.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <cmath>

namespace pepperlug
{

class ExpiringCount
{
public:
    void add(TimePoint expires, double slots)
    {
        // Grains keep the queue short: a thousand answers that end within one grain are one entry.
        const TimePoint rounded(((expires.time_since_epoch() / Grain) + 1) * Grain);
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
            m_total = 0; // drops what rounding has left
        }
    }

    double total() const
    {
        return m_total;
    }

    /// Whole slots that the answers stand for, rounded up.
    unsigned slots() const
    {
        return static_cast<unsigned>(std::ceil(m_total - Rounding));
    }

private:
    static constexpr Duration Grain = Milliseconds(50);
    static constexpr double Rounding = 1e-6;

    struct Entry {
        TimePoint expires;
        double slots;
    };

    std::deque<Entry> m_entries;
    double m_total = 0;
};

} // namespace pepperlug
