//===- PeerNetTest.cpp - Calls between processes --------------------------===//
#include "pepperlug/Wire.h"
#include "test/soak/FaultProxy.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace pepperlug;

namespace
{

const Address AnyPort{"127.0.0.1", 0};

PeerReply callNow(PeerNet &net, const Address &to, const std::string &path, const std::string &body,
                  Duration timeout = std::chrono::seconds(10), CallLimit limit = CallLimit::Whole)
{
    std::promise<PeerReply> promise;
    net.call(
        to, path, body, timeout, [&promise](PeerReply reply) { promise.set_value(std::move(reply)); }, limit);
    return promise.get_future().get();
}

void echo(const IncomingCallPtr &call)
{
    call->reply(200, call->path() + ":" + call->body());
}

} // namespace

TEST_CASE("a call gets its own reply, whatever its size")
{
    PeerNet server;
    const Address address = server.listen(AnyPort, echo);
    PeerNet client;
    CHECK(callNow(client, address, "/a", "small").body == "/a:small");
    const std::string large(5 * 1024 * 1024, 'x');
    const PeerReply reply = callNow(client, address, "/b", large);
    CHECK(reply.delivered);
    CHECK(reply.status == 200);
    CHECK(reply.body == "/b:" + large);
}

TEST_CASE("a large message does not hold up small ones, and late replies find their calls")
{
    PeerNet server;
    std::mutex mutex;
    std::vector<IncomingCallPtr> held;
    std::promise<void> gotHeld;
    const Address address = server.listen(AnyPort, [&](const IncomingCallPtr &call) {
        if (call->path() == "/hold") {
            const std::lock_guard lock(mutex);
            held.push_back(call);
            gotHeld.set_value();
            return;
        }
        echo(call);
    });
    PeerNet client;
    std::promise<PeerReply> late;
    client.call(address, "/hold", "h", std::chrono::seconds(10),
                [&late](PeerReply reply) { late.set_value(std::move(reply)); });
    gotHeld.get_future().get();
    std::promise<PeerReply> large;
    client.call(address, "/large", std::string(30 * 1024 * 1024, 'x'), std::chrono::seconds(30),
                [&large](PeerReply reply) { large.set_value(std::move(reply)); });
    for (int n = 0; n < 20; ++n) {
        const std::string body = std::to_string(n);
        CHECK(callNow(client, address, "/small", body).body == "/small:" + body);
    }
    held[0]->reply(200, "at last");
    CHECK(late.get_future().get().body == "at last");
    CHECK(large.get_future().get().delivered);
}

// Guards against a process that runs out of memory by calls that are bounded one by one but not all together.
TEST_CASE("a call that finds no memory is refused and told as not sent, and small ones are replied to")
{
    constexpr std::uint64_t Room = 400000;
    constexpr std::size_t Body = 200000;
    PeerNet server;
    server.bound({Room, 100});
    std::mutex mutex;
    std::vector<IncomingCallPtr> held;
    std::promise<void> gotHeld;
    const Address address = server.listen(AnyPort, [&](const IncomingCallPtr &call) {
        if (call->path() != "/hold") {
            echo(call);
            return;
        }
        const std::lock_guard lock(mutex);
        held.push_back(call);
        gotHeld.set_value();
    });
    PeerNet client;
    std::promise<PeerReply> late;
    client.call(address, "/hold", std::string(Body, 'x'), std::chrono::seconds(10),
                [&late](PeerReply reply) { late.set_value(std::move(reply)); });
    gotHeld.get_future().get();
    const PeerReply refused = callNow(client, address, "/large", std::string(Body, 'x'));
    CHECK_FALSE(refused.delivered);
    CHECK_FALSE(refused.maybeSent);
    CHECK(refused.failure == CallFailure::Refused);
    CHECK(callNow(client, address, "/small", "s").body == "/small:s");
    CHECK(server.traffic().callsRefused == 1);
    {
        const std::lock_guard lock(mutex);
        held[0]->reply(200, "at last");
        held.clear();
    }
    CHECK(late.get_future().get().body == "at last");
    CHECK(callNow(client, address, "/large", std::string(Body, 'x')).delivered);
}

// Guards against a handler that throws and ends the process.
TEST_CASE("a call whose handler throws is replied to with 500, and so is no other one")
{
    PeerNet server;
    std::promise<std::string> told;
    server.onFailure(
        [&told](const std::string &path, const std::string &reason) { told.set_value(path + " " + reason); });
    const Address address = server.listen(AnyPort, [](const IncomingCallPtr &call) {
        if (call->path() == "/throws") {
            throw std::runtime_error("no such thing");
        }
        echo(call);
    });
    PeerNet client;
    CHECK(callNow(client, address, "/throws", "").status == 500);
    CHECK(told.get_future().get() == "/throws no such thing");
    CHECK(server.traffic().handlersFailed == 1);
    CHECK(callNow(client, address, "/a", "next").body == "/a:next");
}

// Guards against a reply that ends the process which asked.
TEST_CASE("what the handler of a reply throws ends nothing")
{
    PeerNet server;
    const Address address = server.listen(AnyPort, echo);
    PeerNet client;
    client.call(address, "/a", "", std::chrono::seconds(10), [](const PeerReply &) { throw std::runtime_error("no"); });
    CHECK(callNow(client, address, "/a", "next").body == "/a:next");
    CHECK(client.traffic().handlersFailed == 1);
}

