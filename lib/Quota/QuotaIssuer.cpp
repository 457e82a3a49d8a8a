//===- QuotaIssuer.cpp - A control host's part of the limits of tenants ---===//
//
// A limit is divided equally among the members of the control group, so that a host that is cut off needs no agreement
// to issue its part. Tokens that other control hosts do not need are borrowed: what moves is a token that its owner has
// taken from its own bucket, so the sum never grows.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Quota.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Time from the admission of a request until it reaches its target, mostly for a new connection. What the limit allows
/// in this time is taken from the tolerance.
constexpr std::chrono::duration<double> TransitTime{0.25};
/// Fraction of the tolerance that the lifetime of tokens uses. What is left makes the buckets deeper than the limit's
/// burst, since the part of a small burst would be less than one request.
constexpr double LifetimeToleranceShare = 0.5;
constexpr Milliseconds MinLifetime{100};
constexpr std::chrono::seconds MaxLifetime{2};
/// Fractions of this host's part of a limit, of its rate and of its burst: reserved for isolated hosts, and issued by a
/// host that has restarted and does not know what it had reserved. Together they are the whole part.
constexpr double ReservedShare = 0.35;
constexpr double RestartShare = 1 - ReservedShare;
/// The least isolatedDepth() of a reserved rate. Nothing is ever reserved from a smaller reserve.
constexpr double MinIsolatedDepth = 1;
/// Relative change of a reserved rate that is reported to the host that may use it.
constexpr double ReservationStep = 0.25;
/// Tokens a second that a follower must use for a rate to be reserved for it. What is reserved for hosts that send a
/// request now and then would be missing elsewhere whenever they are idle.
constexpr double MinReservingUse = 0.5;
/// Granted tokens a second below which a follower no longer uses a tenant.
constexpr double MinGrantedPerSecond = 0.02;
/// Issuing begins this long after this host has joined the group, by when the other members know of it.
constexpr std::chrono::seconds JoinDelay{1};
/// Tokens for expected requests are granted only from a bucket that is at least this full: what expires unused would
/// overflow otherwise.
constexpr double PlentyShare = 0.85;
/// Tokens are borrowed ahead if fewer are left than are needed in this time, a few round trips to the farthest region;
/// and only for a tenant that needs this fraction of this host's part.
constexpr std::chrono::duration<double> ReserveTime{0.35};
constexpr double BusyShare = 0.5;
/// After all peers had no tokens. A third of the time within which unused tokens must reach the hosts that need them.
constexpr Milliseconds LoanRetryDelay{150};
/// Time without a reply of the peers in the own region after which those of other regions are asked. Calls within a
/// region take a few milliseconds.
constexpr Milliseconds RegionReplyTime{20};
/// Between two searches for state that is not needed any more.
constexpr std::chrono::seconds ExpiryInterval{1};
/// Followers that are silent for longer have stopped using what was reserved for them.
constexpr std::chrono::seconds FollowerTimeout = QuotaHoldTime + std::chrono::seconds(2);

} // namespace

double QuotaIssuer::FollowerTenant::reservedPerSecond() const
{
    return std::ranges::max_element(reservations, {}, &Reservation::perSecond)->perSecond;
}

QuotaIssuer::QuotaIssuer(std::string issuer, const QuotaTolerance &tolerance, bool isFirstStart)
    : m_issuer(std::move(issuer))
    , m_tolerance(tolerance)
    , m_isFirstStart(isFirstStart)
{
}

// A host that was a member before a restart is one as soon as it has read its disk.
void QuotaIssuer::setMembers(std::size_t members, TimePoint now)
{
    const bool isFirstCall = !std::exchange(m_hasMembers, true);
    m_wasMember |= isFirstCall && members > 0;
    if (members == m_members) {
        return;
    }
    if (m_members == 0) {
        m_issuingSince = m_wasMember ? now : now + JoinDelay;
    }
    refillAll(now);
    m_members = members;
    refillAll(now);
}

