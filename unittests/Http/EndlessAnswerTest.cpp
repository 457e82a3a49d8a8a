//===- EndlessAnswerTest.cpp - Answers that never end ---------------------===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include "Http/AnswerBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

constexpr std::size_t Megabyte = 1024 * 1024;
/// What a target may send until its connection ends: the kernel's buffers of both sides take part of it.
constexpr std::size_t MaxSentBytes = 16 * Megabyte;

/// How an answer begins, and what follows again and again.
struct Form {
    const char *name;
    AnswerPart part;
    std::string start;
    std::string repeated;
};

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Form> forms()
{
    const std::string filler(4000, 'x');
    return {{"no status line", AnswerPart::Head, "", filler},
            {"header lines", AnswerPart::Head, "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n"},
            {"short header lines", AnswerPart::Head, "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
            {"one header line", AnswerPart::Head, "HTTP/1.1 200 OK\r\nX-Filler: ", filler},
            {"interim heads", AnswerPart::Head, "", "HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n"},
            {"short interim heads", AnswerPart::Head, "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"a body in chunks", AnswerPart::Body, ChunkedHead, "fa0\r\n" + filler + "\r\n"},
            {"a body that ends with the connection", AnswerPart::Body, "HTTP/1.1 200 OK\r\n\r\n", filler},
            {"a body in chunks that announces a length", AnswerPart::Body,
             "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nTransfer-Encoding: chunked\r\n\r\n",
             "fa0\r\n" + filler + "\r\n"},
            {"the extension of one chunk", AnswerPart::Framing, ChunkedHead + "5;", filler},
            {"extensions of chunks", AnswerPart::Framing, ChunkedHead, "1;" + filler + "\r\nx\r\n"},
            {"trailers", AnswerPart::Trailers, ChunkedHead + "2\r\nok\r\n0\r\n",
             "X-Filler: " + filler.substr(0, 1000) + "\r\n"},
            {"short trailers", AnswerPart::Trailers, ChunkedHead + "2\r\nok\r\n0\r\n", "X: y\r\n"}};
}

/// Sends until the other side ends the connection.
void sendWithoutEnd(RawServer::Socket &socket, const Form &form, std::atomic<std::size_t> &sent)
{
    RawServer::readRequest(socket);
    RawServer::send(socket, form.start);
    std::string repeated;
    while (repeated.size() < 16UL * 1024) {
        repeated += form.repeated;
    }
    boost::system::error_code ec;
    while (!ec && sent < 2 * MaxSentBytes) {
        sent += boost::asio::write(socket, boost::asio::buffer(repeated), ec);
    }
}

} // namespace

// Guards against a target that sends without end and is taken for a slow one, in whatever form it sends.
TEST_CASE("an answer without an end is given up by its size, in each form")
{
    for (const Form &form : forms()) {
        INFO(form.name);
        std::atomic<std::size_t> sent{0};
        HttpResult result;
        {
            const RawServer server({[&](RawServer::Socket &socket) {
                sendWithoutEnd(socket, form, sent);
            }});
            HttpClient client(64 * Megabyte);
            result = callAndWait(client, callTo(server.address()));
        }
        CHECK(result.kind == HttpResult::Kind::Endless);
        CHECK(result.endlessPart == form.part);
        CHECK_FALSE(result.timedOut);
        CHECK_FALSE(result.isConnectionLost);
        CHECK(result.receivedBytes < 5 * Megabyte);
        CHECK(sent < MaxSentBytes);
    }
}

// Guards against a body that is passed on beyond its announced length, as the chunks override it.
TEST_CASE("a body in chunks is not passed on by the length that the head announces as well")
{
    const std::string body(LargeAnswerBytes, 'x');
    const RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket,
                        "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" + body
                            + "\r\n0\r\n\r\n");
    }});
    HttpClient client(MaxAnswerBytes);
    HttpCall call = callTo(server.address());
    std::atomic<bool> isPassedOn{false};
    call.onLargeHead = [&](const Answer &, std::uint64_t) {
        isPassedOn = true;
        return true;
    };
    call.onPart = [](std::string_view) {
    };
    const HttpResult result = callAndWait(client, std::move(call));
    CHECK_FALSE(isPassedOn);
    CHECK(result.answer.body == body);
}

// Guards against trailers that are read as header fields, such as one by which a target takes leave.
TEST_CASE("trailers are no part of the head")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, ChunkedHead + "2\r\nok\r\n0\r\nX-Trailer: 1\r\nHTTP/1.1: 500\r\nX-Other: 2\r\n\r\n");
    }});
    HttpClient client(MaxAnswerBytes);
    const HttpResult result = callAndWait(client, callTo(server.address()));
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.status == 200);
    CHECK(result.answer.body == "ok");
    REQUIRE(result.answer.headers.size() == 1);
    CHECK(result.answer.headers[0].name == "Transfer-Encoding");
}

