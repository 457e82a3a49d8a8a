//===- EndlessAnswerTest.cpp - Targets whose answers have no end ----------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

struct TwoTargets : Host {
    TwoTargets()
    {
        useTable();
        report(targetOf("i-1"));
        report(targetOf("i-2"));
    }

    /// Sends a request and returns the target of its first attempt.
    std::string targetOfNext(const std::string &path)
    {
        request(path);
        return find<StartAttempt>()->target;
    }
};

} // namespace

// Guards against a target that sends without end and goes on getting its share of the requests.
TEST_CASE("a target whose answer has no end gets no request for a while, at once")
{
    TwoTargets host;
    const std::string endless = host.targetOfNext("/read/x");
    host.end(RequestId{1}, 1, AttemptOutcome::Endless);
    REQUIRE(host.find<StartAttempt>() != nullptr); // elsewhere, as the request may be repeated
    CHECK(host.find<StartAttempt>()->target != endless);
    host.end(RequestId{1}, 2, AttemptOutcome::Answered);
    for (int n = 0; n < 50; ++n) {
        CHECK(host.targetOfNext("/read/" + std::to_string(n)) != endless);
        host.end(static_cast<RequestId>(host.lastRequest), 1, AttemptOutcome::Answered);
    }
}

// Guards against a target that sends without end, is the only one, and gets all requests for want of another.
TEST_CASE("the only target of a service is not used while it is blocked for an endless answer")
{
    Host host;
    host.useTable();
    host.report(Host::targetOf("i-1"));
    int sent = 0;
    for (int n = 0; n < 200; ++n) {
        const RequestId id = host.request("/once/" + std::to_string(n));
        if (host.find<StartAttempt>() != nullptr) {
            ++sent;
            host.end(id, 1, AttemptOutcome::Endless);
        } else {
            REQUIRE(host.find<RefuseRequest>() != nullptr);
            CHECK(promisesNotRun(host.find<RefuseRequest>()->reason));
        }
        host.now += 50ms;
    }
    CHECK(sent > 1);
    CHECK(sent <= 20); // in 10 s
}

TEST_CASE("a request that may run once is refused at once if its answer has no end")
{
    TwoTargets host;
    host.targetOfNext("/once/x");
    host.end(RequestId{1}, 1, AttemptOutcome::Endless);
    CHECK(host.find<StartAttempt>() == nullptr);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::Lost);
}

TEST_CASE("an answer without an end is no crash, and shows that the host reaches its targets")
{
    TwoTargets host;
    for (int n = 1; n <= 6; ++n) {
        const RequestId id = host.request("/read/same");
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Endless, {}, 0, true});
        CHECK(host.find<CheckTarget>() == nullptr);
        host.end(id, 2, AttemptOutcome::Answered);
        host.now += 1s;
        host.reduce(BalanceTick{});
        CHECK(host.find<ProbeTarget>() == nullptr);
    }
}
