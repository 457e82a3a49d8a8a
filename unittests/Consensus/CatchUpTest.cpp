//===- CatchUpTest.cpp - Members that are behind after a restart ----------===//
//
// Each link carries a bounded number of bytes per second, which the messages on it share. A message that has not
// arrived after a timeout is lost, as with the daemons.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Consensus.h"

#include <catch2/catch.hpp>

#include <list>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Step = 10ms;
constexpr Duration Latency = 10ms;
constexpr Duration MessageTimeout = 1s;
constexpr double BytesPerStep = 1000; ///< 100 KB/s
const std::vector<std::string> Names{"a", "b", "c"};

class Network
{
public:
    void start(const std::string &name, const std::string &diskId, const RecoveredLog &recovered)
    {
        ConsensusSettings settings;
        settings.name = name;
        settings.diskId = diskId;
        settings.seed = hash64(name);
        for (const std::string &it : Names) {
            settings.members.push_back({it, "initial", true, "zone-" + it});
        }
        m_members[name] = std::make_unique<Consensus>(settings, recovered, now);
    }

    void step()
    {
        now += Step;
        for (auto &[name, member] : m_members) {
            reduce(name, ControlTick{});
        }
        transfer();
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            step();
        }
    }

    Consensus *leader()
    {
        for (auto &[name, member] : m_members) {
            if (member->role() == ControlRole::Leader && member->isCurrent(now)) {
                return member.get();
            }
        }
        return nullptr;
    }

    const std::map<std::string, std::unique_ptr<Consensus>> &members() const
    {
        return m_members;
    }

    void propose(Consensus &leader, std::string command)
    {
        ControlEffects effects;
        leader.reduce(CommandProposed{++m_token, std::move(command)}, now, effects);
        send(nameOf(leader), effects);
    }

    TimePoint now{1000s};
    std::uint64_t bytesSent = 0; ///< of all entries

private:
    struct InTransit {
        std::string from;
        std::string to;
        ControlMessage message;
        double bytesLeft = 0;
        TimePoint sentAt{};
    };

    std::string nameOf(const Consensus &member) const
    {
        for (const auto &[name, it] : m_members) {
            if (it.get() == &member) {
                return name;
            }
        }
        return {};
    }

    static std::size_t bytesOf(const ControlMessage &message)
    {
        constexpr std::size_t HeadBytes = 50;
        std::size_t bytes = HeadBytes;
        if (const auto *append = std::get_if<AppendRequest>(&message)) {
            for (const LogEntry &entry : append->entries) {
                bytes += entry.data.size();
            }
        }
        return bytes;
    }

    void reduce(const std::string &name, const ControlEvent &event)
    {
        ControlEffects effects;
        m_members.at(name)->reduce(event, now, effects);
        send(name, effects);
    }

    void send(const std::string &from, const ControlEffects &effects)
    {
        for (const ControlEffect &effect : effects) {
            if (const auto *it = std::get_if<SendMessage>(&effect)) {
                const std::size_t bytes = bytesOf(it->message);
                bytesSent += bytes;
                m_inTransit.push_back({from, it->to, it->message, static_cast<double>(bytes), now});
            }
        }
    }

    void transfer()
    {
        std::map<std::pair<std::string, std::string>, std::size_t> sharing;
        for (const InTransit &it : m_inTransit) {
            ++sharing[{it.from, it.to}];
        }
        std::vector<InTransit> arrived;
        for (auto it = m_inTransit.begin(); it != m_inTransit.end();) {
            it->bytesLeft -= BytesPerStep / static_cast<double>(sharing[{it->from, it->to}]);
            const bool isLost = now - it->sentAt > MessageTimeout;
            const bool hasArrived = it->bytesLeft <= 0 && now - it->sentAt >= Latency;
            if (hasArrived && !isLost) {
                arrived.push_back(*it);
            }
            it = hasArrived || isLost ? m_inTransit.erase(it) : std::next(it);
        }
        for (const InTransit &it : arrived) {
            reduce(it.to, MessageReceived{it.message});
        }
    }

    std::map<std::string, std::unique_ptr<Consensus>> m_members;
    std::list<InTransit> m_inTransit;
    std::uint64_t m_token = 0;
};

constexpr std::size_t Entries = 8;
constexpr std::size_t EntryBytes = 6000;

RecoveredLog logOf(std::size_t entries, std::size_t bytes)
{
    RecoveredLog log;
    log.hardState.term = 1;
    for (std::size_t n = 1; n <= entries; ++n) {
        log.entries.push_back({1, n, EntryKind::Command, std::string(bytes, 'x')});
    }
    return log;
}

/// Two members with a log, and one that has lost its disk.
struct NetworkWithEmptyMember : Network {
    NetworkWithEmptyMember()
    {
        start("a", "initial", logOf(Entries, EntryBytes));
        start("b", "initial", logOf(Entries, EntryBytes));
        start("c", "new", {});
    }
};

} // namespace

// Guards against a leader that sends the whole log with each heartbeat to a member without a disk: the copies share the
// link, and none arrives in time.
TEST_CASE("a member that lost its disk catches up when each heartbeat would repeat the log")
{
    NetworkWithEmptyMember network;
    network.run(5s);
    CHECK(network.members().at("c")->commitIndex() >= Entries);
    CHECK(network.members().at("c")->isCurrent(network.now));
    CHECK(network.members().at("c")->isVoter());
    CHECK(network.bytesSent < 3 * Entries * EntryBytes);
}

// Guards against a member that catches up only if nothing is proposed meanwhile.
TEST_CASE("a member that lost its disk catches up while commands are proposed")
{
    NetworkWithEmptyMember network;
    for (int n = 0; n < 30; ++n) {
        network.run(200ms);
        if (Consensus *leader = network.leader()) {
            network.propose(*leader, std::string(500, 'y'));
        }
    }
    network.run(1s);
    REQUIRE(network.leader() != nullptr);
    CHECK(network.members().at("c")->commitIndex() == network.leader()->commitIndex());
    CHECK(network.members().at("c")->isVoter());
}

// Guards against hosts that are told to rely on a control host which has applied nothing yet.
TEST_CASE("after a restart of all members none counts as current before it has what was committed before")
{
    Network network;
    for (const std::string &name : Names) {
        network.start(name, "initial", logOf(Entries, 100));
    }
    for (const TimePoint end = network.now + 3s; network.now < end;) {
        network.step();
        for (const auto &[name, member] : network.members()) {
            INFO(name);
            REQUIRE((!member->isCurrent(network.now) || member->commitIndex() >= Entries));
        }
    }
    for (const auto &[name, member] : network.members()) {
        CHECK(member->isCurrent(network.now));
    }
}
