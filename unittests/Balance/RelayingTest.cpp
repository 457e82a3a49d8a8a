//===- RelayingTest.cpp - A host that is cut off from all targets ---------===//
#include "Balance/BalanceFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

/// A host with four targets that answers its own probes.
struct ProbedHost : Host {
    explicit ProbedHost(const std::string &zone = "z1")
        : Host(zone)
    {
        useTable();
        for (const char *id : {"t1", "t2", "t3", "t4"}) {
            report(targetOf(id));
        }
        report(entryOf("e2", "z1"));
    }

    using Host::report;

    static HostReport entryOf(const std::string &id, const std::string &zone, bool isCutOff = false)
    {
        HostReport it = Host::entryOf(id, zone);
        it.address = "10.9.0.1:80";
        if (isCutOff) {
            it.unreachableServices = {"s"};
        }
        return it;
    }

    /// Lets time pass; probes are answered or fail at once.
    void pass(Duration time, bool answers)
    {
        pass(time, answers ? ProbeResult::Answered : ProbeResult::Failed);
    }

    void pass(Duration time, ProbeResult result)
    {
        for (const TimePoint end = now + time; now < end; now += 25ms) {
            reduce(BalanceTick{});
            BalanceEffects all = effects;
            for (std::size_t n = 0; n < all.size(); ++n) {
                if (const auto *probe = std::get_if<ProbeTarget>(&all[n])) {
                    ++probes;
                    reduce(TargetProbed{std::string(probe->service), result});
                    all.insert(all.end(), effects.begin(), effects.end());
                }
            }
            seen.insert(seen.end(), all.begin(), all.end());
        }
    }

    bool isCutOff() const
    {
        return balancer.unreachableServices() == std::vector<std::string>{"s"};
    }

    void cutOff()
    {
        cutOffFrom("/once/x");
    }

    void cutOffFrom(const std::string &path, const std::string &keyDigest = {})
    {
        const auto id = static_cast<RequestId>(++lastRequest);
        reduce(CallerRequest{id, "h", path, {}, {}, {}, keyDigest});
        end(id, 1, AttemptOutcome::NotSent);
        end(id, 2, AttemptOutcome::NotSent);
        pass(1s, false);
        REQUIRE(isCutOff());
    }

    const StartAttempt *started() const
    {
        return find<StartAttempt>();
    }

    std::size_t probes = 0;
    BalanceEffects seen; ///< effects of pass()
};

} // namespace

TEST_CASE("a host that is cut off from all targets relays to another entry host, and to a second if that fails")
{
    ProbedHost host;
    host.report(ProbedHost::entryOf("e3", "z2"));
    host.cutOff();
    const RequestId id = host.request("/once/x");
    REQUIRE(host.started() != nullptr);
    const std::string first = host.started()->relay;
    CHECK_FALSE(first.empty());
    CHECK(host.started()->target.empty());
    CHECK(host.balancer.maySend(id, 1));
    host.end(id, 1, AttemptOutcome::NotSent);
    REQUIRE(host.started() != nullptr);
    CHECK_FALSE(host.started()->relay.empty());
    CHECK(host.started()->relay != first);
    host.end(id, 2, AttemptOutcome::Shed);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::NotReached);
    CHECK(host.balancer.openRequests() == 0);
}

// Guards against a request that runs twice since its relay was lost.
TEST_CASE("a relayed request that may have run is not sent again")
{
    for (const char *path : {"/once/x", "/read/x"}) {
        ProbedHost host;
        host.report(ProbedHost::entryOf("e3", "z2"));
        host.cutOff();
        const RequestId id = host.request(path);
        host.end(id, 1, AttemptOutcome::Lost);
        REQUIRE(host.find<RefuseRequest>() != nullptr);
        CHECK(host.find<RefuseRequest>()->reason == Refusal::Lost);
    }
}

