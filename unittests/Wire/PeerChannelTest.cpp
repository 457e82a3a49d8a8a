//===- PeerChannelTest.cpp - Which connection a call takes ----------------===//
#include "Wire/PeerChannel.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pepperlug;

namespace
{

using namespace std::chrono_literals;

constexpr ConnectionId First{1};
constexpr ConnectionId Second{2};
constexpr CallId A{1};
constexpr CallId B{2};
constexpr CallId C{3};

using ChannelEffects = PeerChannel::Effects;

/// A channel with a clock; each event returns its effects.
struct Channel {
    ChannelEffects start(CallId call, Duration timeout = 1200ms, CallLimit limit = CallLimit::Silence)
    {
        return run([&](ChannelEffects &effects) { channel.start(call, timeout, limit, now, effects); });
    }

    ChannelEffects connected(ConnectionId id)
    {
        return run([&](ChannelEffects &effects) { channel.setConnected(id, now, effects); });
    }

    ChannelEffects lost(ConnectionId id)
    {
        return run([&](ChannelEffects &effects) { channel.setLost(id, now, effects); });
    }

    ChannelEffects heard(ConnectionId id, Heard heard)
    {
        return run([&](ChannelEffects &effects) { channel.addHeard(id, heard, now, effects); });
    }

    ChannelEffects finish(CallId call, bool isReplied = true)
    {
        return run([&](ChannelEffects &effects) { channel.finish(call, isReplied, now, effects); });
    }

    ChannelEffects cancel(CallId call)
    {
        return run([&](ChannelEffects &effects) { channel.cancel(call, now, effects); });
    }

    ChannelEffects expire()
    {
        return run([&](ChannelEffects &effects) { channel.expire(now, effects); });
    }

    template <typename Event>
    ChannelEffects run(Event event)
    {
        ChannelEffects effects;
        event(effects);
        return effects;
    }

    /// Makes the first connection with call A, which stays open, and gets a byte on it.
    void open()
    {
        start(A);
        connected(First);
        heard(First, Heard::Other);
    }

    /// The same, and call B on a second connection since the first one is silent.
    void doubt()
    {
        open();
        now += PeerChannel::TrustTime + 1ms;
        start(B);
    }

    PeerChannel channel;
    TimePoint now{1h};
};

using Connect = PeerChannel::Connect;
using Submit = PeerChannel::Submit;
using Ping = PeerChannel::Ping;
using EndCall = PeerChannel::EndCall;
using Close = PeerChannel::Close;

} // namespace

TEST_CASE("calls wait for the connection and then share it")
{
    Channel it;
    CHECK(it.start(A) == ChannelEffects{Connect{First}});
    CHECK(it.start(B).empty());
    CHECK(it.connected(First) == ChannelEffects{Submit{First, A}, Submit{First, B}});
    CHECK(it.start(C) == ChannelEffects{Submit{First, C}});
}

TEST_CASE("calls end with the attempt to connect")
{
    Channel it;
    it.start(A);
    CHECK(it.lost(First) == ChannelEffects{EndCall{std::nullopt, A, CallFailure::ConnectionLost}});
    CHECK(it.start(B) == ChannelEffects{Connect{Second}});
}

// Guards against a call over a kept connection that went silent while it was idle.
TEST_CASE("a connection that was idle for long is replaced")
{
    Channel it;
    it.open();
    it.finish(A);
    it.now += PeerChannel::TrustTime;
    CHECK(it.start(B) == ChannelEffects{Submit{First, B}});
    it.finish(B);
    it.now += 1ms;
    CHECK(it.start(C)
          == ChannelEffects{Close{First, CloseCause::Idle, PeerChannel::TrustTime + 1ms, 0}, Connect{Second}});
}

TEST_CASE("a silent connection is closed once a newer one gets a reply")
{
    Channel it;
    it.open();
    it.now += PeerChannel::TrustTime + 1ms;
    CHECK(it.start(B) == ChannelEffects{Ping{First}, Connect{Second}});
    it.now += 10ms;
    CHECK(it.connected(Second) == ChannelEffects{Submit{Second, B}});
    it.now += 10ms;
    it.heard(Second, Heard::Reply);
    CHECK(it.finish(B) == ChannelEffects{Close{First, CloseCause::Silent, PeerChannel::TrustTime + 21ms, 1}});
    CHECK(it.start(C) == ChannelEffects{Submit{Second, C}});
}

// Guards against the end of calls on an older connection that works, when it is the newer one that went silent.
TEST_CASE("an older connection that answered its ping is used when the newer one is silent")
{
    Channel it;
    it.doubt();
    it.connected(Second);
    it.heard(Second, Heard::Other);
    it.now += 1ms;
    it.heard(First, Heard::Other);
    it.now += PeerChannel::TrustTime;
    CHECK(it.start(C) == ChannelEffects{Ping{Second}, Submit{First, C}});
    // The reply may overtake the answer to the ping.
    it.heard(First, Heard::Reply);
    CHECK(it.finish(C).empty());
    it.now += 1ms;
    CHECK(it.start(C) == ChannelEffects{Submit{First, C}});
    it.heard(First, Heard::Reply);
    CHECK(it.finish(C) == ChannelEffects{Close{Second, CloseCause::Silent, PeerChannel::TrustTime + 2ms, 1}});
}

