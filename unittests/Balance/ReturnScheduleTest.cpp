//===- ReturnScheduleTest.cpp - Tests of when refused callers return ------===//
#include "Balance/ReturnSchedule.h"
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr TimePoint Now{1000s};

/// A service of ten slots, of which one becomes free every 20 ms.
struct KnownService {
    KnownService()
    {
        schedule.setSlots("s", 10);
        for (int n = 0; n < 20; ++n) {
            schedule.addServiceTime("s", 200ms, 1);
        }
    }

    Duration advise(unsigned priority, Duration drainTime = 100ms, Duration timeLeft = 3s, TimePoint now = Now)
    {
        return schedule.adviseAt("s", priority, drainTime, timeLeft, now).value();
    }

    ReturnSchedule schedule;
};

} // namespace

// Load: a burst that is refused at once. Guards against callers that return together and are refused again.
TEST_CASE("callers that are refused together return one by one, the oldest first")
{
    KnownService it;
    for (int n = 0; n < 20; ++n) {
        CHECK(it.advise(1) == 100ms + n * 20ms);
    }
}

// Load: a longer overload than the callers' deadlines. Guards against callers that give up before they return.
TEST_CASE("no caller is told to wait longer than a third of its time left")
{
    KnownService it;
    for (int n = 0; n < 100; ++n) {
        CHECK(it.advise(1, 100ms, 900ms) <= 300ms);
    }
    CHECK(it.advise(1, 2s, 900ms) == 300ms);
    CHECK(it.advise(1, 2s, -1s) == 0ms);
}

// Load: orders and allocations are refused together. Guards against orders that wait for allocations.
TEST_CASE("the most urgent callers return first")
{
    KnownService it;
    for (int n = 0; n < 10; ++n) {
        it.advise(2);
    }
    CHECK(it.advise(0) == 100ms);
    CHECK(it.advise(0) == 120ms);
    CHECK(it.advise(2) == 300ms);
    KnownService other;
    other.advise(0);
    CHECK(other.advise(2) == 120ms);
}

// Load: one key's queue is much longer than the others. Guards against callers that wait for a queue they did not meet.
TEST_CASE("a long queue of one key does not delay the callers of others")
{
    KnownService it;
    CHECK(it.advise(1, 900ms) == 900ms);
    CHECK(it.advise(1, 100ms) == 100ms);
    CHECK(it.advise(1, 890ms) == 920ms);
}

// Load: callers that were refused return while new requests arrive. Guards against new requests that take the capacity
// that was promised, and against capacity that is kept for callers who do not return.
TEST_CASE("capacity is kept for callers who are due, and for a tenth of a second longer")
{
    KnownService it;
    it.advise(1);
    CHECK(it.schedule.reservedSlots("s", 1, Now) == 0);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 80ms) == 1);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 199ms) == 1);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 200ms) == 0);
    CHECK(it.schedule.reservedSlots("other", 1, Now + 100ms) == 0);
}

// Load: quote reads are due while orders and allocations arrive. Guards against urgent requests that leave room for
// less urgent callers.
TEST_CASE("requests leave room only for callers that are as urgent or more")
{
    KnownService it;
    it.advise(1);
    CHECK(it.schedule.reservedSlots("s", 0, Now + 100ms) == 0);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 100ms) == 1);
    CHECK(it.schedule.reservedSlots("s", 2, Now + 100ms) == 1);
}

// Load: callers return on time. Guards against capacity that is kept for callers who are already served.
TEST_CASE("a caller that has returned needs no capacity any more")
{
    KnownService it;
    it.advise(1);
    it.advise(1);
    it.schedule.returned("s", 2, Now + 120ms);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 120ms) == 2);
    it.schedule.returned("s", 1, Now + 120ms);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 120ms) == 1);
    it.schedule.returned("s", 1, Now + 120ms);
    it.schedule.returned("s", 1, Now + 120ms);
    CHECK(it.schedule.reservedSlots("s", 1, Now + 120ms) == 0);
}

// Load: far more callers than are served in the time that they wait. Guards against new requests that are all refused.
TEST_CASE("callers who are due take a bounded share of the slots")
{
    KnownService it;
    for (int n = 0; n < 200; ++n) {
        it.advise(1, 100ms, 600ms);
    }
    CHECK(it.schedule.reservedSlots("s", 1, Now + 200ms) > 10);
    CHECK(it.schedule.reservedUtilization("s", 1, Now + 200ms) == Approx(0.25));
}

