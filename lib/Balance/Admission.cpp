//===- Admission.cpp - Which requests are let in --------------------------===//
#include "Admission.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Part of the objective that a request may be predicted to use; less urgent ones leave room for urgent ones.
constexpr double MaxObjectiveShare = 0.9;
constexpr double LessUrgentMaxObjectiveShare = 0.75;
/// Fill up to which a request is let in whatever the prediction says: it gets a slot at once.
constexpr double FreeUtilization = 1.0;
constexpr double LessUrgentFreeUtilization = 0.9;
/// A work time below it, in seconds, counts as this: it only keeps the division defined.
constexpr double MinServiceTime = 1e-6;

} // namespace

// A target that does not remember the key is late in any case, but learns it; the wait is that of the mean request.
double admissibleUtilization(const AdmissionQuery &query)
{
    const double freeUtilization = query.isUrgent ? FreeUtilization : LessUrgentFreeUtilization;
    if (!query.serviceTime || !query.warmServiceTime) {
        return FreeUtilization;
    }
    const double inTime =
        secondsOf(query.objectiveLeft) * (query.isUrgent ? MaxObjectiveShare : LessUrgentMaxObjectiveShare);
    const double late = secondsOf(query.timeLeft) * query.lateDeadlineShare;
    const double wait = std::max(inTime, late) - secondsOf(*query.warmServiceTime) - secondsOf(query.extraLatency);
    return std::max(freeUtilization, 1 + wait / std::max(secondsOf(*query.serviceTime), MinServiceTime));
}

} // namespace pepperlug::fleet
