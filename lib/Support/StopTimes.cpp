//===- StopTimes.cpp - When a planned stop ends ---------------------------===//
#include "pepperlug/Support.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

/// Rest of a grace period at which the process exits even if work is left: this much, but no more than that part of it.
constexpr Milliseconds MaxGraceReserve{400};
constexpr int GraceReservePart = 8;
/// Before the exit, for answers to reach their callers.
constexpr Milliseconds DeliveryTime{200};

} // namespace

StopTimes stopTimes(TimePoint startedAt, Duration gracePeriod)
{
    const Duration reserve = std::min<Duration>(MaxGraceReserve, gracePeriod / GraceReservePart);
    const TimePoint exitAt = startedAt + gracePeriod - reserve;
    return {exitAt - DeliveryTime, exitAt};
}

} // namespace pepperlug
