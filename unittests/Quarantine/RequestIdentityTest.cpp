//===- RequestIdentityTest.cpp - Digests of requests ---------------------------===//
#include "pepperlug/Quarantine.h"

#include <catch2/catch.hpp>

using namespace pepperlug::fleet;

TEST_CASE("the same request has the same digest at every host")
{
    const RequestIdentity identity{"POST", "a.example", "/p/x?q=1", "17", "body"};
    CHECK(digestOf(identity) == digestOf(identity));
    // A fixed value, since it must be the same at other hosts and after a restart.
    CHECK(digestOf(identity) == "94ad74b49a340643230acc8aa8ccf25b");
}

TEST_CASE("requests that differ in one field, or in where a field ends, have different digests")
{
    const RequestIdentity identity{"POST", "a.example", "/p/x?q=1", "17", "body"};
    const std::vector<RequestIdentity> others{
        {"PUT", "a.example", "/p/x?q=1", "17", "body"},  {"POST", "b.example", "/p/x?q=1", "17", "body"},
        {"POST", "a.example", "/p/x?q=2", "17", "body"}, {"POST", "a.example", "/p/x?q=1", "18", "body"},
        {"POST", "a.example", "/p/x?q=1", "17", "bodz"}, {"POST", "a.example", "/p/x?q=1", "1", "7body"},
        {"POST", "a.example", "/p/x?q=1", "", "17body"}, {"POST", "a.example/p", "/x?q=1", "17", "body"},
    };
    for (const RequestIdentity &it : others) {
        CHECK(digestOf(it) != digestOf(identity));
    }
}
