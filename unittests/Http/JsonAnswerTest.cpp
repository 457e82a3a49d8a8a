//===- JsonAnswerTest.cpp - Answers with a JSON body ----------------------===//
#include "pepperlug/Http.h"

#include <catch2/catch.hpp>

using namespace pepperlug;

// Guards against an answer that repeats unreadable text from outside, and ends the process by it.
TEST_CASE("an answer replaces text that is no UTF-8")
{
    const Answer answer = jsonAnswer(400, {{"reason", "unknown zone z\xff"}});
    CHECK(answer.status == 400);
    CHECK(answer.body == "{\"reason\":\"unknown zone z\xef\xbf\xbd\"}\n");
}
