//===- RoutesTest.cpp - Matching, checks and replicated routing state -----===//
#include "pepperlug/Routes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

Route route(const std::string &prefix, const std::string &service = "s")
{
    Route it;
    it.name = "r" + prefix;
    it.host = "a.example";
    it.prefix = prefix;
    it.timeout = 2s;
    it.objective = 400ms;
    it.services = {{service, 1}};
    it.attempts = 2;
    return it;
}

RouteTable table()
{
    RouteTable it;
    it.version = 3;
    it.services = {{"s", 10, 3s, 4}};
    it.routes = {route("/a/"), route("/a/b/")};
    return it;
}

RoutingCommand put(std::uint64_t base, std::uint64_t version, const std::string &text = "text")
{
    return {RoutingCommandKind::PutTable, base, version, text, {}};
}

} // namespace

TEST_CASE("the longest prefix of the host's routes is chosen")
{
    const RouteTable it = table();
    CHECK(it.match("a.example", "/a/b/c")->prefix == "/a/b/");
    CHECK(it.match("a.example", "/a/x")->prefix == "/a/");
    CHECK(it.match("a.example", "/ab") == nullptr);
    CHECK(it.match("b.example", "/a/x") == nullptr);
}

TEST_CASE("an index finds the route that a linear search finds")
{
    // Few letters, so that prefixes of each other, near misses and routes with the same host and prefix occur; and
    // prefixes that don't begin or end with a slash, as an unchecked table may have.
    const auto text = rc::gen::container<std::string>(rc::gen::elementOf(std::string("//ab\xff")));
    CHECK(rc::check([&] {
        auto it = std::make_shared<RouteTable>();
        const auto routes = *rc::gen::inRange(0, 40);
        for (int n = 0; n < routes; ++n) {
            it->routes.push_back(route(*text));
            it->routes.back().host = *rc::gen::elementOf(std::vector<std::string>{"", "a", "b"});
        }
        const RouteIndex index(it);
        std::size_t found = 0;
        for (int n = 0; n < 40; ++n) {
            const std::string host = *rc::gen::elementOf(std::vector<std::string>{"", "a", "b", "c"});
            std::string path = *text;
            if (n % 2 == 0 && !it->routes.empty()) {
                path.insert(0, (*rc::gen::elementOf(it->routes)).prefix);
            }
            RC_ASSERT(index.match(host, path) == it->match(host, path));
            found += index.match(host, path) == nullptr ? 0 : 1;
        }
        RC_CLASSIFY(found > 10, "more than 10 of 40 found");
    }));
}

TEST_CASE("an index finds each of many routes, and a shorter one where a longer one does not match")
{
    auto it = std::make_shared<RouteTable>();
    for (int n = 0; n < 4000; ++n) {
        it->routes.push_back(route("/a/" + std::to_string(n) + "/"));
        it->routes.back().host = "host" + std::to_string(n % 40);
    }
    it->routes.push_back(route("/a/"));
    it->routes.back().host = "host7";
    const RouteIndex index(it);
    for (const Route &each : it->routes) {
        CHECK(index.match(each.host, each.prefix + "x") == &each);
    }
    CHECK(index.match("host7", "/a/7x/")->prefix == "/a/");
    CHECK(index.match("host8", "/a/7x/") == nullptr);
    CHECK(index.match("host40", "/a/7/") == nullptr);
}

TEST_CASE("each fault of a table is a finding of its own")
{
    REQUIRE(checkRouteTable(table(), "f").empty());
    RouteTable bad = table();
    SECTION("unknown service")
    {
        bad.routes[0].services[0].service = "x";
    }
    SECTION("two routes with the same host and prefix")
    {
        bad.routes[1].prefix = bad.routes[0].prefix;
    }
    SECTION("weights that sum to 0")
    {
        bad.routes[0].services[0].weight = 0;
    }
    SECTION("an objective a minute past the time limit")
    {
        bad.routes[0].objective = bad.routes[0].timeout + 60s;
    }
    SECTION("no attempts")
    {
        bad.routes[0].attempts = 0;
    }
    SECTION("a prefix without a slash at its end")
    {
        bad.routes[0].prefix = "/a";
    }
    SECTION("a key that two tenants share")
    {
        bad.tenants = {{"t1", {"k1", "k2"}}, {"t2", {"k3", "k2"}}};
    }
    SECTION("a key that a tenant has twice")
    {
        bad.tenants = {{"t1", {"k1", "k1"}}};
    }
    SECTION("two tenants of one name")
    {
        bad.tenants = {{"t1", {"k1"}}, {"t1", {"k2"}}};
    }
    SECTION("a tenant without a name")
    {
        bad.tenants = {{"", {"k1"}}};
    }
    SECTION("a rate below 0")
    {
        bad.tenants = {{"t1", {"k1"}, {}, {-1, 0}}};
    }
    SECTION("a burst that is not a number")
    {
        bad.tenants = {{"t1", {"k1"}, {}, {1, std::numeric_limits<double>::quiet_NaN()}}};
    }
    CHECK(checkRouteTable(bad, "f").size() == 1);
}

