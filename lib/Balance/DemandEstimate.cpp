//===- DemandEstimate.cpp - Slots that a host's callers need --------------===//
#include "DemandEstimate.h"

namespace pepperlug::fleet
{

void DemandEstimate::addRequest(const std::string &service, const std::string &region, const std::string &route,
                                Duration fallback, TimePoint now)
{
    const auto it = m_localStats.find(route);
    const std::optional<Duration> local = it == m_localStats.end() ? std::nullopt : it->second.serviceTime();
    m_slots[{service, region}].add(now, secondsOf(local.value_or(fallback)));
}

void DemandEstimate::addAnswer(const std::string &route, const AnswerSample &sample)
{
    if (!sample.isInOtherRegion && !sample.hasQueue) {
        m_localStats[route].addServiceTime(sample.took, sample.utilization);
    }
}

std::vector<ServiceDemand> DemandEstimate::demand(TimePoint now) const
{
    std::vector<ServiceDemand> demand;
    for (const auto &[place, rate] : m_slots) {
        demand.push_back({place.first, rate.perSecond(now), place.second});
    }
    return demand;
}

} // namespace pepperlug::fleet
