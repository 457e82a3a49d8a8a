//===- SuspicionTest.cpp - Requests that end targets, at one entry host ------------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

/// A host with a target for each try that a test makes.
class SuspectingHost : public Host
{
public:
    SuspectingHost()
    {
        useTable();
        for (int n = 0; n < 8; ++n) {
            report(targetOf("t" + std::to_string(n)));
        }
    }

    RequestId ask(const std::string &path = "/read/x", const std::string &digest = "d")
    {
        const auto id = static_cast<RequestId>(++lastRequest);
        reduce(CallerRequest{id, "h", path, {}, 2s, digest});
        return id;
    }

    /// The target of the newest attempt closes its connection without an answer.
    void lose(RequestId id, unsigned attempt)
    {
        reduce(AttemptEnded{id, attempt, AttemptOutcome::Lost, {}, 0, true});
    }

    void check(bool isRefused)
    {
        const CheckTarget *const effect = find<CheckTarget>();
        REQUIRE(effect != nullptr);
        const CheckTarget checked = *effect;
        reduce(TargetChecked{checked.target, isRefused});
    }

    /// A new try whose target ends.
    void endTarget(const std::string &path = "/once/x")
    {
        const RequestId id = ask(path);
        REQUIRE(find<StartAttempt>() != nullptr);
        const std::string target = find<StartAttempt>()->target;
        lose(id, 1);
        check(true);
        const BalanceEffects told = effects;
        TargetReport gone = targetOf(target);
        gone.presence = Presence::Gone;
        report(gone);
        effects = told;
    }

    Refusal refusal()
    {
        REQUIRE(find<RefuseRequest>() != nullptr);
        return find<RefuseRequest>()->reason;
    }
};

} // namespace

TEST_CASE("a request under which three targets ended is refused as not run, and others are sent")
{
    SuspectingHost host;
    host.endTarget();
    host.endTarget();
    CHECK(host.find<SuspectChanged>()->standing == Standing::Suspected);
    CHECK(host.find<SuspectChanged>()->isLocal);
    host.endTarget();
    CHECK(host.find<SuspectChanged>()->standing == Standing::ShutOut);
    host.ask();
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Quarantined);
    CHECK(promisesNotRun(Refusal::Quarantined));
    CHECK(host.find<RefuseRequest>()->retryAfter == 60s);
    CHECK(host.balancer.openRequests() == 0);
    host.ask("/read/x", "another");
    CHECK(host.find<StartAttempt>() != nullptr);
    host.ask("/read/x", "");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a loss is no end of a target that still listens, nor where the connection did not end")
{
    SuspectingHost host;
    for (int n = 0; n < 5; ++n) {
        const RequestId id = host.ask("/once/x");
        host.lose(id, 1);
        host.check(false);
        const RequestId late = host.ask("/once/x");
        host.end(late, 1, AttemptOutcome::TimedOut);
        CHECK(host.find<CheckTarget>() == nullptr);
        const RequestId spoilt = host.ask("/once/x");
        host.end(spoilt, 1, AttemptOutcome::Lost);
        CHECK(host.find<CheckTarget>() == nullptr);
    }
    CHECK(host.balancer.quarantine().size() == 0);
}

TEST_CASE("all requests that were lost at one end are noted, by one check, and the target is not chosen meanwhile")
{
    SuspectingHost host;
    host.table.services.clear();
    const RequestId first = host.ask("/once/x", "d1");
    const std::string target = host.find<StartAttempt>()->target;
    RequestId second{};
    while (second == RequestId{}) {
        const RequestId id = host.ask("/once/x", "d2");
        if (host.find<StartAttempt>()->target == target) {
            second = id;
        }
    }
    host.lose(first, 1);
    const CheckTarget check = *host.find<CheckTarget>();
    host.lose(second, 1);
    CHECK(host.find<CheckTarget>() == nullptr);
    host.reduce(TargetChecked{check.target, true});
    CHECK(host.balancer.quarantine().endsUnder("d1") == 1);
    CHECK(host.balancer.quarantine().endsUnder("d2") == 1);
    for (int n = 0; n < 20; ++n) {
        host.ask("/once/x", "d3");
        CHECK(host.find<StartAttempt>()->target != target);
    }
}

