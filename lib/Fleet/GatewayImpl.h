//===- GatewayImpl.h - State of a running entry host ------------*- C++ -*-===//
//
// The threads of the callers' server, the HTTP client, the peer network and the
// ticker reduce events under one mutex and execute the effects while they hold
// it. An effect only queues work, so it never blocks.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "../Daemon/TaskThread.h"
#include "ControlWatch.h"
#include "Discovery.h"
#include "EventLog.h"
#include "pepperlug/Fleet.h"
#include "pepperlug/Quarantine.h"
#include "PlannedStop.h"
#include "RecentTargets.h"
#include "RoutingLag.h"
#include "ServerSweep.h"
#include "UpdateExchange.h"

#include <unordered_map>

namespace pepperlug::fleet
{

/// A connection to a target that takes longer is given up and another target is tried. The round trip to the farthest
/// region is much shorter.
constexpr Milliseconds ConnectTimeout{350};

class GatewayDaemon::Impl
{
public:
    Impl(FleetSettings settings, const Clock &clock, CallerDialectTable dialect);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void reload(const FleetSettings &settings);
    void stopGracefully();
    Address callersAddress() const;
    Address readinessAddress() const;

private:
    /// A caller's request until its answer is complete.
    struct OpenExchange {
        HttpExchangePtr exchange;
        CallerRequestFields fields;
        std::string digest; ///< the same for each retry of the request
        TimePoint arrivedAt{};
        std::shared_ptr<const std::string> body;
        std::map<unsigned, HttpCallId> calls; ///< by attempt
        std::optional<TimePoint> deadline; ///< once it has been passed on
        Answer answer; ///< of the attempt that ended last, or the head of the streamed answer
        std::uint64_t length = 0; ///< of the body of the streamed answer
        unsigned streamedAttempt = 0; ///< whose answer is streamed to the caller; 0 for none
    };

    // GatewayDaemon.cpp
    void tick();
    HostReport selfReport();
    std::vector<Address> controlHosts();
    /// The same; the mutex is held.
    std::vector<Address> rankedControlHosts() const;
    bool knowsControlHosts();
    void requestControlHosts(TimePoint now);
    void onControlHosts(const Address &from, const PeerReply &reply);
    void onControlReply(const ReplyInfo &info, FleetWatchReply &reply);
    void logReply(const ReplyInfo &info, const FleetWatchReply &reply);
    Milliseconds viewAge() const;
    void onPollFailed(const Address &control, TimePoint sentAt, const std::string &reason);
    void onLink(const Address &control, bool isLost, const std::string &reason);
    void reportUpdates();
    /// Passes a control host's updates of a shared table to the balancer, and stores up to where it has acknowledged
    /// this host's.
    template <typename Event, typename Report>
    void applyUpdates(const UpdateReply<Report> &updates, const std::string &epoch, EpochVersion &acknowledged)
    {
        {
            const std::lock_guard lock(m_mutex);
            acknowledged = {epoch, updates.acknowledged};
        }
        if (!updates.reports.empty()) {
            reduce(Event{updates.reports});
        }
    }
    void onReadiness(const HttpExchangePtr &exchange);
    bool isReady();

    // GatewayStop.cpp
    PlannedStop::Phase advance(PlannedStop &stop);
    void refuseStopping(OpenExchange &open);
    void reportCutRequests();
    TimePoint dueAheadOn(std::uint64_t connection) const;

    // GatewayRouting.cpp
    void updateRouting(const Address &from, const FleetWatchReply &reply);
    void fetchRouting(const Address &from);
    void onRoutingFetched(const Address &from, TimePoint sentAt, const PeerReply &reply);
    void applyRouting(const Address &from, const std::vector<std::string> &changes);
    void reportViewAge();
    void onAlive(const FleetAliveReply &reply);
    void reportSuspension();
    std::uint64_t activeRoutingIndex() const;

    // GatewayBackpressure.cpp
    void addBackpressureReports(FleetWatchCall &call, const std::string &epoch);
    void onTargetSignal(const Incarnation &target, const AnswerFields &fields, TimePoint sentAt);
    void carryOut(const BackoffStarted &effect);
    void carryOut(const BackpressureChanged &effect);

    // GatewayRegions.cpp
    void reportRegionShares();
    void carryOut(const RegionLossFollowed &effect);

    // GatewaySuspects.cpp
    void addSuspectReports(FleetWatchCall &call, const std::string &epoch);
    void carryOut(const CheckTarget &effect);
    void carryOut(const RequestProbe &effect);
    void carryOut(const SuspectChanged &effect);

