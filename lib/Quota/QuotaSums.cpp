//===- QuotaSums.cpp - What all hosts are asked for, and may pass ---------===//
#include "pepperlug/Quota.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Part of its limit from which on hosts are told of a tenant.
constexpr double NearLimit = 0.5;
/// Mean time until a change of what is asked has come to control hosts, and of the part to all entry hosts.
constexpr std::chrono::duration<double> ReactionTime{0.8};
/// The burst is spent as long as it lasts for so many reaction times more.
constexpr double Foresight = 2;
/// In which hosts pass less to make up for what was too much, and the least of the limit's rate that passes meanwhile.
constexpr std::chrono::duration<double> RepayTime{1.0};
constexpr double LeastRepayingRate = 0.2;
/// Differences that hosts are told of: of the part that may pass, and of what is asked for.
constexpr double PartTolerance = 0.05;
constexpr double AskedTolerance = 0.3;
/// Between two times that hosts are told of them, unless the part falls below this part of what was told.
constexpr Milliseconds TellInterval{500};
constexpr double UrgentPart = 0.9;

} // namespace

// The burst is used up before anything is refused, but for what still comes until the hosts hear that it is.
double QuotaAggregator::partOf(const TenantLimit &limit, double asked, double level)
{
    const double excess = asked - limit.perSecond;
    const bool hasBurst = level >= 0 && level > excess * ReactionTime.count() * Foresight;
    if (asked <= 0 || hasBurst) {
        return 1;
    }
    const double repaid = std::min(0.0, level) / RepayTime.count();
    const double rate = std::max(limit.perSecond * LeastRepayingRate, limit.perSecond + repaid);
    return std::min(1.0, rate / asked);
}

void QuotaAggregator::follow(Bucket &bucket, const TenantLimit &limit, double asked,
                             std::chrono::duration<double> passed)
{
    bucket.partInUse += (bucket.part - bucket.partInUse) * -std::expm1(-passed / ReactionTime);
    const double gain = (limit.perSecond - asked * bucket.partInUse) * passed.count();
    const double most = limit.burst;
    bucket.level = std::clamp(bucket.level + gain, -most, most);
    bucket.part = partOf(limit, asked, bucket.level);
}

void QuotaAggregator::update(const std::vector<Tenant> &tenants, const std::unordered_map<std::uint64_t, double> &asked,
                             TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_followedAt.value_or(now);
    m_followedAt = now;
    std::unordered_map<std::uint64_t, Bucket> buckets;
    std::vector<TenantLoad> loads;
    for (const Tenant &tenant : tenants) {
        const std::uint64_t hash = tenantHash(tenant.name);
        const auto sum = asked.find(hash);
        if (tenant.limit.perSecond <= 0 || sum == asked.end()) {
            continue;
        }
        // A burst of which nothing is known, as after a restart, may have been used up a moment ago.
        const auto known = m_buckets.find(hash);
        Bucket bucket = known == m_buckets.end() ? Bucket{} : known->second;
        follow(bucket, tenant.limit, sum->second, passed);
        buckets.emplace(hash, bucket);
        if (sum->second > tenant.limit.perSecond * NearLimit) {
            loads.push_back({hash, static_cast<float>(sum->second), static_cast<float>(bucket.part)});
        }
    }
    std::ranges::sort(loads, {}, &TenantLoad::tenant);
    m_buckets = std::move(buckets);
    m_loads = std::move(loads);
    const bool isTold = isUrgent(m_loads) || (now >= m_nextTelling && isWorthTelling(m_loads));
    if (isTold) {
        m_toldLoads = m_loads;
        m_nextTelling = now + TellInterval;
        ++m_version;
    }
}

// A limit that binds, or binds harder, can't wait: what passes until hosts hear of it is too much.
bool QuotaAggregator::isUrgent(const std::vector<TenantLoad> &loads) const
{
    const auto toldPart = [&](std::uint64_t tenant) {
        const auto it = std::ranges::lower_bound(m_toldLoads, tenant, {}, &TenantLoad::tenant);
        return it != m_toldLoads.end() && it->tenant == tenant ? it->admittedFraction : 1;
    };
    return std::any_of(loads.begin(), loads.end(),
                       [&](const TenantLoad &it) { return it.admittedFraction < toldPart(it.tenant) * UrgentPart; });
}

bool QuotaAggregator::isWorthTelling(const std::vector<TenantLoad> &loads) const
{
    return !std::ranges::equal(loads, m_toldLoads, [](const TenantLoad &now, const TenantLoad &told) {
        const bool isPartAlike =
            std::abs(now.admittedFraction - told.admittedFraction) <= PartTolerance * told.admittedFraction;
        const bool isAskedAlike = std::abs(now.perSecond - told.perSecond) <= AskedTolerance * told.perSecond;
        return now.tenant == told.tenant && isPartAlike && isAskedAlike;
    });
}

void QuotaAggregator::restore(std::vector<TenantLoad> loads)
{
    m_loads = std::move(loads);
    m_toldLoads = m_loads;
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
