//===- GatewayRelays.cpp - An entry host that reaches no target -----------===//
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

std::vector<HeaderField> GatewayDaemon::Impl::attemptHeaders(const StartAttempt &effect, const HttpRequest &http) const
{
    const std::vector<HeaderField> headers = endToEndHeaders(http.headers);
    if (!effect.relay.empty()) {
        return m_dialect.relayHeaders(headers, {effect.timeLeft, effect.routingIndex});
    }
    return m_dialect.targetHeaders(headers, {effect.target, effect.timeLeft, effect.hasTenants, effect.tenant});
}

// Only an entry host refuses; a target that says so is not believed. A relayed request has no target.
AnswerFields GatewayDaemon::Impl::readAnswer(const Incarnation &target, const Answer &answer) const
{
    AnswerFields fields = m_dialect.readAnswer(answer);
    if (!target.id.empty()) {
        fields.refusal.reset();
    }
    return fields;
}

void GatewayDaemon::Impl::connectTo(const std::string &address, std::function<void(const HttpResult &)> handler)
{
    const std::optional<Address> to = Address::parse(address);
    if (!to) {
        return;
    }
    HttpCall call;
    call.to = *to;
    call.method = "GET";
    call.resource = "/";
    call.connectsOnly = true;
    call.timeout = ConnectTimeout; // a missing answer proves nothing
    call.connectTimeout = ConnectTimeout;
    m_client->start(std::move(call), std::move(handler));
}

void GatewayDaemon::Impl::carryOut(const ProbeTarget &effect)
{
    connectTo(effect.address, [this, service = effect.service](const HttpResult &result) {
        const bool isConnected = result.kind == HttpResult::Kind::Answered;
        m_metrics.count(isConnected ? "pepperlug_target_probes{connected=\"yes\"}"
                                    : "pepperlug_target_probes{connected=\"no\"}");
        reduce(TargetProbed{service, isConnected});
    });
}

// The directory and other hosts should learn of it at once.
void GatewayDaemon::Impl::carryOut(const ReachabilityChanged &effect)
{
    m_hasUnsentUpdates = true;
    m_metrics.gauge("pepperlug_unreachable_services", static_cast<double>(m_balancer->unreachableServices().size()));
    m_events.state(effect.isCutOff ? "targets-lost" : "targets-regained",
                   {{"service", effect.service}, {"open", m_open.size()}});
}

} // namespace pepperlug::fleet
