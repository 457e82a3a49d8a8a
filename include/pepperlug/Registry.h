//===- pepperlug/Registry.h - Targets and hosts that report themselves -------===//
//
// The table of the last reports of targets, entry hosts and control hosts, which
// every control host keeps. Tables are merged by incarnation and sequence number,
// so reports may be late, repeated and out of order. Also the confirmations of a
// control host's updates, and the redirection of callers between regions. The
// code reads no clock: time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Codec.h"

#include <deque>
#include <limits>
#include <set>
#include <unordered_map>

namespace pepperlug::fleet
{

enum class Presence : std::uint8_t {
    Ready,
    Draining, ///< takes no new work
    Gone, ///< has ended; final for its incarnation
};
const char *nameOf(Presence presence);

/// A target's report of itself. Id and start time identify one incarnation: a target may restart under its id and then
/// has no knowledge of the incarnation before.
struct TargetReport {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t slots = 0; ///< requests that it runs concurrently
    Presence presence = Presence::Ready;
    Milliseconds coldLeft{}; ///< time for which it stays cold, from the report on
    std::uint64_t sequence = 0; ///< increases with each report of an incarnation and restarts with the next incarnation
    Milliseconds startedAt{}; ///< Unix time by the target's clock; 0 if it reports none
    MSGPACK_DEFINE(id, service, address, zone, slots, presence, coldLeft, sequence, startedAt);
};

/// Identity of a target's run from one start to its end.
struct Incarnation {
    std::string id;
    Milliseconds startedAt{}; ///< TargetReport::startedAt
    MSGPACK_DEFINE(id, startedAt);
    bool operator==(const Incarnation &) const = default;
    auto
    operator<=>(const Incarnation &) const = default; // NOLINT(modernize-use-nullptr): the check misreads this line
};

/// Completes a departure that a target reported, maybe with no more than its id, from the known report of the target.
/// A departure without a start time is that of the known incarnation.
TargetReport departureOf(const TargetReport &known, const TargetReport &reported);

enum class HostRole : std::uint8_t { Entry, Control };

/// Demand for a service at one entry host.
struct ServiceDemand {
    std::string service;
    double slots = 0; ///< arrivals per second times the seconds that one takes
    std::string homeRegion{}; ///< to which home regions bind the demand; empty: it is not bound
    MSGPACK_DEFINE(service, slots, homeRegion);
};

/// A host's report of itself. The id is newly drawn at each start.
struct HostReport {
    std::string id;
    HostRole role = HostRole::Entry;
    std::string zone;
    std::string address; ///< to which callers or operators connect
    std::string peer; ///< address to which other hosts connect
    Presence presence = Presence::Ready;
    std::vector<ServiceDemand> demand;
    std::uint64_t sequence = 0;
    double linkUse = 0; ///< demand of its callers, one way, as a fraction of its link; 0 if it can be ignored
    /// Of an entry host: services none of whose targets it reaches, in order. It relays its callers' requests for them.
    std::vector<std::string> unreachableServices;
    MSGPACK_DEFINE(id, role, zone, address, peer, presence, demand, sequence, linkUse, unreachableServices);
};

/// Returns the region of a zone; a zone that no region is known for is one of its own. The result may refer to `zone`.
const std::string &regionOf(const std::map<std::string, std::string> &regionOfZone, const std::string &zone);

/// A report that one host passes on to another.
template <typename Report>
struct AgedReport {
    Report report;
    Milliseconds age{}; ///< since it was received from its author
    bool isSilent = false; ///< nothing was received for too long
    MSGPACK_DEFINE(report, age, isSilent);
};

/// A newer report without a change, passed on in short form: its author is alive.
struct Renewal {
    std::string id;
    std::uint64_t sequence = 0;
    Milliseconds age{}; ///< since it was received from its author
    std::uint32_t digest = 0; ///< of the report's contents; a recipient with another digest has missed a change
    bool isCold = false;
    Milliseconds startedAt{}; ///< TargetReport::startedAt; 0 for a host
    MSGPACK_DEFINE(id, sequence, age, digest, isCold, startedAt);
};

/// Reports that one control host sends to another host.
struct RegistryChanges {
    std::vector<AgedReport<TargetReport>> targets;
    std::vector<AgedReport<HostReport>> hosts;
    std::vector<Renewal> renewals; ///< of targets and hosts whose report the recipient was sent before
    MSGPACK_DEFINE(targets, hosts, renewals);
    bool empty() const
    {
        return targets.empty() && hosts.empty() && renewals.empty();
    }
};

/// Kind of host that receives updates of a table that hosts share.
enum class UpdateRecipient : std::uint8_t {
    EntryHost, ///< receives what affects requests, whichever host observed it
    ControlHost, ///< receives what this host observed, or the hosts that it reports for
};

/// Table versions at which an entry of a shared table changed last; 0: never.
struct ChangeVersions {
    std::uint64_t forEntryHosts = 0;
    std::uint64_t forControlHosts = 0;
    std::uint64_t versionFor(UpdateRecipient recipient) const
    {
        return recipient == UpdateRecipient::ControlHost ? forControlHosts : forEntryHosts;
    }
};

/// Version counter of a shared table.
class ChangeTracker
{
public:
    /// Records a change of an entry. `isDirect`: observed by this host, or by a host that it reports for.
    void recordChange(ChangeVersions &entry, bool isDirect, bool mattersToEntryHosts)
    {
        ++m_version;
        for (ChangeVersions *it : {&entry, &m_newest}) {
            it->forControlHosts = isDirect ? m_version : it->forControlHosts;
            it->forEntryHosts = mattersToEntryHosts ? m_version : it->forEntryHosts;
        }
    }