void QuotaIssuer::setTolerance(const QuotaTolerance &tolerance)
{
    m_tolerance = tolerance;
}

void QuotaIssuer::setPeers(std::vector<QuotaPeer> peers)
{
    m_peers = std::move(peers);
}

double QuotaIssuer::share() const
{
    return m_members == 0 ? 0 : 1.0 / static_cast<double>(m_members);
}

double QuotaIssuer::toleratedRequests(const TenantLimit &limit) const
{
    const double allowed = limit.perSecond * secondsOf(m_tolerance.window) + limit.burst;
    return allowed * m_tolerance.excess + m_tolerance.slack;
}

Duration QuotaIssuer::lifetime(const TenantLimit &limit) const
{
    const std::chrono::duration<double> time(toleratedRequests(limit) * LifetimeToleranceShare / limit.perSecond);
    return std::clamp<Duration>(std::chrono::duration_cast<Duration>(time), MinLifetime, MaxLifetime);
}

double QuotaIssuer::depth(const TenantLimit &limit) const
{
    const double used = limit.perSecond * (secondsOf(lifetime(limit)) + TransitTime.count());
    return std::max(1.0, (limit.burst + std::max(0.0, toleratedRequests(limit) - used)) * share());
}

QuotaIssuer::Reserve QuotaIssuer::maxReserve(const TenantLimit &limit) const
{
    return {limit.perSecond * share() * ReservedShare, depth(limit) * ReservedShare};
}

QuotaIssuer::Reserve QuotaIssuer::usedByIsolated(std::uint64_t tenant, const Bucket &bucket, TimePoint now) const
{
    Reserve used;
    if (bucket.reserved.perSecond <= 0) {
        return used;
    }
    for (const auto &[address, follower] : m_followers) {
        const auto it = isIsolated(follower, now) ? follower.tenants.find(tenant) : follower.tenants.end();
        if (it != follower.tenants.end()) {
            used.add(it->second.reservedPerSecond());
        }
    }
    return used;
}

// A follower takes itself for isolated IsolationTimeout after it has sent the last call whose reply it received, and
// it ignores replies that take longer than QuotaCallTimeout.
bool QuotaIssuer::isIsolated(const Follower &follower, TimePoint now)
{
    return now - follower.contactAt > IsolationTimeout - QuotaCallTimeout;
}

// Rates change only when a follower's state does, and then its buckets are refilled first. What isolated followers may
// have saved up is kept out of the bucket, so that all together save up one burst.
void QuotaIssuer::refill(std::uint64_t tenant, Bucket &bucket, TimePoint now) const
{
    const bool mayHaveReserved = !m_isFirstStart && bucket.refilledAt < m_issuingSince + FollowerTimeout
        && maxReserve(bucket.limit.limit).depth >= MinIsolatedDepth;
    const double part = mayHaveReserved ? RestartShare : 1;
    const Reserve isolated = usedByIsolated(tenant, bucket, now);
    const double rate = std::max(0.0, bucket.limit.limit.perSecond * share() * part - isolated.perSecond);
    const double gained = rate * std::max(0.0, secondsOf(now - bucket.refilledAt));
    const double most = std::max(0.0, depth(bucket.limit.limit) * part - isolated.depth);
    bucket.level = std::min(most, bucket.level + gained);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
}

void QuotaIssuer::refillAll(TimePoint now)
{
    for (auto &[tenant, bucket] : m_buckets) {
        refill(tenant, bucket, now);
    }
}

void QuotaIssuer::refillReserved(const Follower &follower, TimePoint now)
{
    for (const auto &[tenant, state] : follower.tenants) {
        if (state.reservedPerSecond() > 0) {
            refill(tenant, m_buckets.at(tenant), now);
        }
    }
}

