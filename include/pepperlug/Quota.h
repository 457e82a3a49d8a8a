//===- pepperlug/Quota.h - Global rate limits of tenants ---------*- C++ -*-===//
//
// A tenant's requests arrive at many entry hosts, and its limit applies to their
// sum. Each control host owns an equal part of every limit as a token bucket, and
// no token exists twice: what all buckets release in a window is at most what the
// limit allows, whichever hosts are cut off, restart or have not been heard of.
// An entry host requests tokens for the requests that wait at it. A control host
// that runs short borrows tokens from other control hosts. A token that is not used
// within its lifetime is void, so no host can save tokens for a later window.
//
// An entry host without contact to control hosts admits at a small rate that was
// reserved for it while it had contact. Its control host subtracts that rate from
// its own bucket from before the entry host may use it until after it must stop.
//
// The bound assumes that members of the control group know of each other: while a
// member that is cut off has been replaced, both issue a part of the limit.
//
// Pure: time and the random seed are passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"
#include "pepperlug/Routes.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <variant>

namespace pepperlug::fleet
{

/// How far the admitted requests of all hosts may exceed a limit.
struct QuotaTolerance {
    Duration window = std::chrono::seconds(5); ///< the bound holds in each window of this length
    double excess = 0; ///< fraction of what the limit allows in a window
    double slack = 0; ///< additional requests in a window
};

/// How long a host without contact to control hosts may use the rate that is reserved for it.
constexpr std::chrono::seconds QuotaHoldTime{12};
/// Time without a reply after which an entry host counts as isolated: three calls in a row have failed.
constexpr Milliseconds IsolationTimeout{1500};
/// Timeout of a QuotaCall. A later reply is ignored.
constexpr Milliseconds QuotaCallTimeout{180};
/// Longest time for which a control host holds a QuotaCall while it borrows tokens. Requests wait for an eighth of
/// their objective, so a later reply comes too late for objectives of up to 600 ms.
constexpr Milliseconds MaxBorrowTime{75};

/// Returns how many requests an isolated host may have saved up at a reserved rate in requests per second.
double isolatedDepth(double perSecond);

/// Returns the identifier of a tenant in messages between hosts.
std::uint64_t tenantHash(std::string_view name);

//===-- Messages --------------------------------------------------------------===//

/// A limit as a host knows it.
struct QuotaLimit {
    TenantLimit limit;
    std::uint64_t tableVersion = 0; ///< of the routing table that the limit is from
    MSGPACK_DEFINE(limit, tableVersion);
};

/// Tokens of one tenant that an entry host requests.
struct QuotaDemand {
    std::uint64_t tenant = 0; ///< tenantHash()
    QuotaLimit limit; ///< that the entry host applies
    std::uint32_t needed = 0; ///< requests that wait for a token
    std::uint32_t expected = 0; ///< further requests that will probably arrive within the lifetime of a token
    MSGPACK_DEFINE(tenant, limit, needed, expected);
};

/// An entry host requests tokens. Without demands it only shows that the host is in contact.
struct QuotaCall {
    std::string host; ///< incarnation id of the entry host
    std::string address; ///< of the entry host; an incarnation replaces all earlier ones at its address
    std::uint64_t acknowledged = 0; ///< QuotaReply::sequence of the last reply of the same issuer; 0: none
    std::string issuer; ///< QuotaReply::issuer that `acknowledged` is from
    std::vector<QuotaDemand> demands;
    MSGPACK_DEFINE(host, address, acknowledged, issuer, demands);
};

/// Tokens of one tenant for an entry host.
struct QuotaGrant {
    std::uint64_t tenant = 0;
    std::uint32_t tokens = 0;
    Milliseconds lifetime{}; ///< of the tokens, from the moment when the call was sent
    std::optional<float> isolatedPerSecond; ///< rate that is reserved for times without contact; nothing: unchanged
    MSGPACK_DEFINE(tenant, tokens, lifetime, isolatedPerSecond);
};

/// Reply to a QuotaCall.
struct QuotaReply {
    std::string issuer; ///< incarnation id of the control host
    std::uint64_t sequence = 0; ///< rises with each reply of an issuer
    bool isIssuing = false; ///< false: this host has no part of the limits now; another one should be called
    std::vector<QuotaGrant> grants;
    MSGPACK_DEFINE(issuer, sequence, isIssuing, grants);
};

/// Tokens of one tenant that one control host asks another one for, or gets from it.
struct QuotaLoan {
    std::uint64_t tenant = 0;
    QuotaLimit limit; ///< that the borrower applies
    std::uint32_t tokens = 0;
    Milliseconds lifetime{}; ///< in a reply: of the tokens, from the moment when the call was sent
    MSGPACK_DEFINE(tenant, limit, tokens, lifetime);
};

/// A control host asks another one for tokens. Also the reply.
struct QuotaLoans {
    std::vector<QuotaLoan> loans;
    MSGPACK_DEFINE(loans);
};

//===-- Entry hosts -----------------------------------------------------------===//

/// Tokens that become void at some time.
class ExpiringTokens
{
public:
    struct Batch {
        std::uint32_t tokens = 0;
        TimePoint expiresAt{};
    };

