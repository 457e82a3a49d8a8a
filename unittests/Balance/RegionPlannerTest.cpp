//===- RegionPlannerTest.cpp - Plans of all regions after losses ----------===//
#include "Balance/RegionPlanner.h"
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr double MaxShift = 0.15; ///< BalanceSettings::maxShift
constexpr double Tolerance = 1e-9;

const BalanceSettings &settings()
{
    static const BalanceSettings All = [] {
        BalanceSettings it;
        it.regionOfZone = {{"z1", "small"}, {"z2", "medium"}, {"z3", "large"}};
        return it;
    }();
    return All;
}

/// Entry hosts of three regions, which plan for the same capacity and demand at different times.
class Regions
{
public:
    explicit Regions(bool followsLosses)
        : m_followsLosses(followsLosses)
    {
        restartHosts();
    }

    void restartHosts()
    {
        m_hosts.clear();
        for (const std::string region : {"small", "medium", "large"}) {
            for (int n = 0; n < HostsPerRegion; ++n) {
                m_hosts.emplace_back(region, RegionPlanner(settings(), region));
            }
        }
    }

    /// Lets each host plan every 200 ms. Returns the losses that were followed.
    std::vector<RegionLoss> run(Milliseconds length)
    {
        std::vector<RegionLoss> losses;
        for (const TimePoint end = now + length; now < end; now += Interval) {
            Milliseconds offset{0};
            for (auto &[region, planner] : m_hosts) {
                for (const RegionLoss &it : planner.update("s", {slots, demand, {}}, m_followsLosses, now + offset)) {
                    losses.push_back(it);
                }
                offset += 20ms;
            }
        }
        return losses;
    }

    /// Share of the small region's callers that it serves.
    double ownShare() const
    {
        const RegionShares shares = m_hosts.front().second.shares().at("s");
        const auto it = shares.find("small");
        return it == shares.end() ? 0 : it->second;
    }

    /// Requests that all plans together bring to a region's targets, over its slots.
    double utilization(const std::string &region) const
    {
        double load = 0;
        for (const auto &[from, planner] : m_hosts) {
            const RegionShares shares = planner.shares().at("s");
            const auto it = shares.find(region);
            load += it == shares.end() ? 0 : it->second * callers.at(from) / HostsPerRegion;
        }
        return load / slots.at(region);
    }

    /// Runs for 10 s and returns the largest part of the small region's callers that moved in any 2 s.
    double largestShift()
    {
        std::vector<double> shares{ownShare()};
        double largest = 0;
        for (int n = 0; n < 50; ++n) {
            run(Interval);
            shares.push_back(ownShare());
            const std::size_t before = shares.size() > 10 ? shares.size() - 11 : 0;
            largest = std::max(largest, std::abs(shares.back() - shares[before]));
        }
        return largest;
    }

    static constexpr int HostsPerRegion = 3;
    static constexpr Milliseconds Interval{200};
    /// A tenth of the slots for a third of the callers.
    RegionSlots slots{{"small", 20}, {"medium", 80}, {"large", 100}};
    RegionSlots callers{{"small", 47}, {"medium", 47}, {"large", 47}};
    RegionSlots demand = callers; ///< as reported
    TimePoint now{1000s};

private:
    bool m_followsLosses;
    std::vector<std::pair<std::string, RegionPlanner>> m_hosts;
};

/// An entry host with ten targets in its region "r1", half of them in zone "z2", and ten in "r2".
class PacedHost : public Host
{
public:
    explicit PacedHost(LossFollowing following)
        : Host(settingsWith(following))
    {
        useTable();
        for (int n = 0; n < 10; ++n) {
            report(targetOf("a" + std::to_string(n), n < 5 ? "z1" : "z2"));
            report(targetOf("b" + std::to_string(n), "z3"));
        }
        now += 300ms;
        reduce(BalanceTick{});
    }

    static BalanceSettings settingsWith(LossFollowing following)
    {
        BalanceSettings it = settingsOf("z1", 1);
        it.policy.lossFollowing = following;
        return it;
    }

    void answer(std::optional<unsigned> pace)
    {
        const RequestId id = request("/read/1");
        reduce(AttemptEnded{id, 1, AttemptOutcome::Answered, TargetLoad{1, 0, 4, pace}, 0});
    }

    /// Returns the loss that is followed when half of the region's targets are evacuated.
    const RegionLossFollowed *evacuate()
    {
        now += 10s;
        useTable({"z2"});
        return find<RegionLossFollowed>();
    }
};

} // namespace

