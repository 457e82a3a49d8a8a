//===- ServerSweepTest.cpp - Slow readers in the metrics of a host --------===//
#include "../../lib/Fleet/ServerSweep.h"
#include "../Http/RawSocket.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against hosts that never apply the time limits of their servers, and against cut-offs that no operator sees.
TEST_CASE("a sweep cuts off callers that read nothing, and counts them once")
{
    constexpr std::size_t Large = 16UL << 20;
    ManualClock clock;
    Metrics metrics;
    HttpServer server({"127.0.0.1", 0}, 1, {}, clock, [](const HttpExchangePtr &exchange) {
        exchange->respond({200, {}, std::string(Large, 'x')});
    });
    RawSocket silent(server.address());
    silent.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int n = 0; n < 500 && server.stats().heldBytes == 0; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    REQUIRE(server.stats().heldBytes > 0);
    ServerSweep sweep;
    CHECK(sweep.run({&server}, clock.now(), metrics).cutOff == 0);
    CHECK_FALSE(has(metrics.text(), "pepperlug_answer_bytes_held 0\n"));
    CHECK(has(metrics.text(), "pepperlug_slow_readers_cut_off 0\n"));
    clock.advance(std::chrono::seconds(31));
    CHECK(sweep.run({&server}, clock.now(), metrics).cutOff == 1);
    CHECK(sweep.run({&server}, clock.now(), metrics).cutOff == 0);
    clock.advance(std::chrono::seconds(1));
    CHECK(sweep.run({&server}, clock.now(), metrics).cutOff == 0);
    CHECK(has(metrics.text(), "pepperlug_answer_bytes_held 0\n"));
    CHECK(has(metrics.text(), "pepperlug_slow_readers_cut_off 1\n"));
    CHECK(has(metrics.text(), "pepperlug_requests_refused_unread 0\n"));
}

// Guards against a handler that throws and ends the process, or fails unseen.
TEST_CASE("a request whose handler throws is answered 500 and reported, and others are served")
{
    ManualClock clock;
    Metrics metrics;
    HttpServer server({"127.0.0.1", 0}, 1, {}, clock, [](const HttpExchangePtr &exchange) {
        if (exchange->request().path() == "/throws") {
            throw std::runtime_error("no such thing \xff");
        }
        exchange->respond({200, {}, "served"});
    });
    RawSocket caller(server.address());
    caller.send("GET /throws HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string answers = caller.readToEnd();
    CHECK(answers.starts_with("HTTP/1.1 500 "));
    CHECK(has(answers, "served"));
    ServerSweep sweep;
    const ServerSweep::Findings found = sweep.run({&server}, clock.now(), metrics);
    CHECK(found.failures == 1);
    CHECK(found.lastFailure == "/throws: no such thing ?");
    CHECK(has(metrics.text(), "pepperlug_failed_handlings 1\n"));
}
