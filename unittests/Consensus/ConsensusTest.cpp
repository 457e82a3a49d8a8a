//===- ConsensusTest.cpp - Consensus under random schedules ---------------===//
//
// Several members with a disk each, and messages that are lost, duplicated, delayed and reordered. The disk is part of
// the model: a restarted member has what it persisted before.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

/// A member and its disk.
struct Member {
    std::string name;
    std::string diskId = "initial";
    HardState hard;
    LogSnapshot snapshot;
    std::vector<LogEntry> entries;
    std::optional<Consensus> consensus;
    std::vector<LogEntry> applied; ///< since the last start, past the snapshot
    std::uint64_t starts = 0;
};

struct Envelope {
    std::string to;
    ControlMessage message;
};

class Cluster
{
public:
    explicit Cluster(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            Member member;
            member.name = "c" + std::to_string(n + 1);
            m_members.push_back(member);
        }
        for (Member &member : m_members) {
            start(member);
        }
    }

    void start(Member &member)
    {
        ConsensusSettings settings;
        settings.name = member.name;
        settings.diskId = member.diskId;
        settings.seed = hash64(member.name) + ++member.starts;
        for (const Member &other : m_members) {
            settings.members.push_back({other.name, "initial", true});
        }
        member.applied.clear();
        member.consensus.emplace(settings, RecoveredLog{member.hard, member.snapshot, member.entries}, now);
    }

    void crash(std::size_t n)
    {
        m_members[n].consensus.reset();
    }

    void restart(std::size_t n)
    {
        if (!m_members[n].consensus) {
            start(m_members[n]);
        }
    }

    /// Restarts a member with an empty disk.
    void replaceDisk(std::size_t n)
    {
        Member &member = m_members[n];
        member.consensus.reset();
        member.diskId = "disk" + std::to_string(++m_disks);
        member.hard = {};
        member.snapshot = {};
        member.entries.clear();
        start(member);
    }

    void reduce(std::size_t n, const ControlEvent &event, std::size_t crashAfter = SIZE_MAX)
    {
        Member &member = m_members[n];
        if (!member.consensus) {
            return;
        }
        ControlEffects effects;
        member.consensus->reduce(event, now, effects);
        for (std::size_t k = 0; k < effects.size(); ++k) {
            if (k == crashAfter) {
                member.consensus.reset(); // crash between two effects
                return;
            }
            carryOut(member, effects[k]);
        }
    }

    void tick(std::size_t n)
    {
        reduce(n, ControlTick{});
    }

    void deliver(std::size_t message, bool keep)
    {
        const Envelope it = inFlight[message];
        if (!keep) {
            inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(message));
        }
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            if (m_members[n].name == it.to) {
                reduce(n, MessageReceived{it.message});
            }
        }
    }

    /// Advances time with prompt delivery of all messages.
    void run(Duration time)
    {
        const TimePoint until = now + time;
        while (now < until) {
            now += 10ms;
            for (std::size_t n = 0; n < m_members.size(); ++n) {
                tick(n);
            }
            drain();
        }
    }

    void drain()
    {
        for (int n = 0; n < 2000 && !inFlight.empty(); ++n) {
            deliver(0, false);
        }
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            const auto &it = m_members[n].consensus;
            if (it && it->role() == ControlRole::Leader && it->isCurrent(now)) {
                return n;
            }
        }
        return std::nullopt;
    }

    bool propose(std::size_t n, const std::string &command)
    {
        m_lastRejected = false;
        reduce(n, CommandProposed{++m_tokens, command});
        return !m_lastRejected;
    }

    void compact(std::size_t n)
    {
        Member &member = m_members[n];
        if (member.consensus && !member.applied.empty()) {
            const std::uint64_t index = member.applied.back().index;
            reduce(n, SnapshotTaken{index, "state at " + std::to_string(index)});
        }
    }

    Member &member(std::size_t n)
    {
        return m_members[n];
    }

    std::size_t size() const
    {
        return m_members.size();
    }

    std::vector<std::string> commandsAt(std::size_t n) const
    {
        std::vector<std::string> commands;
        for (const LogEntry &entry : m_members[n].applied) {
            if (entry.kind == EntryKind::Command) {
                commands.push_back(entry.data);
            }
        }
        return commands;
    }

    TimePoint now{std::chrono::seconds(100)};
    std::vector<Envelope> inFlight;
    std::map<std::uint64_t, std::string> leaders; ///< by term
    std::map<std::uint64_t, LogEntry> committed; ///< by index, as first applied anywhere
    bool twoLeaders = false;
    bool committedChanged = false;
    bool appliedOutOfOrder = false;
    std::size_t isolated = SIZE_MAX; ///< index of a member that can't send or receive

