//===- QuotaHolder.cpp - Tokens of tenants at an entry host ---------------===//
#include "pepperlug/Quota.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Calls that may be pending at a time: enough for a control host in another region, which replies after 70 ms.
constexpr std::size_t MaxPendingCalls = 4;
/// Interval of calls that only show that this host is in contact. Two may be lost before it counts as isolated.
constexpr Milliseconds HeartbeatInterval{400};
/// Between the calls of a host that looks for a control host which replies.
constexpr Milliseconds RetryInterval{50};
/// Requests expected within the lifetime of a token below which it would mostly expire unused.
constexpr double MinExpectedRequests = 0.3;
/// Time for which requests of a tenant without tokens are refused at once. Tokens accumulate meanwhile, so that one
/// call serves several requests.
constexpr Milliseconds ExhaustedTime{100};
/// Time after the last request for which a tenant's state is kept.
constexpr std::chrono::seconds IdleTime{3};
/// Time for which an isolated host may save up its reserved rate.
constexpr std::chrono::duration<double> IsolatedBurstTime{1.0};
constexpr Milliseconds MinRetryAfter{500};
constexpr Milliseconds MaxRetryAfter{5000};

} // namespace

std::uint64_t tenantHash(std::string_view name)
{
    return hash64(name);
}

double isolatedDepth(double perSecond)
{
    return perSecond > 0 ? std::max(1.0, perSecond * IsolatedBurstTime.count()) : 0;
}

void ExpiringTokens::add(Batch batch)
{
    if (batch.tokens > 0) {
        m_tokens[batch.expiresAt] += batch.tokens;
    }
}

std::optional<TimePoint> ExpiringTokens::take(TimePoint now)
{
    const Batch batch = takeBatch(1, now);
    return batch.tokens > 0 ? std::optional(batch.expiresAt) : std::nullopt;
}

ExpiringTokens::Batch ExpiringTokens::takeBatch(std::uint32_t count, TimePoint now)
{
    m_tokens.erase(m_tokens.begin(), m_tokens.upper_bound(now));
    if (m_tokens.empty() || count == 0) {
        return {};
    }
    const auto first = m_tokens.begin();
    const Batch batch{std::min(count, first->second), first->first};
    first->second -= batch.tokens;
    if (first->second == 0) {
        m_tokens.erase(first);
    }
    return batch;
}

std::uint32_t ExpiringTokens::count(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (auto it = m_tokens.upper_bound(now); it != m_tokens.end(); ++it) {
        sum += it->second;
    }
    return sum;
}

QuotaHolder::QuotaHolder(std::string host, std::string address)
    : m_host(std::move(host))
    , m_address(std::move(address))
{
}

void QuotaHolder::setTableVersion(std::uint64_t version)
{
    m_tableVersion = version;
}

// A host without requests makes no calls, and is not isolated.
bool QuotaHolder::isIsolated(TimePoint now) const
{
    return m_hasFailed && m_lastContact && now - *m_lastContact > IsolationTimeout;
}

bool QuotaHolder::hasHadContact() const
{
    return m_lastContact.has_value();
}

// The issuer subtracts the reserved rate from the moment when this host may begin to use it, by any clock, so the
// tokens accumulate from then on only.
std::optional<TimePoint> QuotaHolder::takeIsolated(Share &share, TimePoint now) const
{
    if (!isIsolated(now) || now - *m_lastContact >= QuotaHoldTime) {
        return std::nullopt;
    }
    const TimePoint begin = *m_lastContact + IsolationTimeout;
    if (share.isolatedAt < begin) {
        share.isolatedTokens = 0;
        share.isolatedAt = begin;
    }
    const double gained = share.isolatedPerSecond * secondsOf(now - share.isolatedAt);
    share.isolatedTokens = std::min(isolatedDepth(share.isolatedPerSecond), share.isolatedTokens + gained);
    share.isolatedAt = now;
    if (share.isolatedTokens < 1) {
        return std::nullopt;
    }
    share.isolatedTokens -= 1;
    return now;
}

std::optional<TimePoint> QuotaHolder::takeToken(Share &share, TimePoint now) const
{
    std::optional<TimePoint> expiry = share.tokens.take(now);
    if (!expiry) {
        expiry = takeIsolated(share, now);
    }
    if (expiry) {
        share.admissions.add(now, 1);
    }
    return expiry;
}

