//===- AcknowledgedTest.cpp - No change is acknowledged that is not in force ---===//
//
// Guards against acknowledging a change of the routes that is not in force at a live entry host. A change used to be
// acknowledged after three quarters of the time in which operators expect an answer, even if hosts had not confirmed
// it; a host whose link took longer to transfer a large change went on using the older routes. The first test uses a
// host on a slow link, with the log line that names the missing host. The last one guards against another premature
// answer: a control host that had just started directed callers to entry hosts of other regions.
//
//===----------------------------------------------------------------------===//
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// A change to these routes has about 90 KB.
constexpr std::size_t ManyRoutes = 4000;
/// Rate of the entry host's link in bytes a second: the transfer takes several times as long as operators wait.
constexpr std::uint64_t SlowLinkRate = 20'000;
/// Time in which operators expect an answer.
constexpr auto AcknowledgeTimeout = 1s;

} // namespace

TEST_CASE("a removed route is not served once the removal is acknowledged, however late the update")
{
    ServingSystem serving(ControlLink::Proxied, UpdateLease, AcknowledgeTimeout);
    REQUIRE(serving.statusOf("/p/x") == 200);
    serving.system.proxy->narrow(SlowLinkRate);
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
    CHECK(statusFor("z2") == 200); // no other host there, and all hosts are known
    system.restartAll();
    REQUIRE(System::eventually([&] { return statusFor("z1") == 200; }));
    CHECK(statusFor("z2") == 503); // hosts of that region may not have reported yet
}
