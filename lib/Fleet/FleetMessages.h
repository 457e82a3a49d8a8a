//===- FleetMessages.h - What hosts of a fleet say to each other -*- C++ -*-===//
#pragma once

#include "pepperlug/Backpressure.h"
#include "pepperlug/Quarantine.h"
#include "pepperlug/Quota.h"

namespace pepperlug::fleet::path
{
constexpr const char *FleetWatch = "/fleet/watch";
constexpr const char *FleetRouting = "/fleet/routing";
constexpr const char *FleetAlive = "/fleet/alive";
constexpr const char *FleetConfirm = "/fleet/confirm";
constexpr const char *FleetProbe = "/fleet/trial";
constexpr const char *FleetJoin = "/fleet/join";
constexpr const char *FleetControlHosts = "/fleet/control-hosts";
} // namespace pepperlug::fleet::path

namespace pepperlug::fleet
{

/// What a host tells another one from a table that hosts keep together, and asks of the other one's.
template <typename Report>
struct UpdateOffer {
    std::uint64_t since = 0; ///< version of the asked host's table that the asker has
    /// By an entry host: what it noticed since it was told that the asked host has the rest; all that it knows where
    /// the asked host has nothing of it yet.
    std::vector<Report> reports;
    std::uint64_t version = 0; ///< version of the asker's table that the asked host has with them
    MSGPACK_DEFINE(since, reports, version);
};

/// What is replied to a UpdateOffer.
template <typename Report>
struct UpdateReply {
    std::vector<Report> reports; ///< that changed since UpdateOffer::since
    std::uint64_t version = 0; ///< of the told host's table
    std::uint64_t acknowledged = 0; ///< UpdateOffer::version of the ask
    MSGPACK_DEFINE(reports, version, acknowledged);
};

/// Body of path::FleetWatch: a host says that it lives and asks for what it has not got yet. Also of path::FleetAlive,
/// which says the same and asks for nothing, while the reply to an ask is still on its way.
struct FleetWatchCall {
    HostReport self;
    std::string epoch; ///< of the asked host's registry, as known to the asker; empty at first
    std::uint64_t since = 0; ///< registry version that the asker has
    std::uint64_t routingIndex = 0; ///< log index of the routing that the asker has
    std::uint64_t newestRoutingIndex = 0; ///< of the newest routing that it has heard of; if later, it is being fetched
    Milliseconds maxWait{}; ///< how long the reply may be held back
    /// By a control host: news of the asked host that it and all its followers have. By an entry host: the log index
    /// such that it decides nothing by an older routing.
    NewsPosition confirmed;
    UpdateOffer<SuspectReport> suspects; ///< requests under which targets ended
    UpdateOffer<BackpressureReport> backpressure; ///< what targets ask for in their answers
    std::uint64_t loadsSince = 0; ///< version of the asked host's QuotaSums that the asker has
    MSGPACK_DEFINE(self, epoch, since, routingIndex, newestRoutingIndex, maxWait, confirmed, suspects, backpressure,
                   loadsSince);
};

/// Reply to path::FleetWatch.
struct FleetWatchReply {
    std::string epoch;
    std::uint64_t version = 0;
    bool isCurrent = false; ///< the replying host is in touch with a majority
    RegistryChanges changes;
    bool isWhole = false; ///< `changes` holds all that the replying host knows
    std::vector<RegionDemand> demand; ///< for entry hosts: load of all regions
    std::vector<TargetReport> cachedTargets; ///< for entry hosts that know nothing: from before the told host's restart
    std::uint64_t routingIndex = 0; ///< for entry hosts: log index of the newest routing
    /// For entry hosts that have an older one: what changed since, where it is short; a long one is asked for apart, so
    /// that nothing else queues behind it.
    std::vector<std::string> routingChanges;
    UpdateReply<SuspectReport> suspects;
    UpdateReply<BackpressureReport> backpressure;
    std::uint64_t loadsVersion = 0; ///< for entry hosts: version of the told host's QuotaSums
    std::vector<TenantLoad> loads; ///< for entry hosts: all of them, where the asker has another version
    MSGPACK_DEFINE(epoch, version, isCurrent, changes, isWhole, demand, cachedTargets, routingIndex, routingChanges,
                   suspects, backpressure, loadsVersion, loads);
};

/// Body of path::FleetProbe: may a request that is shut out be tried once? The leading control host decides.
struct FleetProbeCall {
    std::string digest;
    bool isForwarded = false; ///< by a control host that does not lead
    MSGPACK_DEFINE(digest, isForwarded);
};

/// Reply to path::FleetProbe.
struct FleetProbeReply {
    bool isGranted = false;
    MSGPACK_DEFINE(isGranted);
};

/// Body of path::FleetConfirm: a control host tells another one at once what its next ask would tell later.
struct FleetConfirmCall {
    std::string host; ///< id of the confirming host's life
    std::string peer; ///< its address
    std::uint64_t sequence = 0; ///< one count with that of its reports
    std::string epoch; ///< of the registry that is confirmed
    NewsPosition confirmed;
    MSGPACK_DEFINE(host, peer, sequence, epoch, confirmed);
};

/// Body of path::FleetRouting: an entry host asks for what changed in the routing.
struct FleetRoutingCall {
    std::uint64_t index = 0; ///< log index of the routing that it has
    MSGPACK_DEFINE(index);
};

/// Reply to path::FleetRouting.
struct FleetRoutingReply {
    std::vector<std::string> changes; ///< RoutingHistory::since()
    MSGPACK_DEFINE(changes);
};

/// Reply to path::FleetControlHosts, whose body is empty: a host that knows its seeds alone asks which control hosts
/// live, so that it can follow one near it. It is no follower of the one that it asks.
struct FleetControlHostsReply {
    std::vector<HostReport> hosts;
    MSGPACK_DEFINE(hosts);
};

/// Body of path::FleetJoin: a control host asks to be a member.
struct MembershipCall {
    std::string name;
    std::string diskId;
    std::string zone;
    MSGPACK_DEFINE(name, diskId, zone);
};

} // namespace pepperlug::fleet
