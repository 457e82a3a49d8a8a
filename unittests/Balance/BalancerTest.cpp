//===- BalancerTest.cpp - Tests of requests at an entry host --------------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

TEST_CASE("without a configuration a request is refused as not run, with a retry time")
{
    Host host;
    host.request("/read/x");
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::NoConfiguration);
    CHECK(host.find<RefuseRequest>()->retryAfter > 0ms);
}

TEST_CASE("a once-only request is not retried once it may have run")
{
    for (const AttemptOutcome outcome : {AttemptOutcome::Lost, AttemptOutcome::TimedOut}) {
        auto host = std::make_unique<Host>();
        host->useTable();
        host->report(Host::targetOf("t1"));
        host->report(Host::targetOf("t2", "z2"));
        const RequestId id = host->request("/once/x");
        REQUIRE(host->find<StartAttempt>() != nullptr);
        host->end(id, 1, outcome);
        CHECK(host->find<StartAttempt>() == nullptr);
        REQUIRE(host->find<RefuseRequest>() != nullptr);
        CHECK_FALSE(promisesNotRun(host->find<RefuseRequest>()->reason));
    }
}

TEST_CASE("a request that was certainly not run is retried at another target")
{
    for (const AttemptOutcome outcome : {AttemptOutcome::NotSent, AttemptOutcome::Shed, AttemptOutcome::WrongTarget}) {
        Host host;
        host.useTable();
        host.report(Host::targetOf("t1"));
        host.report(Host::targetOf("t2", "z2"));
        const RequestId id = host.request("/once/x");
        const std::string first = host.find<StartAttempt>()->target;
        host.end(id, 1, outcome);
        REQUIRE(host.find<StartAttempt>() != nullptr);
        CHECK(host.find<StartAttempt>()->target != first);
        host.end(id, 2, outcome);
        REQUIRE(host.find<RefuseRequest>() != nullptr);
        CHECK(promisesNotRun(host.find<RefuseRequest>()->reason));
    }
}

TEST_CASE("a target whose address belongs to another incarnation is not used until it reports under a new id")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    const RequestId id = host.request("/read/x");
    host.end(id, 1, AttemptOutcome::WrongTarget);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr);
    host.report(Host::targetOf("t2"));
    host.request("/read/x");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "t2");
}

TEST_CASE("draining targets and evacuated zones get no new requests")
{
    Host host;
    host.useTable();
    TargetReport draining = Host::targetOf("t1");
    draining.presence = Presence::Draining;
    host.report(draining);
    host.report(Host::targetOf("t2", "z2"));
    for (int n = 0; n < 4; ++n) {
        host.request("/read/x");
        REQUIRE(host.find<StartAttempt>() != nullptr);
        CHECK(host.find<StartAttempt>()->target == "t2");
    }
    host.useTable({"z2"});
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::NoTarget);
}

TEST_CASE("only a host with current routing denies a route; known routes are served whatever the age of the routing")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    const auto refusalOf = [&](const std::string &path) {
        host.request(path);
        const auto *refusal = host.find<RefuseRequest>();
        REQUIRE(refusal != nullptr);
        return refusal->reason;
    };
    CHECK(refusalOf("/new/x") == Refusal::RoutingLate); // no update was received from a control host
    host.reduce(UpdateReceived{host.now});
    CHECK(refusalOf("/new/x") == Refusal::NoRoute);
    host.reduce(UpdateReceived{host.now, host.now});
    CHECK(refusalOf("/new/x") == Refusal::RoutingLate);
    host.reduce(UpdateReceived{host.now});
    host.now += UpdateLease + 1ms;
    CHECK(refusalOf("/new/x") == Refusal::RoutingLate);
    CHECK(host.find<RefuseRequest>()->retryAfter > 0ms);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("an unsent request is withdrawn once its target drains or its zone is evacuated")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    const RequestId first = host.request("/once/x");
    CHECK(host.balancer.maySend(first, 1));
    TargetReport draining = Host::targetOf("t1");
    draining.presence = Presence::Draining;
    host.report(draining);
    CHECK_FALSE(host.balancer.maySend(first, 1));
    host.report(Host::targetOf("t2", "z2"));
    const RequestId second = host.request("/once/x");
    CHECK(host.balancer.maySend(second, 1));
    CHECK_FALSE(host.balancer.maySend(second, 2));
    host.useTable({"z2"});
    CHECK_FALSE(host.balancer.maySend(second, 1));
    CHECK_FALSE(host.balancer.maySend(static_cast<RequestId>(99), 1));
}

