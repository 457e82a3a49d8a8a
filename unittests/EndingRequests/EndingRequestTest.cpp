//===- EndingRequestTest.cpp - A request that ends the targets which run it -------===//
//
// Seen: a look-up came again and again, at any entry host; each target that ran it ended within 0.1 s, two for each
// time where its route repeats, and took up to nine other requests along; 22 to 28 targets of 24 addresses ended under
// one such request. How it came about: whoever sent it again, the caller or the entry host, was a new request to
// everybody. Cause: what an end tells was learnt of the target alone, and what an entry host learns of a request ends
// with that try. Proved by driving three entry hosts and a stand-in target, which ends as a process does: 10 tries a
// second end targets for as long as they come.
//
//===----------------------------------------------------------------------===//
#include "EndingTarget.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr std::size_t EndsThatTell = 3;
/// From the third end on, until every entry host must go by it.
constexpr auto TimeToLearn = 3s;
/// Sends in all after that.
constexpr std::size_t FurtherSends = 3;

/// Three entry hosts and eight targets that start again some time after they have ended.
class EndingSystem
{
public:
    explicit EndingSystem(Duration firstTrialPause = FirstTrialPause)
        : m_system(ControlLink::Direct, 2 * EventTimeout, 2 * EventTimeout, firstTrialPause)
    {
        nlohmann::json table = nlohmann::json::parse(System::tableText("r2", {"/p/"}));
        nlohmann::json &route = table["hosts"][0]["paths"][0];
        route["kind"] = "safe";
        route["sticky"] = true;
        REQUIRE(System::eventually(
            [&] { return m_system.operatorCall("/api/Config.Put", table.dump(), "0").status == 200; }));
        for (unsigned n = 0; n < EntryHosts - 1; ++n) {
            m_entryHosts.push_back(m_system.startEntryHost(n));
        }
        m_keeper = std::thread([this] { keepTargets(); });
        REQUIRE(System::eventually([&] { return serves(); }));
    }

    ~EndingSystem()
    {
        m_stop = true;
        m_keeper.join();
    }

    bool serves()
    {
        for (unsigned n = 0; n < EntryHosts; ++n) {
            if (statusOf(n, "/p/x") != 200) {
                return false;
            }
        }
        return true;
    }

    /// Sends the request that ends targets until all entry hosts refuse it as not run.
    bool becomesShutOut()
    {
        return System::eventually([&] {
            unsigned refusals = 0;
            for (unsigned n = 0; n < EntryHosts; ++n) {
                refusals += statusOf(n, EndingPath) == 503;
            }
            return endings().size() >= EndsThatTell && refusals == EntryHosts;
        });
    }

    /// The control host and one entry host end and start again; `forgets`: without what the disk holds of suspects.
    void restart(bool forgets)
    {
        REQUIRE(System::eventually([&] { return m_system.cachedSuspectCount() == 1; }));
        {
            const std::lock_guard lock(m_controlMutex);
            m_system.endAll();
            if (forgets) {
                m_system.clearCachedSuspects();
            }
            m_system.start();
        }
        REQUIRE(System::eventually([&] { return serves(); }));
    }

    unsigned statusOf(unsigned entryHost, const std::string &path)
    {
        const GatewayDaemon &host = entryHost == 0 ? *m_system.gateway : *m_entryHosts[entryHost - 1];
        return m_system.get(host.callersAddress(), path, "try-" + std::to_string(++m_tries)).status;
    }

