//===- FleetMessages.h - What hosts of a fleet say to each other -*- C++ -*-===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet::path
{
constexpr const char *FleetWatch = "/fleet/watch";
constexpr const char *FleetJoin = "/fleet/join";
} // namespace pepperlug::fleet::path

namespace pepperlug::fleet
{

/// Body of path::FleetWatch: a host says that it lives and asks for what it has not got yet.
struct FleetWatchCall {
    HostReport self;
    std::string epoch; ///< of the asked host's registry, as known to the asker; empty at first
    std::uint64_t since = 0; ///< registry version that the asker has
    std::uint64_t routingIndex = 0; ///< log index of the routing that the asker has
    Milliseconds patience{}; ///< how long the reply may be held back
    MSGPACK_DEFINE(self, epoch, since, routingIndex, patience);
};

/// Reply to path::FleetWatch.
struct FleetWatchReply {
    std::string epoch;
    std::uint64_t version = 0;
    bool isCurrent = false; ///< the replying host is in touch with a majority
    RegistryChanges changes;
    bool isWhole = false; ///< `changes` holds all that the replying host knows
    std::vector<RegionDemand> demand; ///< for entry hosts: load of all regions
    std::vector<TargetReport> remembered; ///< for entry hosts that know nothing: from before the told host's restart
    bool hasRouting = false; ///< the following fields are set
    std::uint64_t routingIndex = 0;
    std::string tableText; ///< empty: none was ever put
    std::vector<std::string> evacuatedZones;
    MSGPACK_DEFINE(epoch, version, isCurrent, changes, isWhole, demand, remembered, hasRouting, routingIndex, tableText,
                   evacuatedZones);
};

/// Body of path::FleetJoin: a control host asks to be a member.
struct MembershipCall {
    std::string name;
    std::string diskId;
    std::string zone;
    MSGPACK_DEFINE(name, diskId, zone);
};

} // namespace pepperlug::fleet
