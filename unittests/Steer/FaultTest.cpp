//===- FaultTest.cpp - Faults of the brief, singly and together -----------===//
//
// Each test brings a fault about in the model and checks after every event what must always hold, then what callers
// saw.
//
//===----------------------------------------------------------------------===//
#include "SteerFixture.h"

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

class Scene
{
public:
    explicit Scene(double load, DriverSettings settings = {}, const std::string &owner = "kemal")
        : bundle(exampleBundle(owner))
        , driver(bundle, settings)
        , m_invariants(*bundle)
    {
        setLoad(driver, *bundle, load);
        driver.setObserver([this](const Driver &it) { m_invariants.check(it); });
        driver.run(3s);
        driver.forgetCallers();
    }

    ~Scene()
    {
        m_invariants.require(driver);
    }

    Scene(const Scene &) = delete;
    Scene &operator=(const Scene &) = delete;

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

TEST_CASE("without a fault nearly all is answered")
{
    Scene scene(0.5);
    scene.driver.run(5s);
    CHECK(scene.refusedShare() < 0.01);
    CHECK(scene.failedShare() == 0);
}

TEST_CASE("a region lost at peak: the others take over within caps and links")
{
    Scene scene(0.6);
    scene.driver.killRegion(makeId<RegionId>(0));
    scene.driver.run(6s);
    const CallerView &lost = scene.driver.callers()[0];
    CHECK(lost.answered > lost.requests / 2);
    CHECK(scene.refusedShare() < 0.2);
}

TEST_CASE("two availability zones lost one after the other")
{
    Scene scene(0.4);
    scene.driver.kill(hostId(2));
    scene.driver.run(2s);
    scene.driver.kill(hostId(5));
    scene.driver.run(5s);
    CHECK(scene.refusedShare() < 0.1);
    CHECK(scene.failedShare() < 0.02);
}

TEST_CASE("a zone that is cut off goes on serving its own callers, and comes back")
{
    Scene scene(0.5);
    for (std::size_t n = 1; n < 6; ++n) {
        scene.driver.setCut(zone(0), zone(n), true);
    }
    scene.driver.setControlCut(zone(0), true);
    scene.driver.run(12s);
    CHECK(scene.driver.host(hostId(0))->sliceValid(scene.driver.now()));
    CHECK(scene.refusedShare() < 0.05);
    for (std::size_t n = 1; n < 6; ++n) {
        scene.driver.setCut(zone(0), zone(n), false);
    }
    scene.driver.setControlCut(zone(0), false);
    scene.driver.forgetCallers();
    scene.driver.run(3s);
    CHECK(scene.refusedShare() < 0.02);
}

TEST_CASE("a host cut off from control and from a dead neighbour stops using its slice, and says so")
{
    Scene scene(0.4);
    scene.driver.setControlCut(zone(0), true);
    scene.driver.kill(hostId(1));
    scene.driver.run(10s);
    CHECK_FALSE(scene.driver.host(hostId(0))->sliceValid(scene.driver.now()));
    CHECK(scene.driver.host(hostId(0))->view(ServiceId{}).capacity == 0);
}

TEST_CASE("a host killed while it holds leases, and one killed after it issued them")
{
    DriverSettings settings;
    settings.seed = 4;
    Scene scene(0.5, settings);
    // The first region wants more than it has, so it holds leases of the others.
    scene.driver.setRate(zone(0), ServiceId{}, 1.6 * 8 * 50);
    scene.driver.run(3s);
    scene.driver.kill(hostId(0));
    scene.driver.run(1s);
    scene.driver.kill(hostId(3));
    scene.driver.run(1s);
    scene.driver.restart(hostId(3));
    scene.driver.restart(hostId(0));
    scene.driver.run(5s);
    CHECK(scene.failedShare() < 0.05);
}

TEST_CASE("clocks that run five percent fast or slow")
{
    for (const double rate : {0.95, 1.05}) {
        Scene scene(0.6);
        scene.driver.setClockRate(hostId(0), rate);
        scene.driver.setClockRate(hostId(5), 2 - rate);
        scene.driver.run(6s);
        CHECK(scene.refusedShare() < 0.1);
    }
}

TEST_CASE("lease messages lost, repeated, delayed and out of order")
{
    DriverSettings settings;
    settings.lossShare = 0.3;
    settings.repeatShare = 0.3;
    settings.jitter = 700ms;
    Scene scene(0.6, settings);
    scene.driver.setRate(zone(0), ServiceId{}, 1.4 * 8 * 50);
    scene.driver.run(8s);
    CHECK(scene.refusedShare() < 0.3);
}

TEST_CASE("targets that fail, are stuck, shed, refuse or start cold")
{
    for (const TargetFault fault :
         {TargetFault::Failing, TargetFault::Stuck, TargetFault::Shedding, TargetFault::Refusing, TargetFault::Slow}) {
        Scene scene(0.4);
        const TargetId target = scene.bundle->services[0].targets[0];
        scene.driver.setFault(target, fault);
        scene.driver.run(8s);
        INFO("fault " << static_cast<int>(fault));
        CHECK(scene.refusedShare() < 0.05);
        CHECK(scene.failedShare() < 0.01);
    }
}

TEST_CASE("a failing target is left out, and comes back")
{
    Scene scene(0.4);
    const TargetId target = scene.bundle->services[0].targets[0];
    scene.driver.setFault(target, TargetFault::Failing);
    scene.driver.run(2s);
    CHECK(scene.driver.host(hostId(0))->view(target).ejected);
    scene.driver.setFault(target, TargetFault::None);
    scene.driver.run(60s);
    CHECK_FALSE(scene.driver.host(hostId(0))->view(target).ejected);
}

TEST_CASE("reports that lie: healthy when failing, full when idle")
{
    Scene scene(0.4);
    const TargetId failing = scene.bundle->services[0].targets[0];
    const TargetId slandered = scene.bundle->services[0].targets[1];
    scene.driver.setFault(failing, TargetFault::Failing);
    for (int n = 0; n < 30; ++n) {
        scene.driver.inject(hostId(0), TargetReported{failing, true, 0, false});
        scene.driver.inject(hostId(0), TargetReported{slandered, false, 1, false});
        scene.driver.run(100ms);
    }
    CHECK(scene.driver.host(hostId(0))->view(failing).ejected);
    CHECK_FALSE(scene.driver.host(hostId(0))->view(slandered).ejected);
    CHECK(scene.refusedShare() < 0.05);
}

TEST_CASE("reports stop: what requests showed is enough")
{
    Scene scene(0.4);
    scene.driver.inject(hostId(0), TargetReported{scene.bundle->services[0].targets[1], false, 1, false});
    scene.driver.run(8s);
    CHECK(scene.refusedShare() < 0.02);
}

TEST_CASE("all look-up answers end at once")
{
    Scene scene(0.6);
    for (int n = 0; n < 5; ++n) {
        scene.driver.endAllCaches();
        scene.driver.run(500ms);
    }
    CHECK(scene.refusedShare() < 0.05);
}

TEST_CASE("a drained target gets no work after two seconds and becomes idle, also while a region is lost")
{
    Scene scene(0.5);
    const TargetId target = scene.bundle->services[0].targets[4 * 2];
    scene.driver.drain(scene.bundle->targets[idx(target)].name);
    scene.driver.killRegion(makeId<RegionId>(0));
    scene.driver.run(3s);
    CHECK(scene.driver.runningAt(target) == 0);
    CHECK(scene.driver.lateDispatches() == 0);
    scene.driver.run(2s);
    CHECK(scene.driver.runningAt(target) == 0);
}

TEST_CASE("faults together and twice: cut, loss, drain, caches, restarts")
{
    DriverSettings settings;
    settings.lossShare = 0.1;
    settings.jitter = 200ms;
    settings.seed = 9;
    Scene scene(0.6, settings, "liftcoop");
    for (int round = 0; round < 2; ++round) {
        scene.driver.setCut(zone(1), zone(3), true);
        scene.driver.setControlCut(zone(4), true);
        scene.driver.kill(hostId(2));
        scene.driver.endAllCaches();
        scene.driver.run(2s);
        scene.driver.drain(scene.bundle->targets[static_cast<std::size_t>(round) + 8].name);
        scene.driver.restart(hostId(2));
        scene.driver.restart(hostId(4));
        scene.driver.run(2s);
        scene.driver.setCut(zone(1), zone(3), false);
        scene.driver.setControlCut(zone(4), false);
        scene.driver.run(1s);
    }
    CHECK(scene.failedShare() < 0.05);
}