TEST_CASE("an answer of the other host is passed on")
{
    ProbedHost host;
    host.cutOff();
    const RequestId id = host.request("/once/x");
    host.end(id, 1, AttemptOutcome::Answered);
    REQUIRE(host.find<PassAnswer>() != nullptr);
    CHECK(host.balancer.openRequests() == 0);
}

// Guards against requests that go round between hosts without targets.
TEST_CASE("a relayed request is not relayed again, and no host relays to one that is cut off")
{
    ProbedHost host;
    host.cutOff();
    host.reduce(CallerRequest{RequestId{77}, "h", "/once/x", {}, {}, {}, {}, 0});
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::NotReached);
    host.report(ProbedHost::entryOf("e2", "z1", true));
    host.request("/once/x");
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->retryAfter > 0ms);
}

TEST_CASE("repeatable requests that wait for a silent target are relayed, others wait for it")
{
    ProbedHost host;
    const RequestId read = host.request("/read/x");
    const RequestId once = host.request("/once/x");
    host.pass(2s - 25ms, false);
    REQUIRE(host.isCutOff());
    std::set<RequestId> relayed;
    for (const BalanceEffect &it : host.seen) {
        const auto *started = std::get_if<StartAttempt>(&it);
        if (started != nullptr && !started->relay.empty()) {
            relayed.insert(started->id);
        }
    }
    CHECK(relayed.contains(read));
    CHECK_FALSE(relayed.contains(once));
}

// Guards against a relay to the host's own region, which may be neither a home region nor the caller's.
TEST_CASE("a request is relayed only to entry hosts of its home regions")
{
    ProbedHost host;
    host.table.routes[0].homeRegions = {"r2"};
    host.table.routes[1].homeRegions = {"r1"};
    host.useTable();
    host.report(ProbedHost::entryOf("e3", "z3"));
    host.cutOff();
    std::set<std::string> readRelays;
    std::set<std::string> onceRelays;
    for (int n = 0; n < 50; ++n) {
        host.request("/read/x");
        REQUIRE(host.started() != nullptr);
        readRelays.insert(host.started()->relay);
        host.request("/once/x");
        REQUIRE(host.started() != nullptr);
        onceRelays.insert(host.started()->relay);
    }
    CHECK(readRelays == std::set<std::string>{"e3"});
    CHECK(onceRelays == std::set<std::string>{"e2"});
    host.report(ProbedHost::entryOf("e3", "z3", true));
    host.request("/read/x");
    CHECK(host.started() == nullptr);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::NotReached);
}

// Guards against a relay that was decided by replaced home regions and is sent after the new table has arrived.
TEST_CASE("a request that is to be relayed is withdrawn if the other host is outside new home regions")
{
    ProbedHost host;
    host.table.routes[0].homeRegions = {"r2"};
    host.useTable();
    host.report(ProbedHost::entryOf("e3", "z3"));
    host.report(ProbedHost::entryOf("e2", "z1", true));
    host.cutOff();
    const RequestId id = host.request("/read/x");
    REQUIRE(host.started() != nullptr);
    REQUIRE(host.started()->relay == "e3");
    REQUIRE(host.balancer.maySend(id, 1));
    host.table.routes[0].homeRegions = {"r1"};
    ++host.table.version;
    host.useTable();
    host.report(ProbedHost::entryOf("e4", "z2"));
    CHECK(host.balancer.withheldBecause(id, 1) == Withheld::OutsideRegions);
    host.end(id, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.started() != nullptr);
    CHECK(host.started()->relay == "e4");
    CHECK(host.balancer.maySend(id, 2));
}