private:
    void carryOut(Member &member, const ControlEffect &effect)
    {
        if (const auto *it = std::get_if<PersistLog>(&effect)) {
            member.hard = it->hardState.value_or(member.hard);
            if (it->truncateFrom) {
                std::erase_if(member.entries, [&](const LogEntry &entry) { return entry.index >= *it->truncateFrom; });
            }
            member.entries.insert(member.entries.end(), it->entries.begin(), it->entries.end());
        } else if (const auto *it = std::get_if<PersistSnapshot>(&effect)) {
            member.snapshot = it->snapshot;
            member.hard = it->hardState;
            member.entries = it->entriesAfter;
            if (it->restoresState) {
                appliedOutOfOrder |= !member.applied.empty() && member.applied.back().index > it->snapshot.index;
                member.applied.clear();
            }
        } else if (const auto *it = std::get_if<SendMessage>(&effect)) {
            const bool isDropped = isolated < m_members.size()
                && (m_members[isolated].name == member.name || m_members[isolated].name == it->to);
            if (!isDropped) {
                inFlight.push_back({it->to, it->message});
            }
        } else if (const auto *it = std::get_if<ApplyEntry>(&effect)) {
            const auto [known, isNew] = committed.emplace(it->entry.index, it->entry);
            committedChanged |= !isNew && !(known->second == it->entry);
            const std::uint64_t before = member.applied.empty() ? member.snapshot.index : member.applied.back().index;
            appliedOutOfOrder |= it->entry.index <= before && !member.applied.empty();
            member.applied.push_back(it->entry);
        } else if (const auto *it = std::get_if<RoleChanged>(&effect)) {
            if (it->role == ControlRole::Leader) {
                const auto [known, isNew] = leaders.emplace(it->term, member.name);
                twoLeaders |= !isNew && known->second != member.name;
            }
        } else if (std::holds_alternative<CommandRejected>(effect)) {
            m_lastRejected = true;
        }
    }

    std::vector<Member> m_members;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_disks = 0;
    bool m_lastRejected = false;
};

bool contains(const std::vector<std::string> &all, const std::string &one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

} // namespace

TEST_CASE("three members elect one leader and commit commands")
{
    Cluster cluster(3);
    cluster.run(3s);
    const auto leader = cluster.leader();
    REQUIRE(leader);
    REQUIRE(cluster.propose(*leader, "one"));
    cluster.run(1s);
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(contains(cluster.commandsAt(n), "one"));
    }
    CHECK(cluster.leaders.size() == 1);
}

TEST_CASE("a leader that is cut off stops being current, and its uncommitted command is discarded")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t old = *cluster.leader();
    cluster.isolated = old;
    cluster.propose(old, "lost");
    cluster.run(5s);
    CHECK(cluster.member(old).consensus->role() != ControlRole::Leader); // no majority answered it
    CHECK_FALSE(cluster.member(old).consensus->isCurrent(cluster.now));
    const auto leader = cluster.leader();
    REQUIRE(leader);
    CHECK(*leader != old);
    REQUIRE(cluster.propose(*leader, "kept"));
    cluster.run(1s);
    cluster.isolated = SIZE_MAX;
    cluster.run(3s);
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(contains(cluster.commandsAt(n), "kept"));
        CHECK_FALSE(contains(cluster.commandsAt(n), "lost"));
    }
    CHECK_FALSE(cluster.committedChanged);
}

TEST_CASE("a member that was cut off does not depose the leader when it comes back")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const std::uint64_t term = cluster.member(leader).consensus->term();
    cluster.isolated = (leader + 1) % 3;
    cluster.run(10s);
    cluster.isolated = SIZE_MAX;
    cluster.run(3s);
    CHECK(cluster.leader() == leader);
    CHECK(cluster.member(leader).consensus->term() == term);
}

TEST_CASE("a minority commits nothing")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    cluster.crash((leader + 1) % 3);
    cluster.crash((leader + 2) % 3);
    cluster.run(2s);
    CHECK_FALSE(cluster.leader());
    cluster.propose(leader, "alone");
    cluster.run(2s);
    CHECK_FALSE(contains(cluster.commandsAt(leader), "alone"));
}

TEST_CASE("a member with a replaced disk votes again only once it has caught up; then another one may be lost")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    for (int n = 0; n < 50; ++n) {
        cluster.propose(leader, "command " + std::to_string(n));
        cluster.drain();
    }
    cluster.run(500ms);
    const std::size_t repaired = (leader + 1) % 3;
    const std::size_t lostNext = (leader + 2) % 3;
    cluster.replaceDisk(repaired);
    CHECK_FALSE(cluster.member(repaired).consensus->isVoter());
    cluster.run(2s);
    CHECK(cluster.member(repaired).consensus->isVoter());
    cluster.replaceDisk(lostNext);
    cluster.crash(lostNext);
    cluster.run(3s);
    REQUIRE(cluster.leader());
    REQUIRE(cluster.propose(*cluster.leader(), "after"));
    cluster.run(1s);
    CHECK(cluster.commandsAt(repaired).size() == 51);
    CHECK(contains(cluster.commandsAt(repaired), "after"));
}

