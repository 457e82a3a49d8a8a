//===- GatewayRelays.cpp - An entry host that reaches no target -----------===//
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// For a probe to be answered, connection included. Targets answer it without a free slot.
constexpr Milliseconds ProbeTimeout{600};

ProbeResult probeResult(const HttpResult &result)
{
    if (result.receivedBytes > 0 || result.kind == HttpResult::Kind::Endless) {
        return ProbeResult::Answered;
    }
    return result.kind == HttpResult::Kind::NotSent ? ProbeResult::Failed : ProbeResult::Connected;
}

const char *nameOf(ProbeResult result)
{
    switch (result) {
    case ProbeResult::Answered:
        return "answered";
    case ProbeResult::Connected:
        return "connected";
    case ProbeResult::Failed:
        return "failed";
    }
    return "failed";
}

} // namespace

std::vector<HeaderField> GatewayDaemon::Impl::attemptHeaders(const StartAttempt &effect, const HttpRequest &http) const
{
    const std::vector<HeaderField> headers = endToEndHeaders(http.headers);
    if (!effect.relay.empty()) {
        return m_dialect.relayHeaders(headers, {effect.timeLeft, effect.routingIndex, effect.isOnceOnly});
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

// Asks for an incarnation that no target has, so that none runs the probe. A connection alone would not do: a device in
// between may accept it and pass nothing on.
void GatewayDaemon::Impl::carryOut(const ProbeTarget &effect)
{
    const std::optional<Address> to = Address::parse(effect.address);
    if (!to) {
        return;
    }
    HttpCall call;
    call.to = *to;
    call.method = "GET";
    call.resource = "/";
    call.headers = m_dialect.targetHeaders({}, {m_incarnation, ProbeTimeout, false, {}});
    call.usesNewConnection = true;
    call.timeout = ProbeTimeout;
    call.connectTimeout = ConnectTimeout;
    m_client->start(std::move(call), [this, service = effect.service](const HttpResult &result) {
        const ProbeResult reached = probeResult(result);
        m_metrics.count(std::string("pepperlug_target_probes{result=\"") + nameOf(reached) + "\"}");
        reduce(TargetProbed{service, reached});
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
