//===- FailingTargetTest.cpp - Targets that fail again and again ----------===//
#include "Balance/FailureBlock.h"
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

// Guards against a target that is known to fail and gets all requests of a moment as soon as its block has ended.
TEST_CASE("after a block one request at a time tries the target")
{
    TimePoint now{1000s};
    FailureBlock block;
    block.recordOutage(now);
    CHECK_FALSE(block.mayUse(now, 0));
    now = block.blockedUntil();
    CHECK(block.mayUse(now, 0));
    CHECK_FALSE(block.mayUse(now, 1));
    block.recordAnswer();
    CHECK(block.mayUse(now, 5));
}

TEST_CASE("each failure after a block makes the next one longer, up to a bound")
{
    TimePoint now{1000s};
    FailureBlock block;
    block.recordFailure(now);
    block.recordFailure(now);
    CHECK(block.mayUse(now, 3));
    Duration last{};
    for (int n = 0; n < 3; ++n) {
        block.recordFailure(now);
        CHECK(block.blockedUntil() - now > last);
        last = block.blockedUntil() - now;
        now = block.blockedUntil();
    }
    for (int n = 0; n < 100; ++n) {
        block.recordFailure(now);
        CHECK(block.blockedUntil() - now <= 4s);
    }
}
