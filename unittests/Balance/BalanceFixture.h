//===- BalanceFixture.h - Fixture for tests of the balancer -----*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

#include <algorithm>

namespace pepperlug::fleet
{

using namespace std::chrono_literals;

/// One entry host, whose events and time the test supplies.
class Host
{
public:
    explicit Host(const std::string &zone = "z1", std::uint64_t seed = 1)
        : Host(settingsOf(zone, seed))
    {
    }

    explicit Host(const BalanceSettings &settings)
        : balancer(settings)
    {
        table.version = 1;
        table.services = {{"s", 100, 3s, 4}};
        table.routes = {routeOf("/read/", RouteKind::Repeatable), routeOf("/once/", RouteKind::OnceOnly)};
    }

    static BalanceSettings settingsOf(const std::string &zone, std::uint64_t seed)
    {
        BalanceSettings it;
        it.zone = zone;
        it.regionOfZone = {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}};
        it.retries = {0.2, 10s, 40};
        it.seed = seed;
        return it;
    }

    static Route routeOf(const std::string &prefix, RouteKind kind)
    {
        Route it;
        it.name = prefix;
        it.host = "h";
        it.prefix = prefix;
        it.kind = kind;
        it.timeout = 2s;
        it.objective = 400ms;
        it.services = {{"s", 1}};
        it.attempts = 2;
        it.sticky = true;
        return it;
    }

    static TargetReport targetOf(const std::string &id, const std::string &zone = "z1", unsigned slots = 4)
    {
        return {id,  "s", "10.0.0." + std::to_string(1 + hash64(id) % 250) + ":80", zone, slots, Presence::Ready,
                0ms, 1};
    }

    static HostReport entryOf(const std::string &id, const std::string &zone)
    {
        HostReport it;
        it.id = id;
        it.zone = zone;
        it.sequence = 1;
        return it;
    }

    void reduce(const BalanceEvent &event)
    {
        effects.clear();
        balancer.reduce(event, now, effects);
    }

    void useTable(const std::set<std::string> &evacuated = {})
    {
        reduce(RoutesChanged{std::make_shared<RouteTable>(table), evacuated, routingIndex});
    }

    void report(const TargetReport &target)
    {
        RegistryChanges changes;
        changes.targets.push_back({target, 0ms, false});
        reduce(ReportsChanged{changes});
    }

    void report(const HostReport &host)
    {
        RegistryChanges changes;
        changes.hosts.push_back({host, 0ms, false});
        reduce(ReportsChanged{changes});
    }

    /// Sends a request. Its id is the number of requests so far.
    RequestId request(const std::string &path, const std::string &key = {}, std::optional<Duration> deadline = {})
    {
        const auto id = static_cast<RequestId>(++lastRequest);
        reduce(CallerRequest{id, "h", path, key, deadline});
        return id;
    }

    void end(RequestId id, unsigned attempt, AttemptOutcome outcome)
    {
        reduce(AttemptEnded{id, attempt, outcome, {}, 0});
    }

    template <typename Effect>
    const Effect *find() const
    {
        for (const BalanceEffect &it : effects) {
            if (const auto *effect = std::get_if<Effect>(&it)) {
                return effect;
            }
        }
        return nullptr;
    }

    RouteTable table;
    std::uint64_t routingIndex = 0; ///< of the next useTable()
    Balancer balancer;
    TimePoint now{1000s};
    BalanceEffects effects;
    std::uint64_t lastRequest = 0;
};

} // namespace pepperlug::fleet
