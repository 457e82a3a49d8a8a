//===- EntryHosts.h - Live entry hosts as known to one of them --*- C++ -*-===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// Ids of the live entry hosts, and their number by zone and region.
class EntryHosts
{
public:
    using RegionOfZone = std::map<std::string, std::string>;

    /// `regionOfZone` must outlive this object.
    explicit EntryHosts(const RegionOfZone &regionOfZone);

    void apply(const AgedReport<HostReport> &report);
    std::size_t size() const;
    bool contains(const std::string &id) const;
    std::size_t inZone(const std::string &zone) const;
    std::size_t inRegion(const std::string &region) const;
    /// Returns the number of hosts by region; only of regions that have some.
    const std::map<std::string, std::size_t> &byRegion() const;
    /// As fleet::regionOf().
    const std::string &regionOf(const std::string &zone) const;
    /// Returns the zone of each host by its id.
    const std::map<std::string, std::string> &zones() const;
    /// Rises when a host is added or removed.
    std::uint64_t version() const;

private:
    void add(const std::string &id, const std::string &zone);
    void remove(const std::string &id);

    const RegionOfZone &m_regionOfZone;
    std::map<std::string, std::string> m_zones; ///< by id
    std::map<std::string, std::size_t> m_inZone;
    std::map<std::string, std::size_t> m_inRegion;
    std::uint64_t m_version = 1;
};

} // namespace pepperlug::fleet
