//===- SilencePropertyTest.cpp - Generated orders of silent connections ---===//
//
// One host follows control hosts over a simulated network whose open connections go silent for good, one way or both,
// while the host notices updates, the state changes, and control hosts restart.
//
// Guards against a host that decides by an old state for longer than 1.5 s although new connections work, and against a
// cure that costs connections or calls where nothing is wrong.
//
//===----------------------------------------------------------------------===//
#include "Fleet/ControlWatchImpl.h"
#include "Wire/PeerChannel.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

using namespace std::chrono_literals;

constexpr Milliseconds MaxStaleTime{1500};
constexpr Milliseconds MaxWait{500};
constexpr Milliseconds TickInterval{25};
constexpr Milliseconds RestartTime{300};

/// Runs events in the order of their times.
class Simulation
{
public:
    ManualClock clock;

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(clock.now() + delay, std::move(event));
    }

    void runFor(Duration time)
    {
        const TimePoint end = clock.now() + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto it = m_events.begin();
            clock.advance(std::max(it->first - clock.now(), Duration(0)));
            const std::function<void()> event = std::move(it->second);
            m_events.erase(it);
            event();
        }
        clock.advance(end - clock.now());
    }

private:
    std::multimap<TimePoint, std::function<void()>> m_events;
};

enum class Ways : std::uint8_t { Both, ToHost, FromHost };

/// Control hosts, and the way to each of them.
class SimulatedNet
{
public:
    struct Counts {
        unsigned connections = 0;
        unsigned pings = 0;
        std::map<std::string, unsigned> calls; ///< by path
    };

    SimulatedNet(Simulation &simulation, std::size_t hosts, Duration latency)
        : m_simulation(simulation)
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            m_hosts[addressOf(n)].latency = latency * (n + 1);
        }
    }

    static Address addressOf(std::size_t host)
    {
        return {"10.0.0." + std::to_string(host + 1), 7700};
    }

    std::vector<Address> addresses() const
    {
        std::vector<Address> addresses;
        for (const auto &[address, host] : m_hosts) {
            addresses.push_back(address);
        }
        return addresses;
    }

    void call(const Address &to, const std::string &path, std::string body, Duration timeout, ReplyHandler handler,
              CallLimit limit = CallLimit::Whole)
    {
        const auto id = static_cast<CallId>(++m_lastCall);
        ++counts.calls[path];
        m_calls[id] = {to, path, std::move(body), std::move(handler), std::nullopt};
        PeerChannel::Effects effects;
        m_hosts[to].channel.start(id, timeout, limit, now(), effects);
        carryOut(to, effects);
    }

    void setVersion(std::uint64_t version)
    {
        m_version = version;
        for (auto &[address, host] : m_hosts) {
            replyToDue(address, host);
        }
    }

    /// Silences the open connections of the hosts whose bit is set.
    void silence(unsigned hosts, Ways ways)
    {
        unsigned bit = 1;
        for (auto &[address, host] : m_hosts) {
            for (auto &[id, link] : host.links) {
                if ((hosts & bit) != 0) {
                    link.isSilentToHost |= ways != Ways::FromHost;
                    link.isSilentFromHost |= ways != Ways::ToHost;
                }
            }
            bit *= 2;
        }
    }

    /// Ends a control host, which starts again a little later with another epoch.
    void restart(std::size_t n)
    {
        const Address address = addressOf(n);
        Host &host = m_hosts[address];
        if (!host.isRunning) {
            return;
        }
        host.isRunning = false;
        ++host.epoch;
        host.held.clear();
        for (const auto &[id, link] : host.links) {
            if (!link.isSilentFromHost) {
                m_simulation.after(host.latency, [this, address, id = id] { lose(address, id); });
            }
        }
        m_simulation.after(RestartTime, [&host] { host.isRunning = true; });
    }

    Counts counts;

