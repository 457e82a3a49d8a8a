//===- LimitedTargetsTest.cpp - Rate limits of targets over many entry hosts -------===//
//
// A simulated network: entry hosts with real balancers, targets that answer after a fixed service time, and updates
// that are exchanged at intervals. One target advertises a limit for a part of the time.
//
//===----------------------------------------------------------------------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr double Excess = 0.5; ///< share by which the limit may be exceeded in a window
constexpr double Slack = 5; ///< additional requests in a window
constexpr Duration Window = 4s;
constexpr Duration PropagationTime = 3s;

struct LimitPlan {
    unsigned entryHosts = 9;
    double limit = 2;
    double perSecond = 300; ///< requests per second to all targets
    double burstFactor = 1; ///< the request rate is multiplied by it for 3 s
    bool hasRestarts = false; ///< an entry host restarts every second
    bool isAlwaysAdvertised = true; ///< false: in four of five answers
    std::uint64_t seed = 1;
};

class LimitNetwork
{
public:
    static constexpr unsigned Targets = 24;
    static constexpr unsigned Keys = 120;
    static constexpr Duration AdvertisedAt = 5s;
    static constexpr Duration LiftedAt = 35s;
    static constexpr Duration BurstAt = 20s;
    static constexpr Duration End = 70s;

