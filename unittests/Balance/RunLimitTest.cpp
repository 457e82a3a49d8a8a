//===- RunLimitTest.cpp - How often a request may run ---------------------===//
#include "Balance/RunLimit.h"
#include "Balance/LoosenedRoutes.h"
#include "BalanceFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr int Steps = 60;
constexpr const char *HoldPath = "/books/hold/x";

/// Routes that may lead the requests of HoldPath, one version each.
std::vector<std::vector<Route>> routeVersions()
{
    const Route reads = Host::routeOf("/books/", RouteKind::Repeatable);
    const Route readsBelow = Host::routeOf("/books/hold/", RouteKind::Repeatable);
    const Route writes = Host::routeOf("/books/", RouteKind::OnceOnly);
    const Route writesBelow = Host::routeOf("/books/hold/", RouteKind::OnceOnly);
    return {{reads, writesBelow}, {reads}, {reads, readsBelow}, {writes}, {writes, readsBelow}};
}

/// A host whose routing, time and outcomes the test draws.
class HoldHost : public Host
{
public:
    HoldHost()
        : Host(settings())
    {
        setRoutes(routeVersions().front());
        for (const char *id : {"t1", "t2", "t3", "t4", "t5", "t6"}) {
            report(targetOf(id));
        }
        for (const char *id : {"e2", "e3"}) {
            HostReport entry = entryOf(id, "z1");
            entry.address = "10.9.0.1:80";
            report(entry);
        }
    }

    using Host::report;

    static BalanceSettings settings()
    {
        BalanceSettings it = settingsOf("z1", 1);
        it.retries = {1, 10s, 1000};
        return it;
    }

    void setRoutes(std::vector<Route> routes)
    {
        for (Route &it : routes) {
            it.attempts = 4;
            it.timeout = 20s;
        }
        table.routes = std::move(routes);
        ++table.version;
        ++routingIndex;
        useTable();
    }
};

/// Whether the requests of a host may run again, as its events tell.
class RunHistory
{
public:
    void step()
    {
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
            changeRoutes();
            break;
        case 1:
            request();
            break;
        case 2:
        case 3:
            m_host.now += *rc::gen::element(300ms, 3000ms);
            apply(BalanceTick{});
            break;
        case 4:
            m_reachesTargets = !m_reachesTargets;
            break;
        default:
            endAttempt();
        }
    }

    std::size_t repeated = 0; ///< attempts beside or after one that may have run

private:
    struct Request {
        bool isRepeatable = true; ///< by each routing since it arrived
        bool mayHaveRun = false;
        std::set<unsigned> running;
    };

    void changeRoutes()
    {
        m_host.setRoutes(*rc::gen::elementOf(routeVersions()));
        noteKinds();
        applyEffects();
    }

    void request()
    {
        const auto id = static_cast<std::uint64_t>(m_host.lastRequest + 1);
        m_requests[id] = {};
        noteKinds();
        m_host.request(HoldPath);
        applyEffects();
    }

    void noteKinds()
    {
        const Route *route = m_host.table.match("h", HoldPath);
        for (auto &[id, request] : m_requests) {
            request.isRepeatable &= route == nullptr || route->kind == RouteKind::Repeatable;
        }
    }

    void endAttempt()
    {
        std::vector<std::pair<std::uint64_t, unsigned>> running;
        for (const auto &[id, request] : m_requests) {
            for (const unsigned attempt : request.running) {
                running.emplace_back(id, attempt);
            }
        }
        if (running.empty()) {
            return;
        }
        const auto [id, attempt] = *rc::gen::elementOf(running);
        const auto outcome = *rc::gen::element(AttemptOutcome::NotSent, AttemptOutcome::Withdrawn, AttemptOutcome::Shed,
                                               AttemptOutcome::Lost, AttemptOutcome::TimedOut, AttemptOutcome::Endless);
        Request &request = m_requests.at(id);
        request.running.erase(attempt);
        request.mayHaveRun |= outcome == AttemptOutcome::Lost || outcome == AttemptOutcome::TimedOut
            || outcome == AttemptOutcome::Endless;
        apply(AttemptEnded{static_cast<RequestId>(id), attempt, outcome, {}, 0});
    }

    void apply(const BalanceEvent &event)
    {
        m_host.reduce(event);
        applyEffects();
    }

    void applyEffects()
    {
        const BalanceEffects effects = m_host.effects;
        for (const BalanceEffect &effect : effects) {
            if (const auto *started = std::get_if<StartAttempt>(&effect)) {
                Request &request = m_requests.at(static_cast<std::uint64_t>(started->id));
                const bool isRepeated = request.mayHaveRun || !request.running.empty();
                RC_ASSERT(!isRepeated || request.isRepeatable);
                repeated += isRepeated ? 1 : 0;
                request.running.insert(started->attempt);
            } else if (const auto *cancelled = std::get_if<CancelAttempt>(&effect)) {
                Request &request = m_requests.at(static_cast<std::uint64_t>(cancelled->id));
                request.running.erase(cancelled->attempt);
                request.mayHaveRun = true;
            } else if (const auto *probe = std::get_if<ProbeTarget>(&effect)) {
                apply(TargetProbed{probe->service, m_reachesTargets ? ProbeResult::Answered : ProbeResult::Failed});
            }
        }
    }

    HoldHost m_host;
    bool m_reachesTargets = true;
    std::map<std::uint64_t, Request> m_requests;
};

} // namespace

