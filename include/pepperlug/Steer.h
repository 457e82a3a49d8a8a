//===- pepperlug/Steer.h - Decisions of an entry host ------------*- C++ -*-===//
//
// The pure part of an entry host: it takes typed events with the time at which
// they happened and returns effects as data. Capacity leases, caps on shifts,
// look-ups, choice of zone and target, admission, retries and once-only claims
// are decided here, and nowhere else.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Bundle.h"
#include "pepperlug/Codec.h"
#include "pepperlug/Once.h"

#include <variant>

namespace pepperlug
{

/// How traffic is placed. All but Leases are baselines for measurements.
enum class Strategy {
    Leases, ///< the design: capacity leases, caps and limits
    NearestOnly, ///< the caller's zone and no other
    RoundRobin, ///< every zone in turn
    ReportedLoad, ///< the zone whose hosts report the least load, no leases
};
std::optional<Strategy> parseStrategy(const std::string &name);
const char *nameOf(Strategy strategy);

/// What a caller is told about a request that pepperlug itself answers.
enum class Outcome {
    NotRun, ///< certain: no target has run it, and none will
    Unknown, ///< a target may have run it
};
const char *nameOf(Outcome outcome);

/// Why a request was refused or placed as it was.
enum class Reason {
    LocalTarget, ///< a slot of this host's slice
    LeasedZone, ///< a lease on another host's slice
    Neighbour, ///< a host of the same region that said it has room, for a caller of another region
    Owner, ///< the host that keeps the operation's claim
    Queued, ///< waits for a slot
    Hedge, ///< second attempt of a slow read
    Retry, ///< another attempt after one that failed
    NoCapacity, ///< no slot, no lease, and the queue is full or too slow
    OverLease, ///< the forwarding host has no lease left here
    ShiftCap, ///< the cap on the shift allows no growth now
    LinkLimit, ///< the limit of the link is reached
    SliceExpired, ///< this host may not use its slice: cut off from control and zone
    Shed, ///< the target shed it
    TargetUnreachable, ///< no connection to a target
    TargetFailed, ///< the connection broke or the answer was not whole
    DeadlinePassed, ///< the time that the caller gave is over
    KeyMissing, ///< a once-only route without a usable Idempotency-Key
    KeyMismatch, ///< the key was used with another request
    KeyExpired, ///< the key's token is older than claims are kept
    KeyForeign, ///< the key belongs to a ledger that is gone
    OwnerUnreachable, ///< the key's home can't be asked
    ClaimClosed, ///< the operation was closed as not run before
    ClaimUnknown, ///< the operation was dispatched before; its end is not known
    NotReady, ///< no bundle is in force here yet
    Leaving, ///< this host is shutting down
    LoopRefused, ///< forwarded twice
    CallerGone, ///< the caller left while the request waited
};
const char *nameOf(Reason reason);

struct ServiceWant {
    std::uint32_t service = 0;
    std::uint32_t keep = 0; ///< most slots the holder will use of any earlier grant
    std::uint32_t want = 0; ///< slots it asks for
    MSGPACK_DEFINE(service, keep, want);
    bool operator==(const ServiceWant &) const = default;
};

/// Sent by a holder to an issuer; also the heartbeat between entry hosts.
struct LeaseRequest {
    std::uint64_t sequence = 0; ///< of this holder towards this issuer, since `incarnation`
    std::uint64_t incarnation = 0; ///< drawn anew at each start of the holder
    std::uint64_t configIndex = 0; ///< what the holder has in force
    bool leaving = false;
    std::string ledgerId; ///< of the holder, for home tokens
    std::chrono::seconds ledgerAge{};
    std::vector<ServiceWant> wants;
    MSGPACK_DEFINE(sequence, incarnation, configIndex, leaving, ledgerId, ledgerAge, wants);
    bool operator==(const LeaseRequest &) const = default;
};

struct ServiceGrant {
    std::uint32_t service = 0;
    std::uint32_t amount = 0; ///< slots that the holder may use
    std::uint32_t spare = 0; ///< slots that the issuer could still lend to anyone
    MSGPACK_DEFINE(service, amount, spare);
    bool operator==(const ServiceGrant &) const = default;
};

struct LeaseGrant {
    std::uint64_t sequence = 0; ///< of the request that this answers
    std::uint64_t configIndex = 0; ///< what the issuer has in force
    std::chrono::microseconds duration{}; ///< counted by the holder from when it sent the request
    bool leaving = false;
    std::string ledgerId; ///< of the issuer, for home tokens
    std::chrono::seconds ledgerAge{};
    std::vector<ServiceGrant> grants;
    MSGPACK_DEFINE(sequence, configIndex, duration, leaving, ledgerId, ledgerAge, grants);
    bool operator==(const LeaseGrant &) const = default;
};

//===-- Events --------------------------------------------------------------===//

/// What the control hosts have decided, in force from now on at this host.
struct ConfigApplied {
    BundlePtr bundle;
    std::uint64_t index = 0; ///< of the control log; never goes back
    std::vector<std::string> drainedTargets;
    std::vector<std::string> drainedHosts; ///< entry hosts that get no new callers
    std::vector<std::string> voidHosts; ///< entry hosts whose slice has passed to their zone
};

/// A control host that is current answered.
struct ControlReplied {
    std::uint64_t index = 0;
};

struct LookupArrived {
    RequestId id{};
    ServiceId service{};
    std::optional<ZoneId> callerZone;
};

struct RequestArrived {
    RequestId id{};
    ServiceId service{};
    RouteClass cls = RouteClass::Plain;
    std::optional<ZoneId> callerZone;
    TimePoint deadline{};
    std::optional<HostId> forwardedBy; ///< the entry host that spends a lease on it
    bool toOwner = false; ///< forwarded because this host keeps the key's claim
    bool claimed = false; ///< the home has claimed it; dispatch at most once
    std::string key; ///< Idempotency-Key as given
    std::string requestDigest; ///< of method, path and body, for `once` only
};

enum class AttemptResult {
    Answered, ///< a whole answer
    ServerError, ///< a whole answer with status 500 or above
    NotSent, ///< no byte reached the peer
    Shed, ///< the target says that it did not run it
    Broken, ///< lost after it was sent
    TooLarge, ///< the answer is longer than may be passed on
    RemoteNotRun, ///< the other entry host says that it was not run
    RemoteUnknown, ///< the other entry host can't tell
};

struct AttemptEnded {
    RequestId id{};
    unsigned attempt = 0;
    AttemptResult result = AttemptResult::Broken;
    bool targetLeaving = false; ///< the target said that it is leaving
    AnswerPtr answer; ///< of a once-only operation, to be kept
};

struct CallerDisconnected {
    RequestId id{};
};

struct LeaseRequestArrived {
    HostId holder{};
    LeaseRequest request;
};

struct LeaseGranted {
    HostId issuer{};
    LeaseGrant grant;
};

struct LeaseFailed {
    HostId issuer{};
    std::uint64_t sequence = 0;
};

/// A target's own health and load endpoint, as read some time ago.
struct TargetReported {
    TargetId target{};
    bool healthy = true;
    double load = 0; ///< 0 idle to 1 full
    bool leaving = false;
};

/// The platform's list of what is leaving. It lags; it is a hint to stop, never a reason to start.
struct PlatformListArrived {
    std::vector<std::string> leavingTargets;
};

/// The record of a SyncClaim that was awaited is on the disk.
struct ClaimSynced {
    RequestId id{};
    ClaimState state = ClaimState::Claimed; ///< of the record
};

struct StopRequested {
};

struct Tick {
};

using Event = std::variant<ConfigApplied, ControlReplied, LookupArrived, RequestArrived, AttemptEnded,
                           CallerDisconnected, LeaseRequestArrived, LeaseGranted, LeaseFailed, TargetReported,
                           PlatformListArrived, ClaimSynced, StopRequested, Tick>;

//===-- Effects -------------------------------------------------------------===//

struct AnswerLookup {
    RequestId id{};
    std::vector<HostId> hosts; ///< in the order in which the caller should try them
    Milliseconds ttl{};
    std::optional<HomeToken> ownerToken; ///< of the first host, if its ledger is known here
    std::uint64_t bundleVersion = 0;
};

struct Dispatch {
    RequestId id{};
    unsigned attempt = 0;
    TargetId target{};
    TimePoint deadline{};
};

struct Forward {
    RequestId id{};
    unsigned attempt = 0;
    HostId host{};
    TimePoint deadline{};
    bool toOwner = false;
};

struct CancelAttempt {
    RequestId id{};
    unsigned attempt = 0;
};

/// Passes the answer of an attempt on to the caller.
struct RelayAnswer {
    RequestId id{};
    unsigned attempt = 0;
};

/// Sends a stored answer of a once-only operation.
struct SendStoredAnswer {
    RequestId id{};
    AnswerPtr answer;
};

struct Refuse {
    RequestId id{};
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::NoCapacity;
    Milliseconds retryAfter{}; ///< zero: a retry is of no use
    std::string peer; ///< target or host concerned
};

struct SendLeaseRequest {
    HostId issuer{};
    LeaseRequest request;
    Duration timeout{};
};

struct GrantLease {
    HostId holder{};
    LeaseGrant grant;
};

/// To be synced before ClaimSynced is sent back, if `awaited`.
struct SyncClaim {
    RequestId id{};
    LedgerRecord record;
    bool awaited = false;
};

/// One routing or placement decision with the inputs that mattered.
struct Decision {
    RequestId id{};
    ServiceId service{};
    Reason reason{};
    bool isLookup = false;
    std::optional<ZoneId> callerZone;
    std::optional<TargetId> target;
    std::optional<HostId> host;
    unsigned attempt = 0;
    unsigned capacity = 0; ///< usable slots of the slice
    unsigned committed = 0; ///< slots in use or lent
    unsigned queued = 0;
};

/// A change of state worth a line: lease, drain, ejection, membership, slice.
struct StateChange {
    std::string what;
    std::string subject;
    std::string detail;
};

/// This host has nothing left to do after StopRequested.
struct StopReady {
};

using Effect = std::variant<AnswerLookup, Dispatch, Forward, CancelAttempt, RelayAnswer, SendStoredAnswer, Refuse,
                            SendLeaseRequest, GrantLease, SyncClaim, Decision, StateChange, StopReady>;
using Effects = std::vector<Effect>;

//===-- The reducer ---------------------------------------------------------===//

struct SteerSettings {
    std::string hostName;
    std::string ledgerId;
    bool syncClaims = false; ///< wait for ClaimSynced before a claimed operation is dispatched
    std::uint64_t seed = 0;
    Strategy strategy = Strategy::Leases;
    Duration tick = Milliseconds(10);
};

/// Numbers of one service at one host, for metrics and for tests.
struct ServiceView {
    unsigned sliceSlots = 0; ///< slots of targets that this host owns
    unsigned capacity = 0; ///< of those, usable now
    unsigned inFlight = 0; ///< requests at this host's targets
    unsigned committed = 0; ///< in use or lent
    unsigned lent = 0; ///< reserved for other hosts
    unsigned held = 0; ///< leased from other hosts
    unsigned heldInUse = 0;
    unsigned queued = 0;
    unsigned demand = 0; ///< estimate, in slots
};

struct TargetView {
    unsigned slots = 0;
    unsigned inFlight = 0;
    bool draining = false;
    bool ejected = false;
};

/// Growth of what callers of one region may use here.
struct ShiftView {
    unsigned level = 0; ///< slots to which that region's callers have grown, over all services; what the cap meters
    unsigned committed = 0; ///< slots lent to that region or in use by its callers; what the link limits
    unsigned capShare = 0; ///< of the cap for each interval
    Duration interval{};
    std::optional<unsigned> linkShare;
};

class Steering
{
public:
    explicit Steering(SteerSettings settings, TimePoint now);
    ~Steering();
    Steering(Steering &&) noexcept;
    Steering &operator=(Steering &&) noexcept;

