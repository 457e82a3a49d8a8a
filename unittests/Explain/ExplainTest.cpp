//===- ExplainTest.cpp - The walks of OPERATIONS.md over recorded lines ---===//
#include "pepperlug/Explain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace pepperlug;

namespace
{

std::vector<std::string> recordedLines()
{
    std::istringstream text(readFile(std::string(PEPPERLUG_SOURCE_DIR) + "/test/logs/entry-hosts.log"));
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);) {
        lines.push_back(line);
    }
    return lines;
}

const ExplainedStep &firstTroubleOf(const Explanation &explanation)
{
    REQUIRE(explanation.firstTrouble.has_value());
    return explanation.steps[*explanation.firstTrouble];
}

} // namespace

TEST_CASE("a refusal for load is one line that says so")
{
    const Explanation it = explainRequest("1d76dfe9300a074a", recordedLines());
    REQUIRE(it.steps.size() == 1);
    CHECK(firstTroubleOf(it).what == "refused");
    CHECK(firstTroubleOf(it).details.find("reason=overloaded") != std::string::npos);
}

TEST_CASE("a lost request leads to the attempt that was lost, and why")
{
    const Explanation it = explainRequest("344be24226f3b409", recordedLines());
    CHECK(it.steps.front().what == "attempt");
    CHECK(firstTroubleOf(it).what == "attempt-ended");
    CHECK(firstTroubleOf(it).details.find("Couldn't connect to server") != std::string::npos);
    CHECK(it.steps.back().what == "refused");
}

TEST_CASE("a request that ran out of time has an attempt without an end")
{
    const Explanation it = explainRequest("191dfed1e04facca", recordedLines());
    REQUIRE(it.steps.size() == 2);
    CHECK(firstTroubleOf(it).what == "refused");
    CHECK((firstTroubleOf(it).at - it.steps.front().at) == Milliseconds(1787));
}

TEST_CASE("what was believed of the request's target is told beside it, whatever the order of the lines")
{
    const std::string attempt =
        R"(x {"at_ms":2000,"kind":"decision","what":"attempt","request":"q","target":"t","process":"e"})";
    const std::string ended =
        R"({"at_ms":2500,"kind":"decision","what":"attempt-ended","request":"q","target":"t","outcome":"lost","process":"e"})";
    const std::string drain =
        R"({"at_ms":1900,"kind":"state","what":"target","target":"t","presence":"draining","process":"c"})";
    const std::string other =
        R"({"at_ms":1900,"kind":"state","what":"target","target":"u","presence":"draining","process":"c"})";
    const Explanation it = explainRequest("q", {ended, other, "no json", attempt, drain});
    REQUIRE(it.steps.size() == 3);
    CHECK(it.steps[0].process == "c");
    CHECK(it.firstTrouble == 0U);
    CHECK(textOf(it).find("went wrong") != std::string::npos);
}

TEST_CASE("an id that no line bears is said so")
{
    CHECK(textOf(explainRequest("none", recordedLines())) == "no line bears this id\n");
}