    std::vector<std::chrono::steady_clock::time_point> endings() const
    {
        std::vector<std::chrono::steady_clock::time_point> all;
        for (const EndingTarget &it : m_targets) {
            const auto some = it.endings();
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    static constexpr unsigned EntryHosts = 3;

private:
    void keepTargets()
    {
        int sequence = 0;
        while (!m_stop) {
            ++sequence;
            for (EndingTarget &it : m_targets) {
                keep(it, sequence);
            }
            std::this_thread::sleep_for(100ms);
        }
    }

    void keep(EndingTarget &target, int sequence)
    {
        constexpr int RoundsDown = 5;
        int &down = m_roundsDown[target.address()];
        if (target.hasEnded() && ++down < RoundsDown) {
            return;
        }
        if (target.hasEnded()) {
            down = 0;
            target.startAgain();
        }
        const nlohmann::json report{{"service", "s"}, {"addr", target.address()}, {"zone", "z1"},   {"version", "v1"},
                                    {"slots", 4},     {"state", "ready"},         {"coldLeftS", 0}, {"seq", sequence}};
        const std::lock_guard lock(m_controlMutex);
        m_system.sendReport(target.id(), report.dump());
    }

    System m_system;
    std::mutex m_controlMutex; ///< held while the control host is not there
    std::vector<std::unique_ptr<GatewayDaemon>> m_entryHosts;
    std::array<EndingTarget, 8> m_targets;
    std::map<std::string, int> m_roundsDown; ///< by address
    std::atomic<int> m_tries{0};
    std::atomic<bool> m_stop{false};
    std::thread m_keeper;
};

} // namespace

TEST_CASE("a request under which three targets have ended is not sent to more, and others are served")
{
    constexpr auto TimeAfter = 2s;
    EndingSystem system;
    unsigned turn = 0;
    std::optional<std::chrono::steady_clock::time_point> told;
    const auto last = std::chrono::steady_clock::now() + EventTimeout;
    while (std::chrono::steady_clock::now() < (told ? *told + TimeToLearn + TimeAfter : last)) {
        system.statusOf(turn++ % EndingSystem::EntryHosts, EndingPath);
        std::this_thread::sleep_for(100ms);
        const auto endings = system.endings();
        if (!told && endings.size() >= EndsThatTell) {
            told = endings[EndsThatTell - 1];
        }
    }
    REQUIRE(told);
    const auto endings = system.endings();
    const auto further =
        std::count_if(endings.begin(), endings.end(), [&](const auto &it) { return it > *told + TimeToLearn; });
    CHECK(static_cast<std::size_t>(further) <= FurtherSends);
    for (unsigned n = 0; n < EndingSystem::EntryHosts; ++n) {
        CHECK(System::eventually([&] { return system.statusOf(n, "/p/x") == 200; }));
        CHECK(system.statusOf(n, EndingPath) == 503);
    }
}

TEST_CASE("a request that is shut out stays so when the control host and an entry host start again")
{
    // Once the disk tells it, once the entry hosts that did not restart.
    for (const bool forgets : {false, true}) {
        EndingSystem system;
        REQUIRE(system.becomesShutOut());
        const std::size_t before = system.endings().size();
        system.restart(forgets);
        if (forgets) {
            // The other entry hosts have to find the control host again before it can tell the one that started.
            std::this_thread::sleep_for(TimeToLearn);
        }
        for (unsigned n = 0; n < EndingSystem::EntryHosts; ++n) {
            CHECK(System::eventually([&] { return system.statusOf(n, "/p/x") == 200; }));
            CHECK(system.statusOf(n, EndingPath) == 503);
        }
        CHECK(system.endings().size() == before);
    }
}

TEST_CASE("after a pause one host may try a request that is shut out, once")
{
    constexpr auto Pause = 1s;
    EndingSystem system(Pause);
    REQUIRE(system.becomesShutOut());
    const std::size_t before = system.endings().size();
    REQUIRE(System::eventually([&] {
        system.statusOf(0, EndingPath);
        return system.endings().size() > before;
    }));
    // The next pause is ten times as long; callers come to all hosts at once meanwhile.
    for (int round = 0; round < 10; ++round) {
        std::vector<std::future<unsigned>> tries;
        for (unsigned n = 0; n < EndingSystem::EntryHosts; ++n) {
            tries.push_back(std::async(std::launch::async, [&system, n] { return system.statusOf(n, EndingPath); }));
        }
        for (std::future<unsigned> &it : tries) {
            CHECK(it.get() == 503);
        }
        std::this_thread::sleep_for(100ms);
    }
    CHECK(system.endings().size() == before + 1);
}
