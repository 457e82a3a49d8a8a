//===- LimitShare.h - An entry host's share of a rate limit -----*- C++ -*-===//
//
// Entry hosts do not coordinate for each request. A few of them, the owners, share
// the rate limit of a target; the others send it nothing. Every host finds the
// owners by rendezvous hashing over the live entry hosts. Each owner may have
// requests saved up, so the number of owners bounds the burst beyond the rate.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "TokenBucket.h"

namespace pepperlug::fleet
{

/// Number of owners of the smallest limit. Each request that the limit allows in ExtraOwnersTime adds one.
constexpr std::size_t MinOwners = 2;
constexpr std::chrono::duration<double> ExtraOwnersTime{2};
/// Requests that all owners together may have saved up, in addition to those that the limit allows in ExtraBurstTime.
constexpr double MinBurst = 3;
constexpr std::chrono::duration<double> ExtraBurstTime{2};

/// Returns how many of `hosts` entry hosts share a limit.
inline std::size_t ownerCount(double perSecond, std::size_t hosts)
{
    const double further = std::min(perSecond * ExtraOwnersTime.count(), static_cast<double>(hosts));
    return std::clamp<std::size_t>(MinOwners + static_cast<std::size_t>(further), 1, std::max<std::size_t>(1, hosts));
}

/// Returns how many of the owners are hosts of the target's region, given the number of hosts there and elsewhere. Half
/// of the owners at least, since hosts of other regions may send the target nothing; not all, since requests that home
/// regions bind to the target's region come from everywhere.
inline std::size_t ownersInRegion(std::size_t owners, std::size_t hostsInRegion, std::size_t otherHosts)
{
    const std::size_t half = (owners + 1) / 2;
    const std::size_t missingElsewhere = owners - std::min(owners, otherHosts);
    return std::min(hostsInRegion, std::max(half, missingElsewhere));
}

/// Returns the share of one of `owners` owners, in requests.
inline BucketConfig ownerShare(double perSecond, std::size_t owners)
{
    const auto count = static_cast<double>(owners);
    return {perSecond / count, std::max(1.0, (MinBurst + perSecond * ExtraBurstTime.count()) / count)};
}

} // namespace pepperlug::fleet
