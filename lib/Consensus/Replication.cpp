//===- Replication.cpp - Appending, committing and snapshots --------------===//
//
// The leader holds a lease while a majority has acknowledged a heartbeat round that was sent less than the lease time
// ago. Acknowledgements of members without a vote only advance their own progress.
//
// Entries are pipelined to members that are up to date. A member that rejects an append is caught up with one message
// of entries at a time, and with empty heartbeats meanwhile: copies of a long log would share the link and none of them
// would arrive within the message timeout.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <algorithm>
#include <cassert>

namespace pepperlug
{

namespace
{

constexpr std::size_t MaxEntriesInMessage = 64;
constexpr std::size_t MaxBytesInMessage = 1024 * 1024;
constexpr std::size_t MaxRoundsKept = 256;
/// Time after which a snapshot, or entries for a member that catches up, are sent again without an acknowledgement.
constexpr auto ResendInterval = std::chrono::seconds(2);

} // namespace

void Consensus::replicateAll()
{
    m_nextHeartbeatAt = m_now + m_settings.heartbeat;
    m_rounds.emplace_back(++m_round, m_now);
    if (m_rounds.size() > MaxRoundsKept) {
        m_rounds.pop_front();
    }
    if (hasMajority({m_settings.name})) {
        m_leaseUntil = m_now + leaseTime();
    }
    for (const ControlMember &member : m_members) {
        if (member.name != m_settings.name) {
            replicate(member.name);
        }
    }
}

AppendRequest Consensus::emptyAppend(std::uint64_t previousIndex) const
{
    return {sender(), m_round, previousIndex, termAt(previousIndex), m_commit, {}};
}

void Consensus::replicate(const std::string &to)
{
    Progress &progress = m_progress[to];
    progress.nextIndex = std::clamp<std::uint64_t>(progress.nextIndex, 1, lastIndex() + 1);
    if (progress.nextIndex <= m_snapshot.index) {
        // The snapshot may be large, so it is not sent with each heartbeat. An empty append maintains the lease.
        if (m_now < progress.snapshotSentAt + ResendInterval && progress.snapshotSentAt != TimePoint{}) {
            send(to, emptyAppend(lastIndex()));
            return;
        }
        progress.snapshotSentAt = m_now;
        send(to, SnapshotRequest{sender(), m_round, m_snapshot});
        return;
    }
    const bool isPending = progress.pendingIndex != 0 && m_now < progress.pendingSince + ResendInterval;
    if (progress.isCatchingUp && isPending) {
        send(to, emptyAppend(lastIndex()));
        return;
    }
    sendEntries(to, progress);
}

void Consensus::sendEntries(const std::string &to, Progress &progress)
{
    AppendRequest request = emptyAppend(progress.nextIndex - 1);
    std::size_t bytes = 0;
    for (std::uint64_t n = progress.nextIndex; n <= lastIndex(); ++n) {
        if (request.entries.size() >= MaxEntriesInMessage || bytes > MaxBytesInMessage) {
            break;
        }
        request.entries.push_back(entryAt(n));
        bytes += entryAt(n).data.size();
    }
    if (progress.isCatchingUp) {
        progress.pendingIndex = request.previousIndex + request.entries.size();
        progress.pendingSince = m_now;
    } else {
        // The entries count as received until a reply says otherwise, so that a burst of commands is sent once.
        progress.nextIndex += request.entries.size();
    }
    send(to, std::move(request));
}

void Consensus::handle(const AppendRequest &message)
{
    const ControlSender &from = message.sender;
    AppendReply reply{sender(), message.round, false, 0};
    if (from.term < m_hardState.term) {
        send(from.name, reply);
        return;
    }
    becomeFollower(from.term, from.name);
    m_lastLeaderContact = m_now;
    resetElectionTimer();
    reply.sender = sender();

    if (message.previousIndex > lastIndex()) {
        reply.matchIndex = lastIndex();
        send(from.name, reply);
        return;
    }
    if (message.previousIndex > m_snapshot.index && termAt(message.previousIndex) != message.previousTerm) {
        // Steps back over the whole conflicting term instead of entry by entry.
        const std::uint64_t conflictingTerm = termAt(message.previousIndex);
        std::uint64_t index = message.previousIndex;
        while (index > m_snapshot.index && termAt(index) == conflictingTerm) {
            --index;
        }
        reply.matchIndex = std::max(index, m_commit);
        send(from.name, reply);
        return;
    }
    std::optional<std::uint64_t> truncateFrom;
    std::vector<LogEntry> newEntries;
    for (const LogEntry &entry : message.entries) {
        if (entry.index <= m_snapshot.index) {
            continue;
        }
        if (entry.index <= lastIndex() && !truncateFrom && termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= lastIndex() && !truncateFrom) {
            assert(entry.index > m_commit && "a committed entry would be overwritten");
            truncateFrom = entry.index;
            m_entries.resize(entry.index - m_snapshot.index - 1);
        }
        m_entries.push_back(entry);
        newEntries.push_back(entry);
    }
    if (truncateFrom) {
        reloadMembers();
    }
    if (!newEntries.empty()) {
        for (const LogEntry &entry : newEntries) {
            applyMembersFrom(entry);
        }
        persistEntries(truncateFrom, std::move(newEntries));
    }
    const std::uint64_t match = message.previousIndex + message.entries.size();
    commitTo(std::min(message.commit, match));
    // Until a leader has committed an entry of its own term, it does not know which entries of earlier terms are
    // committed. After a restart of all members its commit index is 0.
    const bool hasCommitted = message.commit >= m_snapshot.index && message.commit <= m_commit;
    if (hasCommitted && termAt(message.commit) == from.term) {
        m_caughtUpAt = m_now;
    }
    reply.success = true;
    reply.matchIndex = match;
    send(from.name, reply);
}

void Consensus::handle(const SnapshotRequest &message)
{
    const ControlSender &from = message.sender;
    if (from.term < m_hardState.term) {
        send(from.name, AppendReply{sender(), message.round, false, 0});
        return;
    }
    becomeFollower(from.term, from.name);
    m_lastLeaderContact = m_now;
    resetElectionTimer();
    if (message.snapshot.index > m_commit) {
        const bool keepsLaterEntries = message.snapshot.index < lastIndex()
            && message.snapshot.index >= m_snapshot.index && termAt(message.snapshot.index) == message.snapshot.term;
        if (keepsLaterEntries) {
            const auto covered = static_cast<std::ptrdiff_t>(message.snapshot.index - m_snapshot.index);
            m_entries.erase(m_entries.begin(), m_entries.begin() + covered);
        } else {
            m_entries.clear();
        }
        m_snapshot = message.snapshot;
        m_commit = m_snapshot.index;
        reloadMembers();
        m_out->emplace_back(PersistSnapshot{m_snapshot, m_hardState, m_entries, true});
    }
    send(from.name, AppendReply{sender(), message.round, true, std::max(message.snapshot.index, m_commit)});
}

void Consensus::handle(const AppendReply &message)
{
    const ControlSender &from = message.sender;
    if (from.term > m_hardState.term) {
        becomeFollower(from.term, {});
        return;
    }
    if (m_role != ControlRole::Leader || from.term < m_hardState.term || findMember(from.name) == nullptr) {
        return;
    }
    Progress &progress = m_progress[from.name];
    if (progress.diskId != from.diskId) {
        progress = Progress{};
        progress.diskId = from.diskId;
        progress.nextIndex = lastIndex() + 1;
    }
    progress.ackedRound = std::max(progress.ackedRound, message.round);
    progress.lastContact = m_now;
    if (!message.success) {
        const std::uint64_t before = progress.nextIndex;
        progress.nextIndex = std::min(before, std::max(message.matchIndex, progress.matchIndex) + 1);
        if (progress.nextIndex < before) {
            progress.isCatchingUp = true;
            progress.pendingIndex = 0;
            replicate(from.name);
        }
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, message.matchIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    if (progress.matchIndex >= progress.pendingIndex) {
        progress.pendingIndex = 0;
    }
    progress.isCatchingUp &= progress.matchIndex < lastIndex();
    advanceCommit();
    promoteLearner(from.name);
    if (progress.nextIndex <= lastIndex() && progress.pendingIndex == 0) {
        replicate(from.name);
    }
}

void Consensus::advanceCommit()
{
    // The lease starts at the send time of the newest round that a majority has acknowledged.
    for (auto it = m_rounds.rbegin(); it != m_rounds.rend(); ++it) {
        std::set<std::string> acked{m_settings.name};
        for (const auto &[name, progress] : m_progress) {
            if (progress.ackedRound >= it->first && countsAsVoter(name, progress.diskId)) {
                acked.insert(name);
            }
        }
        if (hasMajority(acked)) {
            m_leaseUntil = std::max(m_leaseUntil, it->second + leaseTime());
            break;
        }
    }
    for (std::uint64_t index = lastIndex(); index > m_commit && termAt(index) == m_hardState.term; --index) {
        std::set<std::string> stored{m_settings.name};
        for (const auto &[name, progress] : m_progress) {
            if (progress.matchIndex >= index && countsAsVoter(name, progress.diskId)) {
                stored.insert(name);
            }
        }
        if (hasMajority(stored)) {
            commitTo(index);
            break;
        }
    }
}

} // namespace pepperlug
