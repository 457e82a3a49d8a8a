//===- BackpressureCheck.h - Whether entry hosts keep to what targets ask for -*- C++ -*-===//
#pragma once

#include "Actors.h"

namespace pepperlug::soak
{

/// What is broken by the requests that came to a target while nothing else was disturbed; empty: nothing. `askedAt`:
/// when it began to ask.
std::string brokenLimit(const std::vector<TargetArrival> &arrivals, double perSecond, TimePoint askedAt);
std::string brokenRest(const std::vector<TargetArrival> &arrivals, Duration rest);
std::string brokenDeparture(const std::vector<TargetArrival> &arrivals, TimePoint askedAt);

} // namespace pepperlug::soak
