//===- pepperlug/Registry.h - Targets and hosts that report themselves -------===//
//
// A table of what targets, entry hosts and control hosts said of themselves
// last, as every control host keeps it. Tables are merged by incarnation and
// sequence number, so reports may be late, repeated and out of order. And who
// has confirmed what of a control host's news. Pure: time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Codec.h"

#include <limits>
#include <unordered_map>

namespace pepperlug::fleet
{

enum class Presence : std::uint8_t {
    Ready,
    Draining, ///< takes no new work
    Gone, ///< has ended; final for its incarnation
};
const char *nameOf(Presence presence);

/// What a target says of itself. An id and a start stand for one incarnation: a target may start again under its id,
/// and then knows nothing of before.
struct TargetReport {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t slots = 0; ///< requests that it runs at once
    Presence presence = Presence::Ready;
    Milliseconds coldLeft{}; ///< how much longer it stays cold, as of the report
    std::uint64_t sequence = 0; ///< rises with each report of an incarnation, and begins anew with the next one
    Milliseconds startedAt{}; ///< Unix time by the target's clock; 0 if it does not tell
    MSGPACK_DEFINE(id, service, address, zone, slots, presence, coldLeft, sequence, startedAt);
};

/// One life of a target, from a start to its end.
struct Incarnation {
    std::string id;
    Milliseconds startedAt{}; ///< TargetReport::startedAt
    MSGPACK_DEFINE(id, startedAt);
    bool operator==(const Incarnation &) const = default;
    auto
    operator<=>(const Incarnation &) const = default; // NOLINT(modernize-use-nullptr): the check misreads this line
};

/// A departure as its target said it, which may name no more than the id, with what is known of the target otherwise.
/// Where no start is said it is that of the known incarnation.
TargetReport departureOf(const TargetReport &known, const TargetReport &said);

enum class HostRole : std::uint8_t { Entry, Control };

/// Requests for a service that one entry host takes.
struct ServiceDemand {
    std::string service;
    double slots = 0; ///< arrivals a second times the time that one takes
    MSGPACK_DEFINE(service, slots);
};

/// Requests in a tenant's name that one entry host is asked for.
struct TenantDemand {
    std::uint64_t tenant = 0; ///< hash of its name
    float perSecond = 0;
    bool operator==(const TenantDemand &) const = default;
    MSGPACK_DEFINE(tenant, perSecond);
};

/// What a host of the system says of itself. The id is drawn at each start.
struct HostReport {
    std::string id;
    HostRole role = HostRole::Entry;
    std::string zone;
    std::string address; ///< where callers or operators connect
    std::string peer; ///< where other hosts connect
    Presence presence = Presence::Ready;
    std::vector<ServiceDemand> demand;
    std::uint64_t sequence = 0;
    double linkUse = 0; ///< part of its link that its callers ask for, one way; 0 if it need not be minded
    std::vector<TenantDemand> tenants{}; ///< of tenants with a limit
    MSGPACK_DEFINE(id, role, zone, address, peer, presence, demand, sequence, linkUse, tenants);
};

/// A report as one host passes it on to another.
template <typename Report>
struct AgedReport {
    Report report;
    Milliseconds age{}; ///< since it was heard from its author
    bool isSilent = false; ///< nothing was heard for too long
    MSGPACK_DEFINE(report, age, isSilent);
};

/// A new report that says nothing new: its author lives.
struct Renewal {
    std::string id;
    std::uint64_t sequence = 0;
    Milliseconds age{}; ///< since it was heard from its author
    std::uint32_t digest = 0; ///< of what the report says; a reader that knows the author otherwise missed a change
    bool isCold = false;
    Milliseconds startedAt{}; ///< of a target: TargetReport::startedAt
    MSGPACK_DEFINE(id, sequence, age, digest, isCold, startedAt);
};

struct RegistryChanges {
    std::vector<AgedReport<TargetReport>> targets;
    std::vector<AgedReport<HostReport>> hosts;
    std::vector<Renewal> renewals; ///< of targets and hosts that the reader was told of before
    MSGPACK_DEFINE(targets, hosts, renewals);
    bool empty() const
    {
        return targets.empty() && hosts.empty() && renewals.empty();
    }
};

/// Who reads what is new in a table that hosts keep together.
enum class UpdateRecipient : std::uint8_t {
    EntryHost, ///< needs what matters to requests, whoever noticed it
    ControlHost, ///< needs what was noticed here, or told by the hosts that this one speaks for
};

/// Versions of such a table at which an entry of it changed last; 0: never.
struct ChangeVersions {
    std::uint64_t forEntryHosts = 0;
    std::uint64_t forControlHosts = 0;
    std::uint64_t versionFor(UpdateRecipient reader) const
    {
        return reader == UpdateRecipient::ControlHost ? forControlHosts : forEntryHosts;
    }
};

/// Counts the changes of such a table.
class ChangeTracker
{
public:
    /// An entry has changed. `isDirect`: noticed here, or told by a host that this one speaks for.
    void recordChange(ChangeVersions &entry, bool isDirect, bool mattersToEntryHosts)
    {
        ++m_version;
        for (ChangeVersions *it : {&entry, &m_newest}) {
            it->forControlHosts = isDirect ? m_version : it->forControlHosts;
            it->forEntryHosts = mattersToEntryHosts ? m_version : it->forEntryHosts;
        }
    }

