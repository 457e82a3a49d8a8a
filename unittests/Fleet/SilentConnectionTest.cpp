//===- SilentConnectionTest.cpp - Connections that go silent for good -----===//
//
// Guards against a host that follows a control host over a connection on which nothing arrives any more: it decided by
// routing and targets that were replaced, for as long as it noticed updates of its own, or as it found further silent
// connections.
//
//===----------------------------------------------------------------------===//
#include "Fleet/ControlWatch.h"
#include "Fleet/HeldPolls.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Within which a host has what is newest after its connections went silent.
constexpr Milliseconds MaxStaleTime{1500};
constexpr Milliseconds MaxWait{500};
constexpr Milliseconds DriveInterval{10};

/// A control host behind a proxy.
class StubHost
{
public:
    StubHost()
    {
        const Address address = m_net.listen({"127.0.0.1", 0}, [this](const IncomingCallPtr &call) {
            if (call->path() == fleet::path::FleetWatch) {
                m_polls.add(call);
            } else {
                call->reply(200, encode(FleetAliveReply{true, version}));
            }
        });
        proxy = std::make_unique<soak::FaultProxy>(address);
    }

    ~StubHost()
    {
        m_net.stop();
    }

    StubHost(const StubHost &) = delete;
    StubHost &operator=(const StubHost &) = delete;

    /// Replies to no poll from now on.
    void holdPolls()
    {
        m_polls.isPaused = true;
    }

    std::unique_ptr<soak::FaultProxy> proxy;
    std::atomic<std::uint64_t> version{1};

private:
    PeerNet m_net;
    HeldPolls m_polls{[this](const FleetWatchCall &request) { return request.since < version; },
                      [this](const FleetWatchCall &) {
                          FleetWatchReply reply;
                          reply.epoch = "life";
                          reply.isCurrent = true;
                          reply.version = version;
                          return reply;
                      }};
};

/// A host that follows the first control host that answers.
class WatchingHost
{
public:
    /// `updateInterval`: between updates that this host notices; 0 for none.
    WatchingHost(std::vector<Address> controlHosts, Milliseconds updateInterval)
        : m_watch(m_net, m_clock, MaxWait, hooks(std::move(controlHosts)))
    {
        m_driver = std::thread([this, updateInterval] { drive(updateInterval); });
    }

    ~WatchingHost()
    {
        m_stop = true;
        m_driver.join();
        m_net.stop();
    }

    WatchingHost(const WatchingHost &) = delete;
    WatchingHost &operator=(const WatchingHost &) = delete;

    std::uint64_t version() const
    {
        return m_version;
    }

    /// Notices an update.
    void notice()
    {
        m_watch.sendReport();
    }

    unsigned pollsFailed() const
    {
        return m_pollsFailed;
    }

    /// Returns whether this host gets the version in time.
    bool hasInTime(std::uint64_t version) const
    {
        const auto end = std::chrono::steady_clock::now() + MaxStaleTime;
        while (m_version < version && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(DriveInterval);
        }
        return m_version >= version;
    }

    /// Sends a call over the connection to a control host, so that the connection is kept.
    void call(const Address &to)
    {
        std::promise<void> isDone;
        m_net.call(to, fleet::path::FleetAlive, std::string(), EventTimeout,
                   [&isDone](const PeerReply &) { isDone.set_value(); });
        isDone.get_future().get();
    }

private:
    ControlWatch::Hooks hooks(std::vector<Address> controlHosts)
    {
        ControlWatch::Hooks hooks;
        hooks.makeCall = [](const Address &, const std::string &) {
            return FleetWatchCall{};
        };
        hooks.candidates = [controlHosts = std::move(controlHosts)] {
            return controlHosts;
        };
        hooks.onReply = [this](const ReplyInfo &, const FleetWatchReply &reply) {
            m_version = reply.version;
            return true;
        };
        hooks.onPollFailed = [this](const Address &, TimePoint, const std::string &) {
            ++m_pollsFailed;
        };
        hooks.onLink = [](const Address &, bool, const std::string &) {
        };
        return hooks;
    }

