//===- ReturningCallersTest.cpp - Placement of callers that return --------===//
//
// A region with few targets, which a tenant whose home it is fills, and callers of that region who were refused because
// their key's target in another region is full.
//
//===----------------------------------------------------------------------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr unsigned FarTargets = 10;
constexpr unsigned Callers = 20;

/// Returns how many of the returning callers are sent to the one target of their own region.
unsigned returningToOwnRegion(double boundSlots)
{
    Host host;
    host.useTable();
    host.reduce(UpdateReceived{host.now});
    host.report(Host::targetOf("near"));
    for (unsigned n = 0; n < FarTargets; ++n) {
        host.report(Host::targetOf("far" + std::to_string(n), "z3"));
    }
    host.now += 200ms; // until the next plan
    // All demand together is the same, and the service has room.
    host.reduce(ReportsChanged{{}, false, {{"r1", "s", 24 - boundSlots, boundSlots}, {"r2", "s", 1, 0}}});
    const auto send = [&](const std::string &key, Duration deadline, std::optional<TargetLoad> load) {
        const RequestId id = host.request("/once/x", key, deadline);
        const auto *attempt = host.find<StartAttempt>();
        std::string target = attempt == nullptr ? std::string() : attempt->target;
        host.now += 100ms;
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Answered, load, 0});
        return target;
    };
    unsigned returned = 0;
    unsigned nearby = 0;
    for (unsigned n = 0; n < Callers; ++n) {
        host.reduce(BalanceTick{}); // updates the plan
        const std::string key = "key" + std::to_string(n);
        const std::string target = send(key, 4s, TargetLoad{4, 200, 4});
        if (target.starts_with("far")) {
            ++returned;
            nearby += send(key, 3s, TargetLoad{0, 0, 4}) == "near" ? 1 : 0;
        }
        host.now += 20s; // the load is forgotten
    }
    REQUIRE(returned > 0);
    return nearby;
}

} // namespace

// Guards against a small region whose targets get the returning callers of all hosts besides its bound demand.
TEST_CASE("returning callers are not sent to targets that bound demand fills")
{
    CHECK(returningToOwnRegion(4) == 0);
}

// Guards against another placement in deployments without home regions.
TEST_CASE("without bound demand returning callers may use any target with a free slot")
{
    CHECK(returningToOwnRegion(0) > 0);
}
