//===- MembershipTest.cpp - Members that join and are replaced ------------===//
//
// The network delivers all messages at once, except those of members that a test silences.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

class Group
{
public:
    /// Adds a member. `founders` are the members in its settings; hosts that join later have none.
    void add(const std::string &name, const std::vector<std::string> &founders, const std::string &diskId)
    {
        ConsensusSettings settings;
        settings.name = name;
        settings.diskId = diskId;
        settings.seed = hash64(name);
        settings.replaceSilentAfter = 2s;
        for (const std::string &founder : founders) {
            settings.members.push_back({founder, "initial", true});
        }
        m_members[name] = std::make_unique<Consensus>(settings, RecoveredLog{}, now);
        m_silent.erase(name);
    }

    void silence(const std::string &name)
    {
        m_silent.insert(name);
    }

    void resume(const std::string &name)
    {
        m_silent.erase(name);
    }

    /// Advances time; each host in `joining` requests to join in every step, as the daemons do.
    void run(Duration time, const std::map<std::string, std::pair<std::string, std::string>> &joining = {})
    {
        for (const TimePoint end = now + time; now < end; now += 20ms) {
            for (auto &[name, member] : m_members) {
                reduce(name, ControlTick{});
            }
            for (const auto &[name, identity] : joining) {
                for (auto &[other, member] : m_members) {
                    reduce(other, JoinRequested{name, identity.first, identity.second});
                }
            }
        }
    }

    Consensus *leader()
    {
        for (auto &[name, member] : m_members) {
            if (!m_silent.contains(name) && member->role() == ControlRole::Leader && member->isCurrent(now)) {
                return member.get();
            }
        }
        return nullptr;
    }

    const Consensus &member(const std::string &name) const
    {
        return *m_members.at(name);
    }

