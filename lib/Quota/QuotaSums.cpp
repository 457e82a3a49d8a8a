//===- QuotaSums.cpp - Demand and admitted fraction of tenants ------------===//
#include "pepperlug/Quota.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Fraction of its limit above which the load of a tenant is advertised to hosts.
constexpr double NearLimitFraction = 0.5;
/// Mean time until a change of demand reaches control hosts, and until a change of the admitted fraction reaches all
/// entry hosts.
constexpr std::chrono::duration<double> ReactionTime{0.8};
/// Everything is admitted while the burst lasts for at least this many more reaction times.
constexpr double BurstReserve = 2;
/// Time in which hosts admit less to make up for an excess, and the fraction of the limit's rate that is admitted even
/// then.
constexpr std::chrono::duration<double> RepayTime{1.0};
constexpr double MinRepayRate = 0.2;
/// Relative changes that are reported to hosts: of the admitted fraction, and of the demand.
constexpr double FractionTolerance = 0.05;
constexpr double DemandTolerance = 0.3;
/// Interval between two reports to hosts, unless the admitted fraction falls below this fraction of the reported one.
constexpr Milliseconds ReportInterval{500};
constexpr double UrgentFraction = 0.9;

} // namespace

// The burst is used up before anything is refused, except for what still arrives until hosts know that it is.
double QuotaAggregator::fractionToAdmit(const TenantLimit &limit, double demand, double level)
{
    const double excess = demand - limit.perSecond;
    const bool hasBurst = level >= 0 && level > excess * ReactionTime.count() * BurstReserve;
    if (demand <= 0 || hasBurst) {
        return 1;
    }
    const double repaid = std::min(0.0, level) / RepayTime.count();
    const double rate = std::max(limit.perSecond * MinRepayRate, limit.perSecond + repaid);
    return std::min(1.0, rate / demand);
}

void QuotaAggregator::updateBucket(Bucket &bucket, const TenantLimit &limit, double demand,
                                   std::chrono::duration<double> passed)
{
    bucket.appliedFraction += (bucket.admittedFraction - bucket.appliedFraction) * -std::expm1(-passed / ReactionTime);
    const double gain = (limit.perSecond - demand * bucket.appliedFraction) * passed.count();
    const double maxLevel = limit.burst;
    bucket.level = std::clamp(bucket.level + gain, -maxLevel, maxLevel);
    bucket.admittedFraction = fractionToAdmit(limit, demand, bucket.level);
}

void QuotaAggregator::update(const std::vector<Tenant> &tenants,
                             const std::unordered_map<std::uint64_t, double> &demand, TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_updatedAt.value_or(now);
    m_updatedAt = now;
    std::unordered_map<std::uint64_t, Bucket> buckets;
    std::vector<TenantLoad> loads;
    for (const Tenant &tenant : tenants) {
        const std::uint64_t hash = tenantHash(tenant.name);
        const auto sum = demand.find(hash);
        if (tenant.limit.perSecond <= 0 || sum == demand.end()) {
            continue;
        }
        // An unknown burst, as after a restart, is taken for used up, since it may have been a moment ago.
        const auto known = m_buckets.find(hash);
        Bucket bucket = known == m_buckets.end() ? Bucket{} : known->second;
        updateBucket(bucket, tenant.limit, sum->second, passed);
        buckets.emplace(hash, bucket);
        if (sum->second > tenant.limit.perSecond * NearLimitFraction) {
            loads.push_back({hash, static_cast<float>(sum->second), static_cast<float>(bucket.admittedFraction)});
        }
    }
    std::ranges::sort(loads, {}, &TenantLoad::tenant);
    m_buckets = std::move(buckets);
    m_loads = std::move(loads);
    const bool isReportDue = isUrgent(m_loads) || (now >= m_nextReport && isWorthReporting(m_loads));
    if (isReportDue) {
        m_reportedLoads = m_loads;
        m_nextReport = now + ReportInterval;
        ++m_version;
    }
}

// A smaller admitted fraction must be reported at once: what hosts admit until they receive it exceeds the limit.
bool QuotaAggregator::isUrgent(const std::vector<TenantLoad> &loads) const
{
    const auto reportedFraction = [&](std::uint64_t tenant) {
        const auto it = std::ranges::lower_bound(m_reportedLoads, tenant, {}, &TenantLoad::tenant);
        return it != m_reportedLoads.end() && it->tenant == tenant ? it->admittedFraction : 1;
    };
    return std::any_of(loads.begin(), loads.end(), [&](const TenantLoad &it) {
        return it.admittedFraction < reportedFraction(it.tenant) * UrgentFraction;
    });
}

bool QuotaAggregator::isWorthReporting(const std::vector<TenantLoad> &loads) const
{
    return !std::ranges::equal(loads, m_reportedLoads, [](const TenantLoad &current, const TenantLoad &reported) {
        const bool isFractionClose = std::abs(current.admittedFraction - reported.admittedFraction)
            <= FractionTolerance * reported.admittedFraction;
        const bool isDemandClose =
            std::abs(current.perSecond - reported.perSecond) <= DemandTolerance * reported.perSecond;
        return current.tenant == reported.tenant && isFractionClose && isDemandClose;
    });
}

void QuotaAggregator::restore(std::vector<TenantLoad> loads)
{
    m_loads = std::move(loads);
    m_reportedLoads = m_loads;
    ++m_version;
}

const std::vector<TenantLoad> &QuotaAggregator::loads() const
{
    return m_loads;
}

std::uint64_t QuotaAggregator::version() const
{
    return m_version;
}

bool QuotaAggregator::isLimiting() const
{
    return std::any_of(m_loads.begin(), m_loads.end(), [](const TenantLoad &it) { return it.admittedFraction < 1; });
}

} // namespace pepperlug::fleet
