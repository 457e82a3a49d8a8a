//===- RegionPlanTest.cpp - Spill between regions -------------------------===//
#include "Balance/RegionPlan.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);

} // namespace

TEST_CASE("a region that can serve its own callers keeps them")
{
    const RegionShares shares = plannedShares("a", {{"a", 10}, {"b", 10}}, {{"a", 5.5}, {"b", 2}});
    CHECK(shares.at("a") == Approx(1));
}

TEST_CASE("what a region can't serve goes to the room of the others")
{
    const RegionShares shares = plannedShares("a", {{"a", 10}, {"b", 30}, {"c", 10}}, {{"a", 12}, {"b", 4}, {"c", 8}});
    CHECK(shares.at("a") == Approx(0.5));
    CHECK(shares.at("b") == Approx(0.5));
    CHECK(shares.count("c") == 0);
}

TEST_CASE("all regions are filled alike when there is too much for all")
{
    const RegionShares shares = plannedShares("a", {{"a", 10}, {"b", 30}}, {{"a", 60}, {"b", 20}});
    CHECK(shares.at("a") == Approx(10.0 * 2 / 60));
}

TEST_CASE("shares move no faster than allowed, but leave a region without targets at once")
{
    RegionPlan plan(0.05);
    const std::map<std::string, double> both{{"a", 10}, {"b", 10}};
    plan.follow({{"a", 1}}, both, Start);
    plan.follow({{"a", 0}, {"b", 1}}, both, Start + 1s);
    CHECK(plan.shares().at("b") == Approx(0.05));
    plan.follow({{"a", 0}, {"b", 1}}, both, Start + 3s);
    CHECK(plan.shares().at("b") == Approx(0.15));
    plan.follow({{"b", 1}}, {{"b", 10}}, Start + 4s);
    CHECK(plan.pick(0.5) == "b");
    CHECK(plan.pick(0.01) == "b");
}
