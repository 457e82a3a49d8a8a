//===- RegistryImpl.h - State of a running control host ---------*- C++ -*-===//
#pragma once

#include "../Daemon/TaskThread.h"
#include "CachedState.h"
#include "ControlLog.h"
#include "ControlWatch.h"
#include "DepartureStore.h"
#include "EventLog.h"
#include "pepperlug/Fleet.h"
#include "SavedUpdates.h"
#include "ServerSweep.h"
#include "SharedChanges.h"
#include "UpdateExchange.h"

namespace pepperlug::fleet
{

/// Interval at which a control host renews its own report.
constexpr Milliseconds SelfReportInterval{500};

/// Processor time of a reply to an entry host and of the poll that follows it.
constexpr std::chrono::microseconds EntryReplyCost{100};
/// The same for a control host, whose reply holds renewals of all targets and hosts that report here.
constexpr std::chrono::microseconds ControlReplyCost{300};

class RegistryDaemon::Impl final : public ControlLogClient
{
public:
    Impl(FleetSettings settings, const Clock &clock, ControlDialectTable dialect);
    ~Impl() override;
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void reload(const FleetSettings &settings);
    void stopGracefully();
    Address operatorsAddress() const;
    Address directoryAddress() const;

    std::string applyCommand(const std::string &command, std::uint64_t index) override;
    std::string takeSnapshot() override;
    void restoreSnapshot(const std::string &data) override;
    void statusChanged(const ControlLogStatus &status) override;
    void sendToMember(const std::string &name, const ControlMessage &message) override;
    void logFailed(const std::string &reason) override;

private:
    // RegistryDaemon.cpp
    void tick();
    void noteTick(TimePoint now);
    void reportSelf(TimePoint now);
    HostReport selfReport();
    void expire(TimePoint now);
    void requestMembership(TimePoint now);
    std::vector<Address> knownControlHosts();
    void pollPeers(TimePoint now);

    // RegistryCache.cpp
    void restoreCachedState();
    void saveCachedState(TimePoint now);
    void saveAllTargets(TimePoint now);
    void saveRecentChanges(TimePoint now);
    std::string cachePath() const;
    void postCacheWrite(std::function<void()> write);

    // RegistryDepartures.cpp
    void restoreDepartures();
    void saveDepartures(TimePoint now);
    void writeDepartures(const std::vector<TargetReport> &departures, std::uint64_t version);
    void removeExpiredDepartures(TimePoint now);
    std::size_t votersThatSaved(std::uint64_t version, const std::vector<ControlMember> &members) const;
    void resolveDepartures(TimePoint now);

    // RegistryPeers.cpp
    void onPeerCall(const IncomingCallPtr &call);
    void onJoin(const IncomingCallPtr &call);
    void onControlHosts(const IncomingCallPtr &call);
    void onWatch(const IncomingCallPtr &call);
    void onAlive(const IncomingCallPtr &call);

    /// A request of another host.
    struct ReceivedCall {
        FleetWatchCall request;
        bool isNewest = false; ///< of the requests that this incarnation of the host sent here
    };

    /// Merges the reports and confirmations of a request. In the returned one the versions of earlier incarnations of
    /// this host are reset, and the reports are moved out.
    ReceivedCall receiveCall(const IncomingCallPtr &call, TimePoint now);
    void onRouting(const IncomingCallPtr &call);
    bool onPeerReply(const ReplyInfo &info, const FleetWatchReply &reply);

    void mergeBackpressure(const std::vector<BackpressureReport> &reports, bool isDirect, TimePoint now);

    // RegistryReplies.cpp
    /// A request of another host whose reply is held.
    struct Watcher {
        IncomingCallPtr call;
        FleetWatchCall request;
        TimePoint until{};
        bool isInitial = false; ///< the host has no state, and acts on none until it has the reply
    };

    /// What is the same for all replies that are sent at one moment.
    struct ReplyRound {
        TimePoint now{};
        bool isCurrent = false; ///< this host has contact to a majority and is not leaving
        bool mayAnnounceToEntryHosts = false; ///< the schedule allows replies for the sake of updates
        bool mayAnnounceToControlHosts = false;
    };

    const RoutingHistory &historyFor(bool hasNoState) const;
    bool hasUpdates(const FleetWatchCall &call) const;
    bool isCurrent(TimePoint now) const;
    const ReplySchedule &scheduleOf(HostRole role) const;
    std::size_t recipientsOf(HostRole role, TimePoint now) const;
    ReplyRound startRound(TimePoint now) const;
    bool isReplyDue(const Watcher &watcher, const ReplyRound &round) const;
    FleetWatchReply makeReply(const FleetWatchCall &call, const ReplyRound &round);
    void replyTo(const Watcher &watcher, const ReplyRound &round);
    void holdOrReply(Watcher watcher, TimePoint now);
    void replyToWatchers(TimePoint now);
    std::uint64_t updateCount() const;
    void announceUpdates(TimePoint now);