TEST_CASE("a target that ended while no control host was running becomes unusable after a while")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    host.report(Host::targetOf("t2", "z2"));
    // All control hosts restarted, and only one of the two targets reports again.
    host.reduce(ReportsChanged{{}, true});
    TargetReport running = Host::targetOf("t2", "z2");
    running.sequence = 2;
    host.report(running);
    const auto used = [&] {
        std::set<std::string> targets;
        for (int n = 0; n < 16; ++n) {
            const RequestId id = host.request("/read/x", std::to_string(n));
            REQUIRE(host.find<StartAttempt>() != nullptr);
            targets.insert(host.find<StartAttempt>()->target);
            host.end(id, 1, AttemptOutcome::Answered);
        }
        return targets;
    };
    host.now += 1s;
    CHECK(used() == std::set<std::string>{"t1", "t2"});
    host.now += 10s;
    CHECK(used() == std::set<std::string>{"t2"});
    TargetReport back = Host::targetOf("t1");
    back.sequence = 2;
    host.report(back);
    CHECK(used() == std::set<std::string>{"t1", "t2"});
}

TEST_CASE("a restored target is used for a while, and longer only if it reports")
{
    Host host;
    host.useTable();
    ReportsChanged update;
    update.restored = {Host::targetOf("t1"), Host::targetOf("t2")};
    host.reduce(update);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
    host.now += 1s;
    host.report(Host::targetOf("t2"));
    host.now += 2s;
    for (int n = 0; n < 4; ++n) {
        const RequestId id = host.request("/read/x", std::to_string(n));
        REQUIRE(host.find<StartAttempt>() != nullptr);
        CHECK(host.find<StartAttempt>()->target == "t2");
        host.end(id, 1, AttemptOutcome::Answered);
    }
}

TEST_CASE("restored targets do not override reported ones")
{
    Host host;
    host.useTable();
    TargetReport draining = Host::targetOf("t1");
    draining.presence = Presence::Draining;
    host.report(draining);
    ReportsChanged update;
    update.restored = {Host::targetOf("t1")};
    host.reduce(update);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr);
}

TEST_CASE("a target that another control host knows by an older report is confirmed")
{
    Host host;
    host.useTable();
    TargetReport newest = Host::targetOf("t1");
    newest.sequence = 5;
    host.report(newest);
    // The next control host receives the target late, and the report does not change from then on.
    host.reduce(ReportsChanged{{}, true});
    TargetReport older = newest;
    older.sequence = 4;
    host.report(older);
    host.now += 20s;
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("the remaining time is passed to the attempt, and a request ends after it as possibly run")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    host.request("/once/x", {}, 500ms);
    CHECK(host.find<StartAttempt>()->timeLeft <= 500ms);
    CHECK(host.find<StartAttempt>()->timeLeft >= 400ms);
    host.now += 600ms;
    host.reduce(BalanceTick{});
    CHECK(host.find<CancelAttempt>() != nullptr);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::TimedOut);
    CHECK(host.balancer.openRequests() == 0);
}

TEST_CASE("the attempts of a caller that disconnected are cancelled")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    const RequestId id = host.request("/read/x");
    host.reduce(CallerLeft{id});
    CHECK(host.find<CancelAttempt>() != nullptr);
    CHECK(host.balancer.openRequests() == 0);
}

