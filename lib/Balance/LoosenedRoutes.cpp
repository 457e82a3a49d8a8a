//===- LoosenedRoutes.cpp - Paths that were once-only lately --------------===//
#include "LoosenedRoutes.h"

namespace pepperlug::fleet
{

namespace
{

/// Longest time from the sending of a request to the arrival of its first byte.
constexpr std::chrono::seconds TransitTime{2};
/// Age from which on a request is once-only, as the tables that it was sent by may be forgotten.
constexpr std::chrono::seconds OldestAge{30};

} // namespace

// The path of a request leads from a once-only route to a repeatable one only if the former was removed or changed, or
// if the latter was added below it.
void LoosenedRoutes::replace(const RouteTable &before, const RouteIndex &indexBefore, const RouteTable &after,
                             TimePoint now)
{
    removeExpired(now);
    std::set<std::pair<std::string_view, std::string_view>> onceOnly;
    for (const Route &it : after.routes) {
        if (it.kind == RouteKind::OnceOnly) {
            onceOnly.emplace(it.host, it.prefix);
            continue;
        }
        const Route *old = indexBefore.match(it.host, it.prefix);
        if (old != nullptr && old->kind == RouteKind::OnceOnly) {
            m_hosts[it.host][it.prefix] = now;
        }
    }
    for (const Route &it : before.routes) {
        if (it.kind == RouteKind::OnceOnly && !onceOnly.contains({it.host, it.prefix})) {
            m_hosts[it.host][it.prefix] = now;
        }
    }
}

bool LoosenedRoutes::covers(const std::string &host, std::string_view path, Duration age, TimePoint now) const
{
    if (age > OldestAge) {
        return true;
    }
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end()) {
        return false;
    }
    for (std::size_t end = path.find('/'); end != std::string_view::npos; end = path.find('/', end + 1)) {
        const auto prefix = it->second.find(path.substr(0, end + 1));
        if (prefix != it->second.end() && now - age - TransitTime <= prefix->second) {
            return true;
        }
    }
    return false;
}

std::size_t LoosenedRoutes::size() const
{
    std::size_t size = 0;
    for (const auto &[host, prefixes] : m_hosts) {
        size += prefixes.size();
    }
    return size;
}

void LoosenedRoutes::removeExpired(TimePoint now)
{
    for (auto &[host, prefixes] : m_hosts) {
        std::erase_if(prefixes, [&](const auto &it) { return now - it.second > OldestAge + TransitTime; });
    }
    std::erase_if(m_hosts, [](const auto &it) { return it.second.empty(); });
}

} // namespace pepperlug::fleet