TEST_CASE("a connection that answers the ping keeps its calls until they end")
{
    Channel it;
    it.doubt();
    it.connected(Second);
    it.heard(First, Heard::Other);
    it.heard(Second, Heard::Reply);
    CHECK(it.finish(B).empty());
    CHECK(it.finish(A) == ChannelEffects{Close{First, CloseCause::Idle, 0ms, 0}});
}

// Guards against a peer that accepts no new connections although the open one works.
TEST_CASE("the older connection is used again if it answers before the newer one is made")
{
    Channel it;
    it.doubt();
    CHECK(it.heard(First, Heard::Other) == ChannelEffects{Close{Second, CloseCause::Idle, 0ms, 0}, Submit{First, B}});
    CHECK(it.start(C) == ChannelEffects{Submit{First, C}});
}

TEST_CASE("the older connection is used again if no newer one can be made")
{
    Channel it;
    it.doubt();
    CHECK(it.lost(Second) == ChannelEffects{EndCall{std::nullopt, B, CallFailure::ConnectionLost}});
    it.heard(First, Heard::Other);
    CHECK(it.start(C) == ChannelEffects{Submit{First, C}});
}

// Guards against a new connection with each call to a peer that is suspended.
TEST_CASE("a connection on which nothing ever arrived is not doubted")
{
    Channel it;
    it.doubt();
    it.connected(Second);
    it.now += PeerChannel::TrustTime + 1ms;
    CHECK(it.start(C) == ChannelEffects{Submit{Second, C}});
}

TEST_CASE("a limit on silence moves with the bytes of replies, not with other signs of life")
{
    Channel it;
    it.open();
    it.now += 1000ms;
    it.heard(First, Heard::Reply);
    it.now += 200ms;
    CHECK(it.expire().empty());
    it.now += 900ms;
    it.heard(First, Heard::Other);
    it.now += 100ms;
    CHECK(it.expire() == ChannelEffects{EndCall{First, A, CallFailure::TimedOut}});
}

// Guards against a slow reply that is given up while the peer answers other calls over a newer connection.
TEST_CASE("a limit on silence moves with replies on a newer connection if the older one works")
{
    Channel it;
    it.doubt();
    it.connected(Second);
    it.now += 1ms;
    it.heard(First, Heard::Other);
    it.heard(Second, Heard::Reply);
    it.finish(B);
    it.now += 700ms;
    CHECK(it.expire().empty());
    it.now += 500ms;
    CHECK(it.expire()
          == ChannelEffects{EndCall{First, A, CallFailure::TimedOut}, Close{First, CloseCause::TimedOut, 1200ms, 0}});
}

// Guards against a held call whose connection counts as silent although nobody asked the peer over it.
TEST_CASE("an older connection in use is pinged with calls over the newer one")
{
    Channel it;
    it.doubt();
    it.connected(Second);
    it.heard(First, Heard::Other);
    it.heard(Second, Heard::Reply);
    it.finish(B);
    for (std::uint64_t n = 3; n <= 12; ++n) {
        it.now += 250ms;
        const CallId call{n};
        const ChannelEffects effects = it.start(call);
        const bool isPinged =
            std::find(effects.begin(), effects.end(), ChannelEffects::value_type(Ping{First})) != effects.end();
        // The reply may overtake the answer to the ping.
        it.heard(Second, Heard::Reply);
        CHECK(it.finish(call).empty());
        if (isPinged) {
            it.heard(First, Heard::Other);
        }
        CHECK(it.expire().empty());
    }
}

TEST_CASE("an older connection that leaves a later ping unanswered is closed with the next reply")
{
    Channel it;
    it.doubt();
    it.connected(Second);
    it.heard(First, Heard::Other);
    it.heard(Second, Heard::Reply);
    it.finish(B);
    it.now += 250ms;
    it.start(C);
    it.heard(Second, Heard::Reply);
    it.finish(C);
    it.now += 251ms;
    constexpr CallId D{4};
    constexpr CallId E{5};
    CHECK(it.start(D) == ChannelEffects{Ping{First}, Submit{Second, D}});
    it.heard(Second, Heard::Reply);
    CHECK(it.finish(D).empty());
    it.now += 250ms;
    CHECK(it.start(E) == ChannelEffects{Submit{Second, E}});
    it.heard(Second, Heard::Reply);
    CHECK(it.finish(E) == ChannelEffects{Close{First, CloseCause::Silent, 751ms, 1}});
}

// Guards against a connection that is used again although a call's whole limit passed without a byte.
TEST_CASE("a call that times out on a silent connection closes it")
{
    Channel it;
    it.open();
    it.now += 700ms;
    it.heard(First, Heard::Reply);
    it.now += 1200ms;
    CHECK(it.expire()
          == ChannelEffects{EndCall{First, A, CallFailure::TimedOut}, Close{First, CloseCause::TimedOut, 1200ms, 0}});
}

TEST_CASE("a call is cancelled once, on its connection or before it has one")
{
    Channel it;
    it.start(A);
    CHECK(it.cancel(A) == ChannelEffects{EndCall{std::nullopt, A, CallFailure::Cancelled}});
    CHECK(it.cancel(A).empty());
    CHECK(it.connected(First).empty());
    it.start(B);
    CHECK(it.cancel(B) == ChannelEffects{EndCall{First, B, CallFailure::Cancelled}});
    CHECK_FALSE(it.channel.nextLimit());
}
