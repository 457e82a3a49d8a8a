//===- TargetPool.h - This host's slice of its zone's targets ----*- C++ -*-===//
//
// The targets of the zone that this host may use, the number of slots it owns on
// each, their state as observed by requests, and the choice among them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Steer.h"

#include <random>

namespace pepperlug
{

/// Source of a drain of a target. A target is drained while any source drains it.
enum class DrainSource : unsigned {
    Operator = 1,
    Platform = 2,
    Target = 4,
};

/// Evidence that the end of a request gives about its target.
enum class TargetEvidence {
    Success,
    Failure,
    Shed,
    Neutral, ///< cancelled, or no evidence
};

/// Returns the slots that one host of a zone owns on each target, by TargetId. Slot n of a service in the zone belongs
/// to owner n modulo the number of owners, so every target is shared as evenly as whole slots allow, and no slot
/// belongs to two hosts.
std::vector<unsigned> sliceOf(const Bundle &bundle, ZoneId zone, const std::vector<HostId> &owners, HostId host);

/// The targets of this host's zone.
class TargetPool
{
public:
    /// Applies the targets of the host's zone. The state of targets that remain is kept, matched by name.
    void applyBundle(const Bundle &bundle, ZoneId zone, TimePoint now);
    /// Sets the slots that this host owns on each target, indexed by TargetId.
    void setSlots(const std::vector<unsigned> &slots);

    /// Chooses a usable target that is not in `excluded`.
    std::optional<TargetId> choose(ServiceId service, const std::vector<TargetId> &excluded, TimePoint now,
                                   std::mt19937_64 &random);
    void startRequest(TargetId target);
    void endRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now, Effects &out);

    /// Ends a cancelled attempt. Its slot stays in use for a while, until the target has received the cancellation.
    void cancelRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now);

    void setDrain(TargetId target, DrainSource source, bool isLeaving, TimePoint now, Effects &out);
    void applyReport(const TargetReported &report, TimePoint now);
    /// Updates limits and capacity for the passage of time: slow start, end of ejections and of cancelled attempts.
    void refresh(TimePoint now, Effects &out);

    /// Returns true if the target is in this host's zone.
    bool contains(TargetId target) const;
    unsigned sliceSlots(ServiceId service) const;
    unsigned capacity(ServiceId service) const;
    unsigned inFlight(ServiceId service) const;
    /// Returns the moving average of a request's latency at a target, zero if unknown.
    Duration meanLatency(ServiceId service) const;
    /// Returns the time after which a request is slower than nearly all others.
    Duration hedgeDelay(ServiceId service) const;
    TargetView view(TargetId target) const;

private:
    /// State of one target.
    struct TargetState {
        TargetId id{};
        std::string name;
        unsigned slots = 0;
        unsigned inFlight = 0;
        double latency = 0; ///< seconds, moving average
        double failureShare = 0; ///< share of failed requests, moving average
        unsigned failuresInRow = 0;
        unsigned ejections = 0;
        unsigned drains = 0; ///< bits of DrainSource
        TimePoint drainStarted{};
        bool idleReported = true;
        TimePoint slowStartAt{}; ///< start of the slow start
        TimePoint ejectedUntil{};
        TimePoint backOffUntil{}; ///< end of the back-off after a shed request
        TimePoint reportedAt{};
        double trust = 1; ///< divisor of the score, from MinTrust to 1, lowered by the target's reports
        unsigned limit = 0; ///< slots usable now
    };

    struct ServicePool {
        std::vector<TargetState> targets;
        unsigned sliceSlots = 0;
        unsigned capacity = 0;
        unsigned inFlight = 0;
        double latency = 0; ///< seconds, moving average
        double deviation = 0; ///< seconds, moving average of the distance from `latency`
    };

    /// Location of a target: its service, and its index within the service's pool.
    struct Location {
        std::uint32_t service = 0;
        std::uint32_t index = 0;
    };

    /// A cancelled attempt whose slot is still in use.
    struct CancelledAttempt {
        TimePoint until{};
        TargetId target{};
        TargetEvidence evidence{};
        Duration latency{};
    };

    void endCancelledAttempts(TimePoint now, Effects &out);
    TargetState *find(TargetId target);
    const TargetState *find(TargetId target) const;
    double score(const TargetState &state, TimePoint now) const;
    bool isUsable(const TargetState &state, const std::vector<TargetId> &excluded, TimePoint now) const;
    unsigned currentLimit(const TargetState &state, TimePoint now) const;
    bool mayEject(const ServicePool &pool, TimePoint now) const;
    void eject(TargetState &state, TimePoint now, Effects &out);
    void reportIfIdle(TargetState &state, TimePoint now, Effects &out);
    void updateLimits(ServicePool &pool, TimePoint now);

    Policy m_policy;
    std::vector<ServicePool> m_services;
    std::vector<std::optional<Location>> m_locations; ///< by TargetId
    std::deque<CancelledAttempt> m_cancelledAttempts;
};

} // namespace pepperlug
