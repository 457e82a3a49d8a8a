//===- SuspicionTest.cpp - Requests that crash targets, at one entry host ----------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

/// A host with enough targets for the crashes in a test.
class QuarantineHost : public Host
{
public:
    QuarantineHost()
    {
        useTable();
        for (int n = 0; n < 8; ++n) {
            report(targetOf("t" + std::to_string(n)));
        }
    }

    RequestId sendRequest(const std::string &path = "/read/x", const std::string &digest = "d")
    {
        const auto id = static_cast<RequestId>(++lastRequest);
        reduce(CallerRequest{id, "h", path, {}, 2s, digest});
        return id;
    }

    /// The target of an attempt closes its connection without an answer.
    void loseConnection(RequestId id, unsigned attempt)
    {
        reduce(AttemptEnded{id, attempt, AttemptOutcome::Lost, {}, 0, true});
    }

    void checkTarget(bool isRefused)
    {
        const CheckTarget *const effect = find<CheckTarget>();
        REQUIRE(effect != nullptr);
        const CheckTarget checked = *effect;
        reduce(TargetChecked{checked.target, isRefused});
    }

    /// Sends a request whose target crashes.
    void crashTarget(const std::string &path = "/once/x")
    {
        const RequestId id = sendRequest(path);
        REQUIRE(find<StartAttempt>() != nullptr);
        const std::string target = find<StartAttempt>()->target;
        loseConnection(id, 1);
        checkTarget(true);
        const BalanceEffects saved = effects;
        TargetReport gone = targetOf(target);
        gone.presence = Presence::Gone;
        report(gone);
        effects = saved;
    }

    Refusal refusal()
    {
        REQUIRE(find<RefuseRequest>() != nullptr);
        return find<RefuseRequest>()->reason;
    }
};

} // namespace

TEST_CASE("a request under which three targets crashed is refused as not run, and others are sent")
{
    QuarantineHost host;
    host.crashTarget();
    host.crashTarget();
    CHECK(host.find<SuspectChanged>()->standing == QuarantineStatus::Suspected);
    CHECK(host.find<SuspectChanged>()->isLocal);
    host.crashTarget();
    CHECK(host.find<SuspectChanged>()->standing == QuarantineStatus::Quarantined);
    host.sendRequest();
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Quarantined);
    CHECK(promisesNotRun(Refusal::Quarantined));
    CHECK(host.find<RefuseRequest>()->retryAfter == 60s);
    CHECK(host.balancer.openRequests() == 0);
    host.sendRequest("/read/x", "another");
    CHECK(host.find<StartAttempt>() != nullptr);
    host.sendRequest("/read/x", "");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a loss counts as a crash only if the connection ended and the target does not listen")
{
    QuarantineHost host;
    for (int n = 0; n < 5; ++n) {
        const RequestId id = host.sendRequest("/once/x");
        host.loseConnection(id, 1);
        host.checkTarget(false);
        const RequestId late = host.sendRequest("/once/x");
        host.end(late, 1, AttemptOutcome::TimedOut);
        CHECK(host.find<CheckTarget>() == nullptr);
        const RequestId reset = host.sendRequest("/once/x");
        host.end(reset, 1, AttemptOutcome::Lost);
        CHECK(host.find<CheckTarget>() == nullptr);
    }
    CHECK(host.balancer.quarantine().size() == 0);
}

TEST_CASE("one check records all requests that were lost at a crash, and the target is not chosen afterwards")
{
    QuarantineHost host;
    host.table.services.clear();
    const RequestId first = host.sendRequest("/once/x", "d1");
    const std::string target = host.find<StartAttempt>()->target;
    RequestId second{};
    while (second == RequestId{}) {
        const RequestId id = host.sendRequest("/once/x", "d2");
        if (host.find<StartAttempt>()->target == target) {
            second = id;
        }
    }
    host.loseConnection(first, 1);
    const CheckTarget checkTarget = *host.find<CheckTarget>();
    host.loseConnection(second, 1);
    CHECK(host.find<CheckTarget>() == nullptr);
    host.reduce(TargetChecked{checkTarget.target, true});
    CHECK(host.balancer.quarantine().crashCount("d1") == 1);
    CHECK(host.balancer.quarantine().crashCount("d2") == 1);
    for (int n = 0; n < 20; ++n) {
        host.sendRequest("/once/x", "d3");
        CHECK(host.find<StartAttempt>()->target != target);
    }
}

