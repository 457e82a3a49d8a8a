//===- SparePlanTest.cpp - Which spare connections to open and close ------===//
#include "Http/SparePlan.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{100s};
const Address Target{"10.0.0.1", 80};
using Addresses = std::vector<Address>;

Addresses addresses(unsigned count)
{
    Addresses list;
    for (unsigned n = 0; n < count; ++n) {
        list.push_back({"10.0.0.1", static_cast<std::uint16_t>(n + 1)});
    }
    return list;
}

} // namespace

// Guards against a second connection next to the one that libcurl keeps.
TEST_CASE("no spare connection is opened within 8 s of a call")
{
    SparePlan plan;
    plan.addUse(Target, Start);
    plan.setWanted({Target});
    CHECK(plan.startDue(Start + 8s - 1ms).empty());
    CHECK(plan.startDue(Start + 8s) == Addresses{Target});
}

// Guards against connections that nobody asked for and against several to one address.
TEST_CASE("an address has one spare connection, as long as it is wanted")
{
    SparePlan plan;
    CHECK(plan.startDue(Start).empty());
    plan.setWanted({Target, Target});
    CHECK(plan.startDue(Start) == Addresses{Target});
    CHECK(plan.startDue(Start).empty());
    plan.setConnected(Target, Start);
    CHECK(plan.startDue(Start).empty());
    CHECK(plan.closeDue(Start).empty());
    plan.setWanted({});
    CHECK(plan.closeDue(Start) == Addresses{Target});
    CHECK(plan.closeDue(Start).empty());
}

// Guards against a request that meets the target's close of an idle connection, 10 s after it was opened.
TEST_CASE("a spare connection is replaced after 8 s")
{
    SparePlan plan;
    plan.setWanted({Target});
    CHECK(plan.startDue(Start) == Addresses{Target});
    plan.setConnected(Target, Start + 100ms);
    CHECK(plan.closeDue(Start + 8s).empty());
    CHECK(plan.closeDue(Start + 8s + 100ms) == Addresses{Target});
    CHECK(plan.startDue(Start + 8s + 100ms) == Addresses{Target});
}

// Guards against a stream of connects to a target that closes or refuses each of them.
TEST_CASE("a lost spare connection is reopened after 1 s at the earliest")
{
    SparePlan plan;
    plan.setWanted({Target});
    CHECK(plan.startDue(Start) == Addresses{Target});
    plan.setLost(Target, Start);
    CHECK(plan.startDue(Start + 1s - 1ms).empty());
    plan.setWanted({});
    CHECK(plan.closeDue(Start + 500ms).empty());
    plan.setWanted({Target});
    CHECK(plan.startDue(Start + 1s - 1ms).empty());
    CHECK(plan.startDue(Start + 1s) == Addresses{Target});
    CHECK(plan.closeDue(Start + 2s - 1ms).empty());
    CHECK(plan.closeDue(Start + 2s) == Addresses{Target});
    CHECK(plan.startDue(Start + 3s - 1ms).empty());
    CHECK(plan.startDue(Start + 3s) == Addresses{Target});
}

// Guards against a connect next to the connection that the call took over.
TEST_CASE("a spare connection that a call took is not replaced while the call's connection is kept")
{
    SparePlan plan;
    plan.setWanted({Target});
    CHECK(plan.startDue(Start) == Addresses{Target});
    plan.setConnected(Target, Start);
    plan.addUse(Target, Start + 1s);
    plan.setTaken(Target);
    CHECK(plan.closeDue(Start + 9s - 1ms).empty());
    CHECK(plan.startDue(Start + 9s - 1ms).empty());
    CHECK(plan.startDue(Start + 9s) == Addresses{Target});
}

// Guards against a burst of connects and against more sockets than the host has room for.
TEST_CASE("20 connects are pending and 300 connections are held at most, the most important ones first")
{
    const Addresses wanted = addresses(310);
    SparePlan plan;
    plan.setWanted(wanted);
    Addresses opened;
    for (int n = 0; n < 20; ++n) {
        const Addresses due = plan.startDue(Start);
        CHECK(due.size() == (n < 15 ? 20U : 0U));
        CHECK(plan.startDue(Start).empty());
        for (const Address &it : due) {
            plan.setConnected(it, Start);
            opened.push_back(it);
        }
    }
    CHECK(opened == Addresses(wanted.begin(), wanted.begin() + 300));
}
