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

/// Report of the incarnation that started at a time.
TargetReport incarnationReport(const std::string &id, Milliseconds startedAt, std::uint64_t sequence,
                               Presence presence = Presence::Ready)
{
    TargetReport it = report(id, sequence, presence);
    it.startedAt = startedAt;
    return it;
}

bool isInUse(const Registry &registry, const std::string &id)
{
    const Registry::TargetEntry *entry = registry.target(id);
    return entry != nullptr && entry->report.presence == Presence::Ready && !entry->isSilent;
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

TEST_CASE("an end is final, whatever its sequence number")
{
    Registry registry;
    registry.receive(report("a", 9), Start);
    registry.receive(report("a", 2, Presence::Gone), Start);
    CHECK_FALSE(registry.receive(report("a", 10), Start + 1s));
    CHECK(presenceOf(registry, "a") == Presence::Gone);
}

TEST_CASE("an address that another incarnation reports no longer belongs to the previous one")
{
    Registry registry;
    registry.receive(report("a", 1), Start);
    registry.receive(report("b", 1), Start + 1s);
    CHECK_FALSE(isInUse(registry, "a"));
    CHECK(isInUse(registry, "b"));
}

TEST_CASE("a late report of an ended incarnation does not silence the one that has its address now")
{
    // The first one was known only beyond a network partition, so not to this host.
    Registry registry;
    registry.receive(report("second", 1), Start);
    registry.receive(report("first", 9), Start + 1s); // delayed until the partition ended
    registry.receive(report("second", 2), Start + 1500ms);
    CHECK(isInUse(registry, "second"));
    CHECK_FALSE(isInUse(registry, "first"));
}

TEST_CASE("an incarnation that keeps reporting has its address at each control host, in any order of reports")
{
    const bool holds = rc::check("incarnations, late reports, merges and restarts", [] {
        constexpr int Hosts = 3;
        std::array<Registry, Hosts> registries;
        const int incarnations = *rc::gen::inRange(2, 5);
        const auto idOf = [](int incarnation) {
            return "life-" + std::to_string(incarnation);
        };
        std::vector<std::uint64_t> sequences(static_cast<std::size_t>(incarnations));
        TimePoint now = Start;
        const auto exchange = [&] {
            const int to = *rc::gen::inRange(0, Hosts);
            const int from = *rc::gen::inRange(0, Hosts);
            if (to != from) {
                registries.at(to).merge(registries.at(from).receivedSince(0, now), now);
            }
        };
        for (int incarnation = 0; incarnation < incarnations; ++incarnation) {
            const int steps = *rc::gen::inRange(1, 6);
            for (int step = 0; step < steps; ++step) {
                now += Milliseconds(*rc::gen::inRange(1, 1500));
                // Reports of an ended incarnation may still arrive, at hosts that do not know that it ended.
                const int author = *rc::gen::inRange(0, incarnation + 1);
                const auto host = static_cast<std::size_t>(*rc::gen::inRange(0, Hosts));
                registries.at(host).receive(report(idOf(author), ++sequences.at(author)), now);
                exchange();
                if (*rc::gen::inRange(0, 8) == 0) {
                    registries.at(*rc::gen::inRange(0, Hosts)) = Registry();
                }
            }
        }
        // From now on only the last incarnation reports; once each host has received its report, each uses it.
        now += 1500ms;
        const std::string last = idOf(incarnations - 1);
        registries.front().receive(report(last, ++sequences.back()), now);
        for (std::size_t n = 1; n < registries.size(); ++n) {
            registries.at(n).merge(registries.front().receivedSince(0, now), now);
        }
        for (const Registry &it : registries) {
            RC_ASSERT(isInUse(it, last));
            for (int incarnation = 0; incarnation + 1 < incarnations; ++incarnation) {
                RC_ASSERT(!isInUse(it, idOf(incarnation)));
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("a renewal takes the address back as well")
{
    Registry near;
    Registry far;
    near.receive(report("second", 1), Start);
    far.merge(near.receivedSince(0, Start), Start);
    const std::uint64_t sentVersion = near.version();
    far.receive(report("first", 9), Start + 1s);
    REQUIRE_FALSE(isInUse(far, "second"));
    near.receive(report("second", 2), Start + 1500ms);
    const RegistryChanges changes = near.receivedSince(sentVersion, Start + 1500ms);
    REQUIRE(changes.renewals.size() == 1);
    far.merge(changes, Start + 1500ms);
    CHECK(isInUse(far, "second"));
    CHECK_FALSE(isInUse(far, "first"));
}

TEST_CASE("demand that home regions bind is summed for these regions, wherever its callers are")
{
    Registry registry;
    const auto receive = [&](const std::string &id, const std::string &zone, std::vector<ServiceDemand> demand) {
        HostReport it;
        it.id = id;
        it.zone = zone;
        it.address = id;
        it.sequence = 1;
        it.demand = std::move(demand);
        registry.receive(it, Start);
    };
    receive("a#1", "z1", {{"s", 3}, {"s", 2, "r2"}});
    receive("b#1", "z3", {{"s", 4, "r2"}});
    const std::vector<RegionDemand> demand = registry.demand({{"z1", "r1"}, {"z3", "r2"}});
    REQUIRE(demand.size() == 2);
    CHECK(demand[0].region == "r1");
    CHECK(demand[0].slots == 3);
    CHECK(demand[0].boundSlots == 0);
    CHECK(demand[1].region == "r2");
    CHECK(demand[1].slots == 0);
    CHECK(demand[1].boundSlots == 6);
}

namespace
{

/// ServiceDemand as earlier versions send it.
struct EarlierDemand {
    std::string service = "s";
    double slots = 3;
    MSGPACK_DEFINE(service, slots);
};

} // namespace

TEST_CASE("demand that a host of an earlier version reports is not bound")
{
    const auto demand = decode<ServiceDemand>(encode(EarlierDemand{}), "peer");
    CHECK(demand.slots == 3);
    CHECK(demand.homeRegion.empty());
}

TEST_CASE("a target becomes silent only at a host that may expire it, and until its next report")
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

TEST_CASE("reports without a change are sent to control hosts only")
{
    Registry registry;
    registry.receive(report("a", 1), Start);
    const std::uint64_t version = registry.version();
    registry.receive(report("a", 2), Start + 1s);
    CHECK(registry.changedSince(version, Start + 1s).empty());
    CHECK(registry.receivedSince(version, Start + 1s).renewals.size() == 1);
    CHECK(registry.receivedSince(version, Start + 1s).targets.empty());
}

TEST_CASE("a renewal keeps a target alive at other control hosts")
{
    Registry author;
    author.receive(report("a", 1), Start);
    Registry other;
    CHECK(other.merge(author.receivedSince(0, Start), Start));
    for (int n = 1; n <= 10; ++n) {
        const std::uint64_t version = author.version();
        const TimePoint now = Start + n * 1500ms;
        author.receive(report("a", static_cast<std::uint64_t>(n) + 1), now);
        CHECK(other.merge(author.receivedSince(version, now), now));
        other.expire(now, true);
        CHECK_FALSE(other.target("a")->isSilent);
    }
    CHECK(other.target("a")->report.sequence == 11);
}

TEST_CASE("a renewal of an unknown or different report is rejected, so that everything is requested")
{
    Registry author;
    author.receive(report("a", 1), Start);
    const std::uint64_t first = author.version();
    author.receive(report("a", 2), Start);
    const RegistryChanges renewal = author.receivedSince(first, Start);
    REQUIRE(renewal.renewals.size() == 1);
    Registry empty;
    CHECK_FALSE(empty.merge(renewal, Start));
    CHECK(empty.target("a") == nullptr);

    // The drain, sequence number 5, was received by a second host; the author has it from there and renews it as number
    // 6. A third host, which the second has not reached yet, must not take 6 for a renewal of "ready" and 5 for a late
    // report.
    Registry second;
    second.receive(report("a", 5, Presence::Draining), Start);
    author.merge(second.receivedSince(0, Start), Start);
    Registry third;
    third.receive(report("a", 4), Start);
    const std::uint64_t version = author.version();
    author.receive(report("a", 6, Presence::Draining), Start);
    CHECK_FALSE(third.merge(author.receivedSince(version, Start), Start));
    third.merge(second.receivedSince(0, Start), Start);
    CHECK(presenceOf(third, "a") == Presence::Draining);
}

TEST_CASE("a renewal neither hides that a target became cold nor lengthens its cold time")
{
    TargetReport cold = report("a", 1);
    cold.coldLeft = 3000ms;
    Registry author;
    author.receive(cold, Start);
    Registry other;
    other.merge(author.receivedSince(0, Start), Start);
    const std::uint64_t version = author.version();
    cold.sequence = 2;
    cold.coldLeft = 2000ms;
    author.receive(cold, Start + 1s);
    const RegistryChanges renewal = author.receivedSince(version, Start + 1s);
    REQUIRE(renewal.renewals.size() == 1);
    CHECK(other.merge(renewal, Start + 1s));
    CHECK(other.target("a")->report.coldLeft == 2000ms);
    Registry third;
    third.receive(report("a", 1), Start);
    CHECK_FALSE(third.merge(renewal, Start + 1s));
}

TEST_CASE("a host's load is sent with the next update and causes none; a slow rise is sent too")
{
    HostReport host;
    host.id = "e1";
    host.zone = "z1";
    host.sequence = 1;
    host.demand = {{"s", 10}};
    Registry registry;
    registry.receive(host, Start);
    const std::uint64_t changed = registry.changedVersion();
    const std::uint64_t version = registry.version();
    const std::map<std::string, std::string> regions{{"z1", "r1"}};
    for (int n = 0; n < 20; ++n) {
        ++host.sequence;
        host.demand[0].slots += 0.5;
        registry.receive(host, Start);
    }
    CHECK(registry.changedVersion() == changed);
    CHECK(registry.receivedSince(version, Start).hosts.size() == 1);
    REQUIRE(registry.demand(regions).size() == 1);
    CHECK(registry.demand(regions)[0].region == "r1");
    CHECK(registry.demand(regions)[0].slots == Approx(20).epsilon(0.1));
}

TEST_CASE("hosts that exchange all reports agree, in whatever order they receive them")
{
    CHECK(rc::check([] {
        std::array<Registry, 3> hosts;
        std::array<std::array<std::uint64_t, 3>, 3> since{}; // [recipient][sender]
        std::uint64_t sequence = 0;
        const auto send = [&](std::size_t from, std::size_t to) {
            const RegistryChanges changes = hosts[from].receivedSince(since[to][from], Start);
            since[to][from] = hosts[to].merge(changes, Start) ? hosts[from].version() : 0;
        };
        const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 18));
        for (const int step : steps) {
            const auto host = static_cast<std::size_t>(step % 3);
            if (step >= 9) {
                send(host, (host + 1 + static_cast<std::size_t>(step % 2)) % 3);
                continue;
            }
            // The target drains at some time, and reports to one host after the other.
            const Presence presence = sequence > 6 ? Presence::Draining : Presence::Ready;
            hosts[host].receive(report("a", ++sequence, presence), Start);
        }
        for (int round = 0; round < 3; ++round) {
            for (std::size_t from = 0; from < 3; ++from) {
                send(from, (from + 1) % 3);
                send(from, (from + 2) % 3);
            }
        }
        if (sequence == 0) {
            return;
        }
        for (const Registry &it : hosts) {
            RC_ASSERT(presenceOf(it, "a") == presenceOf(hosts[0], "a"));
            RC_ASSERT((presenceOf(it, "a") == Presence::Draining) == (sequence > 7));
        }
    }));
}

TEST_CASE("a report from another host is not passed on again, except to a host that has nothing")
{
    Registry author;
    author.receive(report("a", 1), Start);
    Registry other;
    other.receive(report("b", 1), Start);
    const std::uint64_t version = other.version();
    other.merge(author.receivedSince(0, Start), Start);
    CHECK(other.receivedSince(version, Start).empty());
    CHECK(other.receivedSince(0, Start).targets.size() == 2);
}

TEST_CASE("a departure that its target repeats is passed on by the host that receives it again")
{
    Registry first;
    first.receive(report("a", 2, Presence::Draining), Start);
    Registry second;
    second.merge(first.receivedSince(0, Start), Start);
    const std::uint64_t before = second.version();
    // The first host has stopped before it passed the departure on; the target waits for the second one to acknowledge
    // it.
    second.receive(report("a", 2, Presence::Draining), Start);
    const RegistryChanges changes = second.receivedSince(before, Start);
    Registry third;
    CHECK(third.merge(changes, Start));
    REQUIRE(third.target("a") != nullptr);
    CHECK(third.target("a")->report.presence == Presence::Draining);
    // The same departure once more is no change, even if another host passes it on in between.
    const std::uint64_t changed = second.changedVersion();
    second.merge(first.receivedSince(0, Start), Start);
    second.receive(report("a", 3, Presence::Draining), Start);
    second.receive(report("a", 3, Presence::Draining), Start);
    CHECK(second.changedVersion() == changed);
}

TEST_CASE("a report is passed on with its age")
{
    Registry author;
    author.receive(report("a", 1), Start);
    Registry other;
    other.merge(author.receivedSince(0, Start + 5s), Start + 5s);
    other.expire(Start + 7s, true);
    CHECK(other.target("a")->isSilent);
}

TEST_CASE("tables that received the same reports in any order agree")
{
    CHECK(rc::check([] {
        const auto sequences = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(1, 5));
        Registry forwards;
        Registry backwards;
        for (std::size_t n = 0; n < sequences.size(); ++n) {
            // One author never gives two different reports the same sequence number.
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
    }));
}

TEST_CASE("a target that restarts under its id is another incarnation, whose sequence numbers restart")
{
    Registry registry;
    registry.receive(incarnationReport("a", 1000ms, 40), Start);
    CHECK(registry.receive(incarnationReport("a", 2000ms, 1), Start + 1s));
    CHECK(registry.target("a")->report.startedAt == 2000ms);
    CHECK(registry.target("a")->report.sequence == 1);
    // Late reports of the previous incarnation do not affect the new one.
    CHECK_FALSE(registry.receive(incarnationReport("a", 1000ms, 41), Start + 1s));
    CHECK_FALSE(registry.receive(incarnationReport("a", 1000ms, 42, Presence::Draining), Start + 1s));
    CHECK_FALSE(registry.receive(incarnationReport("a", 1000ms, 43, Presence::Gone), Start + 1s));
    CHECK(presenceOf(registry, "a") == Presence::Ready);
}

TEST_CASE("a target that ended or drained is ready again with its next incarnation, which is a change")
{
    for (const Presence before : {Presence::Gone, Presence::Draining}) {
        Registry registry;
        registry.receive(incarnationReport("a", 1000ms, 9, before), Start);
        const std::uint64_t version = registry.version();
        REQUIRE(registry.receive(incarnationReport("a", 2000ms, 1), Start + 1s));
        CHECK(presenceOf(registry, "a") == Presence::Ready);
        CHECK(registry.changedSince(version, Start + 1s).targets.size() == 1);
    }
}

TEST_CASE("a new incarnation with the same report as the previous one is a change")
{
    Registry registry;
    registry.receive(incarnationReport("a", 1000ms, 9), Start);
    const std::uint64_t version = registry.version();
    registry.receive(incarnationReport("a", 2000ms, 10), Start + 1s);
    CHECK(registry.changedSince(version, Start + 1s).targets.size() == 1);
    CHECK(registry.receivedSince(version, Start + 1s).renewals.empty());
}

TEST_CASE("a renewal is of one incarnation alone")
{
    Registry author;
    author.receive(incarnationReport("a", 1000ms, 8), Start);
    const std::uint64_t version = author.version();
    author.receive(incarnationReport("a", 1000ms, 9), Start);
    const RegistryChanges older = author.receivedSince(version, Start);
    REQUIRE(older.renewals.size() == 1);
    // A host that knows the next incarnation has nothing to request, and keeps it.
    Registry newer;
    newer.receive(incarnationReport("a", 2000ms, 1), Start);
    CHECK(newer.merge(older, Start));
    CHECK(newer.target("a")->report.startedAt == 2000ms);
    // A host that knows only the previous incarnation has to request everything.
    Registry behind;
    behind.receive(incarnationReport("a", 500ms, 1), Start);
    CHECK_FALSE(behind.merge(older, Start));
}

TEST_CASE("a late departure of the previous incarnation is not passed on as one of the new incarnation")
{
    Registry first;
    first.receive(incarnationReport("a", 2000ms, 1), Start);
    Registry second;
    second.merge(first.receivedSince(0, Start), Start);
    const std::uint64_t version = second.version();
    second.receive(incarnationReport("a", 1000ms, 7, Presence::Gone), Start);
    CHECK(second.receivedSince(version, Start).empty());
    CHECK_FALSE(second.target("a")->isDirect);
}

TEST_CASE("a departure is of the incarnation that it names, or of the known one if it names none")
{
    const TargetReport known = incarnationReport("a", 1000ms, 7);
    TargetReport reported;
    reported.id = "a";
    reported.presence = Presence::Gone;
    CHECK(departureOf(known, reported).startedAt == 1000ms);
    CHECK(departureOf(known, reported).address == known.address);
    CHECK(departureOf(known, reported).sequence == 8);
    reported.startedAt = 900ms;
    Registry registry;
    registry.receive(known, Start);
    CHECK_FALSE(registry.receive(departureOf(known, reported), Start));
    reported.startedAt = 2000ms;
    CHECK(registry.receive(departureOf(known, reported), Start));
    CHECK(presenceOf(registry, "a") == Presence::Gone);
    CHECK_FALSE(registry.receive(incarnationReport("a", 1000ms, 9), Start));
}

TEST_CASE("hosts that exchange all reports agree on the latest incarnation, whatever was late, lost or partitioned")
{
    CHECK(rc::check([] {
        constexpr std::size_t Hosts = 3;
        std::array<Registry, Hosts> hosts;
        std::array<std::array<std::uint64_t, Hosts>, Hosts> since{}; // [recipient][sender]
        const auto send = [&](std::size_t from, std::size_t to) {
            const RegistryChanges changes = hosts[from].receivedSince(since[to][from], Start);
            since[to][from] = hosts[to].merge(changes, Start) ? hosts[from].version() : 0;
        };
        // All reports of the target, any of which may arrive late at any host.
        std::vector<TargetReport> reported;
        Milliseconds incarnation{1000};
        std::uint64_t sequence = 0;
        const auto makeReport = [&](Presence presence) {
            reported.push_back(incarnationReport("a", incarnation, ++sequence, presence));
            return reported.back();
        };
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
        for (const int step : steps) {
            const auto host = static_cast<std::size_t>(step) % Hosts;
            if (step < 40) {
                hosts[host].receive(makeReport(Presence::Ready), Start);
            } else if (step < 50) {
                hosts[host].receive(makeReport(Presence::Draining), Start);
            } else if (step < 60) {
                incarnation += 1000ms;
                sequence = 0;
                hosts[host].receive(makeReport(Presence::Ready), Start);
            } else if (step < 75 && !reported.empty()) {
                hosts[host].receive(reported[static_cast<std::size_t>(step) % reported.size()], Start);
            } else {
                send(host, (host + 1) % Hosts);
            }
        }
        incarnation += 1000ms;
        sequence = 0;
        hosts[0].receive(makeReport(Presence::Ready), Start);
        for (std::size_t round = 0; round < Hosts; ++round) {
            for (std::size_t from = 0; from < Hosts; ++from) {
                send(from, (from + 1) % Hosts);
                send(from, (from + 2) % Hosts);
            }
        }
        for (const Registry &it : hosts) {
            RC_ASSERT(it.target("a")->report.startedAt == incarnation);
            RC_ASSERT(presenceOf(it, "a") == Presence::Ready);
        }
    }));
}
