//===- ConnectionTrustTest.cpp - Which kept connections are in doubt ------===//
#include "Http/ConnectionTrust.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{100s};
const Address Target{"10.0.0.1", 80};
const Address Other{"10.0.0.1", 81};
constexpr Duration Long = ConnectionTrust::TrustTime;

} // namespace

// Guards against requests that are lost one after the other on connections that went silent together.
TEST_CASE("a request without a byte of an answer puts the connections to its address in doubt")
{
    ConnectionTrust trust;
    CHECK_FALSE(trust.doubtedBefore(Target, Start));
    CHECK(trust.addUnanswered(Target, Start - 5s, Long, Start));
    CHECK(trust.doubtedBefore(Target, Start) == Start);
    CHECK_FALSE(trust.doubtedBefore(Other, Start));
}

// Guards against new connections for each request that is cancelled early.
TEST_CASE("a request that ends soon after it was sent tells nothing")
{
    ConnectionTrust trust;
    CHECK_FALSE(trust.addUnanswered(Target, Start - 5s, Long - 1ms, Start));
    CHECK_FALSE(trust.doubtedBefore(Target, Start));
}

// Guards against good connections that are given up as the requests on silent ones end one after the other.
TEST_CASE("a silence that was known doesn't put connections made since in doubt")
{
    ConnectionTrust trust;
    CHECK(trust.addUnanswered(Target, Start - 5s, Long, Start));
    CHECK_FALSE(trust.addUnanswered(Target, Start - 1ms, Long, Start + 1s));
    CHECK(trust.doubtedBefore(Target, Start + 1s) == Start);
    CHECK(trust.addUnanswered(Target, Start + 1s, Long, Start + 2s));
    CHECK(trust.doubtedBefore(Target, Start + 2s) == Start + 2s);
}

// Guards against new connections to a target that is only slow, and against trust in the silent ones for the sake of
// one that was made after they went silent.
TEST_CASE("a byte on a connection that is not newer than the silent one ends the doubt")
{
    ConnectionTrust trust;
    trust.addUnanswered(Target, Start - 5s, Long, Start);
    trust.addAnswer(Target, Start - 5s + 1ms);
    trust.addAnswer(Target, Start + 1s);
    trust.addAnswer(Target, std::nullopt);
    trust.addAnswer(Other, Start - 5s);
    CHECK(trust.doubtedBefore(Target, Start) == Start);
    trust.addAnswer(Target, Start - 5s);
    CHECK_FALSE(trust.doubtedBefore(Target, Start));
}

TEST_CASE("a byte doesn't end the doubt if the age of the silent connection is not known")
{
    ConnectionTrust trust;
    trust.addUnanswered(Target, std::nullopt, Long, Start);
    trust.addAnswer(Target, Start - 5s);
    CHECK(trust.doubtedBefore(Target, Start) == Start);
}

// Guards against memory that grows with each target and connection.
TEST_CASE("doubts and uses are forgotten")
{
    ConnectionTrust trust;
    trust.addUse(Target, 1000, Start - 5s, Start);
    trust.addUnanswered(Target, Start - 5s, Long, Start);
    const TimePoint end = Start + ConnectionTrust::DoubtTime;
    trust.expire(end - 1s);
    CHECK(trust.madeAt(Target, 1000) == Start - 5s);
    CHECK(trust.doubtedBefore(Target, end - 1ms) == Start);
    CHECK_FALSE(trust.doubtedBefore(Target, end));
    trust.expire(end);
    CHECK_FALSE(trust.madeAt(Target, 1000));
}

TEST_CASE("connections are told apart by their local ports")
{
    ConnectionTrust trust;
    trust.addUse(Target, 1000, Start, Start);
    trust.addUse(Target, 1001, Start + 1s, Start + 1s);
    trust.addUse(Other, 1000, std::nullopt, Start);
    CHECK(trust.madeAt(Target, 1000) == Start);
    CHECK(trust.madeAt(Target, 1001) == Start + 1s);
    CHECK_FALSE(trust.madeAt(Other, 1000));
    CHECK_FALSE(trust.madeAt(Other, 1001));
    trust.addUse(Target, 1000, Start + 2s, Start + 2s); // the port is used again
    CHECK(trust.madeAt(Target, 1000) == Start + 2s);
}

// Guards against a connection from before the doubt that the library, which counts whole seconds, takes for younger.
TEST_CASE("the lifetime leaves no connection from before the doubt")
{
    CHECK_FALSE(lifetimeSince(Start, Start));
    CHECK_FALSE(lifetimeSince(Start, Start + 1999ms));
    for (const Duration since : {Duration(2s), Duration(2999ms), Duration(3s), Duration(7999ms)}) {
        const auto lifetime = lifetimeSince(Start, Start + since);
        REQUIRE(lifetime);
        CHECK(*lifetime >= 1s);
        // The library uses a connection whose age, cut to whole seconds, is not above the lifetime.
        CHECK(std::chrono::floor<std::chrono::seconds>(since) > *lifetime);
    }
}
