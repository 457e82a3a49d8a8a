//===- FailureBlock.h - When a failing target may be used again -*- C++ -*-===//
//
// A circuit breaker for one target: after several failures in a row the target
// is not used for a while, the longer the more failures follow. Then one request
// in as long a while tries it, until an answer closes the circuit. Pure: time is
// passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

class FailureBlock
{
public:
    /// Records that a request is sent to the target.
    void recordSent(TimePoint now);
    /// Records a failure that may have been chance.
    void recordFailure(TimePoint now);
    /// Records that the target has not answered a request in time, and was then given up. `sentAt`: when the request
    /// was sent. Requests that wait at the same time count as one failure.
    void recordOutrun(TimePoint sentAt, TimePoint now);
    /// Records a failure after which the target can't be expected to answer.
    void recordOutage(TimePoint now);
    /// Records an answer without an end: a request that is sent to the target costs this host more than one that fails.
    void recordEndless(TimePoint now);
    /// Records an answer.
    void recordAnswer();
    /// Forgets all failures.
    void clear();

    bool mayUse(TimePoint now) const;
    /// Returns true if the target may be used during a block where there is no other.
    bool mayUseWithoutOther() const;
    /// Returns until when the target is not used.
    TimePoint blockedUntil() const;

private:
    void block(TimePoint now);

    unsigned m_failures = 0; ///< in a row
    TimePoint m_blockedUntil{};
    TimePoint m_outrunAt{}; ///< last outrun that counted
    bool m_isEndless = false; ///< one of the failures was an endless answer
};

} // namespace pepperlug::fleet
