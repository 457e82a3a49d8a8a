//===- ShiftMeter.cpp - Shift caps over a sliding interval ----------------===//
//
// Growth is counted gross over a sliding window: slots that are given back in between do not offset new growth. So the
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
    m_linkLimit = slots;
}

void ShiftMeter::expireGrowth(TimePoint now)
{
    while (!m_recentGrowth.empty() && m_recentGrowth.front().at + m_interval < now) {
        m_recentSlots -= m_recentGrowth.front().slots;
        m_recentGrowth.pop_front();
    }
}

unsigned ShiftMeter::allowedByCap(unsigned wanted, TimePoint now)
{
    expireGrowth(now);
    if (!m_cap) {
        return wanted;
    }
    return std::min(wanted, *m_cap > m_recentSlots ? *m_cap - m_recentSlots : 0);
}

unsigned ShiftMeter::allowedByLink(unsigned wanted, unsigned inUse) const
{
    if (!m_linkLimit) {
        return wanted;
    }
    return std::min(wanted, *m_linkLimit > inUse ? *m_linkLimit - inUse : 0);
}

void ShiftMeter::recordGrowth(unsigned slots, TimePoint now)
{
    if (slots == 0 || !m_cap) {
        return;
    }
    m_recentGrowth.push_back({now, slots});
    m_recentSlots += slots;
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
    return m_linkLimit;
}

unsigned shareOf(unsigned whole, const std::vector<unsigned> &weights, std::size_t owner)
{
    assert(owner < weights.size() && "the owner has no weight");
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
