//===- QuotaTest.cpp - Global rate limits of tenants ----------------------===//
//
// The patterns: a tenant below its limit whose callers use few hosts; a burst;
// callers who move to other hosts; a limit lowered far below the demand; a network
// partition, also with half of the hosts on each side; a crash of all hosts at
// once; a series of restarts. Each with 12, 66 and 300 hosts, for large and small
// tenants.
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
/// Fraction of the limit that a tenant uses which is well within it.
constexpr double NormalLoad = 0.625;

QuotaOutcome runShares(const QuotaPlan &plan)
{
    QuotaNetwork<QuotaShares> network(plan, [&](unsigned, std::uint64_t seed) {
        QuotaShares shares(plan.tolerance, seed);
        shares.setEntryHostCount(plan.entryHosts);
        return shares;
    });
    return network.run();
}

QuotaOutcome runEqualShares(const QuotaPlan &plan)
{
    QuotaNetwork<EqualShares> network(plan, [&](unsigned, std::uint64_t) { return EqualShares(plan.entryHosts); });
    return network.run();
}

/// Checks a plan for each number of hosts, for large and small tenants and with several seeds.
template <typename Check>
void forEachSize(const std::function<void(QuotaPlan &)> &setEvents, Check check)
{
    for (const unsigned hosts : {12U, 66U, 300U}) {
        for (const TenantLimit &limit : {Large, Middle, Small}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                QuotaPlan plan;
                plan.entryHosts = hosts;
                plan.hostsInUse = std::max(3U, hosts / 3); // the hosts of one region
                plan.limit = limit;
                plan.perSecond = limit.perSecond * NormalLoad;
                plan.seed = seed;
                setEvents(plan);
                CAPTURE(hosts, limit.perSecond, seed);
                check(plan);
            }
        }
    }
}

/// The same for tenants whose demand is `factor` times their limit.
template <typename Check>
void forEachSizeOverLimit(double factor, const std::function<void(QuotaPlan &)> &setEvents, Check check)
{
    const auto withExcessDemand = [&](QuotaPlan &plan) {
        setEvents(plan);
        plan.perSecond = plan.limit.perSecond * factor;
    };
    forEachSize(withExcessDemand, check);
}

/// Requests within the limit that may be refused: this many in all, and one more for each RequestsPerWrongRefusal,
/// which is what users allow for wrong refusals of any kind.
constexpr unsigned MaxWronglyRefused = 5;
constexpr unsigned RequestsPerWrongRefusal = 500;
/// Fraction of the requests within the limit that may be refused where no update can reach hosts in time.
constexpr double MaxRefusedFraction = 0.02;

void checkKeepsLimit(const QuotaPlan &plan)
{
    const QuotaOutcome outcome = runShares(plan);
    CAPTURE(outcome.requests, outcome.admitted, outcome.allowed, outcome.wronglyRefused());
    CHECK(outcome.maxExcess <= 0);
}

void checkKeepsLimitAndServes(const QuotaPlan &plan)
{
    const QuotaOutcome outcome = runShares(plan);
    CAPTURE(outcome.requests, outcome.admitted, outcome.allowed, outcome.wronglyRefused());
    CHECK(outcome.maxExcess <= 0);
    CHECK(outcome.wronglyRefused() <= MaxRefusedFraction * outcome.allowed);
}

} // namespace

TEST_CASE("a tenant below its limit whose callers use few hosts is served")
{
    forEachSize([](QuotaPlan &) {},
                [](const QuotaPlan &plan) {
                    const QuotaOutcome shares = runShares(plan);
                    CHECK(shares.wronglyRefused() <= MaxWronglyRefused + shares.allowed / RequestsPerWrongRefusal);
                    CHECK(shares.maxExcess <= 0);
                });
}

TEST_CASE("equal shares starve a small tenant, shares by demand do not")
{
    QuotaPlan plan;
    plan.limit = Small;
    plan.perSecond = Small.perSecond * NormalLoad;
    plan.hostsInUse = 4;
    const QuotaOutcome equal = runEqualShares(plan);
    const QuotaOutcome shares = runShares(plan);
    CHECK(equal.wronglyRefused() > 0.5 * equal.allowed);
    CHECK(shares.wronglyRefused() == 0);
}

TEST_CASE("a surge of requests is admitted while the burst allowance lasts, and no more than the bound")
{
    for (const double factor : {2.0, 3.0, 4.0}) {
        forEachSize(
            [&](QuotaPlan &plan) {
                plan.burstAt = 10s;
                plan.burstFactor = factor;
            },
            checkKeepsLimit);
    }
}

