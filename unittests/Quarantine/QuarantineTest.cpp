//===- QuarantineTest.cpp - Requests that end the targets which run them ----------===//
#include "pepperlug/Quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{1000s};
const std::string Digest = "d";

Incarnation target(unsigned n)
{
    return {"i-" + std::to_string(n), 0ms};
}

Quarantine withEnds(unsigned count, TimePoint at = Start)
{
    Quarantine quarantine;
    for (unsigned n = 0; n < count; ++n) {
        quarantine.noteEnd(Digest, target(n), at);
    }
    return quarantine;
}

/// Everything that one host knows goes to another one.
void tellAll(const Quarantine &from, Quarantine &to, TimePoint now = Start)
{
    for (const SuspectReport &it : from.changedSince(0, UpdateRecipient::ControlHost, now)) {
        to.merge(it, false, now);
    }
}

} // namespace

TEST_CASE("a request is suspected at the second end under it and shut out at the third")
{
    Quarantine quarantine;
    CHECK(quarantine.standing(Digest, Start) == Standing::Free);
    CHECK(quarantine.noteEnd(Digest, target(1), Start));
    CHECK(quarantine.standing(Digest, Start) == Standing::Free);
    CHECK_FALSE(quarantine.noteEnd(Digest, target(1), Start + 1s)); // another try of it was at the same end
    CHECK(quarantine.noteEnd(Digest, target(2), Start));
    CHECK(quarantine.standing(Digest, Start) == Standing::Suspected);
    CHECK(quarantine.noteEnd(Digest, {"i-2", 5ms}, Start)); // the next life under the same id
    CHECK(quarantine.standing(Digest, Start) == Standing::ShutOut);
    CHECK(quarantine.standing("another", Start) == Standing::Free);
    CHECK(quarantine.shutOut() == 1);
}

TEST_CASE("ends that several hosts saw add up, each once, in whatever order they are told")
{
    rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(2, 5);
        std::vector<Quarantine> known(hosts);
        std::set<unsigned> ended;
        for (const unsigned n : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 5U))) {
            known[*rc::gen::inRange<std::size_t>(0, hosts)].noteEnd(Digest, target(n), Start);
            ended.insert(n);
            tellAll(known[*rc::gen::inRange<std::size_t>(0, hosts)], known[*rc::gen::inRange<std::size_t>(0, hosts)]);
        }
        for (std::size_t round = 0; round < 2; ++round) {
            for (std::size_t from = 0; from < hosts; ++from) {
                for (Quarantine &to : known) {
                    tellAll(known[from], to);
                }
            }
        }
        for (const Quarantine &it : known) {
            RC_ASSERT(it.endsUnder(Digest) == ended.size());
        }
    });
}

TEST_CASE("what is known everywhere already is no change, so telling it ends")
{
    Quarantine one = withEnds(20);
    Quarantine other = withEnds(20, Start + 1s);
    for (int round = 0; round < 10; ++round) {
        tellAll(one, other);
        tellAll(other, one);
    }
    const std::uint64_t before = one.version() + other.version();
    tellAll(one, other);
    tellAll(other, one);
    CHECK(one.version() + other.version() == before);
}

TEST_CASE("an answer excuses the ends before it, at all hosts, and none after it")
{
    Quarantine here = withEnds(3);
    Quarantine there = withEnds(3);
    CHECK(here.noteAnswer(Digest));
    CHECK_FALSE(here.noteAnswer(Digest));
    CHECK(here.standing(Digest, Start) == Standing::Free);
    tellAll(here, there);
    CHECK(there.standing(Digest, Start) == Standing::Free);
    tellAll(withEnds(3), there); // by a host that has not heard of the answer
    CHECK(there.standing(Digest, Start) == Standing::Free);
    for (unsigned n = 10; n < 13; ++n) {
        there.noteEnd(Digest, target(n), Start);
    }
    CHECK(there.standing(Digest, Start) == Standing::ShutOut);
}

