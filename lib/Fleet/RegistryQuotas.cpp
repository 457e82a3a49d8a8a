//===- RegistryQuotas.cpp - Tokens of tenants at a control host -----------===//
//
// The limits are divided among the members of the control group. A host that isn't a member issues nothing.
//
//===----------------------------------------------------------------------===//
#include "../Daemon/HttpStatus.h"
#include "PeerReplies.h"
#include "RegistryImpl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds MembersInterval{250};

} // namespace

void RegistryDaemon::Impl::onQuota(const IncomingCallPtr &call)
{
    auto request = decode<QuotaCall>(call->body(), call->peer());
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    const QuotaCallId id{++m_lastQuotaCall};
    m_quotaCalls[id] = call;
    QuotaEffects effects;
    m_quotas.receive(id, std::move(request), now, effects);
    carryOut(effects);
}

void RegistryDaemon::Impl::onQuotaLoan(const IncomingCallPtr &call)
{
    const auto wanted = decode<QuotaLoans>(call->body(), call->peer());
    QuotaLoans lent;
    {
        const std::lock_guard lock(m_mutex);
        lent = m_quotas.lend(wanted, m_clock.now());
    }
    call->reply(Ok, encode(lent));
}

// The mutex is held.
void RegistryDaemon::Impl::updateQuotaMembers(TimePoint now)
{
    if (now < m_nextQuotaMembers) {
        return;
    }
    m_nextQuotaMembers = now + MembersInterval;
    const ControlLogStatus status = m_log->status();
    const std::string self = m_settings.peer.text();
    const bool isMember = std::ranges::any_of(status.members, [&](const ControlMember &it) { return it.name == self; });
    m_quotas.setMembers(isMember && !m_isLeaving ? status.members.size() : 0, now);
    const auto &regions = m_settings.regionOfZone;
    std::vector<QuotaPeer> peers;
    for (const ControlMember &it : status.members) {
        if (it.name != self && Address::parse(it.name)) {
            peers.push_back({it.name, regionOf(regions, it.zone) == regionOf(regions, m_settings.zone)});
        }
    }
    m_quotas.setPeers(std::move(peers));
    reportQuotas(now);
}

void RegistryDaemon::Impl::reportQuotas(TimePoint now)
{
    const QuotaIssuer::Totals &totals = m_quotas.totals();
    m_metrics.gauge("pepperlug_quota_tokens{state=\"granted\"}", static_cast<double>(totals.granted));
    m_metrics.gauge("pepperlug_quota_tokens{state=\"missing\"}", static_cast<double>(totals.missing));
    m_metrics.gauge("pepperlug_quota_tokens{state=\"borrowed\"}", static_cast<double>(totals.borrowed));
    m_metrics.gauge("pepperlug_quota_tokens{state=\"lent\"}", static_cast<double>(totals.lent));
    m_metrics.gauge("pepperlug_quota_isolated_hosts", static_cast<double>(m_quotas.isolatedFollowers(now)));
}

// The mutex is held.
void RegistryDaemon::Impl::advanceQuotas(TimePoint now)
{
    updateQuotaMembers(now);
    QuotaEffects effects;
    m_quotas.tick(now, effects);
    carryOut(effects);
}

// The mutex is held.
void RegistryDaemon::Impl::carryOut(const QuotaEffects &effects)
{
    for (const QuotaEffect &effect : effects) {
        if (const auto *loan = std::get_if<BorrowTokens>(&effect)) {
            borrowTokens(*loan);
            continue;
        }
        const auto &reply = std::get<SendQuotaReply>(effect);
        auto call = m_quotaCalls.extract(reply.call);
        if (!call.empty()) {
            call.mapped()->reply(Ok, encode(reply.reply));
        }
    }
}

void RegistryDaemon::Impl::borrowTokens(const BorrowTokens &effect)
{
    const Address to = Address::parse(effect.peer).value(); // updateQuotaMembers() has checked it
    const TimePoint sentAt = m_clock.now();
    m_net.call(to, path::FleetQuotaLoan, encode(effect.wanted), QuotaCallTimeout,
               [this, to, wanted = effect.wanted, sentAt](const PeerReply &reply) {
                   const auto [lent, reason] = readReply<QuotaLoans>(reply, to.text());
                   const std::lock_guard lock(m_mutex);
                   QuotaEffects effects;
                   m_quotas.receiveLoan(wanted, lent, sentAt, m_clock.now(), effects);
                   carryOut(effects);
               });
}

} // namespace pepperlug::fleet
