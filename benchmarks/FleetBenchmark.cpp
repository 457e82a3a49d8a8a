//===- FleetBenchmark.cpp - Cost of the decisions of a large fleet --------===//
//
// The argument is the number of targets; there is an entry host for ten of them, and nine control hosts. Counters give
// the entries visited and the bytes encoded by one operation. The arguments of the operations on tenants' limits are
// the number of entry hosts that follow a control host, and of tenants with requests at each of them; that of a plan is
// the number of regions.
//
//===----------------------------------------------------------------------===//
#include "Balance/RegionPlanner.h"
#include "Balance/TargetSet.h"
#include "Fleet/PackedChanges.h"

#include <benchmark/benchmark.h>

namespace pepperlug::fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t FewTargets = 10'000;
constexpr std::int64_t ManyTargets = 20'000;
constexpr std::size_t Zones = 9;
constexpr std::size_t ControlHosts = 9;
constexpr std::size_t TargetsPerEntryHost = 10;
const TimePoint Start = TimePoint(1000s);

std::string zoneOf(std::size_t n)
{
    return "zone-" + std::to_string(n % Zones);
}

TargetReport targetOf(std::size_t n, std::uint64_t sequence)
{
    constexpr std::size_t HostsPerNetwork = 250;
    const std::string address =
        "10." + std::to_string(n / HostsPerNetwork) + ".0." + std::to_string(n % HostsPerNetwork);
    // Ids are as random as those that targets draw.
    const std::string id = digestHex(std::to_string(n)).substr(0, 8);
    return {"i-" + id,
            "service-" + std::to_string(n % 2),
            address + ":8080",
            zoneOf(n),
            8,
            Presence::Ready,
            0ms,
            sequence,
            Milliseconds(1'700'000'000'000 + static_cast<Milliseconds::rep>(hash64(id) % 1000))};
}

HostReport entryHostOf(std::size_t n, std::uint64_t sequence)
{
    HostReport it;
    it.id = "edge-" + std::to_string(n) + "#" + digestHex(std::to_string(n)).substr(0, 16);
    it.zone = zoneOf(n);
    it.address = "10.200." + std::to_string(n % 250) + "." + std::to_string(n / 250) + ":80";
    it.sequence = sequence;
    return it;
}

std::size_t targetsOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

void fill(Registry &registry, std::size_t targets)
{
    for (std::size_t n = 0; n < targets; ++n) {
        registry.receive(targetOf(n, 1), Start);
    }
    for (std::size_t n = 0; n < targets / TargetsPerEntryHost; ++n) {
        registry.receive(entryHostOf(n, 1), Start);
    }
}

void countVisited(benchmark::State &state, std::uint64_t visited)
{
    state.counters["visited"] = benchmark::Counter(static_cast<double>(visited), benchmark::Counter::kAvgIterations);
}

/// A control host receives a report without a change.
void report(benchmark::State &state)
{
    Registry registry;
    fill(registry, targetsOf(state));
    const std::uint64_t before = registry.visitedEntries();
    std::uint64_t sequence = 1;
    std::size_t n = 0;
    for (auto _ : state) {
        n = (n + 1) % targetsOf(state);
        registry.receive(targetOf(n, ++sequence), Start + 1s);
    }
    countVisited(state, registry.visitedEntries() - before);
}

/// A control host passes the reports of a tenth of a second on to another one.
void renewals(benchmark::State &state)
{
    Registry registry;
    fill(registry, targetsOf(state));
    Registry peer;
    peer.merge(registry.receivedSince(0, Start), Start);
    const std::size_t perRound = targetsOf(state) / ControlHosts / 30;
    std::uint64_t version = registry.version();
    std::uint64_t sequence = 1;
    const std::uint64_t before = registry.visitedEntries() + peer.visitedEntries();
    std::size_t bytes = 0;
    for (auto _ : state) {
        ++sequence;
        for (std::size_t n = 0; n < perRound; ++n) {
            registry.receive(targetOf(n, sequence), Start + 1s);
        }
        const RegistryChanges changes = registry.receivedSince(version, Start + 1s);
        version = registry.version();
        bytes = encode(changes).size();
        peer.merge(changes, Start + 1s);
    }
    countVisited(state, registry.visitedEntries() + peer.visitedEntries() - before);
    state.counters["bytes"] = static_cast<double>(bytes);
}

