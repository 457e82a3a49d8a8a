//===- Suspicion.cpp - Requests that crash their targets ------------------===//
//
// A connection can end during a request for many reasons: the answer was lost, the connection was reset, or a
// keep-alive connection was closed at that moment. The target counts as crashed only if nothing listens at its address
// right afterwards; then every request whose connection ended there is recorded. The consequences are the same at all
// hosts, which receive the record at once.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Bounds of the time that the caller of a quarantined request is told to wait. Nothing can have changed sooner, and
/// what happens after the first probe is not known.
constexpr Milliseconds MinQuarantineRetryAfter{1000};
constexpr Milliseconds MaxQuarantineRetryAfter = FirstProbeDelay;

} // namespace

void Balancer::Impl::checkForCrash(const OpenRequest &open, const Attempt &attempt)
{
    if (open.request.digest.empty()) {
        return;
    }
    const auto [it, isNew] = m_pendingChecks.try_emplace(attempt.target);
    it->second.insert(open.request.digest);
    if (isNew) {
        m_out->emplace_back(CheckTarget{attempt.target, attempt.address});
    }
}

void Balancer::Impl::handle(const TargetChecked &event)
{
    const auto pending = m_pendingChecks.extract(event.target);
    if (pending.empty() || !event.isConnectionRefused) {
        return;
    }
    m_targets.blockAtOnce(event.target, m_now);
    for (const std::string &digest : pending.mapped()) {
        if (m_quarantine.recordCrash(digest, event.target, m_now)) {
            publishSuspect(digest, event.target.id, true);
        }
    }
}

void Balancer::Impl::handle(const SuspectsReceived &event)
{
    for (const SuspectReport &it : event.suspects) {
        if (m_quarantine.merge(it, false, m_now)) {
            publishSuspect(it.digest, {}, false);
        }
    }
}

// Called for answers that do not report a failure of the target itself: such a failure may be sent for a request that
// did not run to its end.
void Balancer::Impl::clearSuspicion(const OpenRequest &open)
{
    if (m_quarantine.recordAnswer(open.request.digest)) {
        publishSuspect(open.request.digest, {}, true);
    }
}

void Balancer::Impl::publishSuspect(const std::string &digest, const std::string &target, bool isLocal)
{
    m_out->emplace_back(
        SuspectChanged{digest, target, m_quarantine.crashCount(digest), m_quarantine.statusOf(digest, m_now), isLocal});
}

bool Balancer::Impl::isQuarantined(const OpenRequest &open) const
{
    const QuarantineStatus standing = m_quarantine.statusOf(open.request.digest, m_now);
    return !open.isProbe && (standing == QuarantineStatus::Quarantined || standing == QuarantineStatus::ProbeDue);
}

// Returns true if a request that was sent may also go to another target. A suspected request that may have run at the
// first is not sent again: a caller whose request is harmless retries, while a harmful one would crash another target.
bool Balancer::Impl::mayUseAnotherTarget(const OpenRequest &open, AttemptOutcome outcome) const
{
    if (open.isProbe) {
        return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Withdrawn;
    }
    const QuarantineStatus standing = m_quarantine.statusOf(open.request.digest, m_now);
    return standing == QuarantineStatus::Free
        || (standing == QuarantineStatus::Suspected && isCertainlyNotRun(outcome));
}

// Attempts that were sent before the quarantine continue: if a target answers, the request is free again. If they were
// cancelled, a request that many callers send would stay quarantined after the loss of a rack that ran it.
bool Balancer::Impl::refuseOrProbe(OpenRequest &open)
{
    const std::string &digest = open.request.digest;
    if (!isQuarantined(open)) {
        return false;
    }
    const auto isProbeRequested = [&](const auto &it) {
        return it.second.awaitsProbe && it.second.request.digest == digest;
    };
    const bool isProbeDue = m_quarantine.statusOf(digest, m_now) == QuarantineStatus::ProbeDue;
    if (!isProbeDue || std::any_of(m_open.begin(), m_open.end(), isProbeRequested)) {
        refuse(open, Refusal::Quarantined);
        return true;
    }
    open.awaitsProbe = true;
    m_out->emplace_back(RequestProbe{open.request.id, digest});
    m_open[static_cast<std::uint64_t>(open.request.id)] = std::move(open);
    return true;
}

void Balancer::Impl::handle(const ProbeDecided &event)
{
    const auto it = m_open.find(static_cast<std::uint64_t>(event.id));
    if (it == m_open.end() || !it->second.awaitsProbe) {
        return;
    }
    OpenRequest &open = it->second;
    open.awaitsProbe = false;
    Placement placement{nullptr, 0, Refusal::Quarantined};
    if (event.isGranted && refreshRoute(open)) {
        m_quarantine.grantProbe(open.request.digest, m_now);
        open.isProbe = true;
        open.affinity = 0; // use the least loaded target: if it crashes, the fewest other requests are lost
        placement = place(open);
    }
    if (placement.target != nullptr) {
        const QuotaDecision decision = requestToken(open);
        if (decision == QuotaDecision::Waiting) {
            return;
        }
        placement = decision == QuotaDecision::Admitted ? placement : Placement{nullptr, 0, Refusal::OverQuota};
    }
    if (placement.target == nullptr) {
        refuse(open, placement.refusal);
        m_open.erase(it);
        return;
    }
    startAttempt(open, placement);
}

Milliseconds Balancer::Impl::timeUntilProbe(const OpenRequest &open) const
{
    const std::optional<Duration> left = m_quarantine.timeUntilProbe(open.request.digest, m_now);
    const Duration wait = left.value_or(MaxQuarantineRetryAfter);
    return std::chrono::duration_cast<Milliseconds>(
        std::clamp<Duration>(wait, MinQuarantineRetryAfter, MaxQuarantineRetryAfter));
}

} // namespace pepperlug::fleet