// Guards against a limit that a later route takes back.
TEST_CASE("a request that was once-only by any of its routes stays so, and may be sent until it may have run")
{
    RunLimit limit;
    limit.restrictTo(RouteKind::Repeatable);
    CHECK(limit.isRepeatable());
    limit.restrictTo(RouteKind::OnceOnly);
    limit.restrictTo(RouteKind::Repeatable);
    CHECK_FALSE(limit.isRepeatable());
    CHECK(limit.mayRunNow());
    limit.recordRun();
    CHECK_FALSE(limit.mayRunNow());
}

// Guards against a request that runs twice because the route that it was accepted under is replaced while it runs.
TEST_CASE("a request that may run once is not sent again after its route was replaced by one for repeatable requests")
{
    for (const AttemptOutcome outcome : {AttemptOutcome::Lost, AttemptOutcome::TimedOut, AttemptOutcome::Endless}) {
        for (const std::size_t version : {1, 2}) {
            HoldHost host;
            const RequestId id = host.request(HoldPath);
            REQUIRE(host.find<StartAttempt>() != nullptr);
            host.setRoutes(routeVersions().at(version));
            host.end(id, 1, outcome);
            CHECK(host.find<StartAttempt>() == nullptr);
            REQUIRE(host.find<RefuseRequest>() != nullptr);
            CHECK_FALSE(promisesNotRun(host.find<RefuseRequest>()->reason));
        }
    }
}

// Guards against a second run beside the first one, where an attempt that was not sent has brought in the newer route.
TEST_CASE("a request that may run once is not hedged after its route was replaced by one for repeatable requests")
{
    HoldHost host;
    const RequestId id = host.request(HoldPath);
    host.setRoutes(routeVersions().at(1));
    host.end(id, 1, AttemptOutcome::NotSent);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    for (int n = 0; n < 40; ++n) {
        host.now += 100ms;
        host.reduce(BalanceTick{});
        CHECK(host.find<StartAttempt>() == nullptr);
    }
}

// Guards against a second run of a request that was sent by replaced routes and has arrived under the newer ones.
TEST_CASE("a request that a replaced table allowed to run once is not sent again if it was under way at the change")
{
    struct Example {
        Duration sinceChange{};
        Duration age{};
        bool isRepeated = false;
    };
    for (const Example &it : {Example{500ms, 0ms, false}, Example{8s, 7s, false}, Example{8s, 0ms, true}}) {
        HoldHost host;
        host.setRoutes(routeVersions().at(1));
        host.now += it.sinceChange;
        CallerRequest request{static_cast<RequestId>(1), "h", HoldPath, {}, {}};
        request.age = it.age;
        host.reduce(request);
        host.end(request.id, 1, AttemptOutcome::Lost);
        CHECK((host.find<StartAttempt>() != nullptr) == it.isRepeated);
    }
}

// Guards against a second run by the host that a request is relayed to, which decides by its own routes.
TEST_CASE("the receiver of a relayed request that may run once does not repeat it by its own routes")
{
    HoldHost host;
    host.setRoutes(routeVersions().at(1));
    host.now += 60s;
    CallerRequest request{static_cast<RequestId>(1), "h", HoldPath, {}, {}};
    request.relayedByIndex = 1;
    request.isOnceOnly = true;
    host.reduce(request);
    host.end(request.id, 1, AttemptOutcome::Lost);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.find<RefuseRequest>() != nullptr);
}

