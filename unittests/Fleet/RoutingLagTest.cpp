//===- RoutingLagTest.cpp - Routing that a host still lacks ---------------===//
#include "Fleet/RoutingLag.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Lease = 1800ms;

} // namespace

TEST_CASE("the lag starts when the oldest missing routing is advertised")
{
    const TimePoint start{1000s};
    RoutingLag lag(Lease);
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
    RoutingLag lag(Lease);
    lag.setApplied(3);
    CHECK(lag.newestIndex() == 3);
    lag.addAdvertised(3, start);
    CHECK_FALSE(lag.behindSince());
    lag.addAdvertised(4, start);
    lag.setApplied(9);
    CHECK_FALSE(lag.behindSince());
    CHECK(lag.newestIndex() == 9);
}

// Guards against a host that is heard again after more than a lease, learns of newer routing, and sends by its old
// routing for a further lease, although nobody has waited for it.
TEST_CASE("routing advertised after a silence of more than a lease is missing since the last contact")
{
    const TimePoint start{1000s};
    RoutingLag lag(Lease);
    lag.addContact(start);
    lag.addContact(start + Lease); // still waited for
    lag.addAdvertised(4, start + Lease);
    CHECK(lag.behindSince() == start + Lease);
    lag.setApplied(4);
    lag.addContact(start + 5s);
    lag.addAdvertised(5, start + 5s);
    CHECK(lag.behindSince() == start + Lease);
    lag.addContact(start + 6s);
    lag.addAdvertised(6, start + 6s);
    lag.setApplied(5);
    CHECK(lag.behindSince() == start + 6s);
}
