//===- QuotaTest.cpp - Limits of tenants over all hosts together ----------===//
//
// The patterns: a tenant below its limit whose callers keep to few hosts; a crowd;
// callers who move; a limit lowered far below what is asked for; a cut with half
// of the hosts on each side; all hosts ended at once; restarts in series. Each at
// 12, 66 and 300 hosts, for a large tenant and a small one.
//
//===----------------------------------------------------------------------===//
#include "EqualShares.h"
#include "QuotaNetwork.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr TenantLimit Large{439, 439};
constexpr TenantLimit Middle{40, 40};
constexpr TenantLimit Small{5, 5};
/// Of the limit: what a tenant asks for that is well within it.
constexpr double Usual = 0.625;

QuotaOutcome playShares(const QuotaPlan &plan)
{
    QuotaNetwork<QuotaShares> network(plan, [&](unsigned, std::uint64_t seed) {
        QuotaShares shares(plan.terms, seed);
        shares.setEntryHostCount(plan.entryHosts);
        return shares;
    });
    return network.run();
}

QuotaOutcome playEqual(const QuotaPlan &plan)
{
    QuotaNetwork<EqualShares> network(plan, [&](unsigned, std::uint64_t) { return EqualShares(plan.entryHosts); });
    return network.run();
}

/// A plan of each size, for a large and a small tenant, with a few seeds.
template <typename Check>
void atEachSize(const std::function<void(QuotaPlan &)> &happens, Check check)
{
    for (const unsigned hosts : {12U, 66U, 300U}) {
        for (const TenantLimit &limit : {Large, Middle, Small}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                QuotaPlan plan;
                plan.entryHosts = hosts;
                plan.hostsInUse = std::max(3U, hosts / 3); // those of one region
                plan.limit = limit;
                plan.perSecond = limit.perSecond * Usual;
                plan.seed = seed;
                happens(plan);
                CAPTURE(hosts, limit.perSecond, seed);
                check(plan);
            }
        }
    }
}

/// The same for tenants that ask for so many times their limit.
template <typename Check>
void atEachSizeOverLimit(double times, const std::function<void(QuotaPlan &)> &happens, Check check)
{
    const auto andAsksTooMuch = [&](QuotaPlan &plan) {
        happens(plan);
        plan.perSecond = plan.limit.perSecond * times;
    };
    atEachSize(andAsksTooMuch, check);
}

/// Proper requests that may be refused in all, and one for so many more: what users allow for wrong refusals of any
/// kind.
constexpr unsigned MostWrong = 5;
constexpr unsigned RequestsToOneWrong = 500;
/// Part of the tries within the limit that may be refused where nothing that hosts are told can be in time.
constexpr double FewRefused = 0.02;

void checkKeeps(const QuotaPlan &plan)
{
    const QuotaOutcome outcome = playShares(plan);
    CAPTURE(outcome.asked, outcome.passed, outcome.owed, outcome.falselyRefused());
    CHECK(outcome.mostOver <= 0);
}

void checkKeepsAndServes(const QuotaPlan &plan)
{
    const QuotaOutcome outcome = playShares(plan);
    CAPTURE(outcome.asked, outcome.passed, outcome.owed, outcome.falselyRefused());
    CHECK(outcome.mostOver <= 0);
    CHECK(outcome.falselyRefused() <= FewRefused * outcome.owed);
}

} // namespace

TEST_CASE("a tenant below its limit whose callers keep to few hosts is served")
{
    atEachSize([](QuotaPlan &) {},
               [](const QuotaPlan &plan) {
                   const QuotaOutcome shares = playShares(plan);
                   CHECK(shares.falselyRefused() <= MostWrong + shares.owed / RequestsToOneWrong);
                   CHECK(shares.mostOver <= 0);
               });
}

TEST_CASE("equal shares starve a small tenant, shares by demand do not")
{
    QuotaPlan plan;
    plan.limit = Small;
    plan.perSecond = Small.perSecond * Usual;
    plan.hostsInUse = 4;
    const QuotaOutcome equal = playEqual(plan);
    const QuotaOutcome shares = playShares(plan);
    CHECK(equal.falselyRefused() > 0.5 * equal.owed);
    CHECK(shares.falselyRefused() == 0);
}

TEST_CASE("a crowd passes while the burst lasts, and no more than the bound")
{
    for (const double factor : {2.0, 3.0, 4.0}) {
        atEachSize(
            [&](QuotaPlan &plan) {
                plan.crowdAt = 10s;
                plan.crowdFactor = factor;
            },
            checkKeeps);
    }
}

