//===- FailureBlock.h - When a failing target may be used again -*- C++ -*-===//
//
// A circuit breaker for one target: after several failures in a row the target
// is not used for a while, the longer the more failures follow. Then one request
// at a time tries it until an answer closes the circuit. Pure: time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

class FailureBlock
{
public:
    /// Records a failure that may have been chance.
    void recordFailure(TimePoint now);
    /// Records a failure after which the target can't be expected to answer.
    void recordOutage(TimePoint now);
    /// Records an answer.
    void recordAnswer();
    /// Forgets all failures.
    void clear();

    /// Returns true if the target may be used. `inFlight`: requests of this host that are at the target.
    bool mayUse(TimePoint now, unsigned inFlight) const;
    /// Returns until when the target is not used.
    TimePoint blockedUntil() const;

private:
    void block(TimePoint now);

    unsigned m_failures = 0; ///< in a row
    TimePoint m_blockedUntil{};
};

} // namespace pepperlug::fleet
