//===- SilentTargetTest.cpp - Connections to targets that go silent -------===//
#include "ClientCalls.h"
#include "RawSocket.h"
#include "test/soak/FaultProxy.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::test;
using namespace std::chrono_literals;

namespace
{

constexpr int Connections = 6;

/// Answers requests on any number of connections, each a little later, so that calls at the same time need several.
class Target
{
public:
    Target()
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Target()
    {
        m_context.stop();
        m_thread.join();
    }

    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    void setDelay(Milliseconds delay)
    {
        m_delay = delay;
    }

    int connections() const
    {
        return m_connections;
    }

private:
    struct Session {
        explicit Session(boost::asio::ip::tcp::socket from)
            : socket(std::move(from))
            , timer(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::string bytes;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &ec, boost::asio::ip::tcp::socket socket) {
            if (!ec) {
                ++m_connections;
                serve(std::make_shared<Session>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Session> &session)
    {
        boost::asio::async_read_until(session->socket, boost::asio::dynamic_buffer(session->bytes), "\r\n\r\n",
                                      [this, session](const boost::system::error_code &ec, std::size_t size) {
                                          if (!ec) {
                                              session->bytes.erase(0, size);
                                              answer(session);
                                          }
                                      });
    }

    void answer(const std::shared_ptr<Session> &session)
    {
        session->timer.expires_after(m_delay.load());
        session->timer.async_wait([this, session](const boost::system::error_code &) {
            boost::asio::async_write(session->socket, boost::asio::buffer(Answer200),
                                     [this, session](const boost::system::error_code &ec, std::size_t) {
                                         if (!ec) {
                                             serve(session);
                                         }
                                     });
        });
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<Milliseconds> m_delay{50ms};
    std::atomic<int> m_connections{0};
    std::thread m_thread;
};

HttpCall shortCallTo(const Address &to)
{
    HttpCall call = callTo(to, "POST");
    call.timeout = 700ms;
    return call;
}

/// Makes as many calls at the same time as connections are wanted; how many were answered.
int callAtOnce(HttpClient &client, const Address &to)
{
    std::vector<std::promise<HttpResult>> promises(Connections);
    for (auto &it : promises) {
        client.start(callTo(to), [&it](HttpResult result) { it.set_value(std::move(result)); });
    }
    int answered = 0;
    for (auto &it : promises) {
        answered += it.get_future().get().kind == HttpResult::Kind::Answered ? 1 : 0;
    }
    return answered;
}

/// Makes calls one after the other; how many of them were not answered.
int countLost(HttpClient &client, const Address &to, int calls)
{
    int lost = 0;
    for (int n = 0; n < calls; ++n) {
        lost += callAndWait(client, shortCallTo(to)).kind == HttpResult::Kind::Answered ? 0 : 1;
    }
    return lost;
}

} // namespace

// Guards against requests that are lost one after the other on connections that went silent together.
TEST_CASE("one request at most is lost on kept connections that went silent")
{
    Target target;
    soak::FaultProxy proxy(target.address());
    HttpClient client(MaxAnswerBytes);
    REQUIRE(callAtOnce(client, proxy.address()) == Connections);
    REQUIRE(target.connections() == Connections);
    proxy.silenceOpen(GENERATE(soak::SilentWays::Both, soak::SilentWays::ToTarget, soak::SilentWays::FromTarget));
    CHECK(countLost(client, proxy.address(), 2 * Connections) == 1);
}

// Guards against a silence that nobody learns of because the hedged attempt was answered first.
TEST_CASE("a cancelled request that had no answer shows the silence as well")
{
    Target target;
    soak::FaultProxy proxy(target.address());
    HttpClient client(MaxAnswerBytes);
    REQUIRE(callAtOnce(client, proxy.address()) == Connections);
    proxy.silenceOpen(soak::SilentWays::Both);
    const HttpCallId id = client.start(callTo(proxy.address()), [](const HttpResult &) {});
    std::this_thread::sleep_for(600ms);
    client.cancel(id);
    CHECK(countLost(client, proxy.address(), Connections) == 0);
}

// Guards against a request that starts in the same turn of the client's thread as the cancellation, and before it.
TEST_CASE("a request that starts along with the cancellation is not lost")
{
    Target target;
    Target other;
    soak::FaultProxy proxy(target.address());
    HttpClient client(MaxAnswerBytes);
    REQUIRE(callAtOnce(client, proxy.address()) == Connections);
    proxy.silenceOpen(soak::SilentWays::Both);
    const HttpCallId id = client.start(callTo(proxy.address()), [](const HttpResult &) {});
    std::this_thread::sleep_for(600ms);
    std::promise<HttpResult> promise;
    client.start(callTo(other.address()), [&](const HttpResult &) {
        client.start(shortCallTo(proxy.address()), [&](HttpResult result) { promise.set_value(std::move(result)); });
        client.cancel(id);
    });
    CHECK(promise.get_future().get().kind == HttpResult::Kind::Answered);
    CHECK(client.silences() == 1);
}

// Guards against new connections without an end to a target that is only slow now and then.
TEST_CASE("an answer on a connection that is older than the silent one ends the doubt")
{
    Target target;
    HttpClient client(MaxAnswerBytes);
    REQUIRE(countLost(client, target.address(), 1) == 0);
    REQUIRE(callAtOnce(client, target.address()) == Connections);
    REQUIRE(target.connections() == Connections);
    target.setDelay(650ms);
    std::promise<HttpResult> other;
    client.start(callTo(target.address()), [&](HttpResult it) { other.set_value(std::move(it)); });
    // The library takes the oldest connection that is free, so this call has a newer one.
    const HttpCallId slow = client.start(callTo(target.address()), [](const HttpResult &) {});
    std::this_thread::sleep_for(550ms);
    client.cancel(slow);
    CHECK(other.get_future().get().kind == HttpResult::Kind::Answered);
    CHECK(client.silences() == 1);
    target.setDelay(1ms);
    CHECK(countLost(client, target.address(), Connections) == 0);
    CHECK(target.connections() == Connections);
}

// Guards against a doubt that ends while a connection from before it is still kept, and against one without an end.
TEST_CASE("connections made after a silence are kept again, those from before are not used")
{
    Target target;
    soak::FaultProxy proxy(target.address());
    HttpClient client(MaxAnswerBytes);
    REQUIRE(callAtOnce(client, proxy.address()) == Connections);
    proxy.silenceOpen(soak::SilentWays::Both);
    CHECK(countLost(client, proxy.address(), 1) == 1);
    const auto end = std::chrono::steady_clock::now() + 3500ms;
    while (std::chrono::steady_clock::now() < end) {
        CHECK(countLost(client, proxy.address(), 1) == 0);
        std::this_thread::sleep_for(250ms);
    }
    const int before = target.connections();
    CHECK(countLost(client, proxy.address(), Connections) == 0);
    CHECK(target.connections() == before);
}

// Guards against a request that is lost on a connection which was opened in advance and went silent with the others.
TEST_CASE("a spare connection from before a silence is not used")
{
    Target target;
    soak::FaultProxy proxy(target.address());
    HttpClient client(MaxAnswerBytes);
    // Calls from before the first use of keepConnected() don't count as use, so a spare connection is opened as well.
    REQUIRE(callAtOnce(client, proxy.address()) == Connections);
    client.keepConnected({proxy.address()});
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (client.spareConnections().opened < 1 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    REQUIRE(client.spareConnections().opened == 1);
    proxy.silenceOpen(soak::SilentWays::Both);
    CHECK(countLost(client, proxy.address(), 2 * Connections) == 1);
    CHECK(client.spareConnections().used == 0);
}
