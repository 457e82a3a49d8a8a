//===- MalformedHeadTest.cpp - Heads of answers that are none -------------===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include "Http/AnswerHead.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

constexpr const char *Body = "a title and its condition";

/// A head that must not be passed on, and why.
struct Example {
    AnswerDefect defect;
    std::string statusLine;
    std::string fields;
};

const std::string Ok = "HTTP/1.1 200 OK";

std::vector<Example> malformedHeads()
{
    using namespace std::string_literals;
    const std::string length = "Content-Length: 25\r\n";
    return {{AnswerDefect::StatusLine, "HTTP/1.1 2000 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 20x OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 600 Far", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 000 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 000", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 00 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 099 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 1000 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 -20 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 OK", length},
            {AnswerDefect::StatusLine, "HTTP/1.1", length},
            {AnswerDefect::StatusLine, "HTTP/2 000", length},
            {AnswerDefect::StatusLine, "HTTP/9.9 200 OK", length},
            {AnswerDefect::StatusLine, "no status line", length},
            {AnswerDefect::StatusLine, "\x01\x02", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 200 O\x01K", length},
            {AnswerDefect::StatusLine, "HTTP/1.1 101 Switching Protocols", length},
            {AnswerDefect::FieldName, Ok, length + "X-Note of shelf: 12\r\n"},
            {AnswerDefect::FieldName, Ok, length + "X-Note : 12\r\n"},
            {AnswerDefect::FieldName, Ok, length + ": 12\r\n"},
            {AnswerDefect::FieldName, Ok, length + "shelf 12\r\n"},
            {AnswerDefect::FieldName, Ok, length + "X-Note: a\r\n folded: b\r\n"},
            {AnswerDefect::FieldName, Ok, length + "X-N\xc3\xb6te: 12\r\n"},
            {AnswerDefect::FieldValue, Ok, length + "X-Note: shelf\x01" + "12\r\n"},
            {AnswerDefect::FieldValue, Ok, length + "X-Note: shelf\r12\r\n"},
            {AnswerDefect::FieldValue, Ok, length + "X-Note: shelf\x7f\r\n"},
            {AnswerDefect::Length, Ok, length + "Content-Length: 7\r\n"},
            {AnswerDefect::Length, Ok, "Content-Length: 7\r\n" + length},
            {AnswerDefect::Length, Ok, "Content-Length: 7, 25\r\n"},
            {AnswerDefect::Length, Ok, "Content-Length: 25x\r\n"},
            {AnswerDefect::Length, Ok, "Content-Length: +25\r\n"},
            {AnswerDefect::Length, Ok, "Content-Length:\r\n"},
            {AnswerDefect::Length, Ok, "Content-Length: 99999999999999999999999\r\n"},
            {AnswerDefect::TransferCoding, Ok, "Transfer-Encoding: identity\r\n" + length},
            {AnswerDefect::TransferCoding, Ok, "Transfer-Encoding: gzip, chunked\r\n"},
            {AnswerDefect::TransferCoding, Ok, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
            {AnswerDefect::TransferCoding, "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"}};
}

std::string textOf(const Example &it)
{
    return it.statusLine + "\r\n" + it.fields + "\r\n";
}

AnswerHead readLines(std::string_view text)
{
    AnswerHead head;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size() - 1) + 1;
        head.addLine(text.substr(0, end));
        text.remove_prefix(end);
    }
    return head;
}

HttpResult resultOf(const std::string &bytes)
{
    const RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, bytes);
    }});
    HttpClient client(MaxAnswerBytes);
    return callAndWait(client, callTo(server.address()));
}

} // namespace

// Guards against callers that get a head which is none in HTTP, or a body shortened to one of two lengths.
TEST_CASE("an answer with a malformed head is not taken")
{
    for (const Example &it : malformedHeads()) {
        INFO(textOf(it));
        const HttpResult result = resultOf(textOf(it) + Body);
        CHECK(result.kind == HttpResult::Kind::Broken);
        CHECK(result.receivedBytes > 0);
        CHECK(result.answer.headers.empty());
        CHECK(result.answer.body.empty());
        CHECK(result.answerDefect.has_value());
        CHECK_FALSE(result.isConnectionLost);
    }
}

