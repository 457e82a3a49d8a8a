//===- LimitedTargetTest.cpp - Targets that advertise a rate limit ---------------===//
#include "BackpressureSystem.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr double Limit = 2.0; ///< requests a second, from all entry hosts together
constexpr auto Window = 4s;
/// Allowed excess in a window: a part of the limit, and a number of requests in addition.
constexpr double Excess = 0.5;
constexpr double Slack = 5;
/// Time from the first answer that advertises the limit until it must be kept.
constexpr auto PropagationTime = 3s;

} // namespace

// Guards against all entry hosts together sending more to a target than its advertised limit.
TEST_CASE("a target that advertises a limit gets no more than that from all entry hosts together")
{
    BackpressureSystem system;
    system.target(0).setAnswerHeaders({{"Server-Limit", "2.0"}});
    const auto advertisedAt = std::chrono::steady_clock::now();
    const unsigned served = system.sendFor(PropagationTime + 2 * Window);
    INFO(system.refusals());
    const auto arrivals = system.target(0).arrivals();
    const std::size_t max = BackpressureSystem::maxInWindow(arrivals, Window, advertisedAt + PropagationTime);
    const double seconds = std::chrono::duration<double>(Window).count();
    CHECK(static_cast<double>(max) <= Limit * seconds * (1 + Excess) + Slack);
    CHECK(BackpressureSystem::countFrom(arrivals, advertisedAt + PropagationTime) > 0);
    CHECK(served == system.sent());
}
