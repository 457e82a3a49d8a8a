//===- QuotaNetwork.h - Limits of tenants over a drawn network --*- C++ -*-===//
//
// Entry hosts of some policy, control hosts that add up what they are told, and
// callers of one tenant. News takes its time, hosts are cut off, end and start
// again, callers crowd, move and repeat. Counts what passed in each window and
// what was refused although the tenant was within its limit.
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

/// How a drawn time goes on.
struct QuotaPlan {
    unsigned entryHosts = 66;
    unsigned controlHosts = 6;
    TenantLimit limit{40, 40};
    double perSecond = 25; ///< requests
    unsigned hostsInUse = 66; ///< that the tenant's callers come to
    Duration length = 40s;
    std::uint64_t seed = 1;
    QuotaTerms terms{5s, 0.1, 20};

    // What happens; a time of 0 for nothing.
    Duration crowdAt{}; ///< from then on, for 3 s
    double crowdFactor = 1; ///< so many times the requests come
    Duration shiftAt{}; ///< half of the callers move to other hosts
    Duration lowerAt{}; ///< the limit is lowered
    TenantLimit lowered{};
    Duration cutAt{}; ///< a part of the entry hosts, and of the control hosts, can't reach the others
    Duration cutFor{};
    double cutPart = 0.5;
    Duration killAt{}; ///< all hosts end at once, and start again 1 s later
    Duration restartInterval{}; ///< between two restarts of entry hosts
};

/// What came of it.
struct QuotaOutcome {
    double mostOver = 0; ///< largest excess over what the bound allows in a window; at most 0 if it was kept
    unsigned asked = 0;
    unsigned passed = 0;
    unsigned owed = 0; ///< tries that one host would pass which saw all of them

    unsigned falselyRefused() const
    {
        return owed - std::min(owed, passed);
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
            happen();
            callersAsk();
            hostsTalk();
        }
        m_outcome.mostOver = mostOver();
        return m_outcome;
    }

