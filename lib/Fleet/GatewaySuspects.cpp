//===- GatewaySuspects.cpp - Suspect requests at an entry host ------------===//
//
// This host repeats the suspects that it has noticed with each request to the followed control host until a reply
// acknowledges them. A control host that has restarted gets all that this host knows.
//
//===----------------------------------------------------------------------===//
#include "GatewayImpl.h"
#include "PeerReplies.h"

namespace pepperlug::fleet
{

namespace
{

/// A caller waits for it, so it is short: to the followed control host, to the leader and back takes up to 140 ms at 35
/// ms for the longest way, and as much again for busy hosts.
constexpr Milliseconds ProbeTimeout{400};

} // namespace

// The mutex is held.
void GatewayDaemon::Impl::addSuspectReports(FleetWatchCall &call, const std::string &epoch)
{
    const Quarantine &quarantine = m_balancer->quarantine();
    fillOffer(call.suspects, quarantine, m_acknowledgedSuspects, epoch, m_clock.now());
    m_metrics.gauge("pepperlug_suspects", static_cast<double>(quarantine.size()));
    m_metrics.gauge("pepperlug_requests_shut_out", static_cast<double>(quarantine.quarantinedCount()));
}

void GatewayDaemon::Impl::carryOut(const CheckTarget &effect)
{
    m_metrics.count("pepperlug_target_checks");
    connectTo(effect.address, [this, target = effect.target](const HttpResult &result) {
        m_events.state("target-checked",
                       {{"target", target.id}, {"refused", result.isRefused}, {"reason", result.reason}});
        reduce(TargetChecked{target, result.isRefused});
    });
}

// A host that routes requests has its routes from a control host, so m_followedHost is set.
void GatewayDaemon::Impl::carryOut(const RequestProbe &effect)
{
    m_net.call(m_followedHost, path::FleetProbe, encode(FleetProbeCall{effect.digest}), ProbeTimeout,
               [this, effect](const PeerReply &reply) {
                   const auto [decided, reason] = readReply<FleetProbeReply>(reply, "control host");
                   const bool isGranted = decided && decided->isGranted;
                   m_events.state("trial", {{"digest", effect.digest}, {"granted", isGranted}, {"reason", reason}});
                   reduce(ProbeDecided{effect.id, isGranted});
               });
}

void GatewayDaemon::Impl::carryOut(const SuspectChanged &effect)
{
    m_hasUnsentUpdates |= effect.isLocal;
    m_metrics.count("pepperlug_suspect_changes");
    m_events.state("suspect",
                   {{"digest", effect.digest},
                    {"target", effect.target},
                    {"ends", effect.crashes},
                    {"standing", nameOf(effect.standing)},
                    {"noticed_here", effect.isLocal}});
}

} // namespace pepperlug::fleet
