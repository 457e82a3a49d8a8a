//===- QuotaNetwork.h - Limits of tenants in a simulated network *- C++ -*-===//
//
// Entry hosts with some policy, control hosts that aggregate the demand, and
// callers of one tenant. Messages have a latency, hosts are partitioned, crash and
// restart, callers send bursts, move and retry. Counts the requests admitted in
// each window and those refused although the tenant was within its limit.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Quota.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <numeric>
#include <random>

namespace pepperlug::fleet::test
{

using namespace std::chrono_literals;

/// Parameters and events of a simulation.
struct QuotaPlan {
    unsigned entryHosts = 66;
    unsigned controlHosts = 6;
    TenantLimit limit{40, 40};
    double perSecond = 25; ///< requests a second
    unsigned hostsInUse = 66; ///< those that the tenant's callers send to
    Duration length = 40s;
    std::uint64_t seed = 1;
    QuotaTolerance tolerance{5s, 0.1, 20};

    // Events, by time since the start; 0 for none.
    Duration burstAt{}; ///< a burst of 3 s begins
    double burstFactor = 1; ///< factor on the request rate in the burst
    Duration moveCallersAt{}; ///< half of the callers move to other hosts
    Duration lowerLimitAt{}; ///< the limit is lowered
    TenantLimit loweredLimit{};
    Duration partitionAt{}; ///< a fraction of the entry and control hosts is cut off from the others
    Duration partitionLength{};
    double partitionFraction = 0.5;
    Duration restartAllAt{}; ///< all hosts crash at once and start again 1 s later
    Duration restartInterval{}; ///< between two restarts of entry hosts
};

/// Result of a simulation.
struct QuotaOutcome {
    double maxExcess = 0; ///< over the bound, in any window; at most 0 if the bound was kept
    unsigned requests = 0;
    unsigned admitted = 0;
    unsigned allowed = 0; ///< requests that a single host which received them all would admit

    unsigned wronglyRefused() const
    {
        return allowed - std::min(allowed, admitted);
    }
};

template <QuotaPolicy Policy>
class QuotaNetwork
{
public:
    using MakePolicy = std::function<Policy(unsigned host, std::uint64_t seed)>;

    QuotaNetwork(const QuotaPlan &plan, MakePolicy makePolicy)
        : m_plan(plan)
        , m_makePolicy(std::move(makePolicy))
        , m_random(plan.seed)
        , m_limit(plan.limit)
        , m_tokens(plan.limit.burst)
    {
        m_entries.resize(plan.entryHosts);
        m_controls.resize(plan.controlHosts);
        for (unsigned n = 0; n < plan.entryHosts; ++n) {
            startEntry(n);
        }
        for (unsigned n = 0; n < plan.controlHosts; ++n) {
            m_controls[n].startedAt = m_start;
        }
        for (unsigned n = 0; n < plan.hostsInUse; ++n) {
            m_usedHosts.push_back(n);
        }
    }

    QuotaOutcome run()
    {
        const TimePoint end = m_start + m_plan.length;
        for (m_now = m_start; m_now < end; m_now += Step) {
            applyEvents();
            sendRequests();
            exchangeUpdates();
        }
        m_outcome.maxExcess = maxExcess();
        return m_outcome;
    }

private:
    static constexpr Duration Step = 10ms;
    static constexpr Duration PollInterval = 500ms; ///< between two polls of a control host by an entry host
    static constexpr Duration SurgePollInterval = 200ms; ///< the same, when a tenant's demand has surged
    static constexpr Duration PeerPollInterval = 300ms; ///< between two polls of control hosts by each other
    static constexpr Duration Latency = 40ms;
    static constexpr Duration DownTime = 1s;
    /// Age at which the demand reported by an entry host expires.
    static constexpr Duration HoldTime = QuotaHoldTime;

    struct Entry {
        std::optional<Policy> policy; ///< nothing: the host is down
        unsigned incarnation = 0;
        unsigned control = 0; ///< that it polls
        TimePoint nextPoll{};
        TimePoint startsAt{};
    };

    struct DemandReport {
        double perSecond = 0;
        unsigned incarnation = 0;
        TimePoint at{};
    };

    struct Control {
        QuotaAggregator aggregator;
        std::map<unsigned, DemandReport> reports; ///< by entry host
        TimePoint startedAt{};
        TimePoint nextPeerPoll{};
        bool isUp = true;
        std::vector<TenantLoad> storedLoads;
    };

    bool happensAt(Duration when) const
    {
        return when > Duration(0) && m_now >= m_start + when && m_now < m_start + when + Step;
    }