TEST_CASE("the first loss of a request that may be repeated is made good, a suspected one is not sent on")
{
    SuspectingHost host;
    const RequestId id = host.ask();
    host.lose(id, 1);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.check(true);
    host.endTarget();
    const RequestId suspected = host.ask();
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.lose(suspected, 1);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Lost);
    // A target that did not run it is another matter.
    const RequestId again = host.ask();
    host.end(again, 1, AttemptOutcome::NotSent);
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a silent target is not doubled by a second one for a suspected request")
{
    SuspectingHost host;
    host.endTarget();
    host.endTarget();
    host.ask("/read/x", "d");
    host.now += 1900ms;
    host.reduce(BalanceTick{});
    CHECK(host.find<StartAttempt>() == nullptr);
    SuspectingHost other;
    other.ask("/read/x", "d");
    other.now += 1900ms;
    other.reduce(BalanceTick{});
    CHECK(other.find<StartAttempt>() != nullptr);
}

TEST_CASE("what another host tells counts with what was seen here, also for a request that was not sent yet")
{
    SuspectingHost host;
    host.endTarget();
    const RequestId waiting = host.ask("/once/x");
    CHECK(host.balancer.maySend(waiting, 1));
    host.reduce(SuspectsReceived{{{"d", {{{"far-1", 0ms}, 5ms, false}, {{"far-2", 0ms}, 9ms, false}}, 0, 0ms}}});
    REQUIRE(host.find<SuspectChanged>() != nullptr);
    CHECK_FALSE(host.find<SuspectChanged>()->isLocal);
    CHECK_FALSE(host.balancer.maySend(waiting, 1));
    host.end(waiting, 1, AttemptOutcome::Withdrawn);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Quarantined);
}

TEST_CASE("an answer frees a request that was sent before it was shut out")
{
    SuspectingHost host;
    const RequestId sent = host.ask();
    host.endTarget();
    host.endTarget();
    host.endTarget();
    CHECK(host.find<CancelAttempt>() == nullptr);
    host.end(sent, 1, AttemptOutcome::Answered);
    CHECK(host.find<PassAnswer>() != nullptr);
    REQUIRE(host.find<SuspectChanged>() != nullptr);
    CHECK(host.find<SuspectChanged>()->isLocal);
    CHECK(host.find<SuspectChanged>()->standing == Standing::Free);
    host.ask();
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a failure that a target answers frees nothing")
{
    SuspectingHost host;
    const RequestId sent = host.ask();
    host.endTarget();
    host.endTarget();
    host.endTarget();
    host.reduce(AttemptEnded{sent, 1, AttemptOutcome::Answered, {}, 0, false, true});
    CHECK(host.find<PassAnswer>() != nullptr);
    host.ask();
    CHECK(host.refusal() == Refusal::Quarantined);
}

TEST_CASE("a trial is asked for once, holds nobody up, and is sent once")
{
    SuspectingHost host;
    for (int n = 0; n < 3; ++n) {
        host.endTarget();
    }
    host.now += 61s;
    const RequestId tried = host.ask();
    CHECK(host.find<StartAttempt>() == nullptr);
    REQUIRE(host.find<RequestProbe>() != nullptr);
    CHECK(host.find<RequestProbe>()->digest == "d");
    host.ask();
    CHECK(host.find<RequestProbe>() == nullptr);
    CHECK(host.refusal() == Refusal::Quarantined);
    SECTION("granted: one target, and none after it")
    {
        host.reduce(ProbeDecided{tried, true});
        REQUIRE(host.find<StartAttempt>() != nullptr);
        CHECK(host.balancer.maySend(tried, 1));
        host.ask();
        CHECK(host.refusal() == Refusal::Quarantined);
        host.lose(tried, 1);
        CHECK(host.find<StartAttempt>() == nullptr);
        CHECK(host.refusal() == Refusal::Lost);
        host.check(true);
        CHECK(host.balancer.quarantine().endsUnder("d") == 4);
    }
    SECTION("granted and answered: free")
    {
        host.reduce(ProbeDecided{tried, true});
        host.end(tried, 1, AttemptOutcome::Answered);
        host.ask();
        CHECK(host.find<StartAttempt>() != nullptr);
    }
    SECTION("not granted")
    {
        host.reduce(ProbeDecided{tried, false});
        CHECK(host.refusal() == Refusal::Quarantined);
        CHECK(host.balancer.openRequests() == 0);
    }
    SECTION("no word from the control hosts")
    {
        host.now += 3s;
        host.reduce(BalanceTick{});
        CHECK(host.refusal() == Refusal::Quarantined);
        host.reduce(ProbeDecided{tried, true});
        CHECK(host.find<StartAttempt>() == nullptr);
    }
}
