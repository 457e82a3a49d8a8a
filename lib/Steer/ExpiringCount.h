//===- ExpiringCount.h - A count of things that end by themselves -*- C++ -*-===//
//
// Counts look-up answers that callers keep until their time is over.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

class ExpiringCount
{
public:
    void add(TimePoint expires)
    {
        // Grains keep the queue short: a thousand look-ups that end within one grain are one entry.
        const TimePoint rounded(((expires.time_since_epoch() / Grain) + 1) * Grain);
        if (m_entries.empty() || m_entries.back().expires < rounded) {
            m_entries.push_back({rounded, 0});
        }
        ++m_entries.back().count;
        ++m_total;
    }

    void expire(TimePoint now)
    {
        while (!m_entries.empty() && m_entries.front().expires <= now) {
            m_total -= m_entries.front().count;
            m_entries.pop_front();
        }
    }

    unsigned total() const
    {
        return m_total;
    }

    /// Slots that the counted answers stand for, rounded up.
    unsigned slots(unsigned answersPerSlot) const
    {
        return (m_total + answersPerSlot - 1) / answersPerSlot;
    }

private:
    static constexpr Duration Grain = Milliseconds(50);

    struct Entry {
        TimePoint expires;
        unsigned count;
    };

    std::deque<Entry> m_entries;
    unsigned m_total = 0;
};

} // namespace pepperlug
