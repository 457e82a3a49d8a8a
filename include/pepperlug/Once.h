//===- pepperlug/Once.h - At-most-once claims --------------------*- C++ -*-===//
//
// The ledger in which one entry host, the home of a key, notes that it has
// claimed an operation before it dispatches it. A claim is dispatched at most
// once, ever; a ledger whose state was lost comes back under a new id, and keys
// of an unknown id are never run. Pure: no input or output, time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <unordered_map>

namespace pepperlug
{

/// The part of an Idempotency-Key that a look-up hands out: which host's ledger the key belongs to, and when the
/// token was made, in seconds of that ledger's life.
struct HomeToken {
    std::string host;
    std::string ledgerId;
    std::chrono::seconds issued{};

    std::string text() const;
};

/// A whole Idempotency-Key, HOME.UNIQUE.
struct OperationKey {
    HomeToken home;
    std::string unique;

    /// Nothing if the text is not HOME.UNIQUE with a well-formed home.
    static std::optional<OperationKey> parse(const std::string &text);
    std::string text() const;
};

constexpr std::size_t MaxOperationKeyBytes = 256;
/// Answers with a longer body are not kept; a resend is then told `unknown`.
constexpr std::size_t MaxStoredAnswerBytes = 64 * 1024;

enum class ClaimState {
    Claimed, ///< dispatched, or about to be; no end is known
    Answered, ///< a target answered
    NotRun, ///< closed without reaching a target; will never run
    Unknown, ///< dispatched and lost sight of; will never be dispatched again
};

/// A change of the ledger as it is put on a disk.
struct LedgerRecord {
    std::string key;
    std::string requestDigest;
    ClaimState state = ClaimState::Claimed;
    AnswerPtr answer; ///< with Answered, where it is short enough to keep
    std::chrono::seconds at{}; ///< of the ledger's life
};

enum class ClaimVerdict {
    Granted, ///< claimed now: the caller of claim() may dispatch, once
    InProgress, ///< an earlier request with this key has not ended
    Answered, ///< the stored answer is in the result (null if it was too long to keep)
    NotRun, ///< closed as not run; stays so
    Unknown, ///< may have run; can't be told
    Mismatch, ///< the key was used with another request
    ForeignLedger, ///< not a key of this ledger's id: never run here
    Expired, ///< the token is older than the time for which claims are kept
};

struct ClaimResult {
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    AnswerPtr answer;
};

class Ledger
{
public:
    /// `id` must be new unless `records` hold all that was ever synced under it.
    Ledger(std::string host, std::string id, std::chrono::seconds claimTtl, TimePoint now);

    /// Replays records from a disk; a claim whose end is not among them becomes Unknown.
    void restore(const std::vector<LedgerRecord> &records);
    void setClaimTtl(std::chrono::seconds ttl);

    HomeToken token(TimePoint now) const;
    ClaimResult claim(const OperationKey &key, const std::string &requestDigest, TimePoint now);
    /// Each of these ends a claim that is still Claimed and returns the record to keep; nothing if it had ended.
    std::optional<LedgerRecord> answered(const std::string &key, AnswerPtr answer, TimePoint now);
    std::optional<LedgerRecord> closeNotRun(const std::string &key, TimePoint now);
    std::optional<LedgerRecord> markUnknown(const std::string &key, TimePoint now);
    /// Record of a claim as it stands, to be synced before dispatch.
    LedgerRecord recordOf(const std::string &key, TimePoint now) const;

    /// Forgets claims whose token has expired; such keys are refused by their age.
    void forgetExpired(TimePoint now);
    const std::string &id() const;
    std::size_t size() const;
    std::optional<ClaimState> stateOf(const std::string &key) const;

private:
    struct Claim {
        std::string requestDigest;
        ClaimState state = ClaimState::Claimed;
        AnswerPtr answer;
        std::chrono::seconds issued{}; ///< when the key's token was made
    };

    std::chrono::seconds age(TimePoint now) const;
    std::optional<LedgerRecord> end(const std::string &key, ClaimState state, AnswerPtr answer, TimePoint now);

    std::string m_host;
    std::string m_id;
    std::chrono::seconds m_claimTtl;
    TimePoint m_started;
    std::chrono::seconds m_ageAtStart{};
    std::chrono::seconds m_forgottenUpTo{-1}; ///< keys of tokens made by then may have been forgotten
    std::unordered_map<std::string, Claim> m_claims;
};

} // namespace pepperlug
