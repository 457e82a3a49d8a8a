//===- FailingTargetTest.cpp - Targets that fail again and again ----------===//
#include "Balance/FailureBlock.h"
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

// Guards against a target that is known to fail and gets all requests of a moment as soon as its block has ended.
TEST_CASE("after a block one request in as long a time tries the target until an answer comes")
{
    TimePoint now{1000s};
    FailureBlock block;
    block.recordOutage(now);
    CHECK_FALSE(block.mayUse(now));
    const Duration length = block.blockedUntil() - now;
    for (int n = 0; n < 3; ++n) {
        now = block.blockedUntil();
        CHECK(block.mayUse(now));
        block.recordSent(now);
        CHECK_FALSE(block.mayUse(now));
        CHECK(block.blockedUntil() - now == length); // a trial that hangs does not keep the next one away
    }
    block.recordAnswer();
    CHECK(block.mayUse(now));
    block.recordSent(now);
    CHECK(block.mayUse(now));
}

TEST_CASE("each failure after a block makes the next one longer, up to a bound")
{
    TimePoint now{1000s};
    FailureBlock block;
    block.recordFailure(now);
    block.recordFailure(now);
    CHECK(block.mayUse(now));
    Duration last{};
    for (int n = 0; n < 3; ++n) {
        block.recordFailure(now);
        CHECK(block.blockedUntil() - now > last);
        last = block.blockedUntil() - now;
        now = block.blockedUntil();
    }
    for (int n = 0; n < 100; ++n) {
        block.recordFailure(now);
        CHECK(block.blockedUntil() - now <= 4s);
    }
}

// Guards against one short pause of a target that counts as often as requests waited for it.
TEST_CASE("requests that were outrun in the same pause count as one failure")
{
    const TimePoint start{1000s};
    FailureBlock block;
    for (int n = 0; n < 20; ++n) {
        block.recordOutrun(start + n * 20ms, start + 600ms + n * 20ms);
    }
    CHECK(block.mayUse(start + 1s));
    block.recordOutrun(start + 1s, start + 1600ms);
    block.recordOutrun(start + 2s, start + 2600ms);
    CHECK_FALSE(block.mayUse(start + 2600ms));
}

// Guards against all requests of a service going to one target where each has failed.
TEST_CASE("targets that all fail are tried in turn")
{
    Host host;
    host.useTable();
    std::map<std::string, int> tried;
    for (const char *id : {"i-1", "i-2", "i-3", "i-4"}) {
        host.report(Host::targetOf(id));
    }
    for (int n = 0; n < 40; ++n) {
        const RequestId id = host.request("/once/" + std::to_string(n));
        const auto *attempt = host.find<StartAttempt>();
        REQUIRE(attempt != nullptr);
        ++tried[attempt->target];
        host.now += 10ms;
        host.end(id, 1, AttemptOutcome::Lost);
    }
    for (const auto &[id, count] : tried) {
        INFO(id);
        CHECK(count <= 15);
    }
    CHECK(tried.size() == 4);
}

// Guards against a target that never answers, but keeps its share since its attempts are cancelled when a hedged one is
// answered.
TEST_CASE("a target that is outrun by a later attempt again and again is not used for a while")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("i-1"));
    host.report(Host::targetOf("i-2"));
    const std::string mute = "i-1";
    int toMute = 0;
    for (int n = 0; n < 60; ++n) {
        const RequestId id = host.request("/read/" + std::to_string(n));
        if (host.find<StartAttempt>()->target == mute) {
            ++toMute;
            host.now += 1600ms; // longer than an attempt may take before it is hedged
            host.reduce(BalanceTick{});
            REQUIRE(host.find<StartAttempt>() != nullptr);
            host.end(id, 2, AttemptOutcome::Answered);
        } else {
            host.now += 20ms;
            host.end(id, 1, AttemptOutcome::Answered);
        }
    }
    CHECK(toMute <= 5);
}

TEST_CASE("a target is not charged where its callers leave")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("i-1"));
    host.report(Host::targetOf("i-2"));
    std::set<std::string> used;
    for (int n = 0; n < 20; ++n) {
        const RequestId id = host.request("/read/" + std::to_string(n));
        REQUIRE(host.find<StartAttempt>() != nullptr);
        used.insert(host.find<StartAttempt>()->target);
        host.now += 100ms;
        host.reduce(CallerLeft{id});
    }
    CHECK(used.size() == 2);
}
