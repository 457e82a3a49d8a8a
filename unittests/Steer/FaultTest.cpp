//===- FaultTest.cpp - Single and combined faults -------------------------===//
//
// Each test injects faults into the model, checks the invariants after every event, and then checks the results of
// requests or the state of hosts.
//
//===----------------------------------------------------------------------===//
#include "SteerFixture.h"

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

class FaultScenario
{
public:
    explicit FaultScenario(double load, DriverSettings settings = {}, const std::string &owner = "kemal")
        : bundle(exampleBundle(owner))
        , driver(bundle, settings)
        , m_invariants(*bundle)
    {
        setLoad(driver, *bundle, load);
        driver.setObserver([this](const Driver &it) { m_invariants.check(it); });
        driver.run(3s);
        driver.forgetCallers();
    }

    ~FaultScenario()
    {
        m_invariants.require(driver);
    }

    FaultScenario(const FaultScenario &) = delete;
    FaultScenario &operator=(const FaultScenario &) = delete;

    double refusedShare() const
    {
        const CallerView all = sum(driver.callers());
        return static_cast<double>(all.refused) / static_cast<double>(all.requests);
    }

    double failedShare() const
    {
        const CallerView all = sum(driver.callers());
        return static_cast<double>(all.failed) / static_cast<double>(all.requests);
    }

    BundlePtr bundle;
    Driver driver;

private:
    Invariants m_invariants;
};

constexpr ZoneId zone(std::size_t n)
{
    return makeId<ZoneId>(n);
}

constexpr HostId hostId(std::size_t n)
{
    return makeId<HostId>(n);
}

} // namespace

TEST_CASE("without a fault nearly all requests are answered")
{
    FaultScenario scenario(0.5);
    scenario.driver.run(5s);
    CHECK(scenario.refusedShare() < 0.01);
    CHECK(scenario.failedShare() == 0);
}

TEST_CASE("after the loss of a region at peak load the others take over within shift caps and link limits")
{
    FaultScenario scenario(0.6);
    scenario.driver.killRegion(makeId<RegionId>(0));
    scenario.driver.run(6s);
    const CallerView &lost = scenario.driver.callers()[0];
    CHECK(lost.answered > lost.requests / 2);
    CHECK(scenario.refusedShare() < 0.2);
}

TEST_CASE("two availability zones are lost one after the other")
{
    FaultScenario scenario(0.4);
    scenario.driver.kill(hostId(2));
    scenario.driver.run(2s);
    scenario.driver.kill(hostId(5));
    scenario.driver.run(5s);
    CHECK(scenario.refusedShare() < 0.1);
    CHECK(scenario.failedShare() < 0.02);
}

TEST_CASE("a zone that is cut off still serves its own callers, and recovers")
{
    FaultScenario scenario(0.5);
    for (std::size_t n = 1; n < 6; ++n) {
        scenario.driver.setCut(zone(0), zone(n), true);
    }
    scenario.driver.setControlCut(zone(0), true);
    scenario.driver.run(12s);
    CHECK(scenario.driver.host(hostId(0))->sliceValid(scenario.driver.now()));
    CHECK(scenario.refusedShare() < 0.05);
    for (std::size_t n = 1; n < 6; ++n) {
        scenario.driver.setCut(zone(0), zone(n), false);
    }
    scenario.driver.setControlCut(zone(0), false);
    scenario.driver.forgetCallers();
    scenario.driver.run(3s);
    CHECK(scenario.refusedShare() < 0.02);
}

TEST_CASE("a host that reaches neither control hosts nor the other host of its zone stops using its slice")
{
    FaultScenario scenario(0.4);
    scenario.driver.setControlCut(zone(0), true);
    scenario.driver.kill(hostId(1));
    scenario.driver.run(10s);
    CHECK_FALSE(scenario.driver.host(hostId(0))->sliceValid(scenario.driver.now()));
    CHECK(scenario.driver.host(hostId(0))->view(ServiceId{}).capacity == 0);
}

TEST_CASE("a host is killed while it holds leases, and one after it issued leases")
{
    DriverSettings settings;
    settings.seed = 4;
    FaultScenario scenario(0.5, settings);
    // Demand in the first region exceeds its capacity, so its hosts hold leases of other regions.
    scenario.driver.setRate(zone(0), ServiceId{}, 1.6 * 8 * 50);
    scenario.driver.run(3s);
    scenario.driver.kill(hostId(0));
    scenario.driver.run(1s);
    scenario.driver.kill(hostId(3));
    scenario.driver.run(1s);
    scenario.driver.restart(hostId(3));
    scenario.driver.restart(hostId(0));
    scenario.driver.run(5s);
    CHECK(scenario.failedShare() < 0.05);
}

TEST_CASE("clocks run five percent fast or slow")
{
    for (const double rate : {0.95, 1.05}) {
        FaultScenario scenario(0.6);
        scenario.driver.setClockRate(hostId(0), rate);
        scenario.driver.setClockRate(hostId(5), 2 - rate);
        scenario.driver.run(6s);
        CHECK(scenario.refusedShare() < 0.1);
    }
}

