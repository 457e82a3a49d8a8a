//===- Bundle.cpp - Look-ups within a checked bundle ----------------------===//
#include "pepperlug/Bundle.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

template <typename Id, typename Item>
std::optional<Id> findNamed(const std::vector<Item> &items, const std::string &name)
{
    const auto it = std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.name == name; });
    if (it == items.end()) {
        return std::nullopt;
    }
    return makeId<Id>(static_cast<std::size_t>(it - items.begin()));
}

} // namespace

const char *nameOf(RouteClass cls)
{
    switch (cls) {
    case RouteClass::Read:
        return "read";
    case RouteClass::Plain:
        return "plain";
    case RouteClass::Once:
        return "once";
    }
    return "plain";
}

RouteClass Service::classOf(const std::string &method, const std::string &path) const
{
    for (const Route &route : routes) {
        const bool sameMethod = route.method.empty() || route.method == method;
        if (sameMethod && path.starts_with(route.prefix)) {
            return route.cls;
        }
    }
    return RouteClass::Plain;
}

std::optional<ZoneId> Bundle::findZone(const std::string &name) const
{
    return findNamed<ZoneId>(zones, name);
}

std::optional<HostId> Bundle::findHost(const std::string &name) const
{
    return findNamed<HostId>(hosts, name);
}

std::optional<ServiceId> Bundle::findService(const std::string &name) const
{
    return findNamed<ServiceId>(services, name);
}

std::optional<TargetId> Bundle::findTarget(const std::string &name) const
{
    return findNamed<TargetId>(targets, name);
}

std::optional<ServiceId> Bundle::findServiceByHostName(const std::string &hostName) const
{
    for (std::size_t n = 0; n < services.size(); ++n) {
        const auto &names = services[n].hostNames;
        if (std::find(names.begin(), names.end(), hostName) != names.end()) {
            return makeId<ServiceId>(n);
        }
    }
    return std::nullopt;
}

const Operator *Bundle::findOperator(const std::string &name) const
{
    const auto it =
        std::find_if(operators.begin(), operators.end(), [&](const Operator &who) { return who.name == name; });
    return it == operators.end() ? nullptr : &*it;
}

RegionId Bundle::regionOf(ZoneId zone) const
{
    return zones[idx(zone)].region;
}

RegionId Bundle::regionOf(HostId host) const
{
    return regionOf(hosts[idx(host)].zone);
}

std::chrono::microseconds Bundle::latency(ZoneId from, ZoneId to) const
{
    if (from == to) {
        return latencies.sameZone;
    }
    return regionOf(from) == regionOf(to) ? latencies.sameRegion : latencies.otherRegion;
}

} // namespace pepperlug
