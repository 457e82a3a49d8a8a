//===- EntryImpl.h - State of a running entry host ---------------*- C++ -*-===//
//
// The reducer and the sockets around it. All events pass through post(), which
// reduces and carries out effects under one mutex; so effects happen in the
// order in which they were decided. Nothing that is done there waits.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Daemon.h"
#include "TaskThread.h"

#include <fstream>
#include <set>
#include <unordered_map>

namespace pepperlug
{

/// A request while it is in progress: who asked, and what goes on behind it.
struct PendingRequest {
    HttpExchangePtr exchange; ///< from a caller
    IncomingCallPtr call; ///< or from another entry host
    ServiceId service{};
    std::string serviceName;
    std::string callerZone;
    std::string method;
    std::string resource;
    std::vector<HeaderField> headers;
    std::shared_ptr<const std::string> body;
    std::string key;
    RouteClass cls = RouteClass::Plain;
    bool toHome = false;
    TimePoint arrivedAt{};

    struct Running {
        std::optional<HttpCallId> httpCall;
        std::optional<CallId> peerCall;
        AnswerPtr answer;
    };
    std::map<unsigned, Running> attempts;
};

class EntryDaemon::Impl
{
public:
    Impl(EntrySettings settings, const Clock &clock, const std::string &record);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void stopGracefully();
    Address httpAddress() const;
    Address peerAddress() const;

private:
    // EntryDaemon.cpp
    void post(const Event &event);
    /// With m_mutex held: reduces an event and carries its effects out.
    void reduceLocked(const Event &event);
    void tick();
    void publishGauges();
    RequestId nextId();

    // EntryHttp.cpp
    void onHttp(const HttpExchangePtr &exchange);
    void onLookup(const HttpExchangePtr &exchange);
    void onServiceRequest(const HttpExchangePtr &exchange);
    bool tryServiceRequest(const HttpExchangePtr &exchange);
    /// Starts a request, unless another bundle has come into force since the ids in `event` were looked up.
    bool submit(const BundlePtr &bundle, PendingRequest pending, const RequestArrived &event);
    std::optional<ZoneId> zoneOfCaller(const Bundle &bundle, const HttpRequest &request) const;
    void answerNow(const HttpExchangePtr &exchange, unsigned status, Outcome outcome, const std::string &step,
                   const std::string &reason);
    BundlePtr currentBundle() const;

    // EntryPeer.cpp
    void onPeerCall(const IncomingCallPtr &call);
    void onLeaseCall(const IncomingCallPtr &call);
    void onForwardCall(const IncomingCallPtr &call);
    bool tryForwardCall(const IncomingCallPtr &call, const ForwardCall &message);
    void onWatchCall(const IncomingCallPtr &call);

    // EntryEffects.cpp: one for each effect
    void carryOut(const AnswerLookup &effect);
    void carryOut(const Dispatch &effect);
    void carryOut(const Forward &effect);
    void carryOut(const CancelAttempt &effect);
    void carryOut(const RelayAnswer &effect);
    void carryOut(const SendStoredAnswer &effect);
    void carryOut(const Refuse &effect);
    void carryOut(const SendLeaseRequest &effect);
    void carryOut(const GrantLease &effect);
    void carryOut(const SyncClaim &effect);
    void carryOut(const Decision &effect);
    void carryOut(const StateChange &effect);
    void carryOut(const StopReady &effect);
    void attemptEnded(RequestId id, unsigned attempt, AttemptResult result, bool targetLeaving, AnswerPtr answer);
    void targetReplied(RequestId id, unsigned attempt, HttpResult result);
    void hostReplied(RequestId id, unsigned attempt, const std::string &host, const PeerReply &reply);
    void sendAnswer(RequestId id, PendingRequest &pending, const AnswerPtr &answer);
    void syncClaims();

    // ConfigWatch.cpp
    struct Watched {
        Address address;
        bool isControl = false;
        bool isAsking = false;
        TimePoint nextAsk{};
        bool hasReplied = false;
    };
    void pollWatches(TimePoint now);
    void tellIdleTargets(WatchCall call);
    void watchReplied(std::size_t n, PeerReply reply);
    void takeConfig(const WatchReply &reply);
    bool mayServe() const;
    void applyPendingConfig();

    EntrySettings m_settings;
    const Clock &m_clock;
    Metrics m_metrics;
    LogSink m_decisions;
    LogSink m_states;
    std::optional<DataFolder> m_folder;
    std::optional<LedgerStore> m_ledgerStore;

    mutable std::mutex m_mutex; ///< guards all down to m_record
    std::optional<Steering> m_steering;
    Effects m_effects;
    IncomingCallPtr m_leaseCall; ///< the call whose event is being reduced
    std::unordered_map<RequestId, PendingRequest> m_pending;
    std::vector<std::string> m_hostJson; ///< by HostId, for look-up answers
    BundlePtr m_bundle;
    std::string m_bundleText;
    ConfigApplied m_config;
    std::set<std::string> m_idleTargets;
    std::ofstream m_record;

    std::atomic<std::uint64_t> m_lastId{0};
    std::mutex m_watchMutex; ///< guards all down to m_serving
    std::vector<Watched> m_watched;
    std::vector<std::string> m_toldIdle; ///< drained and idle, as the control hosts were told last
    std::optional<ConfigApplied> m_bestConfig; ///< newest heard before this host may serve
    std::string m_bestText;
    bool m_serving = false;
    TimePoint m_startedAt{};

    std::mutex m_claimMutex; ///< guards m_claims
    std::vector<SyncClaim> m_claims;

    std::mutex m_stopMutex;
    std::condition_variable m_stopped;
    bool m_stopReady = false;
    TimePoint m_nextSecond{};

    // Threads: destroyed first, in reverse order.
    HttpClient m_client;
    TaskThread m_configThread;
    TaskThread m_diskThread;
    PeerNet m_net;
    Address m_peerAddress;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Ticker> m_ticker;
};

} // namespace pepperlug
