//===- EqualShares.h - Quota policy with equal shares -----------*- C++ -*-===//
#pragma once

#include "pepperlug/Quota.h"

#include <map>

namespace pepperlug::fleet
{

/// Each host may use the same fraction of each limit, whatever its demand. Hosts exchange nothing and need only their
/// number.
class EqualShares
{
public:
    explicit EqualShares(unsigned hosts)
        : m_fraction(1.0 / hosts)
    {
    }

    QuotaResult request(RequestId id, const std::string &tenant, const TenantLimit &limit, Duration, TimePoint now)
    {
        const auto [it, isNew] = m_tokens.try_emplace(tenant, limit.burst * m_fraction, now);
        auto &[tokens, at] = it->second;
        tokens = std::min(std::max(1.0, limit.burst * m_fraction),
                          tokens + limit.perSecond * m_fraction * secondsOf(now - at));
        at = now;
        if (tokens < 1) {
            return {id, QuotaDecision::Refused, {}};
        }
        tokens -= 1;
        return {id, QuotaDecision::Admitted, now};
    }

    static std::vector<QuotaResult> takeDecided(TimePoint)
    {
        return {};
    }

    static std::optional<QuotaCall> nextCall(TimePoint)
    {
        return std::nullopt;
    }

    void receive(TimePoint, const QuotaReply &, TimePoint)
    {
    }

    void recordFailure(TimePoint)
    {
    }

    void setTableVersion(std::uint64_t)
    {
    }

private:
    double m_fraction;
    std::map<std::string, std::pair<double, TimePoint>> m_tokens; ///< by tenant: tokens, time of refill
};
static_assert(QuotaPolicy<EqualShares>);

} // namespace pepperlug::fleet
