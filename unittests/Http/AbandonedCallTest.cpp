//===- AbandonedCallTest.cpp - Requests that are given up on their way ----===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

using namespace std::chrono_literals;

/// More than the target's receive buffer holds, and less than the sender's.
constexpr std::size_t BodyBytes = 24 * 1024;

/// A target that reads nothing until it is told, so that most of a request stays with the sender's system.
class StalledTarget
{
public:
    StalledTarget()
        : m_acceptor(m_context)
    {
        constexpr int ReceiveBytes = 2048;
        m_acceptor.open(boost::asio::ip::tcp::v4());
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBytes));
        m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen();
    }

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    RawServer::Socket accept()
    {
        return m_acceptor.accept();
    }

    /// Reads all that comes until the other side has closed or reset the connection; how many bytes came.
    static std::size_t readToEnd(RawServer::Socket &socket)
    {
        std::size_t size = 0;
        boost::system::error_code ec;
        for (std::array<char, 4096> buf{}; !ec;) {
            size += socket.read_some(boost::asio::buffer(buf), ec);
        }
        return size;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

HttpCall largeCallTo(const Address &to)
{
    HttpCall call = callTo(to, "POST");
    call.body = std::make_shared<const std::string>(BodyBytes, 'x');
    return call;
}

} // namespace

// Guards against a request that the network holds and that reaches a target in an evacuated zone, although its caller
// was answered before.
TEST_CASE("a request that times out on its way does not arrive later")
{
    StalledTarget target;
    HttpClient client(MaxAnswerBytes);
    HttpCall call = largeCallTo(target.address());
    call.timeout = 300ms;
    CHECK(callAndWait(client, call).kind != HttpResult::Kind::Answered);
    RawServer::Socket socket = target.accept();
    CHECK(StalledTarget::readToEnd(socket) < BodyBytes);
}

TEST_CASE("a request that is cancelled on its way does not arrive later")
{
    StalledTarget target;
    HttpClient client(MaxAnswerBytes);
    const HttpCallId id = client.start(largeCallTo(target.address()), [](const HttpResult &) {});
    RawServer::Socket socket = target.accept();
    std::this_thread::sleep_for(100ms);
    client.cancel(id);
    // Calls are carried out in order: when this one has ended, the other one is cancelled.
    callAndWait(client, callTo({"127.0.0.1", 1}));
    CHECK(StalledTarget::readToEnd(socket) < BodyBytes);
}

TEST_CASE("a request that is on its way as the client stops does not arrive later")
{
    StalledTarget target;
    HttpClient client(MaxAnswerBytes);
    client.start(largeCallTo(target.address()), [](const HttpResult &) {});
    RawServer::Socket socket = target.accept();
    std::this_thread::sleep_for(100ms);
    client.stop();
    CHECK(StalledTarget::readToEnd(socket) < BodyBytes);
}

// A reset takes along what the target has not read yet, so it is for requests on their way alone.
TEST_CASE("a connection is closed without a reset once its request was delivered")
{
    boost::system::error_code end;
    {
        RawServer target({[&](RawServer::Socket &socket) {
            RawServer::readRequest(socket);
            RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
            char byte = 0;
            socket.read_some(boost::asio::buffer(&byte, 1), end);
        }});
        HttpClient client(MaxAnswerBytes);
        CHECK(callAndWait(client, callTo(target.address())).answer.status == 200);
        client.stop();
    }
    CHECK(end == boost::asio::error::eof);
}
