//===- LimitedRegionTest.cpp - Regions whose targets all have limits ------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr Duration Work = 5ms;
constexpr Duration LimitAt = 10s;

/// The one entry host of "r1" with two targets that ask for 17 and 19 requests a second from LimitAt on, beside four
/// targets without a limit in "r2". Its own callers are the only demand, and it is reported every second.
class LimitedRegion
{
public:
    explicit LimitedRegion(Duration interval)
        : m_interval(interval)
    {
        m_host.useTable();
        m_host.report(Host::targetOf("limited-17", "z1", 4));
        m_host.report(Host::targetOf("limited-19", "z2", 4));
        for (int n = 0; n < 4; ++n) {
            m_host.report(Host::targetOf("far-" + std::to_string(n), "z3", 4));
        }
        m_host.report(Host::entryOf("e-1", "z1"));
    }

    struct Counts {
        unsigned own = 0; ///< requests that the own region's targets got
        unsigned refused = 0;
        unsigned all = 0;
    };

    Counts run(Duration length)
    {
        Counts counts;
        for (const TimePoint end = m_host.now + length; m_host.now < end; m_host.now += m_interval - Work) {
            if (m_host.now >= m_demandAt) {
                reportDemand();
            }
            m_host.reduce(BalanceTick{});
            const std::string target = send();
            counts.own += target.starts_with("limited") ? 1 : 0;
            counts.refused += target.empty() ? 1 : 0;
            ++counts.all;
        }
        return counts;
    }

    /// Both targets of the own region ask the host for rest.
    void rest(Duration length)
    {
        for (const char *target : {"limited-17", "limited-19"}) {
            TargetSignalled event{{target, 0ms}, {}, m_host.now};
            event.signal.backOff = length;
            m_host.reduce(event);
        }
    }

private:
    void reportDemand()
    {
        m_demandAt = m_host.now + 1s;
        ReportsChanged event;
        for (const ServiceDemand &it : m_host.balancer.demand(m_host.now)) {
            event.demand.push_back({"r1", it.service, it.slots, 0});
        }
        m_host.reduce(event);
    }

    /// Sends a request that is answered after Work. Returns the target; empty if the request was refused.
    std::string send()
    {
        const RequestId id = m_host.request("/once/" + std::to_string(m_host.lastRequest));
        const auto *attempt = m_host.find<StartAttempt>();
        std::string target = attempt != nullptr ? attempt->target : std::string();
        const TimePoint sentAt = m_host.now;
        m_host.now += Work;
        if (target.starts_with("limited") && sentAt >= m_start + LimitAt) {
            TargetSignalled signalled{{target, 0ms}, {}, sentAt};
            signalled.signal.rateLimit = target == "limited-17" ? 17 : 19;
            m_host.reduce(signalled);
        }
        if (!target.empty()) {
            m_host.end(id, 1, AttemptOutcome::Answered);
        }
        return target;
    }

    static BalanceSettings settings()
    {
        BalanceSettings it = Host::settingsOf("z1", 1);
        it.host = "e-1";
        return it;
    }

    Host m_host{settings()};
    Duration m_interval;
    TimePoint m_start = m_host.now;
    TimePoint m_demandAt = m_host.now;
};

} // namespace

// Guards against targets that get nothing until their limits lapse, as the plan takes an idle service for a full one.
TEST_CASE("targets whose limits exceed the region's small demand get requests")
{
    const bool rests = GENERATE(false, true);
    CAPTURE(rests);
    LimitedRegion region(50ms);
    region.run(LimitAt + 1s);
    if (rests) {
        region.rest(2s);
        region.run(14s); // its share returns at the bounded rate
    }
    for (int n = 0; n < 8; ++n) {
        const LimitedRegion::Counts counts = region.run(5s);
        CAPTURE(n, counts.own, counts.all);
        CHECK(counts.own >= counts.all * 0.4);
    }
}

// Guards against requests that are refused because a region keeps more callers than its targets' limits allow.
TEST_CASE("requests that exceed the limits of targets are served in another region")
{
    LimitedRegion region(10ms);
    region.run(LimitAt + 15s);
    for (int n = 0; n < 8; ++n) {
        const LimitedRegion::Counts counts = region.run(5s);
        CAPTURE(n, counts.own, counts.refused, counts.all);
        CHECK(counts.refused <= counts.all * 0.01);
    }
}
