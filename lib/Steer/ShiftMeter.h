//===- ShiftMeter.h - This host's share of a shift cap and a link -*- C++ -*-===//
//
// Limits how fast callers of one region may increase their use of this host,
// and how many slots of the link between the regions they may use.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Bundle.h"

namespace pepperlug
{

/// Meter of the shift from one region to this host. Without a cap or a link limit, any growth is allowed.
class ShiftMeter
{
public:
    void setCap(std::optional<unsigned> slots, Duration interval);
    void setLinkLimit(std::optional<unsigned> slots);

    /// Returns the number of slots by which the level may grow now, at most `wanted`.
    unsigned allowedByCap(unsigned wanted, TimePoint now);
    /// Returns the number of further slots that the link limit allows, at most `wanted`, with `inUse` already in use.
    unsigned allowedByLink(unsigned wanted, unsigned inUse) const;
    /// Records granted growth, which allowedByCap() must have allowed.
    void recordGrowth(unsigned slots, TimePoint now);

    std::optional<unsigned> cap() const;
    Duration interval() const;
    std::optional<unsigned> linkLimit() const;

private:
    void expireGrowth(TimePoint now);

    struct Growth {
        TimePoint at;
        unsigned slots;
    };

    std::optional<unsigned> m_cap;
    std::optional<unsigned> m_linkLimit;
    Duration m_interval{};
    std::deque<Growth> m_recentGrowth;
    unsigned m_recentSlots = 0; ///< sum of m_growths
};

/// Returns the share of `whole` of one of several owners, in proportion to `weights`. The shares of all owners sum to
/// `whole`.
unsigned shareOf(unsigned whole, const std::vector<unsigned> &weights, std::size_t owner);

} // namespace pepperlug
