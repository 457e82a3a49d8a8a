//===- RelayHosts.h - Entry hosts that can relay requests -------*- C++ -*-===//
#pragma once

#include "pepperlug/Balance.h"

#include <random>
#include <unordered_map>

namespace pepperlug::fleet
{

/// An entry host that a host which reaches no target of a service may relay to.
struct RelayHost {
    std::string id;
    std::string address; ///< for callers
    std::string region;
    std::vector<std::string> unreachableServices; ///< as it reports
    TimePoint avoidedUntil{}; ///< it could not be reached, or could not serve
};

/// Requirements of a request on the host that it is relayed to.
struct RelayQuery {
    const std::string &service;
    const AllowedRegions &regions;
    const std::set<std::string> &excluded; ///< ids
};

/// Live entry hosts other than this one.
class RelayHosts
{
public:
    explicit RelayHosts(const BalanceSettings &settings);

    void apply(const AgedReport<HostReport> &report);
    /// Returns a host at random that reaches the service and is in an allowed region, or null if there is none: of this
    /// host's region if possible, or of all regions if most hosts of this one are cut off from the service.
    const RelayHost *choose(const RelayQuery &query, std::mt19937_64 &random, TimePoint now) const;
    /// Returns true if the host is live at the address.
    bool isLive(const std::string &id, const std::string &address) const;
    /// Records that a host could not be reached, or could not serve.
    void avoid(const std::string &id, TimePoint now);

private:
    bool hasRoomInRegion(const std::string &service) const;

    const BalanceSettings &m_settings;
    std::unordered_map<std::string, RelayHost> m_hosts;
};

} // namespace pepperlug::fleet
