//===- OnceFlow.cpp - Claims of once-only operations ----------------------===//
//
// Only the owner of a key may claim it, and only the request that was granted the claim may be dispatched. The outcome
// in an answer concerns the operation: another request with the same key may have run it, so only the key's owner
// answers "not run", after it has closed the claim permanently.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <cassert>

namespace pepperlug
{

bool Steering::Impl::claim(Request &request)
{
    const std::optional<OperationKey> key = OperationKey::parse(request.info.key);
    if (!key) {
        refuse(request, Outcome::NotRun, Reason::KeyMissing, {});
        return false;
    }
    if (key->home.host != m_settings.hostName) {
        startAtOwner(request, *key);
        return false;
    }
    const ClaimResult result = m_ledger.claim(*key, request.info.requestDigest, m_now);
    switch (result.verdict) {
    case ClaimVerdict::Granted:
        request.holdsClaim = true;
        if (!m_settings.syncClaims) {
            return true;
        }
        request.phase = Phase::AwaitingClaimSync;
        m_out->emplace_back(SyncClaim{request.info.id, m_ledger.recordOf(request.info.key, m_now), true});
        return false;
    case ClaimVerdict::InProgress:
        request.phase = Phase::AwaitingEarlierRequest;
        m_waiters[request.info.key].push_back(request.info.id);
        return false;
    case ClaimVerdict::Answered:
        if (result.answer) {
            m_out->emplace_back(SendStoredAnswer{request.info.id, result.answer});
            erase(request.info.id);
        } else {
            refuse(request, Outcome::Unknown, Reason::ClaimUnknown, {});
        }
        return false;
    case ClaimVerdict::NotRun:
        refuse(request, Outcome::NotRun, Reason::ClaimClosed, {});
        return false;
    case ClaimVerdict::Unknown:
        refuse(request, Outcome::Unknown, Reason::ClaimUnknown, {});
        return false;
    case ClaimVerdict::Mismatch:
        refuse(request, Outcome::NotRun, Reason::KeyMismatch, {});
        return false;
    case ClaimVerdict::ForeignLedger:
        refuse(request, Outcome::Unknown, Reason::KeyForeign, {});
        return false;
    case ClaimVerdict::Expired:
        refuse(request, Outcome::Unknown, Reason::KeyExpired, {});
        return false;
    }
    return false;
}

void Steering::Impl::startAtOwner(Request &request, const OperationKey &key)
{
    if (request.info.forwardedBy) {
        refuse(request, Outcome::Unknown, Reason::LoopRefused, {});
        return;
    }
    if (!m_stop.admits(request.info.deadline)) {
        refuse(request, Outcome::Unknown, Reason::Leaving, {}); // the owner may have run an earlier one with the key
        return;
    }
    const std::optional<HostId> owner = m_bundle->findHost(key.home.host);
    if (!owner) {
        refuse(request, Outcome::Unknown, Reason::KeyForeign, key.home.host);
        return;
    }
    startAtHost(request, *owner, Reason::Owner, true);
}

void Steering::Impl::handle(const ClaimSynced &event)
{
    const auto it = m_requests.find(event.id);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = it->second;
    if (request.phase == Phase::AwaitingCloseSync && event.state == ClaimState::NotRun) {
        const Refuse refusal = request.pendingRefusal;
        const std::string key = request.info.key;
        m_out->emplace_back(refusal);
        erase(refusal.id);
        answerWaiters(key);
        return;
    }
    if (request.phase != Phase::AwaitingClaimSync || event.state != ClaimState::Claimed) {
        return;
    }
    if (const std::optional<Reason> reason = place(request)) {
        refuse(request, Outcome::NotRun, *reason, {});
    }
}

void Steering::Impl::finishClaim(Request &request, const AttemptEnded &event)
{
    if (!request.holdsClaim) {
        return;
    }
    const bool isAnswered = event.result == AttemptResult::Answered || event.result == AttemptResult::ServerError;
    std::optional<LedgerRecord> record;
    if (isAnswered) {
        record = m_ledger.answered(request.info.key, event.answer, m_now);
    } else if (request.maybeSent) {
        record = m_ledger.markUnknown(request.info.key, m_now);
    } else {
        record = m_ledger.closeNotRun(request.info.key, m_now);
    }
    if (record && m_settings.syncClaims) {
        m_out->emplace_back(SyncClaim{request.info.id, std::move(*record), false});
    }
}

bool Steering::Impl::closeClaim(Request &request, const Refuse &refusal)
{
    std::optional<LedgerRecord> record = refusal.outcome == Outcome::NotRun
        ? m_ledger.closeNotRun(request.info.key, m_now)
        : m_ledger.markUnknown(request.info.key, m_now);
    if (!record || !m_settings.syncClaims) {
        return false;
    }
    const bool mustWait = refusal.outcome == Outcome::NotRun;
    m_out->emplace_back(SyncClaim{request.info.id, std::move(*record), mustWait});
    if (mustWait) {
        request.phase = Phase::AwaitingCloseSync;
        request.pendingRefusal = refusal;
    }
    return mustWait;
}

// Requests that arrived while an earlier one with their key was running get its result.
void Steering::Impl::answerWaiters(const std::string &key)
{
    const auto it = m_waiters.find(key);
    if (it == m_waiters.end()) {
        return;
    }
    const std::vector<RequestId> ids = std::move(it->second);
    m_waiters.erase(it);
    for (const RequestId id : ids) {
        const auto found = m_requests.find(id);
        if (found != m_requests.end() && found->second.phase == Phase::AwaitingEarlierRequest) {
            [[maybe_unused]] const bool isGranted = claim(found->second);
            assert(!isGranted && "a closed claim was granted again");
        }
    }
}

} // namespace pepperlug
