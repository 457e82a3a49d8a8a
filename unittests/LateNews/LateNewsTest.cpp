//===- LateNewsTest.cpp - Acknowledged changes on slow links --------------===//
//
// Guards against acknowledgements that don't hold on entry hosts with narrow links. Changes and departures were
// acknowledged once the control hosts knew them, whether or not the entry hosts did. Each change sent the whole routing
// table of some 0.8 MB, which took 1.4 s on the link, but the entry host gave the reply up after 1.2 s and started
// again at another control host; departures of targets queued behind the table in the same reply. For 6 s after a
// change, requests ran by routes replaced 3 s before, callers got 404 for acknowledged routes, and targets got requests
// 2.5 s after their acknowledged departure.
//
//===----------------------------------------------------------------------===//
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Routes of the changed table, whose document has about 0.6 MB.
constexpr int ManyRoutes = 4000;
/// Narrow link, in bytes a second: the document takes longer than any host waits for a reply.
constexpr std::uint64_t NarrowRate = 200'000;
/// Link that callers fill, in bytes a second.
constexpr std::uint64_t SlowRate = 20'000;

std::vector<std::string> manyPrefixes()
{
    std::vector<std::string> prefixes{"/p/"};
    for (int n = 0; n < ManyRoutes; ++n) {
        prefixes.push_back("/many" + std::to_string(n) + "/");
    }
    return prefixes;
}

/// A system with a large table and one target, over a link with injected faults.
struct LargeSystem : ServingSystem {
    LargeSystem()
        : ServingSystem(ControlLink::Proxied)
        , prefixes(manyPrefixes())
    {
        system.putTable("r3", "r2", prefixes);
        REQUIRE(System::eventually([&] { return statusOf("/many0/x") == 200; }));
    }

    std::vector<std::string> prefixes;
};

} // namespace

TEST_CASE("an acknowledged change is in force at a host on a narrow link")
{
    LargeSystem large;
    large.system.proxy->narrow(NarrowRate);
    large.prefixes.push_back("/new/");
    large.system.putTable("r4", "r3", large.prefixes);
    CHECK(large.statusOf("/new/x") == 200);
}

TEST_CASE("a target gets no new requests after its departure is acknowledged while a table is being sent")
{
    LargeSystem large;
    large.system.proxy->narrow(NarrowRate);
    large.prefixes.push_back("/new/");
    std::future<void> change =
        std::async(std::launch::async, [&] { large.system.putTable("r4", "r3", large.prefixes); });
    large.drainUntilAcknowledged();
    const int runs = large.target.runs();
    CHECK(large.statusOf("/p/x") == 503);
    CHECK(large.target.runs() == runs);
    change.get();
}

TEST_CASE("a departure is acknowledged once a host on a slow link knows it")
{
    ServingSystem serving(ControlLink::Proxied);
    serving.system.proxy->set(soak::LinkFault::Delay);
    serving.drainUntilAcknowledged();
    const int runs = serving.target.runs();
    CHECK(serving.statusOf("/p/x") == 503);
    CHECK(serving.target.runs() == runs);
}

TEST_CASE("acknowledgements wait for a live host that receives updates slowly")
{
    ServingSystem serving(ControlLink::Proxied, UpdateLease);
    System &system = serving.system;
    system.proxy->narrow(SlowRate);
    // The change takes several times as long as a silent host is waited for.
    std::vector<std::string> prefixes = incompressiblePrefixes(ManyRoutes);
    prefixes.insert(prefixes.begin(), "/p/");
    std::future<void> change = std::async(std::launch::async, [&] { system.putTable("r3", "r2", prefixes); });
    REQUIRE(System::eventually(
        [&] { return system.metrics().body.find("pepperlug_routing_behind 1") != std::string::npos; }));
    serving.drainUntilAcknowledged();
    const int runs = serving.target.runs();
    CHECK(serving.statusOf("/p/x") == 503);
    CHECK(serving.target.runs() == runs);
    change.get();
    CHECK(serving.statusOf(prefixes.back() + "x") == 503); // a known route without targets
}

TEST_CASE("a partitioned host keeps serving, and answers 503 for routes that it may lack")
{
    ServingSystem serving(ControlLink::Proxied, UpdateLease);
    CHECK(serving.statusOf("/new/x") == 404);
    serving.system.proxy->set(soak::LinkFault::Silent);
    CHECK(System::eventually([&] { return serving.statusOf("/new/x") == 503; }));
    CHECK(serving.statusOf("/p/x") == 200);
}