TEST_CASE("a key uses few targets, also when they are full")
{
    Host host;
    host.useTable();
    for (int n = 0; n < 12; ++n) {
        host.report(Host::targetOf("t" + std::to_string(n), n % 2 == 0 ? "z1" : "z2"));
    }
    std::set<std::string> used;
    for (int n = 0; n < 60; ++n) {
        host.request("/read/x", "key");
        if (const StartAttempt *start = host.find<StartAttempt>()) {
            used.insert(start->target);
        }
    }
    CHECK(used.size() <= 3);
    CHECK(host.find<RefuseRequest>() != nullptr);
}

TEST_CASE("a key uses as many targets as configured, and a second one only if the first would be late")
{
    for (const unsigned targets : {1U, 2U}) {
        BalanceSettings settings = Host::settingsOf("z1", 1);
        settings.policy.targetsPerKey = targets;
        Host host(settings);
        host.useTable();
        for (int n = 0; n < 12; ++n) {
            host.report(Host::targetOf("t" + std::to_string(n)));
        }
        std::map<std::string, int> used;
        for (int n = 0; n < 20; ++n) {
            host.request("/read/x", "key");
            if (const StartAttempt *start = host.find<StartAttempt>()) {
                ++used[start->target];
            }
        }
        CHECK(used.size() == targets);
        for (const auto &[target, count] : used) {
            CHECK(count == 4); // one for each slot: no service time is known yet
        }
    }
}

TEST_CASE("a caller that was refused and waited is served late, one that did not wait is refused")
{
    constexpr Milliseconds Deadline{2000};
    const auto isServed = [&](Milliseconds left) {
        Host host;
        host.table.routes[0].priority = 0;
        host.useTable();
        host.report(Host::targetOf("t1", "z1", 4));
        for (int n = 0; n < 20; ++n) { // an answer takes 100 ms
            const RequestId id = host.request("/read/x", "key", Deadline);
            host.now += 100ms;
            host.end(id, 1, AttemptOutcome::Answered);
        }
        for (int n = 0; n < 40; ++n) { // until no more are admitted
            host.request("/read/x", "key", Deadline);
        }
        REQUIRE(host.find<RefuseRequest>() != nullptr);
        host.request("/read/x", "key", left);
        return host.find<StartAttempt>() != nullptr;
    };
    CHECK_FALSE(isServed(Deadline));
    CHECK_FALSE(isServed(Deadline - 20ms));
    CHECK(isServed(Deadline - 200ms));
}

TEST_CASE("entry hosts send a key to the same target without communication")
{
    std::set<std::string> used;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Host host("z1", seed);
        host.useTable();
        for (int n = 0; n < 12; ++n) {
            host.report(Host::targetOf("t" + std::to_string(n)));
        }
        host.request("/read/x", "key");
        used.insert(host.find<StartAttempt>()->target);
    }
    CHECK(used.size() == 1);
}

TEST_CASE("all requests of a key go to the same region")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("near", "z1", 2));
    for (int n = 0; n < 6; ++n) {
        host.report(Host::targetOf("far" + std::to_string(n), "z3", 8));
    }
    for (int key = 0; key < 20; ++key) {
        std::set<bool> inOtherRegion;
        for (int n = 0; n < 6; ++n) {
            const RequestId id = host.request("/read/x", std::to_string(key));
            if (const StartAttempt *start = host.find<StartAttempt>()) {
                inOtherRegion.insert(start->zone == "z3");
                host.end(id, 1, AttemptOutcome::Answered);
            }
        }
        CHECK(inOtherRegion.size() == 1);
    }
}

