//===- RestingTargetTest.cpp - Targets that turn requests away and ask for a rest ---===//
#include "BackpressureSystem.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr auto Rest = 3s;
/// From the answer that asks for the rest on, requests may still be on their way.
constexpr auto OnTheirWay = 500ms;
constexpr std::size_t Allowed = 2; ///< requests in the rest of the time

void beginShedding(FakeTarget &target)
{
    target.setAnswerHeaders({{"Retry-After", "3"}});
    target.sheds = true;
}

} // namespace

// Guards against an entry host sending on to a target that has turned it away and asked for a rest.
TEST_CASE("a target that turns a request away and asks for a rest gets none from that host meanwhile")
{
    BackpressureSystem system;
    const std::size_t before = system.target(0).arrivals().size();
    beginShedding(system.target(0));
    const unsigned served = system.drive(Rest, 1);
    const auto arrivals = system.target(0).arrivals();
    REQUIRE(arrivals.size() > before);
    const auto told = arrivals.at(before);
    const auto inRest = std::count_if(arrivals.begin(), arrivals.end(),
                                      [&](const auto &it) { return it >= told + OnTheirWay && it < told + Rest; });
    CHECK(static_cast<std::size_t>(inRest) <= Allowed);
    INFO(system.refusals());
    CHECK(served == system.sent());
    // It is used again once it is well.
    system.target(0).sheds = false;
    system.target(0).setAnswerHeaders({});
    const int runs = system.target(0).runs();
    system.drive(Rest, 1);
    CHECK(system.target(0).runs() > runs);
}

TEST_CASE("while all targets rest a request is refused at once as not run, with the time until one is back")
{
    BackpressureSystem system;
    for (std::size_t n = 0; n < 3; ++n) {
        beginShedding(system.target(n));
    }
    system.drive(1s, 1);
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