    // GatewayAttempts.cpp
    void carryOut(const StartAttempt &effect);
    void carryOut(const CancelAttempt &effect);
    /// Log index of the routing by which another host relayed the request; null if it comes from a caller.
    static nlohmann::json relayingIndexOf(const OpenExchange &open);
    void reportAttempt(const StartAttempt &effect, const OpenExchange &open);
    AttemptEnded classifyResult(RequestId id, unsigned attempt, const AnswerFields &fields, HttpResult &result);
    void reportEndless(const OpenExchange &open, const Incarnation &target, const HttpResult &result);
    void reportMalformed(const OpenExchange &open, const Incarnation &target, const HttpResult &result);
    bool maySend(RequestId id, unsigned attempt);
    /// Reports what becomes of the answer that the caller gets. The mutex is held.
    void followAnswer(const OpenExchange &open, unsigned attempt, unsigned status);

    // GatewayRelays.cpp
    std::vector<HeaderField> attemptHeaders(const StartAttempt &effect, const HttpRequest &http) const;
    AnswerFields readAnswer(const Incarnation &target, const Answer &answer) const;
    void connectTo(const std::string &address, std::function<void(const HttpResult &)> handler);
    void carryOut(const ProbeTarget &effect);
    void carryOut(const ReachabilityChanged &effect);

    // GatewayQuotas.cpp
    Address quotaHost(TimePoint now);
    void onQuotaReply(const Address &from, TimePoint sentAt, const PeerReply &reply);
    void carryOut(const RequestQuota &effect);

    // GatewaySpares.cpp
    void noteAttempt(const Address &target, const std::string &zone, TimePoint now);
    void updateSpareConnections(TimePoint now);

    // GatewayRequests.cpp
    void onHttp(const HttpExchangePtr &exchange);
    bool onAnswerBegun(RequestId id, unsigned attempt, const Answer &head, const AnswerFields &fields,
                       std::uint64_t length);
    /// Whether the caller has room for the next part of an answer.
    bool wantsAnswerPart(RequestId id, unsigned attempt);
    void onAnswerPart(RequestId id, unsigned attempt, std::string_view part);
    /// `fields`: of the answer, if there is one.
    void onAttemptEnded(RequestId id, unsigned attempt, const Incarnation &target, const AnswerFields &fields,
                        HttpResult result);
    void reduce(const BalanceEvent &event);
    /// Returns null if the exchange has ended. The mutex is held.
    OpenExchange *findOpen(RequestId id);
    void carryOut(const PassHead &effect);
    void carryOut(const PassAnswer &effect);
    void carryOut(const AbortAnswer &effect);
    void carryOut(const RefuseRequest &effect);
    /// Counts the backpressure signals of an answer, and returns them for a log line.
    nlohmann::json countSignal(const BackpressureSignal &signal);

    FleetSettings m_settings;
    const Clock &m_clock;
    CallerDialectTable m_dialect;
    Metrics m_metrics;
    EventLog m_events;
    std::string m_incarnation;

    std::mutex m_mutex; ///< guards the members below, down to m_isClosed
    std::unique_ptr<Balancer> m_balancer;
    std::unordered_map<std::uint64_t, OpenExchange> m_open;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_sequence = 0;
    RoutingView m_routing; ///< by which the balancer decides
    RoutingLag m_routingLag;
    bool m_isFetchingRouting = false;
    bool m_needsFullRouting = false; ///< the last changes did not apply to m_routing
    std::map<std::string, HostReport> m_controlHosts; ///< live ones, by id
    Discovery m_discovery; ///< once it is done, the followed host reports the control hosts
    bool m_isRequestingControlHosts = false;
    std::size_t m_seedRequests = 0;
    TimePoint m_nextControlHostsRequest{};
    std::optional<TimePoint> m_viewAsOf; ///< this host knows all that a control host with a majority knew then
    bool m_wasSuspended = false; ///< as of the last log line about it
    EpochVersion m_acknowledgedSuspects; ///< version of this host's quarantine that the followed host has
    EpochVersion m_acknowledgedBackpressure; ///< version of this host's backpressure table that the followed host has
    bool m_hasUnsentUpdates = false; ///< suspects or backpressure noticed since the last request
    std::map<Address, TimePoint> m_avoidedQuotaHosts; ///< control hosts that did not issue tokens, and until when
    RecentTargets m_recentTargets;
    SpareConnectionCounts m_spareCounts; ///< that the metrics contain
    TimePoint m_nextSparesUpdate{};
    Address m_followedHost; ///< control host that replied last
    std::optional<TimePoint> m_stoppingSince; ///< SIGTERM, from which on the directory does not list this host
    bool m_isClosed = false; ///< no request is routed any more

    std::shared_ptr<Intake> m_intake; ///< of all HTTP ports
    PeerNet m_net;
    std::unique_ptr<ControlWatch> m_watch;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpServer> m_callersServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    ServerSweep m_sweep; ///< used by the ticker only
    std::unique_ptr<Ticker> m_ticker;
};

} // namespace pepperlug::fleet
