//===- QuotaNetwork.h - Limits of tenants in a simulated network *- C++ -*-===//
//
// Entry hosts with some policy, control hosts that issue tokens, and callers of one
// tenant. Messages have a latency, hosts are partitioned, crash and restart, callers
// send bursts and move. Counts the requests admitted in each window and those
// refused although the tenant was within its limit.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Quota.h"

#include <algorithm>
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
    Duration maxWait = 75ms; ///< of a request for a token

    // Events, by time since the start; 0 for none.
    Duration burstAt{}; ///< a burst begins
    Duration burstLength = 3s;
    double burstFactor = 1; ///< factor on the request rate in the burst
    Duration moveCallersAt{}; ///< half of the callers move to other hosts
    Duration lowerLimitAt{}; ///< the limit is lowered
    TenantLimit loweredLimit{};
    Duration partitionAt{}; ///< a fraction of the entry and control hosts is cut off from the others
    Duration partitionLength{};
    double partitionFraction = 0.5;
    Duration cutAt{}; ///< a fraction of the entry hosts is cut off from all control hosts
    Duration cutLength{};
    double cutFraction = 0.3;
    double othersPerSecond = 0; ///< requests a second of another tenant with the same limit, at all hosts
    Duration restartAllAt{}; ///< all hosts crash at once and start again 1 s later
    Duration restartInterval{}; ///< between two restarts of entry hosts
    Duration controlRestartInterval{}; ///< between two restarts of control hosts
};

/// Result of a simulation.
struct QuotaOutcome {
    double maxExcess = 0; ///< over the bound, in any window; at most 0 if the bound was kept
    unsigned requests = 0;
    unsigned admitted = 0;
    unsigned allowed = 0; ///< requests that a single host which received them all would admit
    Duration longestWait{}; ///< of a request for its decision
    std::size_t calls = 0; ///< of entry hosts to control hosts
    std::size_t loans = 0; ///< calls of control hosts to each other

    unsigned wronglyRefused() const
    {
        return allowed - std::min(allowed, admitted);
    }
};

template <QuotaPolicy Policy>
class QuotaNetwork
{
public:
    using MakePolicy = std::function<Policy(const std::string &host, const std::string &address)>;

    QuotaNetwork(const QuotaPlan &plan, MakePolicy makePolicy)
        : m_plan(plan)
        , m_makePolicy(std::move(makePolicy))
        , m_random(plan.seed)
        , m_limit(plan.limit)
        , m_allowance(plan.limit.burst)
    {
        m_entries.resize(plan.entryHosts);
        for (unsigned n = 0; n < plan.controlHosts; ++n) {
            m_controls.emplace_back();
            startControl(n);
        }
        m_now = m_start;
        for (unsigned n = 0; n < plan.entryHosts; ++n) {
            startEntry(n);
        }
        for (unsigned n = 0; n < plan.hostsInUse; ++n) {
            m_usedHosts.push_back(n);
        }
        scheduleEvents();
    }

    QuotaOutcome run()
    {
        const TimePoint end = m_start + m_plan.length;
        while (!m_events.empty() && m_events.begin()->first < end) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_outcome.maxExcess = maxExcess();
        return m_outcome;
    }

private:
    /// Hosts run for that long before the first request.
    static constexpr Duration LeadTime = 10s;
    static constexpr Duration TickInterval = 25ms;
    static constexpr Duration IdleTickInterval = 50ms;
    static constexpr Duration LatencyInRegion = 1ms;
    static constexpr Duration LatencyBetweenRegions = 35ms;
    static constexpr Duration DownTime = 1s;
    /// Time for which a control host that did not reply is not called.
    static constexpr Duration AvoidTime = 2s;
    static constexpr Duration RateStep = 250ms;
    /// Time until all hosts apply a changed limit.
    static constexpr Duration LoweredLimitDelay = 2500ms;
    static constexpr unsigned ControlHostsPerRegion = 2;
    static constexpr const char *Name = "tenant";
    static constexpr const char *OtherName = "other";

