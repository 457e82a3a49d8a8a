//===- RegionPlanTest.cpp - Tests of the traffic shares of regions --------===//
#include "Balance/RegionPlan.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);

} // namespace

TEST_CASE("a region that can serve its own callers serves all of them")
{
    const RegionShares shares = plannedShares("a", {{"a", 10}, {"b", 10}}, {{"a", 5.5}, {"b", 2}});
    CHECK(shares.at("a") == Approx(1));
}

TEST_CASE("demand that a region can't serve goes to the spare capacity of others")
{
    const RegionShares shares = plannedShares("a", {{"a", 10}, {"b", 30}, {"c", 10}}, {{"a", 12}, {"b", 4}, {"c", 8}});
    CHECK(shares.at("a") == Approx(0.5));
    CHECK(shares.at("b") == Approx(0.5));
    CHECK(shares.count("c") == 0);
}

TEST_CASE("all regions get the same utilization when the demand exceeds the capacity")
{
    const RegionShares shares = plannedShares("a", {{"a", 10}, {"b", 30}}, {{"a", 60}, {"b", 20}});
    CHECK(shares.at("a") == Approx(10.0 * 2 / 60));
}

TEST_CASE("shares move at a bounded rate, but leave a region without targets at once")
{
    RegionPlan plan(0.05);
    const std::map<std::string, double> both{{"a", 10}, {"b", 10}};
    plan.moveTowards({{"a", 1}}, both, Start);
    plan.moveTowards({{"a", 0}, {"b", 1}}, both, Start + 1s);
    CHECK(plan.shares().at("b") == Approx(0.05));
    plan.moveTowards({{"a", 0}, {"b", 1}}, both, Start + 3s);
    CHECK(plan.shares().at("b") == Approx(0.15));
    plan.moveTowards({{"b", 1}}, {{"b", 10}}, Start + 4s);
    CHECK(plan.regionAt(0.5) == "b");
    CHECK(plan.regionAt(0.01) == "b");
}

// Guards against queues in a region that has lost targets, while others have free slots.
TEST_CASE("the loss of a fifth of a region's slots is followed at once, and less is not")
{
    RegionPlan plan(0.05);
    plan.moveTowards({{"a", 1}}, {{"a", 10}, {"b", 10}}, Start, true);
    const TimePoint later = Start + RegionPlan::SettleTime;
    CHECK(plan.moveTowards({{"a", 1}}, {{"a", 10}, {"b", 10}}, later, true).empty());
    SECTION("less")
    {
        CHECK(plan.moveTowards({{"a", 0.5}, {"b", 0.5}}, {{"a", 8.1}, {"b", 10}}, later + 1ms, true).empty());
        CHECK(plan.shares().at("b") < 0.001);
    }
    SECTION("a fifth")
    {
        const std::vector<RegionLoss> losses =
            plan.moveTowards({{"a", 0.5}, {"b", 0.5}}, {{"a", 7.9}, {"b", 10}}, later + 1ms, true);
        REQUIRE(losses.size() == 1);
        CHECK(losses.front().region == "a");
        CHECK(losses.front().now == 7.9);
        CHECK(plan.shares().at("b") == Approx(0.5));
    }
    SECTION("a fifth, without the setting")
    {
        CHECK(plan.moveTowards({{"a", 0.5}, {"b", 0.5}}, {{"a", 7.9}, {"b", 10}}, later + 1ms).empty());
        CHECK(plan.shares().at("b") < 0.001);
    }
}

// Guards against callers that stay at the bounded rate where the first reports of demand, which are incomplete, sent
// them.
TEST_CASE("plans are adopted at once until the first one has settled")
{
    const bool followsLosses = GENERATE(true, false);
    RegionPlan plan(0.05);
    const RegionSlots slots{{"a", 10}, {"b", 10}};
    plan.moveTowards({{"a", 1}}, slots, Start, followsLosses);
    plan.moveTowards({{"a", 0.4}, {"b", 0.6}}, slots, Start + 1s, followsLosses);
    CHECK(plan.shares().at("b") == Approx(followsLosses ? 0.6 : 0.05));
    CHECK(plan.isStarting(Start + 1s));
    CHECK_FALSE(plan.isStarting(Start + RegionPlan::SettleTime));
}

