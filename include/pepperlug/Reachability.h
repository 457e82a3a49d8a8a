//===- pepperlug/Reachability.h - Whether a host reaches targets -*- C++ -*-===//
//
// Tells an entry host that is cut off from all targets of a service from one
// whose targets fail one by one. Missing answers and failed attempts are only a
// reason to look: the verdict rests on probes of several targets at once, each
// over a new connection, so that neither slow targets nor the crash of some of
// them count. A connection alone is evidence only while targets answer requests:
// a device in between may accept it, and so does a target that is too busy to
// answer. Pure: time is passed in, and the caller sends the probes.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <optional>

namespace pepperlug::fleet
{

/// What came of a probe.
enum class ProbeResult : std::uint8_t {
    Answered, ///< at least a byte came back
    Connected, ///< a connection was made, and ended or stayed silent
    Failed, ///< no connection was made
};

/// Whether an entry host reaches any target of one service.
class TargetReachability
{
public:
    /// Records that a request is sent to a target. `usualTime`: that a target takes to answer such a request; zero if
    /// it is not known.
    void recordSent(TimePoint now, Duration usualTime);
    /// Records that a target answers a request.
    void recordAnswer(TimePoint now);
    /// Records that a target could not be reached, or ended the connection without an answer.
    void recordFailure();

    /// Returns how many targets to probe now, and starts a round of as many probes; 0 if none is due. To be called
    /// regularly.
    std::size_t startProbes(TimePoint now);
    /// Reduces the round in progress: fewer targets are known than startProbes() returned.
    void limitRound(std::size_t probes, TimePoint now);
    /// Records what came of a probe. Returns true if the verdict changed.
    bool recordProbe(ProbeResult result, TimePoint now);

    /// Returns true if no probe has reached a target in several rounds in a row, and none since.
    bool isCutOff() const;

private:
    bool endRound(TimePoint now);
    bool reaches(ProbeResult result, TimePoint now) const;

    std::optional<TimePoint> m_lastAnswerAt;
    std::optional<TimePoint> m_answerDueAt; ///< of a request that was sent since the last answer or successful round
    bool m_hasFailure = false; ///< since the last round
    bool m_isCutOff = false;
    unsigned m_failedRounds = 0; ///< in a row
    std::size_t m_pending = 0; ///< probes of the round in progress without a result
    std::size_t m_reached = 0; ///< probes of the round that reached a target
    TimePoint m_roundStartedAt{};
    TimePoint m_nextRoundAt{};
};

} // namespace pepperlug::fleet
