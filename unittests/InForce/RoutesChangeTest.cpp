//===- RoutesChangeTest.cpp - Requests that are open while the routes change ---===//
//
// Guards against requests that run outside the home regions of their route, or by routes that an acknowledged change
// replaced seconds before. A request kept a copy of its route from its arrival to its end, which may be 20 s later, and
// was sent a second time, after a loss, a refusal or a silence of its first target, by that copy: to a region that was
// no home any more, to a service that the route no longer named, or although the route was removed. Its host had
// confirmed the change long before, but checked only the target again and not the route in force. A single host shows
// the fault; it needs neither a slow link nor special timing.
//
//===----------------------------------------------------------------------===//
#include "Balance/BalanceFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

/// A host with a target of service "s" in its own region r1 and one in r2, and the same for service "other".
class ChangingHost : public Host
{
public:
    explicit ChangingHost(std::uint64_t seed = 1)
        : Host("z1", seed)
    {
        table.services.push_back({"other", 100, 3s, 4});
        useTable();
        for (const char *service : {"s", "other"}) {
            for (const char *zone : {"z1", "z3"}) {
                TargetReport it = targetOf(std::string(service) + "-" + zone, zone);
                it.service = service;
                report(it);
            }
        }
    }

    Route &route(std::size_t n = 0)
    {
        return table.routes[n];
    }

    void putTable()
    {
        ++table.version;
        useTable();
    }

    /// Starts a request whose first attempt goes to r1, the only home region, and returns its id.
    RequestId requestInRegionOne(const std::string &path)
    {
        route().homeRegions = route(1).homeRegions = {"r1"};
        putTable();
        const RequestId id = request(path);
        REQUIRE(find<StartAttempt>() != nullptr);
        REQUIRE(find<StartAttempt>()->zone == "z1");
        return id;
    }
};

std::string regionOfZone(const std::string &zone)
{
    return Host::settingsOf(zone, 1).regionOfZone.at(zone);
}

} // namespace

TEST_CASE("a retry goes to the home regions in force at that time")
{
    ChangingHost host;
    const RequestId id = host.requestInRegionOne("/once/x");
    host.route(1).homeRegions = {"r2"};
    host.putTable();
    host.end(id, 1, AttemptOutcome::NotSent);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "s-z3");
}

TEST_CASE("a retry goes to the service that the route names at that time")
{
    ChangingHost host;
    const RequestId id = host.requestInRegionOne("/once/x");
    host.route(1).services = {{"other", 1}};
    host.putTable();
    host.end(id, 1, AttemptOutcome::NotSent);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "other-z1");
}

TEST_CASE("a request whose route was removed is not retried")
{
    ChangingHost host;
    const RequestId once = host.request("/once/x");
    const RequestId read = host.request("/read/x");
    host.table.routes.clear();
    host.putTable();
    host.end(once, 1, AttemptOutcome::NotSent);
    CHECK(host.find<StartAttempt>() == nullptr);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(promisesNotRun(host.find<RefuseRequest>()->reason));
    host.end(read, 1, AttemptOutcome::Lost);
    CHECK(host.find<StartAttempt>() == nullptr);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK_FALSE(promisesNotRun(host.find<RefuseRequest>()->reason));
}

TEST_CASE("a request is not retried once its route allows only one attempt, or only one run")
{
    ChangingHost host;
    const RequestId id = host.request("/read/x");
    host.route().attempts = 1;
    host.putTable();
    host.end(id, 1, AttemptOutcome::NotSent);
    CHECK(host.find<StartAttempt>() == nullptr);

    ChangingHost other;
    const RequestId read = other.request("/read/x");
    other.route().kind = RouteKind::OnceOnly;
    other.putTable();
    other.end(read, 1, AttemptOutcome::Lost);
    CHECK(other.find<StartAttempt>() == nullptr);
}

TEST_CASE("a request that waits for a connection is withdrawn once its route has another destination")
{
    ChangingHost host;
    const RequestId id = host.requestInRegionOne("/once/x");
    REQUIRE(host.balancer.maySend(id, 1));
    host.putTable();
    CHECK(host.balancer.maySend(id, 1)); // another version with the same destination
    SECTION("to other home regions")
    {
        host.route(1).homeRegions = {"r2"};
    }
    SECTION("to another service")
    {
        host.route(1).services = {{"other", 1}};
    }
    SECTION("to its service with no share")
    {
        host.route(1).services = {{"s", 0}, {"other", 1}};
    }
    SECTION("nowhere")
    {
        host.table.routes.clear();
    }
    host.putTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
}

TEST_CASE("a withdrawn request is placed again, and does not count against its target")
{
    ChangingHost host;
    const RequestId id = host.requestInRegionOne("/once/x");
    host.route(1).services = {{"other", 1}};
    host.putTable();
    host.end(id, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "other-z1");
    CHECK(host.find<StartAttempt>()->tableVersion == host.table.version);
    host.request("/read/x");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "s-z1");
}

