//===- ReachabilityTest.cpp - Hosts that are cut off from targets ---------===//
#include "pepperlug/Reachability.h"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Step = 25ms;

/// A host whose probes end as the test says.
struct Prober {
    /// Runs for a time. `answers` says of each probe whether it is answered; `takes`: how long one takes.
    template <typename Answers>
    void run(Duration time, Duration takes, Answers answers)
    {
        for (const TimePoint end = now + time; now < end; now += Step) {
            for (std::size_t n = reachability.startProbes(now); n > 0; --n) {
                ++probes;
                due.emplace_back(now + takes, answers());
            }
            std::erase_if(due, [&](const auto &it) {
                const bool isDue = it.first <= now;
                if (isDue) {
                    reachability.recordProbe(it.second ? ProbeResult::Answered : failure, now);
                }
                return isDue;
            });
        }
    }

    /// Sends requests one after the other, each of which is answered after a time. Probes fail.
    void serve(int requests, Duration usualTime, Duration takes)
    {
        for (int n = 0; n < requests; ++n) {
            reachability.recordSent(now, usualTime);
            run(takes, 1ms, [] { return false; });
            reachability.recordAnswer(now);
        }
    }

    TargetReachability reachability;
    ProbeResult failure = ProbeResult::Failed; ///< of probes that are not answered
    TimePoint now{1000s};
    std::size_t probes = 0;
    std::vector<std::pair<TimePoint, bool>> due;
};

constexpr auto Never = [] {
    return false;
};
constexpr auto Always = [] {
    return true;
};

} // namespace

TEST_CASE("a host without requests or with answers probes nothing")
{
    Prober host;
    host.run(5s, 1ms, Never);
    CHECK(host.probes == 0);
    host.serve(20, 0ms, 300ms);
    CHECK(host.probes == 0);
    CHECK_FALSE(host.reachability.isCutOff());
}

TEST_CASE("a host is cut off within two seconds of hanging connections, and reaches targets within one after it")
{
    Prober host;
    host.reachability.recordSent(host.now, 0ms);
    host.run(2s, 350ms, Never);
    CHECK(host.reachability.isCutOff());
    host.run(10s, 350ms, Never);
    CHECK(host.reachability.isCutOff());
    host.run(1s, 1ms, Always);
    CHECK_FALSE(host.reachability.isCutOff());
}

TEST_CASE("refused connections cut a host off at once, also while kept connections still answer")
{
    Prober host;
    for (int n = 0; n < 20; ++n) {
        host.reachability.recordSent(host.now, 0ms);
        host.reachability.recordFailure();
        host.run(50ms, 1ms, Never);
        host.reachability.recordAnswer(host.now);
    }
    CHECK(host.reachability.isCutOff());
}

// Guards against a connection for each answer of a service that always takes long.
TEST_CASE("a host probes nothing while answers take about as long as usual")
{
    constexpr Duration UsualTime = 700ms;
    Prober host;
    host.serve(20, UsualTime, UsualTime + 200ms);
    CHECK(host.probes == 0);
    host.reachability.recordSent(host.now, UsualTime);
    host.run(2 * UsualTime + 1s, 350ms, Never);
    CHECK(host.probes > 0);
}

// Guards against slow targets that cost a connection with each tick.
TEST_CASE("targets that are only slow cost one probe a second")
{
    Prober host;
    for (const TimePoint end = host.now + 10s; host.now < end;) {
        host.reachability.recordSent(host.now, 0ms);
        host.run(Step, 1ms, Always);
    }
    CHECK(host.probes <= 10);
    CHECK_FALSE(host.reachability.isCutOff());
}

// Guards against a host without further requests that probes until the next answer.
TEST_CASE("a request that is never answered costs one probe if that connects")
{
    Prober host;
    host.reachability.recordSent(host.now, 0ms);
    host.run(10s, 1ms, Always);
    CHECK(host.probes == 1);
    CHECK_FALSE(host.reachability.isCutOff());
}

TEST_CASE("probes whose results are lost prove nothing, and do not stop further rounds")
{
    Prober host;
    host.reachability.recordSent(host.now, 0ms);
    host.run(10s, 1min, Never);
    CHECK_FALSE(host.reachability.isCutOff());
    host.due.clear();
    host.run(4s, 1ms, Never);
    CHECK(host.reachability.isCutOff());
}

TEST_CASE("property: half of the targets failing rarely cuts a host off, and never for long")
{
    rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        Prober host;
        Duration cutOff{};
        for (int n = 0; n < 400; ++n) {
            host.reachability.recordSent(host.now, 0ms);
            host.reachability.recordFailure();
            host.run(Step, 1ms, [&] { return random() % 2 == 0; });
            cutOff += host.reachability.isCutOff() ? Step : Duration(0);
        }
        RC_ASSERT(cutOff < 2s); // of 10 s
    });
}

// Guards against a service that is overloaded, ends new connections and answers over kept ones, and is taken for one
// that this host does not reach.
TEST_CASE("connections without a byte cut a host off only if no request is answered either")
{
    Prober host;
    host.failure = ProbeResult::Connected;
    for (int n = 0; n < 100; ++n) {
        host.reachability.recordSent(host.now, 0ms);
        host.reachability.recordFailure();
        host.run(50ms, 1ms, Never);
        host.reachability.recordAnswer(host.now);
        CHECK_FALSE(host.reachability.isCutOff());
    }
    for (const TimePoint end = host.now + 4s; host.now < end;) {
        host.reachability.recordSent(host.now, 0ms);
        host.run(50ms, 600ms, Never);
    }
    CHECK(host.reachability.isCutOff());
}

// Guards against a device in between that accepts connections and passes nothing on, for which a host that only
// connects is never cut off.
TEST_CASE("property: a host is cut off while no target answers it, and at no other time")
{
    constexpr Duration NoticeTime = 4s; // a third of the shortest cut that requests have to survive
    constexpr Duration ReturnTime = 1s;
    rc::check([=] {
        Prober host;
        host.failure = *rc::gen::element(ProbeResult::Failed, ProbeResult::Connected);
        const auto phases = *rc::gen::container<std::vector<std::pair<bool, int>>>(
            rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(1, 599)));
        TimePoint changedAt = host.now;
        bool reached = true;
        for (const std::pair<bool, int> &phase : phases) {
            const bool reaches = phase.first;
            const Milliseconds takes(reaches ? phase.second / 2 : phase.second);
            if (reaches != reached) {
                changedAt = host.now;
                reached = reaches;
            }
            for (const TimePoint end = host.now + 5s; host.now < end;) {
                host.reachability.recordSent(host.now, 0ms);
                host.run(Step, takes, [reaches] { return reaches; });
                if (reaches && !host.reachability.isCutOff()) {
                    host.reachability.recordAnswer(host.now); // requests that are sent are answered
                }
                const bool isSettled = host.now - changedAt > (reaches ? ReturnTime : NoticeTime);
                RC_ASSERT(!isSettled || host.reachability.isCutOff() != reaches);
            }
        }
    });
}