    struct Entry {
        std::optional<Policy> policy; ///< nothing: the host is down
        unsigned incarnation = 0;
        std::map<unsigned, TimePoint> avoided; ///< control hosts that did not reply, and until when
        TimePoint tickAt{};
        std::map<std::uint64_t, TimePoint> waiting; ///< arrival of each request
    };

    struct Control {
        std::optional<QuotaIssuer> issuer; ///< nothing: the host is down
        unsigned incarnation = 0;
        std::map<std::uint64_t, std::function<void(QuotaReply)>> replies; ///< by call
        std::uint64_t lastCall = 0;
    };

    void at(TimePoint when, std::function<void()> event)
    {
        m_events.emplace(when, std::move(event));
    }

    void atIfPlanned(Duration when, std::function<void()> event)
    {
        if (when > Duration(0)) {
            at(m_start + when, std::move(event));
        }
    }

    void scheduleEvents()
    {
        for (Duration it{}; it < m_plan.length; it += RateStep) {
            at(m_start + it, [this] { sendRequests(); });
        }
        atIfPlanned(m_plan.moveCallersAt, [this] { moveCallers(); });
        atIfPlanned(m_plan.lowerLimitAt, [this] { lowerLimit(); });
        atIfPlanned(m_plan.restartAllAt, [this] {
            for (unsigned n = 0; n < m_entries.size(); ++n) {
                crashEntry(n);
            }
            for (unsigned n = 0; n < m_controls.size(); ++n) {
                crashControl(n);
            }
        });
        scheduleRestarts(m_plan.restartInterval, [this] { crashEntry(m_random() % m_entries.size()); });
        scheduleRestarts(m_plan.controlRestartInterval, [this] { crashControl(m_random() % m_controls.size()); });
        for (unsigned n = 0; n < m_controls.size(); ++n) {
            tickControl(n);
        }
    }

    void scheduleRestarts(Duration interval, const std::function<void()> &crash)
    {
        for (Duration it = interval; interval > Duration(0) && it < m_plan.length; it += interval) {
            at(m_start + it, crash);
        }
    }

    bool isNow(Duration since, Duration length) const
    {
        const Duration passed = m_now - m_start - since;
        return since > Duration(0) && passed >= Duration(0) && passed < length;
    }

    bool isBehindPartition(unsigned n, std::size_t count) const
    {
        return isNow(m_plan.partitionAt, m_plan.partitionLength)
            && n < static_cast<double>(count) * m_plan.partitionFraction;
    }

    bool reaches(unsigned entry, unsigned control) const
    {
        const bool isCut =
            isNow(m_plan.cutAt, m_plan.cutLength) && entry < static_cast<double>(m_entries.size()) * m_plan.cutFraction;
        return !isCut && isBehindPartition(entry, m_entries.size()) == isBehindPartition(control, m_controls.size());
    }

    bool controlReaches(unsigned from, unsigned to) const
    {
        return isBehindPartition(from, m_controls.size()) == isBehindPartition(to, m_controls.size());
    }

    /// Control host of the entry host's zone.
    unsigned homeOf(unsigned entry) const
    {
        return static_cast<unsigned>(static_cast<std::uint64_t>(entry) * m_plan.controlHosts / m_plan.entryHosts);
    }

    /// The nearest control host that has replied lately.
    unsigned controlOf(unsigned n)
    {
        Entry &entry = m_entries[n];
        std::vector<unsigned> order(m_plan.controlHosts);
        std::iota(order.begin(), order.end(), 0U);
        const auto distance = [this, home = homeOf(n)](unsigned it) {
            return std::tuple(it != home, latency(it, home), (it + m_plan.controlHosts - home) % m_plan.controlHosts);
        };
        std::ranges::sort(order, {}, distance);
        const auto it = std::ranges::find_if(order, [&](unsigned it) { return m_now >= entry.avoided[it]; });
        return it == order.end() ? order.front() : *it;
    }

