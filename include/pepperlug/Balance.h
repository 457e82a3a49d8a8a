//===- pepperlug/Balance.h - Requests to targets that report themselves ------===//
//
// All decisions of an entry host about a request: its route, its service, the
// region and the target, whether to admit it at all, and what to do when an
// attempt ends. One reducer over typed events, with effects as data. Pure: time
// and the random seed are passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Backpressure.h"
#include "pepperlug/Quarantine.h"
#include "pepperlug/Quota.h"

#include <set>
#include <variant>

namespace pepperlug::fleet
{

/// How much more than one arrival a request all entry hosts together may cause.
struct RetryBudgetSettings {
    double ratio = 0.1; ///< of the requests in the window
    Duration window = std::chrono::seconds(10);
    double slack = 10; ///< retries in a window besides, over all hosts
};

/// Decisions that were weighed against others. Each can be set, so that what it is worth can be measured.
struct BalancePolicy {
    /// Targets of a region that may serve a key: the next one only gets it where the one before would be late.
    unsigned targetsPerKey = 1;
    /// Regions are chosen by weighted rendezvous hashing, so that a changed share moves no other key.
    bool hashesRegions = true;
    /// Callers that were refused and waited are served late rather than never, where the answer is predicted to need no
    /// more than this part of the time they have left; 0: only in time. Measured: docs/POLICY.md.
    double lateDeadlineShare = 0.35;
    /// Refused callers are told to come back when the queue that they met will have drained.
    bool derivesRetryAfterFromQueue = true;
};

struct BalanceSettings {
    std::string host; ///< HostReport::id of this host
    std::string zone;
    std::map<std::string, std::string> regionOfZone;
    RetryBudgetSettings retries;
    QuotaTerms quotas;
    double maxShift = 0.15; ///< part of a region's requests that may move to other regions from one window to the next
    Duration shiftWindow = std::chrono::seconds(2);
    std::uint64_t linkBytesPerSecond = 0; ///< of this host's link, both ways together; 0 if it need not be minded
    std::uint64_t seed = 0;
    /// Age from which on this host must take it that routes were added of which it has not heard; and the longest time
    /// for which it decides by routing after it has heard of a newer one.
    Duration updateLease = NewsLease;
    Duration firstProbeDelay = FirstTrialPause; ///< of a request that is shut out
    BalancePolicy policy;
};

//===-- Events ----------------------------------------------------------------===//

struct RoutesChanged {
    std::shared_ptr<const RouteTable> table;
    std::set<std::string> evacuatedZones;
};

struct ReportsChanged {
    RegistryChanges changes;
    bool isSnapshot = false; ///< all that the telling host knows, not only what changed
    std::vector<RegionDemand> demand{}; ///< of all regions; empty if nothing is told of it
    std::vector<TargetReport> restored{}; ///< targets that nobody has confirmed since the control hosts' restart
};

/// A control host in touch with a majority told what was new.
struct UpdateReceived {
    TimePoint requestedAt{}; ///< all that it knew then is known here
    std::optional<TimePoint> behindSince{}; ///< when this host heard of the oldest routing that it has not got
    bool isArriving = true; ///< what it has not got is on its way; false: it can't be read here
};

struct CallerRequest {
    RequestId id{};
    std::string host;
    std::string path;
    std::string affinityKey; ///< empty: none
    std::optional<Duration> deadline; ///< time that the caller will wait
    std::string digest{}; ///< digestOf() it; empty: it is like no other
    std::string keyDigest{}; ///< digestOfSecret() of the caller's key; empty: it shows none
};

struct CallerLeft {
    RequestId id{};
};

/// What came of an attempt.
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< a whole answer for the caller
    NotSent, ///< no byte reached the target
    Withdrawn, ///< not sent, since maySend() did not allow it any more
    Shed, ///< the target says that it did not run the request
    WrongTarget, ///< another incarnation is at the address; not run
    Lost, ///< may have run; no usable answer
    TimedOut, ///< may have run; no answer in time
};
const char *nameOf(AttemptOutcome outcome);

/// Load that a target told with an answer.
struct TargetLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// The head of a large, good answer is there; its body is passed on while it arrives.
struct AnswerBegun {
    RequestId id{};
    unsigned attempt = 0;
};

struct AttemptEnded {
    RequestId id{};
    unsigned attempt = 0;
    AttemptOutcome outcome{};
    std::optional<TargetLoad> load;
    std::uint64_t answerBytes = 0; ///< length of the body
    bool isConnectionLost = false; ///< Lost: the target's side ended the connection, or it was reset
    bool isFailure = false; ///< Answered: by a status that tells of the target's own failure
};

/// What came of CheckTarget.
struct TargetChecked {
    Incarnation target;
    bool isConnectionRefused = false; ///< nothing listens at its address
};

/// The head of a target's answer is there, also of one that nobody waits for any more.
struct TargetSignalled {
    Incarnation target;
    BackpressureSignal signal;
    TimePoint sentAt{}; ///< when the request was sent, or earlier
};

/// Control hosts told what targets ask for in answers to other hosts.
struct BackpressureReceived {
    std::vector<BackpressureReport> reports;
};

/// Another host told of requests under which targets ended.
struct SuspectsReceived {
    std::vector<SuspectReport> suspects;
};

/// Control hosts told what all entry hosts together are asked for in tenants' names.
struct TenantLoadsReceived {
    std::vector<TenantLoad> loads; ///< of those that come near their limits
};

/// What came of RequestProbe.
struct ProbeDecided {
    RequestId id{};
    bool isGranted = false;
};

struct BalanceTick {
};

