//===- Steer.cpp - Policies side by side under faults ---------------------===//
#include "Measures.h"

#include <algorithm>
#include <iostream>

namespace pepperlug
{

namespace
{

constexpr Duration SampleInterval = Milliseconds(20);
constexpr auto WarmUp = std::chrono::seconds(5);
constexpr auto ServiceTime = Milliseconds(20);

struct Scenario {
    const char *name;
    double load; ///< share of all slots that callers need
    void (*fault)(Driver &driver, const Bundle &bundle);
};

void noFault(Driver &, const Bundle &)
{
}

void loseRegion(Driver &driver, const Bundle &)
{
    driver.killRegion(makeId<RegionId>(0));
}

void loseZone(Driver &driver, const Bundle &bundle)
{
    for (const HostId host : bundle.zones[0].hosts) {
        driver.kill(host);
    }
}

void endCaches(Driver &driver, const Bundle &)
{
    driver.endAllCaches();
}

void failTargets(Driver &driver, const Bundle &bundle)
{
    for (std::size_t n = 0; n < bundle.targets.size(); n += 6) {
        driver.setFault(makeId<TargetId>(n), TargetFault::Failing);
    }
}

void slowTargets(Driver &driver, const Bundle &bundle)
{
    for (std::size_t n = 0; n < bundle.targets.size(); n += 6) {
        driver.setFault(makeId<TargetId>(n), TargetFault::Slow);
    }
}

void cutZones(Driver &driver, const Bundle &bundle)
{
    for (std::size_t n = 1; n < bundle.zones.size(); ++n) {
        driver.setCut(makeId<ZoneId>(0), makeId<ZoneId>(n), true);
    }
    driver.setControlCut(makeId<ZoneId>(0), true);
}

/// The first region's callers want more than their region has; the others have room.
void surge(Driver &driver, const Bundle &bundle)
{
    for (std::size_t zone = 0; zone < bundle.zones.size(); ++zone) {
        if (bundle.regionOf(makeId<ZoneId>(zone)) != makeId<RegionId>(0)) {
            continue;
        }
        for (std::size_t service = 0; service < bundle.services.size(); ++service) {
            unsigned slots = 0;
            for (const TargetId target : bundle.services[service].targets) {
                slots +=
                    bundle.targets[idx(target)].zone == makeId<ZoneId>(zone) ? bundle.targets[idx(target)].slots : 0;
            }
            const double perSlot = 1 / std::chrono::duration<double>(ServiceTime).count();
            driver.setRate(makeId<ZoneId>(zone), makeId<ServiceId>(service), 1.3 * slots * perSlot);
        }
    }
}

void setLoad(Driver &driver, const Bundle &bundle, double load)
{
    const double perSlot = 1 / std::chrono::duration<double>(ServiceTime).count();
    for (std::size_t zone = 0; zone < bundle.zones.size(); ++zone) {
        std::vector<unsigned> slots(bundle.services.size(), 0);
        for (const Target &target : bundle.targets) {
            slots[idx(target.service)] += idx(target.zone) == zone ? target.slots : 0;
        }
        for (std::size_t service = 0; service < slots.size(); ++service) {
            driver.setRate(makeId<ZoneId>(zone), makeId<ServiceId>(service), load * slots[service] * perSlot);
        }
    }
}

/// Watches what must hold while a run goes on.
class Watch
{
public:
    Watch(const Driver &driver, const Bundle &bundle)
        : m_driver(driver)
        , m_bundle(bundle)
        , m_lowestHeadroom(bundle.regions.size(), 1)
    {
    }

    void sample()
    {
        for (std::size_t n = 0; n < m_bundle.regions.size(); ++n) {
            const RegionId region = makeId<RegionId>(n);
            const double used = static_cast<double>(m_driver.runningIn(region)) / m_driver.slotsIn(region);
            m_lowestHeadroom[n] = std::min(m_lowestHeadroom[n], 1 - used);
        }
        for (const ShiftCap &cap : m_bundle.shiftCaps) {
            auto &series = m_shifts[{cap.from, cap.to}];
            series.emplace_back(m_driver.now(), m_driver.shifted(cap.from, cap.to).level);
            while (series.front().first + cap.interval < m_driver.now()) {
                series.pop_front();
            }
            const auto lowest = std::min_element(
                series.begin(), series.end(), [](const auto &lhs, const auto &rhs) { return lhs.second < rhs.second; });
            const bool isOver = series.back().second > lowest->second + cap.slots;
            m_capBreach += isOver ? SampleInterval : Duration{};
        }
        for (const LinkLimit &limit : m_bundle.linkLimits) {
            const unsigned used = m_driver.shifted(limit.from, limit.to).committed;
            m_linkBreach += used > limit.slots ? SampleInterval : Duration{};
            const double headroom = limit.slots == 0 ? 0 : 1 - static_cast<double>(used) / limit.slots;
            m_lowestLink = std::min(m_lowestLink, headroom);
        }
    }

