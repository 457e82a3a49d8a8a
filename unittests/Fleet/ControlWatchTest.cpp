//===- ControlWatchTest.cpp - Polling when a handler fails ----------------===//
#include "Fleet/ControlWatchImpl.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

using namespace std::chrono_literals;

constexpr Milliseconds MaxWait{500};
constexpr auto TickInterval = 25ms;

/// Keeps the polls, and replies to them when told.
class StubNet
{
public:
    void call(const Address &to, const std::string &path, const std::string &body, Duration, ReplyHandler handler,
              CallLimit = CallLimit::Whole)
    {
        if (path == fleet::path::FleetWatch) {
            polls.push_back({to, decode<FleetWatchCall>(body, "host"), std::move(handler)});
        }
    }

    struct Poll {
        Address to;
        FleetWatchCall request;
        ReplyHandler handler;
    };
    std::vector<Poll> polls;
};

/// Polls two control hosts by turns, through hooks that fail when told.
class FailingHost
{
public:
    explicit FailingHost(StubNet &net)
        : m_net(net)
        , m_watch(net, m_clock, MaxWait, hooks())
    {
        tick();
    }

    void tick()
    {
        m_watch.poll(m_clock.now());
    }

    void runFor(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end; m_clock.advance(TickInterval)) {
            tick();
        }
    }

    /// Replies to the newest poll. Returns whether a hook failed, which the network code records.
    bool reply(std::uint64_t version)
    {
        FleetWatchReply message;
        message.epoch = "e1";
        message.isCurrent = true;
        message.version = version;
        return finish({true, true, 200, encode(message), {}});
    }

    bool fail()
    {
        return finish({false, true, 0, {}, "lost", CallFailure::ConnectionLost});
    }

    bool failsReply = false;
    bool failsLink = false;
    bool failsPollFailed = false;

private:
    bool finish(const PeerReply &reply)
    {
        const ReplyHandler handler = m_net.polls.back().handler;
        try {
            handler(reply);
        } catch (const std::exception &) {
            return true;
        }
        return false;
    }

    ControlWatchHooks hooks()
    {
        const auto throwIf = [](bool fails) {
            if (fails) {
                throw Error("apply reply", "", "cannot be applied");
            }
        };
        ControlWatchHooks hooks;
        hooks.makeCall = [](const Address &, const std::string &) {
            return FleetWatchCall{};
        };
        hooks.candidates = [] {
            return std::vector<Address>{{"10.0.0.1", 7700}, {"10.0.0.2", 7700}};
        };
        hooks.onReply = [this, throwIf](const ReplyInfo &, const FleetWatchReply &) {
            throwIf(failsReply);
            return true;
        };
        hooks.onPollFailed = [this, throwIf](const Address &, TimePoint, const std::string &) {
            throwIf(failsPollFailed);
        };
        hooks.onLink = [this, throwIf](const Address &, bool, const std::string &) {
            throwIf(failsLink);
        };
        return hooks;
    }

    StubNet &m_net;
    ManualClock m_clock;
    BasicControlWatch<StubNet> m_watch;
};

} // namespace

// Guards against a host that never polls again, and so acts on what it knows for good, since one reply failed in it.
TEST_CASE("a host whose handler fails polls again")
{
    StubNet net;
    FailingHost host(net);
    bool hasFailed = false;
    SECTION("while a reply is applied")
    {
        host.failsReply = true;
        hasFailed = host.reply(7);
    }
    SECTION("while a regained link is reported")
    {
        host.failsLink = true;
        hasFailed = host.reply(7);
    }
    SECTION("while a failed poll is reported")
    {
        host.failsPollFailed = true;
        hasFailed = host.fail();
    }
    CHECK(hasFailed);
    host.failsReply = host.failsLink = host.failsPollFailed = false;
    host.runFor(1s);
    CHECK(net.polls.size() == 2);
}

// Guards against updates that are lost with the reply that could not be applied.
TEST_CASE("a host that could not apply a reply asks for the full state")
{
    StubNet net;
    FailingHost host(net);
    REQUIRE_FALSE(host.reply(7));
    host.tick();
    REQUIRE(net.polls.back().request.since == 7);
    host.failsReply = true;
    CHECK(host.reply(8));
    host.runFor(1s);
    CHECK(net.polls.back().request.since == 0);
}

// Guards against a host that polls without a pause while no reply can be applied.
TEST_CASE("a host pauses after a reply that it could not apply")
{
    StubNet net;
    FailingHost host(net);
    host.failsReply = true;
    CHECK(host.reply(7));
    host.tick();
    CHECK(net.polls.size() == 1);
}
