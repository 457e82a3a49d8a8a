//===- RouteTable.cpp - Matching and checking of routes -------------------===//
#include "pepperlug/Routes.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace pepperlug::fleet
{

namespace
{

/// An objective may exceed the timeout of its route by less than this.
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
        fault(".objective", "must not exceed the timeout of the route by a minute or more");
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
        fault(".services", "the weights must sum to more than 0");
    }
}

// Findings name the field and its path, never a key.
void checkTenant(const Tenant &tenant, const std::string &path, const std::string &file, Findings &findings)
{
    const auto fault = [&](const std::string &key, const std::string &reason) {
        findings.push_back({file, path + key, reason});
    };
    const auto isAmount = [](double value) {
        return std::isfinite(value) && value >= 0;
    };
    if (tenant.name.empty()) {
        fault(".name", "must not be empty");
    }
    if (!isAmount(tenant.limit.perSecond)) {
        fault(".limit.perSecond", "must be a number not below 0");
    }
    if (!isAmount(tenant.limit.burst)) {
        fault(".limit.burst", "must be a number not below 0");
    }
}

void checkTenants(const RouteTable &table, const std::string &file, Findings &findings)
{
    std::set<std::string_view> names;
    std::map<std::string_view, std::size_t> tenantOfKey; // tenant of each key, by index
    for (std::size_t n = 0; n < table.tenants.size(); ++n) {
        const Tenant &tenant = table.tenants[n];
        const std::string path = "tenants[" + std::to_string(n) + "]";
        checkTenant(tenant, path, file, findings);
        if (!names.insert(tenant.name).second) {
            findings.push_back({file, path + ".name", "\"" + tenant.name + "\" is given twice"});
        }
        for (std::size_t key = 0; key < tenant.keyDigests.size(); ++key) {
            const auto [holder, isNew] = tenantOfKey.emplace(tenant.keyDigests[key], n);
            if (!isNew) {
                findings.push_back({file, path + ".keys[" + std::to_string(key) + "]",
                                    "is also a key of tenants[" + std::to_string(holder->second) + "]"});
            }
        }
    }
}

/// Length of the longest common prefix of two texts, in bytes.
std::size_t commonPrefixLength(std::string_view a, std::string_view b)
{
    const auto ends = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    return static_cast<std::size_t>(ends.first - a.begin());
}

} // namespace

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::size_t RouteTable::routesWithHomeRegions() const
{
    return static_cast<std::size_t>(
        std::count_if(routes.begin(), routes.end(), [](const Route &it) { return !it.homeRegions.empty(); }));
}

bool RouteTable::hasHomeRegions() const
{
    const auto isBound = [](const Tenant &it) {
        return !it.homeRegions.empty();
    };
    return routesWithHomeRegions() > 0 || std::any_of(tenants.begin(), tenants.end(), isBound);
}

const ServiceTraits *RouteTable::service(std::string_view name) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const ServiceTraits &service) { return service.name == name; });
    return it == services.end() ? nullptr : &*it;
}

RouteIndex::RouteIndex(std::shared_ptr<const RouteTable> table)
    : m_table(std::move(table))
{
    for (const Route &route : m_table->routes) {
        m_hosts[route.host].push_back(&route);
    }
    const auto isBefore = [](const Route *a, const Route *b) {
        return a->prefix < b->prefix;
    };
    const auto isSame = [](const Route *a, const Route *b) {
        return a->prefix == b->prefix;
    };
    for (auto &[host, routes] : m_hosts) {
        // Of routes with the same host and prefix the first in the table matches.
        std::stable_sort(routes.begin(), routes.end(), isBefore);
        routes.erase(std::unique(routes.begin(), routes.end(), isSame), routes.end());
    }
    for (const Tenant &tenant : m_table->tenants) {
        for (const std::string &digest : tenant.keyDigests) {
            m_tenants.emplace(digest, &tenant);
        }
    }
}

const Tenant *RouteIndex::tenantOf(const std::string &keyDigest) const
{
    const auto it = m_tenants.find(keyDigest);
    return it == m_tenants.end() ? nullptr : it->second;
}

// Each text that sorts between a prefix of the path and the path begins with that prefix too. So the last route that
// does not sort after the path either is the longest prefix, or all prefixes of the path lie within the prefix that
// this route and the path have in common.
const Route *RouteIndex::match(std::string_view host, std::string_view path) const
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end()) {
        return nullptr;
    }
    const std::vector<const Route *> &routes = it->second;
    const auto isBefore = [](std::string_view text, const Route *route) {
        return text < route->prefix;
    };
    auto end = routes.end();
    while (true) {
        end = std::upper_bound(routes.begin(), end, path, isBefore);
        if (end == routes.begin()) {
            return nullptr;
        }
        const Route *route = *std::prev(end);
        if (path.starts_with(route->prefix)) {
            return route;
        }
        path = path.substr(0, commonPrefixLength(path, route->prefix));
    }
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
    checkTenants(table, file, findings);
    return findings;
}

} // namespace pepperlug::fleet
