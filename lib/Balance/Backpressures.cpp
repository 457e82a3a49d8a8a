//===- Backpressures.cpp - Backpressure of targets at an entry host -------===//
#include "Impl.h"

namespace pepperlug::fleet
{

namespace
{

/// Weight of the newest answer in the mean service time.
constexpr double ServiceTimeWeight = 0.02;

} // namespace

void Balancer::Impl::handle(const TargetSignalled &event)
{
    if (event.signal.backOff) {
        const Duration length = m_targets.startBackoff(event.target, *event.signal.backOff, m_now);
        m_out->emplace_back(BackoffStarted{event.target.id, std::chrono::duration_cast<Milliseconds>(length)});
    }
    const std::optional<double> before = m_backpressure.limitOf(event.target);
    if (m_backpressure.recordSignal(event.target, event.signal, event.sentAt, m_now)) {
        publishBackpressure(event.target, true);
    } else if (m_backpressure.limitOf(event.target) != before) {
        m_targets.setLimit(event.target, m_backpressure.limitOf(event.target));
    }
}

void Balancer::Impl::handle(const BackpressureReceived &event)
{
    for (const BackpressureReport &it : event.reports) {
        if (m_backpressure.merge(it, false, m_now)) {
            publishBackpressure(it.target, false);
        }
    }
}

void Balancer::Impl::applyBackpressure(const Incarnation &target)
{
    m_targets.setLimit(target, m_backpressure.limitOf(target));
    if (m_backpressure.isLeaving(target)) {
        m_targets.setLeaving(target);
    }
}

void Balancer::Impl::publishBackpressure(const Incarnation &target, bool isLocal)
{
    applyBackpressure(target);
    m_out->emplace_back(
        BackpressureChanged{target.id, m_backpressure.limitOf(target), m_backpressure.isLeaving(target), isLocal});
}

// A target's backpressure may be known before the target itself.
void Balancer::Impl::applyKnownBackpressure()
{
    for (const BackpressureReport &it : m_backpressure.changedSince(0, UpdateRecipient::EntryHost, m_now)) {
        applyBackpressure(it.target);
    }
}

void Balancer::Impl::expireLimits()
{
    for (const Incarnation &it : m_backpressure.removeExpired(m_now)) {
        publishBackpressure(it, false);
    }
}

// The number of slots that a rate limit can occupy depends on the service time.
void Balancer::Impl::recordServiceTime(const OpenRequest &open, Duration took)
{
    const auto [mean, isNew] = m_meanServiceTime.try_emplace(open.service, secondsOf(took));
    mean->second += (secondsOf(took) - mean->second) * ServiceTimeWeight;
}

const BackpressureTable &Balancer::Impl::backpressure() const
{
    return m_backpressure;
}

} // namespace pepperlug::fleet
