//===- GatewaySuspects.cpp - Requests that end targets, at an entry host ---===//
//
// What this host noticed goes to the control host that it follows with its asks, until a reply tells that it was heard;
// a control host that has started anew is told all that is known here.
//
//===----------------------------------------------------------------------===//
#include "GatewayImpl.h"
#include "PeerReplies.h"

namespace pepperlug::fleet
{

namespace
{

/// A caller waits for it, so it is short: to the control host, on to the leading one and back, up to 140 ms where the
/// farthest way takes 35 ms, and as much again for hosts that are busy.
constexpr Milliseconds TrialTimeout{400};

} // namespace

// The mutex is held.
void GatewayDaemon::Impl::describeSuspects(FleetWatchCall &call, const std::string &epoch)
{
    const Quarantine &quarantine = m_balancer->quarantine();
    offerNews(call.suspects, quarantine, m_toldSuspects, epoch, m_clock.now());
    m_metrics.gauge("pepperlug_suspects", static_cast<double>(quarantine.size()));
    m_metrics.gauge("pepperlug_requests_shut_out", static_cast<double>(quarantine.shutOut()));
}

void GatewayDaemon::Impl::carryOut(const CheckTarget &effect)
{
    const std::optional<Address> to = Address::parse(effect.address);
    if (!to) {
        return;
    }
    HttpCall call;
    call.to = *to;
    call.method = "GET";
    call.resource = "/";
    call.connectsOnly = true;
    call.timeout = ConnectTimeout; // no answer is no evidence
    call.connectTimeout = ConnectTimeout;
    m_metrics.count("pepperlug_target_checks");
    m_client->start(std::move(call), [this, target = effect.target](const HttpResult &result) {
        m_events.state("target-checked",
                       {{"target", target.id}, {"refused", result.isRefused}, {"reason", result.reason}});
        reduce(TargetChecked{target, result.isRefused});
    });
}

// A host that serves has its routes from a control host, so one has replied.
void GatewayDaemon::Impl::carryOut(const RequestProbe &effect)
{
    m_net.call(m_followed, path::FleetTrial, encode(FleetTrialCall{effect.digest}), TrialTimeout,
               [this, effect](const PeerReply &reply) {
                   const auto [decided, reason] = readReply<FleetTrialReply>(reply, "control host");
                   const bool isGranted = decided && decided->isGranted;
                   m_events.state("trial", {{"digest", effect.digest}, {"granted", isGranted}, {"reason", reason}});
                   reduce(ProbeDecided{effect.id, isGranted});
               });
}

void GatewayDaemon::Impl::carryOut(const SuspectChanged &effect)
{
    m_hasNewsToTell |= effect.isLocal;
    m_metrics.count("pepperlug_suspect_changes");
    m_events.state("suspect",
                   {{"digest", effect.digest},
                    {"target", effect.target},
                    {"ends", effect.crashes},
                    {"standing", nameOf(effect.standing)},
                    {"noticed_here", effect.isLocal}});
}

} // namespace pepperlug::fleet
