//===- RestingTargetTest.cpp - Targets that reject requests and ask for a back-off ---===//
#include "BackpressureSystem.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr auto BackOff = 3s;
/// Time after the answer that asks for the back-off in which requests may still be in flight.
constexpr auto InFlightTime = 500ms;
constexpr std::size_t MaxArrivals = 2; ///< after InFlightTime, until the back-off ends

void beginShedding(FakeTarget &target)
{
    target.setAnswerHeaders({{"Retry-After", "3"}});
    target.sheds = true;
}

} // namespace

// Guards against an entry host that goes on sending to a target which rejected a request and asked for a back-off.
TEST_CASE("a target that rejects a request and asks for a back-off gets none from that host meanwhile")
{
    BackpressureSystem system;
    const std::size_t before = system.target(0).arrivals().size();
    beginShedding(system.target(0));
    const unsigned served = system.sendFor(BackOff, 1);
    const auto arrivals = system.target(0).arrivals();
    REQUIRE(arrivals.size() > before);
    const auto backOffAt = arrivals.at(before);
    const auto inBackOff = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &it) {
        return it >= backOffAt + InFlightTime && it < backOffAt + BackOff;
    });
    CHECK(static_cast<std::size_t>(inBackOff) <= MaxArrivals);
    INFO(system.refusals());
    CHECK(served == system.sent());
    // It is used again once it accepts requests.
    system.target(0).sheds = false;
    system.target(0).setAnswerHeaders({});
    const int runs = system.target(0).runs();
    system.sendFor(BackOff, 1);
    CHECK(system.target(0).runs() > runs);
}

TEST_CASE("while all targets back off a request is refused at once as not run, with the time until one is back")
{
    BackpressureSystem system;
    for (std::size_t n = 0; n < 3; ++n) {
        beginShedding(system.target(n));
    }
    system.sendFor(1s, 1);
    const auto before =
        system.target(0).arrivals().size() + system.target(1).arrivals().size() + system.target(2).arrivals().size();
    const auto sentAt = std::chrono::steady_clock::now();
    const Answer answer = system.sendTo(0);
    CHECK(std::chrono::steady_clock::now() - sentAt < 500ms);
    CHECK(answer.status == 503);
    const auto retryAfter = std::find_if(answer.headers.begin(), answer.headers.end(),
                                         [](const HeaderField &it) { return sameName(it.name, "Retry-After"); });
    REQUIRE(retryAfter != answer.headers.end());
    CHECK(std::stod(retryAfter->value) >= 1);
    CHECK(system.target(0).arrivals().size() + system.target(1).arrivals().size() + system.target(2).arrivals().size()
          == before);
}