    void add(Batch batch);
    /// Takes the token that expires first. Returns its expiry, or nothing if there is no token.
    std::optional<TimePoint> take(TimePoint now);
    /// Takes at most `count` tokens with the same expiry, those that expire first.
    Batch takeBatch(std::uint32_t count, TimePoint now);
    std::uint32_t count(TimePoint now) const;

private:
    std::map<TimePoint, std::uint32_t> m_tokens; ///< by expiry
};

enum class QuotaDecision : std::uint8_t {
    Admitted,
    Waiting,
    Refused, ///< the limit is used up
    TimedOut, ///< no control host has decided in time, or this host is isolated
};

struct QuotaResult {
    RequestId id{};
    QuotaDecision decision{};
    TimePoint tokenExpiry{}; ///< of the token that the request has taken
};

/// Decides at an entry host which requests are admitted so that all hosts together keep the limits.
template <typename T>
concept QuotaPolicy = requires(T it, RequestId id, const std::string &tenant, const TenantLimit &limit,
                               const QuotaReply &reply, Duration wait, TimePoint now)
{
    {
        it.request(id, tenant, limit, wait, now)
        } -> std::same_as<QuotaResult>;
    {
        it.takeDecided(now)
        } -> std::same_as<std::vector<QuotaResult>>;
    {
        it.nextCall(now)
        } -> std::same_as<std::optional<QuotaCall>>;
    it.receive(now, reply, now);
    it.recordFailure(now);
    it.setTableVersion(std::uint64_t{1});
};

/// Tokens of tenants at one entry host, and the requests that wait for one. A call is identified by the time when it
/// was sent.
class QuotaHolder
{
public:
    /// `host`, `address`: QuotaCall::host and QuotaCall::address.
    QuotaHolder(std::string host, std::string address);

    void setTableVersion(std::uint64_t version);
    /// Decides on a request that has a target. If it has to wait, takeDecided() returns it within `maxWait`.
    QuotaResult request(RequestId id, const std::string &tenant, const TenantLimit &limit, Duration maxWait,
                        TimePoint now);
    /// Removes a waiting request whose caller has left.
    void cancel(const std::string &tenant, RequestId id);
    /// Returns the token of a request that has not run. It expires when it would have expired.
    void refund(const std::string &tenant, TimePoint tokenExpiry);
    /// Returns the requests whose wait is over, in order.
    std::vector<QuotaResult> takeDecided(TimePoint now);

    /// Returns the next call to a control host; nothing if none is due.
    std::optional<QuotaCall> nextCall(TimePoint now);
    /// Applies the reply to a call.
    void receive(TimePoint sentAt, const QuotaReply &reply, TimePoint now);
    /// Records that a call has failed.
    void recordFailure(TimePoint sentAt);

    /// Returns the shortest time after which a refused caller may be admitted.
    Milliseconds retryAfter(const std::string &tenant, TimePoint now) const;
    /// Returns true if no control host has replied for so long that only reserved rates may be used.
    bool isIsolated(TimePoint now) const;
    /// Returns true once a control host has replied.
    bool hasHadContact() const;
    /// Number of tenants with state.
    std::size_t size() const;

private:
    struct Waiting {
        RequestId id{};
        TimePoint until{};
        std::optional<TimePoint> calledAt; ///< of the call that requests its token
    };

    /// Long enough that single requests of a small tenant do not look like a rate that is worth providing for.
    static constexpr std::chrono::duration<double> AveragingTime{3.0};

    struct Share {
        QuotaLimit limit;
        ExpiringTokens tokens;
        std::deque<Waiting> waiting;
        ArrivalRate arrivals{AveragingTime};
        ArrivalRate admissions{AveragingTime};
        Duration lifetime{}; ///< of the last granted tokens
        TimePoint exhaustedUntil{}; ///< requests are refused without a call until then
        double isolatedPerSecond = 0; ///< rate that is reserved for this host
        double isolatedTokens = 0;
        TimePoint isolatedAt{}; ///< as of which isolatedTokens is valid
        TimePoint usedAt{};
    };

