//===- Ledger.cpp - Claims of once-only operations ------------------------===//
//
// At most once needs no agreement: a key names the one ledger that may ever run it, by a random id that dies with the
// ledger's state. Forgetting is safe because a key carries its token's age, and an old one is refused without a look
// at the claims.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Once.h"

#include <cassert>

namespace pepperlug
{

Ledger::Ledger(std::string host, std::string id, std::chrono::seconds claimTtl, TimePoint now)
    : m_host(std::move(host))
    , m_id(std::move(id))
    , m_claimTtl(claimTtl)
    , m_started(now)
{
}

// The time that a host was down does not count as age: claims and tokens both live that much longer, in step.
void Ledger::restore(const std::vector<LedgerRecord> &records)
{
    for (const LedgerRecord &record : records) {
        const std::optional<OperationKey> key = OperationKey::parse(record.key);
        if (!key) {
            continue;
        }
        Claim &claim = m_claims[record.key];
        claim.requestDigest = record.requestDigest;
        claim.state = record.state;
        claim.answer = record.answer;
        claim.issued = key->home.issued;
        m_ageAtStart = std::max({m_ageAtStart, record.at, key->home.issued});
    }
    for (auto &[key, claim] : m_claims) {
        if (claim.state == ClaimState::Claimed) {
            claim.state = ClaimState::Unknown;
        }
    }
}

void Ledger::setClaimTtl(std::chrono::seconds ttl)
{
    m_claimTtl = ttl;
}

std::chrono::seconds Ledger::age(TimePoint now) const
{
    return m_ageAtStart + std::chrono::duration_cast<std::chrono::seconds>(now - m_started);
}

HomeToken Ledger::token(TimePoint now) const
{
    return {m_host, m_id, age(now)};
}

ClaimResult Ledger::claim(const OperationKey &key, const std::string &requestDigest, TimePoint now)
{
    if (key.home.host != m_host || key.home.ledgerId != m_id) {
        return {ClaimVerdict::ForeignLedger, nullptr};
    }
    const bool isTooOld = key.home.issued + m_claimTtl <= age(now) || key.home.issued <= m_forgottenUpTo;
    if (key.home.issued > age(now) || isTooOld) {
        return {ClaimVerdict::Expired, nullptr};
    }
    const auto [it, isNew] = m_claims.try_emplace(key.text());
    Claim &claim = it->second;
    if (isNew) {
        claim.requestDigest = requestDigest;
        claim.issued = key.home.issued;
        return {ClaimVerdict::Granted, nullptr};
    }
    if (claim.requestDigest != requestDigest) {
        return {ClaimVerdict::Mismatch, nullptr};
    }
    switch (claim.state) {
    case ClaimState::Claimed:
        return {ClaimVerdict::InProgress, nullptr};
    case ClaimState::Answered:
        return {ClaimVerdict::Answered, claim.answer};
    case ClaimState::NotRun:
        return {ClaimVerdict::NotRun, nullptr};
    case ClaimState::Unknown:
        return {ClaimVerdict::Unknown, nullptr};
    }
    return {ClaimVerdict::Unknown, nullptr};
}

std::optional<LedgerRecord> Ledger::answered(const std::string &key, AnswerPtr answer, TimePoint now)
{
    if (answer && answer->body.size() > MaxStoredAnswerBytes) {
        answer = nullptr;
    }
    return end(key, ClaimState::Answered, std::move(answer), now);
}

std::optional<LedgerRecord> Ledger::closeNotRun(const std::string &key, TimePoint now)
{
    return end(key, ClaimState::NotRun, nullptr, now);
}

std::optional<LedgerRecord> Ledger::markUnknown(const std::string &key, TimePoint now)
{
    return end(key, ClaimState::Unknown, nullptr, now);
}

std::optional<LedgerRecord> Ledger::end(const std::string &key, ClaimState state, AnswerPtr answer, TimePoint now)
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return std::nullopt;
    }
    // A late answer may still replace Unknown: it says what happened, and allows no second dispatch.
    const bool isLateAnswer = it->second.state == ClaimState::Unknown && state == ClaimState::Answered;
    if (it->second.state != ClaimState::Claimed && !isLateAnswer) {
        return std::nullopt;
    }
    it->second.state = state;
    it->second.answer = std::move(answer);
    return recordOf(key, now);
}

LedgerRecord Ledger::recordOf(const std::string &key, TimePoint now) const
{
    const auto it = m_claims.find(key);
    assert(it != m_claims.end() && "a record is asked for a key that was never claimed");
    return {key, it->second.requestDigest, it->second.state, it->second.answer, age(now)};
}

// The horizon is kept besides the claims: a bundle that lengthens the time to keep claims must not bring back to life
// a key that was already forgotten.
void Ledger::forgetExpired(TimePoint now)
{
    m_forgottenUpTo = std::max(m_forgottenUpTo, age(now) - m_claimTtl);
    std::erase_if(m_claims, [&](const auto &it) {
        return it.second.issued <= m_forgottenUpTo && it.second.state != ClaimState::Claimed;
    });
}

const std::string &Ledger::id() const
{
    return m_id;
}

std::size_t Ledger::size() const
{
    return m_claims.size();
}

std::optional<ClaimState> Ledger::stateOf(const std::string &key) const
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return std::nullopt;
    }
    return it->second.state;
}

} // namespace pepperlug