TEST_CASE("a cold target gets at most its cold rate over all hosts of a zone")
{
    constexpr double RequestsPerSecond = 4;
    std::vector<std::unique_ptr<Host>> hosts;
    for (const char *id : {"e1", "e2", "e3", "e4"}) {
        const bool isNear = std::string(id) < "e3";
        hosts.push_back(std::make_unique<Host>(isNear ? "z1" : "z2"));
    }
    for (auto &host : hosts) {
        host->useTable();
        host->report(Host::entryOf("e1", "z1"));
        host->report(Host::entryOf("e2", "z1"));
        host->report(Host::entryOf("e3", "z2"));
        host->report(Host::entryOf("e4", "z2"));
        TargetReport cold = Host::targetOf("t1");
        cold.coldLeft = 10s;
        host->report(cold);
    }
    int sent = 0;
    for (int step = 0; step < 400; ++step) { // 4 s, a request every 10 ms at each host
        for (auto &host : hosts) {
            host->now += 10ms;
            const RequestId id = host->request("/read/x");
            if (host->find<StartAttempt>() != nullptr) {
                ++sent;
                host->end(id, 1, AttemptOutcome::Answered);
            }
        }
    }
    CHECK(sent <= RequestsPerSecond * 4 + 2);
    CHECK(sent >= RequestsPerSecond * 4 / 2);
}

namespace
{

/// Returns how many requests the entry hosts of one zone send in each of three seconds to a target that is cold for
/// longer, with a request every 10 ms at each host.
std::vector<int> sentWhileCold(std::vector<std::unique_ptr<Host>> &hosts)
{
    std::vector<int> sent(3);
    for (int step = 0; step < 300; ++step) {
        for (auto &host : hosts) {
            host->now += 10ms;
            const RequestId id = host->request("/read/x");
            if (host->find<StartAttempt>() != nullptr) {
                ++sent[static_cast<std::size_t>(step / 100)];
                host->end(id, 1, AttemptOutcome::Answered);
            }
        }
    }
    return sent;
}

} // namespace

// Guards against all hosts sending at the moment when they receive the report of a cold target.
TEST_CASE("many hosts of a zone spread their first requests to a cold target")
{
    constexpr int Hosts = 20;
    constexpr double RequestsPerSecond = 4;
    TargetReport cold = Host::targetOf("t1");
    cold.coldLeft = 3500ms;
    ReportsChanged all;
    all.changes.targets.push_back({cold, 0ms, false});
    for (int n = 0; n < Hosts; ++n) {
        all.changes.hosts.push_back({Host::entryOf("e" + std::to_string(n), "z1"), 0ms, false});
    }
    for (const bool hasJustStarted : {false, true}) {
        std::vector<std::unique_ptr<Host>> hosts;
        for (int n = 0; n < Hosts; ++n) {
            hosts.push_back(std::make_unique<Host>("z1", static_cast<std::uint64_t>(n)));
            Host &host = *hosts.back();
            if (hasJustStarted) { // receives all reports at once, and the routing last
                host.reduce(all);
                host.useTable();
                continue;
            }
            host.useTable();
            for (const AgedReport<HostReport> &it : all.changes.hosts) {
                host.report(it.report);
            }
            host.report(cold);
        }
        for (const int count : sentWhileCold(hosts)) {
            CHECK(count <= 2 * RequestsPerSecond);
            CHECK(count > 0);
        }
    }
}

// Guards against a control host that has lost its state and passes on a report from before a target's end.
TEST_CASE("a late report of a target that has ended does not bring it back, a later incarnation does")
{
    Host host;
    host.useTable();
    TargetReport target = Host::targetOf("t1");
    target.startedAt = 1000ms;
    target.sequence = 9;
    host.report(target);
    TargetReport departure = target;
    departure.presence = Presence::Gone;
    host.report(departure);
    host.report(target);
    host.reduce(ReportsChanged{{}, false, {}, {target}});
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr);
    target.startedAt = 2000ms;
    target.sequence = 1;
    host.report(target);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

