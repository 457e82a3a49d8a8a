//===- SharedChangesTest.cpp - Changes made once for many hosts -----------===//
//
// Guards against changes that a control host makes anew for each of its followers.
//
//===----------------------------------------------------------------------===//
#include "Fleet/SharedChanges.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);
constexpr std::size_t Targets = 100;

TargetReport targetOf(std::size_t n, std::uint64_t sequence = 1)
{
    const std::string number = std::to_string(n);
    return {"t-" + number, "s", "10.0.0." + number + ":80", "z1", 4, Presence::Ready, 0ms, sequence};
}

HostReport entryHost()
{
    HostReport it;
    it.id = "e-1";
    it.zone = "z1";
    it.peer = "10.1.0.1:80";
    it.demand = {{"s", 7.0}};
    it.sequence = 1;
    return it;
}

FleetWatchCall callOf(HostRole role, std::uint64_t since, std::uint64_t routingIndex = 1)
{
    FleetWatchCall call;
    call.self.role = role;
    call.since = since;
    call.routingIndex = routingIndex;
    call.readsPacked = true;
    return call;
}

Audience newEntryHosts()
{
    return audienceOf(callOf(HostRole::Entry, 0, 0));
}

/// A control host's registry after a restart, and what it knew before.
struct Restarted {
    Restarted()
    {
        for (std::size_t n = 0; n < Targets; ++n) {
            cached.push_back(targetOf(n));
        }
        registry.receive(entryHost(), Start);
    }

    Registry registry;
    std::vector<TargetReport> cached;
    ChangesCache cache;
};

std::set<std::string> idsOf(const SharedChanges &shared)
{
    std::set<std::string> ids;
    for (const AgedReport<TargetReport> &it : shared.changes.targets) {
        ids.insert(it.report.id);
    }
    for (const TargetReport &it : shared.cachedTargets) {
        ids.insert(it.id);
    }
    return ids;
}

} // namespace

TEST_CASE("hosts that start together are sent one snapshot, however many they are", "[scale]")
{
    for (const std::size_t hosts : {984U, 1968U}) {
        INFO(hosts << " hosts");
        Restarted control;
        for (std::size_t n = 0; n < hosts; ++n) {
            const TimePoint now = Start + n * 400ms / hosts;
            control.registry.receive(targetOf(n % Targets, 1 + n), now); // targets report meanwhile
            control.cache.changesFor(newEntryHosts(), control.registry, control.cached, now);
            control.cache.removeExpired(now);
        }
        CHECK(control.cache.madeCount() == 1);
    }
}

TEST_CASE("followers at the same version are sent changes that are made once", "[scale]")
{
    for (const std::size_t followers : {109U, 218U}) {
        INFO(followers << " followers");
        Restarted control;
        const std::uint64_t before = control.registry.version();
        control.registry.receive(targetOf(1), Start);
        for (std::size_t n = 0; n < followers; ++n) {
            const Audience audience = audienceOf(callOf(HostRole::Entry, before));
            CHECK(control.cache.changesFor(audience, control.registry, {}, Start).changes.targets.size() == 1);
        }
        CHECK(control.cache.madeCount() == 1);
        control.registry.receive(targetOf(2), Start);
        const Audience audience = audienceOf(callOf(HostRole::Entry, before));
        CHECK(control.cache.changesFor(audience, control.registry, {}, Start).changes.targets.size() == 2);
    }
}

TEST_CASE("a snapshot that is sent again misses no target, and the next changes begin where it ends")
{
    Restarted control;
    for (std::size_t n = 0; n < Targets / 2; ++n) {
        control.registry.receive(targetOf(n), Start);
    }
    control.cache.changesFor(newEntryHosts(), control.registry, control.cached, Start);
    const std::size_t late = Targets - 1;
    control.registry.receive(targetOf(late), Start + 100ms);
    const SharedChanges &again =
        control.cache.changesFor(newEntryHosts(), control.registry, control.cached, Start + 200ms);
    CHECK(control.cache.madeCount() == 1);
    CHECK(idsOf(again).size() == Targets);
    const RegistryChanges next = control.registry.changedSince(again.version, Start + 200ms);
    REQUIRE(next.targets.size() == 1);
    CHECK(next.targets[0].report.id == targetOf(late).id);
}

TEST_CASE("a snapshot is made anew after its lifetime")
{
    Restarted control;
    control.cache.changesFor(newEntryHosts(), control.registry, control.cached, Start);
    control.registry.receive(targetOf(1), Start + SnapshotLifetime);
    control.cache.changesFor(newEntryHosts(), control.registry, control.cached, Start + SnapshotLifetime);
    CHECK(control.cache.madeCount() == 2);
}

TEST_CASE("only hosts without state get cached targets, and only control hosts each other's load")
{
    Restarted control;
    const auto changesFor = [&](const FleetWatchCall &call) {
        return control.cache.changesFor(audienceOf(call), control.registry, control.cached, Start);
    };
    CHECK(changesFor(callOf(HostRole::Entry, 0, 0)).cachedTargets.size() == Targets);
    const SharedChanges toEntryHost = changesFor(callOf(HostRole::Entry, 0, 5));
    CHECK(toEntryHost.cachedTargets.empty());
    REQUIRE(toEntryHost.changes.hosts.size() == 1);
    CHECK(toEntryHost.changes.hosts[0].report.demand.empty());
    CHECK(toEntryHost.changes.hosts[0].report.peer.empty());
    const SharedChanges toControlHost = changesFor(callOf(HostRole::Control, 0, 0));
    CHECK(toControlHost.cachedTargets.empty());
    REQUIRE(toControlHost.changes.hosts.size() == 1);
    CHECK(toControlHost.changes.hosts[0].report.demand.size() == 1);
}

TEST_CASE("a host that does not read packed changes is sent them plainly")
{
    Restarted control;
    FleetWatchCall call = callOf(HostRole::Entry, 0, 0);
    const SharedChanges &shared = control.cache.changesFor(audienceOf(call), control.registry, control.cached, Start);
    FleetWatchReply packed;
    shared.copyTo(packed, call);
    CHECK(packed.cachedTargets.empty());
    CHECK_FALSE(packed.packedCachedTargets.empty());
    call.readsPacked = false;
    FleetWatchReply plain;
    shared.copyTo(plain, call);
    CHECK(plain.cachedTargets.size() == Targets);
    CHECK(plain.packedCachedTargets.empty());
    CHECK(plain.isWhole);
}
