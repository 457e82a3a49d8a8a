//===- RegistryTest.cpp - Late, repeated and lost reports -----------------===//
#include "pepperlug/Registry.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);

TargetReport report(const std::string &id, std::uint64_t sequence, Presence presence = Presence::Ready)
{
    return {id, "s", "10.0.0.1:80", "z1", 4, presence, 0ms, sequence};
}

Presence presenceOf(const Registry &registry, const std::string &id)
{
    return registry.target(id)->report.presence;
}

} // namespace

TEST_CASE("a late report does not undo a drain")
{
    Registry registry;
    registry.receive(report("a", 5, Presence::Draining), Start);
    CHECK_FALSE(registry.receive(report("a", 4), Start + 1s));
    CHECK(presenceOf(registry, "a") == Presence::Draining);
}

TEST_CASE("an end is final, whatever number it came with")
{
    Registry registry;
    registry.receive(report("a", 9), Start);
    registry.receive(report("a", 2, Presence::Gone), Start);
    CHECK_FALSE(registry.receive(report("a", 10), Start + 1s));
    CHECK(presenceOf(registry, "a") == Presence::Gone);
}

TEST_CASE("an address that another incarnation reports is no longer the old one's")
{
    Registry registry;
    registry.receive(report("a", 1), Start);
    registry.receive(report("b", 1), Start + 1s);
    CHECK(presenceOf(registry, "a") == Presence::Gone);
    CHECK(presenceOf(registry, "b") == Presence::Ready);
}

TEST_CASE("silence is judged only by a host that may judge, and ends with the next report")
{
    Registry registry;
    registry.receive(report("a", 1), Start);
    registry.expire(Start + 20s, false);
    CHECK_FALSE(registry.target("a")->isSilent);
    registry.expire(Start + 20s, true);
    CHECK(registry.target("a")->isSilent);
    const std::uint64_t version = registry.version();
    registry.receive(report("a", 2), Start + 21s);
    CHECK_FALSE(registry.target("a")->isSilent);
    CHECK(registry.changedSince(version, Start + 21s).targets.size() == 1);
}

TEST_CASE("refreshes are told to control hosts only")
{
    Registry registry;
    registry.receive(report("a", 1), Start);
    const std::uint64_t version = registry.version();
    registry.receive(report("a", 2), Start + 1s);
    CHECK(registry.changedSince(version, Start + 1s).empty());
    CHECK(registry.heardSince(version, Start + 1s).targets.size() == 1);
}

TEST_CASE("what was passed on is not passed on again, but for a host that has nothing")
{
    Registry author;
    author.receive(report("a", 1), Start);
    Registry other;
    other.receive(report("b", 1), Start);
    const std::uint64_t version = other.version();
    other.merge(author.heardSince(0, Start), Start);
    CHECK(other.heardSince(version, Start).empty());
    CHECK(other.heardSince(0, Start).targets.size() == 2);
}

TEST_CASE("an age travels with a report")
{
    Registry author;
    author.receive(report("a", 1), Start);
    Registry other;
    other.merge(author.heardSince(0, Start + 5s), Start + 5s);
    other.expire(Start + 7s, true);
    CHECK(other.target("a")->isSilent);
}

TEST_CASE("tables that heard the same reports in any order agree")
{
    rc::check([] {
        const auto sequences = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(1, 5));
        Registry forwards;
        Registry backwards;
        for (std::size_t n = 0; n < sequences.size(); ++n) {
            // One author never gives two different reports the same number.
            const auto of = [&](std::size_t k) {
                const int sequence = sequences[k];
                return report("a", static_cast<std::uint64_t>(sequence),
                              sequence >= 3 ? Presence::Draining : Presence::Ready);
            };
            forwards.receive(of(n), Start);
            backwards.receive(of(sequences.size() - 1 - n), Start);
        }
        RC_ASSERT(presenceOf(forwards, "a") == presenceOf(backwards, "a"));
        RC_ASSERT(forwards.target("a")->report.sequence == backwards.target("a")->report.sequence);
    });
}