private:
    struct Link {
        unsigned epoch = 0; ///< of the control host that accepted it
        bool isSilentToHost = false;
        bool isSilentFromHost = false;
    };

    /// A poll that the control host holds.
    struct Held {
        CallId call{};
        ConnectionId connection{};
        FleetWatchCall request;
        TimePoint until{};
    };

    struct Host {
        bool isRunning = true;
        unsigned epoch = 1;
        Duration latency{};
        PeerChannel channel;
        std::map<ConnectionId, Link> links;
        std::vector<Held> held;
    };

    struct OpenCall {
        Address to;
        std::string path;
        std::string body;
        ReplyHandler handler;
        std::optional<ConnectionId> connection;
    };

    TimePoint now() const
    {
        return m_simulation.clock.now();
    }

    void carryOut(const Address &to, const PeerChannel::Effects &effects)
    {
        for (const PeerChannel::Effect &effect : effects) {
            std::visit([&](const auto &it) { carryOut(to, it); }, effect);
        }
        if (const std::optional<TimePoint> limit = m_hosts[to].channel.nextLimit()) {
            m_simulation.after(*limit - now(), [this, to] {
                PeerChannel::Effects due;
                m_hosts[to].channel.expire(now(), due);
                if (!due.empty()) {
                    carryOut(to, due);
                }
            });
        }
    }

    void carryOut(const Address &to, const PeerChannel::Connect &effect)
    {
        Host &host = m_hosts[to];
        ++counts.connections;
        m_simulation.after(2 * host.latency, [this, &host, to, id = effect.connection] {
            PeerChannel::Effects effects;
            if (host.isRunning) {
                host.links[id] = {host.epoch, false, false};
                host.channel.setConnected(id, now(), effects);
            } else {
                host.channel.setLost(id, now(), effects);
            }
            carryOut(to, effects);
        });
    }

    void carryOut(const Address &to, const PeerChannel::Submit &effect)
    {
        OpenCall &call = m_calls.at(effect.call);
        call.connection = effect.connection;
        arrive(to, effect.connection, [this, to, effect, path = call.path, body = call.body] {
            serve(to, effect.connection, effect.call, path, body);
        });
    }

    void carryOut(const Address &to, const PeerChannel::Ping &effect)
    {
        ++counts.pings;
        arrive(to, effect.connection, [this, to, id = effect.connection] {
            comeBack(to, id, [this, to, id] { hear(to, id, Heard::Other); });
        });
    }

    void carryOut(const Address &, const PeerChannel::EndCall &effect)
    {
        fail(effect.call, effect.failure);
    }

    void carryOut(const Address &to, const PeerChannel::Close &effect)
    {
        m_hosts[to].links.erase(effect.connection);
        for (const CallId id : callsOn(to, effect.connection)) {
            fail(id, effect.cause == CloseCause::Silent ? CallFailure::ConnectionSilent : CallFailure::TimedOut);
        }
    }

    std::vector<CallId> callsOn(const Address &to, ConnectionId connection) const
    {
        std::vector<CallId> found;
        for (const auto &[id, call] : m_calls) {
            if (call.to == to && call.connection == connection) {
                found.push_back(id);
            }
        }
        return found;
    }

    /// Runs an event at the control host, if what was sent to it arrives.
    void arrive(const Address &to, ConnectionId id, const std::function<void()> &event)
    {
        Host &host = m_hosts[to];
        const auto it = host.links.find(id);
        if (it == host.links.end() || it->second.isSilentToHost) {
            return;
        }
        m_simulation.after(host.latency, [&host, epoch = it->second.epoch, event] {
            if (host.isRunning && host.epoch == epoch) {
                event();
            }
        });
    }

    /// Runs an event at the calling host, if what the control host sends arrives.
    void comeBack(const Address &to, ConnectionId id, const std::function<void()> &event)
    {
        Host &host = m_hosts[to];
        const auto it = host.links.find(id);
        if (it != host.links.end() && !it->second.isSilentFromHost) {
            m_simulation.after(host.latency, [&host, id, event] {
                if (host.links.contains(id)) {
                    event();
                }
            });
        }
    }

    void hear(const Address &to, ConnectionId id, Heard heard)
    {
        PeerChannel::Effects effects;
        m_hosts[to].channel.addHeard(id, heard, now(), effects);
        carryOut(to, effects);
    }

    void lose(const Address &address, ConnectionId id)
    {
        Host &host = m_hosts[address];
        if (host.links.erase(id) == 0) {
            return;
        }
        for (const CallId call : callsOn(address, id)) {
            finish(call, {false, true, 0, {}, "lost", CallFailure::ConnectionLost});
        }
        PeerChannel::Effects effects;
        host.channel.setLost(id, now(), effects);
        carryOut(address, effects);
    }

    void fail(CallId id, CallFailure failure)
    {
        finish(id, {false, false, 0, {}, "failed", failure});
    }

    void finish(CallId id, const PeerReply &reply)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        const OpenCall call = std::move(it->second);
        m_calls.erase(it);
        PeerChannel::Effects effects;
        m_hosts[call.to].channel.finish(id, reply.delivered, now(), effects);
        call.handler(reply);
        carryOut(call.to, effects);
    }

    void serve(const Address &at, ConnectionId connection, CallId call, const std::string &path,
               const std::string &body)
    {
        if (path != fleet::path::FleetWatch) {
            reply(at, connection, call, encode(FleetAliveReply{true, m_version}));
            return;
        }
        Host &host = m_hosts[at];
        const auto request = decode<FleetWatchCall>(body, "host");
        host.held.push_back({call, connection, request, now() + request.maxWait});
        replyToDue(at, host);
        m_simulation.after(request.maxWait, [this, &host, at] { replyToDue(at, host); });
    }

    std::string epochOf(const Address &at, const Host &host) const
    {
        return at.text() + "#" + std::to_string(host.epoch);
    }

    void replyToDue(const Address &at, Host &host)
    {
        std::erase_if(host.held, [&](const Held &held) {
            const bool hasUpdates = held.request.epoch != epochOf(at, host) || held.request.since < m_version;
            if (!hasUpdates && now() < held.until) {
                return false;
            }
            FleetWatchReply message;
            message.epoch = epochOf(at, host);
            message.isCurrent = true;
            message.version = m_version;
            reply(at, held.connection, held.call, encode(message));
            return true;
        });
    }

    void reply(const Address &from, ConnectionId connection, CallId call, const std::string &body)
    {
        comeBack(from, connection, [this, from, connection, call, body] {
            hear(from, connection, Heard::Reply);
            finish(call, {true, true, 200, body, {}});
        });
    }

    Simulation &m_simulation;
    std::map<Address, Host> m_hosts;
    std::map<CallId, OpenCall> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_version = 1;
};