    bool hasChangedSince(std::uint64_t version, UpdateRecipient reader) const
    {
        return m_newest.versionFor(reader) > version;
    }

    std::uint64_t version() const
    {
        return m_version;
    }

private:
    std::uint64_t m_version = 0;
    ChangeVersions m_newest;
};

/// What the entry hosts of one region ask of one service, all together.
struct RegionDemand {
    std::string region;
    std::string service;
    double slots = 0;
    MSGPACK_DEFINE(region, service, slots);
};

/// How long a target that is known from before a restart only may be used. Targets report themselves well within it;
/// one that did not may have begun to drain, and a host that has been in touch for some seconds must not send to it.
constexpr Milliseconds RestoredTargetLifetime{2500};

/// An entry host that asked no control host for so long is not waited for when something is acknowledged, and by its
/// own clock knows it. It asks twice a second, so that two asks in a row may fail; it ends well before what is promised
/// of acknowledged departures and changes, 2 s and more.
constexpr Milliseconds UpdateLease{1800};
/// An entry host that has heard nothing for so many leases is cut off, as far as it can know: an ask that fails is
/// given up after 1.2 s, and the next control host is asked.
constexpr int LeasesUntilIsolated = 2;

struct RegistrySettings {
    Duration targetExpiry = std::chrono::seconds(6); ///< a target that was not heard for so long is silent
    Duration hostExpiry = UpdateLease; ///< the same for hosts
    Duration retention = std::chrono::seconds(60); ///< silent or gone reports are kept so long
};

class Registry
{
public:
    explicit Registry(RegistrySettings settings = {});

    template <typename Report>
    struct Entry {
        Report report;
        TimePoint receivedAt{};
        bool isDirect = false; ///< heard from its author, not from another host
        bool isSilent = false;
        std::uint64_t receivedVersion = 0; ///< table version at the last report
        std::uint64_t changedVersion = 0; ///< table version at the last change that matters
        std::uint64_t loadVersion = 0; ///< table version at the last change of a host's load
    };
    using TargetEntry = Entry<TargetReport>;
    using HostEntry = Entry<HostReport>;

    /// Takes a report from its author. Returns false if it is late or its incarnation has ended.
    bool receive(const TargetReport &report, TimePoint now);
    bool receive(const HostReport &report, TimePoint now);
    /// Takes what another host passed on. Returns false if it renews a report that is not known here, so that all that
    /// the other host knows has to be asked for.
    bool merge(const RegistryChanges &changes, TimePoint now);
    /// Marks what was not heard for too long as silent and forgets what has been gone for long. `mayExpire` is false
    /// while this host can't know whether it is itself that is cut off.
    void expire(TimePoint now, bool mayExpire);

