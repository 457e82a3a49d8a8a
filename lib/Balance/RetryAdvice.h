//===- RetryAdvice.h - When a refused caller should retry -------*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

#include <algorithm>

namespace pepperlug::fleet
{

/// Shortest time that a refused caller is told to wait.
constexpr Milliseconds MinRetryAfter{80};
/// Longest time before the random part is added. Callers wait no longer than a third of the time they have left.
constexpr Milliseconds MaxRetryAfter{400};
/// For refusals that concern this host alone, while another one probably has capacity: the link is full, or the host
/// is stopping. Callers choose another host for each try, so this covers only the latency to that host. With 40 hosts
/// whose links are half used, the next host admits 982 of 1,634 callers that met a full link, 20 ms later. If they wait
/// for a share of an objective of 400 ms instead, as many are admitted, but 130 to 270 ms later.
constexpr Milliseconds OtherHostRetryAfter{20};
/// Bounds the time until a target has capacity again, for Refusal::Backpressure: most callers do not wait longer.
constexpr Milliseconds MaxBackpressureRetryAfter{5000};
/// For requests without a known route, and thus without an objective, such as before the first routing arrives.
constexpr Milliseconds NoRoutingRetryAfter{300};

/// Returns the shortest time that a refused caller of a route is told to wait.
inline Milliseconds minRetryAfterFor(const Route &route)
{
    return std::clamp(route.objective / 3, MinRetryAfter, MaxRetryAfter);
}

} // namespace pepperlug::fleet
