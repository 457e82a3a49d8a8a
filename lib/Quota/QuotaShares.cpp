//===- QuotaShares.cpp - An entry host's part of the limits of tenants ----===//
//
// The part is of the requests and not of the rate: a tenant's callers keep their connections, so its requests are
// spread unevenly, and a rate for each host would starve those that have most. What is left over of a request's part
// counts for the next one, and begins by chance, so that many hosts with few requests each pass what the part says.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Quota.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Without word from a control host with a majority for longer, this host goes by its own share alone.
constexpr Duration HeardTime = LeasesUntilIsolated * UpdateLease;
/// What a host is asked for is told anew when it differs by this part, or by this part of the tenant's limit.
constexpr double DemandTolerance = 0.25;
constexpr double LimitTolerance = 0.003;
/// Demand below it, a second, is not told: one request fades to it in 4 s.
constexpr double LeastDemand = 0.02;
/// Between two times that it is told anew while no limit binds.
constexpr Milliseconds RetellInterval{1000};
/// Demand that has so much doubled is told at once: by these many requests a second, and this part of the limit.
constexpr double SurgeRequests = 3;
constexpr double SurgePart = 0.05;
/// A tenant that control hosts don't speak of is asked for less than this part of its limit.
constexpr double UntoldPart = 0.5;
/// Requests that may pass at once besides the share of the burst: how many come together by chance at a host that gets
/// few.
constexpr double ChanceDepth = 5;
/// The same of a host without word; its share of a small limit is less than one.
constexpr double LeastDepth = 1;
constexpr double MostCredit = 2;
/// What a small limit allows in this time may pass besides, so it needs no bound at each host until control hosts
/// react.
constexpr std::chrono::duration<double> CrowdTime{2};
/// A rate is told as if requests had come for so long at least.
constexpr std::chrono::duration<double> LeastCounted{0.5};
/// Of the allowed excess, what hosts may use while what they are told is not in time; and what hosts may that hear
/// nothing for long, all together.
constexpr double HeardExcess = 0.25;
constexpr double AloneExcess = 0.5;
constexpr Milliseconds ShortestQuotaAdvice{500};
constexpr Milliseconds LongestQuotaAdvice{5000};

} // namespace

std::uint64_t tenantHash(std::string_view name)
{
    return hash64(name);
}

QuotaShares::QuotaShares(const QuotaTerms &terms, std::uint64_t seed)
    : m_terms(terms)
    , m_random(seed)
{
}

QuotaShares::Share &QuotaShares::shareOf(const std::string &tenant, const TenantLimit &limit)
{
    const std::uint64_t hash = tenantHash(tenant);
    const auto [it, isNew] = m_shares.try_emplace(hash);
    Share &share = it->second;
    share.limit = limit;
    if (isNew) {
        share.chance = unitInterval(m_random());
        share.credit = share.chance;
        const auto load = m_loads.find(hash);
        share.load = load == m_loads.end() ? std::nullopt : std::optional(load->second);
    }
    return share;
}

bool QuotaShares::isHeard(TimePoint now) const
{
    return !m_heardAsOf || now - *m_heardAsOf <= HeardTime;
}

bool QuotaShares::admit(const std::string &tenant, const TenantLimit &limit, TimePoint now)
{
    if (limit.perSecond <= 0) {
        return true;
    }
    m_countsSince = m_countsSince.value_or(now);
    Share &share = shareOf(tenant, limit);
    share.asked.add(now, 1);
    const bool isInTouch = isHeard(now);
    if (isInTouch && isSmall(limit)) {
        return passPart(share);
    }
    refill(share, now);
    const bool passes = share.tokens >= 1 && (!isInTouch || passPart(share));
    share.tokens -= passes ? 1 : 0;
    return passes;
}

bool QuotaShares::passPart(Share &share)
{
    const double part = share.load ? share.load->part : 1;
    if (part >= 1) {
        return true;
    }
    share.credit = std::min(share.credit + part, MostCredit);
    if (share.credit < 1) {
        return false;
    }
    share.credit -= 1;
    return true;
}

// What can pass at once until control hosts react fits into the slack.
bool QuotaShares::isSmall(const TenantLimit &limit) const
{
    const double allowed = limit.perSecond * secondsOf(m_terms.window) + limit.burst;
    return limit.perSecond * CrowdTime.count() <= allowed * m_terms.excess + m_terms.slack;
}

// A mean that fades takes the time before this host began for one without requests.
double QuotaShares::askedRate(const Share &share, TimePoint now) const
{
    const std::chrono::duration<double> counted = now - m_countsSince.value_or(now);
    return share.asked.perSecond(now) / -std::expm1(-std::max(counted, LeastCounted) / AskedTime);
}

// Of all that the tenant asks for, as control hosts know it.
double QuotaShares::partOfDemand(const Share &share) const
{
    const double untold = share.limit.perSecond * UntoldPart;
    const double asked = share.load ? std::max<double>(share.load->perSecond, untold) : untold;
    return std::min(1.0, share.toldDemand / asked);
}

