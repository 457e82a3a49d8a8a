//===- Backpressures.cpp - What targets ask for, at an entry host ---------===//
#include "Impl.h"

namespace pepperlug::fleet
{

namespace
{

/// Of the newest answer in the mean time that a service's requests take.
constexpr double WorkWeight = 0.02;

} // namespace

void Balancer::Impl::on(const TargetSignalled &event)
{
    if (event.signal.rest) {
        const Duration length = m_targets.startRest(event.target, *event.signal.rest, m_now);
        m_out->emplace_back(RestBegun{event.target.id, std::chrono::duration_cast<Milliseconds>(length)});
    }
    const std::optional<double> before = m_backpressure.limitOf(event.target);
    const bool isNew = m_backpressure.hear(event.target, event.signal, event.sentAt, m_now);
    const std::optional<double> limit = m_backpressure.limitOf(event.target);
    if (limit != before) {
        m_targets.setLimit(event.target, limit);
    }
    if (isNew) {
        m_out->emplace_back(LimitChanged{event.target.id, limit, true});
    }
}

void Balancer::Impl::on(const BackpressureTold &event)
{
    for (const BackpressureReport &it : event.reports) {
        if (!m_backpressure.merge(it, false, m_now)) {
            continue;
        }
        const std::optional<double> limit = m_backpressure.limitOf(it.target);
        m_targets.setLimit(it.target, limit);
        m_out->emplace_back(LimitChanged{it.target.id, limit, false});
    }
}

// A limit may be known before the target is.
void Balancer::Impl::followLimits()
{
    for (const BackpressureReport &it : m_backpressure.changedSince(0, NewsReader::EntryHost, m_now)) {
        m_targets.setLimit(it.target, m_backpressure.limitOf(it.target));
    }
}

void Balancer::Impl::forgetLimits()
{
    for (const Incarnation &it : m_backpressure.forget(m_now)) {
        m_targets.setLimit(it, std::nullopt);
        m_out->emplace_back(LimitChanged{it.id, std::nullopt, false});
    }
}

// Of the time at a target, in slots that a request a second keeps busy.
void Balancer::Impl::noteWork(const OpenRequest &open, Duration took)
{
    const auto [mean, isNew] = m_meanWork.try_emplace(open.service, secondsOf(took));
    mean->second += (secondsOf(took) - mean->second) * WorkWeight;
}

const BackpressureTable &Balancer::Impl::backpressure() const
{
    return m_backpressure;
}

} // namespace pepperlug::fleet