// Guards against a relay that carries an older index than the routing which its sender has confirmed meanwhile: the
// other host, if it is behind, would take its own routing for new enough.
TEST_CASE("a request that is to be relayed is decided anew if other routing arrives before it is sent")
{
    ProbedHost host;
    host.routingIndex = 7;
    host.useTable();
    host.cutOff();
    const RequestId id = host.request("/once/x");
    REQUIRE(host.started() != nullptr);
    CHECK(host.started()->routingIndex == 7);
    REQUIRE(host.balancer.maySend(id, 1));
    for (unsigned attempt = 1; attempt < 5; ++attempt) {
        ++host.routingIndex;
        host.useTable({"z3"});
        CHECK(host.balancer.withheldBecause(id, attempt) == Withheld::RoutingChanged);
        host.end(id, attempt, AttemptOutcome::Withdrawn);
        REQUIRE(host.started() != nullptr);
        CHECK(host.started()->relay == "e2");
        CHECK(host.started()->routingIndex == host.routingIndex);
        CHECK(host.balancer.maySend(id, attempt + 1));
    }
}

// Guards against a request that is relayed to whatever uses the address of a host that has left.
TEST_CASE("a request is not relayed to a host that has left before it is sent")
{
    ProbedHost host;
    host.cutOff();
    const RequestId id = host.request("/once/x");
    REQUIRE(host.balancer.maySend(id, 1));
    HostReport left = ProbedHost::entryOf("e2", "z1");
    left.presence = Presence::Gone;
    ++left.sequence;
    host.report(left);
    CHECK(host.balancer.withheldBecause(id, 1) == Withheld::TargetUnusable);
}

// Guards against relays that are all avoided after each change of the routing, since they get it a moment later.
TEST_CASE("a host that refuses a relayed request since its routing is older is asked again with the next request")
{
    ProbedHost host;
    host.cutOff();
    const RequestId id = host.request("/once/x");
    REQUIRE(host.started() != nullptr);
    AttemptEnded refused{id, 1, AttemptOutcome::Shed, {}, 0};
    refused.refusal = Refusal::RoutingLate;
    host.reduce(refused);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    host.request("/once/x");
    REQUIRE(host.started() != nullptr);
    CHECK(host.started()->relay == "e2");
}

// Guards against an empty set of allowed regions that is taken for "any region".
TEST_CASE("a request that no region may serve is not relayed")
{
    ProbedHost host;
    host.table.tenants = {{"a", {"k1"}, {}, {}, {"r2"}}, {"b", {"k2"}}};
    host.table.routes[0].homeRegions = {"r1"};
    host.useTable();
    host.report(ProbedHost::entryOf("e3", "z3"));
    host.cutOffFrom("/once/x", "k2");
    std::size_t relayed = 0;
    for (int n = 0; n < 50; ++n) {
        host.reduce(CallerRequest{static_cast<RequestId>(++host.lastRequest), "h", "/read/x", {}, {}, {}, "k1"});
        relayed += host.started() != nullptr ? 1 : 0;
    }
    CHECK(relayed == 0);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::NoTarget);
}

// Guards against a relay to a host whose routing is older, which may still send to regions that are no home any more.
TEST_CASE("a relayed request is refused as not run by a host whose routing is older than that of the relaying one")
{
    Host host;
    host.report(Host::targetOf("t1"));
    host.routingIndex = 7;
    host.useTable();
    const auto relayedAt = [&](std::uint64_t index) {
        CallerRequest request{static_cast<RequestId>(++host.lastRequest), "h", "/once/x", {}, {}};
        request.relayedByIndex = index;
        host.reduce(request);
    };
    relayedAt(8);
    CHECK(host.find<StartAttempt>() == nullptr);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::RoutingLate);
    CHECK(concernsHostAlone(Refusal::RoutingLate));
    relayedAt(7);
    CHECK(host.find<StartAttempt>() != nullptr);
    host.routingIndex = 8;
    host.useTable();
    relayedAt(8);
    CHECK(host.find<StartAttempt>() != nullptr);
}

