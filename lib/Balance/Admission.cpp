//===- Admission.cpp - Admission control ----------------------------------===//
#include "Admission.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Shares of the objective that a request may be predicted to take. Less urgent requests leave capacity for urgent
/// ones.
constexpr double MaxObjectiveShare = 0.9;
constexpr double LessUrgentMaxObjectiveShare = 0.75;
/// Utilization up to which a request is admitted whatever the prediction: a slot is free for it.
constexpr double FreeUtilization = 1.0;
constexpr double LessUrgentFreeUtilization = 0.9;
/// Lower bound of the service time in seconds; avoids a division by zero.
constexpr double MinServiceTime = 1e-6;

} // namespace

// The prediction uses the service time of a warm target: a cold one answers late in any case, but caches the key's
// data. The queue ahead consists of mean requests.
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