TEST_CASE("lease messages are lost, repeated, delayed and reordered")
{
    DriverSettings settings;
    settings.lossShare = 0.3;
    settings.repeatShare = 0.3;
    settings.jitter = 700ms;
    FaultScenario scenario(0.6, settings);
    scenario.driver.setRate(zone(0), ServiceId{}, 1.4 * 8 * 50);
    scenario.driver.run(8s);
    CHECK(scenario.refusedShare() < 0.3);
}

TEST_CASE("targets fail, hang, shed, refuse connections or are slow")
{
    for (const TargetFault fault :
         {TargetFault::Failing, TargetFault::Stuck, TargetFault::Shedding, TargetFault::Refusing, TargetFault::Slow}) {
        FaultScenario scenario(0.4);
        const TargetId target = scenario.bundle->services[0].targets[0];
        scenario.driver.setFault(target, fault);
        scenario.driver.run(8s);
        INFO("fault " << static_cast<int>(fault));
        CHECK(scenario.refusedShare() < 0.05);
        CHECK(scenario.failedShare() < 0.01);
    }
}

TEST_CASE("a failing target is ejected, and is used again after it recovers")
{
    FaultScenario scenario(0.4);
    const TargetId target = scenario.bundle->services[0].targets[0];
    scenario.driver.setFault(target, TargetFault::Failing);
    scenario.driver.run(2s);
    CHECK(scenario.driver.host(hostId(0))->view(target).ejected);
    scenario.driver.setFault(target, TargetFault::None);
    scenario.driver.run(60s);
    CHECK_FALSE(scenario.driver.host(hostId(0))->view(target).ejected);
}

TEST_CASE("wrong reports: healthy from a failing target, full from an idle one")
{
    FaultScenario scenario(0.4);
    const TargetId failing = scenario.bundle->services[0].targets[0];
    const TargetId misreported = scenario.bundle->services[0].targets[1];
    scenario.driver.setFault(failing, TargetFault::Failing);
    for (int n = 0; n < 30; ++n) {
        scenario.driver.inject(hostId(0), TargetReported{failing, true, 0, false});
        scenario.driver.inject(hostId(0), TargetReported{misreported, false, 1, false});
        scenario.driver.run(100ms);
    }
    CHECK(scenario.driver.host(hostId(0))->view(failing).ejected);
    CHECK_FALSE(scenario.driver.host(hostId(0))->view(misreported).ejected);
    CHECK(scenario.refusedShare() < 0.05);
}

TEST_CASE("reports stop: the results of requests are sufficient")
{
    FaultScenario scenario(0.4);
    scenario.driver.inject(hostId(0), TargetReported{scenario.bundle->services[0].targets[1], false, 1, false});
    scenario.driver.run(8s);
    CHECK(scenario.refusedShare() < 0.02);
}

TEST_CASE("all look-up answers expire at once")
{
    FaultScenario scenario(0.6);
    for (int n = 0; n < 5; ++n) {
        scenario.driver.endAllCaches();
        scenario.driver.run(500ms);
    }
    CHECK(scenario.refusedShare() < 0.05);
}

TEST_CASE("a drained target gets no requests after two seconds and becomes idle, also while a region is lost")
{
    FaultScenario scenario(0.5);
    const TargetId target = scenario.bundle->services[0].targets[4 * 2];
    scenario.driver.drain(scenario.bundle->targets[idx(target)].name);
    scenario.driver.killRegion(makeId<RegionId>(0));
    scenario.driver.run(3s);
    CHECK(scenario.driver.runningAt(target) == 0);
    CHECK(scenario.driver.lateDispatches() == 0);
    scenario.driver.run(2s);
    CHECK(scenario.driver.runningAt(target) == 0);
}

TEST_CASE("combined faults, twice: partitions, message loss, drains, expired look-up answers and restarts")
{
    DriverSettings settings;
    settings.lossShare = 0.1;
    settings.jitter = 200ms;
    settings.seed = 9;
    FaultScenario scenario(0.6, settings, "liftcoop");
    for (int round = 0; round < 2; ++round) {
        scenario.driver.setCut(zone(1), zone(3), true);
        scenario.driver.setControlCut(zone(4), true);
        scenario.driver.kill(hostId(2));
        scenario.driver.endAllCaches();
        scenario.driver.run(2s);
        scenario.driver.drain(scenario.bundle->targets[static_cast<std::size_t>(round) + 8].name);
        scenario.driver.restart(hostId(2));
        scenario.driver.restart(hostId(4));
        scenario.driver.run(2s);
        scenario.driver.setCut(zone(1), zone(3), false);
        scenario.driver.setControlCut(zone(4), false);
        scenario.driver.run(1s);
    }
    CHECK(scenario.failedShare() < 0.05);
}
