//===- CallerSharesTest.cpp - Redirection of callers to other regions -----===//
#include "pepperlug/Registry.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr auto Step = 250ms;

/// Two regions whose link use follows the redirected callers.
class Regions
{
public:
    Regions(double a, double b)
        : m_demand{{"a", a}, {"b", b}}
    {
    }

    void setDemand(double a, double b)
    {
        m_demand = {{"a", a}, {"b", b}};
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += Step) {
            shares.update(loads(), now);
        }
    }

    std::map<std::string, RegionLoad> loads() const
    {
        std::map<std::string, RegionLoad> all;
        for (const auto &[region, demand] : m_demand) {
            const std::string &other = region == "a" ? "b" : "a";
            const RedirectedShare outgoing = shares.redirectedFrom(region);
            const RedirectedShare incoming = shares.redirectedFrom(other);
            all[region] = {4, demand * (1 - outgoing.fraction) + m_demand.at(other) * incoming.fraction};
        }
        return all;
    }

    TimePoint now{1000s};
    CallerShares shares;

private:
    std::map<std::string, double> m_demand;
};

} // namespace

TEST_CASE("regions whose links have spare capacity keep their callers")
{
    Regions regions(0.24, 0.0);
    regions.advance(60s);
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
}

TEST_CASE("regions with similar link use keep their callers, however high the use is")
{
    Regions regions(1.5, 1.45);
    regions.advance(60s);
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
}

TEST_CASE("a loaded region slowly redirects a fraction of its callers to an idle one until both have similar link use")
{
    Regions regions(1.0, 0.2);
    regions.advance(2s);
    CHECK(regions.shares.redirectedFrom("a").region == "b");
    CHECK(regions.shares.redirectedFrom("a").fraction > 0);
    CHECK(regions.shares.redirectedFrom("a").fraction < 0.08);
    regions.advance(60s);
    const auto loads = regions.loads();
    CHECK(std::abs(loads.at("a").linkUse - loads.at("b").linkUse) < 0.15);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
    // The share does not oscillate once it has settled.
    const double settled = regions.shares.redirectedFrom("a").fraction;
    regions.advance(10s);
    CHECK(std::abs(regions.shares.redirectedFrom("a").fraction - settled) < 0.02);
}

TEST_CASE("callers return after a burst, and never more than a fraction is redirected")
{
    Regions regions(3.0, 0.0);
    regions.advance(120s);
    CHECK(regions.shares.redirectedFrom("a").fraction <= 0.4);
    regions.setDemand(0.1, 0.1);
    regions.advance(60s);
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
}

TEST_CASE("a region without hosts receives no redirected callers")
{
    Regions regions(2.0, 0.1);
    regions.advance(20s);
    REQUIRE(regions.shares.redirectedFrom("a").region == "b");
    for (int n = 0; n < 10; ++n) {
        regions.now += Step;
        regions.shares.update({{"a", {4, 2.0}}}, regions.now);
    }
    CHECK(regions.shares.redirectedFrom("a").fraction == 0);
    CHECK(regions.shares.redirectedFrom("b").fraction == 0);
}

TEST_CASE("a long pause does not cause one large step")
{
    Regions regions(2.0, 0.1);
    regions.advance(1s);
    const double before = regions.shares.redirectedFrom("a").fraction;
    regions.now += 60s;
    regions.shares.update(regions.loads(), regions.now);
    CHECK(regions.shares.redirectedFrom("a").fraction - before < 0.05);
}
