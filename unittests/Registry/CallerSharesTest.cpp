//===- CallerSharesTest.cpp - Callers sent to another region's hosts ------===//
#include "pepperlug/Registry.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr auto Step = 250ms;

/// Regions whose callers ask for a load that moves with the callers.
class Regions
{
public:
    Regions(double a, double b)
        : m_asked{{"a", a}, {"b", b}}
    {
    }

    void ask(double a, double b)
    {
        m_asked = {{"a", a}, {"b", b}};
    }

    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += Step) {
            shares.update(loads(), now);
        }
    }

    std::map<std::string, RegionLoad> loads() const
    {
        std::map<std::string, RegionLoad> all;
        for (const auto &[region, asked] : m_asked) {
            const std::string &other = region == "a" ? "b" : "a";
            const RedirectedShare leaving = shares.redirectedFrom(region);
            const RedirectedShare coming = shares.redirectedFrom(other);
            all[region] = {4, asked * (1 - leaving.fraction) + m_asked.at(other) * coming.fraction};
        }
        return all;
    }

    TimePoint now{1000s};
    CallerShares shares;

private:
    std::map<std::string, double> m_asked;
};

} // namespace

TEST_CASE("regions whose links have room keep their callers")
{
    Regions regions(0.24, 0.0);
    regions.pass(60s);
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
}

TEST_CASE("regions that are alike keep their callers, however full they are")
{
    Regions regions(1.5, 1.45);
    regions.pass(60s);
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
}

TEST_CASE("a crowded region sends a part of its callers to an empty one, slowly, until both are alike")
{
    Regions regions(1.0, 0.2);
    regions.pass(2s);
    CHECK(regions.shares.redirectedFrom("a").region == "b");
    CHECK(regions.shares.redirectedFrom("a").fraction > 0);
    CHECK(regions.shares.redirectedFrom("a").fraction < 0.08);
    regions.pass(60s);
    const auto loads = regions.loads();
    CHECK(std::abs(loads.at("a").linkUse - loads.at("b").linkUse) < 0.15);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
    // Nothing swings once it has settled.
    const double settled = regions.shares.redirectedFrom("a").fraction;
    regions.pass(10s);
    CHECK(std::abs(regions.shares.redirectedFrom("a").fraction - settled) < 0.02);
}

TEST_CASE("callers come back when the crowd has gone, and no more than a part ever leaves")
{
    Regions regions(3.0, 0.0);
    regions.pass(120s);
    CHECK(regions.shares.redirectedFrom("a").fraction <= 0.4);
    regions.ask(0.1, 0.1);
    regions.pass(60s);
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
}

TEST_CASE("a region without hosts takes no guests")
{
    Regions regions(2.0, 0.1);
    regions.pass(20s);
    REQUIRE(regions.shares.redirectedFrom("a").region == "b");
    for (int n = 0; n < 10; ++n) {
        regions.now += Step;
        regions.shares.update({{"a", {4, 2.0}}}, regions.now);
    }
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
}

TEST_CASE("a long pause is not made up for at once")
{
    Regions regions(2.0, 0.1);
    regions.pass(1s);
    const double before = regions.shares.redirectedFrom("a").fraction;
    regions.now += 60s;
    regions.shares.update(regions.loads(), regions.now);
    CHECK(regions.shares.redirectedFrom("a").fraction - before < 0.05);
}