// Guards against a target without a start time that is never used again once one of its id has ended.
TEST_CASE("the end of a target is forgotten after the retention time, also where no other target ends")
{
    Host host;
    host.useTable();
    TargetReport target = Host::targetOf("t1");
    TargetReport departure = target;
    departure.presence = Presence::Gone;
    host.report(departure);
    host.now += DepartureRetention;
    host.report(target);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr);
    host.now += 1s;
    host.report(target);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("targets of a zone whose evacuation ends count as cold until they report")
{
    Host host("z2");
    host.useTable({"z1"});
    host.report(Host::entryOf("e1", "z2"));
    host.report(Host::entryOf("e2", "z1"));
    host.report(Host::targetOf("t1", "z1"));
    host.useTable();
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr); // only hosts of its own zone may send to it
    host.now += 100ms;
    TargetReport warm = Host::targetOf("t1", "z1");
    warm.sequence = 2;
    host.report(warm);
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("retries stay within one host's share of the budget")
{
    Host host;
    host.table.routes[0].attempts = 5;
    host.useTable();
    for (const char *id : {"e1", "e2", "e3", "e4"}) {
        host.report(Host::entryOf(id, "z1"));
    }
    for (int n = 0; n < 8; ++n) {
        host.report(Host::targetOf("t" + std::to_string(n), "z1", 100));
    }
    int retries = 0;
    constexpr int Requests = 200;
    for (int n = 0; n < Requests; ++n) {
        const RequestId id = host.request("/read/x");
        unsigned attempt = 1;
        while (host.find<StartAttempt>() != nullptr) {
            host.end(id, attempt++, AttemptOutcome::Shed);
            retries += host.find<StartAttempt>() != nullptr ? 1 : 0;
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= 0.2 * Requests + 40.0 / 4);
}

TEST_CASE("once a part of an answer was sent to the caller, the request is neither retried nor refused")
{
    for (const AttemptOutcome outcome : {AttemptOutcome::Lost, AttemptOutcome::TimedOut, AttemptOutcome::NotSent}) {
        Host host;
        host.useTable();
        host.report(Host::targetOf("t1"));
        host.report(Host::targetOf("t2", "z2"));
        const RequestId id = host.request("/read/x");
        host.reduce(AnswerBegun{id, 1});
        REQUIRE(host.find<PassHead>() != nullptr);
        host.reduce(AnswerBegun{id, 1});
        CHECK(host.find<PassHead>() == nullptr);
        host.end(id, 1, outcome);
        CHECK(host.find<StartAttempt>() == nullptr);
        CHECK(host.find<RefuseRequest>() == nullptr);
        REQUIRE(host.find<AbortAnswer>() != nullptr);
        CHECK_FALSE(promisesNotRun(host.find<AbortAnswer>()->reason));
        CHECK(host.balancer.openRequests() == 0);
    }
}

TEST_CASE("a streamed answer ends with its last byte, or at the deadline of its request")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    const RequestId whole = host.request("/read/x");
    host.reduce(AnswerBegun{whole, 1});
    host.end(whole, 1, AttemptOutcome::Answered);
    CHECK(host.find<PassAnswer>() != nullptr);

    const RequestId late = host.request("/read/x");
    host.reduce(AnswerBegun{late, 1});
    host.now += 5s;
    host.reduce(BalanceTick{});
    CHECK(host.find<CancelAttempt>() != nullptr);
    REQUIRE(host.find<AbortAnswer>() != nullptr);
    CHECK(host.find<AbortAnswer>()->reason == Refusal::TimedOut);
}

TEST_CASE("the first answer that begins cancels the hedged attempt")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    host.report(Host::targetOf("t2", "z2"));
    const RequestId id = host.request("/read/x");
    host.now += 1500ms;
    host.reduce(BalanceTick{});
    REQUIRE(host.find<StartAttempt>() != nullptr);
    REQUIRE(host.find<StartAttempt>()->attempt == 2);
    host.reduce(AnswerBegun{id, 2});
    REQUIRE(host.find<CancelAttempt>() != nullptr);
    CHECK(host.find<CancelAttempt>()->attempt == 1);
    host.reduce(AnswerBegun{id, 1});
    CHECK(host.find<PassHead>() == nullptr);
}

// Guards against a target that works on for a caller who has the answer of another one.
TEST_CASE("the hedged attempt is cancelled before the other one's answer ends the request")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("t1"));
    host.report(Host::targetOf("t2", "z2"));
    const RequestId id = host.request("/read/x");
    host.now += 1500ms;
    host.reduce(BalanceTick{});
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.end(id, 2, AttemptOutcome::Answered);
    REQUIRE(host.effects.size() == 2);
    CHECK(std::holds_alternative<CancelAttempt>(host.effects.front()));
    CHECK(std::holds_alternative<PassAnswer>(host.effects.back()));
}

