//===- DemandEstimateTest.cpp - Tests of the demand that a host reports ---===//
#include "Balance/DemandEstimate.h"
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr unsigned Requests = 100;
constexpr Milliseconds Interval{200};
constexpr Milliseconds Work{100};

double sumOf(const std::vector<ServiceDemand> &demand)
{
    double sum = 0;
    for (const ServiceDemand &it : demand) {
        sum += it.slots;
    }
    return sum;
}

/// Records requests of a route and their answers. Returns the demand at the end.
double demandAfter(DemandEstimate &estimate, const AnswerSample &sample, Duration fallback, TimePoint &now)
{
    for (unsigned n = 0; n < Requests; ++n) {
        estimate.addRequest("s", "", "r", fallback, now);
        estimate.addAnswer("r", sample);
        now += Interval;
    }
    return sumOf(estimate.demand(now));
}

/// Lets a host serve requests one after the other from a target of a zone. Returns the demand that it reports.
double reportedDemand(LossFollowing following, const std::string &zone, Duration took, unsigned waiting)
{
    BalanceSettings settings = Host::settingsOf("z1", 1);
    settings.policy.lossFollowing = following;
    Host host(settings);
    host.useTable();
    host.reduce(UpdateReceived{host.now});
    host.report(Host::targetOf("t", zone, 1000));
    for (unsigned n = 0; n < Requests; ++n) {
        const RequestId id = host.request("/read/x");
        REQUIRE(host.find<StartAttempt>() != nullptr);
        host.now += took;
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Answered, TargetLoad{1, waiting, 1000}, 0});
        host.now += Interval - took;
    }
    return sumOf(host.balancer.demand(host.now));
}

} // namespace

// Load: the targets of the smallest region have queues. Guards against a region that sends ever more callers away
// because its queues count as demand.
TEST_CASE("answers of targets with a queue do not raise the demand")
{
    DemandEstimate estimate;
    TimePoint now(1000s);
    const double before = demandAfter(estimate, {Work, 0.5, false, false}, Work, now);
    const double after = demandAfter(estimate, {Work * 4, 3, false, true}, Work * 4, now);
    CHECK(after == Approx(before).epsilon(0.02));
}

// Load: most callers of a region are served in another one. Guards against a region that reports more demand for the
// same requests, so that its own targets are planned to be less used.
TEST_CASE("answers of other regions do not raise the demand")
{
    DemandEstimate estimate;
    TimePoint now(1000s);
    const double before = demandAfter(estimate, {Work, 0.5, false, false}, Work, now);
    const double after = demandAfter(estimate, {Work + 140ms, 0.5, true, false}, Work + 140ms, now);
    CHECK(after == Approx(before).epsilon(0.02));
}

// Guards against a demand of 0 while no answer of the own region counts.
TEST_CASE("without a sample, requests count with the service time of their route")
{
    DemandEstimate estimate;
    TimePoint now(1000s);
    const double demand = demandAfter(estimate, {Work, 0.5, true, true}, Work, now);
    CHECK(demand == Approx(secondsOf(Work) / secondsOf(Interval)).epsilon(0.1));
}

// Guards against requests that count in a region although home regions bind them to another one.
TEST_CASE("demand is kept apart by service and by the region that home regions bind it to")
{
    DemandEstimate estimate;
    const TimePoint now(1000s);
    estimate.addRequest("s", "", "r", Work, now);
    estimate.addRequest("s", "home", "r", Work, now);
    estimate.addRequest("other", "", "r", Work, now);
    CHECK(estimate.demand(now).size() == 3);
}

// Guards against a host without targets in its region, whose only samples are from other regions.
TEST_CASE("the round trip to another region is no service time where losses are followed")
{
    const double near = reportedDemand(LossFollowing::On, "z1", Work, 0);
    const double far = reportedDemand(LossFollowing::On, "z3", Work + 60ms, 0);
    CHECK(far == Approx(near).epsilon(0.02));
}

// Guards against a change of the demand that other deployments report.
TEST_CASE("demand counts all times of answers where losses are not followed")
{
    const double idle = reportedDemand(LossFollowing::Off, "z1", 50ms, 0);
    CHECK(reportedDemand(LossFollowing::Off, "z1", 150ms, 12) == Approx(idle * 3).epsilon(0.02));
    CHECK(reportedDemand(LossFollowing::Off, "z3", 150ms, 0) == Approx(idle * 3).epsilon(0.02));
}
