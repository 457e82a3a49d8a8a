//===- AdmissionTest.cpp - Which requests are let in ----------------------===//
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

TEST_CASE("a request is let in while its predicted answer is in time")
{
    // 0.9 of 200 ms less 80 ms of work leave 100 ms to wait, in which one more filling of the slots is served.
    CHECK(admissibleUtilization(urgentRequest()) == Approx(2.0));
}

TEST_CASE("a way to another region leaves less time to wait")
{
    AdmissionQuery query = urgentRequest();
    query.extraLatency = 50ms;
    CHECK(admissibleUtilization(query) == Approx(1.5));
}

TEST_CASE("less urgent requests leave room for urgent ones")
{
    AdmissionQuery query = urgentRequest();
    query.isUrgent = false;
    CHECK(admissibleUtilization(query) == Approx(1.7));
    query.objectiveLeft = 10ms;
    CHECK(admissibleUtilization(query) == Approx(0.9));
}

TEST_CASE("a free slot may be used whatever the prediction says")
{
    AdmissionQuery query = urgentRequest();
    query.objectiveLeft = -50ms;
    CHECK(admissibleUtilization(query) == Approx(1.0));
    query.serviceTime.reset();
    query.warmServiceTime.reset();
    CHECK(admissibleUtilization(query) == Approx(1.0));
}

TEST_CASE("a returning caller is served late rather than never")
{
    AdmissionQuery query = urgentRequest();
    query.lateDeadlineShare = 0.35;
    CHECK(admissibleUtilization(query) > admissibleUtilization(urgentRequest()));
    query.timeLeft = 100ms;
    CHECK(admissibleUtilization(query) == Approx(admissibleUtilization(urgentRequest())));
}
