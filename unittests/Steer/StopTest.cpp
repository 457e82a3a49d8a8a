//===- StopTest.cpp - Planned stops of a host under a bundle --------------===//
#include "SteerFixture.h"

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

/// One entry host that sends requests to the nearest target, and whose targets answer when told.
class StoppingHost
{
public:
    explicit StoppingHost(Duration untilLastAnswer)
        : bundle(exampleBundle("kemal"))
        , m_steering(settingsOf(*bundle), now)
    {
        reduce(ConfigApplied{bundle, 1, {}, {}, {}});
        now += 30s; // the leases of an owner before are over
        reduce(ControlReplied{1});
        for (std::size_t n = 0; n < bundle->targets.size(); ++n) {
            reduce(TargetReported{makeId<TargetId>(n), true, 0, false});
        }
        reduce(Tick{});
        times = {now + untilLastAnswer, now + untilLastAnswer + 200ms};
    }

    void reduce(const Event &event)
    {
        effects.clear();
        m_steering.reduce(event, now, effects);
    }

    RequestId request(Duration deadline, RouteClass cls = RouteClass::Plain, const std::string &key = {})
    {
        RequestArrived event;
        event.cls = cls;
        event.key = key;
        event.id = makeId<RequestId>(++m_lastRequest);
        event.deadline = now + deadline;
        reduce(event);
        return event.id;
    }

    template <typename Effect>
    const Effect *find() const
    {
        for (const auto &it : effects) {
            if (const auto *effect = std::get_if<Effect>(&it)) {
                return effect;
            }
        }
        return nullptr;
    }

    bool isReadyToExit()
    {
        reduce(Tick{});
        return find<StopReady>() != nullptr;
    }

    BundlePtr bundle;
    TimePoint now{1000s};
    Effects effects;

    StopTimes times;

private:
    static SteerSettings settingsOf(const Bundle &bundle)
    {
        SteerSettings settings;
        settings.hostName = bundle.hosts.front().name;
        settings.strategy = Strategy::NearestOnly;
        return settings;
    }

    Steering m_steering;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

// Guards against requests that a stopping host sends to a target and that its exit cuts.
TEST_CASE("a stopping host under a bundle refuses a request that may outlive it")
{
    StoppingHost host(1s);
    host.reduce(StopRequested{host.times});
    host.request(1500ms);
    REQUIRE(host.find<Refuse>() != nullptr);
    CHECK(host.find<Refuse>()->outcome == Outcome::NotRun);
    CHECK(host.find<Refuse>()->reason == Reason::Leaving);
    host.request(900ms);
    CHECK(host.find<Dispatch>() != nullptr);
}

// Guards against a stop that does not end while a request is in progress, until the process is killed.
TEST_CASE("a stop under a bundle ends with its time, whatever is in progress")
{
    StoppingHost host(4s);
    host.request(10s);
    REQUIRE(host.find<Dispatch>() != nullptr);
    host.reduce(StopRequested{host.times});
    while (!host.isReadyToExit()) {
        host.now += 10ms;
        REQUIRE(host.now <= host.times.exitAt);
    }
    CHECK(host.now == host.times.exitAt);
    host.request(100ms);
    REQUIRE(host.find<Refuse>() != nullptr);
    CHECK(host.find<Refuse>()->reason == Reason::Leaving);
}

// Guards against a request that waits for a slot while its host stops, is sent late and cut.
TEST_CASE("a stop under a bundle refuses what is queued and may outlive it")
{
    StoppingHost host(1s);
    RequestId last{};
    do {
        last = host.request(3s);
        REQUIRE(host.find<Refuse>() == nullptr);
    } while (host.find<Dispatch>() != nullptr);
    host.reduce(StopRequested{host.times});
    REQUIRE(host.find<Refuse>() != nullptr);
    CHECK(host.find<Refuse>()->id == last);
    CHECK(host.find<Refuse>()->outcome == Outcome::NotRun);
    CHECK(host.find<Refuse>()->reason == Reason::Leaving);
}

// Guards against a request that may have run and whose caller is told nothing when its host exits.
TEST_CASE("a stop under a bundle tells what is still in progress that it may have run")
{
    StoppingHost host(1s);
    const RequestId open = host.request(10s);
    REQUIRE(host.find<Dispatch>() != nullptr);
    host.reduce(StopRequested{host.times});
    host.now = host.times.exitAt;
    REQUIRE(host.isReadyToExit());
    REQUIRE(host.find<Refuse>() != nullptr);
    CHECK(host.find<Refuse>()->id == open);
    CHECK(host.find<Refuse>()->outcome == Outcome::Unknown);
    CHECK(host.find<Refuse>()->reason == Reason::Leaving);
}
