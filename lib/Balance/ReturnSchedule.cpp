//===- ReturnSchedule.cpp - When refused callers return -------------------===//
#include "ReturnSchedule.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Callers wait no longer than this fraction of the time they have left.
constexpr int TimeLeftFraction = 3;
/// Time after the advised one for which capacity is kept. It covers the latency and the timers of callers; some never
/// return.
constexpr Milliseconds ReserveTime{100};
/// Largest share of the slots that is kept: one slot of a target with four. Callers that nobody serves in the time that
/// they wait are all due at its end, and would otherwise exclude new requests.
constexpr double MaxReservedShare = 0.25;

} // namespace

void ReturnSchedule::setSlots(const std::string &service, double slots)
{
    m_services[service].slots = slots;
}

void ReturnSchedule::addServiceTime(const std::string &service, Duration took, double utilization)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        known->second.stats.addServiceTime(took, utilization);
    }
}

// A caller takes the first place that is free among callers of the same or a more urgent priority, so that callers with
// the same drain time return in the order in which they were refused.
std::optional<Duration> ReturnSchedule::adviseAt(const std::string &service, unsigned priority, Duration drainTime,
                                                 Duration timeLeft, TimePoint now)
{
    const auto known = m_services.find(service);
    const std::optional<Duration> interval = known == m_services.end() ? std::nullopt : intervalOf(known->second);
    if (!interval) {
        return std::nullopt;
    }
    Service &it = known->second;
    removeLapsed(it, now);
    const TimePoint latest = now + std::max(timeLeft, Duration(0)) / TimeLeftFraction;
    TimePoint at = std::min(now + drainTime, latest);
    for (auto place = it.returns.upper_bound(at - *interval); place != it.returns.end(); ++place) {
        if (place->first - at >= *interval || at >= latest) {
            break;
        }
        if (place->second <= priority) {
            at = std::max(at, place->first + *interval);
        }
    }
    at = std::min(at, latest);
    it.returns.emplace(at, priority);
    return at - now;
}

void ReturnSchedule::returned(const std::string &service, unsigned priority, TimePoint now)
{
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        return;
    }
    Service &it = known->second;
    removeLapsed(it, now);
    const auto end = it.returns.upper_bound(now + leadOf(it));
    const auto due = std::find_if(it.returns.begin(), end, [&](const auto &place) { return place.second == priority; });
    if (due != end) {
        it.returns.erase(due);
    }
}

double ReturnSchedule::reservedSlots(const std::string &service, unsigned priority, TimePoint now) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        return 0;
    }
    const auto &returns = known->second.returns;
    const auto begin = returns.upper_bound(now - ReserveTime);
    const auto end = returns.upper_bound(now + leadOf(known->second));
    return static_cast<double>(std::count_if(begin, end, [&](const auto &place) { return place.second <= priority; }));
}

double ReturnSchedule::reservedUtilization(const std::string &service, unsigned priority, TimePoint now) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() || known->second.slots <= 0
        ? 0
        : std::min(MaxReservedShare, reservedSlots(service, priority, now) / known->second.slots);
}

std::optional<Duration> ReturnSchedule::intervalOf(const Service &service)
{
    const std::optional<Duration> serviceTime = service.stats.serviceTime();
    if (!serviceTime || service.slots <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(*serviceTime / service.slots);
}

// A slot must become free and stay free before the caller arrives, which takes an interval.
Duration ReturnSchedule::leadOf(const Service &service)
{
    return std::min<Duration>(intervalOf(service).value_or(ReserveTime), ReserveTime);
}

void ReturnSchedule::removeLapsed(Service &service, TimePoint now)
{
    service.returns.erase(service.returns.begin(), service.returns.upper_bound(now - ReserveTime));
}

} // namespace pepperlug::fleet