TEST_CASE("callers who move to other hosts keep what their tenant may")
{
    atEachSize([](QuotaPlan &plan) { plan.shiftAt = 10s; }, checkKeepsAndServes);
    // Also where the limit binds.
    atEachSizeOverLimit(
        2, [](QuotaPlan &plan) { plan.shiftAt = 10s; }, checkKeeps);
}

TEST_CASE("a limit lowered far below what is asked for holds one window after hosts have it, and is used")
{
    atEachSize(
        [](QuotaPlan &plan) {
            plan.lowerAt = 10s;
            plan.lowered = {plan.limit.perSecond / 4, plan.limit.burst / 4};
        },
        [](const QuotaPlan &plan) {
            checkKeeps(plan);
            QuotaPlan lowered = plan;
            lowered.limit = plan.lowered;
            lowered.lowerAt = {};
            const QuotaOutcome outcome = playShares(lowered);
            // Nine tenths of what the limit allows over the whole time.
            CHECK(outcome.passed >= 0.9 * lowered.limit.perSecond * secondsOf(lowered.length));
        });
}

TEST_CASE("both sides of a cut together pass one limit")
{
    for (const Duration length : {Duration(5s), Duration(30s)}) {
        for (const double part : {0.17, 0.5}) {
            atEachSizeOverLimit(
                2,
                [&](QuotaPlan &plan) {
                    plan.hostsInUse = plan.entryHosts;
                    plan.cutAt = 5s;
                    plan.cutFor = length;
                    plan.cutPart = part;
                },
                checkKeeps);
        }
    }
}

TEST_CASE("behind a cut a tenant below its limit goes on")
{
    atEachSize(
        [](QuotaPlan &plan) {
            plan.hostsInUse = plan.entryHosts;
            plan.limit = Large;
            plan.perSecond = Large.perSecond * Usual;
            plan.cutAt = 5s;
            plan.cutFor = 8s;
            plan.cutPart = 0.17;
        },
        checkKeepsAndServes);
}

TEST_CASE("after all hosts have ended at once a limit that was binding holds")
{
    atEachSizeOverLimit(
        3, [](QuotaPlan &plan) { plan.killAt = 15s; }, checkKeeps);
}

TEST_CASE("restarts in series neither starve a tenant nor let more pass")
{
    atEachSize([](QuotaPlan &plan) { plan.restartInterval = 300ms; }, checkKeepsAndServes);
    atEachSizeOverLimit(
        2, [](QuotaPlan &plan) { plan.restartInterval = 300ms; }, checkKeeps);
}

TEST_CASE("a host that wakes after a long time without word goes by its share")
{
    QuotaShares shares({5s, 0.1, 20}, 1);
    const TimePoint start(1000s);
    shares.recordContact(start);
    for (int n = 0; n < 500; ++n) { // half of what all are asked for
        shares.recordContact(start + n * 10ms);
        REQUIRE(shares.admit("t", {10, 10}, start + n * 10ms));
    }
    shares.demand(start + 5s);
    shares.updateLoads({{tenantHash("t"), 200, 1}});
    shares.recordContact(start + 5s);
    unsigned passed = 0;
    for (int n = 0; n < 100; ++n) {
        passed += shares.admit("t", {10, 10}, start + 11s + n * 10ms) ? 1 : 0;
    }
    // A half of the rate for a second, and of the burst.
    CHECK(passed <= 11);
    CHECK(passed >= 5);
}

TEST_CASE("a small tenant is served as before once control hosts are heard again")
{
    QuotaShares shares({5s, 0.1, 20}, 1);
    shares.setEntryHostCount(66);
    TimePoint now(1000s);
    const auto ask = [&] {
        now += 100ms;
        return shares.admit("t", Small, now);
    };
    shares.recordContact(now);
    REQUIRE(ask());
    now += 6s;
    while (ask()) { // its share without word is soon used up
    }
    shares.recordContact(now);
    for (int n = 0; n < 3; ++n) {
        CHECK(ask());
    }
}

TEST_CASE("a tenant that nobody asks for costs nothing")
{
    QuotaShares shares({5s, 0.1, 20}, 1);
    const TimePoint start(1000s);
    shares.admit("t", {10, 10}, start);
    CHECK(shares.demand(start).size() == 1);
    CHECK(shares.demand(start + 10s).empty());
    QuotaAggregator sums;
    std::vector<Tenant> tenants(10'000);
    for (std::size_t n = 0; n < tenants.size(); ++n) {
        tenants[n].name = std::to_string(n);
        tenants[n].limit = {10, 10};
    }
    sums.update(tenants, {{tenantHash("7"), 9}}, start);
    CHECK(sums.loads().size() == 1);
}
