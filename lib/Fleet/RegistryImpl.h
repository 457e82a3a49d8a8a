//===- RegistryImpl.h - State of a running control host ---------*- C++ -*-===//
#pragma once

#include "../Daemon/TaskThread.h"
#include "CachedState.h"
#include "ControlLog.h"
#include "ControlWatch.h"
#include "EventLog.h"
#include "pepperlug/Fleet.h"
#include "UpdateExchange.h"

namespace pepperlug::fleet
{

/// How often a control host renews what it says of itself.
constexpr Milliseconds SelfReportInterval{500};

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
    void reportSelf(TimePoint now);
    HostReport selfReport();
    void expire(TimePoint now);
    void askToJoin(TimePoint now);
    std::vector<Address> knownControlHosts();
    void followPeers(TimePoint now);

    void remember(TimePoint now);
    void recallRemembered();

    // RegistryPeers.cpp
    void onPeerCall(const IncomingCallPtr &call);
    void onJoin(const IncomingCallPtr &call);
    void onControlHosts(const IncomingCallPtr &call);
    void onWatch(const IncomingCallPtr &call);
    void onAlive(const IncomingCallPtr &call);
    /// What another host says of itself and asks for.
    struct HeardAsk {
        FleetWatchCall ask;
        bool isNewest = false; ///< of those that this life of it sent here
    };

    HeardAsk hear(const IncomingCallPtr &call, TimePoint now);
    void onRouting(const IncomingCallPtr &call);
    const RoutingHistory &historyFor(bool knowsNothing) const;
    bool hasNews(const FleetWatchCall &call) const;
    bool hasLoadsFor(const FleetWatchCall &call) const;
    FleetWatchReply makeReply(const FleetWatchCall &call, TimePoint now) const;
    void replyWatchers(TimePoint now);
    bool onPeerNews(const ReplyInfo &receipt, const FleetWatchReply &reply);

    void hearBackpressure(const std::vector<BackpressureReport> &reports, bool isDirect, TimePoint now);

    // RegistrySuspects.cpp
    void hearSuspects(const std::vector<SuspectReport> &suspects, bool isDirect, TimePoint now);
    void onTrial(const IncomingCallPtr &call);

    // RegistryConfirmations.cpp
    void noteConfirmations(const FleetWatchCall &ask, bool isSameEpoch, TimePoint now);
    static bool hasNothing(const FleetWatchCall &ask);
    std::vector<std::string> followedControlHosts(TimePoint now) const;
    bool knowsFollowers(TimePoint now) const;
    void onConfirm(const IncomingCallPtr &call);
    bool isNewestOf(const std::string &peer, const std::string &host, std::uint64_t sequence);
    void oweConfirmation(const std::optional<Address> &to, NewsPosition position);
    void sendOwedConfirmations(TimePoint now);
    bool isFollowedByNobody(TimePoint now) const;
    NewsPosition confirmedTo(const Address &to, const std::string &epoch) const;
    nlohmann::json describeMissing(const std::vector<std::string> &names, TimePoint now) const;
    std::vector<std::string> unconfirmed(NewsPosition position, TimePoint now) const;
    void settle(TimePoint now);
    void settleDepartures(TimePoint now);
    void awaitConfirmation(const HttpExchangePtr &exchange, const std::string &subject, bool isAgain);
    void settleChanges(TimePoint now);

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
    void decide(const HttpExchangePtr &exchange, const RoutingCommand &command, const std::string &subject);
    void respondDecided(const HttpExchangePtr &exchange, RoutingResult result, const std::string &subject);
    void sendElsewhere(const HttpExchangePtr &exchange, const std::string &leader);
    std::string operatorsAddressOf(const std::string &peer);
    std::vector<std::string> entryHostsFor(const std::string &zone);
    std::vector<std::string> liveEntryHosts(const std::string &region) const;
    void followCallers(TimePoint now);
    void followQuotas(TimePoint now);
    void publishRouting();
    RoutingView viewOf(const RoutingState &routing) const;

