//===- LimitShare.h - One entry host's part of a target's limit -*- C++ -*-===//
//
// Entry hosts do not ask each other for each request. A few of them, the owners,
// share what a limited target takes; the others send it nothing. Rendezvous hashing
// over the live entry hosts tells everybody who they are. Their number bounds what
// may come at once beyond the rate, since each may have requests saved up.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <optional>

namespace pepperlug::fleet
{

/// What an owner may send to a limited target.
struct LimitShare {
    double perSecond = 0;
    double depth = 1; ///< requests that may be saved up
};

/// Owners of the smallest limit, and further ones by what the limit allows in a time.
constexpr std::size_t LeastOwners = 2;
constexpr std::chrono::duration<double> OwnersTime{2};
/// Requests that all owners together may have saved up, and further ones by what the limit allows in a time.
constexpr double LeastSaved = 3;
constexpr std::chrono::duration<double> SavedTime{2};

/// Entry hosts that share a limit, of so many.
inline std::size_t ownersOf(double perSecond, std::size_t hosts)
{
    const double further = std::min(perSecond * OwnersTime.count(), static_cast<double>(hosts));
    return std::clamp<std::size_t>(LeastOwners + static_cast<std::size_t>(further), 1, std::max<std::size_t>(1, hosts));
}

/// The part of one of so many owners.
inline LimitShare shareOf(double perSecond, std::size_t owners)
{
    const auto count = static_cast<double>(owners);
    return {perSecond / count, std::max(1.0, (LeastSaved + perSecond * SavedTime.count()) / count)};
}

/// Requests that an owner may send now. Fills with time.
class LimitBucket
{
public:
    /// Begins with a part of one request, so that owners that hear of a limit at once do not all send at once.
    void start(double part, TimePoint now)
    {
        m_requests = part;
        m_at = now;
    }

    bool isStarted() const
    {
        return m_at.has_value();
    }

    bool has(double requests, const LimitShare &share, TimePoint now)
    {
        refill(share, now);
        return m_requests >= std::min(requests, share.depth);
    }

    void take()
    {
        m_requests -= 1;
    }

    void giveBack()
    {
        m_requests += 1;
    }

    /// Until has() is true.
    Duration until(double requests, const LimitShare &share) const
    {
        const double missing = std::max(0.0, std::min(requests, share.depth) - m_requests);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / share.perSecond));
    }

private:
    void refill(const LimitShare &share, TimePoint now)
    {
        const std::chrono::duration<double> passed = std::max(Duration(0), now - m_at.value_or(now));
        m_requests = std::min(share.depth, m_requests + share.perSecond * passed.count());
        m_at = std::max(m_at.value_or(now), now);
    }

    double m_requests = 0;
    std::optional<TimePoint> m_at;
};

} // namespace pepperlug::fleet
