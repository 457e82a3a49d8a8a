//===- RegionDemandTest.cpp - Tests of the demand that a host reports -----===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr unsigned Requests = 40;
constexpr Milliseconds Interval{100};

BalanceSettings settingsWith(LossFollowing following)
{
    BalanceSettings settings = Host::settingsOf("z1", 1);
    settings.policy.lossFollowing = following;
    return settings;
}

/// Sends requests to a target of a zone one after the other, each answered after `took`. Returns the demand in slots
/// that the host reports.
double reportedDemand(LossFollowing following, const std::string &zone, Duration took, unsigned waiting)
{
    Host host(settingsWith(following));
    host.useTable();
    host.reduce(UpdateReceived{host.now});
    host.report(Host::targetOf("t", zone, 1000));
    for (unsigned n = 0; n < Requests; ++n) {
        const RequestId id = host.request("/read/x");
        REQUIRE(host.find<StartAttempt>() != nullptr);
        host.now += took;
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Answered, TargetLoad{1, waiting, 1000}, 0});
        host.now += std::max<Duration>(Duration(0), Interval - took);
    }
    double sum = 0;
    for (const ServiceDemand &it : host.balancer.demand(host.now)) {
        sum += it.slots;
    }
    return sum;
}

} // namespace

// Guards against a region whose callers are served elsewhere reporting more demand for the same requests, so that its
// own targets are planned to be less used.
TEST_CASE("the round trip to another region does not count as demand where losses are followed")
{
    const double near = reportedDemand(LossFollowing::On, "z1", 30ms, 0);
    const double far = reportedDemand(LossFollowing::On, "z3", 90ms, 0); // a round trip of 60 ms
    CHECK(far <= near * 1.6);
    CHECK(reportedDemand(LossFollowing::Off, "z3", 90ms, 0) > near * 2);
}

// Guards against an overloaded region that sends ever more callers away because its queues count as demand.
TEST_CASE("answers of targets with a queue do not raise the demand where losses are followed")
{
    Host host(settingsWith(LossFollowing::On));
    host.useTable();
    host.reduce(UpdateReceived{host.now});
    host.report(Host::targetOf("t", "z1", 1000));
    const auto serve = [&host](Duration took, unsigned waiting) {
        const RequestId id = host.request("/read/x");
        REQUIRE(host.find<StartAttempt>() != nullptr);
        host.now += took;
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Answered, TargetLoad{1, waiting, 1000}, 0});
        host.now += Interval - took;
    };
    const auto demand = [&host] {
        double sum = 0;
        for (const ServiceDemand &it : host.balancer.demand(host.now)) {
            sum += it.slots;
        }
        return sum;
    };
    for (unsigned n = 0; n < Requests; ++n) {
        serve(30ms, 0);
    }
    const double before = demand();
    for (unsigned n = 0; n < Requests; ++n) {
        serve(90ms, 12);
    }
    CHECK(demand() <= before * 1.2);
}

// Guards against a change of the demand that other deployments report.
TEST_CASE("demand counts all times of answers where losses are not followed")
{
    const double idle = reportedDemand(LossFollowing::Off, "z1", 30ms, 0);
    const double queued = reportedDemand(LossFollowing::Off, "z1", 90ms, 12);
    CHECK(queued == Approx(idle * 3).epsilon(0.2));
}
