//===- pepperlug/Balance.h - Load balancing at an entry host ------------------===//
//
// All decisions of an entry host about a request: its route, service, region and
// target, whether it is admitted, and what happens when an attempt ends. The
// balancer is a reducer over typed events that returns effects as data. It does
// no I/O: the caller passes in the time and the random seed.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Backpressure.h"
#include "pepperlug/Quarantine.h"
#include "pepperlug/Quota.h"
#include "pepperlug/Reachability.h"

#include <set>
#include <variant>

namespace pepperlug::fleet
{

/// Limits of the retries that all entry hosts together may send.
struct RetryBudgetSettings {
    double ratio = 0.1; ///< retries per request in the window
    Duration window = std::chrono::seconds(10);
    double slack = 10; ///< additional retries in a window, over all hosts
};

/// When the plans of regions follow the loss of many targets at once, instead of at the bounded rate.
enum class LossFollowing : std::uint8_t {
    Off, ///< never
    Paced, ///< where targets report a pace: they share their machines, so capacity varies
    On, ///< always
};

/// Settings that choose between alternative algorithms.
struct BalancePolicy {
    /// Number of targets in a region that may serve a key. A target is used only if all before it in the key's ranking
    /// would answer late.
    unsigned targetsPerKey = 1;
    /// Chooses regions by weighted rendezvous hashing, so that a changed share moves no other key.
    bool hashesRegions = true;
    /// A returning caller is served late if the answer is predicted to take at most this share of its remaining time.
    /// 0: only requests that will be answered in time are admitted.
    double lateDeadlineShare = 0.35;
    /// Tells refused callers to retry when the queue that they met will have drained.
    bool derivesRetryAfterFromQueue = true;
    /// Spreads the return times that refused callers of an overloaded service are told, and keeps capacity for callers
    /// who are due.
    bool schedulesReturns = false;
    /// Limits less urgent requests of a service to a lower utilization than urgent ones, but only while urgent requests
    /// were seen in the last seconds. false: they are always limited, by their own objective.
    bool reservesForUrgent = false;
    LossFollowing lossFollowing = LossFollowing::Off;
};

struct BalanceSettings {
    std::string host; ///< HostReport::id of this host
    std::string address; ///< HostReport::address of this host
    std::string zone;
    std::map<std::string, std::string> regionOfZone;
    RetryBudgetSettings retries;
    /// Largest share of a region's requests that may move to other regions from one window to the next.
    double maxShift = 0.15;
    Duration shiftWindow = std::chrono::seconds(2);
    std::uint64_t linkBytesPerSecond = 0; ///< capacity of this host's link, both directions together; 0: unlimited
    std::uint64_t seed = 0;
    /// Age of the last update after which routes may have been added that this host does not have; and the longest time
    /// for which it uses its routing after it has learnt that a newer one exists.
    Duration updateLease = UpdateLease;
    Duration firstProbeDelay = FirstProbeDelay; ///< of a quarantined request
    BalancePolicy policy;
};

//===-- Events ----------------------------------------------------------------===//

enum class Refusal : std::uint8_t;

struct RoutesChanged {
    std::shared_ptr<const RouteTable> table;
    std::set<std::string> evacuatedZones;
    std::uint64_t index = 0; ///< log index of both
};

struct ReportsChanged {
    RegistryChanges changes;
    bool isSnapshot = false; ///< `changes` holds everything that the reporting host knows, not only changes
    std::vector<RegionDemand> demand{}; ///< of all regions; empty: unchanged
    std::vector<TargetReport> restored{}; ///< targets that are not confirmed since the control hosts' restart
};

/// A control host that has a quorum has sent its updates.
struct UpdateReceived {
    TimePoint requestedAt{}; ///< this host has everything that the control host knew at that time
    /// When this host learnt of the oldest routing version that it does not have; nothing if it has all.
    std::optional<TimePoint> behindSince{};
    bool isArriving = true; ///< the missing routing is being transferred; false: this host can't read it
    /// Last sign of life of a control host that has a quorum; nothing: requestedAt. Later than requestedAt while a
    /// reply takes long.
    std::optional<TimePoint> heardAt{};
};

struct CallerRequest {
    RequestId id{};
    std::string host;
    std::string path;
    std::string affinityKey; ///< empty: none
    std::optional<Duration> deadline; ///< how long the caller waits for an answer
    std::string digest{}; ///< digestOf() the request; empty: it matches no other request
    std::string keyDigest{}; ///< digestOfSecret() of the caller's key; empty: the request has no key
    /// Log index of the routing by which another entry host relayed it here; this one must not relay it again. Nothing:
    /// it comes from a caller.
    std::optional<std::uint64_t> relayedByIndex{};
    Duration waited{}; ///< since its arrival, for answers ahead of it on its connection
    TimePoint dueAhead{}; ///< when the last of these answers is due; the default: there is none
    Duration age{}; ///< since its first byte arrived
    bool isOnceOnly = false; ///< the entry host that relayed it must not let it run twice
};

/// This host stops.
struct StopPlanned {
    StopTimes times;
};

/// This host exits now: what is open is given up.
struct ExitDue {
};

struct CallerLeft {
    RequestId id{};
};

/// Outcome of an attempt.
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< the target sent a complete answer
    NotSent, ///< no byte reached the target
    Withdrawn, ///< not sent because maySend() no longer allowed it
    Shed, ///< the target states that it did not run the request
    WrongTarget, ///< another incarnation is at the address; not run
    Lost, ///< may have run; no usable answer
    TimedOut, ///< may have run; no answer in time
    Endless, ///< may have run; what the target sends has no end
};
const char *nameOf(AttemptOutcome outcome);

