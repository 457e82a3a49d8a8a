//===- Quotas.cpp - Rate limits of tenants at an entry host ---------------===//
//
// A request counts towards its tenant's limit once, before its first attempt. Requests that are refused for another
// reason do not count, and neither do retries and hedged attempts.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

namespace pepperlug::fleet
{

void Balancer::Impl::handle(const TenantLoadsReceived &event)
{
    m_quotas.updateLoads(event.loads);
}

bool Balancer::Impl::chargeQuota(OpenRequest &open)
{
    if (open.limit.perSecond <= 0 || open.isCountedInQuota) {
        return true;
    }
    open.isCountedInQuota = m_quotas.admit(open.tenant, open.limit, m_now);
    return open.isCountedInQuota;
}

void Balancer::Impl::refundQuota(const OpenRequest &open, Refusal reason)
{
    if (open.isCountedInQuota && promisesNotRun(reason)) {
        m_quotas.refund(open.tenant, m_now);
    }
}

std::vector<TenantDemand> Balancer::Impl::tenantDemand(TimePoint now)
{
    return m_quotas.demand(now);
}

bool Balancer::Impl::hasTenantSurged(TimePoint now) const
{
    return m_quotas.hasSurged(now);
}

} // namespace pepperlug::fleet
