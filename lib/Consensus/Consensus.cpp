//===- Consensus.cpp - State, ticks and commands of the control log -------===//
//
// The protocol is a leader-based replicated log with one vote per member and term, implemented by the project itself.
// Election.cpp, Replication.cpp and Membership.cpp hold its other parts.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <algorithm>
#include <cassert>

namespace pepperlug
{

const char *nameOf(ControlRole role)
{
    switch (role) {
    case ControlRole::Follower:
        return "follower";
    case ControlRole::PreCandidate:
        return "pre-candidate";
    case ControlRole::Candidate:
        return "candidate";
    case ControlRole::Leader:
        return "leader";
    }
    return "follower";
}

Consensus::Consensus(ConsensusSettings settings, RecoveredLog recovered, TimePoint now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_now(now)
    , m_hardState(std::move(recovered.hardState))
    , m_snapshot(std::move(recovered.snapshot))
    , m_entries(std::move(recovered.entries))
    , m_commit(m_snapshot.index)
    // A restarted member has lost the time of its last contact, so it must not vote before that leader's lease expires.
    , m_lastLeaderContact(now)
{
    reloadMembers();
    resetElectionTimer();
}

void Consensus::reduce(const ControlEvent &event, TimePoint now, ControlEffects &out)
{
    m_now = std::max(m_now, now);
    m_out = &out;
    std::visit([this](const auto &it) { handle(it); }, event);
    m_out = nullptr;
}

void Consensus::handle(const ControlTick &)
{
    if (m_role == ControlRole::Leader) {
        // Heartbeats of a leader without a majority would keep the few followers that receive them from detecting that
        // they are cut off.
        if (m_now > m_leaseUntil + m_settings.electionTimeout) {
            resetElectionTimer();
            becomeFollower(m_hardState.term, {});
            return;
        }
        if (m_now >= m_nextHeartbeatAt) {
            removeReplacedMember();
            replicateAll();
        }
        return;
    }
    if (m_now >= m_electionDueAt && isVoter()) {
        startPreVote();
    }
}

void Consensus::handle(const MessageReceived &event)
{
    std::visit([this](const auto &it) { handle(it); }, event.message);
}

void Consensus::handle(const CommandProposed &event)
{
    if (m_role != ControlRole::Leader) {
        m_out->emplace_back(CommandRejected{event.token, m_leader});
        return;
    }
    append(EntryKind::Command, event.command);
    m_out->emplace_back(CommandAppended{event.token, lastIndex(), m_hardState.term});
    replicateAll();
    advanceCommit();
}

void Consensus::handle(const SnapshotTaken &event)
{
    if (event.index <= m_snapshot.index || event.index > m_commit) {
        return;
    }
    LogSnapshot snapshot;
    snapshot.index = event.index;
    snapshot.term = termAt(event.index);
    snapshot.data = event.data;
    // The members of the snapshot are the newest list at or before its index.
    snapshot.members = m_snapshot.members.empty() ? m_settings.members : m_snapshot.members;
    for (const LogEntry &entry : m_entries) {
        if (entry.index <= event.index && entry.kind == EntryKind::Members) {
            snapshot.members = decode<std::vector<ControlMember>>(entry.data, m_settings.name);
        }
    }
    const auto compacted = static_cast<std::ptrdiff_t>(event.index - m_snapshot.index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + compacted);
    m_snapshot = std::move(snapshot);
    m_out->emplace_back(PersistSnapshot{m_snapshot, m_hardState, m_entries, false});
}

ControlRole Consensus::role() const
{
    return m_role;
}

std::uint64_t Consensus::term() const
{
    return m_hardState.term;
}

std::uint64_t Consensus::commitIndex() const
{
    return m_commit;
}

std::uint64_t Consensus::lastIndex() const
{
    return m_snapshot.index + m_entries.size();
}

const std::string &Consensus::leader() const
{
    return m_leader;
}

const std::vector<ControlMember> &Consensus::members() const
{
    return m_members;
}

bool Consensus::isVoter() const
{
    return countsAsVoter(m_settings.name, m_settings.diskId);
}

const LogEntry &Consensus::entryAt(std::uint64_t index) const
{
    assert(index > m_snapshot.index && index <= lastIndex() && "an entry outside the log is read");
    return m_entries[index - m_snapshot.index - 1];
}

std::uint64_t Consensus::termAt(std::uint64_t index) const
{
    if (index == 0) {
        return 0;
    }
    if (index == m_snapshot.index) {
        return m_snapshot.term;
    }
    return entryAt(index).term;
}

// An election timeout less the clock drift. No other leader can be elected before that, since members that received a
// message of this one within an election timeout refuse to vote.
Duration Consensus::leaseTime() const
{
    return std::chrono::duration_cast<Duration>(m_settings.electionTimeout * (1 - m_settings.driftAllowance));
}

bool Consensus::isCurrent(TimePoint now) const
{
    return now < currentUntil();
}

TimePoint Consensus::currentUntil() const
{
    if (m_role == ControlRole::Leader) {
        return termAt(m_commit) == m_hardState.term ? m_leaseUntil : TimePoint{};
    }
    // A follower in contact with a leader that lacks committed entries (a slow disk, a start) would have others use
    // outdated decisions.
    return m_caughtUpAt ? *m_caughtUpAt + leaseTime() : TimePoint{};
}

bool Consensus::canRead(TimePoint now) const
{
    return m_role == ControlRole::Leader && isCurrent(now);
}

TimePoint Consensus::lastLeaderContact() const
{
    return m_lastLeaderContact;
}

const ControlMember *Consensus::findMember(const std::string &name) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(),
                                 [&](const ControlMember &member) { return member.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

bool Consensus::countsAsVoter(const std::string &name, const std::string &diskId) const
{
    const ControlMember *member = findMember(name);
    return member != nullptr && member->voter && member->diskId == diskId;
}

bool Consensus::hasMajority(const std::set<std::string> &names) const
{
    std::size_t voters = 0;
    std::size_t votes = 0;
    for (const ControlMember &member : m_members) {
        voters += member.voter ? 1 : 0;
        votes += member.voter && names.contains(member.name) ? 1 : 0;
    }
    return votes * 2 > voters;
}

ControlSender Consensus::sender() const
{
    return {m_settings.name, m_settings.diskId, m_hardState.term};
}

void Consensus::send(const std::string &to, ControlMessage message)
{
    m_out->emplace_back(SendMessage{to, std::move(message)});
}

void Consensus::persistHardState()
{
    m_out->emplace_back(PersistLog{m_hardState, std::nullopt, {}});
}

void Consensus::persistEntries(std::optional<std::uint64_t> truncateFrom, std::vector<LogEntry> entries)
{
    m_out->emplace_back(PersistLog{std::nullopt, truncateFrom, std::move(entries)});
}

void Consensus::append(EntryKind kind, std::string data)
{
    LogEntry entry{m_hardState.term, lastIndex() + 1, kind, std::move(data)};
    persistEntries(std::nullopt, {entry});
    applyMembersFrom(entry);
    m_entries.push_back(std::move(entry));
}

void Consensus::applyMembersFrom(const LogEntry &entry)
{
    if (entry.kind == EntryKind::Members) {
        m_members = decode<std::vector<ControlMember>>(entry.data, m_settings.name);
    }
}

void Consensus::reloadMembers()
{
    m_members = m_snapshot.members.empty() ? m_settings.members : m_snapshot.members;
    for (const LogEntry &entry : m_entries) {
        applyMembersFrom(entry);
    }
}

void Consensus::commitTo(std::uint64_t index)
{
    while (m_commit < std::min(index, lastIndex())) {
        ++m_commit;
        m_out->emplace_back(ApplyEntry{entryAt(m_commit)});
    }
}

} // namespace pepperlug
