//===- pepperlug/Consensus.h - The replicated control log --------*- C++ -*-===//
//
// The part of a control host that agrees on the order of decisions: terms,
// votes with a pre-vote, a leader lease, replication, snapshots, and members
// that are replaced one at a time. Pure: a reducer with effects as data.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Codec.h"

#include <random>
#include <set>
#include <variant>

namespace pepperlug
{

/// One control host as the log knows it. The disk id is drawn when a data folder is made, so a machine whose disk was
/// lost is told apart from the voter that it was.
struct ControlMember {
    std::string name;
    std::string diskId;
    bool voter = true;
    std::string zone = {}; ///< empty where members are fixed by settings
    MSGPACK_DEFINE(name, diskId, voter, zone);
    bool operator==(const ControlMember &) const = default;
};

enum class EntryKind : std::uint8_t {
    Command, ///< for the state machine
    Members, ///< a new list of members, in force as soon as it is in the log
    Barrier, ///< first entry of a leader's term
};

struct LogEntry {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    EntryKind kind = EntryKind::Command;
    std::string data;
    MSGPACK_DEFINE(term, index, kind, data);
    bool operator==(const LogEntry &) const = default;
};

/// What must be synced before a vote or an acknowledgement goes out.
struct HardState {
    std::uint64_t term = 0;
    std::string votedFor;
    MSGPACK_DEFINE(term, votedFor);
    bool operator==(const HardState &) const = default;
};

struct LogSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<ControlMember> members;
    std::string data; ///< of the state machine
    MSGPACK_DEFINE(index, term, members, data);
};

//===-- Messages between control hosts ---------------------------------------===//

/// Who sends; every message carries it.
struct ControlSender {
    std::string name;
    std::string diskId;
    std::uint64_t term = 0;
    MSGPACK_DEFINE(name, diskId, term);
};

struct VoteRequest {
    ControlSender sender;
    bool isPreVote = false;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    MSGPACK_DEFINE(sender, isPreVote, lastIndex, lastTerm);
};

struct VoteReply {
    ControlSender sender;
    bool isPreVote = false;
    std::uint64_t requestedTerm = 0; ///< term for which the vote was asked
    bool granted = false;
    MSGPACK_DEFINE(sender, isPreVote, requestedTerm, granted);
};

struct AppendRequest {
    ControlSender sender;
    std::uint64_t round = 0; ///< of the leader's heartbeats, for its lease
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commit = 0;
    std::vector<LogEntry> entries;
    MSGPACK_DEFINE(sender, round, previousIndex, previousTerm, commit, entries);
};

struct AppendReply {
    ControlSender sender;
    std::uint64_t round = 0;
    bool success = false;
    std::uint64_t matchIndex = 0; ///< with success; otherwise the last index that may match
    MSGPACK_DEFINE(sender, round, success, matchIndex);
};

struct SnapshotRequest {
    ControlSender sender;
    std::uint64_t round = 0;
    LogSnapshot snapshot;
    MSGPACK_DEFINE(sender, round, snapshot);
};

using ControlMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest>;

//===-- Events and effects ----------------------------------------------------===//

struct ControlTick {
};

struct MessageReceived {
    ControlMessage message;
};

/// A command to agree on; `token` finds its fate again.
struct CommandProposed {
    std::uint64_t token = 0;
    std::string command;
};

/// The state machine's state as of `index`, which was applied before.
struct SnapshotTaken {
    std::uint64_t index = 0;
    std::string data;
};

/// A control host that is not a member asks to become one, first as a learner.
struct JoinRequested {
    std::string name;
    std::string diskId;
    std::string zone;
};
using ControlEvent = std::variant<ControlTick, MessageReceived, CommandProposed, SnapshotTaken, JoinRequested>;

/// To be on the disk, synced, before any later effect of the same list is carried out.
struct PersistLog {
    std::optional<HardState> hardState;
    std::optional<std::uint64_t> truncateFrom; ///< drops entries from this index on
    std::vector<LogEntry> entries;
};

struct PersistSnapshot {
    LogSnapshot snapshot;
    HardState hardState;
    std::vector<LogEntry> entriesAfter; ///< what the log holds past the snapshot
    bool restoresState = false; ///< came from the leader: the state machine has to take it over
};

struct SendMessage {
    std::string to;
    ControlMessage message;
};

/// Committed; to be applied to the state machine in order.
struct ApplyEntry {
    LogEntry entry;
};