TEST_CASE("large answers are requested within the link's budget, small ones always")
{
    constexpr std::uint64_t LinkBytes = 500000;
    constexpr std::uint64_t LargeBytes = 100000;
    BalanceSettings settings = Host::settingsOf("z1", 1);
    settings.linkBytesPerSecond = LinkBytes;
    Host host(settings);
    host.useTable();
    host.report(Host::targetOf("t1", "z1", 1000));
    const auto answer = [&](RequestId id, std::uint64_t bytes) {
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Answered, {}, bytes});
    };
    answer(host.request("/read/x"), LargeBytes);
    answer(host.request("/once/x"), 100);
    constexpr int Seconds = 4;
    int large = 0;
    for (int n = 0; n < 1000 * Seconds; ++n) {
        host.now += 1ms;
        const RequestId id = host.request("/read/x");
        if (host.find<StartAttempt>() != nullptr) {
            ++large;
            answer(id, LargeBytes);
        } else {
            REQUIRE(host.find<RefuseRequest>() != nullptr);
            CHECK(host.find<RefuseRequest>()->reason == Refusal::LinkFull);
            CHECK(host.find<RefuseRequest>()->retryAfter > 0ms);
        }
        if (n % 10 == 0) {
            const RequestId small = host.request("/once/x");
            CHECK(host.find<StartAttempt>() != nullptr);
            answer(small, 100);
        }
    }
    // Each answer passes the link twice.
    CHECK(2 * large * LargeBytes <= LinkBytes * (Seconds + 1));
    CHECK(large > Seconds);
}

TEST_CASE("the bytes of an answer that will not arrive are returned to the link's budget")
{
    BalanceSettings settings = Host::settingsOf("z1", 1);
    settings.linkBytesPerSecond = 500000;
    Host host(settings);
    host.useTable();
    host.report(Host::targetOf("t1", "z1", 1000));
    const RequestId first = host.request("/read/x");
    host.reduce(AttemptEnded{first, 1, AttemptOutcome::Answered, {}, 20000});
    host.now += 10s;
    for (int n = 0; n < 100; ++n) {
        const RequestId id = host.request("/read/x");
        REQUIRE(host.find<StartAttempt>() != nullptr);
        host.end(id, 1, AttemptOutcome::Shed);
    }
}

TEST_CASE("the services of a split get requests by their weights")
{
    Host host;
    host.table.services.push_back({"s2", 100, 3s, 4});
    host.table.routes[0].services = {{"s", 90}, {"s2", 10}};
    host.useTable();
    host.report(Host::targetOf("t1", "z1", 1000));
    TargetReport other = Host::targetOf("t2", "z1", 1000);
    other.service = "s2";
    host.report(other);
    int second = 0;
    for (int n = 0; n < 200; ++n) {
        host.request("/read/x");
        second += host.find<StartAttempt>()->target == "t2" ? 1 : 0;
    }
    CHECK(second == 20);
}