    std::vector<std::string> voters()
    {
        std::vector<std::string> names;
        for (const ControlMember &member : leader()->members()) {
            if (member.voter) {
                names.push_back(member.name);
            }
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    void reduce(const std::string &name, const ControlEvent &event)
    {
        if (m_silent.contains(name) || !m_members.contains(name)) {
            return;
        }
        ControlEffects effects;
        m_members[name]->reduce(event, now, effects);
        for (const ControlEffect &effect : effects) {
            if (const auto *send = std::get_if<SendMessage>(&effect)) {
                reduce(send->to, MessageReceived{send->message});
            }
        }
    }

    TimePoint now{1000s};

private:
    std::map<std::string, std::unique_ptr<Consensus>> m_members;
    std::set<std::string> m_silent;
};

const std::vector<std::string> Founders{"a", "b", "c"};

void addFounders(Group &group)
{
    for (const std::string &name : Founders) {
        group.add(name, Founders, "initial");
    }
    group.run(2s, {{"a", {"initial", "z1"}}, {"b", {"initial", "z2"}}, {"c", {"initial", "z3"}}});
}

} // namespace

TEST_CASE("a host without members in its settings becomes a voter once it has caught up")
{
    Group group;
    addFounders(group);
    REQUIRE(group.leader() != nullptr);
    CHECK(group.voters() == Founders);
    group.add("d", {}, "disk-d");
    group.run(1s, {{"d", {"disk-d", "z4"}}});
    CHECK(group.voters() == std::vector<std::string>{"a", "b", "c", "d"});
}

TEST_CASE("hosts that joined count for the majority, so that the loss of two others is tolerated")
{
    Group group;
    addFounders(group);
    group.add("d", {}, "disk-d");
    group.add("e", {}, "disk-e");
    group.run(2s, {{"d", {"disk-d", "z4"}}, {"e", {"disk-e", "z5"}}});
    REQUIRE(group.voters().size() == 5);
    group.silence("a");
    group.silence("b");
    group.run(4s);
    REQUIRE(group.leader() != nullptr);
    group.silence("c");
    group.run(4s);
    CHECK(group.leader() == nullptr);
}

TEST_CASE("a silent member is removed only if its zone has a successor that answers")
{
    Group group;
    addFounders(group);
    const std::string removed = group.voters().front() == group.leader()->leader() ? "b" : "a";
    const std::string zone = removed == "a" ? "z1" : "z2";
    group.silence(removed);
    group.run(6s);
    CHECK(group.voters() == Founders);
    group.add("n", {}, "disk-n");
    group.run(3s, {{"n", {"disk-n", zone}}});
    const std::vector<std::string> voters = group.voters();
    CHECK(std::find(voters.begin(), voters.end(), removed) == voters.end());
    CHECK(std::find(voters.begin(), voters.end(), "n") != voters.end());
    CHECK(voters.size() == 3);
}

TEST_CASE("a member that was removed while it was silent joins again")
{
    Group group;
    addFounders(group);
    const std::string removed = group.leader()->leader() == "a" ? "b" : "a";
    const std::string zone = removed == "a" ? "z1" : "z2";
    group.silence(removed);
    group.add("n", {}, "disk-n");
    group.run(5s, {{"n", {"disk-n", zone}}});
    REQUIRE(group.voters().size() == 3);
    group.resume(removed);
    group.run(3s, {{removed, {"initial", zone}}});
    CHECK(group.voters().size() == 4);
}

TEST_CASE("a member that lost its disk votes again only under its new identity")
{
    Group group;
    addFounders(group);
    const std::string replaced = group.leader()->leader() == "a" ? "b" : "a";
    group.add(replaced, {}, "disk-new");
    group.run(1s);
    const auto &members = group.leader()->members();
    const auto it =
        std::find_if(members.begin(), members.end(), [&](const ControlMember &m) { return m.name == replaced; });
    REQUIRE(it != members.end());
    CHECK(it->voter);
    CHECK(it->diskId == "disk-new");
}

TEST_CASE("a leader may be read from only while it holds its lease and once its term has an entry")
{
    Group group;
    addFounders(group);
    Consensus *leader = group.leader();
    CHECK(leader->canRead(group.now));
    CHECK_FALSE(leader->canRead(group.now + 5s));
}

TEST_CASE("followers of a leader that lost its majority are not current")
{
    Group group;
    addFounders(group);
    group.add("d", {}, "disk-d");
    group.add("e", {}, "disk-e");
    group.run(2s, {{"d", {"disk-d", "z4"}}, {"e", {"disk-e", "z5"}}});
    REQUIRE(group.voters().size() == 5);
    const std::string leader = group.leader()->leader();
    const std::string follower = leader == "a" ? "b" : "a";
    std::set<std::string> others{"a", "b", "c", "d", "e"};
    others.erase(leader);
    others.erase(follower);
    for (const std::string &name : others) {
        group.silence(name);
    }
    group.run(5s);
    CHECK_FALSE(group.member(leader).isCurrent(group.now));
    CHECK_FALSE(group.member(follower).isCurrent(group.now));
}

TEST_CASE("a follower that lacks entries which its leader has committed is not current")
{
    Group group;
    addFounders(group);
    const std::string leader = group.leader()->leader();
    const std::string follower = leader == "a" ? "b" : "a";
    const Consensus &member = group.member(follower);
    REQUIRE(member.isCurrent(group.now));
    AppendRequest ahead;
    ahead.sender = {leader, "initial", member.term()};
    ahead.previousIndex = ahead.commit = member.lastIndex() + 1;
    ahead.previousTerm = member.term();
    for (const TimePoint end = group.now + 2s; group.now < end; group.now += 20ms) {
        group.reduce(follower, MessageReceived{ahead});
    }
    CHECK(member.leader() == leader);
    CHECK_FALSE(member.isCurrent(group.now));
    group.run(1s); // the leader sends the missing entries
    CHECK(member.isCurrent(group.now));
}
