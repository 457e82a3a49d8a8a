//===- Attempts.cpp - Ends of attempts, retries and hedges ----------------===//
//
// What may be tried again depends on what is certain. An attempt of which no byte was sent, or that the other side says
// it did not run, may be repeated for every class. One that was lost on the way may be repeated for reads only, to
// another target, and only from a budget that grows with the reads themselves.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::size_t MaxAttempts = 4;
constexpr int SlowFactor = 4; ///< a cancelled attempt counts against its target if it took this many times the mean

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

bool isCertainlyNotRun(AttemptResult result)
{
    return result == AttemptResult::NotSent || result == AttemptResult::Shed || result == AttemptResult::RemoteNotRun;
}

bool isWholeAnswer(AttemptResult result)
{
    return result == AttemptResult::Answered || result == AttemptResult::ServerError;
}

Reason reasonOf(AttemptResult result, bool atHome, Charge::Kind charge)
{
    switch (result) {
    case AttemptResult::NotSent:
        return atHome ? Reason::OwnerUnreachable : Reason::TargetUnreachable;
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

// An end that comes twice, or after its request has got its answer, finds nothing here and is dropped.
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
    if (isWholeAnswer(event.result)) {
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
    request.maybeSent |= !isCertainlyNotRun(result);
    if (attempt.target) {
        m_pool.endRequest(*attempt.target, evidenceOf(result), m_now - attempt.startedAt, m_now, *m_out);
    }
    releaseAttempt(request, attempt);
}

// Gives back what an attempt used besides its target.
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
    const bool othersRun =
        std::any_of(request.attempts.begin(), request.attempts.end(), [](const Attempt &it) { return it.isRunning; });
    if (othersRun) {
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
    // A home that can't be asked, or can't tell, may have run the operation for an earlier request with this key.
    if (attempt.toOwner) {
        const Outcome outcome = result == AttemptResult::RemoteNotRun ? Outcome::NotRun : Outcome::Unknown;
        refuse(request, outcome, result == AttemptResult::RemoteNotRun ? Reason::ClaimClosed : reason, peer);
        return;
    }
    const bool isOnce = request.info.cls == RouteClass::Once;
    const bool shedOnce = isOnce && result == AttemptResult::Shed;
    const bool mayRepeat = isCertainlyNotRun(result) ? !shedOnce : request.info.cls == RouteClass::Read;
    const bool paysToken = result != AttemptResult::NotSent && result != AttemptResult::RemoteNotRun;
    const bool hasRoom = request.attempts.size() < MaxAttempts && !willMissDeadline(request);
    if (result != AttemptResult::TooLarge && mayRepeat && hasRoom && (!paysToken || takeRetryToken())) {
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

// A once-only operation that has been dispatched is left to run, so that a resend can be told what came of it. Its
// caller gets an answer now all the same.
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
        return; // the refusal is on its way and is certain; it waits for the disk alone
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
        return; // a dispatched operation goes on; a resend will ask for its end
    }
    cancelAttempts(request);
    releaseCharge(request);
    erase(event.id);
    runQueue(service);
}

void Steering::Impl::startHedge(Request &request)
{
    const bool runsOnce = request.phase == Phase::Running && request.attempts.size() == 1 && request.attempts[0].target;
    if (!runsOnce || request.hedged || willMissDeadline(request) || !m_sliceValid || m_retryTokens < 1) {
        return;
    }
    const ServiceId service = request.info.service;
    const bool hasRoom = m_issuer.committed(service) < localCapacity(service) && m_queues[idx(service)].local.empty();
    const auto target = hasRoom ? m_pool.choose(service, request.triedTargets, m_now, m_random) : std::nullopt;
    if (!target || !takeRetryToken()) {
        return;
    }
    request.hedged = true;
    m_issuer.startUse({Charge::Kind::Local, m_region, {}}, service);
    startAtTarget(request, *target, Reason::Hedge);
    request.attempts.back().isHedge = true;
}

} // namespace pepperlug