// Guards against a schedule by a rate that is not known yet, as after a restart.
TEST_CASE("nothing is scheduled while the slots or the service time of a service are not known")
{
    ReturnSchedule it;
    it.addServiceTime("s", 200ms, 1);
    CHECK_FALSE(it.adviseAt("s", 1, 100ms, 3s, Now));
    it.setSlots("s", 10);
    CHECK_FALSE(it.adviseAt("s", 1, 100ms, 3s, Now));
    for (int n = 0; n < 20; ++n) {
        it.addServiceTime("s", 200ms, 1);
    }
    CHECK(it.adviseAt("s", 1, 100ms, 3s, Now));
    it.setSlots("s", 0);
    CHECK_FALSE(it.adviseAt("s", 1, 100ms, 3s, Now));
    CHECK(it.reservedUtilization("s", 1, Now + 100ms) == 0);
}

namespace
{

/// An entry host whose only target of four slots has answered in 100 ms each, and has a full queue now.
class OverloadedHost : public Host
{
public:
    explicit OverloadedHost(bool schedulesReturns)
        : Host(settingsWith(schedulesReturns))
    {
        useTable();
        report(targetOf("t1"));
        for (int n = 0; n < 20; ++n) {
            const RequestId id = request("/once/", {}, 2s);
            now += 100ms;
            end(id, 1, AttemptOutcome::Answered);
            reduce(BalanceTick{});
        }
        while (find<RefuseRequest>() == nullptr) {
            const RequestId id = request("/once/", {}, 2s);
            if (find<StartAttempt>() != nullptr) {
                running.push_back(id);
            }
        }
    }

    static BalanceSettings settingsWith(bool schedulesReturns)
    {
        BalanceSettings it = settingsOf("z1", 1);
        it.policy.schedulesReturns = schedulesReturns;
        return it;
    }

    /// Sends a request that is refused, and returns the advice.
    Milliseconds refusedFor()
    {
        request("/once/", {}, 2s);
        REQUIRE(find<RefuseRequest>() != nullptr);
        REQUIRE(find<RefuseRequest>()->reason == Refusal::Overloaded);
        return find<RefuseRequest>()->retryAfter;
    }

    bool admits(Duration deadline)
    {
        request("/once/", {}, deadline);
        return find<StartAttempt>() != nullptr;
    }

    /// Ends the request that met the longest queue, so that its time does not change the predicted service time much.
    void endLast()
    {
        end(running.back(), 1, AttemptOutcome::Answered);
        running.pop_back();
    }

    std::vector<RequestId> running;
};

} // namespace

// Load: a burst at a full queue. Guards against advice that is random, so that some callers return together.
TEST_CASE("a host spreads the callers that it refuses only if it schedules returns")
{
    OverloadedHost host(true);
    Milliseconds last = host.refusedFor();
    for (int n = 0; n < 10; ++n) {
        const Milliseconds advice = host.refusedFor();
        CHECK(advice - last >= 24ms);
        CHECK(advice - last <= 26ms);
        CHECK(advice <= 660ms);
        last = advice;
    }
    OverloadedHost unscheduled(false);
    std::vector<Milliseconds> advices(11);
    std::generate(advices.begin(), advices.end(), [&] { return unscheduled.refusedFor(); });
    CHECK_FALSE(std::is_sorted(advices.begin(), advices.end()));
}

// Load: a place becomes free in a full queue when a caller is due, and a new request comes first. Guards against
// callers that are refused twice while newer requests are admitted.
TEST_CASE("a new request leaves its place to a caller who is due only if the host schedules returns")
{
    const bool schedulesReturns = GENERATE(true, false);
    OverloadedHost host(schedulesReturns);
    for (int n = 0; n < 10; ++n) {
        host.refusedFor();
    }
    host.now += 200ms;
    host.endLast();
    CHECK(host.admits(2s) != schedulesReturns);
}

// Load: the same place, after the callers who were due have not come. Guards against a reserve that does not lapse.
TEST_CASE("a new request is admitted once the reserve for callers has lapsed")
{
    OverloadedHost host(true);
    for (int n = 0; n < 10; ++n) {
        host.refusedFor();
    }
    host.now += 200ms;
    host.endLast();
    REQUIRE_FALSE(host.admits(2s));
    host.now += 350ms;
    CHECK(host.admits(2s));
}

// Load: the same place, and the caller who is due comes. Guards against a reserve that excludes whom it is for.
TEST_CASE("a caller who is due gets the place that new requests leave")
{
    OverloadedHost host(true);
    for (int n = 0; n < 10; ++n) {
        host.refusedFor();
    }
    host.now += 200ms;
    host.endLast();
    CHECK_FALSE(host.admits(2s));
    CHECK(host.admits(1800ms));
}