/// Load that a target reported with an answer, in requests.
struct TargetLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Time that work takes at present, in percent of the usual time; nothing if the target does not report it.
    std::optional<unsigned> pacePercent{};
};

/// The head of a large successful answer has arrived. The body is streamed to the caller as it arrives.
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
    bool isConnectionLost = false; ///< Lost: the target closed or reset the connection
    bool isFailure = false; ///< Answered: with a status that reports a failure of the target itself
    std::optional<Refusal> refusal{}; ///< of the entry host that the request was relayed to
    bool isTakenBack = false; ///< an answer had begun, and its caller got nothing of it
};

/// Result of CheckTarget.
struct TargetChecked {
    Incarnation target;
    bool isConnectionRefused = false; ///< nothing listens at its address
};

/// Result of ProbeTarget.
struct TargetProbed {
    std::string service; ///< of the target
    ProbeResult result{};
};

/// The head of a target's answer has arrived, also if no request waits for the answer any more.
struct TargetSignalled {
    Incarnation target;
    BackpressureSignal signal;
    TimePoint sentAt{}; ///< when the request was sent, or earlier
};

/// Control hosts have reported the backpressure that targets signalled to other hosts.
struct BackpressureReceived {
    std::vector<BackpressureReport> reports;
};

/// Another host has reported requests under which targets crashed.
struct SuspectsReceived {
    std::vector<SuspectReport> suspects;
};

/// A control host has replied to a call of RequestQuota.
struct QuotaReplied {
    TimePoint sentAt{}; ///< RequestQuota::sentAt
    QuotaReply reply;
};

/// No control host has replied to a call of RequestQuota.
struct QuotaCallFailed {
    TimePoint sentAt{}; ///< RequestQuota::sentAt
};

/// Result of RequestProbe.
struct ProbeDecided {
    RequestId id{};
    bool isGranted = false;
};

struct BalanceTick {
};

using BalanceEvent =
    std::variant<RoutesChanged, ReportsChanged, UpdateReceived, CallerRequest, CallerLeft, AnswerBegun, AttemptEnded,
                 TargetSignalled, BackpressureReceived, TargetChecked, TargetProbed, SuspectsReceived, QuotaReplied,
                 QuotaCallFailed, ProbeDecided, StopPlanned, ExitDue, BalanceTick>;

//===-- Effects ---------------------------------------------------------------===//