    static Duration latency(unsigned control, unsigned other)
    {
        return control / ControlHostsPerRegion == other / ControlHostsPerRegion ? LatencyInRegion
                                                                                : LatencyBetweenRegions;
    }

    // Entry hosts.

    void startEntry(unsigned n)
    {
        Entry &entry = m_entries[n];
        ++entry.incarnation;
        const std::string address = std::to_string(n);
        entry.policy.emplace(m_makePolicy(address + "#" + std::to_string(entry.incarnation), address));
        entry.policy->setTableVersion(m_tableVersion);
        entry.avoided.clear();
        entry.waiting.clear();
        entry.tickAt = {};
    }

    void crashEntry(std::size_t n)
    {
        if (!m_entries[n].policy) {
            return;
        }
        m_entries[n].policy.reset();
        at(m_now + DownTime, [this, n] { startEntry(static_cast<unsigned>(n)); });
    }

    void lowerLimit()
    {
        m_limit = m_plan.loweredLimit;
        ++m_tableVersion;
        for (Entry &it : m_entries) {
            if (it.policy) {
                it.policy->setTableVersion(m_tableVersion);
            }
        }
    }

    void sendRequests()
    {
        const bool isBurst = isNow(m_plan.burstAt, m_plan.burstLength);
        const double mean = m_plan.perSecond * (isBurst ? m_plan.burstFactor : 1) * secondsOf(RateStep);
        const int count = std::poisson_distribution<int>(mean)(m_random);
        std::uniform_int_distribution<Duration::rep> within(0, Duration(RateStep).count() - 1);
        for (int n = 0; n < count; ++n) {
            const auto host = static_cast<unsigned>(m_usedHosts[m_random() % m_usedHosts.size()]);
            at(m_now + Duration(within(m_random)), [this, host] { sendRequest(host); });
        }
        const double others = m_plan.othersPerSecond * secondsOf(RateStep);
        const int otherCount = others > 0 ? std::poisson_distribution<int>(others)(m_random) : 0;
        for (int n = 0; n < otherCount; ++n) {
            const auto host = static_cast<unsigned>(m_random() % m_entries.size());
            at(m_now + Duration(within(m_random)), [this, host] { sendOtherRequest(host); });
        }
    }

    /// A request of the other tenant, which is not counted.
    void sendOtherRequest(unsigned n)
    {
        if (m_entries[n].policy) {
            const auto id = static_cast<RequestId>(++m_lastRequest);
            m_entries[n].policy->request(id, OtherName, m_limit, m_plan.maxWait, m_now);
            advance(n);
        }
    }

    void sendRequest(unsigned n)
    {
        Entry &entry = m_entries[n];
        if (!entry.policy) {
            return; // the host is down; its callers find another one later
        }
        ++m_outcome.requests;
        m_allowance = std::min(m_limit.burst, m_allowance + m_limit.perSecond * secondsOf(m_now - m_allowedAt));
        m_allowedAt = m_now;
        const bool isAllowed = m_allowance >= 1;
        m_allowance -= isAllowed ? 1 : 0;
        m_outcome.allowed += isAllowed ? 1 : 0;
        const std::uint64_t id = ++m_lastRequest;
        entry.waiting[id] = m_now;
        const QuotaResult result =
            entry.policy->request(static_cast<RequestId>(id), Name, m_limit, m_plan.maxWait, m_now);
        if (result.decision != QuotaDecision::Waiting) {
            decide(entry, result);
        }
        advance(n);
    }

    void decide(Entry &entry, const QuotaResult &result)
    {
        const auto it = entry.waiting.find(static_cast<std::uint64_t>(result.id));
        if (it == entry.waiting.end()) {
            return; // of the other tenant
        }
        m_outcome.longestWait = std::max(m_outcome.longestWait, m_now - it->second);
        entry.waiting.erase(it);
        if (result.decision == QuotaDecision::Admitted) {
            ++m_outcome.admitted;
            m_admittedAt.push_back(m_now);
        }
    }

