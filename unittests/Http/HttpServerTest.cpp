//===- HttpServerTest.cpp - What callers may send, and what they get ------===//
#include "pepperlug/Http.h"
#include "RawSocket.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <sstream>

using namespace pepperlug;

namespace
{

const Answer Failure{502, {}, "given up"};

/// A server that echoes, with the paths /hold (answered later), /size (of the body), /204, /304 and /cookies.
class EchoServer
{
public:
    explicit EchoServer(HttpLimits limits = {}, unsigned threads = 2)
        : server({"127.0.0.1", 0}, threads, limits, clock,
                 [this](const HttpExchangePtr &exchange) { onRequest(exchange); })
    {
    }

    void onRequest(const HttpExchangePtr &exchange)
    {
        const HttpRequest &request = exchange->request();
        {
            const std::lock_guard lock(mutex);
            paths.push_back(request.path());
        }
        if (request.path() == "/cut") {
            exchange->begin({200, {}, {}}, 100);
            exchange->more("only this");
            exchange->abort(Failure);
        } else if (request.path() == "/hold") {
            const std::lock_guard lock(mutex);
            held.push_back(exchange);
            exchange->onDeparture([this] {
                const std::lock_guard inner(mutex);
                ++departed;
                changed.notify_all();
            });
            changed.notify_all();
        } else if (request.path() == "/204" || request.path() == "/304") {
            exchange->respond({static_cast<unsigned>(std::stoul(request.path().substr(1))), {{"X-Mark", "m"}}, ""});
        } else if (request.path() == "/cookies") {
            exchange->respond({200, {{"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}}, "ok"});
        } else if (request.path() == "/size") {
            exchange->respond({200, {}, "[" + std::to_string(request.body.size()) + " bytes]"});
        } else if (request.path() == "/length" && request.method == "HEAD") {
            exchange->respond({200, {{"Content-Length", "1234"}}, ""});
        } else {
            exchange->respond({200, {}, request.method + " " + request.resource + " [" + request.body + "]"});
        }
    }

    std::vector<HttpExchangePtr> takeHeld(std::size_t count)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return held.size() >= count; });
        return std::exchange(held, {});
    }

    void waitDeparted(int count)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return departed >= count; });
    }

    /// Paths of the requests that were handed on, without those of settle().
    std::vector<std::string> seen()
    {
        const std::lock_guard lock(mutex);
        std::vector<std::string> found = paths;
        std::erase(found, "/settle");
        return found;
    }

    bool hasSeen(const std::string &path)
    {
        const std::vector<std::string> all = seen();
        return std::find(all.begin(), all.end(), path) != all.end();
    }

    /// Returns once the worker has read what was sent before; only for servers with one thread. With more, a connection
    /// goes to the worker that the number of its socket names, so an answer tells nothing of other workers.
    void settle(bool isAnswered = true)
    {
        RawSocket other(server.address());
        other.send("GET /settle HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string answer = other.readUntil("\r\n\r\n");
        CHECK(answer.starts_with(isAnswered ? "HTTP/1.1 200" : "HTTP/1.1 503"));
    }

    ManualClock clock;
    std::vector<std::string> paths;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<HttpExchangePtr> held;
    int departed = 0;
    HttpServer server;
};

std::string get(const std::string &path, const std::string &more = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++n;
    }
    return n;
}

/// Whether a condition comes to hold within a few seconds.
bool eventually(const std::function<bool()> &holds)
{
    for (int n = 0; n < 500 && !holds(); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return holds();
}

std::string answerTo(EchoServer &echo, const std::string &bytes)
{
    RawSocket socket(echo.server.address());
    socket.send(bytes);
    return socket.readToEnd();
}

} // namespace

TEST_CASE("connections are kept unless the caller says otherwise")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send(get("/one"));
    CHECK(has(socket.readUntil("[]"), "Connection: keep-alive"));
    socket.send(get("/two", "Connection: close\r\n"));
    const std::string all = socket.readToEnd();
    CHECK(has(all, "GET /two []"));
    CHECK(has(all, "Connection: close"));
    CHECK(has(answerTo(echo, "GET /old HTTP/1.0\r\n\r\n"), "Connection: close"));
}

TEST_CASE("pipelined requests are all answered, in order")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + get("/second") + "POST /third HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
                + get("/fourth"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->respond({200, {}, "first []"});
    const std::string all = socket.readUntil("]", 4);
    const std::size_t first = all.find("first []");
    const std::size_t second = all.find("GET /second []");
    const std::size_t third = all.find("POST /third [body]");
    const std::size_t fourth = all.find("GET /fourth []");
    REQUIRE(fourth != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third < fourth);
}

