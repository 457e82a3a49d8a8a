//===- HttpClientTest.cpp - What is known of a request to a target --------===//
#include "ClientCalls.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::test;

TEST_CASE("no connection means that nothing was sent")
{
    Address closed;
    {
        const RawServer server({});
        closed = server.address();
    }
    HttpClient client(MaxAnswerBytes);
    const HttpResult result = callAndWait(client, callTo(closed, "POST"));
    CHECK(result.kind == HttpResult::Kind::NotSent);
    CHECK(result.isRefused);
    CHECK_FALSE(result.isConnectionLost);
}

TEST_CASE("a connection that closes without an answer means that it may have been sent")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
    }});
    HttpClient client(MaxAnswerBytes);
    const HttpResult result = callAndWait(client, callTo(server.address(), "POST"));
    CHECK(result.kind == HttpResult::Kind::Broken);
    CHECK(result.isConnectionLost);
    CHECK_FALSE(result.isRefused);
}

TEST_CASE("a target that ends under a request on a kept connection is told from one that is only late")
{
    HttpClient client(MaxAnswerBytes);
    HttpResult result;
    {
        const RawServer server({[](RawServer::Socket &socket) {
            RawServer::readRequest(socket);
            RawServer::send(socket, Answer200);
            RawServer::readRequest(socket);
        }});
        CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Answered);
        result = callAndWait(client, callTo(server.address(), "POST"));
    }
    CHECK(result.kind == HttpResult::Kind::Broken);
    CHECK(result.isConnectionLost);
    std::promise<void> isOver;
    const RawServer silent({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        isOver.get_future().wait();
    }});
    HttpCall late = callTo(silent.address(), "POST");
    late.timeout = std::chrono::milliseconds(200);
    result = callAndWait(client, std::move(late));
    isOver.set_value();
    CHECK(result.timedOut);
    CHECK_FALSE(result.isConnectionLost);
}

TEST_CASE("an answer that is cut in its body is no answer")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
    }});
    HttpClient client(MaxAnswerBytes);
    CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Broken);
}

TEST_CASE("a request on a kept connection that the target closes is not sent again, unless it may be")
{
    for (const bool mayRepeat : {false, true}) {
        std::atomic<int> seen{0};
        const auto take = [&seen](RawServer::Socket &socket) {
            seen += RawServer::readRequest(socket).empty() ? 0 : 1; // a connection alone is no request
        };
        const auto first = [take](RawServer::Socket &socket) {
            take(socket);
            RawServer::send(socket, Answer200);
            take(socket); // takes the second request, runs it, and closes without a word
        };
        const auto second = [take](RawServer::Socket &socket) {
            take(socket);
            RawServer::send(socket, Answer200);
        };
        HttpClient client(MaxAnswerBytes);
        {
            const RawServer server({first, second}); // the second one counts what must not come
            CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Answered);
            HttpCall again = callTo(server.address(), mayRepeat ? "GET" : "POST");
            again.mayRepeat = mayRepeat;
            const HttpResult result = callAndWait(client, std::move(again));
            CHECK(result.kind == (mayRepeat ? HttpResult::Kind::Answered : HttpResult::Kind::Broken));
        }
        CHECK(seen == (mayRepeat ? 3 : 2));
    }
}

TEST_CASE("chunked answers, repeated headers and empty values come whole")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket,
                        "HTTP/1.1 201 Created\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Empty:\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    }});
    HttpClient client(MaxAnswerBytes);
    const HttpResult result = callAndWait(client, callTo(server.address()));
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.status == 201);
    CHECK(result.answer.body == "abcdefg");
    REQUIRE(result.answer.headers.size() == 4);
    CHECK(result.answer.headers[1].value == "b=2");
    CHECK(result.answer.headers[2].value.empty());
}

TEST_CASE("the request is sent as given, with nothing added")
{
    std::promise<std::string> seen;
    const RawServer server({[&seen](RawServer::Socket &socket) {
        seen.set_value(RawServer::readRequest(socket, 4));
        RawServer::send(socket, Answer200);
    }});
    HttpClient client(MaxAnswerBytes);
    HttpCall it = callTo(server.address(), "PATCH");
    it.resource = "/a/../b?q=%2F&q=2";
    it.headers = {{"Host", "service.example"}, {"X-One", "1"}, {"X-None", ""}};
    it.body = std::make_shared<const std::string>("body");
    callAndWait(client, std::move(it));
    const std::string bytes = seen.get_future().get();
    CHECK(bytes.starts_with("PATCH /a/../b?q=%2F&q=2 HTTP/1.1\r\n"));
    CHECK(bytes.find("Host: service.example\r\n") != std::string::npos);
    CHECK(bytes.find("X-None:\r\n") != std::string::npos);
    CHECK(bytes.ends_with("\r\n\r\nbody"));
    for (const char *added : {"User-Agent", "Accept", "Content-Type", "Expect"}) {
        CHECK(bytes.find(added) == std::string::npos);
    }
}

