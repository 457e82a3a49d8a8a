//===- MessageReaderTest.cpp - Messages from bytes split anywhere ---------===//
#include "StrictReader.h"

#include "Http/AnswerHead.h"
#include "Http/MessageReader.h"
#include "Http/RequestHead.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

using namespace pepperlug;
using namespace pepperlug::test;
using namespace std::string_literals;

namespace
{

constexpr MessageBounds Bounds{.headBytes = 300, .bodyBytes = 200, .framingBytes = 100};

/// What a reader has told of some bytes.
struct Account {
    std::vector<ReadMessage> messages; ///< those that have ended
    std::optional<MessageFault> fault;
    std::size_t events = 0;
    std::uint64_t bodyBytes = 0; ///< of the message that has not ended
    std::size_t mostUnread = 0;

    bool operator==(const Account &rhs) const
    {
        const bool isSameFault = fault.has_value() == rhs.fault.has_value()
            && (!fault || (fault->status == rhs.fault->status && fault->reason == rhs.fault->reason));
        return isSameFault && messages == rhs.messages && bodyBytes == rhs.bodyBytes;
    }
};

std::ostream &operator<<(std::ostream &out, const Account &it)
{
    for (const ReadMessage &message : it.messages) {
        out << message.start << " [" << message.body << "] ";
    }
    if (it.fault) {
        out << it.fault->status << " " << it.fault->reason;
    }
    return out << " +" << it.bodyBytes;
}

ReadMessage messageOf(RequestHead &head)
{
    const HttpRequest &request = head.request();
    return {request.method + " " + request.resource, request.headers, ""};
}

ReadMessage messageOf(AnswerHead &head)
{
    return {std::to_string(head.answer().status), head.answer().headers, ""};
}

/// Adds parts to a reader and keeps account of what it tells.
template <MessageHead Head>
class Listener
{
public:
    void add(std::string_view bytes)
    {
        m_reader.add(bytes);
        while (auto event = m_reader.next()) {
            ++m_account.events;
            std::visit([this](auto &&it) { take(it); }, *event);
        }
        m_account.mostUnread = std::max(m_account.mostUnread, m_reader.unreadBytes());
    }

    Account finish()
    {
        if (auto event = m_reader.finish()) {
            std::visit([this](auto &&it) { take(it); }, *event);
        }
        return m_account;
    }

private:
    void take(std::unique_ptr<Head> &head)
    {
        m_message = messageOf(*head);
    }

    void take(const BodyPart &part)
    {
        m_message.body.append(part.bytes);
        m_account.bodyBytes = m_message.body.size();
    }

    void take(const TrailerPart &)
    {
    }

    void take(const MessageEnd &)
    {
        m_account.bodyBytes = 0;
        m_account.messages.push_back(std::exchange(m_message, {}));
    }

    void take(const MessageFault &fault)
    {
        m_account.fault = fault;
    }

