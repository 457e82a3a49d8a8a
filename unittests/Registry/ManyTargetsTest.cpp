//===- ManyTargetsTest.cpp - Work of a control host at scale --------------===//
//
// Work is counted in entries that are visited, at one size and at twice the size. What belongs to one target or host
// may grow by a third at most; a round of replies may grow with the number of recipients.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Registry.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);
constexpr auto Lease = 1800ms;
/// Most that work for one target, host or change may grow when everything else doubles.
constexpr double MostGrowth = 1.3;

TargetReport targetOf(std::size_t n, std::uint64_t sequence, Presence presence = Presence::Ready)
{
    const std::string number = std::to_string(n);
    const std::string address = "10." + std::to_string(n / 250) + ".0." + std::to_string(n % 250) + ":8080";
    return {
        "t-" + number,  "s" + std::to_string(n % 2), address, "z" + std::to_string(n % 9), 8, presence, 0ms, sequence,
        1700000000000ms};
}

HostReport entryHostOf(std::size_t n, std::uint64_t sequence)
{
    const std::string number = std::to_string(n);
    HostReport it;
    it.id = "e-" + number;
    it.zone = "z" + std::to_string(n % 9);
    it.address = "10.1.0." + number + ":80";
    it.sequence = sequence;
    return it;
}

/// Registry of a control host that all targets and entry hosts report to.
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        for (std::size_t n = 0; n < 10 * size; ++n) {
            registry.receive(targetOf(n, 1), Start);
        }
        for (std::size_t n = 0; n < size; ++n) {
            registry.receive(entryHostOf(n, 1), Start);
        }
    }

    /// Returns the number of entries that a call visits.
    template <typename Call>
    double visitedBy(Call call)
    {
        const std::uint64_t before = registry.visitedEntries();
        call();
        return static_cast<double>(registry.visitedEntries() - before);
    }

    Registry registry;
};

constexpr std::size_t Hosts = 100;

template <typename Call>
double growthOf(Call call)
{
    Fleet small(Hosts);
    Fleet large(2 * Hosts);
    return large.visitedBy([&] { call(large.registry); }) / small.visitedBy([&] { call(small.registry); });
}

} // namespace

TEST_CASE("a report costs the same with twice the targets", "[scale]")
{
    CHECK(growthOf([](Registry &it) { it.receive(targetOf(7, 2), Start + 1s); }) <= MostGrowth);
    CHECK(growthOf([](Registry &it) { it.receive(targetOf(7, 2, Presence::Draining), Start + 1s); }) <= MostGrowth);
    CHECK(growthOf([](Registry &it) { it.receive(targetOf(7, 2, Presence::Gone), Start + 1s); }) <= MostGrowth);
    CHECK(growthOf([](Registry &it) { it.receive(entryHostOf(7, 2), Start + 1s); }) <= MostGrowth);
    CHECK(growthOf([](Registry &it) { it.merge({{{targetOf(7, 2), 0ms, false}}, {}, {}}, Start + 1s); }) <= MostGrowth);
}

TEST_CASE("a target that takes over an address costs the same with twice the targets", "[scale]")
{
    TargetReport successor = targetOf(7, 1);
    successor.id = "successor";
    CHECK(growthOf([&](Registry &it) { it.receive(successor, Start + 1s); }) <= MostGrowth);
}

TEST_CASE("renewals and changes since a version cost what they hold", "[scale]")
{
    constexpr std::size_t Renewed = 20;
    for (const std::size_t size : {Hosts, 2 * Hosts}) {
        INFO(size << " hosts");
        Fleet fleet(size);
        Registry peer;
        peer.merge(fleet.registry.receivedSince(0, Start), Start);
        const std::uint64_t version = fleet.registry.version();
        const std::uint64_t before = fleet.registry.visitedEntries() + peer.visitedEntries();
        for (std::size_t n = 0; n < Renewed; ++n) {
            fleet.registry.receive(targetOf(n, 2), Start + 1s);
        }
        CHECK(peer.merge(fleet.registry.receivedSince(version, Start + 1s), Start + 1s));
        CHECK(fleet.registry.changedSince(version, Start + 1s).empty());
        // Per target: the report with its address, the renewal made, applied and resolved.
        CHECK(fleet.registry.visitedEntries() + peer.visitedEntries() - before <= 6 * Renewed);
    }
    CHECK(growthOf([](Registry &it) {
              const std::uint64_t version = it.version();
              it.receive(targetOf(7, 2, Presence::Draining), Start + 1s);
              REQUIRE(it.changedSince(version, Start + 1s).targets.size() == 1);
          })
          <= MostGrowth);
}

TEST_CASE("looking for what is silent costs nothing while all report", "[scale]")
{
    Fleet fleet(Hosts);
    CHECK(fleet.visitedBy([&] { fleet.registry.expire(Start + 1s, true); }) == 0);
    // Each target and host is looked at once per expiry time, not at each call.
    double visited = 0;
    for (auto passed = 1s; passed <= 12s; passed += 1s) {
        for (std::size_t n = 0; n < 10 * Hosts; ++n) {
            fleet.registry.receive(targetOf(n, 1 + static_cast<std::uint64_t>(passed.count())), Start + passed);
        }
        visited += fleet.visitedBy([&] {
            for (auto tick = 0ms; tick < 1s; tick += 25ms) {
                fleet.registry.expire(Start + passed + tick, true);
            }
        });
    }
    CHECK(visited <= 3.0 * 10 * Hosts);
}