TEST_CASE(
    "entry hosts are told of what is suspected, also that it is free again; control hosts of what they have not seen")
{
    using Reader = UpdateRecipient;
    Quarantine quarantine = withEnds(1);
    CHECK(quarantine.changedSince(0, Reader::EntryHost, Start).empty());
    CHECK(quarantine.changedSince(0, Reader::ControlHost, Start).size() == 1);
    quarantine.noteEnd(Digest, target(7), Start);
    const std::uint64_t version = quarantine.version();
    CHECK(quarantine.hasChangedSince(0, Reader::EntryHost));
    REQUIRE(quarantine.changedSince(0, Reader::EntryHost, Start).size() == 1);
    CHECK_FALSE(quarantine.hasChangedSince(version, Reader::EntryHost));
    quarantine.noteAnswer(Digest);
    CHECK(quarantine.changedSince(version, Reader::EntryHost, Start).size() == 1);
    // What a control host was told by another one it tells entry hosts, and no third one.
    Quarantine second;
    tellAll(withEnds(3), second);
    CHECK(second.hasChangedSince(0, Reader::EntryHost));
    CHECK_FALSE(second.hasChangedSince(0, Reader::ControlHost));
    CHECK(second.changedSince(0, Reader::ControlHost, Start).size() == 1); // but whoever knows nothing
}

TEST_CASE("trials come one at a time, at growing pauses, and three at most")
{
    Quarantine quarantine = withEnds(3);
    TimePoint now = Start;
    CHECK_FALSE(quarantine.grantTrial(Digest, now + 59s));
    for (const auto pause : {1min, 10min, 100min}) {
        CHECK(quarantine.standing(Digest, now + pause - 1s) == Standing::ShutOut);
        CHECK(quarantine.untilTrial(Digest, now + pause - 1s) == Duration(1s));
        now += pause;
        REQUIRE(quarantine.standing(Digest, now) == Standing::TrialDue);
        CHECK(quarantine.grantTrial(Digest, now));
        CHECK_FALSE(quarantine.grantTrial(Digest, now));
        now += 1s;
        quarantine.noteEnd(Digest, {"of a trial", std::chrono::duration_cast<Milliseconds>(now - Start)}, now);
    }
    CHECK(quarantine.standing(Digest, now + 23h) == Standing::ShutOut);
    CHECK_FALSE(quarantine.untilTrial(Digest, now));
    quarantine.forget(now + 25h);
    CHECK(quarantine.standing(Digest, now + 25h) == Standing::Free);
    CHECK(quarantine.size() == 0);
}

TEST_CASE("a trial that was granted elsewhere is known, and none is granted beside it")
{
    Quarantine leader = withEnds(3);
    Quarantine next = withEnds(3);
    REQUIRE(leader.grantTrial(Digest, Start + 2min));
    tellAll(leader, next, Start + 2min);
    CHECK(next.standing(Digest, Start + 3min) == Standing::ShutOut);
    CHECK_FALSE(next.grantTrial(Digest, Start + 3min));
}

TEST_CASE("a request under which one target ended is forgotten after a while, one that is shut out is not")
{
    Quarantine quarantine = withEnds(3);
    quarantine.noteEnd("another", target(1), Start);
    quarantine.forget(Start + 11min);
    CHECK(quarantine.size() == 1);
    CHECK(quarantine.endsUnder(Digest) == 3);
}

TEST_CASE("what is kept is bounded, and what is shut out stays longest")
{
    Quarantine quarantine = withEnds(3);
    for (unsigned n = 0; n < 5000; ++n) {
        quarantine.noteEnd("other-" + std::to_string(n), target(n / 10), Start + std::chrono::milliseconds(n));
    }
    CHECK(quarantine.size() == 1024);
    CHECK(quarantine.standing(Digest, Start) == Standing::ShutOut);
    for (unsigned n = 0; n < 100; ++n) {
        quarantine.noteEnd(Digest, target(n), Start + 1s);
    }
    const auto reports = quarantine.changedSince(0, UpdateRecipient::ControlHost, Start + 1s);
    for (const SuspectReport &it : reports) {
        CHECK(it.ends.size() <= 16);
    }
}
