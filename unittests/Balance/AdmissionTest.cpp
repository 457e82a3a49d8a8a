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
        it.admission.countRequest(it.urgent, 3s, TimePoint(1000s));
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

// Load: a burst of orders meets queues that allocations, which may wait, have filled. Guards against orders that are
// refused more often than allocations because of their shorter objective.
TEST_CASE("less urgent requests leave room in the queue for urgent ones that were seen lately")
{
    BalancePolicy policy;
    policy.reservesForUrgent = true;
    SharedService it{policy};
    const TimePoint now{1000s};
    const auto limit = [&](const Route &route, bool isReturning, TimePoint at) {
        return it.admission.admissibleUtilization(route, route.objective, 5s, false, isReturning, at);
    };
    it.admission.countRequest(it.urgent, {}, now);
    for (const bool isReturning : {false, true}) {
        CHECK(limit(it.deferrable, isReturning, now + 3s) < limit(it.urgent, false, now + 3s));
        CHECK(limit(it.deferrable, isReturning, now + 3s) >= 0.9);
    }
    const Duration objective = it.deferrable.objective;
    CHECK(it.admission.admissibleUtilization(it.deferrable, objective, 5s, true, false, now)
          < it.admission.admissibleUtilization(it.urgent, it.urgent.objective, 5s, true, false, now));
}

// Load: allocations only, after the last order of a burst. Guards against capacity that is kept for nobody.
TEST_CASE("capacity kept for urgent requests is released three seconds after the last one")
{
    BalancePolicy policy;
    policy.reservesForUrgent = true;
    SharedService it{policy};
    const TimePoint now{1000s};
    const auto limitAt = [&](TimePoint at) {
        return it.admission.admissibleUtilization(it.deferrable, 1500ms, 5s, false, false, at);
    };
    const double unused = limitAt(now);
    it.admission.countRequest(it.deferrable, {}, now);
    CHECK(limitAt(now) == Approx(unused));
    it.admission.countRequest(it.urgent, {}, now);
    CHECK(limitAt(now + 3s) < unused);
    CHECK(limitAt(now + 3001ms) == Approx(unused));
    // No urgent request is in sight, so the less urgent one has the thresholds of an urgent one.
    Route alone = it.deferrable;
    alone.priority = 0;
    CHECK(unused == Approx(it.admission.admissibleUtilization(alone, 1500ms, 5s, false, false, now)));
}

// Guards against a change of deployments that do not set reserve_for_urgent.
TEST_CASE("without a reserve for urgent requests the limit does not depend on them")
{
    SharedService it{{}};
    const TimePoint now{1000s};
    AdmissionQuery query;
    query.objectiveLeft = it.deferrable.objective;
    query.timeLeft = 5s;
    query.serviceTime = it.admission.stats(it.deferrable.name).serviceTime();
    query.warmServiceTime = it.admission.stats(it.deferrable.name).warmServiceTime();
    for (int n = 0; n < 2; ++n) {
        CHECK(it.admission.admissibleUtilization(it.deferrable, it.deferrable.objective, 5s, false, false, now)
              == Approx(admissibleUtilization(query)));
        it.admission.countRequest(it.urgent, {}, now);
    }
}
