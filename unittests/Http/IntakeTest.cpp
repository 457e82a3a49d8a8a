//===- IntakeTest.cpp - What callers may hold all together ----------------===//
#include "pepperlug/Http.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace pepperlug;

namespace
{

constexpr std::size_t Body = 300000;
/// Room for four such bodies that are on their way.
constexpr std::uint64_t Room = 1500000;
constexpr std::size_t ManyConnections = 1000;

/// A server that answers the length of a body, and holds requests to /hold.
class SmallServer
{
public:
    explicit SmallServer(const IntakeLimits &limits)
        : intake(std::make_shared<Intake>(limits))
        , server(
              {"127.0.0.1", 0}, 1, {}, clock, [this](const HttpExchangePtr &exchange) { onRequest(exchange); }, intake)
    {
    }

    /// Waits until that many bytes are held at least; what is counted is rounded up.
    void waitHeld(std::uint64_t bytes) const
    {
        constexpr auto Timeout = std::chrono::seconds(10);
        constexpr auto Pause = std::chrono::milliseconds(1);
        for (const auto end = std::chrono::steady_clock::now() + Timeout;
             intake->heldBytes() < bytes && std::chrono::steady_clock::now() < end;) {
            std::this_thread::sleep_for(Pause);
        }
        CHECK(intake->heldBytes() >= bytes);
    }

    /// Waits until that many requests to /hold are in progress.
    void waitHeldExchanges(std::size_t count)
    {
        constexpr auto Timeout = std::chrono::seconds(10);
        constexpr auto Pause = std::chrono::milliseconds(1);
        for (const auto end = std::chrono::steady_clock::now() + Timeout;
             heldExchanges() < count && std::chrono::steady_clock::now() < end;) {
            std::this_thread::sleep_for(Pause);
        }
        CHECK(heldExchanges() == count);
    }

    std::size_t heldExchanges()
    {
        const std::lock_guard lock(mutex);
        return held.size();
    }

    void answerHeld(const std::string &body)
    {
        const std::lock_guard lock(mutex);
        for (const HttpExchangePtr &it : held) {
            it->respond({200, {}, body});
        }
        held.clear();
    }