TEST_CASE("without a peer nothing was sent; with one that dies it may have been")
{
    PeerNet client;
    Address address;
    {
        PeerNet server;
        std::promise<IncomingCallPtr> got;
        address = server.listen(AnyPort, [&got](const IncomingCallPtr &call) { got.set_value(call); });
        std::promise<PeerReply> reply;
        client.call(address, "/x", "", std::chrono::seconds(10),
                    [&reply](PeerReply it) { reply.set_value(std::move(it)); });
        got.get_future().get();
        server.stop();
        const PeerReply broken = reply.get_future().get();
        CHECK_FALSE(broken.delivered);
        CHECK(broken.maybeSent);
    }
    const PeerReply refused = callNow(client, address, "/x", "");
    CHECK_FALSE(refused.delivered);
    CHECK_FALSE(refused.maybeSent);
}

TEST_CASE("a call that is given up tells the peer; its late reply is dropped")
{
    PeerNet server;
    std::promise<IncomingCallPtr> got;
    std::promise<void> cancelled;
    const Address address = server.listen(AnyPort, [&](const IncomingCallPtr &call) {
        if (call->path() == "/hold") {
            call->onCancel([&cancelled] { cancelled.set_value(); });
            got.set_value(call);
            return;
        }
        echo(call);
    });
    PeerNet client;
    std::promise<PeerReply> reply;
    const CallId id = client.call(address, "/hold", "", std::chrono::seconds(10),
                                  [&reply](PeerReply it) { reply.set_value(std::move(it)); });
    const IncomingCallPtr call = got.get_future().get();
    client.cancel(id);
    CHECK_FALSE(reply.get_future().get().delivered);
    cancelled.get_future().get();
    call->reply(200, "too late");
    CHECK(callNow(client, address, "/next", "n").body == "/next:n");
}

TEST_CASE("a call runs out of time")
{
    PeerNet server;
    const Address address = server.listen(AnyPort, [](const IncomingCallPtr &) {});
    PeerNet client;
    const PeerReply reply = callNow(client, address, "/never", "", Milliseconds(50));
    CHECK_FALSE(reply.delivered);
    CHECK(reply.maybeSent);
}

TEST_CASE("a long reply over a slow link arrives where the limit is on silence")
{
    constexpr std::size_t Bytes = 1 << 20;
    // The reply needs twice the limit, with no pause that is near it.
    constexpr std::uint64_t BytesPerSecond = 320 * 1024;
    constexpr Milliseconds Limit{1500};
    PeerNet server;
    const Address address =
        server.listen(AnyPort, [&](const IncomingCallPtr &call) { call->reply(200, std::string(Bytes, 'x')); });
    soak::FaultProxy link(address);
    link.narrow(BytesPerSecond);
    PeerNet client;
    CHECK(callNow(client, link.address(), "/long", "", Limit, CallLimit::Silence).body.size() == Bytes);
}

TEST_CASE("a peer that falls silent ends a call whose limit is on silence")
{
    PeerNet server;
    std::vector<IncomingCallPtr> held;
    const Address address = server.listen(AnyPort, [&](const IncomingCallPtr &call) { held.push_back(call); });
    PeerNet client;
    CHECK(callNow(client, address, "/held", "", Milliseconds(100), CallLimit::Silence).reason == "timed out");
    server.stop();
}

TEST_CASE("garbage at the port closes that connection only")
{
    PeerNet server;
    const Address address = server.listen(AnyPort, echo);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(address.ip), address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string(1000, '!')));
    std::string rest;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ec);
    CHECK(ec);
    PeerNet client;
    CHECK(callNow(client, address, "/a", "b").delivered);
}

TEST_CASE("a host can be listened on once")
{
    PeerNet one;
    const Address address = one.listen(AnyPort, echo);
    PeerNet other;
    CHECK_THROWS_WITH(other.listen(address, echo), Catch::Contains("listen") && Catch::Contains(address.text()));
}

TEST_CASE("messages come back as they were, and wrong ones are refused with their peer")
{
    LeaseCall call{"host", {7, 8, 9, true, "ledger", std::chrono::seconds(5), {{0, 1, 2}}}};
    const auto copy = decode<LeaseCall>(encode(call), "p");
    CHECK(copy.holder == "host");
    CHECK(copy.request == call.request);
    const LeaseGrant grant{1, 2, std::chrono::microseconds(3), false, "l", std::chrono::seconds(4), {{0, 1, 2}}};
    CHECK(decode<LeaseGrant>(encode(grant), "p") == grant);
    ForwardCall forward;
    forward.body = std::string("\0x\xff", 3);
    forward.budget = Milliseconds(5);
    CHECK(decode<ForwardCall>(encode(forward), "p").body == forward.body);
    for (const std::string &bad :
         {std::string(), std::string("\xc1"), std::string("text"), encode(call) + "x", encode(std::string("text"))}) {
        CHECK_THROWS_WITH(decode<LeaseCall>(bad, "1.2.3.4:5"),
                          Catch::Contains("1.2.3.4:5") && Catch::Contains("decode message"));
    }
    const std::string whole = encode(call);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        CHECK_THROWS_AS(decode<LeaseCall>(whole.substr(0, n), "p"), Error);
    }
}

TEST_CASE("control messages travel under their paths")
{
    AppendRequest append;
    append.sender = {"c1", "d", 4};
    append.entries.push_back({4, 5, EntryKind::Members, "data"});
    const ControlMessage message = append;
    const auto back = decodeControlMessage(pathOf(message), encodeControlMessage(message), "p");
    REQUIRE(back);
    CHECK(std::get<AppendRequest>(*back).entries == append.entries);
    CHECK_FALSE(decodeControlMessage("/other", "", "p"));
}
