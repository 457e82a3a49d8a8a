//===- Election.cpp - Votes, pre-votes and roles --------------------------===//
//
// A member first asks whether it would be elected (pre-vote), without raising its term; so one that was cut off does
// not depose a working leader when it comes back. Members that heard a leader within the shortest election timeout
// refuse both kinds of vote; the leader's lease rests on that.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

namespace pepperlug
{

void Consensus::resetElectionTimer()
{
    const auto shortest = m_settings.electionTimeout.count();
    m_electionDue = m_now + m_settings.electionTimeout
        + Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(shortest)));
}

void Consensus::changeRole(ControlRole role, const std::string &leader)
{
    if (m_role == role && m_leader == leader) {
        return;
    }
    m_role = role;
    m_leader = leader;
    m_out->emplace_back(RoleChanged{role, m_hard.term, leader});
}

void Consensus::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > m_hard.term) {
        m_hard = {term, {}};
        persistHardState();
    }
    m_progress.clear();
    changeRole(ControlRole::Follower, leader);
}

void Consensus::askVotes(bool isPreVote, std::uint64_t term)
{
    VoteRequest request{sender(), isPreVote, lastIndex(), termAt(lastIndex())};
    request.sender.term = term;
    for (const ControlMember &member : m_members) {
        if (member.voter && member.name != m_settings.name) {
            send(member.name, request);
        }
    }
}

void Consensus::startPreVote()
{
    resetElectionTimer();
    changeRole(ControlRole::PreCandidate, {});
    m_votes = {m_settings.name};
    if (hasMajority(m_votes)) {
        startElection();
        return;
    }
    askVotes(true, m_hard.term + 1);
}

void Consensus::startElection()
{
    m_hard = {m_hard.term + 1, m_settings.name};
    persistHardState();
    resetElectionTimer();
    changeRole(ControlRole::Candidate, {});
    m_votes = {m_settings.name};
    if (hasMajority(m_votes)) {
        becomeLeader();
        return;
    }
    askVotes(false, m_hard.term);
}

void Consensus::becomeLeader()
{
    changeRole(ControlRole::Leader, m_settings.name);
    m_progress.clear();
    m_rounds.clear();
    m_leaseUntil = m_now; // none yet; a majority has to answer within an election timeout
    for (const ControlMember &member : m_members) {
        m_progress[member.name].nextIndex = lastIndex() + 1;
        m_progress[member.name].heardAt = m_now;
    }
    // Entries of earlier terms are committed only along with one of this term.
    append(EntryKind::Barrier, {});
    replicateAll();
    advanceCommit();
}

void Consensus::on(const VoteRequest &message)
{
    const ControlSender &from = message.sender;
    const std::uint64_t asked = from.term;
    VoteReply reply{sender(), message.isPreVote, asked, false};
    const bool heardLeader = m_now < m_leaderHeard + m_settings.electionTimeout;
    const bool leads = m_role == ControlRole::Leader && m_now < m_leaseUntil;
    if (heardLeader || leads || !isVoter() || !countsAsVoter(from.name, from.diskId)) {
        send(from.name, reply);
        return;
    }
    const std::uint64_t ownLastTerm = termAt(lastIndex());
    const bool isUpToDate =
        message.lastTerm > ownLastTerm || (message.lastTerm == ownLastTerm && message.lastIndex >= lastIndex());
    if (message.isPreVote) {
        reply.granted = isUpToDate && asked > m_hard.term;
        send(from.name, reply);
        return;
    }
    if (asked > m_hard.term) {
        becomeFollower(asked, {});
    }
    const bool isRival = m_role == ControlRole::Candidate || m_role == ControlRole::Leader;
    const bool isFree = m_hard.votedFor.empty() || m_hard.votedFor == from.name;
    if (asked == m_hard.term && isUpToDate && isFree && !isRival) {
        if (m_hard.votedFor.empty()) {
            m_hard.votedFor = from.name;
            persistHardState();
        }
        reply.granted = true;
        resetElectionTimer();
    }
    reply.sender = sender();
    send(from.name, reply);
}

void Consensus::on(const VoteReply &message)
{
    const ControlSender &from = message.sender;
    if (from.term > m_hard.term) {
        becomeFollower(from.term, {});
        return;
    }
    if (!message.granted || !countsAsVoter(from.name, from.diskId)) {
        return;
    }
    if (message.isPreVote) {
        if (m_role != ControlRole::PreCandidate || message.requestedTerm != m_hard.term + 1) {
            return;
        }
        m_votes.insert(from.name);
        if (hasMajority(m_votes)) {
            startElection();
        }
        return;
    }
    if (m_role != ControlRole::Candidate || message.requestedTerm != m_hard.term) {
        return;
    }
    m_votes.insert(from.name);
    if (hasMajority(m_votes)) {
        becomeLeader();
    }
}

} // namespace pepperlug
