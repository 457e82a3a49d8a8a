//===- RetryAdvice.h - When a refused caller should come back ---*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

#include <algorithm>

namespace pepperlug::fleet
{

// The bounds were set in the rounds on the first two sites and have not been measured apart since.

/// Shortest time that any caller is told to wait.
constexpr Milliseconds ShortestRetryAfter{80};
/// Longest time before chance is added; callers wait no longer than a third of the time they have left.
constexpr Milliseconds LongestRetryAfter{400};
/// Where no routing is known yet, so that no objective is.
constexpr Milliseconds StartRetryAfter{300};

/// Shortest time that a refused caller of a route is told to wait.
inline Milliseconds leastRetryAfter(const Route &route)
{
    return std::clamp(route.objective / 3, ShortestRetryAfter, LongestRetryAfter);
}

} // namespace pepperlug::fleet
