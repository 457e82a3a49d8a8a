//===- OvertakenAskTest.cpp - A delayed poll that arrives after a later one ---===//
//
// Guards against a change that was not acknowledged for 4 s although all entry hosts had it. One entry host had been
// cut off from the control hosts and had polled one after the other meanwhile. After the partition it polled another
// control host, but connections resent its earlier polls up to seconds later, and each control host that received one
// took its outdated state for current and waited for it.
//
//===----------------------------------------------------------------------===//
#include "Fleet/FleetMessages.h"
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr std::uint64_t EarlierSequence = 5;
constexpr std::uint64_t LaterSequence = 10;

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

/// Stands in for a control host which reports to another one that an entry host polls it.
class OtherControlHost
{
public:
    OtherControlHost(Address self, Address other)
        : m_self(std::move(self))
        , m_other(std::move(other))
    {
        m_net.listen(m_self, [this](const IncomingCallPtr &call) { handleCall(call); });
    }

    ~OtherControlHost()
    {
        m_net.stop();
    }

    /// Polls the other control host and confirms all its updates.
    void confirmAll()
    {
        FleetWatchCall poll;
        poll.self.id = "other#1";
        poll.self.role = HostRole::Control;
        poll.self.zone = "z1";
        poll.self.address = m_self.text();
        poll.self.peer = m_self.text();
        poll.self.sequence = ++m_sequence;
        poll.epoch = m_epoch;
        poll.confirmed = UpdateVersions::max();
        const PeerReply reply = call(fleet::path::FleetWatch, encode(poll));
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

    std::atomic<int> polls{0}; ///< received from the other control host

private:
    void handleCall(const IncomingCallPtr &call)
    {
        FleetWatchReply reply;
        reply.epoch = "epoch of the other";
        reply.version = 1;
        reply.isCurrent = true;
        reply.changes.hosts.push_back({entryHost(LaterSequence), 0ms, false});
        if (call->path() == fleet::path::FleetWatch) {
            ++polls;
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

TEST_CASE("a poll that arrives after a later one went to another control host delays no acknowledgement")
{
    ServingSystem serving; // with a lease longer than any wait of the test
    OtherControlHost other(addressOn(7, 17100), addressOn(1, 17100));
    other.confirmAll();
    REQUIRE(System::eventually([&] { return other.polls >= 2; })); // its first reply has been processed by then
    other.confirmAll();
    FleetWatchCall delayed;
    delayed.self = entryHost(EarlierSequence);
    delayed.routingIndex = 1;
    delayed.newestRoutingIndex = 1;
    REQUIRE(other.call(fleet::path::FleetAlive, encode(delayed)).delivered);
    serving.drainUntilAcknowledged();
}
