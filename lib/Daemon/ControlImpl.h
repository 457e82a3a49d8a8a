//===- ControlImpl.h - State of a running control host -----------*- C++ -*-===//
//
// One thread reduces all events. What the reducer wants on the disk in one batch
// of events is written with one sync, before any message of that batch goes out.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Daemon.h"
#include "TaskThread.h"

#include <set>

namespace pepperlug
{

class ControlDaemon::Impl
{
public:
    Impl(ControlSettings settings, const Clock &clock, bool isInitial);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void wait();
    void stop();

private:
    // ControlDaemon.cpp
    void post(ControlEvent event);
    void run();
    void answerPending();
    void reduceBatch(const std::vector<ControlEvent> &events);
    void persist(const ControlEffects &effects);
    void carryOut(const PersistLog &effect);
    void carryOut(const PersistSnapshot &effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const ApplyEntry &effect);
    void carryOut(const CommandAppended &effect);
    void carryOut(const CommandRejected &effect);
    void carryOut(const RoleChanged &effect);
    void onPeerCall(const IncomingCallPtr &call);
    void publishGauges();
    void tell(const std::string &what, const std::string &subject, const std::string &detail = {});

    // ControlAdmin.cpp
    void onHttp(const HttpExchangePtr &exchange);
    void onCommand(const HttpExchangePtr &exchange);
    void onStatus(const HttpExchangePtr &exchange);
    std::vector<std::string> idleDrainedTargets() const;
    bool saysIdle(const std::string &host, const std::string &target) const;
    /// Who sent the request; throws Error with step "authenticate".
    std::string authenticate(const HttpRequest &request, CommandKind kind);
    void refuseMisdirected(const HttpExchangePtr &exchange, const std::string &leader);
    const ControlPeer *findMember(const std::string &name) const;

    // FanOut.cpp
    void onWatchCall(const IncomingCallPtr &call);
    WatchReply makeWatchReply(std::uint64_t index, const std::string &digest, bool changed) const;
    void replyWatchers(TimePoint now);
    void voidLostHosts(TimePoint now);

    /// An entry host that waits for news.
    struct Watcher {
        IncomingCallPtr call;
        std::uint64_t index = 0;
        std::string digest;
        TimePoint until{};
    };

    /// What an entry host said last.
    struct HostSeen {
        TimePoint at{};
        std::uint64_t index = 0;
        bool leaving = false;
        std::vector<std::string> idleTargets;
    };

    ControlSettings m_settings;
    const Clock &m_clock;
    Metrics m_metrics;
    LogSink m_states;
    DataFolder m_folder;
    std::string m_diskId; ///< made before the log, or a log without one would look damaged
    ControlStore m_store;

    mutable std::mutex m_mutex; ///< guards all down to m_nonces
    ControlState m_state;
    std::unique_ptr<Consensus> m_consensus;
    std::uint64_t m_applied = 0;
    std::uint64_t m_lastSnapshot = 0;
    std::map<std::uint64_t, HttpExchangePtr> m_waiting; ///< by token
    std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> m_placed; ///< index to token and term
    std::uint64_t m_lastToken = 0;
    bool m_isStopping = false; ///< no command is decided any more
    std::vector<Watcher> m_watchers;
    std::map<std::string, HostSeen> m_hosts;
    std::optional<TimePoint> m_leadingSince;
    std::set<std::pair<std::string, std::string>> m_nonces; ///< time and nonce

    std::mutex m_queueMutex; ///< guards the next four
    std::condition_variable m_wake;
    std::vector<ControlEvent> m_queue;
    bool m_stop = false;
    std::string m_failure;
    std::condition_variable m_ended;
    bool m_hasEnded = false;

    PeerNet m_net;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Ticker> m_ticker;
    std::thread m_thread;
};

} // namespace pepperlug