    void advance(unsigned n)
    {
        Entry &entry = m_entries[n];
        for (const QuotaResult &it : entry.policy->takeDecided(m_now)) {
            decide(entry, it);
        }
        if (std::optional<QuotaCall> call = entry.policy->nextCall(m_now)) {
            sendCall(n, std::move(*call));
        }
        const TimePoint next = m_now + (entry.waiting.empty() ? IdleTickInterval : TickInterval);
        if (entry.tickAt <= m_now || next < entry.tickAt) {
            entry.tickAt = next;
            at(next, [this, n, next, incarnation = entry.incarnation] {
                Entry &it = m_entries[n];
                if (it.policy && it.incarnation == incarnation && it.tickAt == next) {
                    advance(n);
                }
            });
        }
    }

    void sendCall(unsigned n, QuotaCall call)
    {
        ++m_outcome.calls;
        const unsigned control = controlOf(n);
        const auto isAnswered = std::make_shared<bool>(false);
        const Duration way = latency(homeOf(n), control);
        const unsigned incarnation = m_entries[n].incarnation;
        const TimePoint sentAt = m_now;
        const auto isAwaited = [this, n, incarnation, isAnswered] {
            const Entry &it = m_entries[n];
            return it.policy && it.incarnation == incarnation && !*isAnswered;
        };
        const auto fail = [this, n, control, sentAt, isAwaited, isAnswered] {
            if (isAwaited()) {
                *isAnswered = true;
                m_entries[n].avoided[control] = m_now + AvoidTime;
                m_entries[n].policy->recordFailure(sentAt);
                advance(n);
            }
        };
        at(m_now + QuotaCallTimeout, fail);
        if (!reaches(n, control)) {
            return;
        }
        at(m_now + way, [this, n, control, way, sentAt, isAwaited, isAnswered, fail, call = std::move(call)] {
            Control &host = m_controls[control];
            if (!host.issuer) {
                at(m_now + way, fail); // nothing listens while the process restarts
                return;
            }
            const std::uint64_t id = ++host.lastCall;
            host.replies[id] = [this, n, control, way, sentAt, isAwaited, isAnswered](const QuotaReply &reply) {
                at(m_now + way, [this, n, control, sentAt, isAwaited, isAnswered, reply] {
                    if (isAwaited() && reaches(n, control)) {
                        *isAnswered = true;
                        m_entries[n].policy->receive(sentAt, reply, m_now);
                        m_entries[n].avoided[control] = reply.isIssuing ? TimePoint{} : m_now + AvoidTime;
                        advance(n);
                    }
                });
            };
            QuotaEffects effects;
            host.issuer->receive(static_cast<QuotaCallId>(id), call, m_now, effects);
            carryOut(control, effects);
        });
    }

    // Control hosts.

    void startControl(unsigned n)
    {
        Control &control = m_controls[n];
        ++control.incarnation;
        control.replies.clear();
        control.issuer.emplace("control-" + std::to_string(n) + "#" + std::to_string(control.incarnation),
                               m_plan.tolerance, control.incarnation == 1);
        control.issuer->setMembers(m_plan.controlHosts, m_now);
        std::vector<QuotaPeer> peers;
        for (unsigned peer = 0; peer < m_plan.controlHosts; ++peer) {
            if (peer != n) {
                peers.push_back({std::to_string(peer), latency(n, peer) == LatencyInRegion});
            }
        }
        control.issuer->setPeers(peers);
    }

    void crashControl(std::size_t n)
    {
        if (!m_controls[n].issuer) {
            return;
        }
        m_controls[n].issuer.reset();
        at(m_now + DownTime, [this, n] { startControl(static_cast<unsigned>(n)); });
    }

