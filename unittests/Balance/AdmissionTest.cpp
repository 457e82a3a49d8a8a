//===- AdmissionTest.cpp - Tests of admission control ---------------------===//
#include "Balance/Admission.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

AdmissionQuery urgentRequest()
{
    AdmissionQuery it;
    it.objectiveLeft = 200ms;
    it.timeLeft = 1200ms;
    it.warmServiceTime = 80ms;
    it.serviceTime = 100ms;
    it.isUrgent = true;
    return it;
}

} // namespace

TEST_CASE("a request is admitted if its answer is predicted to be in time")
{
    // 0.9 of 200 ms less 80 ms of service time leave 100 ms of queueing, in which each slot serves one more request.
    CHECK(admissibleUtilization(urgentRequest()) == Approx(2.0));
}

TEST_CASE("the latency to another region leaves less time for queueing")
{
    AdmissionQuery query = urgentRequest();
    query.extraLatency = 50ms;
    CHECK(admissibleUtilization(query) == Approx(1.5));
}

TEST_CASE("less urgent requests leave capacity for urgent ones")
{
    AdmissionQuery query = urgentRequest();
    query.isUrgent = false;
    CHECK(admissibleUtilization(query) == Approx(1.7));
    query.objectiveLeft = 10ms;
    CHECK(admissibleUtilization(query) == Approx(0.9));
}

TEST_CASE("a free slot may be used whatever the prediction")
{
    AdmissionQuery query = urgentRequest();
    query.objectiveLeft = -50ms;
    CHECK(admissibleUtilization(query) == Approx(1.0));
    query.serviceTime.reset();
    query.warmServiceTime.reset();
    CHECK(admissibleUtilization(query) == Approx(1.0));
}

TEST_CASE("a request of a returning caller is admitted even if its answer will be late")
{
    AdmissionQuery query = urgentRequest();
    query.lateDeadlineShare = 0.35;
    CHECK(admissibleUtilization(query) > admissibleUtilization(urgentRequest()));
    query.timeLeft = 100ms;
    CHECK(admissibleUtilization(query) == Approx(admissibleUtilization(urgentRequest())));
}