// Guards against a relay that does not tell the receiver that the request may run only once.
TEST_CASE("a request that was sent as once-only is relayed as such after its route was replaced")
{
    for (const std::size_t version : {0, 1}) {
        HoldHost host;
        host.setRoutes(routeVersions().at(1));
        host.now += 60s;
        host.setRoutes(routeVersions().at(version));
        for (int n = 0; n < 4; ++n) {
            const RequestId id = host.request("/books/x");
            host.end(id, 1, AttemptOutcome::NotSent);
            host.end(id, 2, AttemptOutcome::NotSent);
        }
        const RequestId id = host.request(HoldPath);
        host.setRoutes(routeVersions().at(1));
        for (int n = 0; n < 100 && host.balancer.unreachableServices().empty(); ++n) {
            host.now += 25ms;
            host.reduce(BalanceTick{});
            const BalanceEffects effects = host.effects;
            for (const BalanceEffect &it : effects) {
                if (const auto *probe = std::get_if<ProbeTarget>(&it)) {
                    host.reduce(TargetProbed{probe->service, ProbeResult::Failed});
                }
            }
        }
        REQUIRE_FALSE(host.balancer.unreachableServices().empty());
        if (version == 0) {
            host.end(id, 1, AttemptOutcome::NotSent);
        }
        REQUIRE(host.find<StartAttempt>() != nullptr);
        CHECK_FALSE(host.find<StartAttempt>()->relay.empty());
        CHECK(host.find<StartAttempt>()->isOnceOnly == (version == 0));
    }
}

// Guards against paths that are missed, or kept for good, as routes come, go and change their kind.
TEST_CASE("a path counts as loosened just as long as a request may be under way by a table that allowed one run")
{
    const std::vector<std::string> prefixes{"/a/", "/a/b/", "/a/b/c/", "/d/"};
    CHECK(rc::check([&] {
        LoosenedRoutes loosened;
        std::map<std::string, TimePoint> onceOnlyUntil; // by path, as far as a search of each table tells
        TimePoint now{1000s};
        auto table = std::make_shared<RouteTable>();
        for (int n = 0; n < 20; ++n) {
            auto next = std::make_shared<RouteTable>();
            for (const std::string &it : prefixes) {
                const int kind = *rc::gen::inRange(0, 3);
                if (kind < 2) {
                    next->routes.push_back(Host::routeOf(it, kind == 0 ? RouteKind::Repeatable : RouteKind::OnceOnly));
                }
            }
            loosened.replace(*table, RouteIndex(table), *next, now);
            for (const std::string &it : prefixes) {
                const Route *before = table->match("h", it);
                const Route *after = next->match("h", it);
                if (before != nullptr && before->kind == RouteKind::OnceOnly
                    && (after == nullptr || after->kind == RouteKind::Repeatable)) {
                    onceOnlyUntil[it] = now;
                }
            }
            table = next;
            now += Milliseconds(*rc::gen::inRange(0, 20000));
            const Duration age = Milliseconds(*rc::gen::inRange(0, 20000));
            for (const auto &[path, until] : onceOnlyUntil) {
                const bool mayBeUnderWay = now - age - 2s <= until;
                RC_ASSERT(!mayBeUnderWay || loosened.covers("h", path + "x", age, now));
            }
        }
        loosened.replace(*table, RouteIndex(table), *table, now + 60s);
        RC_ASSERT(loosened.size() == 0U);
        RC_ASSERT(!loosened.covers("h", "/a/b/c/x", 0s, now + 60s));
        RC_ASSERT(loosened.covers("h", "/a/b/c/x", 60s, now + 60s));
    }));
}

// Guards against any order of changed routes, ends, hedges and relays in which a request runs more often than it may.
TEST_CASE("no attempt begins beside or after one that may have run unless each route since the arrival allows it")
{
    std::size_t repeated = 0;
    CHECK(rc::check([&] {
        RunHistory history;
        for (int n = 0; n < Steps; ++n) {
            history.step();
        }
        repeated += history.repeated;
    }));
    CHECK(repeated > 0);
}