TEST_CASE("an answer past the limit is given up, a timeout breaks the call, a cancelled call says nothing")
{
    const RawServer server(
        {[](RawServer::Socket &socket) {
             RawServer::readRequest(socket);
             RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + std::string(2000000, 'x'));
         },
         [](RawServer::Socket &socket) {
             RawServer::readRequest(socket);
             RawServer::readRequest(socket); // until the caller gives up
         },
         [](RawServer::Socket &socket) {
             RawServer::readRequest(socket);
             RawServer::readRequest(socket);
         }});
    HttpClient client(MaxAnswerBytes);
    CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::TooLarge);
    HttpCall hurried = callTo(server.address());
    hurried.timeout = Milliseconds(50);
    const HttpResult late = callAndWait(client, std::move(hurried));
    CHECK(late.kind == HttpResult::Kind::Broken);
    std::atomic<bool> wasCalled{false};
    const HttpCallId id =
        client.start(callTo(server.address()), [&wasCalled](const HttpResult &) { wasCalled = true; });
    client.cancel(id);
    client.stop();
    CHECK_FALSE(wasCalled);
}

TEST_CASE("the answer to HEAD has its length and no body")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
    }});
    HttpClient client(MaxAnswerBytes);
    const HttpResult result = callAndWait(client, callTo(server.address(), "HEAD"));
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.body.empty());
    CHECK(result.answer.headers[0].value == "77");
}

TEST_CASE("a request that could not be sent in time, or was withdrawn before, is not sent any more")
{
    HttpCall late;
    late.sendWithin = Duration(0);
    HttpCall withdrawn;
    withdrawn.maySend = [] {
        return false;
    };
    for (const HttpCall &it : {late, withdrawn}) {
        std::atomic<int> seen{0};
        const RawServer server({[&seen](RawServer::Socket &socket) {
            seen += RawServer::readRequest(socket).empty() ? 0 : 1;
        }});
        HttpClient client(MaxAnswerBytes);
        HttpCall toServer = callTo(server.address(), "POST");
        toServer.sendWithin = it.sendWithin;
        toServer.maySend = it.maySend;
        const HttpResult result = callAndWait(client, toServer);
        CHECK(result.kind == HttpResult::Kind::NotSent);
        CHECK(result.isWithdrawn == (it.maySend != nullptr));
        CHECK(seen == 0);
    }
}

TEST_CASE("an answer whose head is not accepted is no answer, and its connection is not used again")
{
    const auto answer = [](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, Answer200);
    };
    const RawServer server({answer, answer});
    HttpClient client(MaxAnswerBytes);
    HttpCall refused = callTo(server.address());
    refused.acceptsHead = [](const std::vector<HeaderField> &) {
        return false;
    };
    CHECK(callAndWait(client, refused).kind == HttpResult::Kind::Broken);
    CHECK(callAndWait(client, callTo(server.address())).kind == HttpResult::Kind::Answered);
}

namespace
{

/// Collects a large answer while it arrives.
struct LargeAnswer {
    void addTo(HttpCall &call)
    {
        call.onLargeHead = [this](const Answer &answer, std::uint64_t bytes) {
            head = answer;
            length = bytes;
            return isWanted;
        };
        call.onPart = [this](std::string_view part) {
            body += part;
        };
    }

    bool isWanted = true;
    Answer head;
    std::uint64_t length = 0;
    std::string body;
};

std::string largeAnswer(std::size_t promised, std::size_t sent)
{
    return "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: " + std::to_string(promised) + "\r\n\r\n"
        + std::string(sent, 'x');
}

constexpr std::size_t Large = 100000;

} // namespace

TEST_CASE("a large answer is passed on while it arrives")
{
    std::promise<void> mayGoOn;
    const RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, largeAnswer(Large, Large / 2));
        mayGoOn.get_future().wait();
        RawServer::send(socket, std::string(Large / 2, 'x'));
    }});
    HttpClient client(MaxAnswerBytes);
    LargeAnswer large;
    HttpCall get = callTo(server.address());
    large.addTo(get);
    // The target sends the second half only once the first part was passed on.
    get.onPart = [&, isFirst = true](std::string_view part) mutable {
        large.body += part;
        if (std::exchange(isFirst, false)) {
            mayGoOn.set_value();
        }
    };
    const HttpResult result = callAndWait(client, std::move(get));
    CHECK(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.body.empty());
    CHECK(large.length == Large);
    CHECK(large.head.status == 200);
    CHECK(large.body == std::string(Large, 'x'));
}

