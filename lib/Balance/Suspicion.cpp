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
constexpr Milliseconds ShortestShutOutAdvice{1000};
constexpr Milliseconds LongestShutOutAdvice = FirstTrialPause;

} // namespace

void Balancer::Impl::suspect(const OpenRequest &open, const Attempt &attempt)
{
    if (open.request.digest.empty()) {
        return;
    }
    const auto [it, isNew] = m_unchecked.try_emplace(attempt.target);
    it->second.insert(open.request.digest);
    if (isNew) {
        m_out->emplace_back(CheckTarget{attempt.target, attempt.address});
    }
}

void Balancer::Impl::on(const TargetChecked &event)
{
    const auto unchecked = m_unchecked.extract(event.target);
    if (unchecked.empty() || !event.isConnectionRefused) {
        return;
    }
    m_targets.markUnreachable(event.target, m_now);
    for (const std::string &digest : unchecked.mapped()) {
        if (m_quarantine.noteEnd(digest, event.target, m_now)) {
            tellChange(digest, event.target.id, true);
        }
    }
}

void Balancer::Impl::on(const SuspectsReceived &event)
{
    for (const SuspectReport &it : event.suspects) {
        if (m_quarantine.merge(it, false, m_now)) {
            tellChange(it.digest, {}, false);
        }
    }
}

// A target may answer a failure of its own to what it has not run to its end.
void Balancer::Impl::excuse(const OpenRequest &open)
{
    if (m_quarantine.noteAnswer(open.request.digest)) {
        tellChange(open.request.digest, {}, true);
    }
}

void Balancer::Impl::tellChange(const std::string &digest, const std::string &target, bool isLocal)
{
    m_out->emplace_back(
        SuspectChanged{digest, target, m_quarantine.endsUnder(digest), m_quarantine.standing(digest, m_now), isLocal});
}

bool Balancer::Impl::isShutOut(const OpenRequest &open) const
{
    const Standing standing = m_quarantine.standing(open.request.digest, m_now);
    return !open.isTrial && (standing == Standing::ShutOut || standing == Standing::TrialDue);
}

// Whether a request that was sent may also go to another target. A suspected one that may have run at the first is left
// at that: an innocent caller tries again, and the guilty one would end a target more.
bool Balancer::Impl::maySpread(const OpenRequest &open, AttemptOutcome outcome) const
{
    if (open.isTrial) {
        return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Withdrawn;
    }
    const Standing standing = m_quarantine.standing(open.request.digest, m_now);
    return standing == Standing::Free || (standing == Standing::Suspected && isCertainlyNotRun(outcome));
}

// What was sent before goes on: if a target answers, the request is free again. Cancelled, one that many callers make
// would stay shut out after the loss of a rack at which it ran.
bool Balancer::Impl::holdBack(OpenRequest &open)
{
    const std::string &digest = open.request.digest;
    if (!isShutOut(open)) {
        return false;
    }
    const auto isAskedFor = [&](const auto &it) {
        return it.second.awaitsTrial && it.second.request.digest == digest;
    };
    const bool isTrialDue = m_quarantine.standing(digest, m_now) == Standing::TrialDue;
    if (!isTrialDue || std::any_of(m_open.begin(), m_open.end(), isAskedFor)) {
        refuse(open, Refusal::Quarantined);
        return true;
    }
    open.awaitsTrial = true;
    m_out->emplace_back(RequestProbe{open.request.id, digest});
    m_open[static_cast<std::uint64_t>(open.request.id)] = std::move(open);
    return true;
}

void Balancer::Impl::on(const ProbeDecided &event)
{
    const auto it = m_open.find(static_cast<std::uint64_t>(event.id));
    if (it == m_open.end() || !it->second.awaitsTrial) {
        return;
    }
    OpenRequest &open = it->second;
    open.awaitsTrial = false;
    Placement placement{nullptr, 0, Refusal::Quarantined};
    if (event.isGranted && followRoutes(open)) {
        m_quarantine.grantTrial(open.request.digest, m_now);
        open.isTrial = true;
        open.affinity = 0; // the emptiest target: if it ends, the fewest others are lost with it
        placement = place(open);
    }
    if (placement.target != nullptr && !isWithinQuota(open)) {
        placement = {nullptr, 0, Refusal::OverQuota};
    }
    if (placement.target == nullptr) {
        refuse(open, placement.refusal);
        m_open.erase(it);
        return;
    }
    startAttempt(open, placement);
}

Milliseconds Balancer::Impl::timeToTrial(const OpenRequest &open) const
{
    const std::optional<Duration> left = m_quarantine.untilTrial(open.request.digest, m_now);
    const Duration advised = left.value_or(LongestShutOutAdvice);
    return std::chrono::duration_cast<Milliseconds>(
        std::clamp<Duration>(advised, ShortestShutOutAdvice, LongestShutOutAdvice));
}

} // namespace pepperlug::fleet
