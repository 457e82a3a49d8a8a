//===- EndlessAnswerTest.cpp - Answers that never end ---------------------===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

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
