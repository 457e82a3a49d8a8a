//===- Membership.cpp - Adding, removing and replacing members ------------===//
//
// Members change one at a time, and only while no entry is uncommitted, so that the majorities of each list overlap
// with those of the previous one. A new member starts without a vote and gets one once it has caught up.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <algorithm>

namespace pepperlug
{

// An entry of this term must have been committed before the members may change: until then a list of an earlier leader
// may still be uncommitted.
bool Consensus::canChangeMembers() const
{
    return m_role == ControlRole::Leader && m_commit == lastIndex() && termAt(m_commit) == m_hardState.term;
}

void Consensus::changeMembers(const std::vector<ControlMember> &members)
{
    append(EntryKind::Members, encode(members));
    replicateAll();
    advanceCommit();
}

void Consensus::handle(const JoinRequested &event)
{
    const ControlMember *member = findMember(event.name);
    if (!canChangeMembers() || (member != nullptr && member->zone == event.zone)) {
        return; // a member that lost its disk is detected by its replies
    }
    std::vector<ControlMember> members = m_members;
    if (member == nullptr) {
        members.push_back({event.name, event.diskId, false, event.zone});
    }
    for (ControlMember &it : members) {
        if (it.name == event.name) {
            it.zone = event.zone; // the initial members know each other by name only
        }
    }
    changeMembers(members);
}

// A member that replies with another disk id than that in the log has lost its disk. Once it has caught up it becomes a
// voter again in two changes, so that the majorities of successive lists overlap: the first removes its old vote, the
// second grants the new one.
void Consensus::promoteLearner(const std::string &name)
{
    const ControlMember *member = findMember(name);
    const Progress &progress = m_progress[name];
    const bool isVoterAlready = member->voter && member->diskId == progress.diskId;
    if (isVoterAlready || progress.matchIndex < m_commit || !canChangeMembers()) {
        return;
    }
    std::vector<ControlMember> members = m_members;
    for (ControlMember &it : members) {
        if (it.name != name) {
            continue;
        }
        const bool losesVote = it.voter;
        it.voter = !losesVote;
        it.diskId = progress.diskId;
    }
    changeMembers(members);
}

// Nothing reports that a machine is lost for good. A silent member is taken for lost if a successor in the same zone
// answers. If it comes back after all, it joins again.
void Consensus::removeReplacedMember()
{
    if (!m_settings.replaceSilentAfter || !canChangeMembers()) {
        return;
    }
    const auto isSilent = [this](const ControlMember &member) {
        return member.name != m_settings.name
            && m_now > m_progress[member.name].lastContact + *m_settings.replaceSilentAfter;
    };
    const auto hasSuccessor = [&](const ControlMember &replaced) {
        return std::any_of(m_members.begin(), m_members.end(), [&](const ControlMember &it) {
            return it.name != replaced.name && it.zone == replaced.zone && it.voter && !isSilent(it);
        });
    };
    const auto replaced = std::find_if(m_members.begin(), m_members.end(), [&](const ControlMember &it) {
        return !it.zone.empty() && isSilent(it) && hasSuccessor(it);
    });
    if (replaced == m_members.end()) {
        return;
    }
    std::vector<ControlMember> members = m_members;
    std::erase_if(members, [&](const ControlMember &it) { return it.name == replaced->name; });
    changeMembers(members);
}

} // namespace pepperlug