    explicit LimitNetwork(const LimitPlan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
    {
        for (unsigned n = 0; n < plan.entryHosts; ++n) {
            m_hosts.push_back(nullptr);
            start(n);
        }
        for (unsigned n = 0; n < plan.entryHosts; ++n) {
            reportHosts(n);
        }
    }

    void run()
    {
        const TimePoint end = m_start + End;
        for (m_now = m_start; m_now < end; m_now += Step) {
            sendRequests();
            sendAnswers();
            if ((m_now - m_start) % UpdateInterval < Step) {
                exchangeUpdates();
            }
            if (m_plan.hasRestarts && (m_now - m_start) % RestartInterval < Step) {
                restart(m_random() % m_hosts.size());
            }
        }
    }

    /// Highest number of requests at the limited target in any window between two times after the start.
    std::size_t maxInWindow(Duration from, Duration to) const
    {
        std::size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            if (*first < m_start + from || *first > m_start + to) {
                continue;
            }
            const auto end = std::upper_bound(first, m_arrivals.end(), std::min(*first + Window, m_start + to));
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    double rateIn(Duration from, Duration to) const
    {
        const auto count = std::count_if(m_arrivals.begin(), m_arrivals.end(),
                                         [&](TimePoint it) { return it >= m_start + from && it < m_start + to; });
        return static_cast<double>(count) / secondsOf(to - from);
    }

    unsigned refused() const
    {
        return m_refused;
    }

private:
    static constexpr Duration Step = 10ms;
    static constexpr Duration Work = 200ms;
    static constexpr Duration UpdateInterval = 250ms;
    static constexpr Duration RestartInterval = 1s;

    struct Entry {
        std::string id;
        unsigned incarnation = 0;
        std::unique_ptr<Host> host;
        std::uint64_t sentVersion = 0; ///< version of its table that the control host has
        std::uint64_t receivedVersion = 0; ///< version of the control host's table that it has
    };

    struct Sent {
        unsigned host = 0;
        unsigned incarnation = 0;
        StartAttempt attempt;
        TimePoint at{};
    };

    static std::string targetId(unsigned number)
    {
        return "t" + std::to_string(number);
    }

    void start(unsigned n)
    {
        auto entry = std::make_unique<Entry>();
        entry->incarnation = ++m_incarnations;
        entry->id = "entry-" + std::to_string(n) + "#" + std::to_string(entry->incarnation);
        BalanceSettings settings = Host::settingsOf("z1", m_random());
        settings.host = entry->id;
        entry->host = std::make_unique<Host>(settings);
        entry->host->now = m_now;
        entry->host->useTable();
        for (unsigned target = 0; target < Targets; ++target) {
            entry->host->report(Host::targetOf(targetId(target), "z1", 16));
        }
        m_hosts[n] = std::move(entry);
        receiveUpdates(*m_hosts[n]); // a host routes nothing before its first reply from a control host
    }

    void receiveUpdates(Entry &entry)
    {
        entry.host->now = m_now;
        const auto reports = m_control.changedSince(entry.receivedVersion, UpdateRecipient::EntryHost, m_now);
        entry.receivedVersion = m_control.version();
        if (!reports.empty()) {
            entry.host->reduce(BackpressureReceived{reports});
        }
    }

    void reportHosts(unsigned n)
    {
        for (const auto &it : m_hosts) {
            m_hosts[n]->host->report(Host::entryOf(it->id, "z1"));
        }
    }

    void restart(unsigned n)
    {
        const std::string before = m_hosts[n]->id;
        start(n);
        reportHosts(n);
        HostReport gone = Host::entryOf(before, "z1");
        gone.presence = Presence::Gone;
        for (const auto &it : m_hosts) {
            it->host->report(gone);
            it->host->report(Host::entryOf(m_hosts[n]->id, "z1"));
        }
    }

    void sendRequests()
    {
        const Duration since = m_now - m_start;
        const bool isBurst = since >= BurstAt && since < BurstAt + 3s;
        const double mean = m_plan.perSecond * (isBurst ? m_plan.burstFactor : 1) * secondsOf(Step);
        const int count = std::poisson_distribution<int>(mean)(m_random);
        for (int n = 0; n < count; ++n) {
            const auto host = static_cast<unsigned>(m_random() % m_hosts.size());
            Host &entry = *m_hosts[host]->host;
            entry.now = m_now;
            entry.request("/read/", "key" + std::to_string(m_random() % Keys));
            applyEffects(host);
        }
    }

    void applyEffects(unsigned host)
    {
        const BalanceEffects effects = m_hosts[host]->host->effects;
        for (const BalanceEffect &it : effects) {
            if (const auto *attempt = std::get_if<StartAttempt>(&it)) {
                if (attempt->target == targetId(0)) {
                    m_arrivals.push_back(m_now);
                }
                m_sent.push_back({host, m_hosts[host]->incarnation, *attempt, m_now});
            }
            const bool isSteady = m_now - m_start > 2s && m_plan.burstFactor <= 1;
            m_refused += isSteady && std::holds_alternative<RefuseRequest>(it) ? 1 : 0;
        }
    }

    bool advertisesLimit()
    {
        const Duration since = m_now - m_start;
        const bool isAdvertised = since >= AdvertisedAt && since < LiftedAt;
        return isAdvertised && (m_plan.isAlwaysAdvertised || m_random() % 5 > 0);
    }

    void sendAnswers()
    {
        while (!m_sent.empty() && m_sent.front().at + Work <= m_now) {
            const Sent sent = m_sent.front();
            m_sent.pop_front();
            if (m_hosts[sent.host]->incarnation != sent.incarnation) {
                continue;
            }
            Host &entry = *m_hosts[sent.host]->host;
            entry.now = m_now;
            TargetSignalled signalled{{sent.attempt.target, sent.attempt.targetStartedAt}, {}, sent.at};
            if (sent.attempt.target == targetId(0) && advertisesLimit()) {
                signalled.signal.rateLimit = m_plan.limit;
            }
            entry.reduce(signalled);
            entry.reduce(AttemptEnded{sent.attempt.id, sent.attempt.attempt, AttemptOutcome::Answered, {}, 0});
            applyEffects(sent.host);
        }
    }

    void exchangeUpdates()
    {
        for (const auto &it : m_hosts) {
            const BackpressureTable &table = it->host->balancer.backpressure();
            for (const BackpressureReport &report :
                 table.changedSince(it->sentVersion, UpdateRecipient::ControlHost, m_now)) {
                m_control.merge(report, true, m_now);
            }
            it->sentVersion = table.version();
        }
        for (const auto &it : m_hosts) {
            receiveUpdates(*it);
            it->host->reduce(BalanceTick{});
        }
    }

    LimitPlan m_plan;
    std::mt19937_64 m_random;
    TimePoint m_start{1000s};
    TimePoint m_now = m_start;
    std::vector<std::unique_ptr<Entry>> m_hosts;
    BackpressureTable m_control;
    std::deque<Sent> m_sent;
    std::vector<TimePoint> m_arrivals; ///< at the limited target
    unsigned m_refused = 0;
    unsigned m_incarnations = 0;
};

double allowed(double limit)
{
    return limit * secondsOf(Window) * (1 + Excess) + Slack;
}

std::vector<LimitPlan> plans()
{
    std::vector<LimitPlan> all;
    for (const double limit : {0.2, 0.5, 1.5, 4.0}) {
        all.push_back({9, limit});
        all.push_back({66, limit});
    }
    all.push_back({9, 2, 300, 4});
    all.push_back({66, 2, 300, 4});
    all.push_back({9, 2, 300, 1, true});
    all.push_back({66, 2, 300, 1, true});
    all.push_back({9, 2, 300, 1, false, false});
    all.push_back({66, 2, 300, 1, false, false});
    return all;
}

} // namespace

// Guards against all entry hosts together sending a limited target more than its limit, or nothing at all.
TEST_CASE("entry hosts together keep a target's limit in a burst, over restarts, and if only some answers advertise it")
{
    for (LimitPlan plan : plans()) {
        for (plan.seed = 1; plan.seed <= 3; ++plan.seed) {
            LimitNetwork network(plan);
            network.run();
            CAPTURE(plan.entryHosts, plan.limit, plan.burstFactor, plan.hasRestarts, plan.isAlwaysAdvertised,
                    plan.seed);
            const Duration from = LimitNetwork::AdvertisedAt + PropagationTime;
            const double before = network.rateIn(2s, LimitNetwork::AdvertisedAt);
            CHECK(before > plan.limit);
            CHECK(static_cast<double>(network.maxInWindow(from, LimitNetwork::LiftedAt)) <= allowed(plan.limit));
            const double limited = network.rateIn(from, LimitNetwork::LiftedAt);
            CHECK(limited > 0);
            CHECK(limited <= plan.limit + Slack / secondsOf(LimitNetwork::LiftedAt - from));
            CHECK(network.refused() == 0);
            CHECK(network.rateIn(LimitNetwork::LiftedAt + 20s, LimitNetwork::End) > before / 2);
        }
    }
}

TEST_CASE("with nine entry hosts the owners of a limit use more than half of it", "[use]")
{
    for (const double limit : {0.5, 1.5, 2.2, 4.0}) {
        LimitPlan plan;
        plan.limit = limit;
        LimitNetwork network(plan);
        network.run();
        const double rate = network.rateIn(LimitNetwork::AdvertisedAt + PropagationTime, LimitNetwork::LiftedAt);
        CAPTURE(limit, rate);
        CHECK(rate > limit / 2);
    }
}
