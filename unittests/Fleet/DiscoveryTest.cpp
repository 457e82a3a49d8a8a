//===- DiscoveryTest.cpp - When an entry host knows the control hosts -----===//
#include "Fleet/Discovery.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);

/// FleetControlHostsReply of earlier versions.
struct OldReply {
    std::vector<HostReport> hosts;
    MSGPACK_DEFINE(hosts);
};

FleetControlHostsReply listOf(const std::vector<std::string> &zones, bool isComplete)
{
    FleetControlHostsReply list;
    list.isComplete = isComplete;
    for (const std::string &zone : zones) {
        HostReport host;
        host.id = "control-" + zone;
        host.zone = zone;
        host.role = HostRole::Control;
        list.hosts.push_back(host);
    }
    return list;
}

} // namespace

TEST_CASE("where all hosts start at once, an entry host waits a while for a control host of its zone", "[scale]")
{
    struct Case {
        const char *what;
        FleetControlHostsReply list;
        Duration after;
        bool isDone;
    };
    const std::vector<Case> cases{
        {"one of its zone", listOf({"z2", "z1"}, false), 0ms, true},
        {"others, and the seed has just started", listOf({"z2"}, false), 0ms, false},
        {"others, and the seed knows all", listOf({"z2"}, true), 0ms, true},
        {"others, for a second", listOf({"z2"}, false), 900ms, false},
        {"others, for longer", listOf({"z2"}, false), 1100ms, true},
        {"none", listOf({}, false), 0ms, true},
    };
    for (const Case &it : cases) {
        INFO(it.what);
        Discovery discovery("z1");
        if (it.after > Duration(0)) {
            discovery.recordList(listOf({"z3"}, false), Start);
        }
        discovery.recordList(it.list, Start + it.after);
        CHECK(discovery.isDone() == it.isDone);
    }
}

TEST_CASE("an entry host that reaches no seed follows the seeds in turn")
{
    Discovery discovery("z1");
    discovery.recordFailure(false);
    CHECK_FALSE(discovery.isDone());
    CHECK(discovery.retryDelay() < 500ms);
    discovery.recordFailure(true);
    CHECK(discovery.isDone());
}

TEST_CASE("a list of a control host from before lists were marked counts as complete")
{
    const auto read = decode<FleetControlHostsReply>(encode(OldReply{listOf({"z2"}, false).hosts}), "seed");
    CHECK(read.hosts.size() == 1);
    CHECK(read.isComplete);
}
