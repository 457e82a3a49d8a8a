//===- QuotaShares.cpp - An entry host's share of the limits of tenants ---===//
//
// A host admits a fraction of its requests rather than a rate: a tenant's callers keep their connections, so its
// requests are spread unevenly, and a rate for each host would starve the hosts with most of them. Fractions of a
// request are carried over as credit to the next one. The credit starts at a random value, so that many hosts with few
// requests each admit the fraction on average.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Quota.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Time without contact to a control host with a majority after which this host uses its own share alone.
constexpr Duration ContactTimeout = LeasesUntilIsolated * UpdateLease;
/// Reported demand is updated when it differs by this fraction of itself, and by the second one of the tenant's limit.
constexpr double DemandTolerance = 0.25;
constexpr double LimitTolerance = 0.003;
/// Demand below this, in requests a second, is not reported. One request decays to it in 4 s.
constexpr double MinDemand = 0.02;
/// Interval between updates of the reported demand while no limit restricts requests.
constexpr Milliseconds DemandUpdateInterval{1000};
/// Demand is reported at once if it more than doubled and exceeds that by this many requests a second and by this
/// fraction of the limit.
constexpr double SurgeRequests = 3;
constexpr double SurgeFraction = 0.05;
/// Control hosts advertise no load of a tenant whose demand is below this fraction of its limit.
constexpr double UnreportedFraction = 0.5;
/// Requests that are admitted at once in addition to the share of the burst: as many as arrive together by chance at a
/// host with few requests.
constexpr double RandomBurst = 5;
/// Minimum bucket depth of a host without contact, whose share of a small limit is less than one request.
constexpr double MinDepth = 1;
constexpr double MaxCredit = 2;
/// Time until control hosts react. If the tolerance covers what a limit allows in this time, the limit needs no bound
/// at each host meanwhile.
constexpr std::chrono::duration<double> ReactionTime{2};
/// Rates are computed as if requests had been counted for at least this long.
constexpr std::chrono::duration<double> MinCountingTime{0.5};
/// Fractions of the allowed excess: what hosts may use while the advertised fraction is not up to date; and what all
/// hosts without contact for long may use together.
constexpr double ConnectedExcess = 0.25;
constexpr double DisconnectedExcess = 0.5;
constexpr Milliseconds MinRetryAfter{500};
constexpr Milliseconds MaxRetryAfter{5000};

} // namespace

std::uint64_t tenantHash(std::string_view name)
{
    return hash64(name);
}

QuotaShares::QuotaShares(const QuotaTolerance &tolerance, std::uint64_t seed)
    : m_tolerance(tolerance)
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
        share.randomStart = unitInterval(m_random());
        share.credit = share.randomStart;
        const auto load = m_loads.find(hash);
        share.load = load == m_loads.end() ? std::nullopt : std::optional(load->second);
    }
    return share;
}

bool QuotaShares::isInContact(TimePoint now) const
{
    return !m_lastContact || now - *m_lastContact <= ContactTimeout;
}

bool QuotaShares::admit(const std::string &tenant, const TenantLimit &limit, TimePoint now)
{
    if (limit.perSecond <= 0) {
        return true;
    }
    m_countingSince = m_countingSince.value_or(now);
    Share &share = shareOf(tenant, limit);
    share.arrivals.add(now, 1);
    const bool hasContact = isInContact(now);
    if (hasContact && fitsIntoSlack(limit)) {
        return admitFraction(share);
    }
    refill(share, now);
    const bool isAdmitted = share.tokens >= 1 && (!hasContact || admitFraction(share));
    share.tokens -= isAdmitted ? 1 : 0;
    return isAdmitted;
}

bool QuotaShares::admitFraction(Share &share)
{
    const double fraction = share.load ? share.load->admittedFraction : 1;
    if (fraction >= 1) {
        return true;
    }
    share.credit = std::min(share.credit + fraction, MaxCredit);
    if (share.credit < 1) {
        return false;
    }
    share.credit -= 1;
    return true;
}

// Returns true if what can be admitted before control hosts react fits into the tolerance.
bool QuotaShares::fitsIntoSlack(const TenantLimit &limit) const
{
    const double allowed = limit.perSecond * secondsOf(m_tolerance.window) + limit.burst;
    return limit.perSecond * ReactionTime.count() <= allowed * m_tolerance.excess + m_tolerance.slack;
}

// A decaying average counts the time before this host started as one without requests; the divisor corrects that.
double QuotaShares::demandRate(const Share &share, TimePoint now) const
{
    const std::chrono::duration<double> counted = now - m_countingSince.value_or(now);
    return share.arrivals.perSecond(now) / -std::expm1(-std::max(counted, MinCountingTime) / DemandAveragingTime);
}

// Returns the fraction of the tenant's whole demand that arrives at this host, by the reports of control hosts.
double QuotaShares::fractionOfDemand(const Share &share) const
{
    const double unreported = share.limit.perSecond * UnreportedFraction;
    const double demand = share.load ? std::max<double>(share.load->perSecond, unreported) : unreported;
    return std::min(1.0, share.reportedDemand / demand);
}

