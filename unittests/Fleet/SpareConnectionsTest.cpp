//===- SpareConnectionsTest.cpp - Connections to targets of other regions -===//
#include "System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

const std::string OpenedOne = R"(pepperlug_spare_connections{event="opened"} 1)";
const std::string OpenedNone = R"(pepperlug_spare_connections{event="opened"} 0)";
const std::string UsedOne = R"(pepperlug_spare_connections{event="used"} 1)";
/// The connection of a call counts as open for 8 s after it, and the metrics are updated once a second.
constexpr auto OpeningTime = 11s;

} // namespace

// Guards against spare connections that are never opened or used, and against those to targets of the same region.
TEST_CASE("an entry host opens spare connections to targets of other regions only")
{
    const bool isInOtherRegion = GENERATE(true, false);
    System system;
    FakeTarget target("i-1");
    int sequence = 0;
    const auto report = [&] {
        nlohmann::json json = System::reportOf(target, ++sequence);
        json["zone"] = isInOtherRegion ? "z2" : "z1";
        return system.sendReport("i-1", json.dump()).status == 200;
    };
    const auto metricsHave = [&](const std::string &text) {
        return system.metrics().body.find(text) != std::string::npos;
    };
    const auto isServed = [&] {
        return system.get(system.gateway->callersAddress(), "/p/x").status == 200;
    };
    system.putTable("r2", "0");
    REQUIRE(System::eventually(report));
    REQUIRE(system.becomesReady());
    REQUIRE(isServed());
    CHECK_FALSE(metricsHave("pepperlug_spare_connections")); // the setting is 0
    system.restartEntryHost(5);
    REQUIRE(system.becomesReady());
    REQUIRE(isServed());
    const auto end = std::chrono::steady_clock::now() + OpeningTime;
    while (std::chrono::steady_clock::now() < end && !metricsHave(OpenedOne)) {
        REQUIRE(report());
        std::this_thread::sleep_for(100ms);
    }
    CHECK(metricsHave(isInOtherRegion ? OpenedOne : OpenedNone));
    CHECK(isServed());
    CHECK(target.runs() == 3);
    if (isInOtherRegion) {
        CHECK(System::eventually([&] { return metricsHave(UsedOne); }));
    }
}
