//===- Decisions.cpp - Cost of decisions and of client look-ups -----------===//
#include "Measures.h"

#include <algorithm>
#include <iostream>

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

double nanosecondsSince(std::chrono::steady_clock::time_point start, std::size_t count)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count()
        / static_cast<double>(count);
}

Steering makeSteering(const BundlePtr &bundle, TimePoint now)
{
    SteerSettings settings;
    settings.hostName = "h0";
    settings.ledgerId = "x";
    Steering steering(settings, now);
    Effects effects;
    steering.reduce(ConfigApplied{bundle, 1, {}, {}, {}}, now, effects);
    return steering;
}

/// One decision: a request arrives and is placed, and its attempt ends.
double requestCost(const BundlePtr &bundle, unsigned inFlight)
{
    constexpr std::size_t Count = 300000;
    TimePoint now(std::chrono::seconds(100));
    Steering steering = makeSteering(bundle, now);
    Effects effects;
    std::deque<std::pair<RequestId, unsigned>> running;
    std::uint64_t id = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < Count; ++n) {
        now += std::chrono::microseconds(2);
        effects.clear();
        RequestArrived event;
        event.id = makeId<RequestId>(++id);
        event.cls = RouteClass::Read;
        event.deadline = now + std::chrono::seconds(1);
        steering.reduce(event, now, effects);
        running.emplace_back(event.id, 0);
        if (running.size() > inFlight) {
            effects.clear();
            steering.reduce(AttemptEnded{running.front().first, 0, AttemptResult::Answered, false, nullptr}, now,
                            effects);
            running.pop_front();
        }
    }
    return nanosecondsSince(start, Count);
}

double lookupCost(const BundlePtr &bundle)
{
    constexpr std::size_t Count = 300000;
    TimePoint now(std::chrono::seconds(100));
    Steering steering = makeSteering(bundle, now);
    Effects effects;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < Count; ++n) {
        effects.clear();
        now += std::chrono::microseconds(2);
        steering.reduce(LookupArrived{makeId<RequestId>(n), ServiceId{}, makeId<ZoneId>(0)}, now, effects);
    }
    return nanosecondsSince(start, Count);
}

double tickCost(const BundlePtr &bundle)
{
    constexpr std::size_t Count = 2000;
    TimePoint now(std::chrono::seconds(100));
    Steering steering = makeSteering(bundle, now);
    Effects effects;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < Count; ++n) {
        effects.clear();
        now += Milliseconds(10);
        steering.reduce(Tick{}, now, effects);
    }
    return nanosecondsSince(start, Count);
}

} // namespace

ExitCode measureDecisions(const MeasureContext &)
{
    printRow({"targets in zone", "zones", "request ns", "decisions/s", "look-up ns", "tick ns"});
    const std::vector<std::pair<unsigned, unsigned>> sizes{{10, 6},   {30, 6},  {100, 6}, {300, 6},
                                                           {1000, 6}, {10, 12}, {10, 24}, {100, 24}};
    for (const auto &[targets, zones] : sizes) {
        const BundlePtr bundle = parseBundle(bundleText(zones, targets), "bench");
        const double request = requestCost(bundle, targets * 3);
        printRow({std::to_string(targets), std::to_string(zones), fixed(request, 0), fixed(1e9 / request, 0),
                  fixed(lookupCost(bundle), 0), fixed(tickCost(bundle), 0)});
    }
    return ExitCode::Success;
}

ExitCode measureClients(const MeasureContext &context)
{
    constexpr std::size_t Lookups = 2000000;
    printRow({"blocks", "family", "bytes MB", "median ns", "p99 ns", "build ms"});
    for (const std::size_t blocks : {69000UL, 345000UL, 690000UL}) {
        for (const bool isV4 : {true, false}) {
            std::mt19937_64 random(context.seed);
            ClientMap map;
            std::set<std::uint64_t> taken;
            while (taken.size() < blocks) {
                const std::uint64_t bits = random() >> (isV4 ? 40 : 16); // a /24, or a /48
                if (!taken.insert(bits).second) {
                    continue;
                }
                std::string text;
                if (isV4) {
                    text = std::to_string(bits >> 16 & 255) + "." + std::to_string(bits >> 8 & 255) + "."
                        + std::to_string(bits & 255) + ".0/24";
                } else {
                    std::array<char, 48> buf{};
                    std::snprintf(buf.data(), buf.size(), "%x:%x:%x::/48", static_cast<unsigned>(bits >> 32 & 0xffff),
                                  static_cast<unsigned>(bits >> 16 & 0xffff), static_cast<unsigned>(bits & 0xffff));
                    text = buf.data();
                }
                map.add(text, makeId<ZoneId>(bits % 24));
            }
            const std::vector<std::uint64_t> known(taken.begin(), taken.end());
            const auto buildStart = std::chrono::steady_clock::now();
            map.build();
            const double buildMs = nanosecondsSince(buildStart, 1) / 1e6;
            // Timed in groups of 64, since the clock itself costs about as much as a look-up.
            constexpr std::size_t Group = 64;
            std::vector<double> costs;
            std::uint64_t found = 0;
            std::vector<std::uint64_t> keys(Group);
            for (std::size_t n = 0; n < Lookups / Group; ++n) {
                std::generate(keys.begin(), keys.end(),
                              [&] { return known[random() % known.size()] << (isV4 ? 8 : 16); });
                const auto start = std::chrono::steady_clock::now();
                for (const std::uint64_t key : keys) {
                    const auto zone = isV4 ? map.findV4(static_cast<std::uint32_t>(key)) : map.findV6(key);
                    found += zone ? 1 : 0;
                }
                costs.push_back(nanosecondsSince(start, Group));
            }
            std::sort(costs.begin(), costs.end());
            printRow({std::to_string(blocks), isV4 ? "IPv4" : "IPv6", fixed(static_cast<double>(map.bytes()) / 1e6, 1),
                      fixed(costs[costs.size() / 2], 0), fixed(costs[costs.size() * 99 / 100], 0), fixed(buildMs, 0)});
            if (found != Lookups / Group * Group) {
                throw Error("measure", "", "a look-up did not find its block");
            }
        }
    }
    return ExitCode::Success;
}

} // namespace pepperlug
