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