using BalanceEvent = std::variant<RoutesChanged, ReportsChanged, UpdateReceived, CallerRequest, CallerLeft, AnswerBegun,
                                  AttemptEnded, TargetSignalled, BackpressureReceived, TargetChecked, SuspectsReceived,
                                  TenantLoadsReceived, ProbeDecided, BalanceTick>;

//===-- Effects ---------------------------------------------------------------===//

struct StartAttempt {
    RequestId id{};
    unsigned attempt = 0; ///< 1 for the first
    std::string target;
    Milliseconds targetStartedAt{}; ///< with the target's id, one incarnation
    std::string address;
    std::string zone;
    std::string service;
    std::uint64_t tableVersion = 0; ///< of the table whose route led there
    bool hasHomeRegions = false; ///< that route or the tenant names home regions
    bool hasTenants = false; ///< that table has tenants, so the caller's key is not shown to the target
    std::string tenant; ///< in whose name the caller asks; empty: nobody's
    Duration timeLeft{}; ///< of the caller's deadline and the route's time limit
    double utilization = 0; ///< requests at the target over its slots, as believed
    Milliseconds loadAge{}; ///< of the belief
};

struct CancelAttempt {
    RequestId id{};
    unsigned attempt = 0;
};

/// Look whether anything listens at the address of a target whose connection ended under a request.
struct CheckTarget {
    Incarnation target;
    std::string address;
};

/// Ask the control hosts whether a request that is shut out may be tried once.
struct RequestProbe {
    RequestId id{};
    std::string digest;
};

/// What this host knows of a request under which targets ended has changed.
struct SuspectChanged {
    std::string digest;
    std::string target; ///< that ended; empty if something else changed
    std::size_t crashes = 0; ///< that speak against it
    Standing standing{};
    bool isLocal = false; ///< noticed here, so other hosts have to be told
};

/// A target has asked this host for a rest.
struct BackoffStarted {
    std::string target;
    Milliseconds length{}; ///< until this host sends there again
};

/// What this host knows of a target's limit has changed, or it leaves.
struct BackpressureChanged {
    std::string target;
    std::optional<double> perSecond; ///< nothing: it is not limited
    bool isLeaving = false;
    bool isLocal = false; ///< heard here, so other hosts have to be told
};

/// Pass on the head of the answer that an attempt gets, and its body as it comes.
struct PassHead {
    RequestId id{};
    unsigned attempt = 0;
};

/// Pass on the answer that an attempt got, or the end of one that was begun.
struct PassAnswer {
    RequestId id{};
    unsigned attempt = 0;
};

enum class Refusal : std::uint8_t {
    NoConfiguration, ///< none is known yet
    NoRoute,
    UnknownKey, ///< its route needs a key of a tenant, and it shows none
    RoutingLate, ///< no route that is known here, but there may be newer ones
    RouteChanged, ///< its route or its key was removed before it could be sent; not run
    OverQuota, ///< its tenant has used up what it may
    NoTarget, ///< no usable target of the service
    Overloaded, ///< would not be served within the objective
    Backpressure, ///< targets asked for less than comes
    LinkFull, ///< this host's link has no room for an answer of this size
    Quarantined, ///< targets ended under it, wherever it ran; not run
    NotReached, ///< no target could be reached in time; not run
    Stopping, ///< this host is about to end; not run
    Lost, ///< may have run
    TimedOut, ///< may have run
};
const char *nameOf(Refusal refusal);
/// Whether the refusal promises that the request has not run and never will.
bool promisesNotRun(Refusal refusal);

struct RefuseRequest {
    RequestId id{};
    Refusal reason{};
    Milliseconds retryAfter{}; ///< with a refusal that promises "not run"
    std::string route; ///< name; empty if none
    std::string lastTarget; ///< of the last attempt; empty if none
    std::string tenant; ///< in whose name the caller asks; empty: nobody's, or not known yet
};

/// Close the caller's connection: the answer that was begun can't be finished.
struct AbortAnswer {
    RequestId id{};
    Refusal reason{}; ///< Lost or TimedOut
};

using BalanceEffect =
    std::variant<StartAttempt, CancelAttempt, CheckTarget, RequestProbe, SuspectChanged, BackoffStarted,
                 BackpressureChanged, PassHead, PassAnswer, AbortAnswer, RefuseRequest>;
using BalanceEffects = std::vector<BalanceEffect>;

class Balancer
{
public:
    explicit Balancer(BalanceSettings settings);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /// Applies one event and appends what is to be done, in order.
    void reduce(const BalanceEvent &event, TimePoint now, BalanceEffects &out);

    /// Requests that have not ended.
    std::size_t openRequests() const;
    /// What this host asks of each service, in slots.
    std::vector<ServiceDemand> demand(TimePoint now) const;
    /// Part of this host's link that the answers which callers ask for would use; 0 if it need not be minded.
    double linkUse(TimePoint now) const;
    std::uint64_t tableVersion() const;
    /// Whether nothing is sent or denied, since newer routing has not arrived in time.
    bool isSuspended() const;
    /// Whether an attempt that has not left yet may still be sent: its target takes work, and the route that is in
    /// force now leads there.
    bool maySend(RequestId id, unsigned attempt) const;
    /// Targets that may be used now, of all services.
    std::size_t usableTargets(TimePoint now) const;
    /// Requests under which targets ended.
    const Quarantine &quarantine() const;
    /// What targets ask for.
    const BackpressureTable &backpressure() const;
    /// What this host is asked for in tenants' names, to be told to control hosts.
    std::vector<TenantDemand> tenantDemand(TimePoint now);
    /// Whether that has grown so much that they should hear of it at once.
    bool hasTenantSurged(TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pepperlug::fleet
