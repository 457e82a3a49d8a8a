//===- EqualShares.h - The simplest way to keep a limit ---------*- C++ -*-===//
#pragma once

#include "pepperlug/Quota.h"

#include <map>

namespace pepperlug::fleet
{

/// Each host may use the same part of each limit, whatever it is asked for. Needs no word between hosts but their
/// number.
class EqualShares
{
public:
    explicit EqualShares(unsigned hosts)
        : m_part(1.0 / hosts)
    {
    }

    bool admit(const std::string &tenant, const TenantLimit &limit, TimePoint now)
    {
        const auto [it, isNew] = m_tokens.try_emplace(tenant, limit.burst * m_part, now);
        auto &[tokens, at] = it->second;
        tokens = std::min(std::max(1.0, limit.burst * m_part), tokens + limit.perSecond * m_part * secondsOf(now - at));
        at = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    void refund(const std::string &tenant, TimePoint)
    {
        const auto it = m_tokens.find(tenant);
        if (it != m_tokens.end()) {
            it->second.first += 1;
        }
    }

    void updateLoads(const std::vector<TenantLoad> &)
    {
    }

    void recordContact(TimePoint)
    {
    }

    static bool hasSurged(TimePoint)
    {
        return false;
    }

    static std::vector<TenantDemand> demand(TimePoint)
    {
        return {};
    }

private:
    double m_part;
    std::map<std::string, std::pair<double, TimePoint>> m_tokens; ///< by tenant: tokens, and as of when
};
static_assert(QuotaPolicy<EqualShares>);

} // namespace pepperlug::fleet