// Guards against a malformed status line that is taken for an answer without an end, which costs its target all
// requests.
TEST_CASE("an answer without a status line is malformed, however long it is and whether its connection ends")
{
    const std::string body(100'000, 'x');
    for (const char *line : {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 OK\r\n", "no status line\r\n", "no line"}) {
        for (const bool isLong : {false, true}) {
            INFO(line << isLong);
            const bool hasLineEnd = std::string_view(line).ends_with('\n');
            const RawServer server({[&](RawServer::Socket &socket) {
                RawServer::readRequest(socket);
                RawServer::send(socket, hasLineEnd ? std::string(line) + "\r\n" + (isLong ? body : "") : line);
                RawServer::readRequest(socket); // until the caller ends the connection
            }});
            HttpClient client(MaxAnswerBytes);
            const HttpResult result = callAndWait(client, callTo(server.address()));
            CHECK(result.kind == HttpResult::Kind::Broken);
            CHECK(result.answerDefect == AnswerDefect::StatusLine);
            CHECK_FALSE(result.timedOut);
        }
    }
}

// Guards against a connection that carries another call although its last answer had no head.
TEST_CASE("the connection of an answer without a status line is not used again, also after HEAD")
{
    for (const char *method : {"GET", "HEAD"}) {
        for (const char *line : {"HTTP/1.1 000 OK", "no status line"}) {
            INFO(method << " " << line);
            std::atomic<int> connections{0};
            const auto serve = [&](RawServer::Socket &socket) {
                const bool isFirst = ++connections == 1;
                RawServer::readRequest(socket);
                RawServer::send(socket,
                                std::string(isFirst ? line : "HTTP/1.1 200 OK") + "\r\nContent-Length: 0\r\n\r\n");
                RawServer::readRequest(socket); // until the caller ends the connection
            };
            const RawServer server({serve, serve});
            HttpClient client(MaxAnswerBytes);
            HttpCall call = callTo(server.address());
            call.method = method;
            const HttpResult first = callAndWait(client, call);
            CHECK(first.kind == HttpResult::Kind::Broken);
            CHECK(first.answerDefect == AnswerDefect::StatusLine);
            CHECK(first.receivedBytes > 0);
            CHECK(callAndWait(client, call).kind == HttpResult::Kind::Answered);
            CHECK(connections == 2);
        }
    }
}

TEST_CASE("what is wrong with a malformed head is told")
{
    for (const Example &it : malformedHeads()) {
        INFO(textOf(it));
        CHECK(readLines(textOf(it)).defect() == it.defect);
    }
}

// Guards against heads that are only taken for malformed, so that sound answers are lost.
TEST_CASE("an answer with an unusual but sound head is taken")
{
    const std::string length = "Content-Length: 25\r\n\r\n";
    for (const std::string &head :
         {"HTTP/1.1 200 OK\r\n" + length, "HTTP/1.1 200\r\n" + length, "HTTP/1.1 200 \r\n" + length,
          "HTTP/1.0 299 \xc3\xa9t\xc3\xa9\r\n" + length, "HTTP/1.1 200 OK\nX-Note: a\n" + length,
          "HTTP/1.1 200 OK\r\nX-Note:\r\n" + length, "HTTP/1.1 200 OK\r\nX-Note: caf\xc3\xa9 \t\r\n" + length,
          "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n" + length,
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 25, 25\r\n\r\n"),
          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + length}) {
        INFO(head);
        const HttpResult result = resultOf(head + Body);
        CHECK(result.kind == HttpResult::Kind::Answered);
        CHECK(result.answer.status / 100 == 2);
        CHECK(result.answer.body == Body);
        CHECK_FALSE(result.answerDefect);
    }
}

TEST_CASE("the fields and the length of a sound head are kept")
{
    AnswerHead head = readLines("HTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 3\r\n\r\n");
    CHECK_FALSE(head.isWhole());
    for (const char *line : {"HTTP/1.1 404 Not Found\r\n", "X-Note:  a b \r\n", "content-length: 25\r\n", "\r\n"}) {
        head.addLine(line);
    }
    CHECK(head.isWhole());
    CHECK_FALSE(head.defect());
    CHECK(head.answer().status == 404);
    REQUIRE(head.answer().headers.size() == 2);
    CHECK(head.answer().headers[0].name == "X-Note");
    CHECK(head.answer().headers[0].value == "a b");
    CHECK(head.bodyLength() == 25U);
    CHECK_FALSE(readLines("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n").bodyLength());
}

// Guards against bytes that a target may put into its head and that end a field, or the head, for whoever reads it
// next.
TEST_CASE("a head that is taken holds no line that a strict reader takes for another one")
{
    CHECK(rc::check([] {
        const auto byte = rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element(':', ' ', '\r', '\n', '\t', 'a'));
        const auto line = *rc::gen::container<std::string>(byte);
        AnswerHead head = readLines("HTTP/1.1 200 OK\r\nX-Note: " + line + "\r\n\r\n");
        if (head.defect()) {
            return;
        }
        for (const HeaderField &it : head.answer().headers) {
            RC_ASSERT(!it.name.empty());
            RC_ASSERT(it.name.find_first_of(" \t\r\n:") == std::string::npos);
            RC_ASSERT(it.value.find_first_of(std::string("\r\n\0", 3)) == std::string::npos);
        }
    }));
}