    void drive(Milliseconds updateInterval)
    {
        TimePoint nextUpdate = m_clock.now() + updateInterval;
        while (!m_stop) {
            const TimePoint now = m_clock.now();
            if (updateInterval > 0ms && now >= nextUpdate) {
                nextUpdate = now + updateInterval;
                m_watch.sendReport();
            }
            m_watch.poll(now);
            std::this_thread::sleep_for(DriveInterval);
        }
    }

    SteadyClock m_clock;
    PeerNet m_net;
    ControlWatch m_watch;
    std::atomic<std::uint64_t> m_version{0};
    std::atomic<unsigned> m_pollsFailed{0};
    std::atomic<bool> m_stop{false};
    std::thread m_driver;
};

} // namespace

// Guards against a time limit that starts anew with each update that the host notices.
TEST_CASE("a host that notices updates finds out that its connection is silent")
{
    const auto updateInterval = GENERATE(0ms, 50ms, 250ms, 500ms, 1000ms);
    const auto ways = GENERATE(soak::SilentWays::Both, soak::SilentWays::ToTarget, soak::SilentWays::FromTarget);
    CAPTURE(updateInterval.count(), static_cast<int>(ways));
    StubHost control;
    WatchingHost host({control.proxy->address()}, updateInterval);
    REQUIRE(System::eventually([&] { return host.version() == 1; }));
    std::this_thread::sleep_for(MaxWait);
    control.proxy->silenceOpen(ways);
    control.version = 2;
    CHECK(host.hasInTime(2));
}

// Guards against a host that tries one kept connection after the other although all of them are silent.
TEST_CASE("a host whose kept connections are all silent has what is newest in time")
{
    const bool isFirstGone = GENERATE(false, true);
    CAPTURE(isFirstGone);
    std::array<StubHost, 4> controls;
    std::vector<Address> addresses;
    std::transform(controls.begin(), controls.end(), std::back_inserter(addresses),
                   [](const StubHost &it) { return it.proxy->address(); });
    WatchingHost host(addresses, 0ms);
    for (const Address &it : addresses) {
        host.call(it);
    }
    REQUIRE(System::eventually([&] { return host.version() == 1; }));
    std::this_thread::sleep_for(2 * MaxWait);
    for (StubHost &it : controls) {
        it.proxy->silenceOpen(soak::SilentWays::Both);
        it.version = 2;
    }
    if (isFirstGone) {
        controls.front().proxy->close();
    }
    CHECK(host.hasInTime(2));
}

// Guards against a reply that is given up each time the host notices an update.
TEST_CASE("a host that notices updates faster than replies arrive gets them")
{
    StubHost control;
    control.proxy->set(soak::LinkFault::Delay);
    WatchingHost host({control.proxy->address()}, 50ms);
    REQUIRE(System::eventually([&] { return host.version() == 1; }));
    control.version = 2;
    CHECK(host.hasInTime(2));
}

// Guards against a host that takes itself for cut off, and serves by old routing, while its control host answers.
TEST_CASE("a slow poll is kept while the control host answers what the host notices")
{
    const auto updateInterval = GENERATE(50ms, 250ms, 400ms);
    CAPTURE(updateInterval.count());
    constexpr unsigned Updates = 12;
    StubHost control;
    WatchingHost host({control.proxy->address()}, 0ms);
    REQUIRE(System::eventually([&] { return host.version() == 1; }));
    control.holdPolls();
    // By now a heartbeat has taken a newer connection.
    std::this_thread::sleep_for(2 * MaxWait);
    for (unsigned n = 0; n < Updates; ++n) {
        host.notice();
        std::this_thread::sleep_for(updateInterval);
    }
    CHECK(host.pollsFailed() == 0);
}
