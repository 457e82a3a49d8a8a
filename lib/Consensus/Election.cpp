//===- Election.cpp - Votes, pre-votes and roles --------------------------===//
//
// A member first requests pre-votes, without raising its term, to find out whether it would be elected. So a member
// that was cut off does not depose a working leader when it comes back. Members that received a message from a leader
// within the minimum election timeout refuse both kinds of vote; the leader's lease depends on that.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

namespace pepperlug
{

void Consensus::resetElectionTimer()
{
    const auto shortest = m_settings.electionTimeout.count();
    m_electionDueAt = m_now + m_settings.electionTimeout
        + Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(shortest)));
}

void Consensus::changeRole(ControlRole role, const std::string &leader)
{
    if (m_role == role && m_leader == leader) {
        return;
    }
    m_role = role;
    m_leader = leader;
    m_out->emplace_back(RoleChanged{role, m_hardState.term, leader});
}

void Consensus::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > m_hardState.term) {
        m_hardState = {term, {}};
        persistHardState();
    }
    m_progress.clear();
    changeRole(ControlRole::Follower, leader);
}

void Consensus::requestVotes(bool isPreVote, std::uint64_t term)
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
    requestVotes(true, m_hardState.term + 1);
}

void Consensus::startElection()
{
    m_hardState = {m_hardState.term + 1, m_settings.name};
    persistHardState();
    resetElectionTimer();
    changeRole(ControlRole::Candidate, {});
    m_votes = {m_settings.name};
    if (hasMajority(m_votes)) {
        becomeLeader();
        return;
    }
    requestVotes(false, m_hardState.term);
}

void Consensus::becomeLeader()
{
    changeRole(ControlRole::Leader, m_settings.name);
    m_progress.clear();
    m_rounds.clear();
    m_leaseUntil = m_now; // no lease yet; a majority must answer within an election timeout
    for (const ControlMember &member : m_members) {
        m_progress[member.name].nextIndex = lastIndex() + 1;
        m_progress[member.name].lastContact = m_now;
    }
    // Entries of earlier terms are committed only together with one of this term.
    append(EntryKind::Barrier, {});
    replicateAll();
    advanceCommit();
}

void Consensus::handle(const VoteRequest &message)
{
    const ControlSender &from = message.sender;
    const std::uint64_t requestedTerm = from.term;
    VoteReply reply{sender(), message.isPreVote, requestedTerm, false};
    const bool hasLeaderContact = m_now < m_lastLeaderContact + m_settings.electionTimeout;
    const bool holdsLease = m_role == ControlRole::Leader && m_now < m_leaseUntil;
    if (hasLeaderContact || holdsLease || !isVoter() || !countsAsVoter(from.name, from.diskId)) {
        send(from.name, reply);
        return;
    }
    const std::uint64_t ownLastTerm = termAt(lastIndex());
    const bool isUpToDate =
        message.lastTerm > ownLastTerm || (message.lastTerm == ownLastTerm && message.lastIndex >= lastIndex());
    if (message.isPreVote) {
        reply.granted = isUpToDate && requestedTerm > m_hardState.term;
        send(from.name, reply);
        return;
    }
    if (requestedTerm > m_hardState.term) {
        becomeFollower(requestedTerm, {});
    }
    const bool isCompeting = m_role == ControlRole::Candidate || m_role == ControlRole::Leader;
    const bool isVoteAvailable = m_hardState.votedFor.empty() || m_hardState.votedFor == from.name;
    if (requestedTerm == m_hardState.term && isUpToDate && isVoteAvailable && !isCompeting) {
        if (m_hardState.votedFor.empty()) {
            m_hardState.votedFor = from.name;
            persistHardState();
        }
        reply.granted = true;
        resetElectionTimer();
    }
    reply.sender = sender();
    send(from.name, reply);
}

void Consensus::handle(const VoteReply &message)
{
    const ControlSender &from = message.sender;
    if (from.term > m_hardState.term) {
        becomeFollower(from.term, {});
        return;
    }
    if (!message.granted || !countsAsVoter(from.name, from.diskId)) {
        return;
    }
    if (message.isPreVote) {
        if (m_role != ControlRole::PreCandidate || message.requestedTerm != m_hardState.term + 1) {
            return;
        }
        m_votes.insert(from.name);
        if (hasMajority(m_votes)) {
            startElection();
        }
        return;
    }
    if (m_role != ControlRole::Candidate || message.requestedTerm != m_hardState.term) {
        return;
    }
    m_votes.insert(from.name);
    if (hasMajority(m_votes)) {
        becomeLeader();
    }
}

} // namespace pepperlug