/// A control host finds one change for a follower.
void changeForFollower(benchmark::State &state)
{
    Registry registry;
    fill(registry, targetsOf(state));
    std::uint64_t sequence = 1;
    const std::uint64_t before = registry.visitedEntries();
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::uint64_t version = registry.version();
        TargetReport changed = targetOf(7, ++sequence);
        changed.slots = 8 + sequence % 2;
        registry.receive(changed, Start + 1s);
        bytes = encode(registry.changedSince(version, Start + 1s)).size();
    }
    countVisited(state, registry.visitedEntries() - before);
    state.counters["bytes"] = static_cast<double>(bytes);
}

/// A control host makes a snapshot, and an entry host reads it.
void snapshot(benchmark::State &state)
{
    Registry registry;
    fill(registry, targetsOf(state));
    std::size_t plain = 0;
    std::size_t packed = 0;
    for (auto _ : state) {
        const RegistryChanges changes = registry.changedSince(0, Start + 1s);
        const std::vector<std::string> parts = packChanges(changes);
        plain = encode(changes).size();
        packed = encode(parts).size();
        benchmark::DoNotOptimize(unpackChanges(parts, "control"));
    }
    const auto targets = static_cast<double>(targetsOf(state));
    state.counters["plain_bytes_per_target"] = static_cast<double>(plain) / targets;
    state.counters["packed_bytes_per_target"] = static_cast<double>(packed) / targets;
}

/// All followers of a control host confirm a change, each with a poll.
void confirmations(benchmark::State &state)
{
    const std::size_t followers = std::max<std::size_t>(1, targetsOf(state) / TargetsPerEntryHost / ControlHosts);
    UpdateConfirmations table(UpdateLease);
    std::uint64_t version = 0;
    const std::uint64_t before = table.visitedFollowers();
    for (auto _ : state) {
        ++version;
        for (std::size_t n = 0; n < followers; ++n) {
            table.recordPoll("e-" + std::to_string(n), {version, 1}, Start);
            benchmark::DoNotOptimize(table.isConfirmed({version, 1}, {}, Start));
        }
    }
    countVisited(state, (table.visitedFollowers() - before) / followers);
}

/// An entry host chooses the target for a key.
void choice(benchmark::State &state)
{
    BalanceSettings settings;
    settings.zone = zoneOf(0);
    for (std::size_t n = 0; n < Zones; ++n) {
        settings.regionOfZone[zoneOf(n)] = "region-" + std::to_string(n % 3);
    }
    TargetSet set(settings);
    Registry registry;
    fill(registry, targetsOf(state));
    set.apply(registry.changedSince(0, Start), Start);
    const std::uint64_t before = set.visitedTargets();
    std::uint64_t key = 0;
    for (auto _ : state) {
        TargetQuery query;
        query.service = "service-0";
        query.region = "region-0";
        query.affinity = hash64(std::to_string(++key));
        benchmark::DoNotOptimize(set.choose(query, Start + 1s));
    }
    countVisited(state, set.visitedTargets() - before);
}

constexpr QuotaTolerance Tolerance{5s, 0.1, 20};
constexpr TenantLimit Limit{1000, 1000};

std::string tenantOf(std::size_t n)
{
    return "tenant-" + std::to_string(n);
}

/// A call of one entry host that needs a token of one tenant.
QuotaCall quotaCallOf(std::size_t host, std::size_t tenant)
{
    const std::string name = "edge-" + std::to_string(host);
    return {name + "#" + digestHex(name).substr(0, 16),
            "10.200.0." + std::to_string(host) + ":80",
            0,
            {},
            {{tenantHash(tenantOf(tenant)), {Limit, 1}, 1, 0}}};
}

