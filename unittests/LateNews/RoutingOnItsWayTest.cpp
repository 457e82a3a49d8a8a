//===- RoutingOnItsWayTest.cpp - An entry host whose routing does not arrive ---===//
//
// While a change of the routing is on its way, or can't be read, an entry host once asked for news 40 times a second,
// which filled the link that was slow already, and took itself for current. A stand-in for a control host counts what
// it is asked, and tells of a routing that it does not hand over, or that nobody can read.
//
//===----------------------------------------------------------------------===//
#include "Fleet/FleetMessages.h"
#include "Fleet/System.h"
#include "pepperlug/Wire.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Asks and fetches that are borne: two a second are made while nothing is new, and some more as news come.
constexpr double MostPerSecond = 6;
constexpr double MostAtOnce = 10;
/// Replies to wait for, so that asks without a pause would show.
constexpr unsigned EnoughReplies = 6;

/// What the stand-in does with the routing of index 2.
enum class Newest : std::uint8_t {
    Withheld, ///< too long for a reply, and never handed over
    Unreadable,
};

class StubControl
{
public:
    StubControl(const Address &at, Newest newest)
        : m_newest(newest)
    {
        RouteTable table;
        table.version = 1;
        table.services = {{"s", 0, 0ms, 0}};
        table.routes = {{"r", "a.example", "/p/", RouteKind::OnceOnly, 4s, 1s, 1, {{"s", 1}}, 2, false, {}}};
        m_first.append({1, std::make_shared<RouteTable>(table), {}});
        m_net.listen(at, [this](const IncomingCallPtr &call) { onCall(call); });
        m_thread = std::thread([this] { run(); });
    }

    ~StubControl()
    {
        m_stop = true;
        m_thread.join();
        m_net.stop();
    }

    std::atomic<std::uint64_t> newestIndex{1};
    std::atomic<unsigned> asks{0};
    std::atomic<unsigned> fetches{0};

private:
    struct Held {
        IncomingCallPtr call;
        FleetWatchCall ask;
        std::chrono::steady_clock::time_point until;
    };

    void onCall(const IncomingCallPtr &call)
    {
        if (call->path() == fleet::path::FleetWatch) {
            ++asks;
            const auto ask = decode<FleetWatchCall>(call->body(), call->peer());
            const std::lock_guard lock(m_mutex);
            m_held.push_back({call, ask, std::chrono::steady_clock::now() + ask.maxWait});
            return;
        }
        if (call->path() == fleet::path::FleetRouting) {
            ++fetches;
            if (m_newest == Newest::Unreadable) {
                call->reply(200, encode(FleetRoutingReply{{"no change"}}));
            } else {
                m_withheld.push_back(call);
            }
            return;
        }
        call->reply(200, "");
    }

    // As a control host does: at once where the asker has not heard of the newest, else after the asker's patience.
    void run()
    {
        while (!m_stop) {
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_held, [this](const Held &held) {
                    const bool isNews = held.ask.since == 0 || held.ask.newestRoutingIndex < newestIndex;
                    if (!isNews && std::chrono::steady_clock::now() < held.until) {
                        return false;
                    }
                    held.call->reply(200, encode(replyTo(held.ask)));
                    return true;
                });
            }
            std::this_thread::sleep_for(RetryInterval);
        }
    }

    FleetWatchReply replyTo(const FleetWatchCall &ask) const
    {
        FleetWatchReply reply;
        reply.epoch = "life";
        reply.version = 1;
        reply.isCurrent = true;
        reply.isWhole = ask.since == 0;
        reply.routingIndex = newestIndex;
        if (ask.routingIndex == 0) {
            reply.routingChanges = m_first.since(0);
        } else if (m_newest == Newest::Unreadable && ask.routingIndex < newestIndex) {
            reply.routingChanges = {"no change"};
        }
        return reply;
    }

    Newest m_newest;
    RoutingHistory m_first;
    std::mutex m_mutex;
    std::vector<Held> m_held;
    std::vector<IncomingCallPtr> m_withheld;
    std::atomic<bool> m_stop{false};
    PeerNet m_net;
    std::thread m_thread;
};

/// An entry host that follows the stand-in.
class Follower
{
public:
    explicit Follower(Newest newest)
        : control(addressOn(1, 17100), newest)
    {
        FleetSettings settings;
        settings.name = "entry";
        settings.zone = "z1";
        settings.regionOfZone = {{"z1", "r1"}};
        settings.updateLease = 2 * EventTimeout;
        settings.maxBodyBytes = settings.maxAnswerBytes = 1 << 20;
        settings.peer = addressOn(2, 17100);
        settings.metrics = addressOn(2, 17103);
        settings.callers = settings.readiness = {"127.0.0.1", 0};
        settings.seeds = {addressOn(1, 17101)};
        m_gateway = std::make_unique<GatewayDaemon>(settings, m_clock, callerDialect<platform::Clients>());
        REQUIRE(System::eventually([&] { return statusOfUnknown() == 404; }));
    }

    unsigned statusOfUnknown()
    {
        HttpCall call;
        call.to = m_gateway->callersAddress();
        call.method = "GET";
        call.resource = "/unknown/x";
        call.headers = {{"Host", "a.example"}, {"X-Request-Id", "q"}};
        call.timeout = 10s;
        return fetchOnce(m_client, call).answer.status;
    }

    StubControl control;

private:
    SteadyClock m_clock;
    HttpClient m_client{1 << 20};
    std::unique_ptr<GatewayDaemon> m_gateway;
};

/// Counts what the stand-in is asked from the moment in which it has newer routing.
void checkPace(Newest newest)
{
    Follower follower(newest);
    StubControl &control = follower.control;
    const unsigned before = control.asks + control.fetches;
    const auto begun = std::chrono::steady_clock::now();
    control.newestIndex = 2;
    REQUIRE(System::eventually([&] { return control.fetches > 0; }));
    control.newestIndex = 3; // a second change while the first is on its way
    REQUIRE(System::eventually([&] { return control.asks + control.fetches >= before + EnoughReplies; }));
    // Asks without a pause would reach the number at once, so as long again as that took is waited.
    std::this_thread::sleep_for(std::max<Duration>(1s, std::chrono::steady_clock::now() - begun));
    const double passed = secondsOf(std::chrono::steady_clock::now() - begun);
    CHECK(control.asks + control.fetches - before <= MostAtOnce + MostPerSecond * passed);
    // Routes may have been added that this host has not got.
    CHECK(follower.statusOfUnknown() == 503);
}

} // namespace

TEST_CASE("a host asks no faster while a change of the routing is on its way, and does not take itself for current")
{
    checkPace(Newest::Withheld);
}

TEST_CASE("a host asks no faster while a change of the routing can't be read, and does not take itself for current")
{
    checkPace(Newest::Unreadable);
}