    /// Returns true if a change for the recipient was recorded after a version.
    bool hasChangedSince(std::uint64_t version, UpdateRecipient recipient) const
    {
        return m_newest.versionFor(recipient) > version;
    }

    std::uint64_t version() const
    {
        return m_version;
    }

private:
    std::uint64_t m_version = 0;
    ChangeVersions m_newest; ///< of all entries
};

/// Demand for one service in one region, summed over entry hosts.
struct RegionDemand {
    std::string region;
    std::string service;
    double slots = 0; ///< of the region's callers, without what home regions bind
    double boundSlots = 0; ///< of callers anywhere, which home regions bind to this region
    MSGPACK_DEFINE(region, service, slots, boundSlots);
};

/// Time for which a target that is known only from before a restart may be used. Targets report themselves well within
/// it; one that did not may have begun to drain, and a host that has been in contact for some seconds must not send to
/// it.
constexpr Milliseconds RestoredTargetLifetime{2500};

/// Lease that an entry host renews with each poll of a control host. Once it is over nobody waits for the host to
/// confirm a departure or change, and the host knows so by its own clock. It polls twice a second, so two polls in a
/// row may fail. The lease ends well before what is promised of acknowledged departures and changes, 2 s and more.
constexpr Milliseconds UpdateLease{1800};
/// Leases after which an entry host that received nothing is isolated, as far as it can know: a poll that fails is
/// abandoned after 1.2 s, and the next control host is polled.
constexpr int LeasesUntilIsolated = 2;

/// Time for which the end of a target's incarnation is kept. A report from before it may arrive until then.
constexpr std::chrono::seconds DepartureRetention{60};

struct RegistrySettings {
    Duration targetExpiry = std::chrono::seconds(6); ///< a target without a report for this long is silent
    Duration hostExpiry = UpdateLease; ///< the same for hosts
    Duration retention = DepartureRetention; ///< for which reports of silent and gone targets and hosts are kept
};

/// Table of the last report of each target and host. A change is significant if entry hosts receive it: a renewal or a
/// new load of a host is not. The cost of a report, and of the changes since a version, does not depend on the number
/// of targets and hosts, except for the depth of sorted containers.
class Registry
{
public:
    explicit Registry(RegistrySettings settings = {});
    Registry(Registry &&) = default;
    Registry &operator=(Registry &&) = default;
    Registry(const Registry &) = delete; // the indexes refer to the entries
    Registry &operator=(const Registry &) = delete;
    ~Registry() = default;

    template <typename Report>
    struct Entry {
        Report report;
        TimePoint receivedAt{};
        bool isDirect = false; ///< received from its author, not from another host
        bool isSilent = false;
        std::uint64_t receivedVersion = 0; ///< table version at the last report
        std::uint64_t changedVersion = 0; ///< table version at the last significant change
        std::uint64_t loadVersion = 0; ///< table version at the last change of a host's load
        TimePoint checkAt{}; ///< when it is checked next for its expiry
    };
    using TargetEntry = Entry<TargetReport>;
    using HostEntry = Entry<HostReport>;

