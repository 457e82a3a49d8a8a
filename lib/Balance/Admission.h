//===- Admission.h - Which requests are let in ------------------*- C++ -*-===//
//
// A target serves its queue in order, so what waits there delays whatever comes
// later. A request is let in while it can be expected to be answered in time;
// one whose caller was refused before also where its answer would be late.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Balance.h"

namespace pepperlug::fleet
{

/// What is known of a request that asks to be let in.
struct AdmissionQuery {
    Duration objectiveLeft{}; ///< time in which its answer is still in time
    Duration timeLeft{}; ///< time in which its answer is of any use
    Duration extraLatency{}; ///< to the target and back, beyond what a target nearby takes
    std::optional<Duration> warmServiceTime; ///< at a target that remembers the key; nothing while too little was seen
    std::optional<Duration> serviceTime; ///< mean
    bool isUrgent = false; ///< no route of the service is more urgent
    double lateDeadlineShare = 0; ///< of the time left that the answer may be predicted to use even if it is late then
};

/// Requests over slots at a target, this one included, up to which a request is let in.
double admissibleUtilization(const AdmissionQuery &query);

} // namespace pepperlug::fleet