// Guards against one host that serves the callers of all others of its region.
TEST_CASE("hosts of other regions are used where most hosts of the region are cut off")
{
    ProbedHost host;
    host.report(ProbedHost::entryOf("e4", "z2", true));
    for (const char *id : {"e5", "e6", "e7"}) {
        host.report(ProbedHost::entryOf(id, "z3"));
    }
    host.cutOff();
    std::set<std::string> relays;
    for (int n = 0; n < 40; ++n) {
        host.request("/once/x");
        REQUIRE(host.started() != nullptr);
        relays.insert(host.started()->relay);
    }
    CHECK(relays == std::set<std::string>{"e2", "e5", "e6", "e7"});
}

// Guards against a host that sends to targets which it does not reach, since another host passes large answers on.
TEST_CASE("a relayed answer is no evidence that a target is reached, large or small, whole or begun")
{
    CHECK(rc::check([] {
        ProbedHost host;
        host.cutOff();
        std::vector<RequestId> begun;
        const int steps = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            const RequestId id = host.request(n % 2 == 0 ? "/read/x" : "/once/x");
            RC_ASSERT(host.started() != nullptr);
            RC_ASSERT(!host.started()->relay.empty());
            if (*rc::gen::arbitrary<bool>()) {
                host.reduce(AnswerBegun{id, 1});
                begun.push_back(id);
            } else {
                host.end(id, 1, AttemptOutcome::Answered);
            }
            if (!begun.empty() && *rc::gen::arbitrary<bool>()) {
                host.end(begun.back(), 1, AttemptOutcome::Answered);
                begun.pop_back();
            }
            // A device in between accepts connections, and passes nothing on.
            host.pass(Milliseconds(*rc::gen::inRange(0, 500)), ProbeResult::Connected);
            RC_ASSERT(host.isCutOff());
        }
    }));
}

// Guards against targets that stay blocked after a cut of the host itself.
TEST_CASE("after a cut a host uses all targets within a second")
{
    ProbedHost host;
    for (int n = 0; n < 40; ++n) {
        const RequestId id = host.request("/read/x" + std::to_string(n));
        host.end(id, 1, AttemptOutcome::NotSent);
        host.end(id, 2, AttemptOutcome::NotSent);
        host.now += 10ms;
    }
    host.pass(1s, false);
    REQUIRE(host.isCutOff());
    host.pass(1s, true);
    CHECK_FALSE(host.isCutOff());
    std::set<std::string> used;
    for (int n = 0; n < 40; ++n) {
        host.request("/once/x");
        if (host.started() != nullptr) {
            CHECK(host.started()->relay.empty());
            used.insert(host.started()->target);
        }
    }
    CHECK(used == std::set<std::string>{"t1", "t2", "t3", "t4"});
}

// Guards against a round that connects to more targets the more there are.
TEST_CASE("a round of probes connects to as many targets as the verdict needs")
{
    ProbedHost host;
    for (int n = 0; n < 200; ++n) {
        host.report(Host::targetOf("more-" + std::to_string(n)));
    }
    const auto probesOf = [&host] {
        host.reduce(BalanceTick{});
        return std::count_if(host.effects.begin(), host.effects.end(),
                             [](const BalanceEffect &it) { return std::holds_alternative<ProbeTarget>(it); });
    };
    host.end(host.request("/once/x"), 1, AttemptOutcome::NotSent);
    CHECK(probesOf() == 1);
    host.reduce(TargetProbed{"s", ProbeResult::Failed});
    host.now += 200ms;
    CHECK(probesOf() == 3);
}

// Guards against a host that relays everything since one service has no targets.
TEST_CASE("a service that is out of reach does not affect another one")
{
    ProbedHost host;
    host.table.services.push_back({"other", 100, 3s, 4});
    host.table.routes.push_back(Host::routeOf("/other/", RouteKind::OnceOnly));
    host.table.routes.back().services = {{"other", 1}};
    host.useTable();
    TargetReport target = Host::targetOf("o1");
    target.service = "other";
    host.report(target);
    host.cutOff();
    host.request("/other/x");
    REQUIRE(host.started() != nullptr);
    CHECK(host.started()->target == "o1");
}
