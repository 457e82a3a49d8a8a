//===- DemandEstimate.h - Slots that a host's callers need ------*- C++ -*-===//
#pragma once

#include "RouteStats.h"

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// An answer of a target, as a sample of the time for which a request occupies a slot.
struct AnswerSample {
    Duration took{};
    double utilization = 0; ///< requests over slots at the target when the attempt began
    bool isInOtherRegion = false;
    bool hasQueue = true; ///< the target reported waiting requests, or no load
};

/// Demand of an entry host's callers, in slots: requests per second times the time for which each occupies a slot.
class DemandEstimate
{
public:
    /// Records a request. `region`: that home regions bind it to; empty: none. `fallback`: service time of the route.
    void addRequest(const std::string &service, const std::string &region, const std::string &route, Duration fallback,
                    TimePoint now);
    /// Records an answer that counts instead of the fallback: only one without a queue and from this host's region.
    /// The round trip to another region, a new connection there, and a queue occupy no slot. If they counted, the hosts
    /// of a region that is overloaded, or whose callers are served elsewhere, would report more demand for the same
    /// requests, and their region would be planned to be less used than others.
    void addAnswer(const std::string &route, const AnswerSample &sample);
    std::vector<ServiceDemand> demand(TimePoint now) const;

private:
    /// By service and by the region that home regions bind the requests to.
    std::map<std::pair<std::string, std::string>, ArrivalRate> m_slots;
    std::map<std::string, RouteStats> m_localStats; ///< by route
};

} // namespace pepperlug::fleet
