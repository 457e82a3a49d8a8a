//===- GatewayBackpressure.cpp - What targets ask for, at an entry host ---===//
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

nlohmann::json GatewayDaemon::Impl::countSignal(const BackpressureSignal &signal)
{
    nlohmann::json fields = nlohmann::json::object();
    if (signal.perSecond) {
        m_metrics.count("pepperlug_target_signals{kind=\"limit\"}");
        fields["limit_per_s"] = *signal.perSecond;
    }
    if (signal.isLeaving) {
        m_metrics.count("pepperlug_target_signals{kind=\"leaving\"}");
        fields["leaving"] = true;
    }
    if (signal.rest) {
        m_metrics.count("pepperlug_target_signals{kind=\"rest\"}");
        fields["rest_s"] = signal.rest->count();
    }
    if (!signal.unreadable.empty()) {
        m_metrics.count("pepperlug_target_signals{kind=\"unreadable\"}");
        fields["unreadable"] = signal.unreadable;
    }
    return fields;
}

// The mutex is held.
void GatewayDaemon::Impl::describeBackpressure(FleetWatchCall &call, const std::string &epoch)
{
    const BackpressureTable &table = m_balancer->backpressure();
    offerNews(call.backpressure, table, m_toldBackpressure, epoch, m_clock.now());
    m_metrics.gauge("pepperlug_targets_limited", static_cast<double>(table.limited()));
}

// Only what certainly comes from the target: another incarnation may have its address.
void GatewayDaemon::Impl::onTargetSignal(const Incarnation &target, const AnswerTerms &terms, TimePoint sentAt)
{
    if (!terms.isWrongTarget && (terms.isComplete || !terms.isExecuted)) {
        reduce(TargetSignalled{target, terms.backpressure, sentAt});
    }
}

void GatewayDaemon::Impl::carryOut(const BackoffStarted &effect)
{
    m_events.decision("target-rests", {{"target", effect.target}, {"for_ms", effect.length.count()}});
}

void GatewayDaemon::Impl::carryOut(const BackpressureChanged &effect)
{
    m_hasNewsToTell |= effect.isLocal;
    m_events.state("target-signal",
                   {{"target", effect.target},
                    {"leaving", effect.isLeaving},
                    {"limit_per_s", effect.perSecond ? nlohmann::json(*effect.perSecond) : nlohmann::json()},
                    {"noticed_here", effect.isLocal}});
}

} // namespace pepperlug::fleet