// Guards against an answer that is read up to the limit although its head says that it is longer.
TEST_CASE("an answer that announces more than is taken is given up at its head")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n");
        RawServer::readRequest(socket); // until the caller gives up
    }});
    HttpClient client(MaxAnswerBytes);
    CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::TooLarge);
}

// Guards against an answer that is lost since an interim head before it does not name its request.
TEST_CASE("an interim head need not belong to the call")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(
            socket,
            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    }});
    HttpClient client(MaxAnswerBytes);
    HttpCall call = callTo(server.address());
    call.acceptsHead = [](const std::vector<HeaderField> &headers) {
        return std::ranges::any_of(headers, [](const HeaderField &it) { return it.name == "Id"; });
    };
    const HttpResult result = callAndWait(client, std::move(call));
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.body == "ok");
}

// Guards against a length that can't be read and is taken for one of nothing, so that no bound holds.
TEST_CASE("a body whose announced length is no number is bounded as one of unknown length")
{
    const char *const length = GENERATE("99999999999999999999999", "+9000000000000000000", "1e9");
    INFO(length);
    std::atomic<std::size_t> sent{0};
    HttpResult result;
    {
        const Form form{"", AnswerPart::Body, "HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) + "\r\n\r\n",
                        std::string(4000, 'x')};
        const RawServer server({[&](RawServer::Socket &socket) {
            sendWithoutEnd(socket, form, sent);
        }});
        HttpClient client(64 * Megabyte);
        result = callAndWait(client, callTo(server.address()));
    }
    CHECK_FALSE(result.timedOut);
    CHECK(result.receivedBytes < 5 * Megabyte);
    CHECK(sent < MaxSentBytes);
}

// Guards against an answer that has no body by its status, and is waited for or given up by the length that it tells.
TEST_CASE("an answer without a body by its status may tell any length")
{
    const char *const status = GENERATE("304 Not Modified", "204 No Content");
    const RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 2000000\r\n\r\n");
        RawServer::readRequest(socket);
    }});
    HttpClient client(MaxAnswerBytes);
    HttpCall call = callTo(server.address());
    std::atomic<bool> isPassedOn{false};
    call.onLargeHead = [&](const Answer &, std::uint64_t) {
        isPassedOn = true;
        return true;
    };
    const HttpResult result = callAndWait(client, std::move(call));
    CHECK(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.body.empty());
    CHECK_FALSE(isPassedOn);
}

// Guards against bodies of unknown length that each are within their bound, and together fill the memory.
TEST_CASE("bodies of unknown length share a bound, and the longest one is given up")
{
    constexpr std::size_t Each = Megabyte;
    constexpr std::size_t Calls = 4;
    std::promise<void> isOver;
    const std::shared_future<void> over = isOver.get_future().share();
    const auto stalls = [over](std::size_t bytes) {
        return std::make_unique<RawServer>(std::vector<RawServer::Script>{[over, bytes](RawServer::Socket &socket) {
            RawServer::readRequest(socket);
            RawServer::send(socket, "HTTP/1.1 200 OK\r\n\r\n" + std::string(bytes, 'x'));
            over.wait();
        }});
    };
    std::mutex mutex;
    std::vector<std::size_t> endless;
    std::promise<void> hasEnded;
    {
        HttpClientLimits limits;
        limits.answerBytes = 64 * Megabyte;
        limits.unsizedBytesInAll = Calls * Each - 1;
        std::vector<std::unique_ptr<RawServer>> servers;
        HttpClient client(limits);
        for (std::size_t n = 0; n < Calls; ++n) {
            servers.push_back(stalls(n == 1 ? Each + 1000 : Each));
            client.start(callTo(servers.back()->address()), [&, n](const HttpResult &result) {
                const std::lock_guard lock(mutex);
                if (result.kind == HttpResult::Kind::Endless) {
                    endless.push_back(n);
                    hasEnded.set_value();
                }
            });
        }
        hasEnded.get_future().wait_for(std::chrono::seconds(4));
        isOver.set_value();
        client.stop();
    }
    CHECK(endless == std::vector<std::size_t>{1});
}

TEST_CASE("the budget of an answer tells the form of which there is too much")
{
    AnswerBudget sound(1000);
    sound.addHead(16 * 1024);
    sound.addBody(1000 * 13 + 5);
    sound.addPayload(1000);
    CHECK_FALSE(sound.exceeded()); // chunks of one byte each, with padded sizes
    sound.addPayload(1);
    CHECK(sound.exceeded() == AnswerPart::Body);
    sound.setSized();
    CHECK_FALSE(sound.exceeded());
    sound.addTrailer(17 * 1024);
    CHECK(sound.exceeded() == AnswerPart::Trailers);
    sound.addHead(64 * 1024);
    CHECK(sound.exceeded() == AnswerPart::Head);
    CHECK(sound.received() == 16 * 1024 + 64 * 1024 + 13005);
}
