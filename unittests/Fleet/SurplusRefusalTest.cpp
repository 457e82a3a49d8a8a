//===- SurplusRefusalTest.cpp - Second refusals of a target ---------------===//
#include "Fleet/StubControl.h"
#include "unittests/Http/SurplusTarget.h"

#include <numeric>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;
using pepperlug::test::SurplusTarget;

// Guards against a request that runs at most once, has run, and is refused as one that has not.
TEST_CASE("no request is refused that a target runs at the second attempt")
{
    constexpr int Requests = 100;
    std::array<SurplusTarget, 4> targets; // a host sends to the same target again where most turn requests away
    const auto runs = [&] {
        return std::accumulate(targets.begin(), targets.end(), std::size_t{0},
                               [](std::size_t sum, SurplusTarget &it) { return sum + it.runs(); });
    };
    Entry entry(42);
    for (SurplusTarget &it : targets) {
        entry.control.setTarget("i-" + std::to_string(it.address().port), it.address().text());
    }
    REQUIRE(System::eventually([&] { return entry.statusOf("/once/first") == 200; }));
    int served = 0;
    for (int n = 0; n < Requests; ++n) {
        const std::size_t before = runs();
        const bool isServed = entry.request("/once/" + std::to_string(n)).answer.status == 200;
        CHECK(isServed == (runs() > before));
        served += isServed ? 1 : 0;
    }
    CHECK(served > 0);
}
