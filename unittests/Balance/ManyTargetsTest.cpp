//===- ManyTargetsTest.cpp - Work of an entry host at scale ---------------===//
//
// Work is counted in targets that are visited, at one size and at twice the size.
//
//===----------------------------------------------------------------------===//
#include "BalanceFixture.h"

#include "Balance/TargetSet.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

const TimePoint Start = TimePoint(1000s);
/// Most that the choice of one target may grow when the number of targets doubles.
constexpr double MostGrowth = 1.3;
constexpr std::size_t Requests = 200;

/// Targets and entry hosts as known to one entry host.
class ManyTargets
{
public:
    explicit ManyTargets(std::size_t targets, Milliseconds coldLeft = 0ms)
        : m_settings(Host::settingsOf("z1", 1))
        , set(m_settings)
    {
        const std::vector<std::string> zones{"z1", "z2", "z3"};
        RegistryChanges changes;
        for (std::size_t n = 0; n < targets; ++n) {
            TargetReport report = Host::targetOf("t-" + std::to_string(n), zones[n % zones.size()], 8);
            report.coldLeft = n % 4 == 0 ? coldLeft : 0ms;
            changes.targets.push_back({report, 0ms, false});
        }
        for (std::size_t n = 0; n < targets / 10; ++n) {
            changes.hosts.push_back({Host::entryOf("e-" + std::to_string(n), zones[n % zones.size()]), 0ms, false});
        }
        RouteTable table;
        table.version = 1;
        table.services = {{"s", 100, 3s, 4}};
        set.setTable(std::make_shared<RouteTable>(table));
        set.apply(changes, Start);
    }

    TargetQuery queryFor(const std::string &key, const std::string &region = "r1") const
    {
        TargetQuery query;
        query.service = "s";
        query.affinity = key.empty() ? 0 : hash64(key);
        query.region = region;
        query.responseTimeout = 1s;
        return query;
    }

    std::string choose(const std::string &key, const std::string &region = "r1")
    {
        const TargetChoice choice = set.choose(queryFor(key, region), Start + 1s);
        return choice.target == nullptr ? std::string() : choice.target->report.id;
    }

    /// Returns the number of targets visited by choices for different keys, or without a key.
    double visitedByChoices(bool hasKey)
    {
        const std::uint64_t before = set.visitedTargets();
        for (std::size_t n = 0; n < Requests; ++n) {
            CHECK_FALSE(choose(hasKey ? "key-" + std::to_string(n) : std::string()).empty());
        }
        return static_cast<double>(set.visitedTargets() - before);
    }

private:
    BalanceSettings m_settings;

public:
    TargetSet set;
};

} // namespace

TEST_CASE("a choice costs the same with twice the targets and entry hosts", "[scale]")
{
    for (const Milliseconds coldLeft : {0ms, 10000ms}) {
        INFO(coldLeft.count() << " ms cold");
        ManyTargets small(10000, coldLeft);
        ManyTargets large(20000, coldLeft);
        CHECK(large.visitedByChoices(true) <= MostGrowth * small.visitedByChoices(true));
        CHECK(large.visitedByChoices(false) <= MostGrowth * small.visitedByChoices(false));
    }
}

TEST_CASE("a change of one target, and the slots of all, cost the same with twice the targets", "[scale]")
{
    const auto visitedBy = [](std::size_t targets) {
        ManyTargets many(targets);
        const std::uint64_t before = many.set.visitedTargets();
        TargetReport report = Host::targetOf("t-7", "z2", 8);
        report.sequence = 2;
        report.presence = Presence::Draining;
        many.set.apply({{{report, 0ms, false}}, {}, {}}, Start + 1s);
        const auto slots = many.set.capacity("s", std::nullopt, Start + 1s);
        CHECK(slots.at("r1") + slots.at("r2") == 8.0 * static_cast<double>(targets - 1));
        CHECK(many.set.usable(Start + 1s) == targets - 1);
        return static_cast<double>(many.set.visitedTargets() - before);
    };
    CHECK(visitedBy(20000) <= MostGrowth * visitedBy(10000));
}

TEST_CASE("a request for a region without a usable target costs nothing", "[scale]")
{
    ManyTargets many(10000);
    RegistryChanges changes;
    for (std::size_t n = 2; n < 10000; n += 3) { // those of zone z3, the only one of its region
        changes.targets.push_back({Host::targetOf("t-" + std::to_string(n), "z3", 8), 0ms, true});
    }
    many.set.apply(changes, Start);
    for (const std::string key : {"key", ""}) {
        const std::uint64_t before = many.set.visitedTargets();
        CHECK(many.choose(key, "r2").empty());
        CHECK(many.set.visitedTargets() == before);
        CHECK_FALSE(many.choose(key, "r1").empty());
    }
}

TEST_CASE("keys are spread evenly over the targets of a region", "[scale]")
{
    for (const std::size_t targets : {12U, 300U}) {
        INFO(targets << " targets");
        ManyTargets many(targets);
        constexpr std::size_t KeysPerTarget = 400;
        const std::size_t inRegion = targets * 2 / 3;
        std::map<std::string, std::size_t> keys;
        for (std::size_t n = 0; n < KeysPerTarget * inRegion; ++n) {
            ++keys[many.choose("key-" + std::to_string(n))];
        }
        CHECK(keys.size() == inRegion);
        for (const auto &[target, count] : keys) {
            CHECK(count <= KeysPerTarget * 3 / 2);
        }
    }
}

TEST_CASE("only the keys of a target that leaves move", "[scale]")
{
    ManyTargets many(300);
    constexpr std::size_t Keys = 2000;
    std::map<std::string, std::string> before;
    for (std::size_t n = 0; n < Keys; ++n) {
        const std::string key = "key-" + std::to_string(n);
        before[key] = many.choose(key);
    }
    TargetReport report = Host::targetOf("t-7", "z2", 8);
    report.sequence = 2;
    report.presence = Presence::Gone;
    many.set.apply({{{report, 0ms, false}}, {}, {}}, Start + 1s);
    for (const auto &[key, target] : before) {
        if (target != "t-7") {
            CHECK(many.choose(key) == target);
        } else {
            CHECK(many.choose(key) != target);
        }
    }
}