    ManualClock clock;
    std::mutex mutex;
    std::vector<HttpExchangePtr> held;
    std::shared_ptr<Intake> intake;
    HttpServer server;

private:
    void onRequest(const HttpExchangePtr &exchange)
    {
        if (exchange->request().path() == "/hold") {
            const std::lock_guard lock(mutex);
            held.push_back(exchange);
            return;
        }
        exchange->respond({200, {}, "[" + std::to_string(exchange->request().body.size()) + " bytes]"});
    }
};

std::string post(const std::string &path, std::size_t length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// Sends bodies that stop short of their end until no further one has room.
std::vector<std::unique_ptr<RawSocket>> fill(const SmallServer &server)
{
    constexpr std::size_t Bodies = 4;
    std::vector<std::unique_ptr<RawSocket>> all;
    while (all.size() < Bodies) {
        all.push_back(std::make_unique<RawSocket>(server.server.address()));
        all.back()->send(post("/size", Body) + std::string(Body - 1, 'x'));
        server.waitHeld(all.size() * (Body - 1));
    }
    return all;
}

std::string answerTo(const SmallServer &server, const std::string &request)
{
    RawSocket caller(server.server.address());
    caller.send(request);
    return caller.readUntil("]");
}

} // namespace

TEST_CASE("a body that has no room is refused as not run before it is read, and a small request is answered")
{
    SmallServer server({Room, ManyConnections});
    const auto others = fill(server);
    RawSocket caller(server.server.address());
    caller.send(post("/size", Body));
    const std::string answer = caller.readToEnd();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Pepperlug-Outcome: not-run") != std::string::npos);
    CHECK(answerTo(server, post("/size", 3) + "abc").find("[3 bytes]") != std::string::npos);
    CHECK(server.server.stats().refusedNoRoom == 1);
    for (const auto &it : others) {
        it->send("x");
        CHECK(it->readUntil("]").find("[" + std::to_string(Body) + " bytes]") != std::string::npos);
    }
}

TEST_CASE("a body in chunks that has no room is refused as not run while it grows")
{
    SmallServer server({Room, ManyConnections});
    const auto others = fill(server);
    RawSocket caller(server.server.address());
    caller.send("POST /size HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.send("493e0\r\n" + std::string(Body, 'x') + "\r\n");
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 503"));
    CHECK(server.server.stats().refusedNoRoom == 1);
}

TEST_CASE("a body that makes no progress is given up, answered as not run, when another one needs its room")
{
    SmallServer server({Room, ManyConnections});
    const auto others = fill(server);
    server.clock.advance(std::chrono::seconds(2));
    const std::string answer = answerTo(server, post("/size", Body) + std::string(Body, 'x'));
    CHECK(answer.find("[" + std::to_string(Body) + " bytes]") != std::string::npos);
    CHECK(server.server.stats().givenUp >= 1);
    std::uint64_t refused = 0;
    for (const auto &it : others) {
        it->send("x");
        refused += it->readUntil("}").starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    CHECK(refused == server.server.stats().givenUp);
}

TEST_CASE("a request in progress holds its room until it is released")
{
    SmallServer server({Room, ManyConnections});
    RawSocket caller(server.server.address());
    caller.send(post("/hold", Body) + std::string(Body, 'x'));
    server.waitHeld(Body);
    {
        const std::lock_guard lock(server.mutex);
        server.held.at(0)->respond({200, {}, "]"});
        server.held.clear();
    }
    caller.readUntil("]");
    CHECK(server.intake->heldBytes() == 0);
}

// Guards against heads of many short fields, which take more memory than their bytes.
TEST_CASE("heads that have no end count with all the memory that they take")
{
    constexpr std::size_t Fields = 3000;
    SmallServer server({Room, ManyConnections});
    RawSocket caller(server.server.address());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n");
    for (std::size_t n = 0; n < Fields; ++n) {
        caller.send("a:\r\n");
    }
    server.waitHeld(Fields * sizeof(HeaderField));
}

TEST_CASE("a connection that sends empty lines without end is refused")
{
    SmallServer server({Room, ManyConnections});
    RawSocket caller(server.server.address());
    std::string lines;
    while (lines.size() <= HttpLimits{}.headBytes) {
        lines += "\r\n";
    }
    caller.send(lines);
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 400"));
}

// Guards against callers who read nothing, and keep all others from the connections of a host.
TEST_CASE("where there are too many connections one whose caller has read nothing for a while is closed")
{
    constexpr std::size_t Connections = 20;
    constexpr std::size_t Large = 1000000; // more than the buffers of such a connection take
    constexpr int ReceiveBytes = 16 * 1024;
    constexpr auto LongEnough = std::chrono::seconds(6);
    constexpr int Rounds = 4; // less than the time after which such a caller is cut off in any case
    constexpr auto Pause = std::chrono::milliseconds(200);
    SmallServer server({Room, Connections});
    std::vector<std::unique_ptr<RawSocket>> silent;
    while (silent.size() < Connections) {
        silent.push_back(std::make_unique<RawSocket>(server.server.address(), ReceiveBytes));
        silent.back()->send(post("/hold", 3) + "abc");
        server.waitHeldExchanges(silent.size());
    }
    const std::string small = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK(answerTo(server, small).empty());
    server.answerHeld(std::string(Large, 'x'));
    CHECK(answerTo(server, small).empty());
    // The kernels of the callers take some bytes first, which counts as progress.
    bool isAnswered = false;
    for (int n = 0; n < Rounds && !isAnswered; ++n) {
        server.server.sweep();
        std::this_thread::sleep_for(Pause);
        server.clock.advance(LongEnough);
        isAnswered = answerTo(server, small).find("[0 bytes]") != std::string::npos;
    }
    CHECK(isAnswered);
    CHECK(server.server.stats().slowReadersCutOff == 1);
}

TEST_CASE("where there are too many connections the one that is idle for longest is closed, and none with a request")
{
    constexpr std::size_t Connections = 20;
    SmallServer server({Room, Connections});
    RawSocket busy(server.server.address());
    busy.send(post("/hold", 3) + "abc");
    server.waitHeld(1);
    server.clock.advance(std::chrono::seconds(1));
    RawSocket oldest(server.server.address());
    oldest.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    oldest.readUntil("]");
    server.clock.advance(std::chrono::seconds(1));
    std::vector<std::unique_ptr<RawSocket>> others;
    while (others.size() < Connections - 1) {
        others.push_back(std::make_unique<RawSocket>(server.server.address()));
        others.back()->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(others.back()->readUntil("]").find("[0 bytes]") != std::string::npos);
    }
    oldest.readToEnd();
    CHECK(server.server.stats().connectionsSpared == 1);
    const std::lock_guard lock(server.mutex);
    server.held.at(0)->respond({200, {}, "]"});
    CHECK(busy.readUntil("]").starts_with("HTTP/1.1 200"));
}
