//===- LimitedTargetTest.cpp - Targets that name a limit of requests a second ---===//
#include "BackpressureSystem.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr double Limit = 2.0; ///< requests a second, from all entry hosts together
constexpr auto Window = 4s;
/// Part of the limit that may be exceeded in a window, and requests besides.
constexpr double Excess = 0.5;
constexpr double Slack = 5;
/// From the first answer that names the limit, until it has to be kept.
constexpr auto TimeToLearn = 3s;

} // namespace

// Guards against a target that names a limit being sent more than that by all entry hosts together.
TEST_CASE("a target that names a limit gets no more than that from all entry hosts together")
{
    BackpressureSystem system;
    system.target(0).setAnswerHeaders({{"Server-Limit", "2.0"}});
    const auto named = std::chrono::steady_clock::now();
    const unsigned served = system.drive(TimeToLearn + 2 * Window);
    INFO(system.refusals());
    const auto arrivals = system.target(0).arrivals();
    const std::size_t most = BackpressureSystem::mostIn(arrivals, Window, named + TimeToLearn);
    const double seconds = std::chrono::duration<double>(Window).count();
    CHECK(static_cast<double>(most) <= Limit * seconds * (1 + Excess) + Slack);
    CHECK(BackpressureSystem::countFrom(arrivals, named + TimeToLearn) > 0);
    CHECK(served == system.sent());
}