    bool isPartitioned() const
    {
        const Duration since = m_now - m_start - m_plan.partitionAt;
        return m_plan.partitionAt > Duration(0) && since >= Duration(0) && since < m_plan.partitionLength;
    }

    bool isCutOff(unsigned n, std::size_t count) const
    {
        return isPartitioned() && n < static_cast<double>(count) * m_plan.partitionFraction;
    }

    bool reaches(unsigned entry, unsigned control) const
    {
        return m_controls[control].isUp && isCutOff(entry, m_entries.size()) == isCutOff(control, m_controls.size());
    }

    /// A control host that reaches no majority answers that it is not current.
    bool isCurrent(unsigned control) const
    {
        std::size_t reached = 0;
        for (unsigned n = 0; n < m_controls.size(); ++n) {
            reached +=
                m_controls[n].isUp && isCutOff(n, m_controls.size()) == isCutOff(control, m_controls.size()) ? 1 : 0;
        }
        return m_controls[control].isUp && reached * 2 > m_controls.size();
    }

    void startEntry(unsigned n)
    {
        Entry &entry = m_entries[n];
        ++entry.incarnation;
        entry.policy.emplace(m_makePolicy(n, m_random()));
        entry.control = n % m_plan.controlHosts;
        entry.nextPoll = m_now + Milliseconds(m_random() % 20);
        entry.policy->admit(Others, OthersLimit, m_now); // other tenants send requests from the start
    }

    void applyEvents()
    {
        if (happensAt(m_plan.moveCallersAt)) {
            std::ranges::shuffle(m_usedHosts, m_random);
            std::vector<unsigned> all(m_entries.size());
            std::iota(all.begin(), all.end(), 0U);
            std::ranges::shuffle(all, m_random);
            for (std::size_t n = 0; n < m_usedHosts.size() / 2; ++n) {
                m_usedHosts[n] = all[n];
            }
        }
        if (happensAt(m_plan.lowerLimitAt)) {
            m_limit = m_plan.loweredLimit;
        }
        if (happensAt(m_plan.restartAllAt)) {
            restartAll();
        }
        const bool restarts = m_plan.restartInterval > Duration(0) && m_now >= m_nextRestart;
        if (restarts) {
            m_nextRestart = m_now + m_plan.restartInterval;
            Entry &entry = m_entries[m_random() % m_entries.size()];
            entry.policy.reset();
            entry.startsAt = m_now + DownTime;
        }
        for (unsigned n = 0; n < m_entries.size(); ++n) {
            if (!m_entries[n].policy && m_now >= m_entries[n].startsAt) {
                startEntry(n);
            }
        }
    }

    void restartAll()
    {
        for (Entry &it : m_entries) {
            it.policy.reset();
            it.startsAt = m_now + DownTime;
        }
        for (Control &it : m_controls) {
            const std::vector<TenantLoad> storedLoads = it.aggregator.loads();
            it = {};
            it.aggregator.restore(storedLoads);
            it.startedAt = m_now + DownTime;
        }
    }

    void sendRequests()
    {
        const Duration sinceBurst = m_now - m_start - m_plan.burstAt;
        const bool isBurst = m_plan.burstAt > Duration(0) && sinceBurst >= Duration(0) && sinceBurst < 3s;
        const double mean = m_plan.perSecond * (isBurst ? m_plan.burstFactor : 1) * secondsOf(Step);
        const int count = std::poisson_distribution<int>(mean)(m_random);
        m_tokens = std::min(m_limit.burst, m_tokens + m_limit.perSecond * secondsOf(Step));
        for (int n = 0; n < count; ++n) {
            sendRequest();
        }
    }

    void sendRequest()
    {
        Entry &entry = m_entries[m_usedHosts[m_random() % m_usedHosts.size()]];
        if (!entry.policy) {
            return; // the host is down; its callers find another one later
        }
        ++m_outcome.requests;
        const bool isAllowed = m_tokens >= 1;
        m_tokens -= isAllowed ? 1 : 0;
        m_outcome.allowed += isAllowed ? 1 : 0;
        if (entry.policy->admit(Name, m_limit, m_now)) {
            ++m_outcome.admitted;
            m_admittedAt.push_back(m_now);
        }
    }

