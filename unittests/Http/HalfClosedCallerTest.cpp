//===- HalfClosedCallerTest.cpp - Callers that end their sending side -----===//
//
// The end of a caller's bytes is the only sign that it has left, and a caller that still reads sends the same one. So a
// request that is in progress then counts as left: its target would otherwise go on for callers that are gone.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Http.h"
#include "RawSocket.h"

#include <catch2/catch.hpp>

#include <future>

using namespace pepperlug;

namespace
{

using namespace std::chrono_literals;

const std::string Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto EventTimeout = 10s;

} // namespace

// Guards against an answer that is given and does not reach a caller which only reads from then on.
TEST_CASE("an answer that is given before the end of its caller's bytes is read reaches the caller")
{
    const std::string body(4UL * 1024, 'x');
    const SteadyClock clock;
    HttpServer server({"127.0.0.1", 0}, 1, HttpLimits{}, clock, [&](const HttpExchangePtr &exchange) {
        exchange->respond({200, {}, body});
    });
    RawSocket caller(server.address());
    caller.send(Request + Request);
    caller.endSending();
    const std::string bytes = caller.readToEnd();
    const std::size_t first = bytes.find(body);
    REQUIRE(first != std::string::npos);
    CHECK(bytes.find(body, first + body.size()) != std::string::npos);
}

// Guards against a target that works on for a caller that has left, and against an answer that is recorded as sent
// where nobody can read it.
TEST_CASE("a caller that ends its sending side counts as one that has left")
{
    std::promise<HttpExchangePtr> arrived;
    std::promise<void> departed;
    std::promise<AnswerEnd> ended;
    const SteadyClock clock;
    HttpServer server({"127.0.0.1", 0}, 1, HttpLimits{}, clock, [&](const HttpExchangePtr &exchange) {
        exchange->onDeparture([&] { departed.set_value(); });
        exchange->onEnd([&](const AnswerEnd &it) { ended.set_value(it); });
        arrived.set_value(exchange);
    });
    RawSocket caller(server.address());
    caller.send(Request);
    const HttpExchangePtr exchange = arrived.get_future().get();
    caller.endSending();
    REQUIRE(departed.get_future().wait_for(EventTimeout) == std::future_status::ready);
    exchange->respond({200, {}, "late"});
    CHECK(caller.readToEnd().empty());
    std::future<AnswerEnd> end = ended.get_future();
    REQUIRE(end.wait_for(EventTimeout) == std::future_status::ready);
    CHECK(end.get().cut == AnswerCut::CallerLeft);
}