    double lowestHeadroom() const
    {
        return *std::min_element(m_lowestHeadroom.begin(), m_lowestHeadroom.end());
    }

    double lowestLink() const
    {
        return m_lowestLink;
    }

    Duration breach() const
    {
        return m_capBreach + m_linkBreach;
    }

private:
    const Driver &m_driver;
    const Bundle &m_bundle;
    std::vector<double> m_lowestHeadroom;
    double m_lowestLink = 1;
    std::map<std::pair<RegionId, RegionId>, std::deque<std::pair<TimePoint, unsigned>>> m_shifts;
    Duration m_capBreach{};
    Duration m_linkBreach{};
};

void printRefusals(const Driver &driver);

void runScenario(const BundlePtr &bundle, const Scenario &scenario, Strategy strategy, const MeasureContext &context)
{
    DriverSettings settings;
    settings.strategy = strategy;
    settings.seed = context.seed;
    settings.serviceTime = ServiceTime;
    Driver driver(bundle, settings);
    setLoad(driver, *bundle, scenario.load);
    driver.run(WarmUp);
    driver.forgetCallers();
    Watch watch(driver, *bundle);
    const auto watched = [&](Duration time) {
        for (Duration done{}; done < time; done += SampleInterval) {
            driver.run(SampleInterval);
            watch.sample();
        }
    };
    scenario.fault(driver, *bundle);
    const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(context.seconds));
    watched(time);

    CallerView all;
    for (const CallerView &view : driver.callers()) {
        all.requests += view.requests;
        all.answered += view.answered;
        all.refused += view.refused;
        all.failed += view.failed;
        all.latencies.insert(all.latencies.end(), view.latencies.begin(), view.latencies.end());
    }
    const double percent = 100.0 / static_cast<double>(all.requests);
    printRow({nameOf(strategy), std::to_string(all.requests), fixed(static_cast<double>(all.refused) * percent, 2),
              fixed(static_cast<double>(all.failed) * percent, 2), inMilliseconds(all.quantile(0.5)),
              inMilliseconds(all.quantile(0.99)), inMilliseconds(all.quantile(0.999)),
              fixed(watch.lowestHeadroom() * 100, 1), fixed(watch.lowestLink() * 100, 1),
              inMilliseconds(watch.breach()), std::to_string(driver.overSlots())},
             11);
    if (strategy == Strategy::Leases && !driver.refusals().empty()) {
        printRefusals(driver);
    }
}

void printRefusals(const Driver &driver)
{
    std::cout << "    refused:";
    for (const auto &[reason, count] : driver.refusals()) {
        std::cout << " " << nameOf(reason) << " " << count;
    }
    std::cout << "\n";
}

} // namespace

ExitCode measureSteer(const MeasureContext &context)
{
    const std::vector<Scenario> scenarios{{"no fault, 70 % load", 0.7, noFault},
                                          {"region lost, 70 % load", 0.7, loseRegion},
                                          {"region lost, 50 % load", 0.5, loseRegion},
                                          {"availability zone's hosts lost, 50 % load", 0.5, loseZone},
                                          {"one region at 130 %, others at 60 %", 0.6, surge},
                                          {"availability zone cut off, 70 % load", 0.7, cutZones},
                                          {"one target in six fails, 60 % load", 0.6, failTargets},
                                          {"one target in six slow, 60 % load", 0.6, slowTargets},
                                          {"all look-up answers end at once, 70 % load", 0.7, endCaches}};
    for (const char *owner : {"liftcoop", "kemal"}) {
        const BundlePtr bundle = loadExample(context, owner);
        for (const Scenario &scenario : scenarios) {
            std::cout << "\n" << owner << ": " << scenario.name << "\n";
            printRow({"policy", "requests", "refused %", "failed %", "p50 ms", "p99 ms", "p99.9 ms", "headroom %",
                      "link %", "breach ms", "over slots"},
                     11);
            for (const Strategy strategy :
                 {Strategy::Leases, Strategy::NearestOnly, Strategy::RoundRobin, Strategy::ReportedLoad}) {
                runScenario(bundle, scenario, strategy, context);
            }
        }
    }
    return ExitCode::Success;
}

} // namespace pepperlug