// Nobody has taken tokens of a tenant that is not known, so its bucket has been filling since this host began to issue.
QuotaIssuer::Bucket &QuotaIssuer::bucketOf(std::uint64_t tenant, const QuotaLimit &limit, TimePoint now)
{
    const auto [it, isNew] = m_buckets.try_emplace(tenant);
    Bucket &bucket = it->second;
    if (isNew) {
        bucket.refilledAt = m_issuingSince;
    } else {
        refill(tenant, bucket, now);
    }
    if (isNew || limit.tableVersion > bucket.limit.tableVersion) {
        bucket.limit = limit;
    }
    refill(tenant, bucket, now);
    return bucket;
}

QuotaIssuer::Follower &QuotaIssuer::followerOf(const QuotaCall &call, TimePoint now)
{
    const auto [it, isNew] = m_followers.try_emplace(call.address);
    Follower &follower = it->second;
    const bool mayChangeRates = !isNew && (follower.host != call.host || isIsolated(follower, now));
    if (mayChangeRates) {
        refillReserved(follower, now);
    }
    if (follower.host != call.host) {
        removeReservations(follower);
        follower = {}; // the earlier incarnation has ended
        follower.host = call.host;
        follower.contactAt = now;
    }
    follower.calledAt = now;
    return follower;
}

void QuotaIssuer::acknowledge(Follower &follower, std::uint64_t sequence)
{
    while (!follower.replies.empty() && follower.replies.front().first <= sequence) {
        follower.contactAt = std::max(follower.contactAt, follower.replies.front().second);
        follower.replies.pop_front();
    }
    for (auto &[tenant, state] : follower.tenants) {
        Reserve &sum = m_buckets.at(tenant).reserved;
        sum.subtract(state.reservedPerSecond());
        while (state.reservations.size() > 1 && state.reservations[1].sequence <= sequence) {
            state.reservations.pop_front();
        }
        sum.add(state.reservedPerSecond());
    }
}

void QuotaIssuer::removeReservations(const Follower &follower)
{
    for (const auto &[tenant, state] : follower.tenants) {
        m_buckets.at(tenant).reserved.subtract(state.reservedPerSecond());
    }
}

void QuotaIssuer::receive(QuotaCallId id, QuotaCall call, TimePoint now, QuotaEffects &out)
{
    HeldCall held{id, std::move(call), {m_issuer, 0, true, {}}, now + MaxBorrowTime};
    if (m_members == 0 || now < m_issuingSince) {
        held.reply.isIssuing = false;
        out.emplace_back(SendQuotaReply{id, std::move(held.reply)});
        return;
    }
    Follower &follower = followerOf(held.call, now);
    acknowledge(follower, held.call.issuer == m_issuer ? held.call.acknowledged : 0);
    std::set<std::uint64_t> tenants;
    for (QuotaDemand &it : held.call.demands) {
        tenants.insert(it.tenant);
        if (it.limit.limit.perSecond > 0) {
            bucketOf(it.tenant, it.limit, now).needed.add(now, it.needed);
            grant(held, it, now);
            grantExpected(held, it, now);
        } else {
            it.needed = 0;
        }
    }
    m_held.push_back(std::move(held));
    startLoans(tenants, now, out);
    serveHeld(now, out);
}

void QuotaIssuer::grant(HeldCall &held, QuotaDemand &demand, TimePoint now)
{
    Bucket &bucket = m_buckets.at(demand.tenant);
    refill(demand.tenant, bucket, now);
    const auto add = [&](std::uint32_t tokens, Duration time) {
        held.reply.grants.push_back({demand.tenant, tokens, std::chrono::duration_cast<Milliseconds>(time), {}});
        demand.needed -= tokens;
        bucket.granted.add(now, tokens);
        m_followers[held.call.address].tenants[demand.tenant].granted.add(now, tokens);
        m_totals.granted += tokens;
    };
    while (demand.needed > 0) {
        const ExpiringTokens::Batch batch = bucket.borrowed.takeBatch(demand.needed, now);
        if (batch.tokens == 0) {
            break;
        }
        add(batch.tokens, batch.expiresAt - now);
    }
    const std::uint32_t own = std::min(demand.needed, static_cast<std::uint32_t>(std::max(0.0, bucket.level)));
    if (own > 0) {
        bucket.level -= own;
        add(own, lifetime(bucket.limit.limit));
    }
}

