//===- ShiftMeter.h - This host's part of a shift cap and a link --*- C++ -*-===//
//
// Meters how fast callers of one region may grow their use of this host, and
// how much of the link between the regions they may fill.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Bundle.h"

namespace pepperlug
{

class ShiftMeter
{
public:
    void setCap(std::optional<unsigned> slots, Duration interval);
    void setLinkLimit(std::optional<unsigned> slots);

    /// Slots by which the level may grow now, at most `wanted`.
    unsigned allowedByCap(unsigned wanted, TimePoint now);
    /// Slots more that the link takes, at most `wanted`, with `inUse` of them taken.
    unsigned allowedByLink(unsigned wanted, unsigned inUse) const;
    /// Notes growth that was granted; allowedByCap() must have covered it.
    void recordGrowth(unsigned slots, TimePoint now);

    std::optional<unsigned> cap() const;
    Duration interval() const;
    std::optional<unsigned> linkLimit() const;

private:
    void forget(TimePoint now);

    struct Growth {
        TimePoint at;
        unsigned slots;
    };

    std::optional<unsigned> m_cap;
    std::optional<unsigned> m_link;
    Duration m_interval{};
    std::deque<Growth> m_growths;
    unsigned m_recent = 0; ///< sum of m_growths
};

/// The part of `whole` that falls to one of several owners with these weights, so that all parts sum to the whole.
unsigned shareOf(unsigned whole, const std::vector<unsigned> &weights, std::size_t owner);

} // namespace pepperlug