    /// Applies a report from its author. Returns false if it is late or its incarnation has ended.
    bool receive(const TargetReport &report, TimePoint now);
    bool receive(const HostReport &report, TimePoint now);
    /// Applies reports that another host passed on. Returns false if a renewal is of a report that is not known here,
    /// so that everything that the other host has must be requested.
    bool merge(const RegistryChanges &changes, TimePoint now);
    /// Marks targets and hosts without a recent report as silent, and removes those that ended long ago. `mayExpire` is
    /// false while this host can't tell whether it is isolated itself.
    void expire(TimePoint now, bool mayExpire);

    /// Returns reports received directly after a version, as renewals where nothing changed; with 0 the whole table.
    RegistryChanges receivedSince(std::uint64_t version, TimePoint now) const;
    /// Returns reports with a significant change after a version.
    RegistryChanges changedSince(std::uint64_t version, TimePoint now) const;
    /// Returns the targets that drain or have ended among those with a significant change after a version.
    std::vector<TargetReport> departuresSince(std::uint64_t version) const;
    std::uint64_t version() const;
    /// Returns the version of the latest significant change.
    std::uint64_t changedVersion() const;
    /// Returns the version of the latest significant change of a host.
    std::uint64_t hostsVersion() const;
    /// Returns how many entries all calls together have read or changed.
    std::uint64_t visitedEntries() const;

    /// An entry host that is ready and not silent; valid until the next report is applied.
    struct LiveEntryHost {
        const std::string *region = nullptr;
        const HostReport *report = nullptr;
    };
    std::vector<LiveEntryHost> liveEntryHosts(const std::map<std::string, std::string> &regionOfZone) const;
    /// Returns the demand that live entry hosts report, summed by region and service.
    std::vector<RegionDemand> demand(const std::map<std::string, std::string> &regionOfZone) const;

    const std::map<std::string, TargetEntry> &targets() const;
    const std::map<std::string, HostEntry> &hosts() const;
    /// Returns the known control hosts by id, also silent and gone ones.
    const std::map<std::string_view, const HostEntry *> &controlHosts() const;
    const TargetEntry *target(const std::string &id) const;
    /// Returns true if a host is ready and not silent.
    static bool isLive(const HostEntry &entry);

private:
    /// Reports of one kind, and the orders in which they are looked for.
    template <typename Report>
    struct Table {
        std::map<std::string, Entry<Report>> entries; ///< by id
        std::map<std::uint64_t, Entry<Report> *> byChange; ///< by changedVersion
        std::map<std::uint64_t, Entry<Report> *> byReceipt; ///< those received directly, by receivedVersion
        std::set<std::pair<TimePoint, std::string_view>> expiryChecks; ///< by checkAt, with the id
    };

    template <typename Report>
    bool apply(Table<Report> &table, const Report &report, TimePoint receivedAt, bool isDirect);
    template <typename Report>
    bool applyRenewal(Table<Report> &table, const Renewal &renewal, TimePoint now);
    template <typename Report>
    void recordReceipt(Table<Report> &table, Entry<Report> &entry, bool isDirect);
    template <typename Report>
    void recordEntryChange(Table<Report> &table, Entry<Report> &entry);
    template <typename Report>
    void dropFromOrders(Table<Report> &table, Entry<Report> &entry);
    template <typename Report>
    Duration expiryOf(const Entry<Report> &entry) const;
    template <typename Report>
    void scheduleCheck(Table<Report> &table, Entry<Report> &entry, TimePoint at);
    template <typename Report>
    void expireIn(Table<Report> &table, TimePoint now, bool mayExpire);
    template <typename Report>
    void addReceived(RegistryChanges &changes, const Table<Report> &table, std::uint64_t version, TimePoint now) const;
    void addToIndex(TargetEntry &entry);
    void addToIndex(HostEntry &entry);
    void removeFromIndex(const TargetEntry &entry);
    void removeFromIndex(const HostEntry &entry);
    void resolveAddressConflict(const TargetReport &report);
    static void resolveAddressConflict(const HostReport &report);
    void recordDirectDeparture(const TargetReport &report);

