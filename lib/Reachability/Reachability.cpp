//===- Reachability.cpp - Whether a host reaches targets ------------------===//
#include "pepperlug/Reachability.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Time without an answer from any target, while requests are sent, after which a target is probed: at least the first,
/// or a multiple of the usual time. A service that takes long would otherwise be probed all the time.
constexpr Milliseconds MinAnswerTimeout{400};
constexpr int AnswerTimeoutFactor = 2;
/// A first round with one probe costs little where targets are only slow; the further ones decide.
constexpr std::size_t FirstRoundProbes = 1;
constexpr std::size_t RoundProbes = 3;
/// Failed rounds in a row until the host counts as cut off.
constexpr unsigned RoundsUntilCutOff = 3;
/// Between the starts of two rounds while the verdict is open.
constexpr Milliseconds RoundInterval{200};
/// The same while the host is cut off: all hosts probe a service whose targets are gone.
constexpr Milliseconds CutOffRoundInterval{400};
/// After a round that reached a target, or that led to no result.
constexpr Milliseconds PauseAfterContact{1000};
/// Since the last answer to a request, within which a connection alone shows that a target is reached.
constexpr Milliseconds ConnectionTrustTime{500};
/// A round without all results is dropped after this time. Longer than a probe may take.
constexpr Milliseconds RoundTimeout{1000};

} // namespace

void TargetReachability::recordSent(TimePoint now, Duration usualTime)
{
    const TimePoint dueAt = now + std::max<Duration>(MinAnswerTimeout, usualTime * AnswerTimeoutFactor);
    m_answerDueAt = std::min(dueAt, m_answerDueAt.value_or(dueAt));
}

void TargetReachability::recordAnswer(TimePoint now)
{
    m_lastAnswerAt = now;
    m_answerDueAt.reset();
}

void TargetReachability::recordFailure()
{
    m_hasFailure = true;
}

std::size_t TargetReachability::startProbes(TimePoint now)
{
    if (m_pending > 0) {
        if (now - m_roundStartedAt < RoundTimeout) {
            return 0;
        }
        // The missing results prove nothing.
        m_pending = 0;
        m_nextRoundAt = now + PauseAfterContact;
    }
    const bool isUnanswered = m_answerDueAt && now > *m_answerDueAt;
    const bool hasReason = m_isCutOff || m_failedRounds > 0 || m_hasFailure || isUnanswered;
    if (!hasReason || now < m_nextRoundAt) {
        return 0;
    }
    m_hasFailure = false;
    m_roundStartedAt = now;
    m_reached = 0;
    m_pending = m_failedRounds == 0 ? FirstRoundProbes : RoundProbes;
    return m_pending;
}

void TargetReachability::limitRound(std::size_t probes, TimePoint now)
{
    m_pending = std::min(m_pending, probes);
    if (m_pending == 0) {
        m_nextRoundAt = now + PauseAfterContact; // there is nothing to probe
    }
}

bool TargetReachability::recordProbe(ProbeResult result, TimePoint now)
{
    if (m_pending == 0) {
        return false; // of a round that timed out
    }
    m_reached += reaches(result, now) ? 1 : 0;
    --m_pending;
    return m_pending == 0 && endRound(now);
}

bool TargetReachability::reaches(ProbeResult result, TimePoint now) const
{
    const bool isAnswering = m_lastAnswerAt && now - *m_lastAnswerAt < ConnectionTrustTime;
    return result == ProbeResult::Answered || (result == ProbeResult::Connected && isAnswering);
}

// One target reached in a round shows that the host is not cut off from all of them.
bool TargetReachability::endRound(TimePoint now)
{
    const bool before = m_isCutOff;
    if (m_reached > 0) {
        m_failedRounds = 0;
        m_isCutOff = false;
        m_answerDueAt.reset(); // the next request is a reason to look again
        m_nextRoundAt = now + PauseAfterContact;
    } else {
        ++m_failedRounds;
        m_isCutOff |= m_failedRounds >= RoundsUntilCutOff;
        m_nextRoundAt = m_roundStartedAt + (m_isCutOff ? CutOffRoundInterval : RoundInterval);
    }
    return m_isCutOff != before;
}

bool TargetReachability::isCutOff() const
{
    return m_isCutOff;
}

} // namespace pepperlug::fleet