// Guards against queues in a region that an evacuation has halved: at the bounded rate its targets had two to three
// times as many requests as slots for 8 s.
TEST_CASE("plans follow an evacuation that halves the smallest region at once")
{
    Regions regions(true);
    regions.run(20s);
    regions.slots["small"] = 10;
    const std::vector<RegionLoss> losses = regions.run(Regions::Interval);
    CHECK(regions.utilization("small") < 0.8);
    REQUIRE(losses.size() == 3 * Regions::HostsPerRegion);
    CHECK(losses.front().region == "small");
    CHECK(losses.front().before == Approx(20).epsilon(0.03));
    CHECK(losses.front().now == 10);
    // A loss is followed and reported once, not until the former capacity has faded.
    CHECK(regions.run(20s).empty());
}

// Guards against decisions that change where the setting is off.
TEST_CASE("without the setting, plans move at the bounded rate after an evacuation")
{
    Regions regions(false);
    regions.run(20s);
    const double before = regions.ownShare();
    regions.slots["small"] = 10;
    CHECK(regions.run(Regions::Interval).empty());
    CHECK(before - regions.ownShare() == Approx(MaxShift / 4 * 0.2));
    CHECK(regions.largestShift() <= MaxShift + Tolerance);
    CHECK(regions.utilization("small") < 0.8);
}

// Guards against losses that are missed because each of them is small: silent targets are reported one after the other.
TEST_CASE("plans follow losses that are reported one after the other within 2 s")
{
    Regions regions(true);
    regions.run(20s);
    for (int lost = 0; lost < 5; ++lost) {
        regions.slots["small"] -= 2;
        regions.run(400ms);
    }
    CHECK(regions.utilization("small") < 0.8);
}

// Guards against shifts of traffic in calm, which meet cold caches.
TEST_CASE("plans move at the bounded rate after the loss of less than a fifth of a region and when demand rises")
{
    Regions regions(true);
    regions.run(20s);
    SECTION("small loss")
    {
        regions.slots["small"] = 16.5;
    }
    SECTION("more demand in all regions")
    {
        regions.demand = {{"small", 20}, {"medium", 20}, {"large", 20}};
        regions.run(30s);
        regions.demand = regions.callers;
    }
    SECTION("more demand in the smallest region")
    {
        regions.demand["small"] *= 1.7;
    }
    SECTION("a region that gains targets")
    {
        regions.slots["small"] = 60;
    }
    const double before = regions.ownShare();
    CHECK(regions.largestShift() <= MaxShift + Tolerance);
    CHECK(std::abs(regions.ownShare() - before) > 0.01);
}

// Guards against callers who all return at once to targets with cold caches: when targets are back soon after their
// loss, when a loss was reported wrongly, and when a region was empty for long.
TEST_CASE("a region that regains targets gets its share back at the bounded rate")
{
    const auto [left, outage] =
        GENERATE(std::make_pair(10.0, 2000ms), std::make_pair(10.0, 20000ms), std::make_pair(10.0, 200ms),
                 std::make_pair(0.0, 2000ms), std::make_pair(0.0, 30000ms), std::make_pair(1.0, 8000ms));
    CAPTURE(left, outage.count());
    Regions regions(true);
    regions.run(20s);
    const double before = regions.ownShare();
    regions.slots["small"] = left;
    regions.run(outage);
    const double during = regions.ownShare();
    CHECK(during < 0.7 * before);
    regions.slots["small"] = 20;
    CHECK(regions.largestShift() <= MaxShift + Tolerance);
    CHECK(regions.ownShare() == Approx(before).epsilon(0.05));
}

// Guards against queues in the smallest region after a restart of all hosts: the first reports of demand come from a
// few hosts, and by them the region keeps all of its callers, three times as many as it has slots for.
TEST_CASE("after a restart of all hosts, small first reports of demand do not fill the smallest region")
{
    Regions regions(true);
    for (const double reported : {0.0, 2.0, 5.0, 11.0, 20.0, 33.0, 47.0}) {
        for (auto &[region, demand] : regions.demand) {
            demand = reported;
        }
        regions.run(800ms);
        CAPTURE(reported);
        CHECK(regions.utilization("small") <= 1);
    }
    regions.run(10s);
    CHECK(regions.utilization("small") < 0.8);
}

