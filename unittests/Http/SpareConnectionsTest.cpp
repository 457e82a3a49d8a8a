//===- SpareConnectionsTest.cpp - Calls over connections opened in advance ===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::test;
using namespace std::chrono_literals;

namespace
{

/// Waits until the client has opened that many spare connections; false if it takes too long.
bool waitUntilOpened(const HttpClient &client, std::uint64_t count)
{
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (client.spareConnections().opened < count && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    return client.spareConnections().opened == count;
}

/// Long enough for the client to open each connection that is due.
void waitForSweeps()
{
    std::this_thread::sleep_for(600ms);
}

} // namespace

// Guards against a call that connects although a spare connection is open.
TEST_CASE("a call uses the spare connection and makes no other one")
{
    std::atomic<int> connections{0};
    std::promise<void> isOver;
    const auto serve = [&](RawServer::Socket &socket) {
        ++connections;
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
        isOver.get_future().wait_for(10s);
    };
    const auto count = [&](RawServer::Socket &) {
        ++connections;
    };
    HttpClient client(MaxAnswerBytes);
    {
        const RawServer server({serve, count});
        client.keepConnected({server.address()});
        REQUIRE(waitUntilOpened(client, 1));
        CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Answered);
        waitForSweeps();
        CHECK(callAndWait(client, callTo(server.address(), "POST")).kind == HttpResult::Kind::Answered);
        CHECK(client.spareConnections().opened == 1);
        CHECK(client.spareConnections().used == 1);
        client.keepConnected({});
        isOver.set_value();
        waitForSweeps();
    }
    CHECK(connections == 1);
    CHECK(client.spareConnections().closedUnused == 0);
}

// Guards against calls that get a closed connection, and against a stream of connects to a target that closes them.
TEST_CASE("a spare connection that the peer closes is dropped and reopened after 1 s")
{
    std::promise<std::chrono::steady_clock::time_point> closed;
    std::promise<std::chrono::steady_clock::time_point> reopened;
    const auto close = [&](RawServer::Socket &) {
        closed.set_value(std::chrono::steady_clock::now());
    };
    const auto serve = [&](RawServer::Socket &socket) {
        reopened.set_value(std::chrono::steady_clock::now());
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
    };
    const RawServer server({close, serve});
    HttpClient client(MaxAnswerBytes);
    client.keepConnected({server.address()});
    REQUIRE(waitUntilOpened(client, 2));
    const auto pause = reopened.get_future().get() - closed.get_future().get();
    CHECK(pause >= 1s);
    CHECK(client.spareConnections().closedUnused == 1);
    CHECK(callAndWait(client, callTo(server.address(), "POST")).kind == HttpResult::Kind::Answered);
    CHECK(client.spareConnections().used == 1);
}

// Guards against a request that counts as possibly run although its connection was closed before it was written.
TEST_CASE("a request whose spare connection closes before it is sent is reported as not sent")
{
    std::atomic<int> requests{0};
    std::promise<void> mayClose;
    const auto close = [&](RawServer::Socket &socket) {
        mayClose.get_future().wait_for(10s);
        socket.shutdown(RawServer::Socket::shutdown_send);
        requests += RawServer::readRequest(socket).empty() ? 0 : 1;
    };
    const auto serve = [&](RawServer::Socket &socket) {
        requests += RawServer::readRequest(socket).empty() ? 0 : 1;
        RawServer::send(socket, Answer200);
    };
    const RawServer server({close, serve});
    HttpClient client(MaxAnswerBytes);
    client.keepConnected({server.address()});
    REQUIRE(waitUntilOpened(client, 1));
    HttpCall first = callTo(server.address(), "POST");
    first.maySend = [&mayClose] {
        mayClose.set_value();
        std::this_thread::sleep_for(200ms); // for the close to arrive
        return true;
    };
    const HttpResult result = callAndWait(client, std::move(first));
    CHECK(result.kind == HttpResult::Kind::NotSent);
    CHECK_FALSE(result.isWithdrawn);
    CHECK_FALSE(result.isRefused);
    CHECK(client.spareConnections().used == 1);
    CHECK(callAndWait(client, callTo(server.address(), "POST")).kind == HttpResult::Kind::Answered);
    CHECK(requests == 1);
}

// Guards against a once-only request that runs twice, and against one that counts as not sent after a part was read.
TEST_CASE("a request whose spare connection is reset while it is written is not sent again")
{
    for (const std::size_t bytes : {std::size_t(0), std::size_t(8) << 20}) {
        std::atomic<int> requests{0};
        const auto reset = [&](RawServer::Socket &socket) {
            boost::system::error_code ec;
            std::array<char, 16> buf{};
            requests += socket.read_some(boost::asio::buffer(buf), ec) > 0 ? 1 : 0; // the rest stays unread
        };
        const auto serve = [&](RawServer::Socket &socket) {
            requests += RawServer::readRequest(socket).empty() ? 0 : 1;
            RawServer::send(socket, Answer200);
        };
        HttpClient client(MaxAnswerBytes);
        {
            const RawServer server({reset, serve});
            client.keepConnected({server.address()});
            REQUIRE(waitUntilOpened(client, 1));
            HttpCall call = callTo(server.address(), "POST");
            call.body = std::make_shared<const std::string>(bytes, 'x');
            const HttpResult result = callAndWait(client, std::move(call));
            CHECK(result.kind == HttpResult::Kind::Broken);
            CHECK(result.isConnectionLost);
            CHECK(client.spareConnections().used == 1);
            waitForSweeps();
        }
        CHECK(requests == 1);
    }
}

// Guards against a second connection next to the one that libcurl keeps.
TEST_CASE("no spare connection is opened while libcurl keeps a recently used one")
{
    std::promise<void> isOver;
    const RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
        isOver.get_future().wait_for(10s);
    }});
    HttpClient client(MaxAnswerBytes);
    client.keepConnected({});
    CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Answered);
    client.keepConnected({server.address()});
    waitForSweeps();
    CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Answered);
    isOver.set_value();
    CHECK(client.spareConnections().opened == 0);
}

// Guards against a check of a target that succeeds over a connection made when the target still accepted them.
TEST_CASE("a call that only connects does not use the spare connection")
{
    std::promise<void> isOver;
    HttpClient client(MaxAnswerBytes);
    const RawServer server({[&](RawServer::Socket &) {
        isOver.get_future().wait_for(10s);
    }});
    client.keepConnected({server.address()});
    REQUIRE(waitUntilOpened(client, 1));
    HttpCall check = callTo(server.address());
    check.connectsOnly = true;
    const HttpResult result = callAndWait(client, std::move(check));
    CHECK(result.kind == HttpResult::Kind::Answered);
    CHECK(client.spareConnections().used == 0);
    isOver.set_value();
}
