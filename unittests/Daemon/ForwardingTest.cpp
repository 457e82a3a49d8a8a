//===- ForwardingTest.cpp - Requests between entry hosts of a bundle ------===//
#include "Daemon/Forwarding.h"

#include <catch2/catch.hpp>

using namespace pepperlug;

// Guards against a forwarded request that runs twice since the receiver's bundle allows what the sender's did not.
TEST_CASE("a forwarded request is repeated only if the bundles of both hosts allow it")
{
    ForwardCall call;
    CHECK(classOfForwarded(call, RouteClass::Read) == RouteClass::Read); // a sender of an earlier version
    for (const bool mayRepeat : {true, false}) {
        call.mayRepeat = mayRepeat;
        const auto received = decode<ForwardCall>(encode(call), "p");
        CHECK(classOfForwarded(received, RouteClass::Read) == (mayRepeat ? RouteClass::Read : RouteClass::Plain));
        CHECK(classOfForwarded(received, RouteClass::Plain) == RouteClass::Plain);
        CHECK(classOfForwarded(received, RouteClass::Once) == RouteClass::Once);
    }
}

// Guards against a status that is none in an answer to a caller.
TEST_CASE("a reply of another entry host holds an answer only with a status of a whole answer")
{
    const auto replyWith = [](unsigned status) {
        ForwardReply reply;
        reply.answered = true;
        reply.status = status;
        reply.headers = {{"A", "b"}};
        reply.body = "ok";
        return reply;
    };
    for (const unsigned status : {0U, 20U, 99U, 100U, 101U, 199U, 600U, 1000U}) {
        CHECK_FALSE(answerIn(replyWith(status)).has_value());
    }
    for (const unsigned status : {200U, 304U, 404U, 503U, 599U}) {
        const std::optional<Answer> answer = answerIn(replyWith(status));
        REQUIRE(answer.has_value());
        CHECK(answer->status == status);
        CHECK(answer->body == "ok");
        CHECK(answer->headers == std::vector<HeaderField>{{"A", "b"}});
    }
}
