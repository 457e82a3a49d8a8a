//===- RecentTargetsTest.cpp - Targets that attempts were sent to lately --===//
#include "Fleet/RecentTargets.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

// Guards against spare connections to targets that this host no longer uses, and against more of them than are set.
TEST_CASE("recent targets are the latest ones, and expire after 30 s")
{
    const Address first{"10.0.0.1", 1};
    const Address second{"10.0.0.2", 1};
    const Address third{"10.0.0.3", 1};
    const TimePoint start{100s};
    RecentTargets targets;
    targets.addAttempt(first, start);
    targets.addAttempt(second, start + 1s);
    targets.addAttempt(third, start + 2s);
    targets.addAttempt(first, start + 3s);
    CHECK(targets.mostRecent(2, start + 3s) == std::vector{first, third});
    CHECK(targets.mostRecent(9, start + 3s) == std::vector{first, third, second});
    CHECK(targets.mostRecent(0, start + 3s).empty());
    CHECK(targets.mostRecent(9, start + 32s + 1ms) == std::vector{first});
    CHECK(targets.mostRecent(9, start + 33s + 1ms).empty());
}
