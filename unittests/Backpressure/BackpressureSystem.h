//===- BackpressureSystem.h - System test of backpressure over loopback -*- C++ -*-===//
//
// Three entry hosts, a control host and three targets, connected by sockets, with requests that carry affinity keys and
// are sent to all entry hosts in turn.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Fleet/System.h"

namespace pepperlug::fleet::test
{

class BackpressureSystem
{
public:
    using Times = std::vector<std::chrono::steady_clock::time_point>;
    static constexpr unsigned EntryHosts = 3;

    BackpressureSystem()
    {
        nlohmann::json table = nlohmann::json::parse(System::tableText("r2", {"/p/"}));
        table["hosts"][0]["paths"][0]["sticky"] = true;
        REQUIRE(System::eventually(
            [&] { return m_system.operatorCall("/api/Config.Put", table.dump(), "0").status == 200; }));
        for (unsigned n = 1; n < EntryHosts; ++n) {
            m_entryHosts.push_back(m_system.startEntryHost(n));
        }
        m_heartbeatThread = std::thread([this] { sendHeartbeats(); });
        REQUIRE(System::eventually([&] { return isEachTargetUsed(); }));
    }

    ~BackpressureSystem()
    {
        m_stop = true;
        m_heartbeatThread.join();
    }

    BackpressureSystem(const BackpressureSystem &) = delete;
    BackpressureSystem &operator=(const BackpressureSystem &) = delete;

    /// Sends requests for the given time, in turn to the first `entryHosts` entry hosts. Returns how many succeeded.
    unsigned sendFor(Duration time, unsigned entryHosts = EntryHosts)
    {
        constexpr auto Pause = 5ms;
        unsigned served = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const Answer answer = sendTo(m_nextEntryHost++ % entryHosts);
            ++m_sent;
            if (answer.status == 200) {
                ++served;
            } else {
                m_refusals[std::to_string(answer.status) + " " + answer.body]++;
            }
            std::this_thread::sleep_for(Pause);
        }
        return served;
    }

    Answer sendTo(unsigned entryHost)
    {
        constexpr unsigned AffinityKeys = 30;
        const unsigned number = m_requests++;
        const GatewayDaemon &host = entryHost == 0 ? *m_system.gateway : *m_entryHosts[entryHost - 1];
        return m_system.get(host.callersAddress(), "/p/x", "try-" + std::to_string(number),
                            {{"Cookie", "X-Affinity-Key=" + std::to_string(number % AffinityKeys)}});
    }

    FakeTarget &target(std::size_t number)
    {
        return *m_targets.at(number);
    }

    unsigned sent() const
    {
        return m_sent;
    }

    /// Returns the unsuccessful answers that sendFor() received, by status and body.
    std::string refusals() const
    {
        std::string text;
        for (const auto &[answer, count] : m_refusals) {
            text += std::to_string(count) + " times " + answer + "\n";
        }
        return text;
    }

    /// Returns the largest number of arrivals in any window of a length that begins at `from` or later.
    static std::size_t maxInWindow(const Times &arrivals, Duration span, std::chrono::steady_clock::time_point from)
    {
        std::size_t max = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first < from) {
                continue;
            }
            const auto end = std::upper_bound(first, arrivals.end(), *first + span);
            max = std::max(max, static_cast<std::size_t>(end - first));
        }
        return max;
    }

    static std::size_t countFrom(const Times &arrivals, std::chrono::steady_clock::time_point from)
    {
        return static_cast<std::size_t>(arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), from));
    }

private:
    bool isEachTargetUsed()
    {
        constexpr unsigned WarmUpRequests = 90;
        for (unsigned n = 0; n < WarmUpRequests; ++n) {
            if (sendTo(n % EntryHosts).status != 200) {
                return false; // an entry host has no configuration yet
            }
        }
        return std::all_of(m_targets.begin(), m_targets.end(), [](const auto &it) { return it->runs() > 0; });
    }

    void sendHeartbeats()
    {
        int sequence = 0;
        while (!m_stop) {
            ++sequence;
            for (std::size_t n = 0; n < m_targets.size(); ++n) {
                m_system.sendReport(idOf(n), *m_targets[n], sequence);
            }
            std::this_thread::sleep_for(200ms);
        }
    }

    static std::string idOf(std::size_t number)
    {
        return "i-" + std::to_string(number);
    }

    System m_system;
    std::vector<std::unique_ptr<GatewayDaemon>> m_entryHosts;
    std::array<std::unique_ptr<FakeTarget>, 3> m_targets{std::make_unique<FakeTarget>(idOf(0)),
                                                         std::make_unique<FakeTarget>(idOf(1)),
                                                         std::make_unique<FakeTarget>(idOf(2))};
    std::atomic<unsigned> m_requests{0};
    unsigned m_nextEntryHost = 0;
    unsigned m_sent = 0;
    std::map<std::string, unsigned> m_refusals;
    std::atomic<bool> m_stop{false};
    std::thread m_heartbeatThread;
};

} // namespace pepperlug::fleet::test