    /// Applies one event and appends what is to be done, in order. Never waits and never throws on a valid event.
    void reduce(const Event &event, TimePoint now, Effects &out);

    bool ready() const;
    std::uint64_t configIndex() const;
    const Bundle *bundle() const;
    std::optional<HostId> self() const;
    ServiceView view(ServiceId service) const;
    TargetView view(TargetId target) const;
    ShiftView shift(RegionId from) const;
    /// Whether the host was heard within the time after which it counts as lost.
    bool isAlive(HostId host, TimePoint now) const;
    bool sliceValid(TimePoint now) const;
    std::size_t requestsInProgress() const;
    const Ledger &ledger() const;
    /// Claims that were synced by an earlier process of this host; call before the first event.
    void restoreClaims(const std::vector<LedgerRecord> &records);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

//===-- Traces --------------------------------------------------------------===//

/// One line of a trace: the event and when it happened, as JSON.
/// `bundleText` is needed for ConfigApplied only.
std::string traceLine(const Event &event, TimePoint at, const std::string &bundleText);
/// First line of a trace: what the reducer was started with.
std::string traceHeader(const SteerSettings &settings, TimePoint startedAt);

/// An effect as JSON, names in place of ids, for traces and the decision log.
nlohmann::json describe(const Effect &effect, const Bundle *bundle);

/// Replays trace lines through the reducer. Stated outcomes are lines with "expect"; the first that does not hold is
/// thrown as Error with step "replay" and the line. Returns the number of outcomes that held.
std::size_t replayTrace(const std::vector<std::string> &lines, const std::string &file);

} // namespace pepperlug