TEST_CASE("a large answer that is cut, or not wanted in parts, or whose head is not accepted")
{
    const auto whole = [](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, largeAnswer(Large, Large));
    };
    const auto cut = [](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, largeAnswer(Large, Large - 1));
    };
    const RawServer server({cut, whole, whole});
    HttpClient client(MaxAnswerBytes);
    LargeAnswer large;
    HttpCall get = callTo(server.address());
    large.addTo(get);
    CHECK(callAndWait(client, get).kind == HttpResult::Kind::Broken);

    large.isWanted = false;
    large.body.clear();
    const HttpResult result = callAndWait(client, get);
    CHECK(result.answer.body.size() == Large);
    CHECK(large.body.empty());

    large = {};
    get.acceptsHead = [](const std::vector<HeaderField> &) {
        return false;
    };
    CHECK(callAndWait(client, get).kind == HttpResult::Kind::Broken);
    CHECK(large.length == 0);
}

TEST_CASE("the answer to HEAD is never large")
{
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, largeAnswer(Large, 0));
    }});
    HttpClient client(MaxAnswerBytes);
    LargeAnswer large;
    HttpCall head = callTo(server.address(), "HEAD");
    large.addTo(head);
    CHECK(callAndWait(client, head).kind == HttpResult::Kind::Answered);
    CHECK(large.length == 0);
}

TEST_CASE("large answers come whole also where their bytes a second are bounded")
{
    const auto whole = [](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, largeAnswer(Large, Large));
    };
    const RawServer server({whole, whole});
    HttpClient client(MaxAnswerBytes, 20 * Large);
    for (int n = 0; n < 2; ++n) {
        LargeAnswer large;
        HttpCall get = callTo(server.address());
        large.addTo(get);
        CHECK(callAndWait(client, get).kind == HttpResult::Kind::Answered);
        CHECK(large.body.size() == Large);
    }
}

// Seen: hosts ended with a damaged heap while a large answer came. The library allots its read buffer before it has a
// connection, and keeps it where the transfer ends without one; the next user of the handle is then refused the length
// that it asks for, and up to 16 KB are read into a buffer of 8 KB.
TEST_CASE("a call that failed before it had a connection does not change how much the next one reads at once")
{
    constexpr std::size_t BoundedRead = 8 * 1024;
    const RawServer server({[](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        RawServer::send(socket, largeAnswer(Large, Large));
    }});
    HttpClient client(MaxAnswerBytes, 100 * Large);
    HttpCall malformed = callTo(server.address());
    malformed.resource = "/a b";
    CHECK(callAndWait(client, malformed).kind == HttpResult::Kind::NotSent);
    LargeAnswer large;
    HttpCall get = callTo(server.address());
    large.addTo(get);
    std::size_t longestPart = 0;
    get.onPart = [&](std::string_view part) {
        longestPart = std::max(longestPart, part.size());
    };
    CHECK(callAndWait(client, get).kind == HttpResult::Kind::Answered);
    CHECK(longestPart <= BoundedRead);
}

TEST_CASE("a connection alone tells whether anything listens, and sends nothing")
{
    std::atomic<std::size_t> bytes{0};
    Address address;
    HttpClient client(MaxAnswerBytes);
    {
        const RawServer server({[&](RawServer::Socket &socket) {
            bytes = RawServer::readRequest(socket).size();
        }});
        address = server.address();
        HttpCall check = callTo(address);
        check.connectsOnly = true;
        const HttpResult result = callAndWait(client, std::move(check));
        CHECK(result.kind == HttpResult::Kind::Answered);
        CHECK_FALSE(result.isRefused);
    }
    CHECK(bytes == 0);
    HttpCall check = callTo(address);
    check.connectsOnly = true;
    const HttpResult result = callAndWait(client, std::move(check));
    CHECK(result.isRefused);
}

// Guards against request bodies that stay in memory for as long as a target does not read them.
TEST_CASE("a body that its target does not read is released when the time of the request is over")
{
    std::promise<void> end;
    RawServer server({[&](RawServer::Socket &socket) {
        RawServer::readRequest(socket);
        end.get_future().wait();
    }});
    HttpClient client(1 << 20);
    std::promise<HttpResult> result;
    HttpCall call;
    call.to = server.address();
    call.method = "POST";
    call.resource = "/slow";
    call.body = std::make_shared<const std::string>(16UL << 20, 'b');
    call.timeout = std::chrono::milliseconds(300);
    const std::weak_ptr<const std::string> body = call.body;
    const auto start = std::chrono::steady_clock::now();
    client.start(std::move(call), [&](HttpResult it) { result.set_value(std::move(it)); });
    const HttpResult it = result.get_future().get();
    const auto took = std::chrono::steady_clock::now() - start;
    CHECK(it.kind == HttpResult::Kind::Broken);
    CHECK(it.timedOut);
    CHECK(took >= std::chrono::milliseconds(300));
    CHECK(took < std::chrono::seconds(3));
    for (int n = 0; n < 300 && !body.expired(); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(body.expired());
    end.set_value();
}
