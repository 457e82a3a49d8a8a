//===- FleetMessages.h - Messages between hosts of a fleet ------*- C++ -*-===//
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
constexpr const char *FleetQuota = "/fleet/quota";
constexpr const char *FleetQuotaLoan = "/fleet/quota-loan";
constexpr const char *FleetControlHosts = "/fleet/control-hosts";
} // namespace pepperlug::fleet::path

namespace pepperlug::fleet
{

/// Place of a list that earlier versions send. Sent as an empty list, and not read.
struct RemovedList {
    template <typename Packer>
    void msgpack_pack(Packer &packer) const // NOLINT(readability-identifier-naming): named by the library
    {
        packer.pack_array(0);
    }
    void msgpack_unpack(const msgpack::object &) // NOLINT(readability-identifier-naming): named by the library
    {
    }
};

/// Updates of a shared table that a host sends to another one, and the version from which on it requests updates.
template <typename Report>
struct UpdateOffer {
    std::uint64_t since = 0; ///< version of the receiver's table that the sender has
    /// From an entry host: the events that it has noticed and that the receiver has not acknowledged; the whole table
    /// if the receiver's incarnation has not acknowledged any.
    std::vector<Report> reports;
    std::uint64_t version = 0; ///< version of the sender's table, including `reports`
    MSGPACK_DEFINE(since, reports, version);
};

/// Reply to an UpdateOffer.
template <typename Report>
struct UpdateReply {
    std::vector<Report> reports; ///< changed since UpdateOffer::since
    std::uint64_t version = 0; ///< of the replying host's table
    std::uint64_t acknowledged = 0; ///< UpdateOffer::version of the request
    MSGPACK_DEFINE(reports, version, acknowledged);
};

/// Body of path::FleetWatch: a heartbeat, and a poll for updates. Also the body of path::FleetAlive, a heartbeat
/// without a poll that is sent while a reply is pending.
struct FleetWatchCall {
    HostReport self;
    std::string epoch; ///< of the receiver's registry, as known to the sender; empty at first
    std::uint64_t since = 0; ///< registry version that the sender has
    std::uint64_t routingIndex = 0; ///< log index of the routing that the sender has
    /// Log index of the newest routing advertised to the sender; if higher than routingIndex, the sender is fetching
    /// it.
    std::uint64_t newestRoutingIndex = 0;
    Milliseconds maxWait{}; ///< longest time for which the reply may be held
    /// From a control host: the version and index of the receiver's state that the sender and all its followers have.
    /// From an entry host: the log index of the oldest routing by which it decides.
    UpdateVersions confirmed;
    UpdateOffer<SuspectReport> suspects; ///< requests under which targets crashed
    UpdateOffer<BackpressureReport> backpressure; ///< rate limits and departures advertised in targets' answers
    std::uint64_t removedLoadsSince = 0; ///< used by earlier versions
    bool readsPacked = false; ///< the sender reads packed parts of FleetWatchReply; false in calls of earlier versions
    /// From a control host: registry version up to which it has saved the departures; earlier versions save none and
    /// send nothing.
    std::uint64_t saved = std::numeric_limits<std::uint64_t>::max();
    MSGPACK_DEFINE(self, epoch, since, routingIndex, newestRoutingIndex, maxWait, confirmed, suspects, backpressure,
                   removedLoadsSince, readsPacked, saved);
};

/// Reply to path::FleetAlive. It is short, so it arrives beside a long reply on a slow link. Replies of earlier
/// versions are empty.
struct FleetAliveReply {
    bool isCurrent = false; ///< the replying host has contact to a majority
    std::uint64_t routingIndex = 0; ///< log index of its routing
    MSGPACK_DEFINE(isCurrent, routingIndex);
};

/// Reply to path::FleetWatch.
struct FleetWatchReply {
    std::string epoch;
    std::uint64_t version = 0;
    bool isCurrent = false; ///< the replying host has contact to a majority
    RegistryChanges changes;
    bool isWhole = false; ///< `changes` is the full state of the replying host
    std::vector<RegionDemand> demand; ///< for entry hosts: demand of all regions
    /// For entry hosts without state: targets known before the restart of the replying host.
    std::vector<TargetReport> cachedTargets;
    std::uint64_t routingIndex = 0; ///< for entry hosts: log index of the newest routing
    /// For entry hosts with an older routing: the changes since, if they are short. Long changes are fetched
    /// separately, so that other updates don't queue behind them.
    std::vector<std::string> routingChanges;
    UpdateReply<SuspectReport> suspects;
    UpdateReply<BackpressureReport> backpressure;
    std::uint64_t removedLoadsVersion = 0; ///< used by earlier versions
    RemovedList removedLoads; ///< used by earlier versions
    std::vector<std::string> packedChanges; ///< packChanges() of many changes, in place of `changes`; empty: none
    std::vector<std::string> packedCachedTargets; ///< packTargets() of many cached targets, in place of `cachedTargets`
    MSGPACK_DEFINE(epoch, version, isCurrent, changes, isWhole, demand, cachedTargets, routingIndex, routingChanges,
                   suspects, backpressure, removedLoadsVersion, removedLoads, packedChanges, packedCachedTargets);
};

/// Body of path::FleetProbe: asks whether a quarantined request may be probed once. The leading control host decides.
struct FleetProbeCall {
    std::string digest;
    bool isForwarded = false; ///< by a control host that isn't the leader
    MSGPACK_DEFINE(digest, isForwarded);
};

/// Reply to path::FleetProbe.
struct FleetProbeReply {
    bool isGranted = false;
    MSGPACK_DEFINE(isGranted);
};

/// Body of path::FleetConfirm: a confirmation that a control host sends at once instead of with its next poll.
struct FleetConfirmCall {
    std::string host; ///< incarnation id of the confirming host
    std::string peer; ///< address of the confirming host
    std::uint64_t sequence = 0; ///< from the same counter as the sequence of its reports
    std::string epoch; ///< of the confirmed registry
    UpdateVersions confirmed;
    std::uint64_t saved = 0; ///< FleetWatchCall::saved
    MSGPACK_DEFINE(host, peer, sequence, epoch, confirmed, saved);
};

/// Body of path::FleetRouting: an entry host fetches the changes of the routing.
struct FleetRoutingCall {
    std::uint64_t index = 0; ///< log index of the routing that it has
    MSGPACK_DEFINE(index);
};

/// Reply to path::FleetRouting.
struct FleetRoutingReply {
    std::vector<std::string> changes; ///< RoutingHistory::changesSince()
    MSGPACK_DEFINE(changes);
};

/// Reply to path::FleetControlHosts, whose body is empty. A host that knows only its seeds requests the live control
/// hosts, so that it can follow a near one. The request doesn't make it a follower of the receiver.
struct FleetControlHostsReply {
    std::vector<HostReport> hosts;
    /// The replying host has had time to hear of all live control hosts since its start; true in replies of earlier
    /// versions.
    bool isComplete = true;
    MSGPACK_DEFINE(hosts, isComplete);
};

/// Body of path::FleetJoin: a control host requests membership.
struct MembershipCall {
    std::string name;
    std::string diskId;
    std::string zone;
    MSGPACK_DEFINE(name, diskId, zone);
};

} // namespace pepperlug::fleet
