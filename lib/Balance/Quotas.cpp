//===- Quotas.cpp - Rate limits of tenants at an entry host ---------------===//
//
// A request counts towards its tenant's limit once, before its first attempt. Requests that are refused for another
// reason do not count, and neither do retries and hedged attempts. A request that has a target but no token waits until
// a control host replies; then its target is chosen again.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

namespace pepperlug::fleet
{

namespace
{

/// A request may wait for a token for an eighth of its objective, so that the answer can still be in time.
constexpr int TokenWaitDivisor = 8;

} // namespace

void Balancer::Impl::handle(const QuotaReplied &event)
{
    m_quotas.receive(event.sentAt, event.reply, m_now);
}

void Balancer::Impl::handle(const QuotaCallFailed &event)
{
    m_quotas.recordFailure(event.sentAt);
}

QuotaDecision Balancer::Impl::requestToken(OpenRequest &open)
{
    if (open.limit.perSecond <= 0 || open.token) {
        return QuotaDecision::Admitted;
    }
    const QuotaResult result =
        m_quotas.request(open.request.id, open.tenant, open.limit, open.route.objective / TokenWaitDivisor, m_now);
    open.awaitsToken = result.decision == QuotaDecision::Waiting;
    open.hasNoQuotaDecision = result.decision == QuotaDecision::TimedOut;
    if (result.decision == QuotaDecision::Admitted) {
        open.token = {open.tenant, result.tokenExpiry};
    }
    return result.decision;
}

void Balancer::Impl::refundToken(const OpenRequest &open, Refusal reason)
{
    if (open.token && promisesNotRun(reason)) {
        m_quotas.refund(open.token->tenant, open.token->expiry);
    }
}

void Balancer::Impl::sendWithToken(OpenRequest &open, TimePoint tokenExpiry)
{
    open.token = {open.tenant, tokenExpiry};
    Placement placement{nullptr, 0, m_isSuspended ? Refusal::RoutingLate : Refusal::RouteChanged};
    if (refreshRoute(open)) {
        if (isCutOff(open.service) && startRelay(open)) {
            return;
        }
        placement = place(open);
    }
    if (placement.target != nullptr) {
        startAttempt(open, placement);
        return;
    }
    refuse(open, placement.refusal, placement.untilCapacity);
    m_open.erase(static_cast<std::uint64_t>(open.request.id));
}

void Balancer::Impl::advanceQuotas()
{
    for (const QuotaResult &it : m_quotas.takeDecided(m_now)) {
        const auto found = m_open.find(static_cast<std::uint64_t>(it.id));
        if (found == m_open.end()) {
            continue;
        }
        OpenRequest &open = found->second;
        open.awaitsToken = false;
        if (it.decision == QuotaDecision::Admitted) {
            sendWithToken(open, it.tokenExpiry);
            continue;
        }
        open.hasNoQuotaDecision = it.decision == QuotaDecision::TimedOut;
        refuse(open, Refusal::OverQuota);
        m_open.erase(found);
    }
    if (std::optional<QuotaCall> call = m_quotas.nextCall(m_now)) {
        m_out->emplace_back(RequestQuota{m_now, std::move(*call)});
    }
}

} // namespace pepperlug::fleet
