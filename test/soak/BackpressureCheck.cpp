//===- BackpressureCheck.cpp - Whether entry hosts keep to what targets ask for ---===//
#include "BackpressureCheck.h"

#include <algorithm>

namespace pepperlug::soak
{

namespace
{

using namespace std::chrono_literals;

/// In each span of it a limit may be exceeded by half and by some requests.
constexpr auto LimitWindow = 4s;
constexpr double LimitExcess = 0.5;
constexpr double LimitSlack = 5;
/// Until all entry hosts keep a limit.
constexpr auto TimeToLearn = 3s;
/// Requests that were on their way when a host was asked for a rest, and those that it may send in it.
constexpr auto OnTheirWay = 500ms;
constexpr unsigned AllowedInRest = 2;
/// Until nothing comes any more to a target that leaves.
constexpr auto DrainTime = 2500ms;

} // namespace

std::string brokenLimit(const std::vector<TargetArrival> &arrivals, double perSecond, TimePoint askedAt)
{
    const double allowed = perSecond * secondsOf(LimitWindow) * (1 + LimitExcess) + LimitSlack;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (first->at < askedAt + TimeToLearn) {
            continue;
        }
        const auto last = std::find_if(first, arrivals.end(),
                                       [&](const TargetArrival &it) { return it.at > first->at + LimitWindow; });
        if (static_cast<double>(last - first) > allowed) {
            return std::to_string(last - first) + " requests in a window, limit " + std::to_string(perSecond);
        }
    }
    return {};
}

std::string brokenRest(const std::vector<TargetArrival> &arrivals, Duration rest)
{
    std::map<std::string, TimePoint> askedAt; // of the rest that goes on, by entry host
    std::map<std::string, unsigned> sent;
    for (const TargetArrival &it : arrivals) {
        const auto known = askedAt.find(it.entryHost);
        if (known == askedAt.end() || it.at >= known->second + rest) {
            askedAt[it.entryHost] = it.at;
            sent[it.entryHost] = 0;
            continue;
        }
        const bool counts = it.at >= known->second + OnTheirWay;
        sent[it.entryHost] += counts ? 1 : 0;
        if (sent[it.entryHost] > AllowedInRest) {
            return "more than " + std::to_string(AllowedInRest) + " requests in a rest from " + it.entryHost;
        }
    }
    return {};
}

std::string brokenDeparture(const std::vector<TargetArrival> &arrivals, TimePoint askedAt)
{
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [&](const TargetArrival &it) { return it.at > askedAt + DrainTime; });
    return late == 0 ? std::string() : std::to_string(late) + " requests after it said that it leaves";
}

} // namespace pepperlug::soak
