//===- pepperlug/Consensus.h - The replicated control log --------*- C++ -*-===//
//
// Consensus among control hosts on the order of commands: terms, votes with a
// pre-vote, a leader lease, replication, snapshots, and changes of one member at
// a time. Pure: a reducer with effects as data.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Codec.h"

#include <random>
#include <set>
#include <variant>

namespace pepperlug
{

/// A control host in the replicated list of members. The disk id is generated when a data folder is created, so that a
/// host which lost its disk is not taken for the voter that it was.
struct ControlMember {
    std::string name;
    std::string diskId;
    bool voter = true;
    std::string zone = {}; ///< empty if the settings list the members
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

/// State that must be synced to disk before a vote or an acknowledgement is sent.
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

/// Sender of a message, part of every message.
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
    std::uint64_t requestedTerm = 0; ///< for which the vote was requested
    bool granted = false;
    MSGPACK_DEFINE(sender, isPreVote, requestedTerm, granted);
};

struct AppendRequest {
    ControlSender sender;
    std::uint64_t round = 0; ///< number of the leader's heartbeat, for its lease
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
    std::uint64_t matchIndex = 0; ///< on success; otherwise the last index that may match
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

/// A command to replicate. `token` identifies it in CommandAppended and CommandRejected.
struct CommandProposed {
    std::uint64_t token = 0;
    std::string command;
};

/// The state of the state machine as of `index`, which must have been applied.
struct SnapshotTaken {
    std::uint64_t index = 0;
    std::string data;
};

/// Request of a control host to become a member, first as a learner.
struct JoinRequested {
    std::string name;
    std::string diskId;
    std::string zone;
};
using ControlEvent = std::variant<ControlTick, MessageReceived, CommandProposed, SnapshotTaken, JoinRequested>;

/// Changes that must be synced to disk before any later effect of the same list is carried out.
struct PersistLog {
    std::optional<HardState> hardState;
    std::optional<std::uint64_t> truncateFrom; ///< drops entries from this index on
    std::vector<LogEntry> entries;
};

struct PersistSnapshot {
    LogSnapshot snapshot;
    HardState hardState;
    std::vector<LogEntry> entriesAfter; ///< entries of the log after the snapshot
    bool restoresState = false; ///< received from the leader; the state machine must load it
};

struct SendMessage {
    std::string to;
    ControlMessage message;
};

/// A committed entry, to be applied to the state machine in order.
struct ApplyEntry {
    LogEntry entry;
};

/// The leader appended the command at this index. It is committed once ApplyEntry has this index with this term.
struct CommandAppended {
    std::uint64_t token = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

struct CommandRejected {
    std::uint64_t token = 0;
    std::string leader; ///< to send the command to instead; empty if unknown
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
    std::vector<ControlMember> members; ///< in force until the log has another list
    Duration heartbeat = Milliseconds(100);
    Duration electionTimeout = Milliseconds(500); ///< minimum; a random timeout is up to twice as long
    double driftAllowance = 0.1;
    std::uint64_t seed = 0;
    /// Time after which a silent member is removed if its zone has another one that answers; none: members stay.
    std::optional<Duration> replaceSilentAfter;
};

/// Contents of the disk at start.
struct RecoveredLog {
    HardState hardState;
    LogSnapshot snapshot;
    std::vector<LogEntry> entries; ///< after the snapshot, in order
};

class Consensus
{
public:
    Consensus(ConsensusSettings settings, RecoveredLog recovered, TimePoint now);

    /// Handles one event and appends the resulting effects, in order.
    void reduce(const ControlEvent &event, TimePoint now, ControlEffects &out);

    ControlRole role() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t lastIndex() const;
    const std::string &leader() const;
    const std::vector<ControlMember> &members() const;
    /// Returns true if this host is a leader that holds its lease and has applied all entries committed before its
    /// term, or a follower that had all committed entries at a recent contact to such a leader.
    bool isCurrent(TimePoint now) const;
    /// Returns true if this host is a leader that isCurrent().
    bool canRead(TimePoint now) const;
    bool isVoter() const;
    /// Returns the time of the last message from a leader; the start of this process if there was none.
    TimePoint lastLeaderContact() const;
    /// Returns the time until which isCurrent() holds without further messages.
    TimePoint currentUntil() const;

private:
    struct Progress {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        std::string diskId; ///< as the member itself reports
        std::uint64_t ackedRound = 0;
        TimePoint snapshotSentAt{};
        bool isCatchingUp = false; ///< it has rejected an append, so entries are sent to it one message at a time
        std::uint64_t pendingIndex = 0; ///< last entry of the message that it has not acknowledged; 0: none
        TimePoint pendingSince{}; ///< when that message was sent
        TimePoint lastContact{};
    };

    void handle(const ControlTick &event);
    void handle(const MessageReceived &event);
    void handle(const CommandProposed &event);
    void handle(const SnapshotTaken &event);
    void handle(const JoinRequested &event);
    void handle(const VoteRequest &message);
    void handle(const VoteReply &message);
    void handle(const AppendRequest &message);
    void handle(const AppendReply &message);
    void handle(const SnapshotRequest &message);

    void startPreVote();
    void startElection();
    void requestVotes(bool isPreVote, std::uint64_t term);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void becomeLeader();
    void changeRole(ControlRole role, const std::string &leader);
    void resetElectionTimer();
    void append(EntryKind kind, std::string data);
    void persistEntries(std::optional<std::uint64_t> truncateFrom, std::vector<LogEntry> entries);
    void persistHardState();
    void replicate(const std::string &to);
    void replicateAll();
    AppendRequest emptyAppend(std::uint64_t previousIndex) const;
    void sendEntries(const std::string &to, Progress &progress);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void promoteLearner(const std::string &name);
    bool canChangeMembers() const;
    void changeMembers(const std::vector<ControlMember> &members);
    void removeReplacedMember();
    void applyMembersFrom(const LogEntry &entry);
    void reloadMembers();
    bool hasMajority(const std::set<std::string> &names) const;
    bool countsAsVoter(const std::string &name, const std::string &diskId) const;
    const ControlMember *findMember(const std::string &name) const;
    ControlSender sender() const;
    std::uint64_t termAt(std::uint64_t index) const;
    const LogEntry &entryAt(std::uint64_t index) const;
    Duration leaseTime() const;
    void send(const std::string &to, ControlMessage message);

    ConsensusSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    ControlEffects *m_out = nullptr;

    HardState m_hardState;
    LogSnapshot m_snapshot;
    std::vector<LogEntry> m_entries; ///< after the snapshot
    std::vector<ControlMember> m_members;
    std::uint64_t m_commit = 0;

    ControlRole m_role = ControlRole::Follower;
    std::string m_leader;
    TimePoint m_electionDueAt{};
    TimePoint m_lastLeaderContact{};
    std::optional<TimePoint> m_caughtUpAt; ///< when this member last had all that its leader had committed
    std::set<std::string> m_votes;
    std::map<std::string, Progress> m_progress;
    std::uint64_t m_round = 0;
    std::deque<std::pair<std::uint64_t, TimePoint>> m_rounds; ///< number and send time of recent heartbeat rounds
    TimePoint m_leaseUntil{};
    TimePoint m_nextHeartbeatAt{};
};

} // namespace pepperlug

PEPPERLUG_CODEC_ENUM(pepperlug::EntryKind);