TEST_CASE("bodies come whole, by length, in chunks and in small pieces")
{
    EchoServer echo;
    CHECK(has(answerTo(echo, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"),
              "[hello]"));
    CHECK(has(answerTo(echo,
                       "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
              "[abcde]"));
    RawSocket socket(echo.server.address());
    for (const char c : std::string("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz")) {
        socket.send(std::string(1, c));
    }
    CHECK(has(socket.readUntil("]"), "POST /p [xyz]"));
    const std::string large(900 * 1024, 'q');
    const std::string answer = answerTo(echo,
                                        "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                                            + std::to_string(large.size()) + "\r\n\r\n" + large);
    CHECK(has(answer, "[" + large + "]"));
}

TEST_CASE("Expect: 100-continue is met, any other expectation is refused")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(has(socket.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue"));
    socket.send("ok");
    CHECK(has(socket.readUntil("]"), "[ok]"));
    CHECK(has(answerTo(echo, get("/x", "Expect: tea\r\n")), "HTTP/1.1 417"));
}

TEST_CASE("HEAD, 204 and 304 have no body; HEAD keeps the length")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send("HEAD /length HTTP/1.1\r\nHost: h\r\n\r\n" + get("/204") + get("/304")
                + get("/end", "Connection: close\r\n"));
    const std::string all = socket.readToEnd();
    CHECK(has(all, "Content-Length: 1234\r\nConnection: keep-alive\r\n\r\nHTTP/1.1 204"));
    CHECK(has(all, "X-Mark: m\r\nConnection: keep-alive\r\n\r\nHTTP/1.1 304"));
    CHECK(has(all, "X-Mark: m\r\nConnection: keep-alive\r\n\r\nHTTP/1.1 200"));
}

TEST_CASE("headers that come twice are sent twice")
{
    EchoServer echo;
    const std::string all = answerTo(echo, get("/cookies", "Connection: close\r\n"));
    CHECK(has(all, "Set-Cookie: a=1\r\nSet-Cookie: b=2"));
}

TEST_CASE("bad requests get a clear answer and the connection is closed")
{
    EchoServer echo;
    const std::vector<std::pair<std::string, std::string>> cases{
        {"garbage\r\n\r\n", "400"},
        {"GET /a b c HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        {"GET / HTTP/2.0\r\nHost: h\r\n\r\n", "505"},
        {"BREW / HTTP/1.1\r\nHost: h\r\n\r\n", "501"},
        {"GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        {"GET /caf\xc3\xa9 HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        {"GET /a?b=\xff HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        {"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: h\r\nBad name: x\r\n\r\n", "400"},
        {std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a\x01") + "b\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1e3\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", "501"},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", "413"},
        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'a') + "\r\n\r\n", "431"},
        {"GET /" + std::string(20000, 'a'), "431"},
    };
    for (const auto &[bytes, status] : cases) {
        INFO(bytes.substr(0, 80));
        const std::string answer = answerTo(echo, bytes);
        CHECK(answer.starts_with("HTTP/1.1 " + status + " "));
        CHECK(has(answer, "Pepperlug-Outcome: not-run"));
    }
    CHECK(has(answerTo(echo, get("/well", "Connection: close\r\nCookie: no-equals\r\n")), "GET /well []"));
}

// Guards against a body in chunks that ends the service of its server, wherever the network splits it.
TEST_CASE("a body in chunks that is split anywhere is answered, and so is everybody else")
{
    EchoServer echo({}, 1);
    const std::string body = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    for (std::size_t at = 1; at < body.size(); ++at) {
        INFO("split at " << at);
        RawSocket socket(echo.server.address());
        socket.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body.substr(0, at));
        echo.settle(); // the first piece has been read before the second one comes
        socket.send(body.substr(at));
        REQUIRE(has(socket.readUntil("]"), "[hello world]"));
        echo.settle();
    }
}

// Guards against bodies longer than what is read at once, which a sound caller sends without any pause.
TEST_CASE("long bodies in chunks, one after the other on a connection, are all answered")
{
    constexpr int Requests = 600;
    constexpr std::size_t BodyBytes = 20'000;
    EchoServer echo({}, 1);
    std::mt19937 random(75); // NOLINT: the same sizes each time
    std::uniform_int_distribution<std::size_t> sizes(200, 1200);
    RawSocket socket(echo.server.address());
    for (int n = 1; n <= Requests; ++n) {
        std::ostringstream request;
        request << "POST /size HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" << std::hex;
        for (std::size_t left = BodyBytes; left > 0;) {
            const std::size_t size = std::min(left, sizes(random));
            request << size << "\r\n" << std::string(size, 'a') << "\r\n";
            left -= size;
        }
        socket.send(request.str() + "0\r\n\r\n");
        INFO("request " << n);
        REQUIRE(occurrences(socket.readUntil("bytes]", n), "[20000 bytes]") == static_cast<std::size_t>(n));
    }
    echo.settle();
}

TEST_CASE("a connection goes on behind a body in chunks, whose extensions and trailers are dropped")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "6;a=b\r\nhello \r\n5\r\nworld\r\n0;c\r\nX-Trailer: 1\r\n\r\n"
                + get("/next", "Connection: close\r\n"));
    const std::string all = socket.readToEnd();
    CHECK(has(all, "POST /x [hello world]"));
    CHECK(has(all, "GET /next []"));
}

TEST_CASE("a chunked body past the limit is refused")
{
    HttpLimits limits;
    limits.bodyBytes = 100;
    EchoServer echo(limits);
    const std::string chunk = "40\r\n" + std::string(64, 'a') + "\r\n";
    CHECK(has(answerTo(echo,
                       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk
                           + chunk + "0\r\n\r\n"),
              "HTTP/1.1 413"));
}

TEST_CASE("a slow sender is told and closed, and costs others nothing")
{
    EchoServer echo;
    RawSocket slow(echo.server.address());
    slow.send("GET /slow HTT");
    RawSocket other(echo.server.address());
    other.send(get("/other"));
    CHECK(has(other.readUntil("[]"), "GET /other []"));
    // When the server reads the part of the slow one is not known here, and its time counts from then: another worker
    // may have answered the other one first. So time goes on until it is told, well below the time that ends an idle
    // connection.
    std::jthread sweeps([&echo](const std::stop_token &stop) {
        constexpr int MostSweeps = 20;
        for (int n = 0; n < MostSweeps && !stop.stop_requested(); ++n) {
            echo.clock.advance(std::chrono::seconds(11));
            echo.server.sweep();
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    });
    CHECK(has(slow.readToEnd(), "HTTP/1.1 408"));
    sweeps.request_stop();
    sweeps.join();
    other.send(get("/again"));
    CHECK(has(other.readUntil("[]", 2), "GET /again []"));
}

TEST_CASE("an idle connection is closed, one that waits for its answer is not")
{
    EchoServer echo;
    RawSocket idle(echo.server.address());
    idle.send(get("/one"));
    idle.readUntil("[]");
    RawSocket waiting(echo.server.address());
    waiting.send(get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    echo.clock.advance(std::chrono::seconds(1000));
    echo.server.sweep();
    idle.readToEnd();
    held[0]->respond({200, {}, "late []"});
    CHECK(has(waiting.readUntil("[]"), "late []"));
}

TEST_CASE("an answer that comes after its caller has left reaches nobody else")
{
    EchoServer echo;
    for (int round = 0; round < 50; ++round) {
        RawSocket leaver(echo.server.address());
        leaver.send(get("/hold"));
        const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
        leaver.close();
        // New connections come while the late answer is on its way; the kernel likes to reuse the closed one's number.
        std::thread answerer([&] { held[0]->respond({200, {}, "secret"}); });
        RawSocket stranger(echo.server.address());
        stranger.send(get("/mine", "Connection: close\r\n"));
        const std::string all = stranger.readToEnd();
        answerer.join();
        CHECK(has(all, "GET /mine []"));
        CHECK_FALSE(has(all, "secret"));
    }
}

TEST_CASE("a caller that leaves is noticed, and an answer after that goes nowhere")
{
    EchoServer echo;
    RawSocket leaver(echo.server.address());
    leaver.send(get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    leaver.close();
    echo.waitDeparted(1);
    held[0]->respond({200, {}, "late"});
    RawSocket next(echo.server.address());
    next.send(get("/next"));
    CHECK(has(next.readUntil("[]"), "GET /next []"));
}

TEST_CASE("the second answer to a request is dropped")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send(get("/hold", "Connection: close\r\n"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->respond({200, {}, "first"});
    held[0]->respond({200, {}, "second"});
    const std::string all = socket.readToEnd();
    CHECK(has(all, "first"));
    CHECK_FALSE(has(all, "second"));
}

TEST_CASE("an answer that is passed on in parts reaches its caller before it is whole, and in its turn")
{
    EchoServer echo({}, 1);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold"));
    const std::vector<HttpExchangePtr> first = echo.takeHeld(1);
    first[0]->begin({200, {{"X-Mark", "first"}}, {}}, 6);
    first[0]->more("abc");
    CHECK_FALSE(has(socket.readUntil("abc"), "second"));
    socket.send(get("/hold") + get("/after", "Connection: close\r\n"));
    echo.settle();
    CHECK(echo.seen().size() == 1); // nothing is handed on behind an answer that may still break off
    first[0]->more("def and more than was promised");
    const std::vector<HttpExchangePtr> second = echo.takeHeld(1);
    second[0]->begin({200, {{"X-Mark", "second"}}, {}}, 4);
    second[0]->more("wxyz");
    const std::string all = socket.readToEnd();
    CHECK(has(all, "Content-Length: 6"));
    CHECK(has(all, "abcdefHTTP/1.1 200"));
    CHECK(has(all, "wxyzHTTP/1.1 200"));
    CHECK(has(all, "GET /after"));
}

// Guards against requests that have run and get no answer, since one ahead of theirs breaks off.
TEST_CASE("an answer in parts is held until it is whole while requests behind it are in progress")
{
    EchoServer echo({}, 1);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + get("/hold") + get("/after", "Connection: close\r\n"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(2);
    echo.settle();
    held[1]->begin({200, {{"X-Mark", "second"}}, {}}, 4);
    held[1]->more("wxyz");
    const std::uint64_t before = echo.server.stats().heldBytes;
    held[0]->begin({200, {{"X-Mark", "first"}}, {}}, 6);
    held[0]->more("abc");
    CHECK(echo.server.stats().heldBytes > before);
    held[0]->more("def and more than was promised");
    CHECK(echo.server.stats().heldBytes == 0);
    const std::string all = socket.readToEnd();
    CHECK(has(all, "Content-Length: 6"));
    CHECK(has(all, "abcdefHTTP/1.1 200"));
    CHECK(has(all, "wxyzHTTP/1.1 200"));
    CHECK(has(all, "GET /after"));
}

TEST_CASE("an answer that is given up midway ends its connection")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send(get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->begin({200, {}, {}}, 100);
    held[0]->more("only this");
    socket.readUntil("only this");
    held[0]->abort(Failure);
    held[0]->more(std::string(91, 'x'));
    const std::string all = socket.readToEnd();
    CHECK(has(all, "only this"));
    CHECK_FALSE(has(all, "x"));
}

TEST_CASE("a caller that leaves in the middle of an answer is noticed")
{
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send(get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->begin({200, {}, {}}, 100);
    socket.readUntil("\r\n\r\n");
    socket.close();
    echo.waitDeparted(1);
    held[0]->more(std::string(100, 'x'));
}

TEST_CASE("what a socket does not take at once is written later, in order, while others come and go")
{
    EchoServer echo;
    constexpr std::size_t Large = 8UL << 20;
    constexpr int Parts = 16;
    RawSocket slow(echo.server.address());
    slow.send(get("/hold", "Connection: close\r\n"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->begin({200, {}, {}}, Large);
    for (int n = 0; n < Parts; ++n) {
        held[0]->more(std::string(Large / Parts, static_cast<char>('a' + n)));
        RawSocket other(echo.server.address());
        other.send(get("/other", "Connection: close\r\n"));
        CHECK(has(other.readToEnd(), "/other"));
    }
    const std::string all = slow.readToEnd();
    const std::string body = all.substr(all.find("\r\n\r\n") + 4);
    CHECK(body.size() == Large);
    CHECK(std::is_sorted(body.begin(), body.end()));
}

TEST_CASE("more requests in progress on one connection than allowed are refused")
{
    HttpLimits limits;
    limits.pipelined = 2;
    EchoServer echo(limits);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + get("/hold") + get("/hold"));
    const auto held = echo.takeHeld(2);
    // The third one must have been read before room is made. Connections go to the workers in turn, and a worker that
    // answers another one has finished with this one's bytes.
    for (int n = 0; n < 4; ++n) {
        RawSocket other(echo.server.address());
        other.send(get("/other"));
        other.readUntil("/other");
    }
    for (const HttpExchangePtr &exchange : held) {
        exchange->respond({200, {}, "held"});
    }
    const std::string all = socket.readToEnd();
    CHECK(has(all, "HTTP/1.1 503"));
}

// Guards against requests that reach a target although their caller was told that they were not read.
TEST_CASE("requests behind an answer that closes the connection are not handed on, and those before it are answered")
{
    EchoServer echo({}, 1);
    SECTION("the caller asked to close")
    {
        RawSocket socket(echo.server.address());
        socket.send(get("/one", "Connection: close\r\n") + get("/behind"));
        CHECK(occurrences(socket.readToEnd(), "HTTP/1.1 ") == 1);
        CHECK(echo.seen() == std::vector<std::string>{"/one"});
    }
    SECTION("the server is closing, with requests in the same packet")
    {
        echo.server.closeAfterAnswers();
        RawSocket socket(echo.server.address());
        socket.send(get("/one") + get("/behind") + get("/last"));
        const std::string all = socket.readToEnd();
        CHECK(occurrences(all, "HTTP/1.1 ") == 1);
        CHECK(has(all, "Connection: close"));
        CHECK(echo.seen() == std::vector<std::string>{"/one"});
    }
    SECTION("the server is closing, with a request that comes before an earlier one's answer is sent")
    {
        RawSocket socket(echo.server.address());
        socket.send(get("/hold") + get("/hold"));
        const std::vector<HttpExchangePtr> held = echo.takeHeld(2);
        echo.server.closeAfterAnswers();
        held[1]->respond({200, {}, "second"});
        socket.send(get("/behind"));
        echo.settle();
        held[0]->respond({200, {}, "first"});
        const std::string all = socket.readToEnd();
        CHECK(all.find("first") < all.find("second"));
        CHECK(occurrences(all, "HTTP/1.1 ") == 2);
        CHECK(occurrences(all, "Connection: close") == 1);
        CHECK_FALSE(echo.hasSeen("/behind"));
    }
    SECTION("the server is closing, with requests that wait for earlier ones")
    {
        HttpLimits limits;
        limits.passedOn = 1;
        EchoServer serial(limits, 1);
        RawSocket socket(serial.server.address());
        socket.send(get("/hold") + get("/second") + get("/last"));
        const std::vector<HttpExchangePtr> held = serial.takeHeld(1);
        serial.settle();
        serial.server.closeAfterAnswers();
        held[0]->respond({200, {}, "first"});
        const std::string all = socket.readToEnd();
        CHECK(has(all, "GET /second []"));
        CHECK(has(all, "GET /last []"));
        CHECK(occurrences(all, "Connection: close") == 1);
    }
    SECTION("a request is refused")
    {
        RawSocket socket(echo.server.address());
        socket.send(get("/one") + "BREW / HTTP/1.1\r\nHost: h\r\n\r\n" + get("/behind"));
        const std::string all = socket.readToEnd();
        CHECK(has(all, "GET /one []"));
        CHECK(has(all, "HTTP/1.1 501"));
        CHECK(echo.seen() == std::vector<std::string>{"/one"});
    }
    SECTION("an answer is given up")
    {
        RawSocket socket(echo.server.address());
        socket.send(get("/cut") + get("/behind"));
        CHECK(has(socket.readToEnd(), "only this"));
        CHECK(echo.seen() == std::vector<std::string>{"/cut"});
    }
}

// Guards against a request that is handed on after the refusal of an earlier one, once there is room again.
TEST_CASE("nothing behind a request too many is handed on")
{
    HttpLimits limits;
    limits.pipelined = 1;
    EchoServer echo(limits, 1);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + get("/many"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    echo.settle();
    held[0]->respond({200, {}, "held"});
    socket.send(get("/behind"));
    const std::string all = socket.readToEnd();
    CHECK(all.find("held") < all.find("HTTP/1.1 503"));
    CHECK(has(all, "Pepperlug-Outcome: not-run"));
    CHECK(echo.seen() == std::vector<std::string>{"/hold"});
}

// Guards against a refusal that overtakes the answers of earlier requests, and closes the connection before them.
TEST_CASE("a request that does not arrive in time is refused after the answers before it")
{
    EchoServer echo({}, 1);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + "GET /part HTT");
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    echo.settle();
    held[0]->begin({200, {}, {}}, 6);
    held[0]->more("abc");
    echo.clock.advance(std::chrono::seconds(11));
    echo.server.sweep();
    held[0]->more("def");
    const std::string all = socket.readToEnd();
    CHECK(has(all, "abcdefHTTP/1.1 408"));
}

// Guards against the loss of ready answers, and against answers after one that was cut.
TEST_CASE("one that is given up takes no answer along unless it is too long to be held")
{
    const bool isTooLong = GENERATE(false, true);
    HttpLimits limits;
    limits.orderedBytes = isTooLong ? 10 : limits.orderedBytes;
    EchoServer echo(limits, 1);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + get("/hold") + get("/hold", "Connection: close\r\n"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(3);
    std::vector<AnswerEnd> ends(3);
    for (std::size_t n = 0; n < held.size(); ++n) {
        held[n]->onEnd([&ends, n](const AnswerEnd &it) { ends[n] = it; });
    }
    if (!isTooLong) {
        held[2]->respond({200, {}, "third"});
    }
    held[1]->begin({200, {}, {}}, 100);
    held[1]->more("part");
    if (isTooLong) {
        held[0]->respond({200, {}, "first"});
        socket.readUntil("part");
        held[1]->abort(Failure);
        held[2]->respond({200, {}, "third"});
    } else {
        held[1]->abort(Failure);
        held[0]->respond({200, {}, "first"});
    }
    const std::string all = socket.readToEnd();
    CHECK(has(all, "first"));
    CHECK(has(all, "part") == isTooLong);
    CHECK(has(all, "third") != isTooLong);
    CHECK(has(all, "HTTP/1.1 502") != isTooLong);
    CHECK(ends[0].cut == std::nullopt);
    CHECK(ends[0].sentBytes > 0);
    CHECK(ends[1].isReplaced != isTooLong);
    CHECK(ends[1].cut == (isTooLong ? std::optional(AnswerCut::BrokeOff) : std::nullopt));
    CHECK(ends[2].cut == (isTooLong ? std::optional(AnswerCut::Behind) : std::nullopt));
}

// Guards against a deadline that starts anew once a request is handed on.
TEST_CASE("a request that waits behind an answer in parts is handed on with the time that it waited")
{
    HttpLimits limits;
    limits.passedOn = 1;
    EchoServer echo(limits, 1);
    RawSocket socket(echo.server.address());
    socket.send(get("/hold") + get("/hold", "Connection: close\r\n"));
    const std::vector<HttpExchangePtr> first = echo.takeHeld(1);
    CHECK(first[0]->request().waited == Duration(0));
    echo.settle();
    echo.clock.advance(std::chrono::milliseconds(1500));
    first[0]->respond({200, {}, "first"});
    const std::vector<HttpExchangePtr> second = echo.takeHeld(1);
    CHECK(second[0]->request().waited == std::chrono::milliseconds(1500));
    CHECK(second[0]->request().connection == first[0]->request().connection);
    CHECK(second[0]->request().place == 2);
    second[0]->respond({200, {}, "second"});
    CHECK(has(socket.readToEnd(), "second"));
}

// Guards against a reset that destroys the last answer because requests behind it were not read.
TEST_CASE("a caller that keeps sending gets the last answer whole")
{
    constexpr std::size_t Large = 4UL << 20;
    EchoServer echo;
    RawSocket socket(echo.server.address());
    socket.send(get("/hold", "Connection: close\r\n"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->respond({200, {}, std::string(Large, 'x')});
    for (std::size_t n = 1; n <= 1000; ++n) {
        socket.send(get("/behind"));
        socket.readAtLeast(Large / 1000 * n);
    }
    const std::string all = socket.readToEnd();
    CHECK(all.size() - all.find("\r\n\r\n") - 4 == Large);
    CHECK_FALSE(echo.hasSeen("/behind"));
    // A caller that does not close is closed.
    socket.send(get("/behind"));
    // Until the server's system knows that the answer has arrived, a sweep leaves the connection open.
    REQUIRE(eventually([&] { return socket.isDelivered(); }));
    echo.clock.advance(std::chrono::seconds(3));
    echo.server.sweep();
    CHECK(eventually([&] { return socket.isReset(); }));
}

// Guards against memory that grows with each request of a caller that never reads.
TEST_CASE("a caller that reads no answers gets no further requests run")
{
    HttpLimits limits;
    limits.heldBytes = 100'000;
    EchoServer echo(limits);
    constexpr std::size_t Body = 1UL << 20;
    RawSocket socket(echo.server.address());
    std::size_t answered = 0;
    for (int n = 0; n < 50 && echo.server.stats().heldBytes <= limits.heldBytes; ++n) {
        socket.send(get("/hold"));
        echo.takeHeld(1)[0]->respond({200, {}, std::string(Body, 'x')});
        ++answered;
    }
    REQUIRE(echo.server.stats().heldBytes > limits.heldBytes);
    CHECK(echo.server.stats().heldBytes <= limits.heldBytes + Body + 1000);
    const std::size_t seen = echo.seen().size();
    for (int n = 0; n < 20; ++n) {
        socket.send(get("/behind"));
    }
    // Otherwise the caller may have read enough for them before they arrive.
    REQUIRE(eventually([&] { return echo.server.stats().refusedUnread > 0; }));
    // The caller reads after all: what is ready is delivered, and the refusal is true.
    const std::string all = socket.readToEnd();
    CHECK(occurrences(all, "HTTP/1.1 200") == answered);
    CHECK(occurrences(all, "HTTP/1.1 503") == 1);
    CHECK(has(all, "Pepperlug-Outcome: not-run"));
    CHECK(echo.seen().size() == seen);
    CHECK(echo.server.stats().refusedUnread == 1);
    CHECK(echo.server.stats().heldBytes == 0);
}

// Guards against many callers that each hold less than a connection may, but together exhaust the host's memory.
TEST_CASE("what is held for all callers is bounded, at first for those that do not read")
{
    HttpLimits limits;
    constexpr std::size_t Body = 12UL << 20; // more than the buffers of a connection take
    limits.heldBytes = 4 * Body;
    limits.heldBytesInAll = Body / 4;
    EchoServer echo(limits, 1);
    RawSocket socket(echo.server.address());
    RawSocket other(echo.server.address());
    socket.send(get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(1);
    held[0]->begin({200, {}, {}}, Body);
    std::size_t sent = 0;
    while (echo.server.stats().heldBytes <= limits.heldBytesInAll) {
        constexpr std::size_t Part = 64UL << 10;
        held[0]->more(std::string(Part, 'x'));
        sent += Part;
    }
    other.send(get("/other"));
    CHECK(has(other.readUntil("[]"), "GET /other []"));
    held[0]->more(std::string(limits.heldBytesInAll, 'x'));
    sent += limits.heldBytesInAll;
    other.send(get("/refused"));
    CHECK(has(other.readToEnd(), "HTTP/1.1 503"));
    socket.send(get("/refused"));
    echo.settle(false);
    held[0]->more(std::string(Body - sent, 'x'));
    CHECK(has(socket.readToEnd(), "xHTTP/1.1 503"));
    CHECK_FALSE(echo.hasSeen("/refused"));
}

// Guards against answers that are read from targets, and kept, for callers who read nothing.
TEST_CASE("there is room for more of an answer unless memory is short and its caller has unread bytes")
{
    HttpLimits limits;
    constexpr std::size_t Body = 12UL << 20; // more than the buffers of a connection take
    limits.heldBytesInAll = Body / 4;
    EchoServer echo(limits, 1);
    RawSocket silent(echo.server.address());
    RawSocket reading(echo.server.address());
    silent.send(get("/hold"));
    reading.send(get("/hold"));
    std::vector<HttpExchangePtr> held = echo.takeHeld(2);
    if (held[0]->request().connection > held[1]->request().connection) {
        std::swap(held[0], held[1]);
    }
    held[0]->begin({200, {}, {}}, Body);
    CHECK(held[0]->hasRoomForMore());
    held[0]->more(std::string(Body, 'x'));
    CHECK_FALSE(held[0]->hasRoomForMore());
    held[1]->begin({200, {}, {}}, 2);
    CHECK(held[1]->hasRoomForMore());
    held[1]->more("ok");
    CHECK(has(reading.readUntil("ok"), "\r\n\r\nok"));
    silent.readAtLeast(Body);
    CHECK(eventually([&] { return held[0]->hasRoomForMore(); }));
}

// Guards against two answers of a caller who reads that wait for each other while memory is short.
TEST_CASE("an answer does not wait for what is held of answers behind it")
{
    HttpLimits limits;
    constexpr std::size_t Body = 12UL << 20; // more than the buffers of a connection take
    limits.heldBytesInAll = Body / 4;
    EchoServer echo(limits, 1);
    RawSocket silent(echo.server.address());
    silent.send(get("/hold"));
    const std::vector<HttpExchangePtr> unread = echo.takeHeld(1);
    RawSocket reading(echo.server.address());
    reading.send(get("/hold") + get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(2);
    held[1]->begin({200, {}, {}}, 4);
    held[1]->more("be");
    unread[0]->begin({200, {}, {}}, Body);
    unread[0]->more(std::string(Body, 'x'));
    CHECK_FALSE(unread[0]->hasRoomForMore());
    CHECK_FALSE(held[1]->hasRoomForMore());
    held[0]->begin({200, {}, {}}, 4);
    CHECK(held[0]->hasRoomForMore());
    held[0]->more("ahea");
    CHECK(has(reading.readUntil("ahea"), "\r\n\r\nahea"));
    CHECK(eventually([&] { return held[1]->hasRoomForMore(); }));
}

// Guards against answers that stay in memory for as long as a caller keeps its connection without reading.
TEST_CASE("a connection that holds data is cut off when nothing of it is read, and its requests are told")
{
    EchoServer echo({}, 1);
    constexpr std::size_t Large = 16UL << 20;
    RawSocket silent(echo.server.address());
    silent.send(get("/hold") + get("/hold"));
    const std::vector<HttpExchangePtr> held = echo.takeHeld(2);
    held[0]->respond({200, {}, std::string(Large, 'x')});
    held[1]->begin({200, {}, {}}, Large);
    held[1]->more(std::string(Large / 2, 'y'));
    // Nothing is held for this one: its answer is in the buffers of the sockets.
    RawSocket other(echo.server.address());
    other.send(get("/other"));
    echo.settle();
    CHECK(echo.server.stats().heldBytes > Large);
    echo.server.sweep();
    echo.clock.advance(std::chrono::seconds(29));
    echo.server.sweep();
    CHECK(echo.server.stats().slowReadersCutOff == 0);
    echo.clock.advance(std::chrono::seconds(2));
    echo.server.sweep();
    CHECK(echo.server.stats().slowReadersCutOff == 1);
    CHECK(echo.server.stats().heldBytes == 0);
    echo.waitDeparted(1);
    held[1]->more(std::string(Large / 2, 'y'));
    CHECK(echo.server.stats().heldBytes == 0);
    other.send(get("/again"));
    CHECK(has(other.readUntil("[]", 2), "GET /again []"));
}

// Guards against cutting off callers that read slowly but steadily: between two readings the socket need not have
// become writable.
TEST_CASE("a caller that reads slowly but steadily gets its whole answer, however long it takes")
{
    EchoServer echo;
    constexpr std::size_t Large = 12UL << 20;
    constexpr std::size_t Step = 256UL << 10;
    RawSocket slow(echo.server.address());
    slow.send(get("/hold", "Connection: close\r\n"));
    echo.takeHeld(1)[0]->respond({200, {}, std::string(Large, 'x')});
    echo.server.sweep();
    // Reading is announced in steps of up to 384 KB (see HttpLimits::stallTimeout): after two rounds at the latest. All
    // rounds together take longer than the time for idle connections.
    std::size_t read = 0;
    for (std::size_t n = 1; read < Large; ++n) {
        read = slow.readAtLeast(Step * n);
        REQUIRE(read >= Step * n);
        echo.clock.advance(std::chrono::seconds(9));
        // The kernel's acknowledgement follows the reading by a moment.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        if (read < Large) {
            echo.server.sweep();
        }
    }
    const std::string all = slow.readToEnd();
    CHECK(all.size() - all.find("\r\n\r\n") - 4 == Large);
    CHECK(echo.server.stats().slowReadersCutOff == 0);
    CHECK(echo.server.stats().heldBytes == 0);
}

TEST_CASE("queries and headers are read as RFC 9110 says")
{
    HttpRequest request;
    request.resource = "/v1/lookup?service=a%20b&client=10.0.0.1&flag";
    request.headers = {{"X-Thing", "1"}};
    CHECK(request.path() == "/v1/lookup");
    CHECK(request.query("service") == "a b");
    CHECK(request.query("client") == "10.0.0.1");
    CHECK(request.query("flag") == "");
    CHECK(request.query("none") == std::nullopt);
    CHECK(request.header("x-thing") == "1");
    const std::vector<HeaderField> kept =
        endToEndHeaders({{"Connection", "X-Hop, close"}, {"X-Hop", "1"}, {"TE", "x"}, {"X-End", "2"}});
    CHECK(kept == std::vector<HeaderField>{{"X-End", "2"}});
}