TEST_CASE("a once-only request that may have run is neither reported as not run nor run again")
{
    CHECK(rc::check([] {
        Host host;
        host.useTable();
        for (int n = 0; n < 4; ++n) {
            host.report(Host::targetOf("t" + std::to_string(n), n % 2 == 0 ? "z1" : "z3"));
        }
        std::map<std::uint64_t, bool> mayHaveRun;
        std::map<std::uint64_t, std::vector<unsigned>> open;
        const auto checkEffects = [&] {
            for (const BalanceEffect &effect : host.effects) {
                if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                    const auto id = static_cast<std::uint64_t>(start->id);
                    RC_ASSERT(!mayHaveRun[id]);
                    RC_ASSERT(open[id].empty());
                    open[id].push_back(start->attempt);
                } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
                    const auto id = static_cast<std::uint64_t>(cancel->id);
                    mayHaveRun[id] = true;
                    open[id].clear();
                } else if (const auto *refuse = std::get_if<RefuseRequest>(&effect)) {
                    const auto id = static_cast<std::uint64_t>(refuse->id);
                    RC_ASSERT(!(mayHaveRun[id] && promisesNotRun(refuse->reason)));
                }
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 10));
        for (const int step : steps) {
            host.now += 30ms;
            if (step < 3) {
                host.request("/once/x", std::to_string(step));
                checkEffects();
                continue;
            }
            const auto it =
                std::find_if(open.begin(), open.end(), [](const auto &entry) { return !entry.second.empty(); });
            if (it == open.end()) {
                host.reduce(BalanceTick{});
                checkEffects();
                continue;
            }
            const std::uint64_t id = it->first;
            const unsigned attempt = it->second.back();
            it->second.clear();
            const auto outcome = static_cast<AttemptOutcome>(step - 3);
            mayHaveRun[id] |= outcome == AttemptOutcome::Lost || outcome == AttemptOutcome::TimedOut;
            host.end(static_cast<RequestId>(id), attempt, outcome);
            checkEffects();
        }
    }));
}

namespace
{

TargetReport incarnationOf(const std::string &id, Milliseconds startedAt)
{
    TargetReport it = Host::targetOf(id);
    it.startedAt = startedAt;
    return it;
}

} // namespace

TEST_CASE("an unsent request is not sent to a later incarnation of its target")
{
    Host host;
    host.useTable();
    host.report(incarnationOf("a", 1000ms));
    const RequestId id = host.request("/once/x", "k");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.balancer.maySend(id, 1));
    host.report(incarnationOf("a", 2000ms));
    CHECK_FALSE(host.balancer.maySend(id, 1));
}

TEST_CASE("a new incarnation of a target starts with fresh state")
{
    Host host;
    host.useTable();
    host.report(incarnationOf("a", 1000ms));
    // Each incarnation reports full slots and then counts as replaced.
    for (int n = 0; n < 4; ++n) {
        const RequestId id = host.request("/once/x", "k");
        REQUIRE(host.find<StartAttempt>() != nullptr);
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::WrongTarget, TargetLoad{9, 9, 4}, 0});
        host.report(incarnationOf("a", 2000ms + n * 1000ms));
    }
    host.request("/once/x", "k");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->utilization == Approx(0.25));
}

TEST_CASE("outcomes of requests to the previous incarnation do not affect the next one")
{
    Host host;
    host.useTable();
    host.report(incarnationOf("a", 1000ms));
    std::vector<RequestId> before(3);
    std::generate(before.begin(), before.end(), [&] { return host.request("/once/x", "k"); });
    host.report(incarnationOf("a", 2000ms));
    const RequestId now = host.request("/once/x", "k");
    CHECK(host.find<StartAttempt>()->utilization == Approx(0.25));
    for (const RequestId id : before) {
        host.end(id, 1, AttemptOutcome::Lost);
        // It may have run there, so it is neither reported as not run nor retried.
        REQUIRE(host.find<RefuseRequest>() != nullptr);
        CHECK(host.find<RefuseRequest>()->reason == Refusal::Lost);
    }
    host.request("/once/x", "k");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->utilization == Approx(0.5));
    host.end(now, 1, AttemptOutcome::Answered);
    CHECK(host.find<PassAnswer>() != nullptr);
}

TEST_CASE("a late report of the previous incarnation changes nothing, and a snapshot with it confirms nothing")
{
    Host host;
    host.useTable();
    host.report(incarnationOf("a", 2000ms));
    TargetReport late = incarnationOf("a", 1000ms);
    late.sequence = 50;
    late.presence = Presence::Gone;
    host.report(late);
    host.request("/read/x", "k");
    CHECK(host.find<StartAttempt>() != nullptr);
    RegistryChanges whole;
    whole.targets.push_back({incarnationOf("a", 1000ms), 0ms, false});
    host.reduce(ReportsChanged{whole, true});
    host.now += 7s;
    host.request("/read/x", "k");
    CHECK(host.find<StartAttempt>() == nullptr);
}
