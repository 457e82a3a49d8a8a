//===- pepperlug/Model.h - A driver for the steering reducer -----*- C++ -*-===//
//
// Drives the reducers of a bundle's entry hosts with callers, targets and
// messages that take time, for measurements and failure tests. It knows nothing
// of sockets or processes: effects of one reducer become events of another after
// the bundle's latency. Time is the model's own, so runs repeat exactly.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Steer.h"

#include <map>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace pepperlug
{

struct DriverSettings {
    Strategy strategy = Strategy::Leases;
    std::uint64_t seed = 1;
    Duration serviceTime = Milliseconds(20); ///< mean of an exponential part on top of half of it
    Milliseconds deadline{2000};
    Duration tick = Milliseconds(10);
    unsigned callersPerZone = 50;
    double lossShare = 0; ///< of lease messages
    double repeatShare = 0; ///< of lease messages that arrive twice
    Duration jitter{}; ///< added to lease messages, at most; reorders them
};

/// What callers of one region saw.
struct CallerView {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< told that it is not known, or no host could be reached
    std::vector<Duration> latencies;

    Duration quantile(double share) const;
};

/// Fault of a target, set while the model runs.
enum class TargetFault {
    None,
    Refusing, ///< no connection
    Failing, ///< breaks every request after a millisecond
    Stuck, ///< never answers
    Shedding, ///< sheds every request
    Slow, ///< takes ten times as long
};

class Driver
{
public:
    Driver(BundlePtr bundle, DriverSettings settings);

    /// Requests a second that callers of a zone start.
    void setRate(ZoneId zone, ServiceId service, double perSecond);
    void setFault(TargetId target, TargetFault fault);
    /// Makes a host's clock run at this rate.
    void setClockRate(HostId host, double rate);
    void kill(HostId host);
    /// Starts a host afresh, with nothing of its state.
    void restart(HostId host);
    void killRegion(RegionId region);
    /// Cuts or mends the way between two zones, in both directions.
    void setCut(ZoneId one, ZoneId other, bool isCut);
    /// Cuts or mends the way from a zone to the control hosts.
    void setControlCut(ZoneId zone, bool isCut);
    /// Lets every caller forget its look-up answer at once.
    void endAllCaches();
    void drain(const std::string &target);
    /// Puts another configuration in force at the hosts that the control hosts reach.
    void apply(const ConfigApplied &config);
    void inject(HostId host, const Event &event);

    void run(Duration time);

    TimePoint now() const;
    const Steering *host(HostId host) const;
    const std::vector<CallerView> &callers() const; ///< by RegionId
    void forgetCallers();
    unsigned runningAt(TargetId target) const;
    unsigned runningIn(RegionId region) const;
    unsigned slotsIn(RegionId region) const;
    /// Requests that a target got beyond its slots; must stay 0.
    std::uint64_t overSlots() const;
    /// Dispatches to a target more than two seconds after its drain; must stay 0.
    std::uint64_t lateDispatches() const;
    /// Requests refused as not run of which something had been sent; must stay 0.
    std::uint64_t falseNotRun() const;
    /// Requests that were ended, or once-only keys that were run, more than once; must stay 0.
    std::uint64_t endedTwice() const;
    /// What callers of `from` hold in `to`, by the issuers' own books.
    ShiftView shifted(RegionId from, RegionId to) const;
    std::uint64_t decisions() const;
    /// Requests of callers that were refused, by reason.
    const std::map<Reason, std::uint64_t> &refusals() const;
    /// Called after every event of a host, for invariants.
    void setObserver(std::function<void(const Driver &)> observer);

private:
    struct Host {
        std::optional<Steering> steering;
        double clockRate = 1;
        std::uint64_t incarnation = 0;
    };

    struct TargetModel {
        unsigned running = 0;
        TargetFault fault = TargetFault::None;
        std::optional<TimePoint> drainedAt;
    };

    /// Where the end of a request at a host has to be told.
    struct Origin {
        std::optional<std::size_t> operation; ///< a caller's
        HostId host{}; ///< or a host's request and attempt
        std::uint64_t incarnation = 0;
        RequestId id{};
        unsigned attempt = 0;
    };

    struct RequestModel {
        Origin origin;
        RequestArrived arrived;
        bool ran = false; ///< a target took it up, here or further on
        std::map<unsigned, TargetId> running; ///< attempts at targets
        std::map<unsigned, std::pair<HostId, RequestId>> forwarded; ///< attempts at other hosts
    };

    struct Caller {
        ZoneId zone{};
        ServiceId service{};
        std::vector<HostId> hosts;
        TimePoint validUntil{};
    };

    struct Operation {
        std::size_t caller = 0;
        TimePoint startedAt{};
        unsigned tries = 0;
        bool isEnded = false;
    };

    struct Later {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> work;
        bool operator>(const Later &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct RequestKey {
        HostId host{};
        RequestId id{};
        bool operator==(const RequestKey &) const = default;
    };
    struct RequestKeyHash {
        std::size_t operator()(const RequestKey &key) const
        {
            return std::hash<std::uint64_t>()(static_cast<std::uint64_t>(key.id) * 1024 + idx(key.host));
        }
    };

    void after(Duration delay, std::function<void()> work);
    void post(HostId host, const Event &event);
    void carryOut(HostId host, const Effect &effect);
    void dispatch(HostId host, const Dispatch &effect);
    void finishAt(TargetId target, HostId host, std::uint64_t incarnation, RequestId id, unsigned attempt,
                  AttemptResult result);
    void forward(HostId host, const Forward &effect);
    void askLease(HostId host, const SendLeaseRequest &effect);
    void grantLease(HostId host, const GrantLease &effect);
    void endRequest(HostId host, RequestId id, AttemptResult result, const Refuse *refusal);
    void cancel(HostId host, const CancelAttempt &effect);
    void sendLease(HostId from, HostId to, const std::function<void()> &deliver);
    void schedule(ZoneId zone, ServiceId service);
    void startOperation(std::size_t caller);
    void lookUp(std::size_t operation);
    void request(std::size_t operation);
    void endOperation(std::size_t operation, std::uint64_t CallerView::*count);
    void tickHost(HostId host, std::uint64_t incarnation);
    bool isCut(HostId one, HostId other) const;
    bool reachesControl(HostId host) const;
    Duration latency(HostId one, HostId other) const;
    TimePoint localTime(HostId host) const;
    void startHost(HostId host);
    void markRan(HostId host, RequestId id);
    void breakOff(HostId host, RequestId id);

    BundlePtr m_bundle;
    DriverSettings m_settings;
    TimePoint m_now;
    std::mt19937_64 m_random;
    std::uint64_t m_order = 0;
    std::priority_queue<Later, std::vector<Later>, std::greater<>> m_queue;
    ConfigApplied m_config;
    std::vector<Host> m_hosts;
    std::vector<TargetModel> m_targets;
    std::vector<std::vector<double>> m_rates; ///< by ZoneId, then ServiceId
    std::vector<Caller> m_callers;
    std::map<std::pair<ZoneId, ServiceId>, std::vector<std::size_t>> m_callersOf;
    std::vector<Operation> m_operations;
    std::vector<CallerView> m_views;
    std::unordered_map<RequestKey, RequestModel, RequestKeyHash> m_requests;
    std::map<std::string, unsigned> m_runs; ///< by once-only key
    std::set<std::pair<ZoneId, ZoneId>> m_cuts;
    std::set<ZoneId> m_controlCuts;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_overSlots = 0;
    std::uint64_t m_lateDispatches = 0;
    std::uint64_t m_falseNotRun = 0;
    std::uint64_t m_endedTwice = 0;
    std::uint64_t m_decisions = 0;
    std::map<Reason, std::uint64_t> m_refusals;
    std::function<void(const Driver &)> m_observer;
};

} // namespace pepperlug