// What the limit leaves to this host if its fraction of the whole demand is as last reported. It restricts requests
// while the fraction that control hosts advertise is not up to date: in a burst, and behind a network partition, where
// the other side uses the same demand of this host, so that both sides together admit one limit.
QuotaShares::Allowance QuotaShares::allowance(const Share &share, TimePoint now) const
{
    const double fraction = fractionOfDemand(share);
    if (isInContact(now)) {
        const double connectedFraction = std::max(fraction * (1 + m_tolerance.excess * ConnectedExcess),
                                                  1.0 / static_cast<double>(m_entryHostCount));
        return {share.limit.perSecond * connectedFraction, share.limit.burst * connectedFraction + RandomBurst};
    }
    const bool isWithinHoldTime = now - *m_lastContact <= QuotaHoldTime;
    const double disconnectedFraction = fraction * (isWithinHoldTime ? 1 : m_tolerance.excess * DisconnectedExcess);
    return {share.limit.perSecond * disconnectedFraction, std::max(MinDepth, share.limit.burst * disconnectedFraction)};
}

void QuotaShares::refill(Share &share, TimePoint now) const
{
    const auto [perSecond, depth] = allowance(share, now);
    const bool isNew = share.refilledAt == TimePoint{};
    const double gained = perSecond * secondsOf(now - share.refilledAt);
    share.tokens = isNew ? depth : std::min(depth, share.tokens + gained);
    const bool hasJustLostContact = !isInContact(now) && share.refilledAt < *m_lastContact + ContactTimeout;
    if (hasJustLostContact) {
        // Many hosts may lose contact at the same time, each with a share of less than one request.
        share.tokens = std::min(share.tokens, depth - MinDepth + share.randomStart);
    }
    share.refilledAt = now;
}

void QuotaShares::refund(const std::string &tenant, TimePoint now)
{
    const auto it = m_shares.find(tenantHash(tenant));
    if (it == m_shares.end()) {
        return;
    }
    Share &share = it->second;
    share.arrivals.add(now, -1);
    const bool isLimited = share.load && share.load->admittedFraction < 1;
    share.credit += isLimited ? 1 : 0;
    share.tokens += 1;
}

void QuotaShares::updateLoads(const std::vector<TenantLoad> &loads)
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

void QuotaShares::recordContact(TimePoint at)
{
    m_lastContact = std::max(m_lastContact.value_or(at), at);
}

void QuotaShares::setEntryHostCount(std::size_t count)
{
    m_entryHostCount = std::max<std::size_t>(1, count);
}

void QuotaShares::updateReportedDemand(TimePoint now)
{
    const bool isLimited = std::any_of(m_shares.begin(), m_shares.end(), [](const auto &it) {
        return it.second.load && it.second.load->admittedFraction < 1;
    });
    if (now < m_nextDemandUpdate && !isLimited && !hasSurged(now)) {
        return;
    }
    m_nextDemandUpdate = now + DemandUpdateInterval;
    for (auto &[hash, share] : m_shares) {
        const double demand = demandRate(share, now);
        const double tolerance =
            std::max(share.reportedDemand * DemandTolerance, share.limit.perSecond * LimitTolerance);
        if (std::abs(demand - share.reportedDemand) > tolerance) {
            share.reportedDemand = demand;
        }
    }
    std::erase_if(m_shares, [&](const auto &it) { return demandRate(it.second, now) < MinDemand; });
}

std::vector<TenantDemand> QuotaShares::demand(TimePoint now)
{
    updateReportedDemand(now);
    std::vector<TenantDemand> demand;
    for (const auto &[hash, share] : m_shares) {
        if (share.reportedDemand > 0) {
            demand.push_back({hash, static_cast<float>(share.reportedDemand)});
        }
    }
    std::ranges::sort(demand, {}, &TenantDemand::tenant);
    return demand;
}

bool QuotaShares::hasSurged(TimePoint now) const
{
    return std::any_of(m_shares.begin(), m_shares.end(), [this, now](const auto &it) {
        const Share &share = it.second;
        const double step = std::max(SurgeRequests, share.limit.perSecond * SurgeFraction);
        return demandRate(share, now) > 2 * share.reportedDemand + step;
    });
}

// Callers who retry sooner are refused more often, and cause more refusals of others.
Milliseconds QuotaShares::retryAfter(const std::string &tenant) const
{
    const auto it = m_shares.find(tenantHash(tenant));
    const bool isLimited = it != m_shares.end() && it->second.load && it->second.load->admittedFraction > 0;
    if (!isLimited) {
        return MinRetryAfter;
    }
    const std::chrono::duration<double, std::milli> delay = MinRetryAfter / it->second.load->admittedFraction;
    return std::chrono::duration_cast<Milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(delay, MaxRetryAfter));
}

} // namespace pepperlug::fleet
