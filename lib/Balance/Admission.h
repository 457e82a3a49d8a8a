//===- Admission.h - Admission control ---------------------------*- C++ -*-===//
//
// A target serves its queue in order, so waiting requests delay all later ones.
// A request is admitted if its answer is predicted to be in time. A request of a
// caller that was refused before may also be admitted with a late answer.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Balance.h"

namespace pepperlug::fleet
{

/// Input of an admission decision.
struct AdmissionQuery {
    Duration objectiveLeft{}; ///< until the answer would be late
    Duration timeLeft{}; ///< until the answer would be useless
    Duration extraLatency{}; ///< round trip beyond that of a target in the same region
    /// At a target that has the key's data cached; nothing while there are too few samples.
    std::optional<Duration> warmServiceTime;
    std::optional<Duration> serviceTime; ///< mean; nothing while there are too few samples
    bool isUrgent = false; ///< no route of the service is more urgent
    double lateDeadlineShare = 0; ///< of `timeLeft`, that a late answer may be predicted to take; 0: none
};

/// Returns the highest utilization of a target (requests, this one included, over slots) at which a request is
/// admitted.
double admissibleUtilization(const AdmissionQuery &query);

} // namespace pepperlug::fleet