// Guards against an assumed demand that has ended before there is a plan: the routing arrives before the first targets.
TEST_CASE("the time after the first plan begins when there are targets")
{
    Regions regions(true);
    const RegionSlots slots = std::exchange(regions.slots, {});
    regions.demand.clear();
    regions.run(10s);
    regions.slots = slots;
    for (const auto &[region, callers] : regions.callers) {
        regions.demand[region] = 5;
    }
    regions.run(2s);
    CHECK(regions.utilization("small") <= 1);
}

// Load: hosts have planned for long when the first callers arrive. Guards against small first reports of demand that
// keep all callers of the smallest region there.
TEST_CASE("the first reports of demand do not fill the smallest region when traffic begins long after the first plan")
{
    Regions regions(true);
    regions.demand.clear();
    regions.run(20s);
    for (const double reported : {2.0, 2.0, 5.0, 5.0, 11.0, 20.0, 33.0}) {
        for (const auto &[region, callers] : regions.callers) {
            regions.demand[region] = reported;
        }
        regions.run(800ms);
        CAPTURE(reported);
        CHECK(regions.utilization("small") <= 1);
    }
}

// Guards against a shift in calm: the slots that a target's rate limit leaves change with the service time.
TEST_CASE("fewer slots by rate limits are not followed like a loss")
{
    RegionPlanner planner(settings(), "small");
    const RegionSlots slots{{"small", 20}, {"medium", 80}, {"large", 100}};
    const RegionSlots demand{{"small", 47}, {"medium", 47}, {"large", 47}};
    TimePoint now(1000s);
    const auto update = [&](double limited) {
        return planner.update("s", {{{"small", limited}, {"medium", 80}, {"large", 100}}, demand, {}, slots}, true,
                              now);
    };
    for (const TimePoint end = now + 20s; now < end; now += 200ms) {
        CHECK(update(20).empty());
    }
    const double before = planner.shares().at("s").at("small");
    CHECK(update(10).empty());
    CHECK(before - planner.shares().at("s").at("small") <= MaxShift / 4 * 0.2 + Tolerance);
}

// Guards against regions that get more than their slots because the hosts of all regions move callers to them.
TEST_CASE("plans of several hosts together keep each region's load within its slots")
{
    const std::string lost = GENERATE("small", "medium", "large");
    const double part = GENERATE(0.5, 0.7);
    CAPTURE(lost, part);
    Regions regions(true);
    regions.run(20s);
    regions.slots[lost] *= part;
    for (int n = 0; n < 50; ++n) {
        regions.run(Regions::Interval);
        for (const auto &[region, slots] : regions.slots) {
            CAPTURE(n, region);
            CHECK(regions.utilization(region) <= 1);
        }
    }
}

// Guards against a shift in calm when the first target reports a pace: the present plan is not a first one.
TEST_CASE("a host that begins to follow losses does not adopt its plan at once")
{
    RegionPlan plan(MaxShift / 4);
    const RegionSlots slots{{"a", 10}, {"b", 10}};
    plan.moveTowards({{"a", 1}}, slots, TimePoint(1000s), false);
    plan.moveTowards({{"a", 1}}, slots, TimePoint(1019s), false);
    plan.moveTowards({{"a", 0.5}, {"b", 0.5}}, slots, TimePoint(1020s), true);
    CHECK(plan.shares().at("b") == Approx(MaxShift / 4));
}

// Guards against new behavior where settings do not call for it, and against a loss that operators can't see.
TEST_CASE("an entry host follows losses by its setting, and reports them")
{
    CHECK(PacedHost(LossFollowing::Off).evacuate() == nullptr);
    PacedHost on(LossFollowing::On);
    const RegionLossFollowed *loss = on.evacuate();
    REQUIRE(loss != nullptr);
    CHECK(loss->service == "s");
    CHECK(loss->region == "r1");
    CHECK(loss->slotsBefore > 30);
    CHECK(loss->slotsNow == 20);
    CHECK(on.balancer.regionShares().at("s").contains("r1"));
}

// Guards against losses that are followed where targets have machines of their own, and against a pace that is not
// read.
TEST_CASE("an entry host with the setting \"paced\" follows losses once a target has reported a pace")
{
    PacedHost without(LossFollowing::Paced);
    without.answer({});
    CHECK(without.evacuate() == nullptr);
    PacedHost with(LossFollowing::Paced);
    with.answer(100);
    CHECK(with.evacuate() != nullptr);
    PacedHost off(LossFollowing::Off);
    off.answer(250);
    CHECK(off.evacuate() == nullptr);
}
