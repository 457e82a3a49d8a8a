//===- QuarantineTest.cpp - Requests that crash targets ---------------------------===//
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

Quarantine quarantineWithCrashes(unsigned count, TimePoint at = Start)
{
    Quarantine quarantine;
    for (unsigned n = 0; n < count; ++n) {
        quarantine.recordCrash(Digest, target(n), at);
    }
    return quarantine;
}

/// Merges all reports of one host into the table of another.
void mergeAll(const Quarantine &from, Quarantine &to, TimePoint now = Start)
{
    for (const SuspectReport &it : from.changedSince(0, UpdateRecipient::ControlHost, now)) {
        to.merge(it, false, now);
    }
}

} // namespace

TEST_CASE("a request is suspected at the second crash and quarantined at the third")
{
    Quarantine quarantine;
    CHECK(quarantine.statusOf(Digest, Start) == QuarantineStatus::Free);
    CHECK(quarantine.recordCrash(Digest, target(1), Start));
    CHECK(quarantine.statusOf(Digest, Start) == QuarantineStatus::Free);
    CHECK_FALSE(quarantine.recordCrash(Digest, target(1), Start + 1s)); // another try was present at the same crash
    CHECK(quarantine.recordCrash(Digest, target(2), Start));
    CHECK(quarantine.statusOf(Digest, Start) == QuarantineStatus::Suspected);
    CHECK(quarantine.recordCrash(Digest, {"i-2", 5ms}, Start)); // the next incarnation under the same id
    CHECK(quarantine.statusOf(Digest, Start) == QuarantineStatus::Quarantined);
    CHECK(quarantine.statusOf("another", Start) == QuarantineStatus::Free);
    CHECK(quarantine.quarantinedCount() == 1);
}

TEST_CASE("crashes that several hosts detected add up, each counted once, in any order of reports")
{
    rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(2, 5);
        std::vector<Quarantine> known(hosts);
        std::set<unsigned> crashed;
        for (const unsigned n : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 5U))) {
            known[*rc::gen::inRange<std::size_t>(0, hosts)].recordCrash(Digest, target(n), Start);
            crashed.insert(n);
            mergeAll(known[*rc::gen::inRange<std::size_t>(0, hosts)], known[*rc::gen::inRange<std::size_t>(0, hosts)]);
        }
        for (std::size_t round = 0; round < 2; ++round) {
            for (std::size_t from = 0; from < hosts; ++from) {
                for (Quarantine &to : known) {
                    mergeAll(known[from], to);
                }
            }
        }
        for (const Quarantine &it : known) {
            RC_ASSERT(it.crashCount(Digest) == crashed.size());
        }
    });
}

TEST_CASE("a report of what is known everywhere is no change, so the exchange of reports terminates")
{
    Quarantine one = quarantineWithCrashes(20);
    Quarantine other = quarantineWithCrashes(20, Start + 1s);
    for (int round = 0; round < 10; ++round) {
        mergeAll(one, other);
        mergeAll(other, one);
    }
    const std::uint64_t before = one.version() + other.version();
    mergeAll(one, other);
    mergeAll(other, one);
    CHECK(one.version() + other.version() == before);
}

TEST_CASE("an answer excuses the crashes before it, at all hosts, and none after it")
{
    Quarantine here = quarantineWithCrashes(3);
    Quarantine there = quarantineWithCrashes(3);
    CHECK(here.recordAnswer(Digest));
    CHECK_FALSE(here.recordAnswer(Digest));
    CHECK(here.statusOf(Digest, Start) == QuarantineStatus::Free);
    mergeAll(here, there);
    CHECK(there.statusOf(Digest, Start) == QuarantineStatus::Free);
    mergeAll(quarantineWithCrashes(3), there); // by a host that has not received the answer
    CHECK(there.statusOf(Digest, Start) == QuarantineStatus::Free);
    for (unsigned n = 10; n < 13; ++n) {
        there.recordCrash(Digest, target(n), Start);
    }
    CHECK(there.statusOf(Digest, Start) == QuarantineStatus::Quarantined);
}

