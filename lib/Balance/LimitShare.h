//===- LimitShare.h - One entry host's part of a target's limit -*- C++ -*-===//
//
// Entry hosts do not ask each other for each request. A few of them, the owners,
// share what a limited target takes; the others send it nothing. Rendezvous hashing
// over the live entry hosts tells everybody who they are. Their number bounds what
// may come at once beyond the rate, since each may have requests saved up.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "TokenBucket.h"

namespace pepperlug::fleet
{

/// Owners of the smallest limit, and further ones by what the limit allows in a time.
constexpr std::size_t MinOwners = 2;
constexpr std::chrono::duration<double> ExtraOwnersTime{2};
/// Requests that all owners together may have saved up, and further ones by what the limit allows in a time.
constexpr double MinBurst = 3;
constexpr std::chrono::duration<double> ExtraBurstTime{2};

/// Entry hosts that share a limit, of so many.
inline std::size_t ownerCount(double perSecond, std::size_t hosts)
{
    const double further = std::min(perSecond * ExtraOwnersTime.count(), static_cast<double>(hosts));
    return std::clamp<std::size_t>(MinOwners + static_cast<std::size_t>(further), 1, std::max<std::size_t>(1, hosts));
}

/// The part of one of so many owners, in requests.
inline BucketConfig ownerShare(double perSecond, std::size_t owners)
{
    const auto count = static_cast<double>(owners);
    return {perSecond / count, std::max(1.0, (MinBurst + perSecond * ExtraBurstTime.count()) / count)};
}

} // namespace pepperlug::fleet
