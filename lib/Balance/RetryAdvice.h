//===- RetryAdvice.h - When a refused caller should come back ---*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

#include <algorithm>

namespace pepperlug::fleet
{

// The bounds were set in the rounds on the first two sites and have not been measured apart since.

/// Shortest time that any caller is told to wait.
constexpr Milliseconds MinRetryAfter{80};
/// Longest time before chance is added; callers wait no longer than a third of the time they have left.
constexpr Milliseconds MaxRetryAfter{400};
/// Where the reason is this host's own, and another one has probably room: its link is full, or it stops. Callers take
/// another host for each try, so this is the way there and no wait. Measured by LinkLoadTest, 40 hosts whose links are
/// half used: of 1,634 callers that meet a full one 982 are taken by the next host 20 ms later. When they were told to
/// wait a part of the objective as many were taken, 130 to 270 ms later with an objective of 400 ms.
constexpr Milliseconds OtherHostRetryAfter{20};
/// Where targets asked for less: until one has room. Nobody is told to wait for longer than most callers have.
constexpr Milliseconds MaxBackpressureRetryAfter{5000};
/// Where no routing is known yet, so that no objective is.
constexpr Milliseconds NoRoutingRetryAfter{300};

/// Shortest time that a refused caller of a route is told to wait.
inline Milliseconds minRetryAfterFor(const Route &route)
{
    return std::clamp(route.objective / 3, MinRetryAfter, MaxRetryAfter);
}

} // namespace pepperlug::fleet
