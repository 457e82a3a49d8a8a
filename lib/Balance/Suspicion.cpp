//===- Suspicion.cpp - Requests that end the targets which run them -------===//
//
// A connection that ends under a request may have ended for many reasons: an answer that was lost, a reset, a kept
// connection that was closed just then. Only where nothing listens at the target's address right afterwards has the
// target itself ended, and every request that this host had there is noted. What follows from that is the same at all
// hosts, which are told at once.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Bounds of what a caller is told to wait whose request is shut out. Sooner nothing can have changed; later than the
/// first trial nobody knows.
constexpr Milliseconds MinQuarantineRetryAfter{1000};
constexpr Milliseconds MaxQuarantineRetryAfter = FirstTrialPause;

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
    m_targets.markUnreachable(event.target, m_now);
    for (const std::string &digest : pending.mapped()) {
        if (m_quarantine.noteEnd(digest, event.target, m_now)) {
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

// A target may answer a failure of its own to what it has not run to its end.
void Balancer::Impl::clearSuspicion(const OpenRequest &open)
{
    if (m_quarantine.noteAnswer(open.request.digest)) {
        publishSuspect(open.request.digest, {}, true);
    }
}

void Balancer::Impl::publishSuspect(const std::string &digest, const std::string &target, bool isLocal)
{
    m_out->emplace_back(
        SuspectChanged{digest, target, m_quarantine.endsUnder(digest), m_quarantine.standing(digest, m_now), isLocal});
}

bool Balancer::Impl::isQuarantined(const OpenRequest &open) const
{
    const Standing standing = m_quarantine.standing(open.request.digest, m_now);
    return !open.isProbe && (standing == Standing::ShutOut || standing == Standing::TrialDue);
}

// Whether a request that was sent may also go to another target. A suspected one that may have run at the first is left
// at that: an innocent caller tries again, and the guilty one would end a target more.
bool Balancer::Impl::mayUseAnotherTarget(const OpenRequest &open, AttemptOutcome outcome) const
{
    if (open.isProbe) {
        return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Withdrawn;
    }
    const Standing standing = m_quarantine.standing(open.request.digest, m_now);
    return standing == Standing::Free || (standing == Standing::Suspected && isCertainlyNotRun(outcome));
}

// What was sent before goes on: if a target answers, the request is free again. Cancelled, one that many callers make
// would stay shut out after the loss of a rack at which it ran.
bool Balancer::Impl::refuseOrProbe(OpenRequest &open)
{
    const std::string &digest = open.request.digest;
    if (!isQuarantined(open)) {
        return false;
    }
    const auto isProbeRequested = [&](const auto &it) {
        return it.second.awaitsProbe && it.second.request.digest == digest;
    };
    const bool isProbeDue = m_quarantine.standing(digest, m_now) == Standing::TrialDue;
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
        m_quarantine.grantTrial(open.request.digest, m_now);
        open.isProbe = true;
        open.affinity = 0; // the emptiest target: if it ends, the fewest others are lost with it
        placement = place(open);
    }
    if (placement.target != nullptr && !chargeQuota(open)) {
        placement = {nullptr, 0, Refusal::OverQuota};
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
    const std::optional<Duration> left = m_quarantine.untilTrial(open.request.digest, m_now);
    const Duration advised = left.value_or(MaxQuarantineRetryAfter);
    return std::chrono::duration_cast<Milliseconds>(
        std::clamp<Duration>(advised, MinQuarantineRetryAfter, MaxQuarantineRetryAfter));
}

} // namespace pepperlug::fleet
