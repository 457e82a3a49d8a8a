//===- GatewayBackpressure.cpp - Backpressure at an entry host ------------===//
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

nlohmann::json GatewayDaemon::Impl::countSignal(const BackpressureSignal &signal)
{
    nlohmann::json fields = nlohmann::json::object();
    if (signal.rateLimit) {
        m_metrics.count("pepperlug_target_signals{kind=\"limit\"}");
        fields["limit_per_s"] = *signal.rateLimit;
    }
    if (signal.isLeaving) {
        m_metrics.count("pepperlug_target_signals{kind=\"leaving\"}");
        fields["leaving"] = true;
    }
    if (signal.backOff) {
        m_metrics.count("pepperlug_target_signals{kind=\"rest\"}");
        fields["rest_s"] = signal.backOff->count();
    }
    if (!signal.malformedHeader.empty()) {
        m_metrics.count("pepperlug_target_signals{kind=\"unreadable\"}");
        fields["unreadable"] = signal.malformedHeader;
    }
    return fields;
}

// The mutex is held.
void GatewayDaemon::Impl::addBackpressureReports(FleetWatchCall &call, const std::string &epoch)
{
    const BackpressureTable &table = m_balancer->backpressure();
    fillOffer(call.backpressure, table, m_acknowledgedBackpressure, epoch, m_clock.now());
    m_metrics.gauge("pepperlug_targets_limited", static_cast<double>(table.limitedCount()));
}

// Takes only signals that certainly come from the target: another incarnation may use its address.
void GatewayDaemon::Impl::onTargetSignal(const Incarnation &target, const AnswerFields &fields, TimePoint sentAt)
{
    const bool isRelayed = target.id.empty();
    if (!isRelayed && !fields.isWrongTarget && (fields.hasRequiredFields || !fields.isExecuted)) {
        reduce(TargetSignalled{target, fields.backpressure, sentAt});
    }
}

void GatewayDaemon::Impl::carryOut(const BackoffStarted &effect)
{
    m_events.decision("target-rests", {{"target", effect.target}, {"for_ms", effect.length.count()}});
}

void GatewayDaemon::Impl::carryOut(const BackpressureChanged &effect)
{
    m_hasUnsentUpdates |= effect.isLocal;
    m_events.state("target-signal",
                   {{"target", effect.target},
                    {"leaving", effect.isLeaving},
                    {"limit_per_s", effect.perSecond ? nlohmann::json(*effect.perSecond) : nlohmann::json()},
                    {"noticed_here", effect.isLocal}});
}

} // namespace pepperlug::fleet