// What the limit leaves to this host where its part of all demand is what it was when it was told last. It binds while
// the part that control hosts tell is not in time: in a crowd, and behind a cut, where others go by the same demand of
// this host, so that both sides pass one limit together.
QuotaShares::Allowance QuotaShares::allowance(const Share &share, TimePoint now) const
{
    const double part = partOfDemand(share);
    if (isHeard(now)) {
        const double wide =
            std::max(part * (1 + m_terms.excess * HeardExcess), 1.0 / static_cast<double>(m_entryHosts));
        return {share.limit.perSecond * wide, share.limit.burst * wide + ChanceDepth};
    }
    const bool isHeld = now - *m_heardAsOf <= QuotaHold;
    const double narrow = part * (isHeld ? 1 : m_terms.excess * AloneExcess);
    return {share.limit.perSecond * narrow, std::max(LeastDepth, share.limit.burst * narrow)};
}

void QuotaShares::refill(Share &share, TimePoint now) const
{
    const auto [perSecond, depth] = allowance(share, now);
    const bool isNew = share.tokensAt == TimePoint{};
    const double gained = perSecond * secondsOf(now - share.tokensAt);
    share.tokens = isNew ? depth : std::min(depth, share.tokens + gained);
    const bool isAloneSince = !isHeard(now) && share.tokensAt < *m_heardAsOf + HeardTime;
    if (isAloneSince) {
        // Many hosts may be alone at the same time, each with a share of less than one request.
        share.tokens = std::min(share.tokens, depth - LeastDepth + share.chance);
    }
    share.tokensAt = now;
}

void QuotaShares::giveBack(const std::string &tenant, TimePoint now)
{
    const auto it = m_shares.find(tenantHash(tenant));
    if (it == m_shares.end()) {
        return;
    }
    Share &share = it->second;
    share.asked.add(now, -1);
    const bool isLimited = share.load && share.load->part < 1;
    share.credit += isLimited ? 1 : 0;
    share.tokens += 1;
}

void QuotaShares::told(const std::vector<TenantLoad> &loads)
{
    m_loads.clear();
    for (const TenantLoad &it : loads) {
        m_loads.emplace(it.tenant, it);
    }
    for (auto &[hash, share] : m_shares) {
        const auto load = m_loads.find(hash);
        share.load = load == m_loads.end() ? std::nullopt : std::optional(load->second);
    }
}

void QuotaShares::heardAsOf(TimePoint at)
{
    m_heardAsOf = std::max(m_heardAsOf.value_or(at), at);
}

void QuotaShares::setEntryHosts(std::size_t count)
{
    m_entryHosts = std::max<std::size_t>(1, count);
}

void QuotaShares::retell(TimePoint now)
{
    const bool isLimited = std::any_of(m_shares.begin(), m_shares.end(),
                                       [](const auto &it) { return it.second.load && it.second.load->part < 1; });
    if (now < m_nextRetell && !isLimited && !hasSurged(now)) {
        return;
    }
    m_nextRetell = now + RetellInterval;
    for (auto &[hash, share] : m_shares) {
        const double asked = askedRate(share, now);
        const double tolerance = std::max(share.toldDemand * DemandTolerance, share.limit.perSecond * LimitTolerance);
        if (std::abs(asked - share.toldDemand) > tolerance) {
            share.toldDemand = asked;
        }
    }
    std::erase_if(m_shares, [&](const auto &it) { return askedRate(it.second, now) < LeastDemand; });
}

std::vector<TenantDemand> QuotaShares::demand(TimePoint now)
{
    retell(now);
    std::vector<TenantDemand> demand;
    for (const auto &[hash, share] : m_shares) {
        if (share.toldDemand > 0) {
            demand.push_back({hash, static_cast<float>(share.toldDemand)});
        }
    }
    std::ranges::sort(demand, {}, &TenantDemand::tenant);
    return demand;
}

bool QuotaShares::hasSurged(TimePoint now) const
{
    return std::any_of(m_shares.begin(), m_shares.end(), [this, now](const auto &it) {
        const Share &share = it.second;
        const double step = std::max(SurgeRequests, share.limit.perSecond * SurgePart);
        return askedRate(share, now) > 2 * share.toldDemand + step;
    });
}

// Whoever comes back sooner is refused more often, and so is everybody else.
Milliseconds QuotaShares::retryAfter(const std::string &tenant) const
{
    const auto it = m_shares.find(tenantHash(tenant));
    const bool isLimited = it != m_shares.end() && it->second.load && it->second.load->part > 0;
    if (!isLimited) {
        return ShortestQuotaAdvice;
    }
    const std::chrono::duration<double, std::milli> advised = ShortestQuotaAdvice / it->second.load->part;
    return std::chrono::duration_cast<Milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(advised, LongestQuotaAdvice));
}

} // namespace pepperlug::fleet