    MessageReader<Head> m_reader{Bounds};
    ReadMessage m_message;
    Account m_account;
};

template <MessageHead Head>
Account readWhole(const std::string &bytes)
{
    Listener<Head> listener;
    listener.add(bytes);
    return listener.finish();
}

template <MessageHead Head>
Account readInTwo(const std::string &bytes, std::size_t at)
{
    Listener<Head> listener;
    listener.add(std::string_view(bytes).substr(0, at));
    listener.add(std::string_view(bytes).substr(at));
    return listener.finish();
}

template <MessageHead Head>
Account readInParts(const std::string &bytes, std::mt19937_64 &random)
{
    Listener<Head> listener;
    std::string_view rest = bytes;
    const std::size_t longest = 1 + random() % 40;
    while (!rest.empty()) {
        const std::size_t n = std::min<std::size_t>(rest.size(), 1 + random() % longest);
        listener.add(rest.substr(0, n));
        rest.remove_prefix(n);
    }
    return listener.finish();
}

template <MessageHead Head>
Account readByteByByte(const std::string &bytes)
{
    Listener<Head> listener;
    for (const char &c : bytes) {
        listener.add({&c, 1});
    }
    return listener.finish();
}

/// A message and what comes of it: bodies of the messages that are read, and a fault if there is one.
struct Example {
    const char *name;
    std::string bytes;
    std::vector<std::string> bodies;
    unsigned status = 0; ///< of the fault; 0 for none
    std::string reason = {}; ///< part of the one that is told
};

std::string post(const std::string &fields, const std::string &body)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string postChunks(const std::string &body)
{
    return post("Transfer-Encoding: chunked\r\n", body);
}

std::string answer(const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

std::string answerChunks(const std::string &body)
{
    return answer("Transfer-Encoding: chunked\r\n", body);
}

const std::string Hello = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
const std::string Next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";

/// Framing of bodies that both requests and answers are read by (RFC 9112, 7.1).
std::vector<Example> chunkExamples()
{
    return {
        {"chunks", Hello, {"hello world"}},
        {"no chunk but the last", "0\r\n\r\n", {""}},
        {"sizes in both cases, padded",
         "00A\r\n0123456789\r\na\r\n0123456789\r\n000\r\n\r\n",
         {"01234567890123456789"}},
        {"extensions are dropped (7.1.1)", "5;a=b;c\r\nhello\r\n0;d=\"e;f\"\r\n\r\n", {"hello"}},
        {"trailers are dropped (7.1.2)", "5\r\nhello\r\n0\r\nX-A: 1\r\nContent-Length: 7\r\n\r\n", {"hello"}},
        {"data may hold line ends", "4\r\n\r\n\r\n\r\n0\r\n\r\n", {"\r\n\r\n"}},
        {"the longest body", "c8\r\n" + std::string(200, 'x') + "\r\n0\r\n\r\n", {std::string(200, 'x')}},
        {"a body that is too long", "c9\r\n" + std::string(201, 'x') + "\r\n0\r\n\r\n", {}, 413, "longer than 200"},
        {"chunks that are too long together",
         "64\r\n" + std::string(100, 'x') + "\r\n65\r\n",
         {},
         413,
         "longer than 200"},
        {"a size beyond 64 bits", "10000000000000005\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"no size", "\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"a size with a sign", "+5\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"a size that is no number", "0x5\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"a blank before the size", " 5\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"a size shorter than the data", "4\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"a bare LF behind the size", "5\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"a bare LF behind the data", "5\r\nhello\n0\r\n\r\n", {}, 400, "garbled"},
        {"a bare CR in an extension", "5;a\rb\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"NUL in an extension", "5;a="s + '\0' + "\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"an open quote in an extension", "5;a=\"b\r\nhello\r\n0\r\n\r\n", {}, 400, "garbled"},
        {"an open quote in the last extension", "5\r\nhello\r\n0;a=\"b\r\n\r\n", {}, 400, "garbled"},
        {"a bare LF in the trailers", "5\r\nhello\r\n0\r\nX: 1\n\r\n\r\n", {}, 400, "garbled"},
        {"NUL in the trailers", "5\r\nhello\r\n0\r\nX: "s + '\0' + "\r\n\r\n", {}, 400, "trailer"},
        {"a long extension", "5;" + std::string(300, 'a') + "\r\nhello\r\n0\r\n\r\n", {}, 413, "too long"},
        {"long trailers", "5\r\nhello\r\n0\r\nX: " + std::string(300, 'a') + "\r\n\r\n", {}, 413, "too long"},
        {"a body that does not end", "5\r\nhello\r\n0\r\n", {}, 400, "connection ended"},
    };
}

std::vector<Example> requestExamples()
{
    const std::string line = "GET / HTTP/1.1\r\n";
    const std::string atLimit = line + "Host: h\r\nX: " + std::string(300 - 16 - 9 - 3, 'a');
    return {
        {"no body", Next, {""}},
        {"empty lines before a request (2.2)", "\r\n\r\n" + Next, {""}},
        {"a body with a length", post("Content-Length: 5\r\n", "hello"), {"hello"}},
        {"a length of nothing", post("Content-Length: 0\r\n", "") + Next, {"", ""}},
        {"equal lengths (6.3)", post("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"), {"hello"}},
        {"pipelined requests (9.3.2)", Next + post("Content-Length: 5\r\n", "hello") + Next, {"", "hello", ""}},
        {"a request behind chunks", postChunks(Hello) + Next, {"hello world", ""}},
        {"chunks behind chunks", postChunks(Hello) + postChunks(Hello), {"hello world", "hello world"}},
        {"Expect (RFC 9110, 10.1.1)", post("Expect: 100-continue\r\nContent-Length: 2\r\n", "ok"), {"ok"}},
        {"another expectation", post("Expect: tea\r\n", ""), {}, 417, "expectation"},
        {"a head at the limit", atLimit + "\r\n\r\n", {""}},
        {"a head past the limit", atLimit + "a\r\n\r\n", {}, 431, "longer than 300"},
        {"the longest body", post("Content-Length: 200\r\n", std::string(200, 'x')), {std::string(200, 'x')}},
        {"a body that is too long", post("Content-Length: 201\r\n", ""), {}, 413, "longer than 200"},
        {"two lengths (6.3)", post("Content-Length: 5\r\nContent-Length: 7\r\n", "hello"), {}, 400, "twice"},
        {"a list of lengths", post("Content-Length: 5, 5\r\n", "hello"), {}, 400, "whole number"},
        {"a length with a sign", post("Content-Length: +5\r\n", "hello"), {}, 400, "whole number"},
        {"an empty length", post("Content-Length:\r\n", ""), {}, 400, "whole number"},
        {"a length beside chunks (6.1)",
         post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", Hello),
         {},
         400,
         "exclude"},
        {"chunks beside a length (6.1)",
         post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", Hello),
         {},
         400,
         "exclude"},
        {"chunks in HTTP/1.0 (6.1)", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + Hello, {}, 400, "1.0"},
        {"an unknown coding (6.1)", post("Transfer-Encoding: gzip, chunked\r\n", Hello), {}, 501, "coding"},
        {"two codings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Hello), {}, 501, "coding"},
        {"a bare LF behind a line (2.2)", line + "Host: h\n\r\n", {}, 400, "CR and LF"},
        {"a bare LF behind the request line", "GET / HTTP/1.1\nHost: h\r\n\r\n", {}, 400, "CR and LF"},
        {"a bare CR (2.2)", line + "Host: h\rX: y\r\n\r\n", {}, 400, "control"},
        {"NUL in a value (RFC 9110, 5.5)", line + "Host: h"s + '\0' + "\r\n\r\n", {}, 400, "control"},
        {"NUL in a name (RFC 9110, 5.1)", line + "Ho"s + '\0' + "st: h\r\n\r\n", {}, 400, "NAME: VALUE"},
        {"a folded line (5.2)", line + "Host: h\r\n folded\r\n\r\n", {}, 400, "NAME: VALUE"},
        {"a blank before the colon (5.1)", line + "Host : h\r\n\r\n", {}, 400, "NAME: VALUE"},
        {"no Host (3.2)", line + "\r\n", {}, 400, "Host"},
        {"two Hosts (3.2)", line + "Host: a\r\nHost: b\r\n\r\n", {}, 400, "Host"},
        {"a request behind one that is refused", line + "\r\n" + Next, {}, 400, "Host"},
        {"a head that does not end", line, {}, 400, "connection ended"},
    };
}

std::vector<Example> answerExamples()
{
    return {
        {"a body with a length", answer("Content-Length: 5\r\n", "hello"), {"hello"}},
        {"a body up to the end (6.3)", answer("", "hello"), {"hello"}},
        {"no body by status (6.3)", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", {""}},
        {"interim heads (RFC 9110, 15.2)",
         "HTTP/1.1 100 Continue\r\n\r\n" + answer("Content-Length: 2\r\n", "ok"),
         {"ok"}},
        {"lines that end with LF (2.2)", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", {"ok"}},
        {"bytes behind an answer", answer("Content-Length: 2\r\n", "okHTTP/1.1 200 OK\r\n\r\n"), {"ok"}},
        {"an answer behind chunks", answerChunks(Hello) + answer("Content-Length: 2\r\n", "ok"), {"hello world"}},
        {"a length beside chunks (6.3)",
         answer("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", Hello),
         {"hello world"}},
        {"two lengths (6.3)", answer("Content-Length: 5\r\nContent-Length: 7\r\n", "hello"), {}, 502, "length"},
        {"an unknown coding (6.1)", answer("Transfer-Encoding: gzip\r\n", "hello"), {}, 502, "coding"},
        {"a body that is cut", answer("Content-Length: 5\r\n", "hel"), {}, 400, "connection ended"},
        {"a head that is cut", "HTTP/1.1 200 OK\r\n", {}, 400, "connection ended"},
        {"no status line", "hello\r\n\r\n", {}, 502, "status-line"},
    };
}

std::vector<Example> within(std::vector<Example> bodies, const std::string &head)
{
    for (Example &it : bodies) {
        it.bytes = head + it.bytes;
    }
    return bodies;
}

template <MessageHead Head>
std::vector<Example> examples();

template <>
std::vector<Example> examples<RequestHead>()
{
    std::vector<Example> all = within(chunkExamples(), postChunks(""));
    const std::vector<Example> others = requestExamples();
    all.insert(all.end(), others.begin(), others.end());
    return all;
}

template <>
std::vector<Example> examples<AnswerHead>()
{
    std::vector<Example> all = within(chunkExamples(), answerChunks(""));
    const std::vector<Example> others = answerExamples();
    all.insert(all.end(), others.begin(), others.end());
    return all;
}

/// Messages that resemble those of the examples, most of them spoiled somewhere.
template <MessageHead Head>
class Generator
{
public:
    explicit Generator(std::uint64_t seed)
        : m_random(seed)
    {
        for (const Example &it : examples<Head>()) {
            m_seeds.push_back(it.bytes);
        }
    }

    std::string next()
    {
        std::string bytes = pick(m_seeds);
        for (std::uint64_t n = m_random() % 4; n > 0; --n) {
            spoil(bytes);
        }
        return bytes;
    }

    std::mt19937_64 &random()
    {
        return m_random;
    }

private:
    const std::string &pick(const std::vector<std::string> &all)
    {
        return all[m_random() % all.size()];
    }

    void spoil(std::string &bytes)
    {
        static const std::vector<std::string> Pieces{"\r\n",
                                                     "\n",
                                                     "\r",
                                                     " ",
                                                     "\t",
                                                     ":",
                                                     ";",
                                                     ",",
                                                     "0",
                                                     "5",
                                                     "ffffffffffffffff",
                                                     "\0"s,
                                                     "\x7f",
                                                     "\xff",
                                                     "\"",
                                                     "=",
                                                     "0\r\n\r\n",
                                                     "Content-Length: 5\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "Host: h\r\n",
                                                     Next,
                                                     "HTTP/1.1"};
        const std::size_t at = bytes.empty() ? 0 : m_random() % bytes.size();
        switch (m_random() % 5) {
        case 0:
            bytes.insert(at, pick(Pieces));
            break;
        case 1:
            bytes.replace(at, 1, pick(Pieces));
            break;
        case 2:
            bytes.erase(at, 1 + m_random() % 4);
            break;
        case 3:
            bytes.insert(at, pick(m_seeds));
            break;
        default:
            bytes.resize(at);
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::string> m_seeds;
};

/// How many inputs are generated; many more by hand.
std::uint64_t inputs()
{
    const char *const given = std::getenv("PEPPERLUG_INPUTS");
    return given == nullptr ? 5000 : std::strtoull(given, nullptr, 10);
}

template <MessageHead Head>
std::vector<ReadMessage> readStrictly(const std::string &bytes);

template <>
std::vector<ReadMessage> readStrictly<RequestHead>(const std::string &bytes)
{
    return readRequestsStrictly(bytes);
}

template <>
std::vector<ReadMessage> readStrictly<AnswerHead>(const std::string &bytes)
{
    return readAnswerStrictly(bytes);
}

} // namespace

TEMPLATE_TEST_CASE("messages are read as RFC 9112 says, and what is refused names why", "", RequestHead, AnswerHead)
{
    for (const Example &it : examples<TestType>()) {
        INFO(it.name);
        const Account account = readWhole<TestType>(it.bytes);
        INFO(account);
        REQUIRE(account.messages.size() == it.bodies.size());
        for (std::size_t n = 0; n < it.bodies.size(); ++n) {
            CHECK(account.messages[n].body == it.bodies[n]);
        }
        REQUIRE(account.fault.has_value() == (it.status != 0));
        if (account.fault) {
            CHECK(account.fault->status == it.status);
            CHECK(account.fault->reason.find(it.reason) != std::string::npos);
        }
    }
}

// Guards against a reader that stops, or reads something else, where its bytes are split at an unlucky place.
TEMPLATE_TEST_CASE("what is read does not depend on where the bytes are split", "", RequestHead, AnswerHead)
{
    std::mt19937_64 random(75);
    for (const Example &it : examples<TestType>()) {
        INFO(it.name);
        const Account whole = readWhole<TestType>(it.bytes);
        for (std::size_t at = 0; at <= it.bytes.size(); ++at) {
            INFO("split at " << at);
            CHECK(readInTwo<TestType>(it.bytes, at) == whole);
        }
        CHECK(readByteByByte<TestType>(it.bytes) == whole);
        for (int n = 0; n < 20; ++n) {
            CHECK(readInParts<TestType>(it.bytes, random) == whole);
        }
    }
}

// Guards against bytes that are read as one message here and as another one by whoever they are passed on to.
TEMPLATE_TEST_CASE("no generated bytes are read without bound, by their splits, or otherwise than a strict reader does",
                   "", RequestHead, AnswerHead)
{
    Generator<TestType> generator(20261204);
    std::uint64_t agreed = 0;
    for (std::uint64_t n = 0; n < inputs(); ++n) {
        const std::string bytes = generator.next();
        const Account whole = readWhole<TestType>(bytes);
        const Account parts = readInParts<TestType>(bytes, generator.random());
        const std::vector<ReadMessage> strict = readStrictly<TestType>(bytes);
        const std::size_t both = std::min(strict.size(), whole.messages.size());
        const bool isBounded = parts.bodyBytes <= Bounds.bodyBytes && parts.events <= 2 * bytes.size() + 2
            && parts.mostUnread <= Bounds.headBytes + Bounds.framingBytes + FramingPerByte * Bounds.bodyBytes;
        const bool isSame =
            std::equal(strict.begin(), strict.begin() + static_cast<std::ptrdiff_t>(both), whole.messages.begin());
        agreed += both;
        if (!(parts == whole) || !isBounded || !isSame || (whole.fault && whole.fault->reason.empty())) {
            INFO("input " << n << ": " << bytes);
            INFO("whole " << whole << ", in parts " << parts << ", bounded " << isBounded << ", same " << isSame);
            FAIL();
        }
    }
    CHECK(agreed > inputs() / 10);
}