// Guards against plans that are adopted at once for minutes after a region has lost nearly all of its slots.
TEST_CASE("a loss is followed for the settle time only")
{
    const double left = GENERATE(0.5, 5.0);
    RegionPlan plan(0.05);
    plan.moveTowards({{"a", 1}}, {{"a", 10}, {"b", 10}}, Start, true);
    // No update for 20 s: the loss is measured against the capacity until then.
    const TimePoint now = Start + 20s;
    const RegionSlots rest{{"a", left}, {"b", 10}};
    CHECK(plan.moveTowards({{"a", 0.9}, {"b", 0.1}}, rest, now + 1s, true).size() == 1);
    CHECK(plan.moveTowards({{"a", 0.5}, {"b", 0.5}}, rest, now + 6900ms, true).empty());
    CHECK(plan.shares().at("b") == Approx(0.5));
    CHECK(plan.moveTowards({{"a", 0.2}, {"b", 0.8}}, rest, now + 7s, true).empty());
    CHECK(plan.shares().at("b") == Approx(0.505));
}

TEST_CASE("keys are distributed by the shares, and a share that grows moves no other key")
{
    constexpr std::uint64_t Keys = 2000;
    const std::map<std::string, double> all{{"a", 10}, {"b", 10}, {"c", 10}};
    RegionPlan before(1);
    before.moveTowards({{"a", 0.5}, {"b", 0.3}, {"c", 0.2}}, all, Start);
    RegionPlan after(1);
    after.moveTowards({{"a", 0.6}, {"b", 0.24}, {"c", 0.16}}, all, Start);
    std::map<std::string, int> counts;
    int moved = 0;
    for (std::uint64_t key = 0; key < Keys; ++key) {
        const std::string from = before.regionForKey(key);
        const std::string to = after.regionForKey(key);
        ++counts[from];
        moved += from != to ? 1 : 0;
        CHECK((from == to || to == "a"));
    }
    CHECK(counts["a"] == Approx(0.5 * Keys).epsilon(0.1));
    CHECK(counts["b"] == Approx(0.3 * Keys).epsilon(0.1));
    CHECK(counts["c"] == Approx(0.2 * Keys).epsilon(0.1));
    CHECK(moved == Approx(0.1 * Keys).epsilon(0.2));
}

TEST_CASE("a region without a share gets no key")
{
    RegionPlan plan(1);
    plan.moveTowards({{"a", 1}, {"b", 0}}, {{"a", 10}, {"b", 10}}, Start);
    for (std::uint64_t key = 0; key < 100; ++key) {
        CHECK(plan.regionForKey(key) == "a");
    }
    CHECK(RegionPlan(1).regionForKey(1).empty());
}

TEST_CASE("callers of a region leave it as far as bound demand fills its targets")
{
    const RegionSlots capacity{{"a", 10}, {"b", 30}, {"c", 30}};
    const RegionSlots demand{{"a", 20}, {"b", 5}, {"c", 5}};
    const RegionShares unbound = plannedShares("a", capacity, demand);
    CHECK(unbound.at("a") == Approx(0.3));
    const RegionShares half = plannedShares("a", capacity, demand, {{"a", 3}});
    CHECK(half.at("a") == Approx(0.15));
    const RegionShares full = plannedShares("a", capacity, demand, {{"a", 9}});
    CHECK(full.at("a") == Approx(0));
    CHECK(full.at("b") == Approx(0.5));
}

TEST_CASE("no callers are sent to a region that bound demand fills")
{
    const RegionShares shares =
        plannedShares("b", {{"a", 30}, {"b", 10}, {"c", 30}}, {{"b", 20}, {"c", 1}}, {{"a", 25}});
    CHECK_FALSE(shares.contains("a"));
    CHECK(shares.at("c") > 0.5);
}
