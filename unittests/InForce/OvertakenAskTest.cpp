//===- OvertakenAskTest.cpp - An ask that a cut held up, after a later one ----===//
//
// Seen: a change was not acknowledged for 4 s, though all entry hosts had it. One of them had been cut off from the
// control hosts, and had asked one after the other meanwhile. When the cut was over it followed another control host,
// but connections sent its former asks again, up to seconds later, and whoever took one waited for what it says.
//
//===----------------------------------------------------------------------===//
#include "Fleet/FleetMessages.h"
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr std::uint64_t EarlierAsk = 5;
constexpr std::uint64_t LaterAsk = 10;

HostReport entryHost(std::uint64_t sequence)
{
    HostReport report;
    report.id = "entry#1";
    report.zone = "z1";
    report.address = "127.0.0.1:1";
    report.peer = "127.0.0.1:2";
    report.sequence = sequence;
    return report;
}

/// A control host that an entry host follows, as far as another control host can see.
class OtherControlHost
{
public:
    OtherControlHost(Address self, Address other)
        : m_self(std::move(self))
        , m_other(std::move(other))
    {
        m_net.listen(m_self, [this](const IncomingCallPtr &call) { onCall(call); });
    }

    ~OtherControlHost()
    {
        m_net.stop();
    }

    /// Asks the other one, and confirms all its news.
    void confirmAll()
    {
        FleetWatchCall ask;
        ask.self.id = "other#1";
        ask.self.role = HostRole::Control;
        ask.self.zone = "z1";
        ask.self.address = m_self.text();
        ask.self.peer = m_self.text();
        ask.self.sequence = ++m_sequence;
        ask.epoch = m_epoch;
        ask.confirmed = NewsPosition::everything();
        const PeerReply reply = call(fleet::path::FleetWatch, encode(ask));
        REQUIRE(reply.delivered);
        m_epoch = decode<FleetWatchReply>(reply.body, "test").epoch;
    }

    PeerReply call(const char *path, const std::string &body)
    {
        auto promise = std::make_shared<std::promise<PeerReply>>();
        std::future<PeerReply> reply = promise->get_future();
        m_net.call(m_other, path, body, EventTimeout, [promise](PeerReply it) { promise->set_value(std::move(it)); });
        return reply.get();
    }

    std::atomic<int> asked{0}; ///< times that the other one has asked

private:
    void onCall(const IncomingCallPtr &call)
    {
        FleetWatchReply reply;
        reply.epoch = "epoch of the other";
        reply.version = 1;
        reply.isCurrent = true;
        reply.changes.hosts.push_back({entryHost(LaterAsk), 0ms, false});
        if (call->path() == fleet::path::FleetWatch) {
            ++asked;
        }
        call->reply(200, encode(reply));
    }

    Address m_self;
    Address m_other;
    std::string m_epoch;
    std::uint64_t m_sequence = 0;
    PeerNet m_net;
};

} // namespace

TEST_CASE("an ask that comes after a later one went to another control host holds up no acknowledgement")
{
    ServingSystem serving; // with a lease that no test waits for
    OtherControlHost other(addressOn(7, 17100), addressOn(1, 17100));
    other.confirmAll();
    REQUIRE(System::eventually([&] { return other.asked >= 2; })); // its first reply is taken by then
    other.confirmAll();
    FleetWatchCall heldUp;
    heldUp.self = entryHost(EarlierAsk);
    heldUp.routingIndex = 1;
    heldUp.newestRoutingIndex = 1;
    REQUIRE(other.call(fleet::path::FleetAlive, encode(heldUp)).delivered);
    serving.drainUntilAcknowledged();
}
