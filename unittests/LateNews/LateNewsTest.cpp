//===- LateNewsTest.cpp - What is acknowledged holds at hosts that hear late ---===//
//
// Seen: on entry hosts with narrow links, requests ran by routes that had been replaced 3 s before, callers were told
// 404 on routes that had been acknowledged, and targets got requests 2.5 s after their departure had been acknowledged.
// All within 6 s of a change to a routing table of some thousand routes. How it came about: the whole table, some 0.8
// MB, went to each entry host with each change; the link needs 1.4 s for it. After 1.2 s the entry host gave the reply
// up and asked another control host, which began anew. The links were full of it, and what else was new, departures of
// targets above all, was in the same reply behind the table. Cause: a change or a departure was acknowledged once the
// control hosts knew it, whether or not those knew who could break the promise; and news grew with the size of what
// they were about. Proved by: received bytes of all entry hosts (60 KB a second before, 430 to 650 in the 6 s after),
// the control hosts' lines (all knew within 0.1 s, no leader changed) and the processor time of entry hosts (0 to 3 %).
//
//===----------------------------------------------------------------------===//
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Routes of the table that is changed; its document has some 0.6 MB.
constexpr int ManyRoutes = 4000;
/// Of the narrow link, in bytes a second: the document needs longer than any host waits for a reply.
constexpr std::uint64_t NarrowRate = 200'000;
/// Of a link that callers fill, in bytes a second.
constexpr std::uint64_t TrickleRate = 20'000;

std::vector<std::string> manyPrefixes()
{
    std::vector<std::string> prefixes{"/p/"};
    for (int n = 0; n < ManyRoutes; ++n) {
        prefixes.push_back("/many" + std::to_string(n) + "/");
    }
    return prefixes;
}

/// A system that serves by a large table, with one target, over a link that can be spoiled.
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

TEST_CASE("a change that is acknowledged is in force at a host on a narrow link")
{
    LargeSystem large;
    large.system.proxy->narrow(NarrowRate);
    large.prefixes.push_back("/new/");
    large.system.putTable("r4", "r3", large.prefixes);
    CHECK(large.statusOf("/new/x") == 200);
}

TEST_CASE("a target whose departure is acknowledged gets nothing new, though a table is on its way")
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

TEST_CASE("a departure is acknowledged once a host with a long way knows of it")
{
    ServingSystem serving(ControlLink::Proxied);
    serving.system.proxy->set(soak::LinkFault::Delay);
    serving.drainUntilAcknowledged();
    const int runs = serving.target.runs();
    CHECK(serving.statusOf("/p/x") == 503);
    CHECK(serving.target.runs() == runs);
}

TEST_CASE("a host whose news trickle in is waited for as long as it lives")
{
    ServingSystem serving(ControlLink::Proxied, UpdateLease);
    System &system = serving.system;
    system.proxy->narrow(TrickleRate);
    // The change needs several times as long as a silent host is waited for.
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
    CHECK(serving.statusOf(prefixes.back() + "x") == 503); // known, with no target left
}

TEST_CASE("a host that is cut off serves on, and does not deny routes that it may have missed")
{
    ServingSystem serving(ControlLink::Proxied, UpdateLease);
    CHECK(serving.statusOf("/new/x") == 404);
    serving.system.proxy->set(soak::LinkFault::Silent);
    CHECK(System::eventually([&] { return serving.statusOf("/new/x") == 503; }));
    CHECK(serving.statusOf("/p/x") == 200);
}
