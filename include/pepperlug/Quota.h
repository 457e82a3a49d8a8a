//===- pepperlug/Quota.h - Limits of tenants over all hosts together ---------===//
//
// A tenant's requests come to many entry hosts, and its limit binds their sum.
// Each entry host tells what it is asked for; control hosts add that up and tell
// which part of it may pass; each entry host passes that part. While the sum is
// below the limit nobody counts, so nothing is refused. What is believed of a
// host that is not heard stays as it was for a while, at both sides of a cut, so
// that the two sides together pass no more than one would. Pure: time and the
// random seed are passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"
#include "pepperlug/Routes.h"

#include <random>
#include <unordered_map>

namespace pepperlug::fleet
{

/// How far the sum may exceed a limit.
struct QuotaTolerance {
    Duration window = std::chrono::seconds(5); ///< each span of this length counts
    double excess = 0; ///< part of what the limit allows in a window
    double slack = 0; ///< requests in a window besides
};

/// How long a host that is not heard is taken to be asked for as much as before; and how long a host that hears nothing
/// passes its share of then.
constexpr std::chrono::seconds QuotaHoldTime{12};

/// Name of a tenant in what hosts tell each other.
std::uint64_t tenantHash(std::string_view name);

/// What control hosts tell of a tenant that comes near its limit.
struct TenantLoad {
    std::uint64_t tenant = 0; ///< tenantHash()
    float perSecond = 0; ///< requests that all entry hosts together are asked for
    float admittedFraction = 1; ///< of them that may pass
    MSGPACK_DEFINE(tenant, perSecond, admittedFraction);
};

/// A way for an entry host to keep its part of the limits.
template <typename T>
concept QuotaPolicy = requires(T it, const std::string &tenant, const TenantLimit &limit,
                               const std::vector<TenantLoad> &loads, TimePoint now)
{
    {
        it.admit(tenant, limit, now)
        } -> std::same_as<bool>;
    it.refund(tenant, now);
    it.updateLoads(loads);
    it.recordContact(now);
    {
        it.demand(now)
        } -> std::same_as<std::vector<TenantDemand>>;
    {
        it.hasSurged(now)
        } -> std::same_as<bool>;
};

/// The part of each limit that one entry host may use: that of the demand which comes to it.
class QuotaShares
{
public:
    QuotaShares(const QuotaTolerance &terms, std::uint64_t seed);

    /// Whether a request of a tenant may be sent. To be asked once for each request that has a target.
    bool admit(const std::string &tenant, const TenantLimit &limit, TimePoint now);
    /// An admitted request did not run.
    void refund(const std::string &tenant, TimePoint now);
    /// Takes what control hosts know of all tenants.
    void updateLoads(const std::vector<TenantLoad> &loads);
    /// A control host with a majority was heard: what it told holds as of then.
    void recordContact(TimePoint at);
    /// How many there are, this one included.
    void setEntryHostCount(std::size_t count);
    /// What this host is asked for, to be told to control hosts. Stays the same for a while, so that they need not pass
    /// it on, unless a limit binds or is about to.
    std::vector<TenantDemand> demand(TimePoint now);
    /// Whether some tenant asks for so much more than was told that control hosts should hear of it at once.
    bool hasSurged(TimePoint now) const;
    /// Shortest time after which a refused caller may find room.
    Milliseconds retryAfter(const std::string &tenant) const;

private:
    struct Share {
        TenantLimit limit;
        ArrivalRate asked{AskedTime};
        double toldDemand = 0; ///< of this host, as control hosts know it
        std::optional<TenantLoad> load; ///< nothing: far below its limit
        double chance = 0; ///< from 0 to 1, drawn
        double credit = 0; ///< requests that may pass; each that comes adds a part of one
        double tokens = 0; ///< likewise; they come with time
        TimePoint tokensAt{};
    };

    /// A rate, and what may pass at once.
    struct Allowance {
        double perSecond = 0;
        double depth = 0;
    };

    /// Mean time over which requests are counted. Longer, and a crowd is noticed later; shorter, and chance looks like
    /// one.
    static constexpr std::chrono::duration<double> AskedTime{1.0};

    Share &shareOf(const std::string &tenant, const TenantLimit &limit);
    bool isHeard(TimePoint now) const;
    bool isSmall(const TenantLimit &limit) const;
    double askedRate(const Share &share, TimePoint now) const;
    void retell(TimePoint now);
    double partOfDemand(const Share &share) const;
    Allowance allowance(const Share &share, TimePoint now) const;
    void refill(Share &share, TimePoint now) const;
    static bool passPart(Share &share);

    QuotaTolerance m_terms;
    std::mt19937_64 m_random;
    std::unordered_map<std::uint64_t, Share> m_shares; ///< by tenantHash()
    std::unordered_map<std::uint64_t, TenantLoad> m_loads; ///< as told last
    std::optional<TimePoint> m_heardAsOf;
    std::optional<TimePoint> m_countsSince; ///< first request of any tenant
    TimePoint m_nextRetell{};
    std::size_t m_entryHosts = 1;
};
static_assert(QuotaPolicy<QuotaShares>);

/// What all entry hosts together are asked for in each tenant's name, as one control host knows it, and which part of
/// it may pass.
class QuotaAggregator
{
public:
    /// Takes the limits in force and the sums by tenantHash(); to be called regularly.
    void update(const std::vector<Tenant> &tenants, const std::unordered_map<std::uint64_t, double> &asked,
                TimePoint now);
    /// Goes by what was told before a restart until the sums are known again.
    void restore(std::vector<TenantLoad> loads);
    /// Of the tenants that come near their limits.
    const std::vector<TenantLoad> &loads() const;
    /// Rises whenever hosts should hear of the loads; 1 at first.
    std::uint64_t version() const;
    /// Whether some limit lets less than all pass.
    bool isLimiting() const;

private:
    struct Bucket {
        /// Requests that may pass beyond the limit's rate, as believed; below 0, that passed too much.
        double level = 0;
        double part = 1;
        double partInUse = 1; ///< as hosts have come to it
    };

    static double partOf(const TenantLimit &limit, double asked, double level);
    static void follow(Bucket &bucket, const TenantLimit &limit, double asked, std::chrono::duration<double> passed);
    bool isUrgent(const std::vector<TenantLoad> &loads) const;
    bool isWorthTelling(const std::vector<TenantLoad> &loads) const;

    std::unordered_map<std::uint64_t, Bucket> m_buckets;
    std::vector<TenantLoad> m_loads; ///< sorted by tenant
    std::vector<TenantLoad> m_toldLoads; ///< as of the version
    std::uint64_t m_version = 1;
    std::optional<TimePoint> m_followedAt;
    TimePoint m_nextTelling{};
};

} // namespace pepperlug::fleet