private:
    static constexpr Duration Step = 10ms;
    static constexpr Duration AskInterval = 500ms; ///< between two asks of an entry host at its control host
    static constexpr Duration SurgeInterval = 200ms; ///< the same, where a tenant's requests have grown
    static constexpr Duration PeerInterval = 300ms; ///< between two of a control host at another one
    static constexpr Duration Way = 40ms;
    static constexpr Duration DownTime = 1s;
    /// What a host forgets that it has not heard from.
    static constexpr Duration Hold = QuotaHold;

    struct Entry {
        std::optional<Policy> policy; ///< nothing: it is down
        unsigned life = 0;
        unsigned control = 0; ///< that it follows
        TimePoint nextAsk{};
        TimePoint startsAt{};
    };

    struct Heard {
        double perSecond = 0;
        unsigned life = 0;
        TimePoint at{};
    };

    struct Control {
        QuotaSums sums;
        std::map<unsigned, Heard> heard; ///< by entry host
        TimePoint startedAt{};
        TimePoint nextPeer{};
        bool isUp = true;
        std::vector<TenantLoad> disk;
    };

    bool happensAt(Duration when) const
    {
        return when > Duration(0) && m_now >= m_start + when && m_now < m_start + when + Step;
    }

    bool isCut() const
    {
        const Duration since = m_now - m_start - m_plan.cutAt;
        return m_plan.cutAt > Duration(0) && since >= Duration(0) && since < m_plan.cutFor;
    }

    bool isBehindCut(unsigned n, std::size_t count) const
    {
        return isCut() && n < static_cast<double>(count) * m_plan.cutPart;
    }

    bool reaches(unsigned entry, unsigned control) const
    {
        return m_controls[control].isUp
            && isBehindCut(entry, m_entries.size()) == isBehindCut(control, m_controls.size());
    }

    /// A control host that is cut off with fewer than a majority says that it is not sure.
    bool isCurrent(unsigned control) const
    {
        std::size_t reached = 0;
        for (unsigned n = 0; n < m_controls.size(); ++n) {
            reached +=
                m_controls[n].isUp && isBehindCut(n, m_controls.size()) == isBehindCut(control, m_controls.size()) ? 1
                                                                                                                   : 0;
        }
        return m_controls[control].isUp && reached * 2 > m_controls.size();
    }

    void startEntry(unsigned n)
    {
        Entry &entry = m_entries[n];
        ++entry.life;
        entry.policy.emplace(m_makePolicy(n, m_random()));
        entry.control = n % m_plan.controlHosts;
        entry.nextAsk = m_now + Milliseconds(m_random() % 20);
        entry.policy->admit(Others, OthersLimit, m_now); // other tenants ask from the first moment on
    }

    void happen()
    {
        if (happensAt(m_plan.shiftAt)) {
            std::ranges::shuffle(m_usedHosts, m_random);
            std::vector<unsigned> all(m_entries.size());
            std::iota(all.begin(), all.end(), 0U);
            std::ranges::shuffle(all, m_random);
            for (std::size_t n = 0; n < m_usedHosts.size() / 2; ++n) {
                m_usedHosts[n] = all[n];
            }
        }
        if (happensAt(m_plan.lowerAt)) {
            m_limit = m_plan.lowered;
        }
        if (happensAt(m_plan.killAt)) {
            killAll();
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

    void killAll()
    {
        for (Entry &it : m_entries) {
            it.policy.reset();
            it.startsAt = m_now + DownTime;
        }
        for (Control &it : m_controls) {
            const std::vector<TenantLoad> disk = it.sums.loads();
            it = {};
            it.sums.recall(disk);
            it.startedAt = m_now + DownTime;
        }
    }

    void callersAsk()
    {
        const Duration sinceCrowd = m_now - m_start - m_plan.crowdAt;
        const bool isCrowd = m_plan.crowdAt > Duration(0) && sinceCrowd >= Duration(0) && sinceCrowd < 3s;
        const double mean = m_plan.perSecond * (isCrowd ? m_plan.crowdFactor : 1) * secondsOf(Step);
        const int count = std::poisson_distribution<int>(mean)(m_random);
        m_tokens = std::min(m_limit.burst, m_tokens + m_limit.perSecond * secondsOf(Step));
        for (int n = 0; n < count; ++n) {
            ask();
        }
    }

    void ask()
    {
        Entry &entry = m_entries[m_usedHosts[m_random() % m_usedHosts.size()]];
        if (!entry.policy) {
            return; // its callers find another host later
        }
        ++m_outcome.asked;
        const bool isOwed = m_tokens >= 1;
        m_tokens -= isOwed ? 1 : 0;
        m_outcome.owed += isOwed ? 1 : 0;
        if (entry.policy->admit(Name, m_limit, m_now)) {
            ++m_outcome.passed;
            m_passedAt.push_back(m_now);
        }
    }

    void hostsTalk()
    {
        while (!m_news.empty() && m_news.begin()->first <= m_now) {
            auto next = m_news.extract(m_news.begin());
            next.mapped()();
        }
        for (unsigned n = 0; n < m_entries.size(); ++n) {
            Entry &entry = m_entries[n];
            const bool isHurried =
                entry.policy && m_now >= entry.nextAsk - AskInterval + SurgeInterval && entry.policy->hasSurged(m_now);
            if (entry.policy && (isHurried || m_now >= entry.nextAsk)) {
                askControl(n);
            }
        }
        for (unsigned n = 0; n < m_controls.size(); ++n) {
            if (m_now >= m_controls[n].nextPeer) {
                m_controls[n].nextPeer = m_now + PeerInterval;
                askPeers(n);
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

    void askControl(unsigned n)
    {
        Entry &entry = m_entries[n];
        entry.nextAsk = m_now + AskInterval;
        const Heard heard{demandOf(entry), entry.life, m_now};
        if (!reaches(n, entry.control) || !isCurrent(entry.control)) {
            entry.control = (entry.control + 1) % m_plan.controlHosts;
            return;
        }
        m_news.emplace(m_now + Way, [this, n, heard, control = entry.control, askedAt = m_now] {
            hear(m_controls[control], n, heard);
            follow(m_controls[control]);
            const std::vector<TenantLoad> loads = m_controls[control].sums.loads();
            m_news.emplace(m_now + Way, [this, n, loads, askedAt, life = heard.life] {
                Entry &asker = m_entries[n];
                if (asker.policy && asker.life == life) {
                    asker.policy->told(loads);
                    asker.policy->heardAsOf(askedAt);
                }
            });
        });
    }

    void askPeers(unsigned n)
    {
        for (unsigned peer = 0; peer < m_controls.size(); ++peer) {
            const bool isOpen = isBehindCut(n, m_controls.size()) == isBehindCut(peer, m_controls.size());
            if (peer == n || !isOpen) {
                continue;
            }
            for (const auto &[entry, heard] : m_controls[peer].heard) {
                hear(m_controls[n], entry, heard);
            }
        }
    }

    static void hear(Control &control, unsigned entry, const Heard &heard)
    {
        Heard &known = control.heard[entry];
        if (heard.at >= known.at) {
            known = heard;
        }
    }

    void follow(Control &control)
    {
        if (m_now - control.startedAt <= UpdateLease && control.startedAt > m_start) {
            return; // it may know a part of the hosts only
        }
        std::unordered_map<std::uint64_t, double> sums;
        for (const auto &[entry, heard] : control.heard) {
            if (m_now - heard.at <= Hold) {
                sums[tenantHash(Name)] += heard.perSecond;
            }
        }
        Tenant tenant{Name, {}};
        tenant.limit = m_limit;
        control.sums.follow({tenant}, sums, m_now);
    }

    double mostOver() const
    {
        double most = -1e9;
        std::deque<TimePoint> window;
        const TimePoint settled = m_start + m_plan.lowerAt + m_plan.terms.window + LoweredApplies;
        const TenantLimit limit = m_plan.lowerAt > Duration(0) ? m_plan.lowered : m_plan.limit;
        const double bound =
            (limit.perSecond * secondsOf(m_plan.terms.window) + limit.burst) * (1 + m_plan.terms.excess)
            + m_plan.terms.slack;
        for (const TimePoint it : m_passedAt) {
            window.push_back(it);
            while (it - window.front() > m_plan.terms.window) {
                window.pop_front();
            }
            const bool counts = m_plan.lowerAt == Duration(0) || it > settled;
            if (counts) {
                most = std::max(most, static_cast<double>(window.size()) - bound);
            }
        }
        return most;
    }

    /// After which hosts go by a changed limit.
    static constexpr Duration LoweredApplies = 2500ms;
    static constexpr const char *Name = "tenant";
    static constexpr const char *Others = "others";
    static constexpr TenantLimit OthersLimit{1e6, 1e6};

    QuotaPlan m_plan;
    MakePolicy m_makePolicy;
    std::mt19937_64 m_random;
    TenantLimit m_limit;
    double m_tokens; ///< of the limit, as if one host saw all tries
    TimePoint m_start{1000s};
    TimePoint m_now = m_start;
    TimePoint m_nextRestart = m_start;
    std::vector<Entry> m_entries;
    std::vector<Control> m_controls;
    std::vector<unsigned> m_usedHosts;
    std::multimap<TimePoint, std::function<void()>> m_news;
    std::vector<TimePoint> m_passedAt;
    QuotaOutcome m_outcome;
};

} // namespace pepperlug::fleet::test
