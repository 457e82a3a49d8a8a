//===- AcknowledgedTest.cpp - No change is acknowledged that is not in force ---===//
//
// Seen: a change of the routes that had been acknowledged was not in force at an entry host that lived and answered its
// callers. How it came about: a change was acknowledged after three quarters of the time in which operators expect an
// answer, whoever had not confirmed it by then; a host whose link passes a long change more slowly went on by the older
// routes. Cause: a promise was given up at a time limit, but was still said to hold. Proved by a host on a narrow link,
// with the line that names who was missing. The last case is of another answer that is given before it is known: a
// control host that had just started named entry hosts of other regions to callers.
//
//===----------------------------------------------------------------------===//
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// The change to them has about 90 KB.
constexpr std::size_t ManyRoutes = 4000;
/// Of the entry host's link, in bytes a second: the change needs several times as long as operators wait.
constexpr std::uint64_t NarrowRate = 20'000;
/// In which operators expect an answer.
constexpr auto Acknowledge = 1s;

} // namespace

TEST_CASE("a route that was removed is not served once this is acknowledged, however late the news")
{
    ServingSystem serving(ControlLink::Proxied, UpdateLease, Acknowledge);
    REQUIRE(serving.statusOf("/p/x") == 200);
    serving.system.proxy->narrow(NarrowRate);
    serving.system.putTable("r3", "r2", incompressiblePrefixes(ManyRoutes));
    CHECK(serving.statusOf("/p/x") != 200);
}

TEST_CASE("a control host that has just started sends no caller out of its region")
{
    ServingSystem serving;
    System &system = serving.system;
    const auto statusFor = [&](const std::string &zone) {
        return system.get(system.registry->directoryAddress(), "/api/resolve?name=a.example&region=r&zone=" + zone)
            .status;
    };
    CHECK(statusFor("z2") == 200); // nobody else there, and it knows all
    system.restartAll();
    REQUIRE(System::eventually([&] { return statusFor("z1") == 200; }));
    CHECK(statusFor("z2") == 503); // hosts of that region may not have been heard of yet
}