void QuotaIssuer::grantExpected(HeldCall &held, const QuotaDemand &demand, TimePoint now)
{
    Bucket &bucket = m_buckets.at(demand.tenant);
    const double spare = bucket.level - depth(bucket.limit.limit) * PlentyShare;
    QuotaDemand further = demand;
    further.needed = std::min(demand.expected, static_cast<std::uint32_t>(std::max(0.0, spare)));
    if (demand.needed == 0 && further.needed > 0) {
        grant(held, further, now);
    }
}

std::uint32_t QuotaIssuer::missingTokens(std::uint64_t tenant) const
{
    std::uint32_t sum = 0;
    for (const HeldCall &held : m_held) {
        for (const QuotaDemand &it : held.call.demands) {
            sum += it.tenant == tenant ? it.needed : 0;
        }
    }
    return sum;
}

std::set<std::uint64_t> QuotaIssuer::heldTenants() const
{
    std::set<std::uint64_t> tenants;
    for (const HeldCall &held : m_held) {
        for (const QuotaDemand &it : held.call.demands) {
            tenants.insert(it.tenant);
        }
    }
    return tenants;
}

// Besides what is missing now, a busy tenant's next requests are provided for if its own bucket will not do.
std::uint32_t QuotaIssuer::wantedTokens(std::uint64_t tenant, const Bucket &bucket, TimePoint now) const
{
    const double needed = bucket.needed.perSecond(now);
    const double reserve = needed * ReserveTime.count();
    const double available = bucket.level + bucket.borrowed.count(now);
    const bool isBusy = needed > bucket.limit.limit.perSecond * share() * BusyShare;
    const double ahead = isBusy && reserve >= 1 ? std::max(0.0, reserve - available) : 0;
    return missingTokens(tenant) + static_cast<std::uint32_t>(std::ceil(ahead));
}

// A few tokens are asked of a few peers only: tokens that are lent and not used are lost. One peer more in other
// regions, since another round would take too long.
std::vector<const QuotaPeer *> QuotaIssuer::peersToAsk(const Bucket &bucket, std::uint32_t wanted)
{
    std::vector<const QuotaPeer *> peers;
    const std::size_t most = wanted > 0 && bucket.asksOtherRegions ? wanted + 1 : wanted;
    for (std::size_t n = 0; n < m_peers.size() && peers.size() < most; ++n) {
        const QuotaPeer &peer = m_peers[(m_nextPeer + n) % m_peers.size()];
        if (peer.isInRegion != bucket.asksOtherRegions) {
            peers.push_back(&peer);
        }
    }
    ++m_nextPeer;
    return peers;
}

// A peer that restarts may not reply before the call times out, which is longer than requests wait.
bool QuotaIssuer::isRegionSilent(const Bucket &bucket, TimePoint now) const
{
    const auto isElsewhere = [](const QuotaPeer &it) {
        return !it.isInRegion;
    };
    return !bucket.asksOtherRegions && now - bucket.askedAt >= RegionReplyTime
        && std::ranges::any_of(m_peers, isElsewhere);
}

void QuotaIssuer::startLoans(const std::set<std::uint64_t> &tenants, TimePoint now, QuotaEffects &out)
{
    std::map<std::string, QuotaLoans> wantedOf;
    for (const std::uint64_t tenant : tenants) {
        const auto known = m_buckets.find(tenant);
        if (known == m_buckets.end() || now < known->second.nextLoanAt) {
            continue;
        }
        Bucket &bucket = known->second;
        if (bucket.pendingLoans > 0) {
            if (!isRegionSilent(bucket, now)) {
                continue;
            }
            bucket.asksOtherRegions = true;
        }
        refill(tenant, bucket, now);
        const std::uint32_t wanted = wantedTokens(tenant, bucket, now);
        std::vector<const QuotaPeer *> peers = peersToAsk(bucket, wanted);
        if (wanted > 0 && peers.empty()) {
            bucket.asksOtherRegions = !bucket.asksOtherRegions;
            peers = peersToAsk(bucket, wanted);
        }
        const auto count = static_cast<std::uint32_t>(peers.size());
        for (const QuotaPeer *peer : peers) {
            wantedOf[peer->name].loans.push_back({tenant, bucket.limit, (wanted + count - 1) / count, {}});
        }
        bucket.pendingLoans += count;
        bucket.askedAt = now;
        bucket.wantedLoans = wanted;
        bucket.lentTokens = 0;
    }
    for (auto &[peer, wanted] : wantedOf) {
        out.emplace_back(BorrowTokens{peer, std::move(wanted)});
    }
}

