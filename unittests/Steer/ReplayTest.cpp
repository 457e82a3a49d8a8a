//===- ReplayTest.cpp - Replay of traces against expected outcomes --------===//
#include "SteerFixture.h"

using namespace pepperlug;

namespace
{

std::vector<std::string> traceOfOneRequest()
{
    SteerSettings settings;
    settings.hostName = "istanbul-b-1";
    settings.ledgerId = "l";
    const TimePoint start(std::chrono::seconds(10));
    const std::string bundle = readFile(std::string(PEPPERLUG_SOURCE_DIR) + "/examples/kemal/bundle.json");
    ConfigApplied config;
    config.index = 1;
    RequestArrived request;
    request.id = makeId<RequestId>(1);
    request.deadline = start + std::chrono::seconds(5);
    return {traceHeader(settings, start),
            traceLine(config, start, bundle),
            traceLine(request, start, bundle),
            R"({"expect":"effect","fields":{"effect":"dispatch","request":1}})",
            traceLine(AttemptEnded{request.id, 0, AttemptResult::Answered, false, nullptr}, start, bundle),
            R"({"expect":"effect","fields":{"effect":"finish","request":1}})",
            R"({"expect":"all-ended"})"};
}

} // namespace

TEST_CASE("a trace is replayed and its expected outcomes are met")
{
    CHECK(replayTrace(traceOfOneRequest(), "t") == 3);
}

TEST_CASE("the first outcome that is not met is reported with its line")
{
    std::vector<std::string> lines = traceOfOneRequest();
    lines.insert(lines.begin() + 2, R"({"always":{"service":"catalogue","field":"committed","at_most":0}})");
    CHECK_THROWS_WITH(replayTrace(lines, "t.trace"),
                      Catch::Contains("t.trace:4") && Catch::Contains("committed is 1, more than 0"));
    lines = traceOfOneRequest();
    lines.erase(lines.begin() + 4, lines.begin() + 6);
    CHECK_THROWS_WITH(replayTrace(lines, "t"), Catch::Contains("never ended"));
    lines = traceOfOneRequest();
    lines[3] = R"({"expect":"no-effect","fields":{"effect":"dispatch"}})";
    CHECK_THROWS_WITH(replayTrace(lines, "t"), Catch::Contains("t:4"));
}

TEST_CASE("malformed lines are rejected")
{
    for (const char *bad : {"{", R"({"event":"nothing","at":1})", R"({"other":1})", R"({"expect":"what"})"}) {
        std::vector<std::string> lines = traceOfOneRequest();
        lines.emplace_back(bad);
        CHECK_THROWS_AS(replayTrace(lines, "t"), Error);
    }
    CHECK_THROWS_WITH(replayTrace({R"({"event":"tick","at":1})"}, "t"), Catch::Contains("settings"));
}
