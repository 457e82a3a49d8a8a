//===- ReturnSchedule.h - When refused callers return -----------*- C++ -*-===//
//
// A caller that was told to return at some time finds capacity then: callers are spread over time at the rate at which
// the service frees slots, and new requests leave room for those who are due. Requests with a lower number as priority
// are more urgent; they take the first places and do not wait for less urgent ones.
//
// The schedule is local to an entry host. A caller may return to another host of its region; on average, as many return
// to a host as it sent away.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "RouteStats.h"

#include "pepperlug/Support.h"

#include <map>
#include <optional>

namespace pepperlug::fleet
{

/// Advised return times of the callers that an entry host refused, by service.
class ReturnSchedule
{
public:
    /// Sets this host's share of a service's slots. Without it, or while there are too few service times, nothing is
    /// scheduled for the service.
    void setSlots(const std::string &service, double slots);
    /// See RouteStats::addServiceTime.
    void addServiceTime(const std::string &service, Duration took, double utilization);

    /// Returns the time after which a refused caller should return, and keeps capacity for it then; nothing if nothing
    /// is scheduled for the service. The time is at least `drainTime`, until the queue that the request met will
    /// have drained, but at most a third of `timeLeft`.
    std::optional<Duration> adviseAt(const std::string &service, unsigned priority, Duration drainTime,
                                     Duration timeLeft, TimePoint now);
    /// Records that a caller has returned, so that capacity is no longer kept for it.
    void returned(const std::string &service, unsigned priority, TimePoint now);
    /// Returns how many slots the callers of the same or a more urgent priority that are due now need.
    double reservedSlots(const std::string &service, unsigned priority, TimePoint now) const;
    /// Returns reservedSlots() as a share of this host's slots, bounded so that new requests are served too.
    double reservedUtilization(const std::string &service, unsigned priority, TimePoint now) const;

private:
    struct Service {
        double slots = 0;
        RouteStats stats;
        std::multimap<TimePoint, unsigned> returns; ///< priority by advised time
    };

    /// Time between two slots that become free; nothing if it is not known.
    static std::optional<Duration> intervalOf(const Service &service);
    /// Time before the advised one from which capacity is kept.
    static Duration leadOf(const Service &service);
    static void removeLapsed(Service &service, TimePoint now);

    std::map<std::string, Service> m_services;
};

} // namespace pepperlug::fleet