TEST_CASE("a finding on a key that two tenants share names its path, never the key")
{
    RouteTable bad = table();
    bad.tenants = {{"t1", {"secret"}}, {"t2", {"other", "secret"}}};
    const Finding finding = checkRouteTable(bad, "f").at(0);
    CHECK(finding.path == "tenants[1].keys[1]");
    CHECK(finding.reason == "is also a key of tenants[0]");
}

TEST_CASE("an index finds the tenant that holds a key")
{
    auto shared = std::make_shared<RouteTable>(table());
    shared->tenants = {{"t1", {"k1", "k2"}}, {"t2", {}}, {"t3", {"k3"}}};
    const RouteIndex index(shared);
    CHECK(index.tenantOf("k2")->name == "t1");
    CHECK(index.tenantOf("k3")->name == "t3");
    CHECK(index.tenantOf("k") == nullptr);
    CHECK(index.tenantOf("") == nullptr);
}

TEST_CASE("home regions of a tenant alone are home regions of the table")
{
    RouteTable bound = table();
    for (Route &it : bound.routes) {
        it.homeRegions.clear();
    }
    CHECK_FALSE(bound.hasHomeRegions());
    bound.tenants = {{"t1", {"k1"}, {}, {}, {"r1"}}};
    CHECK(bound.hasHomeRegions());
    CHECK(bound.routesWithHomeRegions() == 0);
}

TEST_CASE("a weight below 0 is a finding although the sum is positive")
{
    RouteTable bad = table();
    bad.routes[0].services = {{"s", 2}, {"s", -1}};
    CHECK(checkRouteTable(bad, "f").size() == 1);
}

TEST_CASE("of two changes based on the same version one is applied")
{
    RoutingState state;
    CHECK(state.apply(put(0, 4, "one"), 1) == RoutingResult::Done);
    CHECK(state.apply(put(0, 5, "two"), 2) == RoutingResult::Conflict);
    CHECK(state.version() == 4);
    CHECK(state.text() == "one");
}

TEST_CASE("a change that was applied is acknowledged again, even after later changes")
{
    RoutingState state;
    state.apply(put(0, 4, "one"), 1);
    state.apply(put(4, 9, "two"), 2);
    CHECK(state.apply(put(0, 4, "one"), 3) == RoutingResult::AlreadyDone);
    CHECK(state.version() == 9);
    CHECK(state.index() == 2);
}

TEST_CASE("the same version with another text, or based on another version, is no retry")
{
    RoutingState state;
    state.apply(put(0, 4, "one"), 1);
    CHECK(state.apply(put(0, 4, "other"), 2) == RoutingResult::Conflict);
    CHECK(state.apply(put(4, 4, "one"), 3) == RoutingResult::NotNewer);
    CHECK(state.text() == "one");
}

TEST_CASE("a repeated evacuation has no effect, and a snapshot holds the whole state")
{
    RoutingState state;
    state.apply(put(0, 4, "one"), 1);
    const RoutingCommand evacuate{RoutingCommandKind::EvacuateZone, 0, 0, {}, "z1"};
    CHECK(state.apply(evacuate, 2) == RoutingResult::Done);
    CHECK(state.apply(evacuate, 3) == RoutingResult::AlreadyDone);
    RoutingState copy;
    copy.restore(state.snapshot());
    CHECK(copy.index() == 2);
    CHECK(copy.evacuatedZones() == std::set<std::string>{"z1"});
    CHECK(copy.apply(put(0, 4, "one"), 4) == RoutingResult::AlreadyDone);
    CHECK(copy.apply({RoutingCommandKind::ReturnZone, 0, 0, {}, "z1"}, 5) == RoutingResult::Done);
    CHECK(copy.evacuatedZones().empty());
}
