//===- pepperlug/Quota.h - Global rate limits of tenants ---------*- C++ -*-===//
//
// A tenant's requests arrive at many entry hosts, and its limit applies to their
// sum. Each entry host reports the demand that it receives; control hosts add the
// reports up and advertise the fraction that may be admitted; each entry host
// admits that fraction. While the sum is below the limit no host restricts
// anything, so nothing is refused. The last report of an unreachable host stays
// valid for a while, on both sides of a network partition, so that the two sides
// together admit no more than one would. Pure: time and the random seed are passed
// in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"
#include "pepperlug/Routes.h"

#include <random>
#include <unordered_map>

namespace pepperlug::fleet
{

/// How far the admitted requests of all hosts may exceed a limit.
struct QuotaTolerance {
    Duration window = std::chrono::seconds(5); ///< the bound holds in each window of this length
    double excess = 0; ///< fraction of what the limit allows in a window
    double slack = 0; ///< additional requests in a window
};

/// How long the last reported demand of an unreachable host is taken to continue; and how long a host without contact
/// to control hosts goes on admitting the share that it had.
constexpr std::chrono::seconds QuotaHoldTime{12};

/// Returns the identifier of a tenant in messages between hosts.
std::uint64_t tenantHash(std::string_view name);

/// Demand of a tenant near its limit, as control hosts advertise it.
struct TenantLoad {
    std::uint64_t tenant = 0; ///< tenantHash()
    float perSecond = 0; ///< demand at all entry hosts together
    float admittedFraction = 1; ///< of the demand
    MSGPACK_DEFINE(tenant, perSecond, admittedFraction);
};

/// Decides at an entry host which requests are admitted so that all hosts together keep the limits.
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

/// The share of each limit that one entry host may use, in proportion to the demand that arrives there.
class QuotaShares
{
public:
    QuotaShares(const QuotaTolerance &tolerance, std::uint64_t seed);

    /// Returns true if a request of a tenant may be sent. To be called once for each request that has a target.
    bool admit(const std::string &tenant, const TenantLimit &limit, TimePoint now);
    /// Takes back the admission of a request that did not run.
    void refund(const std::string &tenant, TimePoint now);
    /// Replaces the loads of all tenants with those received from a control host.
    void updateLoads(const std::vector<TenantLoad> &loads);
    /// Records contact to a control host with a majority, whose answer is valid as of the given time.
    void recordContact(TimePoint at);
    /// Sets the number of entry hosts, including this one.
    void setEntryHostCount(std::size_t count);
    /// Returns the demand at this host, to be reported to control hosts. Updated at intervals only, so that control
    /// hosts need not pass it on each time, unless a limit restricts requests or is about to.
    std::vector<TenantDemand> demand(TimePoint now);
    /// Returns true if the demand of some tenant exceeds the reported one so far that it should be reported at once.
    bool hasSurged(TimePoint now) const;
    /// Returns the shortest time after which a refused caller may be admitted.
    Milliseconds retryAfter(const std::string &tenant) const;

private:
    struct Share {
        TenantLimit limit;
        ArrivalRate arrivals{DemandAveragingTime};
        double reportedDemand = 0; ///< of this host, as last reported to control hosts
        std::optional<TenantLoad> load; ///< nothing: far below its limit
        double randomStart = 0; ///< random, from 0 to 1: first credit, and part of the first tokens without contact
        double credit = 0; ///< admissions left; each arrival adds the admitted fraction
        double tokens = 0; ///< admissions left; refilled over time
        TimePoint refilledAt{};
    };

    /// Refill rate and depth of a token bucket.
    struct Allowance {
        double perSecond = 0;
        double depth = 0;
    };

    /// Time constant of the average. With a longer one a burst is detected later; with a shorter one random variation
    /// looks like a burst.
    static constexpr std::chrono::duration<double> DemandAveragingTime{1.0};

    Share &shareOf(const std::string &tenant, const TenantLimit &limit);
    bool isInContact(TimePoint now) const;
    bool fitsIntoSlack(const TenantLimit &limit) const;
    double demandRate(const Share &share, TimePoint now) const;
    void updateReportedDemand(TimePoint now);
    double fractionOfDemand(const Share &share) const;
    Allowance allowance(const Share &share, TimePoint now) const;
    void refill(Share &share, TimePoint now) const;
    static bool admitFraction(Share &share);

    QuotaTolerance m_tolerance;
    std::mt19937_64 m_random;
    std::unordered_map<std::uint64_t, Share> m_shares; ///< by tenantHash()
    std::unordered_map<std::uint64_t, TenantLoad> m_loads; ///< as last received
    std::optional<TimePoint> m_lastContact;
    std::optional<TimePoint> m_countingSince; ///< first request of any tenant
    TimePoint m_nextDemandUpdate{};
    std::size_t m_entryHostCount = 1;
};
static_assert(QuotaPolicy<QuotaShares>);

/// The demand of each tenant at all entry hosts together, as one control host knows it, and the fraction of it that may
/// be admitted.
class QuotaAggregator
{
public:
    /// Updates the loads from the limits in force and the summed demand by tenantHash(); to be called regularly.
    void update(const std::vector<Tenant> &tenants, const std::unordered_map<std::uint64_t, double> &demand,
                TimePoint now);
    /// Restores the loads of before a restart, which apply until the demand is known again.
    void restore(std::vector<TenantLoad> loads);
    /// Returns the loads of tenants near their limits.
    const std::vector<TenantLoad> &loads() const;
    /// Rises whenever the loads should be sent to hosts; starts at 1.
    std::uint64_t version() const;
    /// Returns true if less than the whole demand of some tenant is admitted.
    bool isLimiting() const;

private:
    struct Bucket {
        /// Estimated requests that may be admitted beyond the limit's rate; below 0: excess that was admitted.
        double level = 0;
        double admittedFraction = 1;
        double appliedFraction = 1; ///< that hosts are estimated to apply by now
    };

    static double fractionToAdmit(const TenantLimit &limit, double demand, double level);
    static void updateBucket(Bucket &bucket, const TenantLimit &limit, double demand,
                             std::chrono::duration<double> passed);
    bool isUrgent(const std::vector<TenantLoad> &loads) const;
    bool isWorthReporting(const std::vector<TenantLoad> &loads) const;

    std::unordered_map<std::uint64_t, Bucket> m_buckets;
    std::vector<TenantLoad> m_loads; ///< sorted by tenant
    std::vector<TenantLoad> m_reportedLoads; ///< as of m_version
    std::uint64_t m_version = 1;
    std::optional<TimePoint> m_updatedAt;
    TimePoint m_nextReport{};
};

} // namespace pepperlug::fleet
