//===- LeavingTargetTest.cpp - Targets that say in their answers that they leave ---===//
#include "BackpressureSystem.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// From the first answer that says so, until nothing may come any more.
constexpr auto DrainTime = 2s;

} // namespace

// Guards against requests being sent to a target that has said in an answer that it leaves, while its reports say
// ready.
TEST_CASE("a target that says in an answer that it leaves gets nothing more, whatever its reports say")
{
    BackpressureSystem system;
    system.target(0).setAnswerHeaders({{"Server-Leaving", "1"}});
    const auto told = std::chrono::steady_clock::now();
    const unsigned served = system.drive(2 * DrainTime);
    CHECK(BackpressureSystem::countFrom(system.target(0).arrivals(), told + DrainTime) == 0);
    INFO(system.refusals());
    CHECK(served == system.sent());
}
