//===- pepperlug/Daemon.h - Entry and control processes ----------*- C++ -*-===//
//
// Runs the reducers: turns sockets, timers and disk completions into events,
// and carries effects out. Also the settings of both programs and the client of
// the administration API.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"
#include "pepperlug/Storage.h"
#include "pepperlug/Wire.h"

namespace pepperlug
{

/// Exit codes of all programs.
enum class ExitCode : int {
    Success = 0,
    Failure = 1, ///< the work failed; the message says at which step
    Usage = 2, ///< wrong arguments
    InvalidInput = 3, ///< a file was refused; each finding is printed
    Refused = 4, ///< the control hosts refused the command
    Unreachable = 5, ///< no control host could be asked
    OutcomeBroken = 6, ///< replay: a stated outcome does not hold
};

struct EntrySettings {
    std::string name;
    std::string zone;
    Address http;
    Address peer;
    std::vector<Address> control; ///< peer addresses of the control hosts
    std::vector<Address> zonePeers; ///< peer addresses of the zone's other entry hosts
    unsigned httpThreads = 2;
    std::string dataFolder; ///< empty: claims are kept in memory only
    std::string decisionLog; ///< empty: none
    std::string stateLog; ///< empty: none
    std::size_t maxBodyBytes = 0;
    std::size_t maxAnswerBytes = 0;
    std::size_t maxUnsizedAnswerBytes = HttpClientLimits{}.unsizedBytes; ///< of an answer that announces no length
    Milliseconds headTimeout{};
    Duration gracePeriod = std::chrono::seconds(30); ///< from SIGTERM until the process is killed
    Strategy strategy = Strategy::Leases;
};

struct ControlPeer {
    std::string name;
    Address peer;
    Address admin;
};

struct ControlSettings {
    std::string name;
    std::vector<ControlPeer> members; ///< this host among them
    std::string dataFolder;
    std::vector<BootstrapKey> bootstrapKeys;
    std::string stateLog;
    std::uint64_t snapshotEvery = 0; ///< applied entries between snapshots
    Milliseconds heartbeat{};
    Milliseconds electionTimeout{};
};

/// Both throw InvalidInput with every finding.
EntrySettings parseEntrySettings(const std::string &text, const std::string &file);
ControlSettings parseControlSettings(const std::string &text, const std::string &file);

/// A running entry host.
class EntryDaemon
{
public:
    /// Opens everything and starts. Throws Error. `record` is a file for a trace, empty for none.
    EntryDaemon(EntrySettings settings, const Clock &clock, const std::string &record);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    /// Leaves as planned: returns when no request is in progress and no caller may still hold a look-up answer that
    /// names this host, or shortly before the grace period is over.
    void stopGracefully();
    Address httpAddress() const;
    Address peerAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// A running control host.
class ControlDaemon
{
public:
    /// `isInitial`: the data folder may be made as that of a founding member.
    ControlDaemon(ControlSettings settings, const Clock &clock, bool isInitial);
    ~ControlDaemon();
    ControlDaemon(const ControlDaemon &) = delete;
    ControlDaemon &operator=(const ControlDaemon &) = delete;

    /// Waits until the daemon fails or stop() is called; throws Error on failure.
    void wait();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reply of the administration API.
struct AdminReply {
    unsigned status = 0;
    nlohmann::json body;
};

/// Speaks to whichever control host leads.
class AdminClient
{
public:
    AdminClient(std::vector<Address> control, const Clock &clock);
    ~AdminClient();

    /// Operator and key with which commands are proved.
    void setOperator(std::string name, std::string secretKey);
    /// Tries each control host, and the leader that it names. Throws Error with step "ask control" if none replies.
    AdminReply get(const std::string &path);
    AdminReply post(const std::string &path, const nlohmann::json &body);

private:
    AdminReply ask(const std::string &method, const std::string &path, const std::string &body);

    std::vector<Address> m_control;
    const Clock &m_clock;
    std::string m_operator;
    std::string m_secretKey;
    std::unique_ptr<HttpClient> m_client;
};

/// One request, waited for. For commands and tools, not for daemons.
HttpResult fetch(HttpClient &client, HttpCall call);

/// Blocks SIGTERM and SIGINT in all threads; call before any is started.
void blockStopSignals();
/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

/// What a running daemon is told from outside.
enum class DaemonSignal { Stop, Reload };
/// Like blockStopSignals(), with SIGHUP besides.
void blockDaemonSignals();
/// Waits for SIGTERM or SIGINT (Stop) or SIGHUP (Reload).
DaemonSignal waitForSignal();

} // namespace pepperlug
