//===- SteerFixture.h - Bundles, load and invariants for the tests -*- C++ -*-===//
#pragma once

#include "pepperlug/Model.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace pepperlug
{

inline BundlePtr exampleBundle(const std::string &owner)
{
    const std::string file = std::string(PEPPERLUG_SOURCE_DIR) + "/examples/" + owner + "/bundle.json";
    return parseBundle(readFile(file), file);
}

/// Sets the request rate of every zone and service so that it needs the share `load` of the zone's slots.
inline void setLoad(Driver &driver, const Bundle &bundle, double load)
{
    for (std::size_t zone = 0; zone < bundle.zones.size(); ++zone) {
        std::vector<unsigned> slots(bundle.services.size(), 0);
        for (const Target &target : bundle.targets) {
            slots[idx(target.service)] += idx(target.zone) == zone ? target.slots : 0;
        }
        for (std::size_t service = 0; service < slots.size(); ++service) {
            driver.setRate(makeId<ZoneId>(zone), makeId<ServiceId>(service), load * slots[service] * 50);
        }
    }
}

inline CallerView sum(const std::vector<CallerView> &views)
{
    CallerView all;
    for (const CallerView &view : views) {
        all.requests += view.requests;
        all.answered += view.answered;
        all.refused += view.refused;
        all.failed += view.failed;
    }
    return all;
}

/// Invariants that must hold on every host after every event.
class Invariants
{
public:
    explicit Invariants(const Bundle &bundle)
        : m_bundle(bundle)
    {
    }

    void check(const Driver &driver)
    {
        for (std::size_t n = 0; n < m_bundle.hosts.size(); ++n) {
            const Steering *host = driver.host(makeId<HostId>(n));
            if (host == nullptr || !host->ready()) {
                continue;
            }
            for (std::size_t service = 0; service < m_bundle.services.size(); ++service) {
                const ServiceView view = host->view(makeId<ServiceId>(service));
                m_sumExceeded += view.committed > view.sliceSlots ? 1 : 0;
                m_slotsExceeded += view.inFlight > view.sliceSlots ? 1 : 0;
            }
        }
        for (const ShiftCap &cap : m_bundle.shiftCaps) {
            checkShift(driver, cap);
        }
        for (const LinkLimit &limit : m_bundle.linkLimits) {
            m_linkExceeded += driver.shifted(limit.from, limit.to).committed > limit.slots ? 1 : 0;
        }
    }

    void require(const Driver &driver) const
    {
        CHECK(m_sumExceeded == 0);
        CHECK(m_slotsExceeded == 0);
        CHECK(m_capExceeded == 0);
        CHECK(m_linkExceeded == 0);
        CHECK(driver.overSlots() == 0);
        CHECK(driver.lateDispatches() == 0);
        CHECK(driver.falseNotRun() == 0);
        CHECK(driver.endedTwice() == 0);
    }

private:
    struct Sample {
        TimePoint at;
        unsigned level;
    };

    // Checks the growth over every interval: the current level against the lowest one within the last interval.
    void checkShift(const Driver &driver, const ShiftCap &cap)
    {
        std::deque<Sample> &samples = m_samples[{cap.from, cap.to}];
        const Sample now{driver.now(), driver.shifted(cap.from, cap.to).level};
        while (!samples.empty() && samples.back().level >= now.level) {
            samples.pop_back();
        }
        samples.push_back(now);
        while (samples.front().at + cap.interval < now.at) {
            samples.pop_front();
        }
        m_capExceeded += now.level > samples.front().level + cap.slots ? 1 : 0;
    }

    const Bundle &m_bundle;
    std::map<std::pair<RegionId, RegionId>, std::deque<Sample>> m_samples; ///< increasing levels within the interval
    std::uint64_t m_sumExceeded = 0;
    std::uint64_t m_slotsExceeded = 0;
    std::uint64_t m_capExceeded = 0;
    std::uint64_t m_linkExceeded = 0;
};

} // namespace pepperlug