TEST_CASE("a repeatable request is retried after its first loss, and a suspected one is not")
{
    QuarantineHost host;
    const RequestId id = host.sendRequest();
    host.loseConnection(id, 1);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.checkTarget(true);
    host.crashTarget();
    const RequestId suspected = host.sendRequest();
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.loseConnection(suspected, 1);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Lost);
    // A suspected request that was not run is retried.
    const RequestId retry = host.sendRequest();
    host.end(retry, 1, AttemptOutcome::NotSent);
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a suspected request is not hedged when its target is unresponsive")
{
    QuarantineHost host;
    host.crashTarget();
    host.crashTarget();
    host.sendRequest("/read/x", "d");
    host.now += 1900ms;
    host.reduce(BalanceTick{});
    CHECK(host.find<StartAttempt>() == nullptr);
    QuarantineHost other;
    other.sendRequest("/read/x", "d");
    other.now += 1900ms;
    other.reduce(BalanceTick{});
    CHECK(other.find<StartAttempt>() != nullptr);
}

TEST_CASE("crashes that other hosts report add to those seen here, also for a request that is not sent yet")
{
    QuarantineHost host;
    host.crashTarget();
    const RequestId waiting = host.sendRequest("/once/x");
    CHECK(host.balancer.maySend(waiting, 1));
    host.reduce(SuspectsReceived{{{"d", {{{"far-1", 0ms}, 5ms, false}, {{"far-2", 0ms}, 9ms, false}}, 0, 0ms}}});
    REQUIRE(host.find<SuspectChanged>() != nullptr);
    CHECK_FALSE(host.find<SuspectChanged>()->isLocal);
    CHECK_FALSE(host.balancer.maySend(waiting, 1));
    host.end(waiting, 1, AttemptOutcome::Withdrawn);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Quarantined);
}

TEST_CASE("an answer to an attempt from before the quarantine frees the request")
{
    QuarantineHost host;
    const RequestId sent = host.sendRequest();
    host.crashTarget();
    host.crashTarget();
    host.crashTarget();
    CHECK(host.find<CancelAttempt>() == nullptr);
    host.end(sent, 1, AttemptOutcome::Answered);
    CHECK(host.find<PassAnswer>() != nullptr);
    REQUIRE(host.find<SuspectChanged>() != nullptr);
    CHECK(host.find<SuspectChanged>()->isLocal);
    CHECK(host.find<SuspectChanged>()->standing == QuarantineStatus::Free);
    host.sendRequest();
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("an answer that reports a failure of the target does not free the request")
{
    QuarantineHost host;
    const RequestId sent = host.sendRequest();
    host.crashTarget();
    host.crashTarget();
    host.crashTarget();
    host.reduce(AttemptEnded{sent, 1, AttemptOutcome::Answered, {}, 0, false, true});
    CHECK(host.find<PassAnswer>() != nullptr);
    host.sendRequest();
    CHECK(host.refusal() == Refusal::Quarantined);
}

TEST_CASE("a probe is requested once, delays no other request, and is sent once")
{
    QuarantineHost host;
    for (int n = 0; n < 3; ++n) {
        host.crashTarget();
    }
    host.now += 61s;
    const RequestId probe = host.sendRequest();
    CHECK(host.find<StartAttempt>() == nullptr);
    REQUIRE(host.find<RequestProbe>() != nullptr);
    CHECK(host.find<RequestProbe>()->digest == "d");
    host.sendRequest();
    CHECK(host.find<RequestProbe>() == nullptr);
    CHECK(host.refusal() == Refusal::Quarantined);
    SECTION("granted: one attempt and no retry")
    {
        host.reduce(ProbeDecided{probe, true});
        REQUIRE(host.find<StartAttempt>() != nullptr);
        CHECK(host.balancer.maySend(probe, 1));
        host.sendRequest();
        CHECK(host.refusal() == Refusal::Quarantined);
        host.loseConnection(probe, 1);
        CHECK(host.find<StartAttempt>() == nullptr);
        CHECK(host.refusal() == Refusal::Lost);
        host.checkTarget(true);
        CHECK(host.balancer.quarantine().crashCount("d") == 4);
    }
    SECTION("granted and answered: free")
    {
        host.reduce(ProbeDecided{probe, true});
        host.end(probe, 1, AttemptOutcome::Answered);
        host.sendRequest();
        CHECK(host.find<StartAttempt>() != nullptr);
    }
    SECTION("not granted")
    {
        host.reduce(ProbeDecided{probe, false});
        CHECK(host.refusal() == Refusal::Quarantined);
        CHECK(host.balancer.openRequests() == 0);
    }
    SECTION("no reply from the control hosts")
    {
        host.now += 3s;
        host.reduce(BalanceTick{});
        CHECK(host.refusal() == Refusal::Quarantined);
        host.reduce(ProbeDecided{probe, true});
        CHECK(host.find<StartAttempt>() == nullptr);
    }
}