QuotaLoans QuotaIssuer::lend(const QuotaLoans &wanted, TimePoint now)
{
    QuotaLoans lent;
    if (m_members == 0 || now < m_issuingSince) {
        return lent;
    }
    for (const QuotaLoan &it : wanted.loans) {
        if (it.limit.limit.perSecond <= 0) {
            continue;
        }
        Bucket &bucket = bucketOf(it.tenant, it.limit, now);
        // Only whole tokens are kept back: a fraction of one would serve no request here.
        const double spare = bucket.level - std::floor(bucket.needed.perSecond(now) * ReserveTime.count());
        const std::uint32_t tokens = std::min(it.tokens, static_cast<std::uint32_t>(std::max(0.0, spare)));
        if (tokens > 0) {
            bucket.level -= tokens;
            m_totals.lent += tokens;
            lent.loans.push_back({it.tenant, bucket.limit, tokens,
                                  std::chrono::duration_cast<Milliseconds>(lifetime(bucket.limit.limit))});
        }
    }
    return lent;
}

// Peers in other regions are asked only for what those of the own region could not lend.
void QuotaIssuer::finishLoans(Bucket &bucket, TimePoint now)
{
    const bool hasAskedAll = bucket.asksOtherRegions;
    if (hasAskedAll && bucket.hasLentNothing && bucket.lentTokens == 0) {
        bucket.nextLoanAt = now + LoanRetryDelay;
    }
    bucket.hasLentNothing = bucket.lentTokens == 0;
    bucket.asksOtherRegions = !hasAskedAll && bucket.lentTokens < bucket.wantedLoans;
}

void QuotaIssuer::receiveLoan(const QuotaLoans &wanted, const std::optional<QuotaLoans> &reply, TimePoint sentAt,
                              TimePoint now, QuotaEffects &out)
{
    for (const QuotaLoan &it : reply.value_or(QuotaLoans{}).loans) {
        const auto known = m_buckets.find(it.tenant);
        if (known != m_buckets.end()) {
            known->second.borrowed.add({it.tokens, sentAt + it.lifetime});
            known->second.lentTokens += it.tokens;
            m_totals.borrowed += it.tokens;
        }
    }
    std::set<std::uint64_t> tenants;
    for (const QuotaLoan &it : wanted.loans) {
        tenants.insert(it.tenant);
        const auto known = m_buckets.find(it.tenant);
        if (known == m_buckets.end() || --known->second.pendingLoans > 0) {
            continue;
        }
        finishLoans(known->second, now);
    }
    for (HeldCall &held : m_held) {
        for (QuotaDemand &it : held.call.demands) {
            if (it.needed > 0) {
                grant(held, it, now);
            }
        }
    }
    startLoans(tenants, now, out);
    serveHeld(now, out);
}

bool QuotaIssuer::mayStillGet(const HeldCall &held, TimePoint now) const
{
    return now < held.until && std::ranges::any_of(held.call.demands, [&](const QuotaDemand &it) {
               return it.needed > 0 && m_buckets.at(it.tenant).pendingLoans > 0;
           });
}

void QuotaIssuer::serveHeld(TimePoint now, QuotaEffects &out)
{
    std::erase_if(m_held, [&](HeldCall &held) {
        if (mayStillGet(held, now)) {
            return false;
        }
        finish(held, now, out);
        return true;
    });
}

