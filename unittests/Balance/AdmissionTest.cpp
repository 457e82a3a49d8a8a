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

namespace
{

Route routeOf(const std::string &name, unsigned priority, Milliseconds objective)
{
    Route it;
    it.name = name;
    it.priority = priority;
    it.objective = objective;
    it.services = {{"s", 1}};
    return it;
}

/// Routes of one service: urgent requests with a short objective, and less urgent ones that may wait.
struct SharedService {
    explicit SharedService(const BalancePolicy &policy)
        : admission(policy)
    {
        RouteTable table;
        table.routes = {urgent, deferrable};
        admission.setTable(table);
        for (const Route &it : table.routes) {
            for (int n = 0; n < 20; ++n) {
                admission.stats(it.name).addServiceTime(100ms, 1);
            }
        }
    }

    Route urgent = routeOf("urgent", 0, 400ms);
    Route deferrable = routeOf("deferrable", 2, 1500ms);
    AdmissionControl admission;
};

} // namespace

// Guards against precedence for callers that retry at once, which would reward the callers that ignore the advice.
TEST_CASE("a caller is returning if it has waited as advised before it retries")
{
    SharedService it{{}};
    CHECK_FALSE(it.admission.isReturning(it.urgent, 1s));
    for (int n = 0; n < 10; ++n) {
        it.admission.countRequest(it.urgent, 3s);
    }
    CHECK(it.admission.isReturning(it.urgent, 2800ms));
    CHECK_FALSE(it.admission.isReturning(it.urgent, 2900ms));
    CHECK_FALSE(it.admission.isReturning(it.urgent, std::nullopt));
    CHECK_FALSE(it.admission.isReturning(it.deferrable, 2800ms));
}

// Guards against thresholds that follow the priority of another service's routes.
TEST_CASE("the most urgent routes of each service are found")
{
    SharedService it{{}};
    CHECK(it.admission.isMostUrgent(it.urgent));
    CHECK_FALSE(it.admission.isMostUrgent(it.deferrable));
    Route other = it.deferrable;
    other.services = {{"unknown", 1}};
    CHECK(it.admission.isMostUrgent(other));
}
