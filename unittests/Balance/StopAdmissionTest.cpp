//===- StopAdmissionTest.cpp - Requests at a stopping entry host ----------===//
#include "BalanceFixture.h"

#include "Balance/RetryAdvice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

/// An entry host with two targets that has begun to stop.
class StoppingHost : public Host
{
public:
    explicit StoppingHost(Duration untilLastAnswer)
    {
        useTable();
        report(targetOf("t1"));
        report(targetOf("t2"));
        lastAnswerAt = now + untilLastAnswer;
    }

    void stop()
    {
        reduce(StopPlanned{{lastAnswerAt, lastAnswerAt + 200ms}});
    }

    TimePoint lastAnswerAt;
};

} // namespace

// Guards against requests that a stopping host sends to a target and that its exit cuts.
TEST_CASE("a stopping host refuses a request whose deadline lies behind its last answer")
{
    StoppingHost host(1s);
    host.stop();
    host.request("/once/x", {}, 1500ms);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::Stopping);
    CHECK(host.find<RefuseRequest>()->retryAfter == OtherHostRetryAfter);
    CHECK(host.find<StartAttempt>() == nullptr);
    host.request("/once/x", {}, 900ms);
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("without a caller's deadline, a stopping host goes by the time-out of the route")
{
    StoppingHost host(1900ms);
    host.stop();
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() == nullptr);
    host.table.routes.front().timeout = 1800ms;
    ++host.table.version;
    host.useTable();
    host.request("/read/x");
    CHECK(host.find<StartAttempt>() != nullptr);
}

// Guards against an answer in time that the exit cuts, since another one ahead of it on its connection was not there.
TEST_CASE("a stopping host refuses a request behind one that may be answered later than the last answer")
{
    StoppingHost host(1s);
    host.stop();
    CallerRequest request{RequestId{1}, "h", "/once/x", {}, 500ms};
    request.dueAhead = host.now + 1100ms;
    host.reduce(request);
    CHECK(host.find<RefuseRequest>() != nullptr);
    request.id = RequestId{2};
    request.dueAhead = host.now + 900ms;
    host.reduce(request);
    CHECK(host.find<StartAttempt>() != nullptr);
}

// Guards against a second attempt that begins late in a stop and is cut.
TEST_CASE("a stopping host tries no other target for a request that may outlive it")
{
    StoppingHost host(1s);
    const RequestId id = host.request("/once/x", {}, 1800ms);
    host.stop();
    host.end(id, 1, AttemptOutcome::Shed);
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::Stopping);
    CHECK(host.find<StartAttempt>() == nullptr);
}

TEST_CASE("a stopping host does not send what still waits for a connection and may outlive it")
{
    StoppingHost host(1s);
    const RequestId longer = host.request("/once/x", {}, 1800ms);
    const RequestId shorter = host.request("/once/x", {}, 800ms);
    host.stop();
    CHECK(host.balancer.withheldBecause(longer, 1) == Withheld::Stopping);
    CHECK(host.balancer.maySend(shorter, 1));
}

// Guards against a hedge of a request that outlives the host, which takes a token of the budget that all hosts share.
TEST_CASE("a stopping host hedges no request that may outlive it")
{
    const auto hedges = [](Duration untilLastAnswer) {
        StoppingHost host(untilLastAnswer);
        host.request("/read/x", {}, 1900ms);
        host.stop();
        bool isHedged = false;
        for (int n = 0; n < 17; ++n) {
            host.now += 100ms;
            host.reduce(BalanceTick{});
            isHedged |= host.find<StartAttempt>() != nullptr;
        }
        return isHedged;
    };
    CHECK(hedges(2s));
    CHECK_FALSE(hedges(1800ms));
}

// Guards against answers that the exit takes along since a request ahead of them on their connection is not over.
TEST_CASE("at its exit a host gives up what is open, and tells so")
{
    StoppingHost host(1s);
    const RequestId id = host.request("/once/x", {}, 1800ms);
    host.stop();
    host.now = host.lastAnswerAt + 200ms;
    host.reduce(ExitDue{});
    REQUIRE(host.find<RefuseRequest>() != nullptr);
    CHECK(host.find<RefuseRequest>()->id == id);
    CHECK(host.find<RefuseRequest>()->reason == Refusal::TimedOut);
    CHECK(host.find<CancelAttempt>() != nullptr);
    CHECK(host.balancer.openRequests() == 0);
}

// Each request that begins at a target has to be over before the exit, whether it came before the stop or after, and
// however its attempts before ended.
TEST_CASE("no attempt begins at a stopping host that may end after the last answer")
{
    CHECK(rc::check([] {
        StoppingHost host(4s);
        std::vector<std::pair<RequestId, unsigned>> inProgress; // with the number of the attempt
        bool isStopping = false;
        const auto collect = [&] {
            for (const BalanceEffect &it : host.effects) {
                if (const auto *started = std::get_if<StartAttempt>(&it)) {
                    inProgress.emplace_back(started->id, started->attempt);
                    RC_ASSERT(!isStopping || host.now + started->timeLeft <= host.lastAnswerAt);
                }
            }
        };
        for (int left = 60; left > 0; --left) {
            host.now += Milliseconds(*rc::gen::inRange(0, 150));
            const auto what = *rc::gen::inRange(0, 8);
            if (what < 4 || inProgress.empty()) {
                host.request(*rc::gen::arbitrary<bool>() ? "/once/x" : "/read/x", {},
                             Milliseconds(*rc::gen::inRange(100, 2500)));
            } else if (what < 7) {
                const auto n = *rc::gen::inRange<std::size_t>(0, inProgress.size());
                const auto [id, attempt] = inProgress[n];
                inProgress.erase(inProgress.begin() + static_cast<std::ptrdiff_t>(n));
                host.end(id, attempt,
                         *rc::gen::element(AttemptOutcome::Shed, AttemptOutcome::Lost, AttemptOutcome::NotSent,
                                           AttemptOutcome::Withdrawn, AttemptOutcome::Answered));
            } else {
                host.reduce(BalanceTick{});
            }
            collect();
            if (!isStopping && host.now > host.lastAnswerAt - 2s) {
                isStopping = true;
                host.stop();
            }
        }
    }));
}