TEST_CASE("a confirmation costs the same with twice the followers", "[scale]")
{
    const auto visitedBy = [](std::size_t followers) {
        UpdateConfirmations confirmations(Lease);
        for (std::size_t n = 0; n < followers; ++n) {
            confirmations.recordPoll("e-" + std::to_string(n), {1, 1}, Start);
        }
        confirmations.recordMerge("c2", "x", 30, 1);
        const std::uint64_t before = confirmations.visitedFollowers();
        confirmations.recordPoll("e-7", {2, 1}, Start + 100ms);
        CHECK_FALSE(confirmations.isConfirmed({2, 0}, {"c2"}, Start + 100ms));
        CHECK(confirmations.versionsConfirmedTo("c2", "x", 1, Start + 100ms) == UpdateVersions{30, 1});
        return confirmations.visitedFollowers() - before;
    };
    CHECK(static_cast<double>(visitedBy(2000)) <= MostGrowth * static_cast<double>(visitedBy(1000)));
}

TEST_CASE("26 departures at once are confirmed beside one slow follower and hosts that restart in series", "[scale]")
{
    for (const std::size_t followers : {984U, 1968U}) {
        INFO(followers << " followers");
        UpdateConfirmations confirmations(Lease);
        constexpr std::uint64_t Departures = 26;
        const std::string slow = "e-0";
        std::uint64_t own = 0;
        const auto pollAll = [&](std::uint64_t applied, TimePoint now) {
            for (std::size_t n = 1; n < followers; ++n) {
                confirmations.recordPoll("e-" + std::to_string(n), {applied, 1}, now);
            }
        };
        // Each departure, and each host that restarts meanwhile, is a version of its own; the slow follower has always
        // applied those of a second ago.
        constexpr std::uint64_t Rounds = 2000;
        constexpr std::uint64_t VersionsPerRound = 10;
        constexpr std::uint64_t RoundsBehind = 100;
        for (std::uint64_t n = 1; n <= Rounds; ++n) {
            own = n * VersionsPerRound;
            confirmations.recordMerge("c2", "x", n, own);
            const TimePoint now = Start + n * 10ms;
            const std::uint64_t behind = n > RoundsBehind ? (n - RoundsBehind) * VersionsPerRound : 0;
            confirmations.recordPoll(slow, {behind, 1}, now);
        }
        const TimePoint end = Start + Rounds * 10ms;
        pollAll(own, end);
        // Confirmed versions may advance in steps, but keep up with the slow follower.
        CHECK(confirmations.versionsConfirmedTo("c2", "x", 1, end).registryVersion >= Rounds - 2 * RoundsBehind);
        CHECK_FALSE(confirmations.isConfirmed({own - Departures, 0}, {}, end));
        confirmations.recordPoll(slow, {own, 1}, end + 1ms);
        CHECK(confirmations.isConfirmed({own, 0}, {}, end + 1ms));
        CHECK(confirmations.versionsConfirmedTo("c2", "x", 1, end + 1ms) == UpdateVersions{Rounds, 1});
    }
}

TEST_CASE("the rate of replies is bounded whatever the recipients and the updates, and so is the delay", "[scale]")
{
    constexpr auto ReplyCost = 100us;
    for (const std::size_t followers : {10U, 109U, 218U}) {
        INFO(followers << " followers");
        ReplySchedule schedule{ReplyCost};
        std::size_t replies = 0;
        Duration longestWait{};
        TimePoint lastRound = Start;
        // An update each millisecond, as when all targets start at once.
        for (TimePoint now = Start; now < Start + 10s; now += 1ms) {
            if (schedule.isDue(now, followers)) {
                schedule.recordReplies(now);
                longestWait = std::max(longestWait, now - lastRound);
                lastRound = now;
                replies += followers;
            }
        }
        CHECK(replies * ReplyCost <= 1100ms); // a tenth of a processor
        CHECK(longestWait <= ReplySchedule::MaxGatherTime);
    }
}

TEST_CASE("an update after a pause is announced at once", "[scale]")
{
    ReplySchedule schedule{100us};
    CHECK(schedule.isDue(Start, 1000));
    schedule.recordReplies(Start);
    CHECK_FALSE(schedule.isDue(Start + 1ms, 1000));
    CHECK(schedule.isDue(Start + 1s, 1000));
}

TEST_CASE("directory answers name at most 64 hosts, each about equally often", "[scale]")
{
    for (const std::size_t size : {3U, 64U, 65U, 328U, 656U}) {
        INFO(size << " hosts");
        std::vector<std::string> hosts;
        for (std::size_t n = 0; n < size; ++n) {
            hosts.push_back("10.0.0.1:" + std::to_string(n));
        }
        HostRotation rotation;
        rotation.assign(hosts, 7);
        std::map<std::string, std::size_t> named;
        constexpr std::size_t Answers = 1000;
        std::size_t total = 0;
        for (std::size_t n = 0; n < Answers; ++n) {
            const std::vector<std::string> answer = rotation.next();
            CHECK(answer.size() == std::min(hosts.size(), HostRotation::MaxHostsPerAnswer));
            CHECK(std::set<std::string>(answer.begin(), answer.end()).size() == answer.size());
            total += answer.size();
            for (const std::string &it : answer) {
                ++named[it];
            }
            if (n == Answers / 2) {
                hosts.pop_back(); // a host ends
                rotation.assign(hosts, 7);
            }
        }
        const double mean = static_cast<double>(total) / static_cast<double>(size);
        for (const auto &[host, count] : named) {
            CHECK(static_cast<double>(count) <= 1.5 * mean);
        }
    }
}
