//===- GatewayImpl.h - State of a running entry host ------------*- C++ -*-===//
//
// Callers' threads, the client's thread, the network's and the ticker reduce
// events under one mutex and carry the effects out while they hold it; an effect
// only queues work, so nothing waits there.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "../Daemon/TaskThread.h"
#include "ControlWatch.h"
#include "EventLog.h"
#include "NewsExchange.h"
#include "pepperlug/Fleet.h"
#include "pepperlug/Quarantine.h"
#include "RoutingLag.h"

#include <unordered_map>

namespace pepperlug::fleet
{

/// A connection to a target that is not made by then is tried elsewhere; the way to the farthest region and back is
/// much shorter.
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
    /// A caller's request until it is answered.
    struct OpenExchange {
        HttpExchangePtr exchange;
        CallerTerms terms;
        std::string digest; ///< the same for each try of the same request
        TimePoint arrivedAt{};
        std::shared_ptr<const std::string> body;
        std::map<unsigned, HttpCallId> calls; ///< by attempt
        Answer answer; ///< of the attempt that ended last, or the head of the one that is passed on
        std::uint64_t length = 0; ///< of the body that is passed on
        unsigned begunAttempt = 0; ///< whose answer is passed on as it comes; 0 for none
    };

    // GatewayDaemon.cpp
    void tick();
    HostReport selfReport();
    std::vector<Address> controlHosts();
    bool knowsControlHosts();
    void askForControlHosts(TimePoint now);
    void onControlHosts(const Address &from, const PeerReply &reply);
    void onControlReply(const NewsReceipt &receipt, const FleetWatchReply &reply);
    void logReply(const NewsReceipt &receipt, const FleetWatchReply &reply);
    Milliseconds viewAge() const;
    void onLink(const Address &control, bool isLost, const std::string &reason);
    void onLoadsTold(const FleetWatchReply &reply);
    void tellSurges();
    void tellNews();
    /// Takes what a control host tells of a table that hosts keep together, as an event of the balancer.
    template <typename Event, typename Report>
    void takeNews(const NewsAnswer<Report> &news, const std::string &epoch, ToldVersion &told)
    {
        {
            const std::lock_guard lock(m_mutex);
            told = {epoch, news.heard};
        }
        if (!news.reports.empty()) {
            reduce(Event{news.reports});
        }
    }
    void onReadiness(const HttpExchangePtr &exchange);
    bool isReady();
    bool closeIfIdle();
    void refuseStopping(OpenExchange &open);

    // GatewayRouting.cpp
    void followRouting(const Address &from, const FleetWatchReply &reply);
    void fetchRouting(const Address &from);
    void onRoutingFetched(const Address &from, TimePoint askedAt, const PeerReply &reply);
    void adoptRouting(const Address &from, const std::vector<std::string> &changes);
    void tellAgeOfNews();
    std::uint64_t actsUpon() const;

    // GatewayBackpressure.cpp
    void describeBackpressure(FleetWatchCall &call, const std::string &epoch);
    void onTargetSignal(const Incarnation &target, const AnswerTerms &terms, TimePoint sentAt);
    void carryOut(const BackoffStarted &effect);
    void carryOut(const BackpressureChanged &effect);

    // GatewaySuspects.cpp
    void describeSuspects(FleetWatchCall &call, const std::string &epoch);
    void carryOut(const CheckTarget &effect);
    void carryOut(const RequestProbe &effect);
    void carryOut(const SuspectChanged &effect);

    // GatewayRequests.cpp
    void onHttp(const HttpExchangePtr &exchange);
    bool onAnswerBegun(RequestId id, unsigned attempt, const Answer &head, const AnswerTerms &terms,
                       std::uint64_t length);
    void onAnswerPart(RequestId id, unsigned attempt, std::string_view part);
    /// `terms`: of the answer, if there is one.
    void onAttemptEnded(RequestId id, unsigned attempt, const Incarnation &target, const AnswerTerms &terms,
                        HttpResult result);
    void reduce(const BalanceEvent &event);
    /// Null if it has ended; the mutex is held.
    OpenExchange *findOpen(RequestId id);
    void carryOut(const StartAttempt &effect);
    void carryOut(const CancelAttempt &effect);
    void carryOut(const PassHead &effect);
    void carryOut(const PassAnswer &effect);
    void carryOut(const AbortAnswer &effect);
    void carryOut(const RefuseRequest &effect);
    /// Counts what an answer asks for, and returns it for a line.
    nlohmann::json countSignal(const BackpressureSignal &signal);
    AttemptEnded readResult(RequestId id, unsigned attempt, const AnswerTerms &terms, HttpResult &result);

    FleetSettings m_settings;
    const Clock &m_clock;
    CallerDialectTable m_dialect;
    Metrics m_metrics;
    EventLog m_events;
    std::string m_incarnation;

    std::mutex m_mutex; ///< guards what follows, down to m_isStopping
    std::unique_ptr<Balancer> m_balancer;
    std::unordered_map<std::uint64_t, OpenExchange> m_open;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_sequence = 0;
    RoutingView m_routing; ///< what the balancer decides by
    RoutingLag m_routingLag;
    bool m_isFetchingRouting = false;
    bool m_wantsWholeRouting = false; ///< the last changes did not fit what is known here
    std::map<std::string, HostReport> m_controlHosts; ///< live ones, by id
    bool m_wasToldControlHosts = false; ///< or the seeds can't tell; from then on the one that is followed tells
    bool m_isAskingForControlHosts = false;
    std::size_t m_seedsAsked = 0;
    TimePoint m_nextAskForControlHosts{};
    std::optional<TimePoint> m_viewAsOf; ///< all that a control host in touch with a majority knew then is known here
    ToldVersion m_toldSuspects; ///< of this host's quarantine, by this host
    ToldVersion m_toldBackpressure; ///< of what targets ask for, by this host
    bool m_hasNewsToTell = false; ///< of both, noticed since the last ask
    ToldVersion m_toldLoads; ///< of the loads of tenants, by the control host
    TimePoint m_nextSurge{};
    Address m_followed; ///< control host that replied last
    bool m_isStopping = false; ///< no caller is sent here any more
    bool m_isClosed = false; ///< no request is passed on any more

    PeerNet m_net;
    std::unique_ptr<ControlWatch> m_watch;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpServer> m_callersServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::unique_ptr<Ticker> m_ticker;
};

} // namespace pepperlug::fleet
