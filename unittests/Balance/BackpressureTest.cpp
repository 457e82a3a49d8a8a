//===- BackpressureTest.cpp - Backpressure of targets at one entry host -----------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

class BackpressureHost : public Host
{
public:
    BackpressureHost()
        : Host(settings())
    {
        useTable();
        report(entryOf("self", "z1"));
    }

    static BalanceSettings settings()
    {
        BalanceSettings it = settingsOf("z1", 1);
        it.host = "self";
        return it;
    }

    void advertiseLimit(const std::string &target, double perSecond)
    {
        TargetSignalled event{{target, 0ms}, {}, now};
        event.signal.rateLimit = perSecond;
        reduce(event);
    }

    /// A target sheds a request and asks for back-off.
    void shedWithBackoff(RequestId id, const std::string &target, std::chrono::duration<double> rest)
    {
        TargetSignalled event{{target, 0ms}, {}, now};
        event.signal.backOff = rest;
        reduce(event);
        end(id, 1, AttemptOutcome::Shed);
    }

    /// Sends a request that is answered at once. Returns the target; empty if the request was refused.
    std::string send(const std::string &path = "/once/", const std::string &key = {})
    {
        const RequestId id = request(path, key);
        const auto *attempt = find<StartAttempt>();
        std::string target = attempt != nullptr ? attempt->target : std::string();
        if (attempt != nullptr) {
            end(id, 1, AttemptOutcome::Answered);
        }
        return target;
    }
};

} // namespace

TEST_CASE("a request beyond the limits of all targets is refused with the time until there is capacity")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    host.advertiseLimit("t1", 0.5);
    host.now += 10s;
    while (!host.send().empty()) { }
    const auto *refusal = host.find<RefuseRequest>();
    REQUIRE(refusal != nullptr);
    CHECK(refusal->reason == Refusal::Backpressure);
    CHECK(promisesNotRun(refusal->reason));
    CHECK(refusal->retryAfter >= 1s);
    CHECK(refusal->retryAfter <= 4s);
    host.now += 4s;
    CHECK(host.send() == "t1");
}

TEST_CASE("an unsent request goes to another target if its target advertises a limit meanwhile")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    const RequestId id = host.request("/once/");
    CHECK(host.balancer.maySend(id, 1));
    host.advertiseLimit("t1", 0.01);
    CHECK_FALSE(host.balancer.maySend(id, 1));
    host.report(Host::targetOf("t2"));
    host.end(id, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "t2");
}

TEST_CASE("an attempt that was not sent does not count towards a limit")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    host.advertiseLimit("t1", 0.05);
    host.now += 1h;
    while (!host.send().empty()) { }
    host.now += 25s;
    const RequestId id = host.request("/once/");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.balancer.maySend(id, 1));
    host.end(id, 1, AttemptOutcome::NotSent);
    host.now += 1s; // beyond the block of an unreachable target
    CHECK(host.send() == "t1");
    CHECK(host.send().empty());
}

TEST_CASE("a host that owns no share of a target's limit sends it nothing until the limit is removed")
{
    BackpressureHost host;
    for (int n = 0; n < 40; ++n) {
        host.report(Host::entryOf("entry-" + std::to_string(n), "z1"));
    }
    constexpr unsigned Targets = 60;
    for (unsigned n = 0; n < Targets; ++n) {
        const std::string id = "t" + std::to_string(n);
        host.report(Host::targetOf(id));
        host.advertiseLimit(id, 1);
    }
    CHECK(host.send().empty());
    host.now += 1h; // the buckets of this host are full
    std::set<std::string> used;
    for (unsigned n = 0; n < 10 * Targets; ++n) {
        const std::string target = host.send();
        if (!target.empty()) {
            used.insert(target);
        }
    }
    // Four of 41 hosts share each limit.
    CHECK(!used.empty());
    CHECK(used.size() <= Targets / 4);
    for (unsigned n = 0; n < Targets; ++n) {
        BackpressureReport removed{{"t" + std::to_string(n), 0ms}, false, 0, 0ms};
        host.reduce(BackpressureReceived{{removed}});
    }
    std::set<std::string> after;
    for (unsigned n = 0; n < 10 * Targets; ++n) {
        after.insert(host.send("/once/", "k" + std::to_string(n)));
    }
    CHECK(after.size() > Targets * 3 / 4);
}

