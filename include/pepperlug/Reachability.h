//===- pepperlug/Reachability.h - Whether a host reaches targets -*- C++ -*-===//
//
// Tells an entry host that is cut off from all targets of a service from one
// whose targets fail one by one. Missing answers and failed attempts are only a
// reason to look: the verdict rests on probes of several targets at once, each
// over a new connection, so that neither slow targets nor the crash of some of
// them count. A probe succeeds if any byte comes back. Pure: time is passed in,
// and the caller sends the probes.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <optional>

namespace pepperlug::fleet
{

/// Whether an entry host reaches any target of one service.
class TargetReachability
{
public:
    /// Records that a request is sent to a target. `usualTime`: that a target takes to answer such a request; zero if
    /// it is not known.
    void recordSent(TimePoint now, Duration usualTime);
    /// Records that a target answered a request.
    void recordAnswer();
    /// Records that a target could not be reached, or ended the connection without an answer.
    void recordFailure();

    /// Returns how many targets to probe now, and starts a round of as many probes; 0 if none is due. To be called
    /// regularly.
    std::size_t startProbes(TimePoint now);
    /// Reduces the round in progress: fewer targets are known than startProbes() returned.
    void limitRound(std::size_t probes, TimePoint now);
    /// Records whether a probe was answered. Returns true if the verdict changed.
    bool recordProbe(bool isAnswered, TimePoint now);

    /// Returns true if no probed target has answered in several rounds in a row, and none since.
    bool isCutOff() const;

private:
    bool endRound(TimePoint now);

    std::optional<TimePoint> m_answerDueAt; ///< of a request that was sent since the last answer or answered round
    bool m_hasFailure = false; ///< since the last round
    bool m_isCutOff = false;
    unsigned m_failedRounds = 0; ///< in a row
    std::size_t m_pending = 0; ///< probes of the round in progress without a result
    std::size_t m_answered = 0; ///< probes of the round that were answered
    TimePoint m_roundStartedAt{};
    TimePoint m_nextRoundAt{};
};

} // namespace pepperlug::fleet
