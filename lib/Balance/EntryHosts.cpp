//===- EntryHosts.cpp - Live entry hosts as known to one of them ----------===//
#include "EntryHosts.h"

namespace pepperlug::fleet
{

namespace
{

void subtractOne(std::map<std::string, std::size_t> &counts, const std::string &name)
{
    const auto it = counts.find(name);
    if (--it->second == 0) {
        counts.erase(it);
    }
}

std::size_t countOf(const std::map<std::string, std::size_t> &counts, const std::string &name)
{
    const auto it = counts.find(name);
    return it == counts.end() ? 0 : it->second;
}

} // namespace

EntryHosts::EntryHosts(const RegionOfZone &regionOfZone)
    : m_regionOfZone(regionOfZone)
{
}

void EntryHosts::apply(const AgedReport<HostReport> &report)
{
    const HostReport &host = report.report;
    if (host.role != HostRole::Entry) {
        return;
    }
    const bool isLive = host.presence == Presence::Ready && !report.isSilent;
    if (isLive && !contains(host.id)) {
        add(host.id, host.zone);
    } else if (!isLive) {
        remove(host.id);
    }
}

void EntryHosts::add(const std::string &id, const std::string &zone)
{
    m_zones.emplace(id, zone);
    ++m_inZone[zone];
    ++m_inRegion[regionOf(zone)];
    ++m_version;
}

void EntryHosts::remove(const std::string &id)
{
    const auto it = m_zones.find(id);
    if (it == m_zones.end()) {
        return;
    }
    subtractOne(m_inZone, it->second);
    subtractOne(m_inRegion, regionOf(it->second));
    m_zones.erase(it);
    ++m_version;
}

std::size_t EntryHosts::size() const
{
    return m_zones.size();
}

bool EntryHosts::contains(const std::string &id) const
{
    return m_zones.contains(id);
}

std::size_t EntryHosts::inZone(const std::string &zone) const
{
    return countOf(m_inZone, zone);
}

std::size_t EntryHosts::inRegion(const std::string &region) const
{
    return countOf(m_inRegion, region);
}

const std::map<std::string, std::size_t> &EntryHosts::byRegion() const
{
    return m_inRegion;
}

const std::string &EntryHosts::regionOf(const std::string &zone) const
{
    return fleet::regionOf(m_regionOfZone, zone);
}

const std::map<std::string, std::string> &EntryHosts::zones() const
{
    return m_zones;
}

std::uint64_t EntryHosts::version() const
{
    return m_version;
}

} // namespace pepperlug::fleet
