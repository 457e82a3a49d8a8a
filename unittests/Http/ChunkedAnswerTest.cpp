//===- ChunkedAnswerTest.cpp - Answers whose bodies come in chunks --------===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

const std::string Head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Body = "5;a=b\r\nhello\r\n6\r\n world\r\n0\r\nX-Trailer: 1\r\n\r\n";

HttpResult resultOf(const std::string &body)
{
    const RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, Head + body);
    }});
    HttpClient client(MaxAnswerBytes);
    return callAndWait(client, callTo(server.address()));
}

} // namespace

// Guards against answers that are lost, or read otherwise, where the network splits their chunks.
TEST_CASE("an answer in chunks that is split anywhere comes whole, and its connection is kept")
{
    const RawServer server({[](RawServer::Socket &socket) {
        for (std::size_t at = 1; at < Body.size(); ++at) {
            RawServer::readRequest(socket);
            RawServer::send(socket, Head + Body.substr(0, at));
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            RawServer::send(socket, Body.substr(at));
        }
    }});
    HttpClient client(MaxAnswerBytes);
    std::uint16_t port = 0;
    for (std::size_t at = 1; at < Body.size(); ++at) {
        INFO("split at " << at);
        const HttpResult result = callAndWait(client, callTo(server.address()));
        REQUIRE(result.kind == HttpResult::Kind::Answered);
        CHECK(result.answer.body == "hello world");
        CHECK(std::exchange(port, result.port) == (at == 1 ? 0 : result.port));
    }
}

// Guards against chunks that libcurl takes and that a strict reader reads otherwise.
TEST_CASE("an answer whose chunks can't be read is not taken")
{
    for (const std::string &body :
         {std::string("5\nhello\r\n0\r\n\r\n"), std::string("5\r\nhello\n0\r\n\r\n"),
          std::string("5;a\x01\r\nhello\r\n0\r\n\r\n"), std::string("zz\r\nhello\r\n0\r\n\r\n"),
          std::string("5\r\nhello\r\n0\r\nX: 1\n\r\n\r\n")}) {
        INFO(body);
        const HttpResult result = resultOf(body);
        CHECK(result.kind == HttpResult::Kind::Broken);
        CHECK(result.answerDefect == AnswerDefect::Framing);
        CHECK(result.answer.body.empty());
    }
}

TEST_CASE("an answer in chunks that is cut is no answer")
{
    for (std::size_t size = 0; size < Body.size(); ++size) {
        INFO(size << " bytes");
        CHECK(resultOf(Body.substr(0, size)).kind == HttpResult::Kind::Broken);
    }
}

// Guards against bytes behind an answer that are taken for the answer to the next request.
TEST_CASE("bytes behind an answer in chunks end its connection, and the answer is taken")
{
    const auto first = [](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, Head + Body + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        RawServer::readRequest(socket); // until the client closes
    };
    const auto second = [](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
    };
    const RawServer server({first, second});
    HttpClient client(MaxAnswerBytes);
    CHECK(callAndWait(client, callTo(server.address())).answer.body == "hello world");
    CHECK(callAndWait(client, callTo(server.address())).answer.body == "ok");
}