TEST_CASE("a limit that is known before its target applies from the target's first report on")
{
    BackpressureHost host;
    host.reduce(BackpressureReceived{{{{"t1", 0ms}, true, 0.05, 0ms}}});
    host.report(Host::targetOf("t1"));
    unsigned sent = 0;
    for (int n = 0; n < 100; ++n) {
        sent += host.send().empty() ? 0 : 1;
    }
    CHECK(sent <= 1);
    // The next incarnation advertises no limit.
    TargetReport next = Host::targetOf("t1");
    next.startedAt = 5000ms;
    host.report(next);
    CHECK(host.send() == "t1");
    CHECK(host.send() == "t1");
}

TEST_CASE("less urgent requests leave one saved request of a limit to urgent ones")
{
    BackpressureHost host;
    host.table.routes[0].priority = 1;
    host.table.routes[1].priority = 0;
    host.useTable();
    host.report(Host::targetOf("t1"));
    host.advertiseLimit("t1", 1);
    while (!host.send("/once/").empty()) { }
    host.now += 1h;
    while (!host.send("/read/").empty()) { }
    CHECK(host.send("/once/") == "t1");
    CHECK(host.send("/once/").empty());
}

TEST_CASE("a limited target has less capacity in the region plan")
{
    BackpressureHost host;
    host.report(Host::entryOf("far", "z3"));
    constexpr unsigned Targets = 10;
    for (unsigned n = 0; n < Targets; ++n) {
        host.report(Host::targetOf("near" + std::to_string(n), "z1", 4));
        host.report(Host::targetOf("far" + std::to_string(n), "z3", 4));
    }
    const auto otherRegionShare = [&] {
        unsigned otherRegion = 0;
        constexpr unsigned Requests = 400;
        for (unsigned n = 0; n < Requests; ++n) {
            host.now += 10ms;
            const RequestId id = host.request("/once/", "k" + std::to_string(n));
            const auto *attempt = host.find<StartAttempt>();
            if (attempt == nullptr) {
                continue;
            }
            otherRegion += attempt->zone == "z3" ? 1 : 0;
            host.now += 10ms;
            host.end(id, 1, AttemptOutcome::Answered);
        }
        return static_cast<double>(otherRegion) / Requests;
    };
    RegionDemand demand{"r1", "s", 30};
    host.reduce(ReportsChanged{{}, false, {demand, {"r2", "s", 1}}});
    const double before = otherRegionShare();
    for (unsigned n = 0; n < Targets; ++n) {
        host.reduce(BackpressureReceived{{{{"near" + std::to_string(n), 0ms}, true, 1, 0ms}}});
    }
    for (int n = 0; n < 100; ++n) {
        host.now += 200ms;
        host.reduce(BalanceTick{});
    }
    CHECK(otherRegionShare() > before + 0.3);
}