QuotaResult QuotaHolder::request(RequestId id, const std::string &tenant, const TenantLimit &limit, Duration maxWait,
                                 TimePoint now)
{
    Share &share = m_shares[tenantHash(tenant)];
    share.limit = {limit, m_tableVersion};
    share.arrivals.add(now, 1);
    share.usedAt = now;
    if (share.waiting.empty()) {
        if (const std::optional<TimePoint> expiry = takeToken(share, now)) {
            return {id, QuotaDecision::Admitted, *expiry};
        }
    }
    if (isIsolated(now)) {
        return {id, QuotaDecision::TimedOut, {}};
    }
    if (now < share.exhaustedUntil) {
        return {id, QuotaDecision::Refused, {}};
    }
    share.waiting.push_back({id, now + maxWait, {}});
    return {id, QuotaDecision::Waiting, {}};
}

void QuotaHolder::admitIsolated(Share &share, TimePoint now)
{
    while (isIsolated(now) && !share.waiting.empty()) {
        const std::optional<TimePoint> expiry = takeToken(share, now);
        if (!expiry) {
            return;
        }
        m_decided.push_back({share.waiting.front().id, QuotaDecision::Admitted, *expiry});
        share.waiting.pop_front();
    }
}

void QuotaHolder::cancel(const std::string &tenant, RequestId id)
{
    const auto it = m_shares.find(tenantHash(tenant));
    if (it != m_shares.end()) {
        std::erase_if(it->second.waiting, [id](const Waiting &waiting) { return waiting.id == id; });
    }
}

void QuotaHolder::refund(const std::string &tenant, TimePoint tokenExpiry)
{
    const auto it = m_shares.find(tenantHash(tenant));
    if (it != m_shares.end()) {
        it->second.tokens.add({1, tokenExpiry});
    }
}

// An isolated host refuses new requests while earlier ones wait, so those get the reserved tokens first.
std::vector<QuotaResult> QuotaHolder::takeDecided(TimePoint now)
{
    for (auto &[hash, share] : m_shares) {
        admitIsolated(share, now);
        std::erase_if(share.waiting, [&](const Waiting &it) {
            if (now < it.until) {
                return false;
            }
            m_decided.push_back({it.id, QuotaDecision::TimedOut, {}});
            return true;
        });
    }
    return std::exchange(m_decided, {});
}

std::uint32_t QuotaHolder::expectedRequests(const Share &share, TimePoint now)
{
    const double expected = share.arrivals.perSecond(now) * secondsOf(share.lifetime);
    const auto wanted = expected < MinExpectedRequests ? 0U : static_cast<std::uint32_t>(std::ceil(expected));
    const std::uint32_t held = share.tokens.count(now);
    return wanted - std::min(wanted, held);
}

bool QuotaHolder::isCallDue(TimePoint now) const
{
    if (m_pending.size() >= MaxPendingCalls || m_pending.contains(now)) {
        return false;
    }
    const bool isWaitedFor = std::ranges::any_of(
        m_shares, [](const auto &it) { return !it.second.waiting.empty() && !it.second.waiting.back().calledAt; });
    const bool hasReservation =
        std::ranges::any_of(m_shares, [](const auto &it) { return it.second.isolatedPerSecond > 0; });
    const Duration sinceLast = now - m_lastCallAt;
    const bool mustRetry = m_hasFailed && !m_shares.empty() && sinceLast >= RetryInterval;
    return isWaitedFor || mustRetry || (hasReservation && sinceLast >= HeartbeatInterval);
}

std::optional<QuotaCall> QuotaHolder::nextCall(TimePoint now)
{
    removeIdle(now);
    if (!isCallDue(now)) {
        return std::nullopt;
    }
    QuotaCall call{m_host, m_address, m_acknowledged, m_issuer, {}};
    for (auto &[hash, share] : m_shares) {
        std::uint32_t needed = 0;
        for (Waiting &it : share.waiting) {
            needed += it.calledAt ? 0 : 1;
            it.calledAt = it.calledAt.value_or(now);
        }
        const std::uint32_t expected = expectedRequests(share, now);
        if (needed > 0 || expected > 0) {
            call.demands.push_back({hash, share.limit, needed, expected});
        }
    }
    m_pending.insert(now);
    m_lastCallAt = now;
    return call;
}

