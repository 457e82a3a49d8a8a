//===- ChunkedRequestTest.cpp - Callers' bodies in chunks -----------------===//
#include "Fleet/StubControl.h"
#include "unittests/Http/RawSocket.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr const char *Body = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
constexpr std::size_t BodyBytes = std::string_view(Body).size();

/// Sends a body in two pieces and returns the first line of the answer.
std::string answerToPieces(const Entry &entry, std::size_t splitAt)
{
    constexpr auto BetweenPieces = std::chrono::milliseconds(30);
    RawSocket caller(*Address::parse(entry.address()));
    caller.send("POST /once/" + std::to_string(splitAt) + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: split-"
                + std::to_string(splitAt) + "\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
                + std::string(Body, splitAt));
    std::this_thread::sleep_for(BetweenPieces);
    caller.send(Body + splitAt);
    const std::string answer = caller.readUntil("\r\n\r\n");
    return answer.substr(0, answer.find("\r\n"));
}

} // namespace

// Guards against one caller's body that ends the service of an entry host for all callers.
TEST_CASE("a body in chunks that is split anywhere is served, and so are all other callers beside and after")
{
    FakeTarget target("i-1");
    Entry entry(44);
    entry.control.setTarget("i-1", target.address());
    REQUIRE(System::eventually([&] { return entry.statusOf("/read/first") == 200; }));
    std::atomic<bool> isOver{false};
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::thread others([&] {
        while (!isOver) {
            served += entry.statusOf("/read/other") == 200 ? 1 : 0;
            ++asked;
        }
    });
    std::size_t answered = 0;
    for (std::size_t at = 1; at < BodyBytes; ++at) {
        const std::string line = answerToPieces(entry, at);
        INFO("split at " << at << ": " << line);
        CHECK(line.starts_with("HTTP/1.1 200"));
        answered += line.starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    isOver = true;
    others.join();
    CHECK(answered == BodyBytes - 1);
    CHECK(served == asked);
    CHECK(asked > 0);
    CHECK(entry.statusOf("/read/after") == 200);
}