/// A host that follows one control host at a time.
class FollowingHost
{
public:
    FollowingHost(Simulation &simulation, SimulatedNet &net)
        : m_simulation(simulation)
        , m_watch(net, simulation.clock, MaxWait, hooks(net))
    {
        tick();
    }

    /// Notices updates from now on; 0 for none.
    void noticeEach(Milliseconds interval)
    {
        m_noticeInterval = interval;
        m_nextNotice = m_simulation.clock.now() + interval;
    }

    std::uint64_t version = 0; ///< of the newest state that it has

private:
    ControlWatchHooks hooks(SimulatedNet &net)
    {
        ControlWatchHooks hooks;
        hooks.makeCall = [](const Address &, const std::string &) {
            return FleetWatchCall{};
        };
        hooks.candidates = [&net] {
            return net.addresses();
        };
        hooks.onReply = [this](const ReplyInfo &, const FleetWatchReply &reply) {
            version = std::max(version, reply.version);
            return true;
        };
        hooks.onLink = [](const Address &, bool, const std::string &) {
        };
        return hooks;
    }

    void tick()
    {
        const TimePoint now = m_simulation.clock.now();
        if (m_noticeInterval > 0ms && now >= m_nextNotice) {
            m_nextNotice = now + m_noticeInterval;
            m_watch.sendReport();
        }
        m_watch.poll(now);
        m_simulation.after(TickInterval, [this] { tick(); });
    }