TEST_CASE("callers who move to other hosts may still use the whole limit of their tenant")
{
    forEachSize([](QuotaPlan &plan) { plan.moveCallersAt = 10s; }, checkKeepsLimitAndServes);
    // Also where the limit restricts requests.
    forEachSizeOverLimit(
        2, [](QuotaPlan &plan) { plan.moveCallersAt = 10s; }, checkKeepsLimit);
}

TEST_CASE("a limit lowered far below the demand holds one window after hosts have received it, and is used")
{
    forEachSize(
        [](QuotaPlan &plan) {
            plan.lowerLimitAt = 10s;
            plan.loweredLimit = {plan.limit.perSecond / 4, plan.limit.burst / 4};
        },
        [](const QuotaPlan &plan) {
            checkKeepsLimit(plan);
            QuotaPlan lowered = plan;
            lowered.limit = plan.loweredLimit;
            lowered.lowerLimitAt = {};
            const QuotaOutcome outcome = runShares(lowered);
            // Nine tenths of what the limit allows over the whole time.
            CHECK(outcome.admitted >= 0.9 * lowered.limit.perSecond * secondsOf(lowered.length));
        });
}

TEST_CASE("both sides of a network partition together admit one limit")
{
    for (const Duration length : {Duration(5s), Duration(30s)}) {
        for (const double fraction : {0.17, 0.5}) {
            forEachSizeOverLimit(
                2,
                [&](QuotaPlan &plan) {
                    plan.hostsInUse = plan.entryHosts;
                    plan.partitionAt = 5s;
                    plan.partitionLength = length;
                    plan.partitionFraction = fraction;
                },
                checkKeepsLimit);
        }
    }
}

TEST_CASE("a tenant below its limit is served during a network partition")
{
    forEachSize(
        [](QuotaPlan &plan) {
            plan.hostsInUse = plan.entryHosts;
            plan.limit = Large;
            plan.perSecond = Large.perSecond * NormalLoad;
            plan.partitionAt = 5s;
            plan.partitionLength = 8s;
            plan.partitionFraction = 0.17;
        },
        checkKeepsLimitAndServes);
}

TEST_CASE("a limit that restricted requests holds after all hosts crashed at once")
{
    forEachSizeOverLimit(
        3, [](QuotaPlan &plan) { plan.restartAllAt = 15s; }, checkKeepsLimit);
}

TEST_CASE("a series of restarts neither starves a tenant nor admits more than its limit")
{
    forEachSize([](QuotaPlan &plan) { plan.restartInterval = 300ms; }, checkKeepsLimitAndServes);
    forEachSizeOverLimit(
        2, [](QuotaPlan &plan) { plan.restartInterval = 300ms; }, checkKeepsLimit);
}

TEST_CASE("a host that resumes after a long time without contact uses its share")
{
    QuotaShares shares({5s, 0.1, 20}, 1);
    const TimePoint start(1000s);
    shares.recordContact(start);
    for (int n = 0; n < 500; ++n) { // half of the demand at all hosts
        shares.recordContact(start + n * 10ms);
        REQUIRE(shares.admit("t", {10, 10}, start + n * 10ms));
    }
    shares.demand(start + 5s);
    shares.updateLoads({{tenantHash("t"), 200, 1}});
    shares.recordContact(start + 5s);
    unsigned admitted = 0;
    for (int n = 0; n < 100; ++n) {
        admitted += shares.admit("t", {10, 10}, start + 11s + n * 10ms) ? 1 : 0;
    }
    // Half of the rate for a second, and half of the burst.
    CHECK(admitted <= 11);
    CHECK(admitted >= 5);
}

TEST_CASE("a small tenant is served as before once control hosts are in contact again")
{
    QuotaShares shares({5s, 0.1, 20}, 1);
    shares.setEntryHostCount(66);
    TimePoint now(1000s);
    const auto sendRequest = [&] {
        now += 100ms;
        return shares.admit("t", Small, now);
    };
    shares.recordContact(now);
    REQUIRE(sendRequest());
    now += 6s;
    while (sendRequest()) { // its share without contact is soon used up
    }
    shares.recordContact(now);
    for (int n = 0; n < 3; ++n) {
        CHECK(sendRequest());
    }
}

TEST_CASE("a tenant without requests takes no resources")
{
    QuotaShares shares({5s, 0.1, 20}, 1);
    const TimePoint start(1000s);
    shares.admit("t", {10, 10}, start);
    CHECK(shares.demand(start).size() == 1);
    CHECK(shares.demand(start + 10s).empty());
    QuotaAggregator aggregator;
    std::vector<Tenant> tenants(10'000);
    for (std::size_t n = 0; n < tenants.size(); ++n) {
        tenants[n].name = std::to_string(n);
        tenants[n].limit = {10, 10};
    }
    aggregator.update(tenants, {{tenantHash("7"), 9}}, start);
    CHECK(aggregator.loads().size() == 1);
}