    std::optional<TimePoint> takeIsolated(Share &share, TimePoint now) const;
    std::optional<TimePoint> takeToken(Share &share, TimePoint now) const;
    static std::uint32_t expectedRequests(const Share &share, TimePoint now);
    void admitIsolated(Share &share, TimePoint now);
    void decideWaiting(Share &share, TimePoint now);
    void applyGrants(TimePoint sentAt, const QuotaReply &reply);
    bool isCallDue(TimePoint now) const;
    void removeIdle(TimePoint now);

    std::string m_host;
    std::string m_address;
    std::uint64_t m_tableVersion = 0;
    std::unordered_map<std::uint64_t, Share> m_shares; ///< by tenantHash()
    std::vector<QuotaResult> m_decided;
    std::string m_issuer; ///< of the last reply
    std::uint64_t m_acknowledged = 0; ///< sequence of the last reply
    std::set<TimePoint> m_pending; ///< calls
    TimePoint m_lastCallAt{};
    std::optional<TimePoint> m_lastContact; ///< when the last call that was replied to was sent
    bool m_hasFailed = false; ///< the last call was not replied to
};
static_assert(QuotaPolicy<QuotaHolder>);

//===-- Control hosts ---------------------------------------------------------===//

/// Identifies a call of an entry host until it is replied to.
enum class QuotaCallId : std::uint64_t {};

struct SendQuotaReply {
    QuotaCallId call{};
    QuotaReply reply;
};

/// Asks another control host for tokens.
struct BorrowTokens {
    std::string peer; ///< QuotaPeer::name
    QuotaLoans wanted;
};

using QuotaEffect = std::variant<SendQuotaReply, BorrowTokens>;
using QuotaEffects = std::vector<QuotaEffect>;

/// A control host that lends tokens.
struct QuotaPeer {
    std::string name;
    bool isInRegion = false; ///< of this host, so that a loan takes a few milliseconds
    auto operator<=>(const QuotaPeer &) const = default;
};

/// One control host's part of the limits.
class QuotaIssuer
{
public:
    /// `isFirstStart`: this host has not issued anything before.
    QuotaIssuer(std::string issuer, const QuotaTolerance &tolerance, bool isFirstStart);

    /// Tokens that are issued from now on keep to the tolerance.
    void setTolerance(const QuotaTolerance &tolerance);
    /// Sets among how many control hosts the limits are divided; 0: this host has no part.
    void setMembers(std::size_t members, TimePoint now);
    /// Sets the control hosts that tokens can be borrowed from.
    void setPeers(std::vector<QuotaPeer> peers);

    void receive(QuotaCallId id, QuotaCall call, TimePoint now, QuotaEffects &out);
    /// Lends tokens that this host does not need itself.
    QuotaLoans lend(const QuotaLoans &wanted, TimePoint now);
    /// Applies the reply to a call of BorrowTokens; nothing: the call failed.
    void receiveLoan(const QuotaLoans &wanted, const std::optional<QuotaLoans> &reply, TimePoint sentAt, TimePoint now,
                     QuotaEffects &out);
    /// Replies to calls that were held long enough. To be called regularly.
    void tick(TimePoint now, QuotaEffects &out);

    /// Figures for metrics, since the start.
    struct Totals {
        std::uint64_t granted = 0; ///< tokens to entry hosts
        std::uint64_t missing = 0; ///< tokens that entry hosts needed and did not get
        std::uint64_t borrowed = 0;
        std::uint64_t lent = 0;
    };
    const Totals &totals() const;
    std::size_t followers() const;
    std::size_t isolatedFollowers(TimePoint now) const;

private:
    /// A rate that was reserved with a reply.
    struct Reservation {
        std::uint64_t sequence = 0;
        double perSecond = 0;
    };

    /// What hosts may use without contact.
    struct Reserve {
        double perSecond = 0;
        double depth = 0; ///< isolatedDepth()
        void add(double rate)
        {
            perSecond += rate;
            depth += isolatedDepth(rate);
        }
        void subtract(double rate)
        {
            perSecond -= rate;
            depth -= isolatedDepth(rate);
        }
    };

    /// Short, so that tokens for a burst are borrowed in time.
    static constexpr std::chrono::duration<double> NeedAveragingTime{1.0};
    /// Long enough that single tokens do not look like a rate that is worth reserving.
    static constexpr std::chrono::duration<double> GrantAveragingTime{4.0};