    /// All that was heard directly after a version, as a renewal where it says nothing new; with 0 all there is.
    RegistryChanges receivedSince(std::uint64_t version, TimePoint now) const;
    /// All that changed in a way that matters after a version.
    RegistryChanges changedSince(std::uint64_t version, TimePoint now) const;
    std::uint64_t version() const;
    /// Version of the newest change that matters.
    std::uint64_t changedVersion() const;

    /// An entry host that is known, ready and lately heard; valid until the next report is taken.
    struct LiveEntryHost {
        const std::string *region = nullptr;
        const HostReport *report = nullptr;
    };
    std::vector<LiveEntryHost> liveEntryHosts(const std::map<std::string, std::string> &regionOfZone) const;
    /// Load that live entry hosts report, summed by region.
    std::vector<RegionDemand> demand(const std::map<std::string, std::string> &regionOfZone) const;

    /// Requests in each tenant's name that entry hosts are asked for, by the hash of the name. A host that has not
    /// ended is taken to be asked for as much as it said last until `hold` after it was heard.
    std::unordered_map<std::uint64_t, double> tenantDemand(TimePoint now, Duration hold) const;

    const std::map<std::string, TargetEntry> &targets() const;
    const std::map<std::string, HostEntry> &hosts() const;
    const TargetEntry *target(const std::string &id) const;
    /// Whether a host is known, ready and lately heard.
    static bool isLive(const HostEntry &entry);

private:
    template <typename Report>
    bool take(std::map<std::string, Entry<Report>> &table, const Report &report, TimePoint receivedAt, bool isDirect);
    template <typename Report>
    bool renew(std::map<std::string, Entry<Report>> &table, const Renewal &renewal, TimePoint now);
    template <typename Report>
    void expireIn(std::map<std::string, Entry<Report>> &table, TimePoint now, Duration expiry, bool mayExpire);
    void settleAddress(const TargetReport &report);
    static void settleAddress(const HostReport &report);
    void hearAgain(const TargetReport &report);
    template <typename Report>
    void noteChange(Entry<Report> &entry);

    RegistrySettings m_settings;
    std::map<std::string, TargetEntry> m_targets;
    std::map<std::string, HostEntry> m_hosts;
    std::uint64_t m_version = 0;
    std::uint64_t m_changedVersion = 0;
};

/// Entry hosts of one region, and how much of their links their callers ask for.
struct RegionLoad {
    unsigned hosts = 0;
    double linkUse = 0; ///< mean over the hosts
};

/// Callers that are sent to entry hosts of a region which is not their own.
struct RedirectedShare {
    std::string region; ///< where they go
    double fraction = 0; ///< of the callers of the region that they come from
};

/// Decides which callers of a region whose entry hosts have full links go to another region's. Moves slowly, since each
/// region's callers are also served by its own targets first.
class CallerShares
{
public:
    /// To be called with all regions as they are now.
    void update(const std::map<std::string, RegionLoad> &regions, TimePoint now);
    RedirectedShare redirectedFrom(const std::string &region) const;

private:
    std::map<std::string, RedirectedShare> m_guests; ///< by the region that they come from
    std::optional<TimePoint> m_movedAt;
};

/// How far a host has taken over the news of one control host.
struct UpdateVersions {
    std::uint64_t registryVersion = 0; ///< version of the control host's registry
    std::uint64_t routingIndex = 0; ///< log index
    /// Beyond all news that there may be.
    static UpdateVersions max()
    {
        constexpr std::uint64_t Unlimited = std::numeric_limits<std::uint64_t>::max();
        return {Unlimited, Unlimited};
    }
    bool operator==(const UpdateVersions &) const = default;
    /// Whether it is as far as the other one in both; a 0 there asks for nothing.
    bool reaches(const UpdateVersions &wanted) const
    {
        return registryVersion >= wanted.registryVersion && routingIndex >= wanted.routingIndex;
    }
    MSGPACK_DEFINE(registryVersion, routingIndex);
};

/// What one control host knows of who has taken over which news: of its own followers by their asks, of those of other
/// control hosts by what these confirm. One object lives as long as the registry whose versions it speaks of.
class UpdateConfirmations
{
public:
    /// A follower is waited for until `lease` after its last ask.
    explicit UpdateConfirmations(Duration lease);

