//===- PlannedStopTest.cpp - Planned stops of an entry host ---------------===//
#include "Fleet/PlannedStop.h"
#include "Fleet/System.h"
#include "unittests/Http/RawSocket.h"

#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

using Phase = PlannedStop::Phase;

constexpr Duration GracePeriod = 6s;
const TimePoint Start{1000s};

} // namespace

// Guards against an answer that a planned stop cuts while its caller still reads it.
TEST_CASE("a graceful stop waits for a caller that reads its answer slowly")
{
    constexpr std::size_t AnswerBytes = 1000000;
    constexpr int ReceiveBytes = 16 * 1024;
    constexpr auto Pause = 3500ms; // longer than a stop without work takes
    ServingSystem serving;
    System &system = serving.system;
    serving.target.bodyBytes = AnswerBytes;
    RawSocket caller(system.gateway->callersAddress(), ReceiveBytes);
    caller.send("GET /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 5000\r\n\r\n");
    const std::string head = caller.readUntil("\r\n\r\n");
    REQUIRE(head.starts_with("HTTP/1.1 200 "));
    std::future<void> stopped = std::async(std::launch::async, [&] {
        system.gateway->stopGracefully();
        system.gateway.reset();
    });
    stopped.wait_for(Pause);
    const std::size_t headBytes = head.find("\r\n\r\n") + 4;
    CHECK(caller.readAtLeast(headBytes + AnswerBytes) == headBytes + AnswerBytes);
    stopped.get();
}

// Guards against a request that a stopping host passes on and cuts at its exit, since it took it without asking how
// long the request may take.
TEST_CASE("a stopping host refuses a request that may outlive it, and takes a shorter one")
{
    constexpr auto Late = 2500ms; // of the grace period of 5 s
    ServingSystem serving;
    System &system = serving.system;
    serving.target.hold();
    const auto send = [&](RawSocket &caller, const std::string &id, const std::string &deadline) {
        caller.send("POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + deadline
                    + "\r\nContent-Length: 0\r\n\r\n");
    };
    RawSocket early(system.gateway->callersAddress());
    RawSocket late(system.gateway->callersAddress());
    RawSocket brief(system.gateway->callersAddress());
    std::future<void> stopped = std::async(std::launch::async, [&] {
        system.gateway->stopGracefully();
        system.gateway.reset();
    });
    send(early, "early", "4000");
    stopped.wait_for(Late);
    send(late, "late", "4000");
    send(brief, "brief", "500");
    CHECK(late.readToEnd().starts_with("HTTP/1.1 503 "));
    CHECK(early.readToEnd().starts_with("HTTP/1.1 504 "));
    CHECK(brief.readToEnd().starts_with("HTTP/1.1 504 "));
    CHECK(serving.target.runs() == 2);
    stopped.get();
}

// Guards against an answer in time that the exit takes along, since the one ahead of it on its connection is not there.
TEST_CASE("a request behind one that outlives its host is answered before the exit")
{
    ServingSystem serving;
    System &system = serving.system;
    serving.target.hold();
    const auto text = [](const std::string &path, const std::string &id) {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
    };
    FleetSettings shorter;
    shorter.bounds.gracePeriod = 2s;
    system.gateway->reload(shorter);
    RawSocket caller(system.gateway->callersAddress());
    std::future<void> stopped = std::async(std::launch::async, [&] {
        std::this_thread::sleep_for(100ms);
        system.gateway->stopGracefully();
        system.gateway.reset();
    });
    caller.send(text("/p/ahead", "ahead") + text("/unknown/behind", "behind"));
    const std::string bytes = caller.readToEnd();
    CHECK(bytes.find("HTTP/1.1 504 ") == 0);
    CHECK(bytes.find("X-Request-Id: behind") != std::string::npos);
    stopped.get();
}

// Guards against an exit so early that a short grace period cuts requests which it would have left time for.
TEST_CASE("a stopping host with work left uses seven eighths of its grace period at least")
{
    for (const Duration gracePeriod : {Duration(1s), Duration(2s), Duration(4s), GracePeriod, Duration(30s)}) {
        PlannedStop stop(Start, gracePeriod);
        TimePoint now = Start;
        while (stop.advance({1, 0}, now) != Phase::Over) {
            now += 5ms;
        }
        CHECK(now >= Start + gracePeriod * 7 / 8);
        CHECK(now < Start + gracePeriod);
    }
}

TEST_CASE("a stopping host serves, then refuses, and exits once nothing is left")
{
    PlannedStop stop(Start, GracePeriod);
    CHECK(stop.advance({}, Start) == Phase::Serving);
    CHECK(stop.advance({1, 0}, Start + 2600ms) == Phase::Serving);
    CHECK(stop.advance({0, 1}, Start + 2700ms) == Phase::Serving);
    CHECK(stop.advance({}, Start + 2800ms) == Phase::Refusing);
    CHECK(stop.advance({}, Start + 2900ms) == Phase::Refusing);
    CHECK(stop.advance({0, 1}, Start + 3100ms) == Phase::Refusing);
    CHECK(stop.advance({}, Start + 3200ms) == Phase::Over);
}

TEST_CASE("a stopping host takes no request that the end of its grace period would cut")
{
    PlannedStop stop(Start, GracePeriod);
    CHECK(stop.advance({3, 1}, Start + 4500ms) == Phase::Serving);
    CHECK(stop.advance({3, 1}, Start + 4700ms) == Phase::Refusing);
    CHECK(stop.advance({2, 1}, Start + 5500ms) == Phase::Refusing);
    CHECK(stop.advance({1, 1}, Start + 5700ms) == Phase::Over);
}

// Guards against an exit with work left that would still have ended in time, in whatever order the work comes and goes.
TEST_CASE("a stopping host exits with work left only at the end of its grace period")
{
    CHECK(rc::check([] {
        PlannedStop stop(Start, GracePeriod);
        Phase phase = Phase::Serving;
        for (TimePoint now = Start; phase != Phase::Over; now += 25ms) {
            const PlannedStop::Work work{*rc::gen::inRange<std::size_t>(0, 2), *rc::gen::inRange<std::size_t>(0, 2)};
            const Phase next = stop.advance(work, now);
            RC_ASSERT(next >= phase);
            RC_ASSERT(next != Phase::Over || phase == Phase::Refusing);
            const bool isIdle = work.openRequests == 0 && work.undelivered == 0;
            RC_ASSERT(next != Phase::Over || isIdle || now > Start + GracePeriod * 9 / 10);
            RC_ASSERT(now < Start + GracePeriod);
            phase = next;
        }
    }));
}
