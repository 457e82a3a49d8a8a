//===- Attempts.cpp - Ends of attempts, retries and hedges ----------------===//
//
// An attempt of which no byte was sent, or that the peer reports as not run, may be retried for every route class. One
// that was lost after it was sent may be retried for reads only, at another target, and only within a retry budget that
// grows with the number of reads.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::size_t MaxAttempts = 4;
constexpr int SlowFactor = 4; ///< a cancelled attempt above this multiple of the mean latency counts as a failure

TargetEvidence evidenceOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
    case AttemptResult::TooLarge:
        return TargetEvidence::Success;
    case AttemptResult::ServerError:
    case AttemptResult::NotSent:
    case AttemptResult::Broken:
        return TargetEvidence::Failure;
    case AttemptResult::Shed:
        return TargetEvidence::Shed;
    case AttemptResult::RemoteNotRun:
    case AttemptResult::RemoteUnknown:
        return TargetEvidence::Neutral;
    }
    return TargetEvidence::Neutral;
}

bool wasCertainlyNotRun(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::Shed || result == AttemptResult::RemoteNotRun;
}

bool isCompleteAnswer(AttemptResult result)
{
    return result == AttemptResult::Answered || result == AttemptResult::ServerError;
}

Reason reasonOf(AttemptResult result, bool atOwner, Charge::Kind charge)
{
    switch (result) {
    case AttemptResult::NotSent:
        return atOwner ? Reason::OwnerUnreachable : Reason::TargetUnreachable;
    case AttemptResult::Shed:
        return Reason::Shed;
    case AttemptResult::RemoteNotRun:
        return charge == Charge::Kind::Region ? Reason::NoCapacity : Reason::OverLease;
    default:
        return Reason::TargetFailed;
    }
}

} // namespace

std::string Steering::Impl::peerName(const Attempt &attempt) const
{
    if (attempt.target) {
        return m_bundle->targets[idx(*attempt.target)].name;
    }
    return attempt.host ? m_bundle->hosts[idx(*attempt.host)].name : std::string();
}

// An end that arrives twice, or after its request was answered, is ignored.
void Steering::Impl::handle(const AttemptEnded &event)
{
    const auto it = m_requests.find(event.id);
    if (it == m_requests.end() || event.attempt >= it->second.attempts.size()) {
        return;
    }
    Request &request = it->second;
    Attempt &attempt = request.attempts[event.attempt];
    if (!attempt.isRunning) {
        return;
    }
    if (event.targetLeaving && attempt.target) {
        m_pool.setDrain(*attempt.target, DrainSource::Target, true, m_now, *m_out);
    }
    endAttempt(request, attempt, event.result);
    const ServiceId service = request.info.service;
    if (isCompleteAnswer(event.result)) {
        cancelAttempts(request);
        finishClaim(request, event);
        if (request.phase != Phase::Detached) {
            m_out->emplace_back(RelayAnswer{event.id, event.attempt});
        }
        const std::string key = request.holdsClaim ? request.info.key : std::string();
        releaseCharge(request);
        erase(event.id);
        if (!key.empty()) {
            answerWaiters(key);
        }
    } else {
        const Attempt ended = attempt;
        handleFailedAttempt(request, ended, event.result);
    }
    runQueue(service);
}

void Steering::Impl::endAttempt(Request &request, Attempt &attempt, AttemptResult result)
{
    attempt.isRunning = false;
    request.maybeSent |= !wasCertainlyNotRun(result);
    if (attempt.target) {
        m_pool.endRequest(*attempt.target, evidenceOf(result), m_now - attempt.startedAt, m_now, *m_out);
    }
    releaseAttempt(request, attempt);
}

void Steering::Impl::releaseAttempt(const Request &request, Attempt &attempt)
{
    if (attempt.host && !attempt.toOwner) {
        m_holder.endUse(*attempt.host, request.info.service);
    }
    if (attempt.isHedge) {
        attempt.isHedge = false;
        m_issuer.endUse({Charge::Kind::Local, m_region, {}}, request.info.service);
    }
}

void Steering::Impl::handleFailedAttempt(Request &request, const Attempt &attempt, AttemptResult result)
{
    const bool othersRunning =
        std::any_of(request.attempts.begin(), request.attempts.end(), [](const Attempt &it) { return it.isRunning; });
    if (othersRunning) {
        return;
    }
    const std::string peer = peerName(attempt);
    const Reason reason = reasonOf(result, attempt.toOwner, request.charge.kind);
    if (request.phase == Phase::Detached) {
        finishClaim(request, {request.info.id, attempt.number, result, false, nullptr});
        const std::string key = request.info.key;
        releaseCharge(request);
        erase(request.info.id);
        answerWaiters(key);
        return;
    }
    // If the key's owner is unreachable or reports unknown, it may have run the operation for an earlier request with
    // this key.
    if (attempt.toOwner) {
        const Outcome outcome = result == AttemptResult::RemoteNotRun ? Outcome::NotRun : Outcome::Unknown;
        refuse(request, outcome, result == AttemptResult::RemoteNotRun ? Reason::ClaimClosed : reason, peer);
        return;
    }
    const bool isOnce = request.info.cls == RouteClass::Once;
    const bool isOnceShed = isOnce && result == AttemptResult::Shed;
    const bool mayRetry = wasCertainlyNotRun(result) ? !isOnceShed : request.info.cls == RouteClass::Read;
    const bool needsToken = result != AttemptResult::NotSent && result != AttemptResult::RemoteNotRun;
    const bool canRetry = request.attempts.size() < MaxAttempts && !willMissDeadline(request);
    if (result != AttemptResult::TooLarge && mayRetry && canRetry && (!needsToken || takeRetryToken())) {
        if (!place(request)) {
            return;
        }
    }
    refuse(request, request.maybeSent ? Outcome::Unknown : Outcome::NotRun, reason, peer);
}

