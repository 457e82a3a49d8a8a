//===- RouteTable.cpp - Matching and checking of routes -------------------===//
#include "pepperlug/Routes.h"

#include <algorithm>
#include <set>

namespace pepperlug::fleet
{

namespace
{

/// An objective may exceed the time limit of its route by less than this.
constexpr Milliseconds MaxObjectiveExcess = std::chrono::minutes(1);

void checkRoute(const RouteTable &table, const Route &route, const std::string &path, const std::string &file,
                Findings &findings)
{
    const auto fault = [&](const std::string &key, const std::string &reason) {
        findings.push_back({file, path + key, reason});
    };
    const bool hasSlashes = !route.prefix.empty() && route.prefix.front() == '/' && route.prefix.back() == '/';
    if (!hasSlashes) {
        fault(".prefix", "must begin and end with a slash");
    }
    if (route.attempts == 0) {
        fault(".attempts", "must be 1 or more");
    }
    if (route.timeout <= Milliseconds(0)) {
        fault(".timeout", "must be longer than 0");
    }
    if (route.objective >= route.timeout + MaxObjectiveExcess) {
        fault(".objective", "exceeds the time limit of the route by a minute or more");
    }
    double sum = 0;
    for (const WeightedService &part : route.services) {
        if (table.service(part.service) == nullptr) {
            fault(".service", "unknown service \"" + part.service + "\"");
        }
        if (part.weight < 0) {
            fault(".weight", "must not be below 0");
        }
        sum += part.weight;
    }
    if (sum <= 0) {
        fault(".services", "the weights sum to 0");
    }
}

} // namespace

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool fits = route.host == host && path.starts_with(route.prefix);
        if (fits && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

const ServiceTraits *RouteTable::service(std::string_view name) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const ServiceTraits &service) { return service.name == name; });
    return it == services.end() ? nullptr : &*it;
}

Findings checkRouteTable(const RouteTable &table, const std::string &file)
{
    Findings findings;
    std::set<std::string> services;
    for (const ServiceTraits &service : table.services) {
        if (!services.insert(service.name).second) {
            findings.push_back({file, "services", "\"" + service.name + "\" is given twice"});
        }
    }
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t n = 0; n < table.routes.size(); ++n) {
        const Route &route = table.routes[n];
        const std::string path = "routes[" + std::to_string(n) + "]";
        checkRoute(table, route, path, file, findings);
        if (!places.emplace(route.host, route.prefix).second) {
            findings.push_back({file, path, "another route has the same host and prefix"});
        }
    }
    return findings;
}

} // namespace pepperlug::fleet