TEST_CASE("a member with a replaced disk grants no vote, so entries that a majority stored are not lost")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const std::size_t behind = (leader + 1) % 3;
    const std::size_t emptied = (leader + 2) % 3;
    cluster.crash(behind);
    REQUIRE(cluster.propose(leader, "stored"));
    cluster.run(500ms);
    cluster.crash(leader);
    cluster.replaceDisk(emptied);
    cluster.restart(behind);
    cluster.run(10s);
    // The member that is behind and the emptied one are two of three, but must not elect a leader.
    CHECK_FALSE(cluster.leader());
    cluster.restart(leader);
    cluster.run(5s);
    REQUIRE(cluster.leader());
    CHECK(contains(cluster.commandsAt(behind), "stored"));
    CHECK_FALSE(cluster.committedChanged);
}

TEST_CASE("a member that is far behind receives a snapshot")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const std::size_t behind = (leader + 1) % 3;
    cluster.crash(behind);
    for (int n = 0; n < 300; ++n) {
        cluster.propose(leader, "command " + std::to_string(n));
        cluster.drain();
    }
    cluster.run(500ms);
    cluster.compact(leader);
    CHECK(cluster.member(leader).entries.size() < 10);
    cluster.restart(behind);
    cluster.run(4s);
    CHECK(cluster.member(behind).snapshot.index == cluster.member(leader).snapshot.index);
    REQUIRE(cluster.propose(*cluster.leader(), "after"));
    cluster.run(1s);
    CHECK(contains(cluster.commandsAt(behind), "after"));
}

TEST_CASE("messages of an older term are refused")
{
    Cluster cluster(3);
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const std::uint64_t term = cluster.member(leader).consensus->term();
    const std::size_t follower = (leader + 1) % 3;
    AppendRequest stale;
    stale.sender = {cluster.member(leader).name, "initial", term - 1};
    stale.entries.push_back({term - 1, 1, EntryKind::Command, "stale"});
    const std::uint64_t last = cluster.member(follower).consensus->lastIndex();
    cluster.reduce(follower, MessageReceived{stale});
    CHECK(cluster.member(follower).consensus->lastIndex() == last);
    CHECK(cluster.member(follower).consensus->term() == term);
}

TEST_CASE("random schedules: one leader per term, committed entries never change, and are applied in order")
{
    const bool isCorrect = rc::check([] {
        Cluster cluster(*rc::gen::element<std::size_t>(3, 5));
        std::uint64_t commands = 0;
        const int steps = *rc::gen::inRange(50, 1500);
        for (int n = 0; n < steps; ++n) {
            const auto member = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(cluster.size())));
            const int action = *rc::gen::inRange(0, 40);
            if (action < 18 && !cluster.inFlight.empty()) {
                const auto message = static_cast<std::size_t>(
                    *rc::gen::inRange<int>(0, static_cast<int>(std::min<std::size_t>(cluster.inFlight.size(), 20))));
                cluster.deliver(message, action == 0);
            } else if (action < 22 && !cluster.inFlight.empty()) {
                cluster.inFlight.erase(cluster.inFlight.begin());
            } else if (action < 30) {
                cluster.now += Milliseconds(*rc::gen::inRange(1, 300));
                cluster.tick(member);
            } else if (action < 34) {
                cluster.propose(member, "command " + std::to_string(++commands));
            } else if (action == 34) {
                cluster.crash(member);
            } else if (action < 37) {
                cluster.restart(member);
            } else if (action == 37) {
                cluster.compact(member);
            } else if (action == 38) {
                // Crash while effects are carried out.
                cluster.now += 700ms;
                cluster.reduce(member, ControlTick{}, static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
            } else {
                cluster.run(300ms);
            }
            RC_ASSERT(!cluster.twoLeaders);
            RC_ASSERT(!cluster.committedChanged);
            RC_ASSERT(!cluster.appliedOutOfOrder);
        }
        // Without faults, all members agree again on all that was committed.
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            cluster.restart(n);
        }
        cluster.run(10s);
        RC_ASSERT(cluster.leader().has_value());
        RC_ASSERT(cluster.propose(*cluster.leader(), "last"));
        cluster.run(3s);
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            RC_ASSERT(contains(cluster.commandsAt(n), "last"));
        }
        RC_ASSERT(!cluster.committedChanged);
    });
    CHECK(isCorrect);
}
