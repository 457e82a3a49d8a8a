//===- GatewayQuotas.cpp - Tokens of tenants at an entry host -------------===//
#include "GatewayImpl.h"
#include "PeerReplies.h"

namespace pepperlug::fleet
{

namespace
{

/// Time for which a control host that did not issue tokens is not called. Entry hosts return to the control host of
/// their zone soon after it is back.
constexpr std::chrono::seconds AvoidTime{2};

} // namespace

// Any control host issues tokens, also one without a majority, so the nearest one that replies is called. The mutex is
// held.
Address GatewayDaemon::Impl::quotaHost(TimePoint now)
{
    const std::vector<Address> hosts = rankedControlHosts();
    for (const Address &it : hosts) {
        const auto avoided = m_avoidedQuotaHosts.find(it);
        if (avoided == m_avoidedQuotaHosts.end() || now >= avoided->second) {
            return it;
        }
    }
    return hosts.empty() ? m_followedHost : hosts.front();
}

void GatewayDaemon::Impl::carryOut(const RequestQuota &effect)
{
    const Address to = quotaHost(m_clock.now());
    m_metrics.count("pepperlug_quota_calls");
    m_net.call(to, path::FleetQuota, encode(effect.call), QuotaCallTimeout,
               [this, to, sentAt = effect.sentAt](const PeerReply &reply) { onQuotaReply(to, sentAt, reply); });
}

void GatewayDaemon::Impl::onQuotaReply(const Address &from, TimePoint sentAt, const PeerReply &reply)
{
    const auto [message, reason] = readReply<QuotaReply>(reply, from.text());
    const bool isIssuing = message && message->isIssuing;
    {
        const std::lock_guard lock(m_mutex);
        if (isIssuing) {
            m_avoidedQuotaHosts.erase(from);
        } else {
            m_avoidedQuotaHosts[from] = m_clock.now() + AvoidTime;
        }
    }
    if (!isIssuing) {
        m_metrics.count("pepperlug_quota_call_failures");
        m_events.decision("quota-call-failed",
                          {{"peer", from.text()}, {"reason", message ? "the host issues no tokens" : reason}});
        reduce(QuotaCallFailed{sentAt});
        return;
    }
    reduce(QuotaReplied{sentAt, *message});
}

} // namespace pepperlug::fleet