    /// An entry host asked; it acts upon all of this host's news up to a position. The newest call counts.
    void recordPoll(const std::string &id, UpdateVersions has, TimePoint now);
    /// An entry host that acts upon nothing yet lives: it is still waited for by what it was told last.
    void renewFollowerLease(const std::string &id, TimePoint now);
    /// An entry host that has nothing gets a reply which brings it to a position. Until it arrives the host sends
    /// nothing to any target, so only what came to be after the reply was made has to wait for it. To be called with
    /// the reply to the newest ask alone.
    void recordFirstReply(const std::string &id, UpdateVersions told);
    /// An entry host has ended, or follows another control host and each control host that relies on this one's
    /// confirmations has one of the other that counts it. Until then its lease goes on here.
    void removeFollower(const std::string &id);
    /// All that another control host told up to `theirs` has been taken over; this host's own registry version is then
    /// `own`. `epoch` names the other host's life: its versions begin anew with each.
    void recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs, std::uint64_t own);
    /// Up to which position of the other host's news this host and all its followers in lease have come. `reports` is 0
    /// if the epoch is not the one of recordMerge(); `routing` is the lowest of `ownRouting`, the log index applied
    /// here, and of the followers'.
    UpdateVersions versionsConfirmedTo(const std::string &peer, const std::string &epoch, std::uint64_t ownRouting,
                                       TimePoint now) const;
    /// Another control host confirmed this host's news, for itself and its followers. The caller has checked that the
    /// epoch is this host's. The newest call counts.
    void recordPeerConfirmation(const std::string &peer, UpdateVersions upTo);
    /// Who has not confirmed a position of this host's own news yet: followers in lease, and those of `peers` (the
    /// control hosts that live); empty if it holds everywhere. A 0 in the position asks for nothing.
    std::vector<std::string> unconfirmedHosts(UpdateVersions position, const std::vector<std::string> &peers,
                                              TimePoint now) const;
    /// An entry host that asked here: what it has, and when it asked last.
    struct Follower {
        UpdateVersions applied;
        TimePoint polledAt{};
        std::uint64_t sentRoutingIndex = 0; ///< log index that it gets at least, while it has no routing
    };
    /// Nothing if the entry host is not known.
    std::optional<Follower> follower(const std::string &id) const;
    /// Forgets followers whose lease has been over for long and peers that are not among the known ones; to be called
    /// now and then.
    void removeExpired(const std::vector<std::string> &peers, TimePoint now);

private:
    /// Whoever has come to `own` of this host's versions has all of the other host's news up to `theirs`.
    struct VersionPair {
        std::uint64_t theirs = 0;
        std::uint64_t own = 0;
    };

    struct MergedNews {
        std::string epoch;
        std::vector<VersionPair> pairs; ///< both numbers rise
    };

    bool isInLease(const Follower &follower, TimePoint now) const;
    UpdateVersions lowestOfFollowers(TimePoint now) const;
    void collapse(TimePoint now);

    Duration m_lease;
    std::map<std::string, Follower> m_followers; ///< by id
    std::map<std::string, MergedNews> m_merged; ///< by peer
    std::map<std::string, UpdateVersions> m_confirmed; ///< by peer
};

} // namespace pepperlug::fleet

PEPPERLUG_CODEC_ENUM(pepperlug::fleet::Presence);
PEPPERLUG_CODEC_ENUM(pepperlug::fleet::HostRole);