struct StartAttempt {
    RequestId id{};
    unsigned attempt = 0; ///< 1 for the first
    std::string relay; ///< entry host that the request is sent to in place of a target; empty: none
    std::string target; ///< empty if it is relayed
    Milliseconds targetStartedAt{}; ///< identifies the incarnation, with the target's id
    std::string address;
    std::string zone;
    std::string service;
    std::uint64_t tableVersion = 0; ///< of the table that the route is from
    std::uint64_t routingIndex = 0; ///< log index of the routing in force at this host
    std::string region; ///< of the target or relay
    std::string route; ///< name
    std::vector<std::string> homeRegions; ///< that the receiver is one of; empty: the request is not bound to any
    bool isOnceOnly = false; ///< the receiver must not let the request run twice
    bool hasTenants = false; ///< the table has tenants, so the caller's key is not passed to the target
    std::string tenant; ///< that the request is counted for; empty: none
    Duration timeLeft{}; ///< until the caller's deadline or the route's timeout
    double utilization = 0; ///< estimated requests at the target, this one included, over its slots
    Milliseconds loadAge{}; ///< of the load report that the estimate is based on; -1 ms: there is none
};

/// Why an attempt may not be sent any more.
enum class Withheld : std::uint8_t {
    Ended, ///< the attempt has ended
    Suspended, ///< this host makes no decisions until newer routing arrives
    Quarantined, ///< several targets crashed while they ran the request
    TargetUnusable, ///< the target is leaving, limited or backing off, or the relay has left
    NoRoute, ///< the route or the caller's key was removed
    OtherTenant, ///< the key was given to another tenant, or it must not be passed on any more
    OtherService, ///< the route leads to other services
    OutsideRegions, ///< the home regions exclude the receiver's region
    RoutingChanged, ///< a relay carries the index of routing that has been replaced
    Stopping, ///< this host may exit before the answer
};
const char *nameOf(Withheld reason);

struct CancelAttempt {
    RequestId id{};
    unsigned attempt = 0;
};

/// Checks whether anything listens at the address of a target whose connection ended during a request.
struct CheckTarget {
    Incarnation target;
    std::string address;
};

/// Checks whether a target answers over a new connection.
struct ProbeTarget {
    std::string service;
    std::string address;
};

/// This host has lost all targets of a service, or reaches some again.
struct ReachabilityChanged {
    std::string service;
    bool isCutOff = false;
};

/// Asks the control hosts whether a quarantined request may be sent once as a probe.
struct RequestProbe {
    RequestId id{};
    std::string digest;
};

/// Requests tokens of tenants from a control host.
struct RequestQuota {
    TimePoint sentAt{}; ///< identifies the call
    QuotaCall call;
};

/// The state of a request under which targets crashed has changed at this host.
struct SuspectChanged {
    std::string digest;
    std::string target; ///< that crashed; empty if something else changed
    std::size_t crashes = 0; ///< that count against the request
    QuarantineStatus standing{};
    bool isLocal = false; ///< observed by this host, which must report it to other hosts
};

/// A target has asked this host to back off.
struct BackoffStarted {
    std::string target;
    Milliseconds length{}; ///< until this host sends requests to the target again
};

/// A target's rate limit as known to this host has changed, or the target is leaving.
struct BackpressureChanged {
    std::string target;
    std::optional<double> perSecond; ///< requests per second; nothing: it is not limited
    bool isLeaving = false;
    bool isLocal = false; ///< observed by this host, which must report it to other hosts
};

/// A region has lost many of its targets' slots, and the plan of a service follows the loss at once.
struct RegionLossFollowed {
    std::string service;
    std::string region;
    double slotsBefore = 0;
    double slotsNow = 0;
};

/// Sends the head of an attempt's answer to the caller, and its body as it arrives.
struct PassHead {
    RequestId id{};
    unsigned attempt = 0;
};

/// Sends an attempt's answer to the caller, or the rest of one whose head was sent.
struct PassAnswer {
    RequestId id{};
    unsigned attempt = 0;
};