/// The command is in the log at this place; it is decided when ApplyEntry shows that index with that term.
struct CommandAppended {
    std::uint64_t token = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

struct CommandRejected {
    std::uint64_t token = 0;
    std::string leader; ///< where to try instead; empty if not known
};

enum class ControlRole { Follower, PreCandidate, Candidate, Leader };
const char *nameOf(ControlRole role);

struct RoleChanged {
    ControlRole role{};
    std::uint64_t term = 0;
    std::string leader;
};

using ControlEffect =
    std::variant<PersistLog, PersistSnapshot, SendMessage, ApplyEntry, CommandAppended, CommandRejected, RoleChanged>;
using ControlEffects = std::vector<ControlEffect>;

struct ConsensusSettings {
    std::string name;
    std::string diskId;
    std::vector<ControlMember> members; ///< in force until the log says otherwise
    Duration heartbeat = Milliseconds(100);
    Duration electionTimeout = Milliseconds(500); ///< shortest; drawn up to twice as long
    double driftAllowance = 0.1;
    std::uint64_t seed = 0;
    /// A silent member whose zone has another member that answers is removed after this time; none: members stay.
    std::optional<Duration> replaceSilentAfter;
};

/// What the disk held at start.
struct RecoveredLog {
    HardState hardState;
    LogSnapshot snapshot;
    std::vector<LogEntry> entries; ///< past the snapshot, in order
};

class Consensus
{
public:
    Consensus(ConsensusSettings settings, RecoveredLog recovered, TimePoint now);

    /// Applies one event and appends what is to be done, in order.
    void reduce(const ControlEvent &event, TimePoint now, ControlEffects &out);

    ControlRole role() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t lastIndex() const;
    const std::string &leader() const;
    const std::vector<ControlMember> &members() const;
    /// Whether this host is a leader that a majority follows, or lately heard from one and had all that was agreed on.
    bool isCurrent(TimePoint now) const;
    /// Whether this host leads under a lease and has applied all that was agreed before its term.
    bool canRead(TimePoint now) const;
    bool isVoter() const;
    /// When a leader was heard last; the start of this process if never.
    TimePoint lastLeaderContact() const;
    /// Until when isCurrent() holds if nothing more is heard.
    TimePoint currentUntil() const;

private:
    struct Progress {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        std::string diskId; ///< as the member says itself
        std::uint64_t ackedRound = 0;
        TimePoint snapshotSentAt{};
        TimePoint heardAt{};
    };

    void on(const ControlTick &event);
    void on(const MessageReceived &event);
    void on(const CommandProposed &event);
    void on(const SnapshotTaken &event);
    void on(const JoinRequested &event);
    void on(const VoteRequest &message);
    void on(const VoteReply &message);
    void on(const AppendRequest &message);
    void on(const AppendReply &message);
    void on(const SnapshotRequest &message);

    void startPreVote();
    void startElection();
    void askVotes(bool isPreVote, std::uint64_t term);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void becomeLeader();
    void changeRole(ControlRole role, const std::string &leader);
    void resetElectionTimer();
    void append(EntryKind kind, std::string data);
    void persistEntries(std::optional<std::uint64_t> truncateFrom, std::vector<LogEntry> entries);
    void persistHardState();
    void replicate(const std::string &to);
    void replicateAll();
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void promoteLearner(const std::string &name);
    bool canChangeMembers() const;
    void changeMembers(const std::vector<ControlMember> &members);
    void removeReplacedMember();
    void useMembersOf(const LogEntry &entry);
    void reloadMembers();
    bool hasMajority(const std::set<std::string> &names) const;
    bool countsAsVoter(const std::string &name, const std::string &diskId) const;
    const ControlMember *findMember(const std::string &name) const;
    ControlSender sender() const;
    std::uint64_t termAt(std::uint64_t index) const;
    const LogEntry &at(std::uint64_t index) const;
    Duration leaseTime() const;
    void send(const std::string &to, ControlMessage message);

    ConsensusSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    ControlEffects *m_out = nullptr;

    HardState m_hard;
    LogSnapshot m_snapshot;
    std::vector<LogEntry> m_entries; ///< past the snapshot
    std::vector<ControlMember> m_members;
    std::uint64_t m_commit = 0;

    ControlRole m_role = ControlRole::Follower;
    std::string m_leader;
    TimePoint m_electionDue{};
    TimePoint m_leaderHeard{};
    std::optional<TimePoint> m_caughtUpAt; ///< when this member last had all that its leader told to be agreed on
    std::set<std::string> m_votes;
    std::map<std::string, Progress> m_progress;
    std::uint64_t m_round = 0;
    std::deque<std::pair<std::uint64_t, TimePoint>> m_rounds; ///< when each heartbeat round was sent
    TimePoint m_leaseUntil{};
    TimePoint m_nextHeartbeat{};
};

} // namespace pepperlug

PEPPERLUG_CODEC_ENUM(pepperlug::EntryKind);
