//===- RelayHosts.cpp - Entry hosts that can relay requests ---------------===//
#include "RelayHosts.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Time for which a host that could not be reached, or could not serve, is avoided.
constexpr Milliseconds AvoidTime{500};

bool reaches(const RelayHost &host, const std::string &service)
{
    return std::ranges::find(host.unreachableServices, service) == host.unreachableServices.end();
}

} // namespace

RelayHosts::RelayHosts(const BalanceSettings &settings)
    : m_settings(settings)
{
}

void RelayHosts::apply(const AgedReport<HostReport> &report)
{
    const HostReport &host = report.report;
    if (host.role != HostRole::Entry || host.id == m_settings.host) {
        return;
    }
    if (host.presence != Presence::Ready || report.isSilent) {
        m_hosts.erase(host.id);
        return;
    }
    RelayHost &entry = m_hosts[host.id];
    entry.id = host.id;
    entry.address = host.address;
    entry.region = regionOf(m_settings.regionOfZone, host.zone);
    entry.unreachableServices = host.unreachableServices;
}

// The hosts of the region that reach targets must not each relay for more than one other.
bool RelayHosts::hasRoomInRegion(const std::string &service) const
{
    const std::string &own = regionOf(m_settings.regionOfZone, m_settings.zone);
    std::size_t cutOff = 1; // this one
    std::size_t others = 0;
    for (const auto &[id, host] : m_hosts) {
        if (host.region == own) {
            ++(reaches(host, service) ? others : cutOff);
        }
    }
    return others >= cutOff;
}

// The caller's region is not known, so this host's own region is no exception from the allowed regions.
const RelayHost *RelayHosts::choose(const RelayQuery &query, std::mt19937_64 &random, TimePoint now) const
{
    const std::string &own = regionOf(m_settings.regionOfZone, m_settings.zone);
    const bool staysInRegion = hasRoomInRegion(query.service);
    std::vector<const RelayHost *> preferred;
    std::vector<const RelayHost *> others;
    for (const auto &[id, host] : m_hosts) {
        const bool isOwn = host.region == own;
        const bool isAllowed = query.regions.contains(host.region);
        if (!isAllowed || !reaches(host, query.service) || now < host.avoidedUntil || query.excluded.contains(id)) {
            continue;
        }
        (isOwn || !staysInRegion ? preferred : others).push_back(&host);
    }
    const std::vector<const RelayHost *> &hosts = preferred.empty() ? others : preferred;
    return hosts.empty() ? nullptr : hosts[random() % hosts.size()];
}

bool RelayHosts::isLive(const std::string &id, const std::string &address) const
{
    const auto it = m_hosts.find(id);
    return it != m_hosts.end() && it->second.address == address;
}

void RelayHosts::avoid(const std::string &id, TimePoint now)
{
    const auto it = m_hosts.find(id);
    if (it != m_hosts.end()) {
        it->second.avoidedUntil = now + AvoidTime;
    }
}

} // namespace pepperlug::fleet