TEST_CASE("entry hosts receive suspected requests, also when they are free again; control hosts receive what they lack")
{
    using Reader = UpdateRecipient;
    Quarantine quarantine = quarantineWithCrashes(1);
    CHECK(quarantine.changedSince(0, Reader::EntryHost, Start).empty());
    CHECK(quarantine.changedSince(0, Reader::ControlHost, Start).size() == 1);
    quarantine.recordCrash(Digest, target(7), Start);
    const std::uint64_t version = quarantine.version();
    CHECK(quarantine.hasChangedSince(0, Reader::EntryHost));
    REQUIRE(quarantine.changedSince(0, Reader::EntryHost, Start).size() == 1);
    CHECK_FALSE(quarantine.hasChangedSince(version, Reader::EntryHost));
    quarantine.recordAnswer(Digest);
    CHECK(quarantine.changedSince(version, Reader::EntryHost, Start).size() == 1);
    // A control host passes what it received from another one on to entry hosts, and to no third control host.
    Quarantine second;
    mergeAll(quarantineWithCrashes(3), second);
    CHECK(second.hasChangedSince(0, Reader::EntryHost));
    CHECK_FALSE(second.hasChangedSince(0, Reader::ControlHost));
    CHECK(second.changedSince(0, Reader::ControlHost, Start).size() == 1); // except to one that has nothing yet
}

TEST_CASE("probes are granted one at a time, at growing delays, and three at most")
{
    Quarantine quarantine = quarantineWithCrashes(3);
    TimePoint now = Start;
    CHECK_FALSE(quarantine.grantProbe(Digest, now + 59s));
    for (const auto pause : {1min, 10min, 100min}) {
        CHECK(quarantine.statusOf(Digest, now + pause - 1s) == QuarantineStatus::Quarantined);
        CHECK(quarantine.timeUntilProbe(Digest, now + pause - 1s) == Duration(1s));
        now += pause;
        REQUIRE(quarantine.statusOf(Digest, now) == QuarantineStatus::ProbeDue);
        CHECK(quarantine.grantProbe(Digest, now));
        CHECK_FALSE(quarantine.grantProbe(Digest, now));
        now += 1s;
        quarantine.recordCrash(Digest, {"of a probe", std::chrono::duration_cast<Milliseconds>(now - Start)}, now);
    }
    CHECK(quarantine.statusOf(Digest, now + 23h) == QuarantineStatus::Quarantined);
    CHECK_FALSE(quarantine.timeUntilProbe(Digest, now));
    quarantine.removeExpired(now + 25h);
    CHECK(quarantine.statusOf(Digest, now + 25h) == QuarantineStatus::Free);
    CHECK(quarantine.size() == 0);
}

TEST_CASE("a probe that was granted elsewhere is known, and no second one is granted")
{
    Quarantine leader = quarantineWithCrashes(3);
    Quarantine next = quarantineWithCrashes(3);
    REQUIRE(leader.grantProbe(Digest, Start + 2min));
    mergeAll(leader, next, Start + 2min);
    CHECK(next.statusOf(Digest, Start + 3min) == QuarantineStatus::Quarantined);
    CHECK_FALSE(next.grantProbe(Digest, Start + 3min));
}

TEST_CASE("a request that was present at one crash expires after minutes, a quarantined one does not")
{
    Quarantine quarantine = quarantineWithCrashes(3);
    quarantine.recordCrash("another", target(1), Start);
    quarantine.removeExpired(Start + 11min);
    CHECK(quarantine.size() == 1);
    CHECK(quarantine.crashCount(Digest) == 3);
}

TEST_CASE("the table is bounded, and quarantined requests stay longest")
{
    Quarantine quarantine = quarantineWithCrashes(3);
    for (unsigned n = 0; n < 5000; ++n) {
        quarantine.recordCrash("other-" + std::to_string(n), target(n / 10), Start + std::chrono::milliseconds(n));
    }
    CHECK(quarantine.size() == 1024);
    CHECK(quarantine.statusOf(Digest, Start) == QuarantineStatus::Quarantined);
    for (unsigned n = 0; n < 100; ++n) {
        quarantine.recordCrash(Digest, target(n), Start + 1s);
    }
    const auto reports = quarantine.changedSince(0, UpdateRecipient::ControlHost, Start + 1s);
    for (const SuspectReport &it : reports) {
        CHECK(it.crashes.size() <= 16);
    }
}