    void exchangeUpdates()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            auto next = m_messages.extract(m_messages.begin());
            next.mapped()();
        }
        for (unsigned n = 0; n < m_entries.size(); ++n) {
            Entry &entry = m_entries[n];
            const bool pollsEarly = entry.policy && m_now >= entry.nextPoll - PollInterval + SurgePollInterval
                && entry.policy->hasSurged(m_now);
            if (entry.policy && (pollsEarly || m_now >= entry.nextPoll)) {
                pollControlHost(n);
            }
        }
        for (unsigned n = 0; n < m_controls.size(); ++n) {
            if (m_now >= m_controls[n].nextPeerPoll) {
                m_controls[n].nextPeerPoll = m_now + PeerPollInterval;
                pollPeers(n);
            }
        }
    }

    double demandOf(Entry &entry) const
    {
        for (const TenantDemand &it : entry.policy->demand(m_now)) {
            if (it.tenant == tenantHash(Name)) {
                return it.perSecond;
            }
        }
        return 0;
    }

    void pollControlHost(unsigned n)
    {
        Entry &entry = m_entries[n];
        entry.nextPoll = m_now + PollInterval;
        const DemandReport report{demandOf(entry), entry.incarnation, m_now};
        if (!reaches(n, entry.control) || !isCurrent(entry.control)) {
            entry.control = (entry.control + 1) % m_plan.controlHosts;
            return;
        }
        m_messages.emplace(m_now + Latency, [this, n, report, control = entry.control, polledAt = m_now] {
            merge(m_controls[control], n, report);
            updateAggregator(m_controls[control]);
            const std::vector<TenantLoad> loads = m_controls[control].aggregator.loads();
            m_messages.emplace(m_now + Latency, [this, n, loads, polledAt, incarnation = report.incarnation] {
                Entry &poller = m_entries[n];
                if (poller.policy && poller.incarnation == incarnation) {
                    poller.policy->updateLoads(loads);
                    poller.policy->recordContact(polledAt);
                }
            });
        });
    }

    void pollPeers(unsigned n)
    {
        for (unsigned peer = 0; peer < m_controls.size(); ++peer) {
            const bool isReachable = isCutOff(n, m_controls.size()) == isCutOff(peer, m_controls.size());
            if (peer == n || !isReachable) {
                continue;
            }
            for (const auto &[entry, report] : m_controls[peer].reports) {
                merge(m_controls[n], entry, report);
            }
        }
    }

    static void merge(Control &control, unsigned entry, const DemandReport &report)
    {
        DemandReport &known = control.reports[entry];
        if (report.at >= known.at) {
            known = report;
        }
    }

    void updateAggregator(Control &control)
    {
        if (m_now - control.startedAt <= UpdateLease && control.startedAt > m_start) {
            return; // it may have received reports of only some hosts
        }
        std::unordered_map<std::uint64_t, double> demand;
        for (const auto &[entry, report] : control.reports) {
            if (m_now - report.at <= HoldTime) {
                demand[tenantHash(Name)] += report.perSecond;
            }
        }
        Tenant tenant{Name, {}};
        tenant.limit = m_limit;
        control.aggregator.update({tenant}, demand, m_now);
    }

    double maxExcess() const
    {
        double max = -1e9;
        std::deque<TimePoint> window;
        const TimePoint appliesFrom = m_start + m_plan.lowerLimitAt + m_plan.tolerance.window + LoweredLimitDelay;
        const TenantLimit limit = m_plan.lowerLimitAt > Duration(0) ? m_plan.loweredLimit : m_plan.limit;
        const double bound =
            (limit.perSecond * secondsOf(m_plan.tolerance.window) + limit.burst) * (1 + m_plan.tolerance.excess)
            + m_plan.tolerance.slack;
        for (const TimePoint it : m_admittedAt) {
            window.push_back(it);
            while (it - window.front() > m_plan.tolerance.window) {
                window.pop_front();
            }
            const bool counts = m_plan.lowerLimitAt == Duration(0) || it > appliesFrom;
            if (counts) {
                max = std::max(max, static_cast<double>(window.size()) - bound);
            }
        }
        return max;
    }

    /// Time until all hosts apply a changed limit.
    static constexpr Duration LoweredLimitDelay = 2500ms;
    static constexpr const char *Name = "tenant";
    static constexpr const char *Others = "others";
    static constexpr TenantLimit OthersLimit{1e6, 1e6};

    QuotaPlan m_plan;
    MakePolicy m_makePolicy;
    std::mt19937_64 m_random;
    TenantLimit m_limit;
    double m_tokens; ///< of a single host that receives all requests
    TimePoint m_start{1000s};
    TimePoint m_now = m_start;
    TimePoint m_nextRestart = m_start;
    std::vector<Entry> m_entries;
    std::vector<Control> m_controls;
    std::vector<unsigned> m_usedHosts;
    std::multimap<TimePoint, std::function<void()>> m_messages;
    std::vector<TimePoint> m_admittedAt;
    QuotaOutcome m_outcome;
};

} // namespace pepperlug::fleet::test