enum class Refusal : std::uint8_t {
    NoConfiguration, ///< this host has no configuration yet
    NoRoute,
    UnknownKey, ///< the route needs a tenant's key, and the request has none
    RoutingLate, ///< newer routing may apply: a route is unknown, the host is suspended, or the relaying one has it
    RouteChanged, ///< the route or the key was removed before the request could be sent; not run
    OverQuota, ///< the tenant has reached its rate limit
    NoTarget, ///< no usable target of the service
    Overloaded, ///< would not be served within the objective
    Backpressure, ///< targets advertise limits below the demand, or asked for back-off
    LinkFull, ///< this host's link has no capacity left for an answer of this size
    Quarantined, ///< several targets crashed while they ran the request; not run
    NotReached, ///< no target could be reached in time; not run
    Stopping, ///< this host is shutting down; not run
    Lost, ///< may have run
    TimedOut, ///< may have run
};
const char *nameOf(Refusal refusal);
/// Returns the refusal of a name; nothing if there is none.
std::optional<Refusal> refusalNamed(std::string_view name);
/// Returns true if the refusal concerns the refusing entry host alone, so that another one may serve the request.
bool concernsHostAlone(Refusal refusal);
/// Returns true if the refusal guarantees that the request has not run and never will.
bool promisesNotRun(Refusal refusal);

struct RefuseRequest {
    RequestId id{};
    Refusal reason{};
    Milliseconds retryAfter{}; ///< if promisesNotRun() and a retry may succeed; 0 otherwise
    std::string route; ///< name; empty if none
    std::string lastTarget; ///< of the last attempt; empty if none
    std::string tenant; ///< that the request is counted for; empty: none, or not known yet
};

/// Closes the caller's connection because the rest of an answer can't be delivered.
struct AbortAnswer {
    RequestId id{};
    Refusal reason{}; ///< Lost or TimedOut
};

using BalanceEffect = std::variant<StartAttempt, CancelAttempt, CheckTarget, ProbeTarget, ReachabilityChanged,
                                   RequestProbe, RequestQuota, SuspectChanged, BackoffStarted, BackpressureChanged,
                                   RegionLossFollowed, PassHead, PassAnswer, AbortAnswer, RefuseRequest>;
using BalanceEffects = std::vector<BalanceEffect>;

/// State of an entry host's load balancing.
class Balancer
{
public:
    explicit Balancer(BalanceSettings settings);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /// Applies one event and appends the resulting effects in order.
    void reduce(const BalanceEvent &event, TimePoint now, BalanceEffects &out);

    /// Number of requests in progress.
    std::size_t openRequests() const;
    /// Demand of this host's callers on each service, in slots.
    std::vector<ServiceDemand> demand(TimePoint now) const;
    /// Share of this host's link that the requested answers would use; 0 if the link is unlimited.
    double linkUse(TimePoint now) const;
    std::uint64_t tableVersion() const;
    /// Returns true if this host neither sends nor denies requests because newer routing has not arrived in time.
    bool isSuspended() const;
    /// Services none of whose targets this host reaches, in order. It relays requests for them.
    std::vector<std::string> unreachableServices() const;
    /// Returns true if an attempt that is not sent yet may still be sent: its target accepts requests and the current
    /// route leads there, or its relay is live and the routing that it carries is the current one.
    bool maySend(RequestId id, unsigned attempt) const;
    /// Returns why an attempt that is not sent yet may not be sent; nothing if it may.
    std::optional<Withheld> withheldBecause(RequestId id, unsigned attempt) const;
    /// Number of targets that may be used now, over all services.
    std::size_t usableTargets(TimePoint now) const;
    /// Share of this host's callers that each region serves, by service and region. A region without a share may be
    /// missing.
    std::map<std::string, std::map<std::string, double>> regionShares() const;
    /// Requests under which targets crashed.
    const Quarantine &quarantine() const;
    /// Backpressure that targets advertise.
    const BackpressureTable &backpressure() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pepperlug::fleet
