//===- pepperlug/Backpressure.h - What targets ask of those who send -*- C++ -*-===//
//
// What a target asks for in its answers: a limit on the requests a second that it
// takes from all entry hosts together.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// What one answer of a target asks for.
struct BackpressureSignal {
    std::optional<double> perSecond; ///< requests that it takes from all hosts together; nothing: it names no limit
    std::string unreadable; ///< header and value that can't be read, shortened; empty: none
};

} // namespace pepperlug::fleet