TEST_CASE("a target gets nothing during a back-off, then one request at a time until it has run one")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    host.shedWithBackoff(host.request("/once/"), "t1", 3s);
    host.now += 2900ms;
    CHECK(host.send().empty());
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::Backpressure);
    host.now += 1s;
    const RequestId first = host.request("/once/");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.balancer.maySend(first, 1));
    CHECK(host.send().empty());
    host.end(first, 1, AttemptOutcome::Answered);
    CHECK(host.find<PassAnswer>() != nullptr);
    host.request("/once/");
    CHECK(host.find<StartAttempt>() != nullptr);
    host.request("/once/");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("hosts that start a back-off at the same moment end it at different times")
{
    std::set<TimePoint> resumeTimes;
    constexpr unsigned Hosts = 20;
    for (unsigned n = 0; n < Hosts; ++n) {
        BalanceSettings settings = BackpressureHost::settings();
        settings.seed = 1 + n;
        Host host(settings);
        host.useTable();
        host.report(Host::targetOf("t1"));
        const RequestId id = host.request("/once/");
        TargetSignalled event{{"t1", 0ms}, {}, host.now};
        event.signal.backOff = 3s;
        host.reduce(event);
        host.end(id, 1, AttemptOutcome::Shed);
        const TimePoint startedAt = host.now;
        do {
            host.now += 10ms;
            host.request("/once/");
        } while (host.find<StartAttempt>() == nullptr);
        CHECK(host.now - startedAt >= 3s);
        CHECK(host.now - startedAt <= 4s);
        resumeTimes.insert(host.now);
    }
    CHECK(resumeTimes.size() > Hosts / 2);
}

TEST_CASE("an unsent request is withdrawn if its target asks for back-off meanwhile")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    const RequestId waiting = host.request("/once/");
    const RequestId other = host.request("/once/");
    host.shedWithBackoff(other, "t1", 3s);
    CHECK_FALSE(host.balancer.maySend(waiting, 1));
}

TEST_CASE("a back-off is bounded, and a shorter one does not end a longer one")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    host.shedWithBackoff(host.request("/once/"), "t1", 365 * 24h);
    host.now += 6min;
    const RequestId second = host.request("/once/");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.shedWithBackoff(second, "t1", 10s);
    TargetSignalled shorter{{"t1", 0ms}, {}, host.now};
    shorter.signal.backOff = 1s;
    host.reduce(shorter);
    host.now += 9s;
    CHECK(host.send().empty());
    host.now += 3s;
    CHECK(host.send() == "t1");
}

TEST_CASE("a back-off ends with the incarnation that asked for it")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    host.shedWithBackoff(host.request("/once/"), "t1", 1min);
    TargetReport next = Host::targetOf("t1");
    next.startedAt = 5000ms;
    host.report(next);
    CHECK(host.send() == "t1");
    // A late answer of the previous incarnation does not affect the next one.
    TargetSignalled late{{"t1", 0ms}, {}, host.now};
    late.signal.backOff = 1min;
    host.reduce(late);
    CHECK(host.send() == "t1");
}

TEST_CASE("a target that signals that it is leaving gets no new requests, even if it reports that it is ready")
{
    BackpressureHost host;
    host.report(Host::targetOf("t1"));
    const RequestId waiting = host.request("/once/");
    TargetSignalled event{{"t1", 0ms}, {}, host.now};
    event.signal.isLeaving = true;
    host.reduce(event);
    REQUIRE(host.find<BackpressureChanged>() != nullptr);
    CHECK(host.find<BackpressureChanged>()->isLocal);
    CHECK(host.find<BackpressureChanged>()->isLeaving);
    CHECK_FALSE(host.balancer.maySend(waiting, 1));
    TargetReport report = Host::targetOf("t1");
    report.sequence = 9;
    host.report(report);
    CHECK(host.send().empty());
    // A late answer from before does not revoke it.
    host.reduce(TargetSignalled{{"t1", 0ms}, {}, host.now});
    CHECK(host.send().empty());
    report.startedAt = 5000ms;
    host.report(report);
    CHECK(host.send() == "t1");
}

TEST_CASE("a host that receives that a target is leaving sends it nothing, also if the target's report arrives later")
{
    BackpressureHost host;
    const BackpressureReport leaving{{"t1", 0ms}, false, 0, 0ms, true};
    host.reduce(BackpressureReceived{{leaving}});
    host.report(Host::targetOf("t1"));
    CHECK(host.send().empty());
}