    // RegistryQuotas.cpp
    void onQuota(const IncomingCallPtr &call);
    void onQuotaLoan(const IncomingCallPtr &call);
    void updateQuotaMembers(TimePoint now);
    void reportQuotas(TimePoint now);
    void advanceQuotas(TimePoint now);
    void carryOut(const QuotaEffects &effects);
    void borrowTokens(const BorrowTokens &effect);

    // RegistrySuspects.cpp
    void mergeSuspects(const std::vector<SuspectReport> &suspects, bool isDirect, TimePoint now);
    void onProbe(const IncomingCallPtr &call);

    // RegistryConfirmations.cpp
    void recordConfirmations(const FleetWatchCall &request, bool isSameEpoch, TimePoint now);
    static bool isUninitialized(const FleetWatchCall &request);
    std::vector<std::string> followedControlHosts(TimePoint now) const;
    bool knowsFollowers(TimePoint now) const;
    void onConfirm(const IncomingCallPtr &call);
    /// Returns false if a newer confirmation of this incarnation of the host has been received.
    bool acceptSequence(const std::string &peer, const std::string &host, std::uint64_t sequence);
    void queueConfirmation(const std::optional<Address> &to, UpdateVersions position);
    struct PendingConfirmation;
    bool hasReached(const PendingConfirmation &pending, UpdateVersions confirmed);
    void sendPendingConfirmations(TimePoint now);
    bool hasNoFollowers(TimePoint now) const;
    UpdateVersions confirmedTo(const Address &to, const std::string &epoch) const;
    nlohmann::json describeMissing(const std::vector<std::string> &names, TimePoint now) const;
    bool isInForce(UpdateVersions position, const std::vector<std::string> &controlHosts, TimePoint now) const;
    std::vector<std::string> unconfirmed(UpdateVersions position, TimePoint now) const;
    void resolvePending(TimePoint now);
    void awaitConfirmation(const HttpExchangePtr &exchange, const std::string &subject, bool isRepeated);
    void resolveChanges(TimePoint now);

    // RegistryRequests.cpp
    void onHttp(const HttpExchangePtr &exchange);
    void answer(const HttpExchangePtr &exchange, const ReportTarget &request);
    void answer(const HttpExchangePtr &exchange, const PutTable &request);
    void answer(const HttpExchangePtr &exchange, const GetTable &request);
    void answer(const HttpExchangePtr &exchange, const SetEvacuation &request);
    void answer(const HttpExchangePtr &exchange, const FindEntryHosts &request);
    void answer(const HttpExchangePtr &exchange, const UnknownCall &request);
    void refuseCall(const HttpExchangePtr &exchange, ControlAnswer kind, const std::string &reason);
    bool isOfUnknownService(const TargetReport &report) const;
    void proposeCommand(const HttpExchangePtr &exchange, const RoutingCommand &command, const std::string &subject);
    void respondToCommand(const HttpExchangePtr &exchange, RoutingResult result, const std::string &subject);
    std::uint64_t addUndecided(const HttpExchangePtr &exchange);
    void removeUndecided(std::uint64_t number);
    void answerPending();
    void answerPendingIfStopped();
    void redirectToLeader(const HttpExchangePtr &exchange, const std::string &leader);
    std::string operatorsAddressOf(const std::string &peer);
    std::vector<std::string> entryHostsFor(const std::string &zone);
    std::vector<std::string> liveEntryHosts(const std::string &region) const;
    /// Entry hosts that the directory names to the callers of a zone.
    struct NamedHosts {
        std::uint64_t hostsVersion = 0; ///< of the registry
        RedirectedShare redirected;
        HostRotation rotation;
    };
    std::vector<std::string> candidatesFor(const std::string &zone, const RedirectedShare &redirected) const;
    void updateCallerShares(TimePoint now);
    void publishRouting();
    RoutingView viewOf(const RoutingState &routing) const;

    /// A routing change that is acknowledged once it is in force on all live entry hosts.
    struct Change {
        HttpExchangePtr exchange;
        std::string subject;
        bool isRepeated = false; ///< it had been committed before
        std::uint64_t index = 0;
        TimePoint since{};
        TimePoint until{};
    };

    /// A target's departure that is acknowledged once a majority of the control hosts has saved it and all live entry
    /// hosts know it.
    struct Departure {
        HttpExchangePtr exchange;
        std::string target;
        std::uint64_t version = 0;
        TimePoint since{};
        TimePoint until{};
    };