    RegistrySettings m_settings;
    Table<TargetReport> m_targets;
    Table<HostReport> m_hosts;
    std::unordered_map<std::string, std::vector<TargetEntry *>> m_targetsAt; ///< by address
    std::map<std::string_view, const HostEntry *> m_controlHosts; ///< by id
    std::uint64_t m_version = 0;
    std::uint64_t m_changedVersion = 0;
    std::uint64_t m_hostsVersion = 0;
    mutable std::uint64_t m_visited = 0;
};

/// Entry hosts of one region and the use of their links.
struct RegionLoad {
    unsigned hosts = 0;
    double linkUse = 0; ///< HostReport::linkUse, mean over the hosts
};

/// Share of a region's callers that is redirected to entry hosts of another region.
struct RedirectedShare {
    std::string region; ///< to which they are redirected
    double fraction = 0; ///< of all callers of the region that they come from
    bool operator==(const RedirectedShare &) const = default;
};

/// Redirects callers of a region whose entry hosts have loaded links to another region. Shares change slowly, since the
/// callers of each region are also served by its own targets first.
class CallerShares
{
public:
    /// Adapts the shares to the current load of all regions; regions that are not listed are removed.
    void update(const std::map<std::string, RegionLoad> &regions, TimePoint now);
    /// Returns the share of the region's callers that is redirected, and where to.
    RedirectedShare redirectedFrom(const std::string &region) const;

private:
    std::map<std::string, RedirectedShare> m_redirected; ///< by the region that the callers come from
    std::optional<TimePoint> m_updatedAt;
};

/// Hosts of which each directory answer names the next few, so that all are named equally often.
class HostRotation
{
public:
    /// Most hosts that one directory answer names.
    static constexpr std::size_t MaxHostsPerAnswer = 64;

    /// Replaces the hosts. Their order depends on the seed alone, so a host that is added or removed moves no other.
    void assign(std::vector<std::string> addresses, std::uint64_t seed);
    /// Returns the next hosts: all of them if there are at most MaxHostsPerAnswer.
    std::vector<std::string> next();

private:
    std::vector<std::string> m_addresses;
    std::size_t m_next = 0;
};

/// Gathers updates, so that the replies which announce them use a bounded share of a processor whatever the number of
/// recipients and the rate of updates.
class ReplySchedule
{
public:
    /// Longest time for which an update is held back. An acknowledgement waits for two control hosts in a row, and
    /// targets give up on one after a second.
    static constexpr Milliseconds MaxGatherTime{250};

    explicit ReplySchedule(Duration costPerReply);
    /// Returns the time from one round of replies to the next.
    Duration gatherTime(std::size_t recipients) const;
    bool isDue(TimePoint now, std::size_t recipients) const;
    void recordReplies(TimePoint now);

private:
    Duration m_costPerReply;
    std::optional<TimePoint> m_repliedAt;
};

/// Versions up to which a host has applied the updates of one control host.
struct UpdateVersions {
    std::uint64_t registryVersion = 0; ///< of the control host's registry
    std::uint64_t routingIndex = 0; ///< log index
    /// Returns versions beyond any that may occur.
    static UpdateVersions max()
    {
        constexpr std::uint64_t Unlimited = std::numeric_limits<std::uint64_t>::max();
        return {Unlimited, Unlimited};
    }
    bool operator==(const UpdateVersions &) const = default;
    /// Returns true if both versions are at least the wanted ones; a wanted 0 is always reached.
    bool reaches(const UpdateVersions &wanted) const
    {
        return registryVersion >= wanted.registryVersion && routingIndex >= wanted.routingIndex;
    }
    MSGPACK_DEFINE(registryVersion, routingIndex);
};

/// Versions of another host's table, each with the version of this host's table that holds all updates up to it.
class MergedVersions
{
public:
    /// Records that all updates up to their version `theirs` are in this host's table at version `own`, which never
    /// decreases. `epoch` identifies the other host's incarnation: its versions restart with each.
    void record(const std::string &epoch, std::uint64_t theirs, std::uint64_t own);
    /// Returns their latest known version whose updates are all in this host's table at version `own`; 0 if there is
    /// none, or for another epoch than that of record().
    std::uint64_t reachedAt(const std::string &epoch, std::uint64_t own) const;
    /// Drops what is only needed for versions of this host's table before `own`.
    void dropReached(std::uint64_t own);

private:
    struct VersionPair {
        std::uint64_t theirs = 0;
        std::uint64_t own = 0;
    };

    std::string m_epoch;
    std::deque<VersionPair> m_pairs; ///< both versions increase
};

/// Records which hosts have applied which updates, at one control host: its own followers (the entry hosts that poll
/// it) by their polls, those of other control hosts by what these confirm. One object lives as long as the registry
/// whose versions it refers to.
class UpdateConfirmations
{
public:
    /// A follower is waited for until `lease` after its last poll.
    explicit UpdateConfirmations(Duration lease);