    void tickControl(unsigned n)
    {
        at(std::max(m_now, m_start) + TickInterval, [this, n] {
            if (m_controls[n].issuer) {
                QuotaEffects effects;
                m_controls[n].issuer->tick(m_now, effects);
                carryOut(n, effects);
            }
            tickControl(n);
        });
    }

    void carryOut(unsigned n, const QuotaEffects &effects)
    {
        for (const QuotaEffect &it : effects) {
            if (const auto *reply = std::get_if<SendQuotaReply>(&it)) {
                auto handler = m_controls[n].replies.extract(static_cast<std::uint64_t>(reply->call));
                handler.mapped()(reply->reply);
            } else {
                borrow(n, std::get<BorrowTokens>(it));
            }
        }
    }

    void borrow(unsigned n, const BorrowTokens &effect)
    {
        ++m_outcome.loans;
        const auto peer = static_cast<unsigned>(std::stoul(effect.peer));
        const Duration way = latency(n, peer);
        const auto finish = [this, n, wanted = effect.wanted, sentAt = m_now,
                             incarnation = m_controls[n].incarnation](const std::optional<QuotaLoans> &reply) {
            if (m_controls[n].issuer && m_controls[n].incarnation == incarnation) {
                QuotaEffects effects;
                m_controls[n].issuer->receiveLoan(wanted, reply, sentAt, m_now, effects);
                carryOut(n, effects);
            }
        };
        if (!controlReaches(n, peer) || !m_controls[peer].issuer) {
            at(m_now + QuotaCallTimeout, [finish] { finish(std::nullopt); });
            return;
        }
        at(m_now + way, [this, peer, way, finish, wanted = effect.wanted] {
            std::optional<QuotaLoans> lent;
            if (m_controls[peer].issuer) {
                lent = m_controls[peer].issuer->lend(wanted, m_now);
            }
            at(m_now + way, [finish, lent] { finish(lent); });
        });
    }

    void moveCallers()
    {
        std::ranges::shuffle(m_usedHosts, m_random);
        std::vector<unsigned> all(m_entries.size());
        std::iota(all.begin(), all.end(), 0U);
        std::ranges::shuffle(all, m_random);
        for (std::size_t n = 0; n < m_usedHosts.size() / 2; ++n) {
            m_usedHosts[n] = all[n];
        }
    }

    double maxExcess() const
    {
        double max = -1e9;
        std::size_t first = 0;
        const TimePoint appliesFrom = m_start + m_plan.lowerLimitAt + m_plan.tolerance.window + LoweredLimitDelay;
        const TenantLimit limit = m_plan.lowerLimitAt > Duration(0) ? m_plan.loweredLimit : m_plan.limit;
        const double bound =
            (limit.perSecond * secondsOf(m_plan.tolerance.window) + limit.burst) * (1 + m_plan.tolerance.excess)
            + m_plan.tolerance.slack;
        for (std::size_t n = 0; n < m_admittedAt.size(); ++n) {
            while (m_admittedAt[n] - m_admittedAt[first] > m_plan.tolerance.window) {
                ++first;
            }
            const bool counts = m_plan.lowerLimitAt == Duration(0) || m_admittedAt[n] > appliesFrom;
            if (counts) {
                max = std::max(max, static_cast<double>(n - first + 1) - bound);
            }
        }
        return max;
    }

    QuotaPlan m_plan;
    MakePolicy m_makePolicy;
    std::mt19937_64 m_random;
    TenantLimit m_limit;
    std::uint64_t m_tableVersion = 1;
    double m_allowance; ///< requests that a single host which receives all of them would admit now
    TimePoint m_allowedAt{};
    TimePoint m_now{1000s};
    TimePoint m_start = m_now + LeadTime;
    std::vector<Entry> m_entries;
    std::deque<Control> m_controls;
    std::vector<unsigned> m_usedHosts;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::uint64_t m_lastRequest = 0;
    std::vector<TimePoint> m_admittedAt;
    QuotaOutcome m_outcome;
};

} // namespace pepperlug::fleet::test