    /// A held ask of another host.
    struct Watcher {
        IncomingCallPtr call;
        FleetWatchCall ask;
        TimePoint until{};
        bool beginsHere = false; ///< the host has nothing, and acts upon nothing until it has the reply
    };

    /// A change of the routing that is acknowledged once it is in force at all entry hosts in touch.
    struct Change {
        HttpExchangePtr exchange;
        std::string subject;
        bool isAgain = false; ///< it was taken before
        std::uint64_t index = 0;
        TimePoint since{};
        TimePoint until{};
    };

    /// A target's departure that is acknowledged once a majority of the control hosts and all entry hosts in touch know
    /// of it.
    struct Departure {
        HttpExchangePtr exchange;
        std::string target;
        std::uint64_t version = 0;
        TimePoint since{};
        TimePoint until{};
    };

    /// Newest confirmation of a control host that was taken.
    struct TakenConfirmation {
        std::string host; ///< id of its life
        std::uint64_t sequence = 0;
    };

    /// What another control host may wait for, until this host and its followers have come to it.
    struct OwedConfirmation {
        Address to;
        NewsPosition position;
        TimePoint until{}; ///< nobody waits for it any more
    };

    FleetSettings m_settings;
    const Clock &m_clock;
    ControlDialectTable m_dialect;
    Metrics m_metrics;
    EventLog m_events;
    std::string m_epoch;
    std::string m_incarnation;

    mutable std::mutex m_mutex; ///< guards what follows, down to m_peers
    Registry m_registry;
    RoutingState m_routing;
    RoutingHistory m_history; ///< of m_routing, as entry hosts are told of it
    Quarantine m_quarantine;
    BackpressureTable m_backpressure;
    QuotaSums m_quotas;
    TimePoint m_nextQuotas{};
    NewsConfirmations m_confirmations;
    std::map<std::string, TakenConfirmation> m_takenConfirmations; ///< by peer address of the confirming host
    std::vector<OwedConfirmation> m_owed;
    std::map<Address, std::string> m_epochs; ///< of other control hosts, as of their last reply
    CallerShares m_shares;
    TimePoint m_nextShares{};
    bool m_hasHomes = true; ///< some route or tenant of the table has home regions, or there is no table yet
    std::uint64_t m_sequence = 0;
    bool m_isLeaving = false;
    std::vector<Watcher> m_watchers;
    std::vector<Departure> m_departures;
    std::vector<Change> m_changes;
    std::map<std::string, std::uint64_t> m_seenBy; ///< registry version that each control host has, by peer address
    TimePoint m_startedAt{};
    TimePoint m_currentSince{};
    bool m_wasCurrent = false;
    TimePoint m_notCurrentSince{}; ///< while it is not; at first since the start
    TimePoint m_nextSelfReport{};
    TimePoint m_nextJoin{};
    std::optional<CachedState> m_remembered; ///< from before the restart, for a while
    RoutingHistory m_rememberedHistory;
    TimePoint m_nextRemember{};
    std::uint64_t m_rememberedVersion = 0; ///< of the registry, when the file was written last
    std::uint64_t m_rememberedIndex = 0; ///< of the routing, likewise
    std::uint64_t m_rememberedSuspects = 0; ///< version of the quarantine, likewise
    std::uint64_t m_rememberedLoads = 0; ///< version of the sums of tenants' requests, likewise
    bool m_remembersLimits = false; ///< some limit bound then
    std::map<Address, std::unique_ptr<ControlWatch>> m_peers;

    PeerNet m_net;
    std::unique_ptr<ControlLog> m_log;
    std::unique_ptr<HttpServer> m_operatorsServer;
    std::unique_ptr<HttpServer> m_directoryServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::unique_ptr<TaskThread> m_writer; ///< a slow disk must not hold up the ticker
    std::unique_ptr<Ticker> m_ticker;
};

} // namespace pepperlug::fleet
