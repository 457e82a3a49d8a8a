//===- EndingRequestTest.cpp - A request that crashes the targets which run it ----===//
//
// Guards against a request that crashes one target after another because callers and entry hosts retry it. Each target
// that ran it crashed within 0.1 s, two per try on a route with retries, and took up to nine other requests along; one
// such request crashed 22 to 28 targets at 24 addresses. Every retry counted as a new request everywhere: a crash was
// recorded for the target only, and an entry host dropped what it had learned of a request at the end of the try. The
// tests use three entry hosts and stand-in targets that end as a process does; 10 tries a second would crash targets
// for as long as they are sent.
//
//===----------------------------------------------------------------------===//
#include "EndingTarget.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr std::size_t CrashesToQuarantine = 3;
/// Time from the third crash until every entry host must have quarantined the request.
constexpr auto PropagationTime = 3s;
/// Total number of times that the request may still be sent to a target after that.
constexpr std::size_t MaxFurtherSends = 3;

/// Three entry hosts and eight targets that restart some time after a crash.
class CrashingSystem
{
public:
    explicit CrashingSystem(Duration firstProbeDelay = FirstProbeDelay)
        : m_system(ControlLink::Direct, 2 * EventTimeout, 2 * EventTimeout, firstProbeDelay)
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
        m_targetThread = std::thread([this] { runTargets(); });
        REQUIRE(System::eventually([&] { return serves(); }));
    }

    ~CrashingSystem()
    {
        m_stop = true;
        m_targetThread.join();
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

    /// Sends the request that crashes targets until all entry hosts refuse it as quarantined. Refusals for other
    /// reasons do not count: a host that has not been told of the crashes yet may find no target that it could use.
    bool becomesQuarantined()
    {
        return System::eventually([&] {
            unsigned refusals = 0;
            for (unsigned n = 0; n < EntryHosts; ++n) {
                refusals += refusesAsQuarantined(n) ? 1 : 0;
            }
            return crashes().size() >= CrashesToQuarantine && refusals == EntryHosts;
        });
    }

    /// Restarts the control host and one entry host; `losesStoredSuspects`: without the suspects stored on disk.
    void restart(bool losesStoredSuspects)
    {
        REQUIRE(System::eventually([&] { return m_system.cachedSuspectCount() == 1; }));
        {
            const std::lock_guard lock(m_controlMutex);
            m_system.endAll();
            if (losesStoredSuspects) {
                m_system.clearCachedSuspects();
            }
            m_system.start();
        }
        REQUIRE(System::eventually([&] { return serves(); }));
    }

    unsigned statusOf(unsigned entryHost, const std::string &path)
    {
        return get(entryHost, path).status;
    }

    std::vector<std::chrono::steady_clock::time_point> crashes() const
    {
        std::vector<std::chrono::steady_clock::time_point> all;
        for (const CrashingTarget &it : m_targets) {
            const auto some = it.crashes();
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    static constexpr unsigned EntryHosts = 3;

private:
    Answer get(unsigned entryHost, const std::string &path)
    {
        const GatewayDaemon &host = entryHost == 0 ? *m_system.gateway : *m_entryHosts[entryHost - 1];
        return m_system.get(host.callersAddress(), path, "try-" + std::to_string(++m_tries));
    }

    bool refusesAsQuarantined(unsigned entryHost)
    {
        const Answer answer = get(entryHost, CrashingPath);
        const auto reason =
            std::ranges::find_if(answer.headers, [](const HeaderField &it) { return sameName(it.name, "X-Refusal"); });
        return answer.status == 503 && reason != answer.headers.end() && reason->value == nameOf(Refusal::Quarantined);
    }

    void runTargets()
    {
        int sequence = 0;
        while (!m_stop) {
            ++sequence;
            for (CrashingTarget &it : m_targets) {
                runTarget(it, sequence);
            }
            std::this_thread::sleep_for(100ms);
        }
    }

    void runTarget(CrashingTarget &target, int sequence)
    {
        constexpr int RoundsUntilRestart = 5;
        int &rounds = m_roundsSinceCrash[target.address()];
        if (target.hasCrashed() && ++rounds < RoundsUntilRestart) {
            return;
        }
        if (target.hasCrashed()) {
            rounds = 0;
            target.restart();
        }
        const nlohmann::json report{{"service", "s"}, {"addr", target.address()}, {"zone", "z1"},   {"version", "v1"},
                                    {"slots", 4},     {"state", "ready"},         {"coldLeftS", 0}, {"seq", sequence}};
        const std::lock_guard lock(m_controlMutex);
        m_system.sendReport(target.id(), report.dump());
    }

    System m_system;
    std::mutex m_controlMutex; ///< held while the control host is down
    std::vector<std::unique_ptr<GatewayDaemon>> m_entryHosts;
    std::array<CrashingTarget, 8> m_targets;
    std::map<std::string, int> m_roundsSinceCrash; ///< by address
    std::atomic<int> m_tries{0};
    std::atomic<bool> m_stop{false};
    std::thread m_targetThread;
};

} // namespace

TEST_CASE("a request that was present at three crashes is not sent to further targets, and others are served")
{
    constexpr auto TimeAfter = 2s;
    CrashingSystem system;
    unsigned nextEntryHost = 0;
    std::optional<std::chrono::steady_clock::time_point> thirdCrashAt;
    const auto deadline = std::chrono::steady_clock::now() + EventTimeout;
    while (std::chrono::steady_clock::now() < (thirdCrashAt ? *thirdCrashAt + PropagationTime + TimeAfter : deadline)) {
        system.statusOf(nextEntryHost++ % CrashingSystem::EntryHosts, CrashingPath);
        std::this_thread::sleep_for(100ms);
        const auto crashes = system.crashes();
        if (!thirdCrashAt && crashes.size() >= CrashesToQuarantine) {
            thirdCrashAt = crashes[CrashesToQuarantine - 1];
        }
    }
    REQUIRE(thirdCrashAt);
    const auto crashes = system.crashes();
    const auto further = std::count_if(crashes.begin(), crashes.end(),
                                       [&](const auto &it) { return it > *thirdCrashAt + PropagationTime; });
    CHECK(static_cast<std::size_t>(further) <= MaxFurtherSends);
    for (unsigned n = 0; n < CrashingSystem::EntryHosts; ++n) {
        CHECK(System::eventually([&] { return system.statusOf(n, "/p/x") == 200; }));
        CHECK(system.statusOf(n, CrashingPath) == 503);
    }
}

TEST_CASE("a request stays quarantined when the control host and an entry host restart")
{
    // The status is restored from the disk in the first round, and from the entry hosts that did not restart in the
    // second.
    for (const bool losesStoredSuspects : {false, true}) {
        CrashingSystem system;
        REQUIRE(system.becomesQuarantined());
        const std::size_t before = system.crashes().size();
        system.restart(losesStoredSuspects);
        if (losesStoredSuspects) {
            // The other entry hosts must reconnect to the control host before it can update the restarted one.
            std::this_thread::sleep_for(PropagationTime);
        }
        for (unsigned n = 0; n < CrashingSystem::EntryHosts; ++n) {
            CHECK(System::eventually([&] { return system.statusOf(n, "/p/x") == 200; }));
            CHECK(system.statusOf(n, CrashingPath) == 503);
        }
        CHECK(system.crashes().size() == before);
    }
}

TEST_CASE("after a delay one host may probe a quarantined request, once")
{
    constexpr auto ProbeDelay = 1s;
    CrashingSystem system(ProbeDelay);
    REQUIRE(system.becomesQuarantined());
    const std::size_t before = system.crashes().size();
    REQUIRE(System::eventually([&] {
        system.statusOf(0, CrashingPath);
        return system.crashes().size() > before;
    }));
    // The next delay is ten times as long; meanwhile callers send the request to all hosts at the same time.
    for (int round = 0; round < 10; ++round) {
        std::vector<std::future<unsigned>> tries;
        for (unsigned n = 0; n < CrashingSystem::EntryHosts; ++n) {
            tries.push_back(std::async(std::launch::async, [&system, n] { return system.statusOf(n, CrashingPath); }));
        }
        for (std::future<unsigned> &it : tries) {
            CHECK(it.get() == 503);
        }
        std::this_thread::sleep_for(100ms);
    }
    CHECK(system.crashes().size() == before + 1);
}
