//===- RoutingLagTest.cpp - Routing that a host still lacks ---------------===//
#include "Fleet/RoutingLag.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

TEST_CASE("the lag starts when the oldest missing routing is advertised")
{
    const TimePoint start{1000s};
    RoutingLag lag;
    CHECK_FALSE(lag.behindSince());
    lag.addAdvertised(5, start);
    lag.addAdvertised(5, start + 1s); // advertised again
    lag.addAdvertised(7, start + 2s);
    lag.addAdvertised(6, start + 3s); // by a host with older routing
    CHECK(lag.newestIndex() == 7);
    CHECK(lag.behindSince() == start);
    lag.setApplied(5);
    CHECK(lag.behindSince() == start + 2s);
    lag.setApplied(7);
    CHECK_FALSE(lag.behindSince());
}

TEST_CASE("routing that arrives before its advertisement is no lag")
{
    const TimePoint start{1000s};
    RoutingLag lag;
    lag.setApplied(3);
    CHECK(lag.newestIndex() == 3);
    lag.addAdvertised(3, start);
    CHECK_FALSE(lag.behindSince());
    lag.addAdvertised(4, start);
    lag.setApplied(9);
    CHECK_FALSE(lag.behindSince());
    CHECK(lag.newestIndex() == 9);
}