// A request waits for the reply to the call that names it, unless there are no tokens. The reply to a later call does
// not decide on it: the control host may still hold the earlier call while it borrows tokens.
void QuotaHolder::decideWaiting(Share &share, TimePoint now)
{
    while (!share.waiting.empty()) {
        const Waiting first = share.waiting.front();
        const std::optional<TimePoint> expiry = takeToken(share, now);
        const bool isUndecided = !first.calledAt || m_pending.contains(*first.calledAt);
        const bool mustWait = !expiry && isUndecided && now >= share.exhaustedUntil;
        if (mustWait) {
            return;
        }
        share.waiting.pop_front();
        if (!expiry) {
            share.exhaustedUntil = std::max(share.exhaustedUntil, now + ExhaustedTime);
        }
        m_decided.push_back(
            {first.id, expiry ? QuotaDecision::Admitted : QuotaDecision::Refused, expiry.value_or(TimePoint{})});
    }
}

// A reserved rate holds only for contact to the issuer that reserved it. An older reply that arrives late must not
// replace a newer rate.
void QuotaHolder::applyGrants(TimePoint sentAt, const QuotaReply &reply)
{
    const bool isOtherIssuer = reply.issuer != m_issuer;
    const bool isNewest = isOtherIssuer || reply.sequence > m_acknowledged;
    if (isOtherIssuer) {
        for (auto &[hash, share] : m_shares) {
            share.isolatedPerSecond = 0;
        }
    }
    for (const QuotaGrant &it : reply.grants) {
        Share &share = m_shares[it.tenant];
        share.tokens.add({it.tokens, sentAt + it.lifetime});
        share.lifetime = it.tokens > 0 ? it.lifetime : share.lifetime;
        share.isolatedPerSecond =
            isNewest ? it.isolatedPerSecond.value_or(share.isolatedPerSecond) : share.isolatedPerSecond;
    }
    m_issuer = reply.issuer;
    m_acknowledged = isNewest ? reply.sequence : m_acknowledged;
}

void QuotaHolder::receive(TimePoint sentAt, const QuotaReply &reply, TimePoint now)
{
    if (!reply.isIssuing) {
        recordFailure(sentAt);
        return;
    }
    if (m_pending.erase(sentAt) == 0) {
        return;
    }
    m_lastContact = std::max(m_lastContact.value_or(sentAt), sentAt);
    m_hasFailed = false;
    applyGrants(sentAt, reply);
    for (auto &[hash, share] : m_shares) {
        decideWaiting(share, now);
    }
}

// What waits for the reply is requested again by the next call.
void QuotaHolder::recordFailure(TimePoint sentAt)
{
    m_pending.erase(sentAt);
    m_hasFailed = true;
    for (auto &[hash, share] : m_shares) {
        for (Waiting &it : share.waiting) {
            it.calledAt = it.calledAt == sentAt ? std::nullopt : it.calledAt;
        }
    }
}

// A tenant for which a rate is reserved is kept until the issuer has withdrawn the rate, so that the calls continue
// which show the issuer that it need not subtract it.
void QuotaHolder::removeIdle(TimePoint now)
{
    std::erase_if(m_shares, [now](const auto &it) {
        const Share &share = it.second;
        return share.waiting.empty() && share.isolatedPerSecond <= 0 && now - share.usedAt > IdleTime;
    });
}

// Callers who retry sooner are refused more often, and cause more refusals of others.
Milliseconds QuotaHolder::retryAfter(const std::string &tenant, TimePoint now) const
{
    const auto it = m_shares.find(tenantHash(tenant));
    if (it == m_shares.end()) {
        return MinRetryAfter;
    }
    const double arrivals = it->second.arrivals.perSecond(now);
    const double admissions = it->second.admissions.perSecond(now);
    const double factor = admissions > 0 ? arrivals / admissions : 1;
    const std::chrono::duration<double, std::milli> delay = MinRetryAfter * std::max(1.0, factor);
    return std::chrono::duration_cast<Milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(delay, MaxRetryAfter));
}

std::size_t QuotaHolder::size() const
{
    return m_shares.size();
}

} // namespace pepperlug::fleet
