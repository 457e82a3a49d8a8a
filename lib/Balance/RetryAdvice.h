//===- RetryAdvice.h - When a refused caller should come back ---*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

#include <algorithm>

namespace pepperlug::fleet
{

constexpr Milliseconds ShortestRetryAfter{80};
constexpr Milliseconds LongestRetryAfter{400};
constexpr Milliseconds StartRetryAfter{300};

/// Shortest time that a refused caller of a route is told to wait.
inline Milliseconds leastRetryAfter(const Route &route)
{
    return std::clamp(route.objective / 3, ShortestRetryAfter, LongestRetryAfter);
}

} // namespace pepperlug::fleet
