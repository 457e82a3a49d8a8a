//===- ShiftMeter.cpp - Caps on shifts, over every interval ---------------===//
//
// Growth is counted gross over a sliding window: whatever was given back in between does not pay for new growth. So the
// net growth over any interval, wherever it starts, stays within the cap.
//
//===----------------------------------------------------------------------===//
#include "ShiftMeter.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace pepperlug
{

void ShiftMeter::setCap(std::optional<unsigned> slots, Duration interval)
{
    m_cap = slots;
    m_interval = interval;
}

void ShiftMeter::setLinkLimit(std::optional<unsigned> slots)
{
    m_link = slots;
}

void ShiftMeter::forget(TimePoint now)
{
    while (!m_growths.empty() && m_growths.front().at + m_interval < now) {
        m_recent -= m_growths.front().slots;
        m_growths.pop_front();
    }
}

unsigned ShiftMeter::allowedByCap(unsigned wanted, TimePoint now)
{
    forget(now);
    if (!m_cap) {
        return wanted;
    }
    return std::min(wanted, *m_cap > m_recent ? *m_cap - m_recent : 0);
}

unsigned ShiftMeter::allowedByLink(unsigned wanted, unsigned inUse) const
{
    if (!m_link) {
        return wanted;
    }
    return std::min(wanted, *m_link > inUse ? *m_link - inUse : 0);
}

void ShiftMeter::recordGrowth(unsigned slots, TimePoint now)
{
    if (slots == 0 || !m_cap) {
        return;
    }
    m_growths.push_back({now, slots});
    m_recent += slots;
}

std::optional<unsigned> ShiftMeter::cap() const
{
    return m_cap;
}

Duration ShiftMeter::interval() const
{
    return m_interval;
}

std::optional<unsigned> ShiftMeter::linkLimit() const
{
    return m_link;
}

unsigned shareOf(unsigned whole, const std::vector<unsigned> &weights, std::size_t owner)
{
    assert(owner < weights.size() && "an owner without a weight asks for its part");
    const std::uint64_t total = std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
    if (total == 0) {
        return 0;
    }
    const auto end = weights.begin() + static_cast<std::ptrdiff_t>(owner);
    const std::uint64_t before = std::accumulate(weights.begin(), end, std::uint64_t{0});
    const std::uint64_t after = before + weights[owner];
    return static_cast<unsigned>(whole * after / total - whole * before / total);
}

} // namespace pepperlug
