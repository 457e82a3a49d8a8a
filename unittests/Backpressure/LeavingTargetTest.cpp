//===- LeavingTargetTest.cpp - Targets that report in answers that they leave ---===//
#include "BackpressureSystem.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Time from the first answer that reports it until the last request may arrive.
constexpr auto DrainTime = 2s;

} // namespace

// Guards against requests being sent to a target that reported in an answer that it is leaving, while its heartbeats
// still report it as ready.
TEST_CASE("a target that reports in an answer that it is leaving gets no more requests, whatever its heartbeats report")
{
    BackpressureSystem system;
    system.target(0).setAnswerHeaders({{"Server-Leaving", "1"}});
    const auto advertisedAt = std::chrono::steady_clock::now();
    const unsigned served = system.sendFor(2 * DrainTime);
    CHECK(BackpressureSystem::countFrom(system.target(0).arrivals(), advertisedAt + DrainTime) == 0);
    INFO(system.refusals());
    CHECK(served == system.sent());
}