    /// Newest confirmation received from a control host.
    struct LastConfirmation {
        std::string host; ///< incarnation id of the control host
        std::uint64_t sequence = 0;
    };

    /// A confirmation that another control host may wait for. It is sent once this host and its followers have the
    /// version.
    struct PendingConfirmation {
        Address to;
        UpdateVersions position;
        TimePoint until{}; ///< nobody waits for it after this
        bool isOfSaving = false; ///< that this host has saved the departures up to the version, not that all have it
    };

    FleetSettings m_settings;
    const Clock &m_clock;
    ControlDialectTable m_dialect;
    Metrics m_metrics;
    EventLog m_events;
    std::string m_epoch;
    std::string m_incarnation;

    // Of the ticker alone.
    std::optional<TimePoint> m_tickedAt;
    std::uint64_t m_longDelays = 0; ///< since the last log line about them
    TimePoint m_nextDelayLine{};

    mutable std::mutex m_mutex; ///< guards the members below, down to m_peers
    Registry m_registry;
    RoutingState m_routing;
    RoutingHistory m_history; ///< of m_routing, as sent to entry hosts
    Quarantine m_quarantine;
    BackpressureTable m_backpressure;
    QuotaIssuer m_quotas;
    std::map<QuotaCallId, IncomingCallPtr> m_quotaCalls; ///< that are not replied to
    std::uint64_t m_lastQuotaCall = 0;
    TimePoint m_nextQuotaMembers{};
    UpdateConfirmations m_confirmations;
    std::map<std::string, LastConfirmation> m_lastConfirmations; ///< by peer address of the confirming host
    std::vector<PendingConfirmation> m_pendingConfirmations;
    std::map<Address, std::string> m_epochs; ///< of other control hosts, from their last reply
    CallerShares m_shares;
    TimePoint m_nextShares{};
    std::vector<RegionDemand> m_demand; ///< of all regions, as of the last update of the shares
    std::map<std::string, NamedHosts> m_namedHosts; ///< by zone
    bool m_hasHomes = true; ///< some route or tenant of the table has home regions, or there is no table yet
    std::uint64_t m_sequence = 0;
    bool m_isLeaving = false;
    bool m_waitsForNothing = false; ///< the host stops: what would have to wait is answered at once
    std::vector<Watcher> m_watchers;
    ReplySchedule m_entryReplies{EntryReplyCost};
    ReplySchedule m_controlReplies{ControlReplyCost};
    ChangesCache m_changesCache;
    std::uint64_t m_announced = 0; ///< updateCount() at the last round of replies
    std::vector<Departure> m_departures;
    std::vector<Change> m_changes;
    std::map<std::uint64_t, HttpExchangePtr> m_undecided; ///< orders that the control group has not decided
    std::uint64_t m_lastUndecided = 0;
    SavedUpdates m_saved;
    bool m_isSaving = false; ///< departures are being written
    TimePoint m_nextSave{}; ///< after a failure
    TimePoint m_nextDepartureCleanup{};
    /// Versions up to which control hosts have saved the departures of this host's registry, by peer address.
    std::map<std::string, std::uint64_t> m_peerVersions;
    TimePoint m_startedAt{};
    TimePoint m_currentSince{};
    bool m_wasCurrent = false;
    TimePoint m_notCurrentSince{}; ///< since when there is no majority; at first the start
    TimePoint m_nextSelfReport{};
    TimePoint m_nextJoin{};
    std::optional<CachedState> m_cached; ///< from before the restart, for a limited time
    RoutingHistory m_cachedHistory;
    TimePoint m_nextCacheWrite{};
    TimePoint m_nextFullCacheWrite{};
    std::uint64_t m_fullCacheVersion = 0; ///< registry version as of the last write of all targets
    std::uint64_t m_cachedRegistryVersion = 0; ///< as of the last write
    std::uint64_t m_cachedRoutingIndex = 0; ///< as of the last write
    std::uint64_t m_cachedSuspectsVersion = 0; ///< version of the quarantine, as of the last write
    std::map<Address, std::unique_ptr<ControlWatch>> m_peers;

    std::shared_ptr<Intake> m_intake; ///< of all HTTP ports
    PeerNet m_net;
    std::unique_ptr<ControlLog> m_log;
    std::unique_ptr<HttpServer> m_operatorsServer;
    std::unique_ptr<HttpServer> m_directoryServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    ServerSweep m_sweep; ///< used by the ticker only
    std::unique_ptr<TaskThread> m_writer; ///< a slow disk must not block the ticker
    std::optional<DepartureStore> m_departureStore; ///< used by m_departureWriter only, once that runs
    std::unique_ptr<TaskThread> m_departureWriter; ///< apart from long writes of the cache
    std::unique_ptr<Ticker> m_ticker;
};

} // namespace pepperlug::fleet
