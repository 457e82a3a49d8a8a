//===- PendingRoutingTest.cpp - Routing that doesn't arrive ---------------===//
//
// Guards against a poll loop: while a routing change was pending or unreadable, an entry host requested updates 40
// times a second, which filled its slow link, and took itself for current. A stub control host counts the requests, and
// advertises a routing that it withholds or that can't be parsed.
//
// Guards also against a host that takes a slow link for a cut: it had stopped deciding by an old routing, which other
// hosts relied on, and resumed 3.6 s after its last poll although its control host answered all the time.
//
//===----------------------------------------------------------------------===//
#include "Fleet/HeldPolls.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Limits of polls and fetches: two a second are made without updates, and some more with each update.
constexpr double MaxRequestsPerSecond = 6;
constexpr double MaxRequestBurst = 10;
/// Requests to wait for, so that a loop without a delay shows.
constexpr unsigned MinRequests = 6;

/// Fault of the stub's routing of index 2.
enum class RoutingFault : std::uint8_t {
    Withheld, ///< too long for a reply, and never sent
    Unreadable,
};

class StubControl
{
public:
    StubControl(const Address &at, RoutingFault fault)
        : m_fault(fault)
    {
        RouteTable table;
        table.version = 1;
        table.services = {{"s", 0, 0ms, 0}};
        table.routes = {{"r", "a.example", "/p/", RouteKind::OnceOnly, 4s, 1s, 1, {{"s", 1}}, 2, false, {}}};
        m_first.append({1, std::make_shared<RouteTable>(table), {}});
        m_net.listen(at, [this](const IncomingCallPtr &call) { onCall(call); });
    }

    ~StubControl()
    {
        m_net.stop();
    }

    /// Replies to no poll from now on.
    void holdPolls()
    {
        m_polls.isPaused = true;
    }

    std::atomic<std::uint64_t> newestIndex{1};
    std::atomic<bool> isSilent{false}; ///< answers nothing at all
    std::atomic<unsigned> polls{0};
    std::atomic<unsigned> fetches{0};

private:
    void onCall(const IncomingCallPtr &call)
    {
        if (call->path() == fleet::path::FleetWatch) {
            ++polls;
            m_polls.add(call);
            return;
        }
        if (call->path() == fleet::path::FleetAlive) {
            if (isSilent) {
                m_withheld.push_back(call);
            } else {
                call->reply(200, encode(FleetAliveReply{true, newestIndex}));
            }
            return;
        }
        if (call->path() == fleet::path::FleetRouting) {
            ++fetches;
            if (m_fault == RoutingFault::Unreadable) {
                call->reply(200, encode(FleetRoutingReply{{"no change"}}));
            } else {
                m_withheld.push_back(call);
            }
            return;
        }
        call->reply(200, "");
    }

    FleetWatchReply replyTo(const FleetWatchCall &request) const
    {
        FleetWatchReply reply;
        reply.epoch = "life";
        reply.version = 1;
        reply.isCurrent = true;
        reply.isWhole = request.since == 0;
        reply.routingIndex = newestIndex;
        if (request.routingIndex == 0) {
            reply.routingChanges = m_first.changesSince(0);
            reply.changes.targets.push_back(
                {{"t", "s", m_target.address(), "z1", 4, Presence::Ready, 0ms, 1}, 0ms, false});
        } else if (m_fault == RoutingFault::Unreadable && request.routingIndex < newestIndex) {
            reply.routingChanges = {"no change"};
        }
        return reply;
    }

    RoutingFault m_fault;
    FakeTarget m_target{"t"};
    RoutingHistory m_first;
    std::vector<IncomingCallPtr> m_withheld;
    PeerNet m_net;
    HeldPolls m_polls{[this](const FleetWatchCall &request) {
                          return request.since == 0 || request.newestRoutingIndex < newestIndex;
                      },
                      [this](const FleetWatchCall &request) {
                          return replyTo(request);
                      }};
};

/// An entry host that follows the stub.
class Follower
{
public:
    explicit Follower(RoutingFault fault, Duration updateLease = 2 * EventTimeout)
        : control(addressOn(1, 17100), fault)
    {
        FleetSettings settings;
        settings.name = "entry";
        settings.zone = "z1";
        settings.regionOfZone = {{"z1", "r1"}};
        settings.updateLease = updateLease;
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
        return statusOf("/unknown/x");
    }

    unsigned statusOf(const std::string &resource)
    {
        HttpCall call;
        call.to = m_gateway->callersAddress();
        call.method = "GET";
        call.resource = resource;
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

/// Checks the rate of requests to the stub from the moment when it has newer routing.
void checkRequestRate(RoutingFault fault)
{
    Follower follower(fault);
    StubControl &control = follower.control;
    const unsigned before = control.polls + control.fetches;
    const auto begun = std::chrono::steady_clock::now();
    control.newestIndex = 2;
    REQUIRE(System::eventually([&] { return control.fetches > 0; }));
    control.newestIndex = 3; // a second change while the first is pending
    REQUIRE(System::eventually([&] { return control.polls + control.fetches >= before + MinRequests; }));
    // A loop without a delay reaches the number at once, so wait as long again as that took.
    std::this_thread::sleep_for(std::max<Duration>(1s, std::chrono::steady_clock::now() - begun));
    const double passed = secondsOf(std::chrono::steady_clock::now() - begun);
    CHECK(control.polls + control.fetches - before <= MaxRequestBurst + MaxRequestsPerSecond * passed);
    // Routes may have been added that this host lacks.
    CHECK(follower.statusOfUnknown() == 503);
}

} // namespace

TEST_CASE("a host with a pending routing change keeps its request rate, and is not current")
{
    checkRequestRate(RoutingFault::Withheld);
}

TEST_CASE("a host with an unreadable routing change keeps its request rate, and is not current")
{
    checkRequestRate(RoutingFault::Unreadable);
}

// Guards against old routing that is used again after other hosts were told that it is not.
TEST_CASE("a host whose polls are slow stays suspended while its control host answers heartbeats")
{
    constexpr Duration Lease = 500ms;
    Follower follower(RoutingFault::Withheld, Lease);
    StubControl &control = follower.control;
    REQUIRE(System::eventually([&] { return follower.statusOf("/p/x") == 200; }));
    control.newestIndex = 2;
    REQUIRE(System::eventually([&] { return control.fetches > 0; }));
    control.holdPolls();
    REQUIRE(System::eventually([&] { return follower.statusOf("/p/x") == 503; }));
    const auto end = std::chrono::steady_clock::now() + 10 * Lease;
    while (std::chrono::steady_clock::now() < end) {
        REQUIRE(follower.statusOf("/p/x") == 503);
        std::this_thread::sleep_for(RetryInterval);
    }
    control.isSilent = true; // now it is cut off, and serves what it can
    CHECK(System::eventually([&] { return follower.statusOf("/p/x") == 200; }));
}