    Simulation &m_simulation;
    BasicControlWatch<SimulatedNet> m_watch;
    Milliseconds m_noticeInterval{};
    TimePoint m_nextNotice{};
};

/// Plays generated events, and checks after each tick that the host has each state in time.
class Play
{
public:
    Play()
        : m_hosts(*rc::gen::inRange<std::size_t>(1, 6))
        , m_net(m_simulation, m_hosts, Milliseconds(*rc::gen::element(1, 7)))
        , m_host(m_simulation, m_net)
    {
        // Connections that were used once and kept.
        for (const Address &it : m_net.addresses()) {
            if (*rc::gen::arbitrary<bool>()) {
                m_net.call(it, fleet::path::FleetAlive, {}, 700ms, [](const PeerReply &) {});
            }
        }
        run(2s);
    }

    void step()
    {
        enum class Step : std::uint8_t { Silence, Change, Notice, Restart, Call };
        const auto host = *rc::gen::inRange<std::size_t>(0, m_hosts);
        switch (*rc::gen::weightedElement<Step>(
            {{3, Step::Silence}, {3, Step::Change}, {2, Step::Notice}, {1, Step::Restart}, {1, Step::Call}})) {
        case Step::Silence:
            m_net.silence(*rc::gen::inRange(1U, 32U), *rc::gen::element(Ways::Both, Ways::ToHost, Ways::FromHost));
            m_disturbedAt = m_simulation.clock.now();
            break;
        case Step::Change:
            m_net.setVersion(++m_version);
            m_changedAt = m_simulation.clock.now();
            break;
        case Step::Notice:
            m_host.noticeEach(*rc::gen::element(0ms, 50ms, 100ms, 250ms, 500ms, 700ms, 1000ms));
            break;
        case Step::Restart:
            m_net.restart(host);
            m_disturbedAt = m_simulation.clock.now() + RestartTime;
            break;
        case Step::Call:
            m_net.call(SimulatedNet::addressOf(host), fleet::path::FleetAlive, {}, 700ms, [](const PeerReply &) {});
            break;
        }
        run(Milliseconds(*rc::gen::element(0, 30, 200, 450, 700, 1300, 2000)));
    }

    void run(Duration time)
    {
        for (Duration left = time; left > Duration(0); left -= TickInterval) {
            m_simulation.runFor(std::min<Duration>(left, TickInterval));
            const Duration sinceEvent = m_simulation.clock.now() - std::max(m_disturbedAt, m_changedAt);
            RC_ASSERT(sinceEvent < MaxStaleTime || m_host.version == m_version);
        }
    }

private:
    Simulation m_simulation;
    std::size_t m_hosts;
    SimulatedNet m_net;
    FollowingHost m_host;
    std::uint64_t m_version = 1;
    TimePoint m_changedAt{};
    TimePoint m_disturbedAt{};
};

} // namespace

// Guards against any order of silences, updates and restarts after which a host stays with an old state.
TEST_CASE("a host has the newest state in time, whatever connections go silent")
{
    constexpr int Steps = 12;
    CHECK(rc::check([] {
        Play play;
        for (int n = 0; n < Steps; ++n) {
            play.step();
        }
        play.run(MaxStaleTime + TickInterval);
    }));
}

// Guards against connections, pings and calls that are made although nothing is wrong.
TEST_CASE("a quiet host makes one connection and two polls a second")
{
    Simulation simulation;
    SimulatedNet net(simulation, 3, 5ms);
    FollowingHost host(simulation, net);
    simulation.runFor(60s);
    CHECK(net.counts.connections == 1);
    CHECK(net.counts.pings == 0);
    CHECK(net.counts.calls[fleet::path::FleetAlive] == 0);
    CHECK(net.counts.calls[fleet::path::FleetWatch] <= 120);
}