bool Steering::Impl::takeRetryToken()
{
    if (m_retryTokens < 1) {
        return false;
    }
    m_retryTokens -= 1;
    return true;
}

void Steering::Impl::cancelAttempts(Request &request)
{
    for (Attempt &attempt : request.attempts) {
        if (!attempt.isRunning) {
            continue;
        }
        attempt.isRunning = false;
        request.maybeSent = true;
        const Duration took = m_now - attempt.startedAt;
        if (attempt.target) {
            const Duration mean = m_pool.meanLatency(request.info.service);
            const bool isSlow = mean > Duration{} && took > mean * SlowFactor;
            m_pool.cancelRequest(*attempt.target, isSlow ? TargetEvidence::Failure : TargetEvidence::Neutral, took,
                                 m_now);
        }
        releaseAttempt(request, attempt);
        m_out->emplace_back(CancelAttempt{request.info.id, attempt.number});
    }
}

void Steering::Impl::releaseCharge(Request &request)
{
    if (request.isCharged) {
        request.isCharged = false;
        m_issuer.endUse(request.charge, request.info.service);
    }
}

void Steering::Impl::erase(RequestId id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    if (it->second.countsAsDemand) {
        m_demand[idx(it->second.info.service)].requestEnded();
    }
    m_requests.erase(it);
}

// A dispatched once-only operation continues past its deadline, so that its result can be returned to a retry of the
// caller. The caller is answered now.
void Steering::Impl::handleDeadline(Request &request)
{
    const RequestId id = request.info.id;
    const ServiceId service = request.info.service;
    const bool wasRunning = request.phase == Phase::Running;
    if (request.phase == Phase::Detached) {
        cancelAttempts(request);
        finishClaim(request, {id, 0, AttemptResult::Broken, false, nullptr});
        const std::string key = request.info.key;
        releaseCharge(request);
        erase(id);
        answerWaiters(key);
    } else if (wasRunning && request.holdsClaim) {
        m_out->emplace_back(Refuse{id, Outcome::Unknown, Reason::DeadlinePassed, Milliseconds{}, {}});
        request.phase = Phase::Detached;
        m_timers.push({m_now + m_bundle->services[idx(service)].maxDeadline, id, TimerKind::Deadline});
        return;
    } else if (request.phase == Phase::AwaitingCloseSync) {
        return; // the refusal is final and only waits for the disk
    } else {
        const bool maybeRan = wasRunning || request.maybeSent || request.phase == Phase::AwaitingEarlierRequest;
        refuse(request, maybeRan ? Outcome::Unknown : Outcome::NotRun, Reason::DeadlinePassed, {});
    }
    runQueue(service);
}

void Steering::Impl::handle(const CallerDisconnected &event)
{
    const auto it = m_requests.find(event.id);
    if (it == m_requests.end() || it->second.phase == Phase::Detached) {
        return;
    }
    Request &request = it->second;
    const ServiceId service = request.info.service;
    if (request.holdsClaim && request.phase == Phase::Queued) {
        refuse(request, Outcome::NotRun, Reason::CallerGone, {});
        runQueue(service);
        return;
    }
    if (request.holdsClaim) {
        if (request.phase == Phase::Running) {
            request.phase = Phase::Detached;
        }
        return; // a dispatched operation continues; a retry of the caller gets its result
    }
    cancelAttempts(request);
    releaseCharge(request);
    erase(event.id);
    runQueue(service);
}

void Steering::Impl::startHedge(Request &request)
{
    const bool runsOnce = request.phase == Phase::Running && request.attempts.size() == 1 && request.attempts[0].target;
    if (!runsOnce || request.wasHedged || willMissDeadline(request) || !m_stop.admits(request.info.deadline)
        || !m_sliceValid || m_retryTokens < 1) {
        return;
    }
    const ServiceId service = request.info.service;
    const bool hasFreeSlot =
        m_issuer.committed(service) < localCapacity(service) && m_queues[idx(service)].local.empty();
    const auto target = hasFreeSlot ? m_pool.choose(service, request.triedTargets, m_now, m_random) : std::nullopt;
    if (!target || !takeRetryToken()) {
        return;
    }
    request.wasHedged = true;
    m_issuer.startUse({Charge::Kind::Local, m_region, {}}, service);
    startAtTarget(request, *target, Reason::Hedge);
    request.attempts.back().isHedge = true;
}

} // namespace pepperlug
