//===- TargetPool.h - This host's slice of its zone's targets ----*- C++ -*-===//
//
// Which targets of the zone this host may use, how many slots of each are its
// own, what requests showed about them, and the choice among them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Steer.h"

#include <random>

namespace pepperlug
{

enum class DrainSource : unsigned {
    Operator = 1,
    Platform = 2,
    Target = 4,
};

/// What a request showed about its target.
enum class TargetEvidence {
    Success,
    Failure,
    Shed,
    Neutral, ///< cancelled, or nothing learned
};

/// Slots that one host of a zone owns on each target of it. Slot n of a zone goes to host n modulo their number, so
/// that every target is shared as evenly as whole slots allow, and no slot belongs to two hosts.
std::vector<unsigned> sliceOf(const Bundle &bundle, ZoneId zone, const std::vector<HostId> &owners, HostId host);

class TargetPool
{
public:
    /// Takes over the targets of the host's zone; what is known of targets that stay is kept by name.
    void applyBundle(const Bundle &bundle, ZoneId zone, TimePoint now);
    /// Sets the slots that this host owns on each target, indexed by TargetId.
    void setSlots(const std::vector<unsigned> &slots);

    std::optional<TargetId> choose(ServiceId service, const std::vector<TargetId> &excluded, TimePoint now,
                                   std::mt19937_64 &random);
    void startRequest(TargetId target);
    void endRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now, Effects &out);

    /// An attempt that was given up. Its slot stays taken for a moment, until the target has surely heard of it.
    void cancelRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now);

    void setDrain(TargetId target, DrainSource source, bool isLeaving, TimePoint now, Effects &out);
    void applyReport(const TargetReported &report, TimePoint now);
    /// Recounts what time has changed: slow start, ejection, age of reports.
    void refresh(TimePoint now, Effects &out);

    bool contains(TargetId target) const;
    unsigned sliceSlots(ServiceId service) const;
    unsigned capacity(ServiceId service) const;
    unsigned inFlight(ServiceId service) const;
    /// Mean time that a request of the service takes at a target.
    Duration meanLatency(ServiceId service) const;
    /// Time after which a request is slower than nearly all others.
    Duration hedgeDelay(ServiceId service) const;
    TargetView view(TargetId target) const;

private:
    struct Local {
        TargetId id{};
        std::string name;
        unsigned slots = 0;
        unsigned inFlight = 0;
        double latency = 0; ///< seconds, moving average
        double failure = 0; ///< share of requests, moving average
        unsigned failuresInRow = 0;
        unsigned ejections = 0;
        unsigned drains = 0; ///< DrainSource bits
        TimePoint drainStarted{};
        bool idleTold = true;
        TimePoint warmFrom{};
        TimePoint ejectedUntil{};
        TimePoint avoidUntil{}; ///< after it shed
        TimePoint reportedAt{};
        double trust = 1; ///< from reports: 1 or less
        unsigned limit = 0; ///< slots usable now
    };

    struct ServicePool {
        std::vector<Local> locals;
        unsigned sliceSlots = 0;
        unsigned capacity = 0;
        unsigned inFlight = 0;
        double latency = 0; ///< seconds, moving average
        double deviation = 0; ///< seconds, moving average of the distance from it
    };

    struct Place {
        std::uint32_t service = 0;
        std::uint32_t position = 0;
    };

    /// A cancelled attempt whose slot is still taken.
    struct Lingering {
        TimePoint until{};
        TargetId target{};
        TargetEvidence evidence{};
        Duration latency{};
    };

    void endLingering(TimePoint now, Effects &out);
    Local *find(TargetId target);
    const Local *find(TargetId target) const;
    double score(const Local &local, TimePoint now) const;
    bool usable(const Local &local, const std::vector<TargetId> &excluded, TimePoint now) const;
    unsigned limitOf(const Local &local, TimePoint now) const;
    bool mayEject(const ServicePool &pool, TimePoint now) const;
    void eject(Local &local, TimePoint now, Effects &out);
    void tellIfIdle(Local &local, TimePoint now, Effects &out);
    void recount(ServicePool &pool, TimePoint now);

    Policy m_policy;
    std::vector<ServicePool> m_services;
    std::vector<std::optional<Place>> m_places; ///< by TargetId
    std::deque<Lingering> m_lingering;
};

} // namespace pepperlug