TEST_CASE("a host that has known of newer routes for a lease makes no decisions until it receives them")
{
    ChangingHost host;
    const RequestId waiting = host.request("/once/x");
    const TimePoint learnedAt = host.now;
    host.reduce(UpdateReceived{host.now, learnedAt});
    host.now += UpdateLease;
    host.reduce(BalanceTick{});
    CHECK_FALSE(host.balancer.isSuspended());
    CHECK(host.balancer.maySend(waiting, 1));
    host.now += 1ms;
    host.reduce(BalanceTick{});
    REQUIRE(host.balancer.isSuspended());
    CHECK_FALSE(host.balancer.maySend(waiting, 1));
    host.end(waiting, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::RoutingLate);
    for (const char *path : {"/read/x", "/unknown/x"}) {
        host.request(path);
        REQUIRE(host.find<RefuseRequest>() != nullptr);
        CHECK(host.find<RefuseRequest>()->reason == Refusal::RoutingLate);
        CHECK(host.find<RefuseRequest>()->retryAfter > 0ms);
    }
    SECTION("the routes arrive")
    {
        host.putTable();
        host.reduce(UpdateReceived{host.now});
    }
    SECTION("one change arrives, and another that it has confirmed is still missing")
    {
        host.putTable();
        host.reduce(UpdateReceived{host.now, host.now});
        CHECK(host.balancer.isSuspended());
        host.putTable();
        host.reduce(UpdateReceived{host.now});
    }
    SECTION("it finds that it can't decode what it has confirmed")
    {
        host.reduce(UpdateReceived{host.now, learnedAt, false});
        CHECK(host.balancer.isSuspended());
        host.putTable();
        host.reduce(UpdateReceived{host.now});
    }
    SECTION("it is cut off, so no host waits for it")
    {
        host.reduce(UpdateReceived{host.now, learnedAt});
        host.now += 2 * UpdateLease;
        host.reduce(BalanceTick{});
        REQUIRE(host.balancer.isSuspended());
        host.now += 1ms;
        host.reduce(BalanceTick{});
    }
    CHECK_FALSE(host.balancer.isSuspended());
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a host that can't decode newer routes, or that is cut off, goes on using its own")
{
    ChangingHost host;
    UpdateReceived update{host.now};
    SECTION("it can't decode them")
    {
        update.behindSince = host.now;
        update.isArriving = false;
    }
    SECTION("it has not received any")
    {
    }
    host.reduce(update);
    host.now += 10 * UpdateLease;
    host.reduce(BalanceTick{});
    CHECK_FALSE(host.balancer.isSuspended());
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a request to a silent target is hedged by the routes in force at that time")
{
    ChangingHost host;
    host.requestInRegionOne("/read/x");
    host.route().homeRegions = {"r2"};
    host.putTable();
    host.now += 1600ms;
    host.reduce(BalanceTick{});
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "s-z3");
}

TEST_CASE("whatever changes, each attempt is one that the newest table allows")
{
    CHECK(rc::check([] {
        ChangingHost host(*rc::gen::arbitrary<std::uint64_t>());
        std::map<std::uint64_t, std::vector<unsigned>> open;
        std::map<std::uint64_t, std::string> paths;
        const auto checkEffects = [&] {
            for (const BalanceEffect &effect : host.effects) {
                if (const auto *refuse = std::get_if<RefuseRequest>(&effect)) {
                    open.erase(static_cast<std::uint64_t>(refuse->id));
                }
                const auto *start = std::get_if<StartAttempt>(&effect);
                if (start == nullptr) {
                    continue;
                }
                const auto id = static_cast<std::uint64_t>(start->id);
                const Route *route = host.table.match("h", paths.at(id));
                RC_ASSERT(route != nullptr);
                RC_ASSERT(start->attempt <= route->attempts);
                RC_ASSERT(std::any_of(route->services.begin(), route->services.end(),
                                      [&](const WeightedService &it) { return it.service == start->service; }));
                RC_ASSERT(start->target.rfind(start->service + "-", 0) == 0);
                const std::vector<std::string> &homes = route->homeRegions;
                RC_ASSERT(homes.empty()
                          || std::find(homes.begin(), homes.end(), regionOfZone(start->zone)) != homes.end());
                open[id].push_back(start->attempt);
            }
        };
        const auto changeRoute = [&](int choice) {
            host.table.routes = {Host::routeOf("/read/", RouteKind::Repeatable),
                                 Host::routeOf("/once/", RouteKind::OnceOnly)};
            Route &route = host.route(static_cast<std::size_t>(choice % 2));
            switch (choice / 2) {
            case 0:
                route.homeRegions = {"r1"};
                break;
            case 1:
                route.homeRegions = {"r2"};
                break;
            case 2:
                route.services = {{"other", 1}};
                break;
            case 3:
                route.services = {{"s", 1}, {"other", 1}};
                break;
            case 4:
                route.attempts = 1;
                break;
            default:
                host.table.routes.erase(host.table.routes.begin() + choice % 2);
            }
            host.putTable();
        };
        const int steps = *rc::gen::inRange(10, 60);
        for (int n = 0; n < steps; ++n) {
            host.now += Milliseconds(*rc::gen::element(1, 40, 700));
            const int step = *rc::gen::inRange(0, 6);
            if (step < 2) {
                const std::string path = step == 0 ? "/read/x" : "/once/x";
                paths[host.lastRequest + 1] = path;
                host.request(path, *rc::gen::element<std::string>("", "a", "b"));
            } else if (step == 2) {
                changeRoute(*rc::gen::inRange(0, 12));
            } else if (step == 3 || open.empty()) {
                host.reduce(BalanceTick{});
            } else {
                const auto it = open.begin();
                const unsigned attempt = it->second.back();
                const auto id = static_cast<RequestId>(it->first);
                it->second.pop_back();
                if (it->second.empty()) {
                    open.erase(it);
                }
                host.end(id, attempt,
                         *rc::gen::element(AttemptOutcome::NotSent, AttemptOutcome::Shed, AttemptOutcome::Lost,
                                           AttemptOutcome::WrongTarget));
            }
            checkEffects();
        }
    }));
}
