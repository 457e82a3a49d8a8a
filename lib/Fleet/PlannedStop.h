//===- PlannedStop.h - When a stopping entry host may exit -------*- C++ -*-===//
//
// Callers arrive until the directory's answers have expired, and are served
// meanwhile if their requests end before the process does. A request that arrives
// just before the exit must not be routed and then be cut off, and neither must an
// answer that its caller still reads.
// Decides without sockets: the owner reports the work that is left.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::fleet
{

class PlannedStop
{
public:
    enum class Phase : std::uint8_t {
        Serving, ///< requests are taken
        Refusing, ///< new requests are refused; open ones and their answers go on
        Over, ///< the process may exit
    };

    struct Work {
        std::size_t openRequests = 0; ///< without a whole answer
        std::size_t undelivered = 0; ///< connections whose callers have not received all of an answer
    };

    PlannedStop(TimePoint startedAt, Duration gracePeriod);

    const StopTimes &times() const;

    /// Records the work left and returns the phase from now on. Phases don't go back.
    Phase advance(const Work &work, TimePoint now);

private:
    TimePoint m_startedAt;
    StopTimes m_times;
    TimePoint m_refusingSince{};
    Phase m_phase = Phase::Serving;
};

} // namespace pepperlug::fleet