/// A control host issues a token.
void issueToken(benchmark::State &state)
{
    const auto hosts = static_cast<std::size_t>(state.range(0));
    const auto tenants = static_cast<std::size_t>(state.range(1));
    QuotaIssuer issuer("core-0#" + digestHex("core-0").substr(0, 16), Tolerance, true);
    TimePoint now = Start;
    issuer.setMembers(1, now);
    now += 30s;
    std::vector<std::uint64_t> acknowledged(hosts);
    std::size_t bytes = 0;
    std::size_t n = 0;
    const auto call = [&] {
        const std::size_t host = n % hosts;
        QuotaCall request = quotaCallOf(host, n / hosts % tenants);
        request.acknowledged = acknowledged[host];
        request.issuer = "core-0#" + digestHex("core-0").substr(0, 16);
        ++n;
        now += 1ms;
        QuotaEffects effects;
        issuer.receive(QuotaCallId{n}, request, now, effects);
        for (const QuotaEffect &it : effects) {
            const QuotaReply &reply = std::get<SendQuotaReply>(it).reply;
            acknowledged[host] = reply.sequence;
            bytes += encode(request).size() + encode(reply).size();
        }
    };
    for (std::size_t first = 0; first < hosts * tenants; ++first) {
        call();
    }
    bytes = 0;
    for (auto _ : state) {
        call();
    }
    state.counters["bytes"] = benchmark::Counter(static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}

/// An entry host requests a token, and gets it.
void requestToken(benchmark::State &state)
{
    const std::size_t tenants = std::max<std::size_t>(1, static_cast<std::size_t>(state.range(1)));
    QuotaHolder holder("edge-0#1", "10.200.0.1:80");
    TimePoint now = Start;
    std::uint64_t n = 0;
    const auto request = [&] {
        now += 1ms;
        ++n;
        const std::string tenant = tenantOf(n % tenants);
        holder.request(RequestId{n}, tenant, Limit, 75ms, now);
        const std::optional<QuotaCall> call = holder.nextCall(now);
        holder.receive(now, {"core-0#1", n, true, {{tenantHash(tenant), 1, 200ms, {}}}}, now);
        benchmark::DoNotOptimize(holder.takeDecided(now));
    };
    for (std::size_t first = 0; first < tenants; ++first) {
        request();
    }
    for (auto _ : state) {
        request();
    }
}

/// An entry host updates the plan of a service. The argument is the number of regions.
void planOfService(benchmark::State &state)
{
    BalanceSettings settings;
    RegionState regions;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        const std::string region = "region-" + std::to_string(n);
        settings.regionOfZone[zoneOf(static_cast<std::size_t>(n))] = region;
        regions.capacity[region] = 100;
        regions.demand[region] = n == 0 ? 90 : 50;
    }
    RegionPlanner planner(settings, "region-0");
    TimePoint now = Start;
    for (auto _ : state) {
        now += 200ms;
        benchmark::DoNotOptimize(planner.update("s", regions, true, now));
    }
}

BENCHMARK(report)->Arg(FewTargets)->Arg(ManyTargets);
BENCHMARK(renewals)->Arg(FewTargets)->Arg(ManyTargets);
BENCHMARK(changeForFollower)->Arg(FewTargets)->Arg(ManyTargets);
BENCHMARK(snapshot)->Arg(FewTargets)->Arg(ManyTargets)->Unit(benchmark::kMillisecond);
BENCHMARK(confirmations)->Arg(FewTargets)->Arg(ManyTargets);
BENCHMARK(choice)->Arg(FewTargets)->Arg(ManyTargets);
BENCHMARK(issueToken)->Args({11, 75})->Args({109, 75})->Args({109, 1000});
BENCHMARK(requestToken)->Args({1, 75})->Args({1, 1000});
BENCHMARK(planOfService)->Arg(3)->Arg(9);

} // namespace

} // namespace pepperlug::fleet

BENCHMARK_MAIN();