    /// A tenant at one follower.
    struct FollowerTenant {
        /// Rates that the follower may use: the last one that it has acknowledged, and later ones. Each reply repeats
        /// the newest one until it is acknowledged.
        std::deque<Reservation> reservations{Reservation{}};
        ArrivalRate granted{GrantAveragingTime};
        double reservedPerSecond() const;
    };

    struct Follower {
        std::string host;
        std::deque<std::pair<std::uint64_t, TimePoint>> replies; ///< sequence and time of those not acknowledged
        TimePoint contactAt{}; ///< when the last acknowledged reply was sent; at first, the first reply
        TimePoint calledAt{};
        std::map<std::uint64_t, FollowerTenant> tenants;
    };

    struct Bucket {
        QuotaLimit limit;
        double level = 0;
        TimePoint refilledAt{};
        ExpiringTokens borrowed;
        ArrivalRate needed{NeedAveragingTime};
        ArrivalRate granted{GrantAveragingTime};
        Reserve reserved; ///< for all followers
        std::size_t pendingLoans = 0;
        TimePoint askedAt{}; ///< when peers were asked last
        std::uint32_t wantedLoans = 0; ///< tokens that peers were asked for last
        std::uint32_t lentTokens = 0; ///< tokens that they have lent
        bool asksOtherRegions = false; ///< peers of the own region had too few tokens
        bool hasLentNothing = false; ///< peers of the own region had no tokens
        TimePoint nextLoanAt{};
    };

    struct HeldCall {
        QuotaCallId id{};
        QuotaCall call; ///< the demands are reduced by what was granted
        QuotaReply reply;
        TimePoint until{};
    };

    double share() const;
    double toleratedRequests(const TenantLimit &limit) const;
    Duration lifetime(const TenantLimit &limit) const;
    double depth(const TenantLimit &limit) const;
    Reserve maxReserve(const TenantLimit &limit) const;
    Reserve usedByIsolated(std::uint64_t tenant, const Bucket &bucket, TimePoint now) const;
    Bucket &bucketOf(std::uint64_t tenant, const QuotaLimit &limit, TimePoint now);
    void refill(std::uint64_t tenant, Bucket &bucket, TimePoint now) const;
    void refillAll(TimePoint now);
    void refillReserved(const Follower &follower, TimePoint now);
    Follower &followerOf(const QuotaCall &call, TimePoint now);
    void acknowledge(Follower &follower, std::uint64_t sequence);
    void removeReservations(const Follower &follower);
    static bool isIsolated(const Follower &follower, TimePoint now);
    void grant(HeldCall &held, QuotaDemand &demand, TimePoint now);
    void grantExpected(HeldCall &held, const QuotaDemand &demand, TimePoint now);
    double reservedRate(const Bucket &bucket, const FollowerTenant &state, TimePoint now) const;
    void addReservations(HeldCall &held, Follower &follower, TimePoint now);
    bool mayStillGet(const HeldCall &held, TimePoint now) const;
    void finish(HeldCall &held, TimePoint now, QuotaEffects &out);
    void serveHeld(TimePoint now, QuotaEffects &out);
    static void finishLoans(Bucket &bucket, TimePoint now);
    bool isRegionSilent(const Bucket &bucket, TimePoint now) const;
    void startLoans(const std::set<std::uint64_t> &tenants, TimePoint now, QuotaEffects &out);
    std::uint32_t wantedTokens(std::uint64_t tenant, const Bucket &bucket, TimePoint now) const;
    std::set<std::uint64_t> heldTenants() const;
    std::uint32_t missingTokens(std::uint64_t tenant) const;
    std::vector<const QuotaPeer *> peersToAsk(const Bucket &bucket, std::uint32_t wanted);
    void removeExpired(TimePoint now);

    std::string m_issuer;
    QuotaTolerance m_tolerance;
    bool m_isFirstStart;
    bool m_hasMembers = false; ///< setMembers() was called
    bool m_wasMember = false; ///< before the restart
    TimePoint m_issuingSince{};
    std::size_t m_members = 0;
    std::vector<QuotaPeer> m_peers;
    std::size_t m_nextPeer = 0;
    std::uint64_t m_sequence = 0;
    std::unordered_map<std::uint64_t, Bucket> m_buckets; ///< by tenantHash()
    std::map<std::string, Follower> m_followers; ///< by address
    std::vector<HeldCall> m_held;
    TimePoint m_nextExpiry{};
    Totals m_totals;
};

} // namespace pepperlug::fleet