void QuotaIssuer::finish(HeldCall &held, TimePoint now, QuotaEffects &out)
{
    held.reply.sequence = ++m_sequence;
    for (const QuotaDemand &it : held.call.demands) {
        m_totals.missing += it.needed;
    }
    const auto follower = m_followers.find(held.call.address);
    if (follower != m_followers.end() && follower->second.host == held.call.host) {
        addReservations(held, follower->second, now);
        follower->second.replies.emplace_back(m_sequence, now);
    }
    out.emplace_back(SendQuotaReply{held.id, std::move(held.reply)});
}

// Reserved rates are divided by what was granted lately, so that a host that is cut off serves the same callers.
double QuotaIssuer::reservedRate(const Bucket &bucket, const FollowerTenant &state, TimePoint now) const
{
    const double used = state.granted.perSecond(now);
    const double granted = bucket.granted.perSecond(now);
    if (used < MinReservingUse || granted <= 0) {
        return 0;
    }
    const Reserve most = maxReserve(bucket.limit.limit);
    Reserve others = bucket.reserved;
    others.subtract(state.reservedPerSecond());
    const double rate = std::min(most.perSecond * std::min(1.0, used / granted), most.perSecond - others.perSecond);
    return rate > 0 && others.depth + isolatedDepth(rate) <= most.depth ? rate : 0;
}

// A follower that has followed another control host since its last call has dropped the rate, so it is told again.
void QuotaIssuer::addReservations(HeldCall &held, Follower &follower, TimePoint now)
{
    const bool hasKept = held.call.issuer == m_issuer;
    for (auto &[tenant, state] : follower.tenants) {
        Bucket &bucket = m_buckets.at(tenant);
        const double target = reservedRate(bucket, state, now);
        const double last = state.reservations.back().perSecond;
        const bool isChanged = std::abs(target - last) > last * ReservationStep || (target <= 0 && last > 0);
        const bool isKnown = state.reservations.size() == 1 && (hasKept || last <= 0);
        if (!isChanged && isKnown) {
            continue;
        }
        bucket.reserved.subtract(state.reservedPerSecond());
        state.reservations.push_back({held.reply.sequence, isChanged ? target : last});
        bucket.reserved.add(state.reservedPerSecond());
        held.reply.grants.push_back({tenant, 0, {}, static_cast<float>(state.reservations.back().perSecond)});
    }
}

void QuotaIssuer::removeExpired(TimePoint now)
{
    refillAll(now);
    std::erase_if(m_followers, [&](const auto &it) {
        const bool isGone = now - it.second.calledAt > FollowerTimeout;
        if (isGone) {
            removeReservations(it.second);
        }
        return isGone;
    });
    std::set<std::uint64_t> used;
    for (auto &[address, follower] : m_followers) {
        std::erase_if(follower.tenants, [&](const auto &it) {
            return it.second.reservedPerSecond() <= 0 && it.second.granted.perSecond(now) < MinGrantedPerSecond;
        });
        for (const auto &[tenant, state] : follower.tenants) {
            used.insert(tenant);
        }
    }
    const std::set<std::uint64_t> held = heldTenants();
    std::erase_if(m_buckets, [&](const auto &it) {
        const Bucket &bucket = it.second;
        return bucket.level >= depth(bucket.limit.limit) && bucket.pendingLoans == 0 && !used.contains(it.first)
            && !held.contains(it.first) && now - m_issuingSince > FollowerTimeout;
    });
}

void QuotaIssuer::tick(TimePoint now, QuotaEffects &out)
{
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + ExpiryInterval;
        removeExpired(now);
    }
    startLoans(heldTenants(), now, out);
    serveHeld(now, out);
}

const QuotaIssuer::Totals &QuotaIssuer::totals() const
{
    return m_totals;
}

std::size_t QuotaIssuer::followers() const
{
    return m_followers.size();
}

std::size_t QuotaIssuer::isolatedFollowers(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_followers, [now](const auto &it) { return isIsolated(it.second, now); }));
}

} // namespace pepperlug::fleet