    /// Records a poll of an entry host that acts on all updates of this host up to `applied`. The latest call counts.
    void recordPoll(const std::string &id, UpdateVersions applied, TimePoint now);
    /// Renews the lease of an entry host that is alive and acts on nothing yet: it is still waited for, by what it was
    /// sent last.
    void renewFollowerLease(const std::string &id, TimePoint now);
    /// Records that an entry host that has no updates is sent all up to `sent`. Until the reply arrives the host sends
    /// nothing to any target, so only updates after the reply have to wait for it. Call it only with the reply to the
    /// latest poll.
    void recordFirstReply(const std::string &id, UpdateVersions sent);
    /// Removes an entry host that has ended. One that follows another control host may be removed once each control
    /// host that relies on this one's confirmations has one of the other that includes it; until then its lease
    /// continues here.
    void removeFollower(const std::string &id);
    /// Records that all updates of another control host up to its registry version `theirs` have been applied; this
    /// host's own registry version is then `own`. `epoch` identifies the other host's incarnation: its versions restart
    /// with each.
    void recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs, std::uint64_t own);
    /// Returns the versions of the other host's updates that this host and all its followers in lease have applied.
    /// `registryVersion` is 0 if the epoch is not the one of recordMerge(); `routingIndex` is the lowest of
    /// `ownRoutingIndex`, the log index applied here, and those of the followers.
    UpdateVersions versionsConfirmedTo(const std::string &peer, const std::string &epoch, std::uint64_t ownRoutingIndex,
                                       TimePoint now) const;
    /// Records what another control host confirms of this host's updates, for itself and its followers. The caller has
    /// checked that the epoch is this host's. The latest call counts.
    void recordPeerConfirmation(const std::string &peer, UpdateVersions confirmed);
    /// Returns true if all followers in lease and all of `peers` (the live control hosts) have confirmed versions of
    /// this host's own updates. A version of 0 needs no confirmation. Its cost does not depend on the number of
    /// followers.
    bool isConfirmed(UpdateVersions versions, const std::vector<std::string> &peers, TimePoint now) const;
    /// Returns the hosts for which isConfirmed() is false: followers in lease, then those of `peers`.
    std::vector<std::string> unconfirmedHosts(UpdateVersions versions, const std::vector<std::string> &peers,
                                              TimePoint now) const;
    /// State of an entry host that polled this host.
    struct Follower {
        UpdateVersions applied;
        TimePoint polledAt{};
        std::uint64_t sentRoutingIndex = 0; ///< log index that it receives at least, while it has no routing
    };
    /// Returns nothing if the entry host is not known.
    std::optional<Follower> follower(const std::string &id) const;
    /// Removes followers whose lease ended long ago and peers that are not among the known ones; to be called
    /// periodically.
    void removeExpired(const std::vector<std::string> &peers, TimePoint now);
    /// Returns the number of followers in lease.
    std::size_t waitedFollowers(TimePoint now) const;
    /// Returns how many followers all calls together have read or changed.
    std::uint64_t visitedFollowers() const;

private:
    /// Followers that are waited for, in the orders in which they are looked for.
    struct Waited {
        std::set<std::pair<TimePoint, std::string_view>> byPoll; ///< with the id
        std::multiset<std::uint64_t> registryVersions;
        std::multiset<std::uint64_t> routingIndexes;
    };

    bool isInLease(const Follower &follower, TimePoint now) const;
    void waitFor(std::string_view id, const Follower &follower) const;
    void stopWaitingFor(std::string_view id, const Follower &follower) const;
    void endLeases(TimePoint now) const;
    UpdateVersions lowestFollowerVersions(TimePoint now) const;
    void dropReachedPairs(TimePoint now);
    bool hasConfirmed(const std::string &peer, UpdateVersions versions) const;

    Duration m_lease;
    std::map<std::string, Follower> m_followers; ///< by id
    mutable Waited m_waited; ///< of m_followers
    mutable std::uint64_t m_visited = 0;
    std::map<std::string, MergedVersions> m_merged; ///< by peer
    std::map<std::string, UpdateVersions> m_confirmed; ///< by peer
};

} // namespace pepperlug::fleet

PEPPERLUG_CODEC_ENUM(pepperlug::fleet::Presence);
PEPPERLUG_CODEC_ENUM(pepperlug::fleet::HostRole);
