//===- ControlLog.h - Runs the replicated log of a control host -*- C++ -*-===//
//
// One thread reduces all events of the log. All records of a batch of events
// are written with one sync before any message of that batch is sent.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Storage.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet
{

struct ControlLogSettings {
    std::string name; ///< peer address of this host, its name among the members
    std::string zone;
    std::string dataFolder;
    bool isInitialMember = false; ///< one of the initial members, on its first start
    std::vector<std::string> initialMembers;
    Duration heartbeat = Milliseconds(150);
    Duration electionTimeout = Milliseconds(700);
    Duration replaceSilentAfter = Milliseconds(2500);
    std::uint64_t snapshotEvery = 200; ///< applied entries between two snapshots
};

/// Outcome of a proposal.
struct ProposalResult {
    bool isApplied = false; ///< `result` holds the result of the state machine
    std::string result;
    std::string leader; ///< name of the host to send the proposal to instead; empty if unknown
};
using ProposalHandler = std::function<void(ProposalResult)>;

/// Status of the log, available without waiting for its thread.
struct ControlLogStatus {
    ControlRole role{};
    std::uint64_t term = 0;
    std::string leader;
    std::uint64_t commit = 0;
    TimePoint currentUntil{}; ///< contact to a majority, directly or through the leader, is assumed until then
    bool readsAllowed = false; ///< leads, and has applied all entries that were committed before its term
    std::vector<ControlMember> members;

    bool isCurrent(TimePoint now) const
    {
        return now < currentUntil;
    }
    bool canRead(TimePoint now) const
    {
        return readsAllowed && isCurrent(now);
    }
};

/// State machine and network of the log. Called on the log's thread.
class ControlLogClient
{
public:
    virtual ~ControlLogClient() = default;
    virtual std::string applyCommand(const std::string &command, std::uint64_t index) = 0;
    virtual std::string takeSnapshot() = 0;
    virtual void restoreSnapshot(const std::string &data) = 0;
    virtual void statusChanged(const ControlLogStatus &status) = 0;
    virtual void sendToMember(const std::string &name, const ControlMessage &message) = 0;
    /// Reports that the disk can't be trusted any more; the host must not acknowledge anything.
    virtual void logFailed(const std::string &reason) = 0;
};

/// The replicated log of a control host, on a thread of its own.
class ControlLog
{
public:
    ControlLog(ControlLogSettings settings, const Clock &clock, ControlLogClient &client);
    ~ControlLog();
    ControlLog(const ControlLog &) = delete;
    ControlLog &operator=(const ControlLog &) = delete;

    /// Recovers the state and starts the thread; the client may be called from now on.
    void start();
    void stop();
    /// Proposes a command. The handler is called once, unless the log stops first.
    void propose(std::string command, ProposalHandler handler);
    void post(ControlEvent event);
    ControlLogStatus status() const;
    const std::string &diskId() const;

private:
    void run();
    void reduceBatch(std::vector<ControlEvent> &events);
    void persist(const ControlEffects &effects);
    void carryOut(const PersistLog &effect);
    void carryOut(const PersistSnapshot &effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const ApplyEntry &effect);
    void carryOut(const CommandAppended &effect);
    void carryOut(const CommandRejected &effect);
    void carryOut(const RoleChanged &effect);
    void complete(std::uint64_t token, const ProposalResult &result);
    void publishStatus();

    struct PlacedProposal {
        std::uint64_t token = 0;
        std::uint64_t term = 0;
    };

    ControlLogSettings m_settings;
    const Clock &m_clock;
    ControlLogClient &m_client;
    DataFolder m_folder;
    std::string m_diskId; ///< created before the log: a log without a disk id looks damaged
    ControlStore m_store;
    std::unique_ptr<Consensus> m_consensus;
    std::uint64_t m_applied = 0;
    std::uint64_t m_lastSnapshot = 0;
    std::map<std::uint64_t, PlacedProposal> m_placed; ///< by log index

    mutable std::mutex m_mutex; ///< guards the members below
    std::condition_variable m_wake;
    std::vector<ControlEvent> m_queue;
    std::map<std::uint64_t, ProposalHandler> m_handlers; ///< by token
    std::uint64_t m_lastToken = 0;
    bool m_stop = false;
    ControlLogStatus m_status;
    std::thread m_thread;
};

} // namespace pepperlug::fleet
