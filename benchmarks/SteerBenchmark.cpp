//===- SteerBenchmark.cpp - Cost of decisions -----------------------------===//
//
// One decision is a request that arrives and is placed, and the end of an earlier one. Arguments: targets in the zone,
// zones.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Steer.h"

#include <benchmark/benchmark.h>

namespace pepperlug
{

namespace
{

/// A bundle with so many zones, and so many targets in each.
std::string bundleText(unsigned zones, unsigned targetsInZone)
{
    using nlohmann::json;
    json regions = json::array();
    json hosts = json::array();
    json targets = json::array();
    for (unsigned zone = 0; zone < zones; ++zone) {
        const std::string number = std::to_string(zone);
        const std::string name = "z" + number;
        regions.push_back({{"name", "r" + number}, {"zones", {name}}});
        hosts.push_back({{"name", "h" + number},
                         {"zone", name},
                         {"http", "10.1." + number + ".1:1"},
                         {"peer", "10.1." + number + ".1:2"}});
        for (unsigned n = 0; n < targetsInZone; ++n) {
            targets.push_back({{"name", "t" + number + "-" + std::to_string(n)},
                               {"zone", name},
                               {"address", "10.2." + number + ".1:" + std::to_string(1000 + n)},
                               {"slots", 6},
                               {"connections", 100}});
        }
    }
    const std::string key(64, 'a');
    const json service{{"name", "s"}, {"routes", {{{"prefix", "/"}, {"class", "read"}}}}, {"targets", targets}};
    const json bundle{{"owner", "bench"},
                      {"version", 1},
                      {"policy", json::object()},
                      {"latency", {{"same_region_ms", 1}, {"other_region_ms", 20}, {"client_ms", 5}}},
                      {"regions", regions},
                      {"entry_hosts", hosts},
                      {"services", json::array({service})},
                      {"operators",
                       {{{"name", "a"}, {"public_key", key}, {"roles", {"propose"}}},
                        {{"name", "b"}, {"public_key", key}, {"roles", {"sign"}}}}}};
    return bundle.dump();
}

class Host
{
public:
    explicit Host(const benchmark::State &state)
        : m_bundle(parseBundle(bundleText(static_cast<unsigned>(state.range(1)), static_cast<unsigned>(state.range(0))),
                               "bench"))
    {
        SteerSettings settings;
        settings.hostName = "h0";
        settings.ledgerId = "x";
        m_steering.emplace(settings, m_now);
        reduce(ConfigApplied{m_bundle, 1, {}, {}, {}});
    }

    void reduce(const Event &event)
    {
        m_effects.clear();
        m_steering->reduce(event, m_now, m_effects);
        benchmark::DoNotOptimize(m_effects.data());
    }

    RequestId nextId()
    {
        return makeId<RequestId>(++m_lastId);
    }

    TimePoint advance(Duration by)
    {
        m_now += by;
        return m_now;
    }

private:
    BundlePtr m_bundle;
    TimePoint m_now{std::chrono::seconds(100)};
    std::optional<Steering> m_steering;
    Effects m_effects;
    std::uint64_t m_lastId = 0;
};

void request(benchmark::State &state)
{
    Host host(state);
    const auto inFlight = static_cast<std::size_t>(state.range(0) * 3); // half of six slots a target
    std::deque<RequestId> running;
    for (auto it : state) {
        RequestArrived event;
        event.id = host.nextId();
        event.cls = RouteClass::Read;
        event.deadline = host.advance(std::chrono::microseconds(2)) + std::chrono::seconds(1);
        host.reduce(event);
        running.push_back(event.id);
        if (running.size() > inFlight) {
            host.reduce(AttemptEnded{running.front(), 0, AttemptResult::Answered, false, nullptr});
            running.pop_front();
        }
    }
    state.SetItemsProcessed(state.iterations());
}

void lookup(benchmark::State &state)
{
    Host host(state);
    for (auto it : state) {
        host.advance(std::chrono::microseconds(2));
        host.reduce(LookupArrived{host.nextId(), ServiceId{}, makeId<ZoneId>(0)});
    }
    state.SetItemsProcessed(state.iterations());
}

void tick(benchmark::State &state)
{
    Host host(state);
    for (auto it : state) {
        host.advance(Milliseconds(10));
        host.reduce(Tick{});
    }
}

void sizes(benchmark::internal::Benchmark *it)
{
    for (const long targets : {10, 30, 100, 300, 1000}) {
        it->Args({targets, 6});
    }
    it->Args({10, 12})->Args({10, 24})->Args({100, 24});
}

BENCHMARK(request)->Apply(sizes);
BENCHMARK(lookup)->Apply(sizes);
BENCHMARK(tick)->Apply(sizes);

} // namespace

} // namespace pepperlug

BENCHMARK_MAIN();
