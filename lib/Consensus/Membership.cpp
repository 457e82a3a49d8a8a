//===- Membership.cpp - Control hosts that come, go and are replaced ------===//
//
// Members change one at a time, and only while nothing else is undecided, so that each list's majorities overlap with
// those of the list before. Whoever is new starts without a vote and gets one once it has caught up.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <algorithm>

namespace pepperlug
{

// An entry of this term must have been decided before the members may change: until then a list of an earlier leader
// may still be in doubt.
bool Consensus::canChangeMembers() const
{
    return m_role == ControlRole::Leader && m_commit == lastIndex() && termAt(m_commit) == m_hard.term;
}

void Consensus::changeMembers(const std::vector<ControlMember> &members)
{
    append(EntryKind::Members, encode(members));
    replicateAll();
    advanceCommit();
}

void Consensus::on(const JoinRequested &event)
{
    const ControlMember *member = findMember(event.name);
    if (!canChangeMembers() || (member != nullptr && member->zone == event.zone)) {
        return; // a member that lost its disk is noticed by its replies
    }
    std::vector<ControlMember> members = m_members;
    if (member == nullptr) {
        members.push_back({event.name, event.diskId, false, event.zone});
    }
    for (ControlMember &it : members) {
        if (it.name == event.name) {
            it.zone = event.zone; // founders know each other by name only
        }
    }
    changeMembers(members);
}

// A member that answers under another disk id than the log knows has lost its disk. Once it has caught up it becomes a
// voter again in two changes, each of which overlaps with the one before: first its old vote is taken away, then the
// new one is given.
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
        const bool loseVote = it.voter;
        it.voter = !loseVote;
        it.diskId = progress.diskId;
    }
    changeMembers(members);
}

// Nobody says that a machine is gone for good. A successor in the same zone that answers, while the old member has been
// silent, is taken as the sign; if the old one comes back after all, it joins again.
void Consensus::removeReplacedMember()
{
    if (!m_settings.replaceSilentAfter || !canChangeMembers()) {
        return;
    }
    const auto isSilent = [this](const ControlMember &member) {
        return member.name != m_settings.name
            && m_now > m_progress[member.name].heardAt + *m_settings.replaceSilentAfter;
    };
    const auto hasSuccessor = [&](const ControlMember &gone) {
        return std::any_of(m_members.begin(), m_members.end(), [&](const ControlMember &it) {
            return it.name != gone.name && it.zone == gone.zone && it.voter && !isSilent(it);
        });
    };
    const auto gone = std::find_if(m_members.begin(), m_members.end(), [&](const ControlMember &it) {
        return !it.zone.empty() && isSilent(it) && hasSuccessor(it);
    });
    if (gone == m_members.end()) {
        return;
    }
    std::vector<ControlMember> members = m_members;
    std::erase_if(members, [&](const ControlMember &it) { return it.name == gone->name; });
    changeMembers(members);
}

} // namespace pepperlug
