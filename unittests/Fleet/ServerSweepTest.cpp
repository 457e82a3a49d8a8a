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
    CHECK(sweep.run({&server}, clock.now(), metrics) == 0);
    CHECK_FALSE(has(metrics.text(), "pepperlug_answer_bytes_held 0\n"));
    CHECK(has(metrics.text(), "pepperlug_slow_readers_cut_off 0\n"));
    clock.advance(std::chrono::seconds(31));
    CHECK(sweep.run({&server}, clock.now(), metrics) == 1);
    CHECK(sweep.run({&server}, clock.now(), metrics) == 0);
    clock.advance(std::chrono::seconds(1));
    CHECK(sweep.run({&server}, clock.now(), metrics) == 0);
    CHECK(has(metrics.text(), "pepperlug_answer_bytes_held 0\n"));
    CHECK(has(metrics.text(), "pepperlug_slow_readers_cut_off 1\n"));
    CHECK(has(metrics.text(), "pepperlug_requests_refused_unread 0\n"));
}
