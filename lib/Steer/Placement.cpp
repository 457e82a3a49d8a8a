//===- Placement.cpp - Placement of requests ------------------------------===//
//
// A request is placed on the own slice first, then under the nearest lease with free slots, then in a short queue;
// otherwise it is refused at once. If the own slice is full, the queue and the lease are compared by the latency that
// each adds.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto MinRetryAfter = Milliseconds(100);
constexpr auto MaxRetryAfter = Milliseconds(10000);
constexpr double MaxRetryTokens = 10; ///< depth of the retry budget, in retries
constexpr unsigned MinQueueLimit = 8; ///< requests; demand swings relatively more on small slices
constexpr std::size_t MaxNeighbours = 2; ///< hosts of this region tried in turn for one request
constexpr std::size_t QueuedPerHeldSlot = 1; ///< queued requests of another region per slot that it holds

} // namespace

// A caller of another region counts against that region's shift cap and link limit regardless of the host of this
// region that receives its request, so a request forwarded by a host of this region counts as if received directly.
Charge Steering::Impl::chargeOf(const RequestArrived &info) const
{
    const bool isOtherRegion = info.callerZone && m_bundle->regionOf(*info.callerZone) != m_region;
    const bool forwardedInRegion = info.forwardedBy && m_bundle->regionOf(*info.forwardedBy) == m_region;
    const bool underLease = info.forwardedBy && !info.toOwner && !(isOtherRegion && forwardedInRegion);
    if (underLease && m_settings.strategy == Strategy::Leases) {
        return {Charge::Kind::Holder, m_bundle->regionOf(*info.forwardedBy), *info.forwardedBy};
    }
    if (isOtherRegion && m_settings.strategy == Strategy::Leases) {
        return {Charge::Kind::Region, m_bundle->regionOf(*info.callerZone), {}};
    }
    return {Charge::Kind::Local, m_region, {}};
}

void Steering::Impl::handle(const RequestArrived &event)
{
    Request &request = m_requests[event.id];
    request.info = event;
    request.arrivedAt = m_now;
    if (!m_self || !m_bundle) {
        refuse(request, event.cls == RouteClass::Once ? Outcome::Unknown : Outcome::NotRun, Reason::NotReady, {});
        return;
    }
    request.charge = chargeOf(event);
    request.info.deadline = std::min(event.deadline, m_now + m_bundle->services[idx(event.service)].maxDeadline);
    if (request.charge.kind == Charge::Kind::Local) {
        m_demand[idx(event.service)].requestArrived();
        request.countsAsDemand = true;
    }
    m_timers.push({request.info.deadline, event.id, TimerKind::Deadline});
    if (event.cls == RouteClass::Read) {
        m_retryTokens = std::min(MaxRetryTokens, m_retryTokens + m_bundle->policy.retryShare);
    }
    if (event.cls == RouteClass::Once && !event.claimed && !claim(request)) {
        return;
    }
    if (const std::optional<Reason> reason = place(request)) {
        refuse(request, Outcome::NotRun, *reason, {});
    }
}

std::optional<Reason> Steering::Impl::place(Request &request)
{
    if (m_stopReported || !m_stop.admits(request.info.deadline)) {
        return Reason::Leaving;
    }
    if (m_settings.strategy != Strategy::Leases) {
        return placeByBaseline(request);
    }
    // Queued requests have precedence, unless this request may use slots that they may not.
    const bool mayTryLocal = request.charge.kind == Charge::Kind::Holder || noneQueuedAhead(request);
    std::optional<Reason> reason = Reason::NoCapacity;
    if (mayTryLocal) {
        reason = tryLocal(request);
        if (!reason) {
            return std::nullopt;
        }
    }
    const bool wasForwarded = request.info.forwardedBy && !request.info.toOwner;
    if (wasForwarded) {
        return reason; // the forwarding host decides on the next attempt
    }
    const std::optional<RegionId> region = forwardRegion(request.charge);
    if (isLeaseFaster(request.info.service, region, request.triedHosts) && tryLease(request)) {
        return std::nullopt;
    }
    if (tryNeighbour(request) || enqueue(request) || tryLease(request)) {
        return std::nullopt;
    }
    return reason;
}

std::optional<Reason> Steering::Impl::tryLocal(Request &request)
{
    if (!m_sliceValid) {
        return Reason::SliceExpired;
    }
    const ServiceId service = request.info.service;
    const unsigned capacity = localCapacity(service);
    if (request.charge.kind == Charge::Kind::Local && m_issuer.committed(service) >= capacity) {
        return Reason::NoCapacity;
    }
    const std::optional<TargetId> target = m_pool.choose(service, request.triedTargets, m_now, m_random);
    if (!target) {
        return Reason::NoCapacity;
    }
    if (!request.isCharged) {
        if (const auto reason = m_issuer.admit(request.charge, service, capacity, m_now)) {
            return reason;
        }
        m_issuer.startUse(request.charge, service);
        request.isCharged = true;
    }
    startAtTarget(request, *target, Reason::LocalTarget);
    return std::nullopt;
}

// A request of a caller of another region that this host can't serve is forwarded to the caller's own region only:
// forwarding it to a third region would be a shift that no cap here accounts for.
bool Steering::Impl::tryLease(Request &request)
{
    const std::optional<RegionId> region = forwardRegion(request.charge);
    const auto host = m_holder.chooseLease(request.info.service, region, request.triedHosts, m_now);
    if (!host) {
        return false;
    }
    releaseCharge(request);
    startAtHost(request, *host, Reason::LeasedZone, false);
    return true;
}

// A caller of another region may be served by any host of this region, so the request is forwarded to one that reported
// spare slots.
bool Steering::Impl::tryNeighbour(Request &request)
{
    if (request.charge.kind != Charge::Kind::Region) {
        return false;
    }
    auto host = m_holder.chooseWithSpare(request.info.service, m_region, request.triedHosts, m_now);
    if (!host && !m_queues[idx(request.info.service)].local.empty()) {
        // Reported spare slots may be out of date. If callers of this region are queued here, trying another host is
        // the cheapest option.
        host = m_holder.chooseAlive(m_region, request.triedHosts, m_now);
    }
    if (!host || request.attempts.size() >= MaxNeighbours) {
        return false;
    }
    releaseCharge(request);
    startAtHost(request, *host, Reason::Neighbour, false);
    return true;
}

std::optional<Reason> Steering::Impl::placeByBaseline(Request &request)
{
    const ServiceId service = request.info.service;
    const unsigned capacity = localCapacity(service);
    HostId host = *m_self;
    if (!request.info.forwardedBy && request.triedHosts.empty()) {
        const ChooserInput input{*m_bundle, m_holder, *m_self, service, m_issuer.spare(service, capacity, 0), m_now};
        if (m_settings.strategy == Strategy::RoundRobin) {
            host = m_roundRobin.choose(input);
        } else if (m_settings.strategy == Strategy::ReportedLoad) {
            host = ReportedLoadChooser().choose(input);
        } else {
            host = NearestChooser().choose(input);
        }
    }
    if (host != *m_self) {
        startAtHost(request, host, Reason::LeasedZone, false);
        return std::nullopt;
    }
    const std::optional<Reason> reason = noneQueuedAhead(request) ? tryLocal(request) : Reason::NoCapacity;
    if (!reason || enqueue(request)) {
        return std::nullopt;
    }
    return reason;
}

Duration Steering::Impl::queueWait(ServiceId service, std::size_t waiting, unsigned slots) const
{
    return m_pool.meanLatency(service) * (waiting + 1) / std::max(1U, slots);
}

Duration Steering::Impl::localQueueWait(ServiceId service) const
{
    const unsigned committed = m_issuer.committed(service);
    const unsigned takenByOthers = committed - m_issuer.localUsed(service);
    const unsigned capacity = localCapacity(service);
    const unsigned slots = capacity > takenByOthers ? capacity - takenByOthers : 0;
    return queueWait(service, m_queues[idx(service)].local.size(), slots);
}

std::deque<RequestId> &Steering::Impl::queueOf(const Request &request)
{
    ServiceQueue &queues = m_queues[idx(request.info.service)];
    return request.charge.kind == Charge::Kind::Local ? queues.local : queues.otherRegions[request.charge.region];
}

bool Steering::Impl::noneQueuedAhead(const Request &request)
{
    return m_queues[idx(request.info.service)].local.empty() && queueOf(request).empty();
}

std::optional<RegionId> Steering::Impl::forwardRegion(const Charge &charge) const
{
    return charge.kind == Charge::Kind::Region ? std::optional(charge.region) : std::nullopt;
}

bool Steering::Impl::isLeaseFaster(ServiceId service, std::optional<RegionId> region,
                                   const std::vector<HostId> &excluded) const
{
    const auto host = m_holder.chooseLease(service, region, excluded, m_now);
    if (!host) {
        return false;
    }
    const auto oneWay = m_bundle->latency(m_zone, m_bundle->hosts[idx(*host)].zone);
    return localCapacity(service) == 0 || Duration(oneWay) * 2 < localQueueWait(service);
}

// Callers of another region are queued only if they hold slots here that will become free, and for about two turns of
// these slots at most: a request that a cap does not allow now is refused now.
bool Steering::Impl::enqueue(Request &request)
{
    const ServiceId service = request.info.service;
    std::deque<RequestId> &queue = queueOf(request);
    // A queue as long as the number of slots keeps every slot busy; a longer one adds wait and hardly any throughput.
    const unsigned usefulLength = std::max(localCapacity(service), MinQueueLimit);
    std::size_t limit = std::min(m_bundle->services[idx(service)].queue, usefulLength);
    Duration wait = localQueueWait(service);
    if (request.charge.kind == Charge::Kind::Region) {
        const unsigned held = m_issuer.heldByRegion(request.charge.region, service);
        // Behind queued callers of this region, the wait is unbounded.
        limit = m_queues[idx(service)].local.empty() ? std::min<std::size_t>(limit, held * QueuedPerHeldSlot) : 0;
        wait = queueWait(service, queue.size(), held);
    }
    const bool isTooLate = m_now + wait + m_pool.meanLatency(service) >= request.info.deadline;
    if (queue.size() >= limit || isTooLate || localCapacity(service) == 0) {
        return false;
    }
    releaseCharge(request);
    request.phase = Phase::Queued;
    queue.push_back(request.info.id);
    logDecision(request, Reason::Queued, std::nullopt, std::nullopt, 0);
    return true;
}

bool Steering::Impl::willMissDeadline(const Request &request) const
{
    return m_now + m_pool.meanLatency(request.info.service) > request.info.deadline;
}

void Steering::Impl::refuseQueuedBeyondStop()
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : m_requests) {
        if (request.phase == Phase::Queued && !m_stop.admits(request.info.deadline)) {
            ids.push_back(id);
        }
    }
    for (const RequestId id : ids) {
        const auto it = m_requests.find(id); // one that is refused may end others with its key
        if (it != m_requests.end()) {
            refuse(it->second, it->second.maybeSent ? Outcome::Unknown : Outcome::NotRun, Reason::Leaving, {});
        }
    }
}

// Requests that can no longer meet their deadline are refused now, not held until the deadline.
void Steering::Impl::runQueue(ServiceId service)
{
    runQueue(service, m_queues[idx(service)].local);
    if (!m_queues[idx(service)].local.empty()) {
        return; // callers of this region have precedence
    }
    for (auto &[region, queue] : m_queues[idx(service)].otherRegions) {
        runQueue(service, queue);
    }
}

void Steering::Impl::runQueue(ServiceId service, std::deque<RequestId> &queue)
{
    while (!queue.empty()) {
        const auto it = m_requests.find(queue.front());
        if (it == m_requests.end() || it->second.phase != Phase::Queued) {
            queue.pop_front();
            continue;
        }
        Request &request = it->second;
        if (willMissDeadline(request)) {
            queue.pop_front();
            // A read that is queued for another attempt may have run in its first one.
            refuse(request, request.maybeSent ? Outcome::Unknown : Outcome::NotRun, Reason::NoCapacity, {});
            continue;
        }
        if (!tryLocal(request)) {
            queue.pop_front();
            continue;
        }
        if (!isLeaseFaster(service, forwardRegion(request.charge), request.triedHosts) || !tryLease(request)) {
            return;
        }
        queue.pop_front();
    }
}

void Steering::Impl::startAtTarget(Request &request, TargetId target, Reason reason)
{
    Attempt attempt;
    attempt.number = static_cast<unsigned>(request.attempts.size());
    attempt.target = target;
    attempt.startedAt = m_now;
    m_pool.startRequest(target);
    request.phase = Phase::Running;
    request.triedTargets.push_back(target);
    request.attempts.push_back(attempt);
    logDecision(request, attempt.number == 0 || reason == Reason::Hedge ? reason : Reason::Retry, target, std::nullopt,
                attempt.number);
    m_out->emplace_back(Dispatch{request.info.id, attempt.number, target, request.info.deadline});
    const bool mayHedge = request.info.cls == RouteClass::Read && !request.wasHedged && !request.info.forwardedBy;
    if (mayHedge && m_pool.meanLatency(request.info.service) > Duration{}) {
        m_timers.push({m_now + m_pool.hedgeDelay(request.info.service), request.info.id, TimerKind::Hedge});
    }
}

void Steering::Impl::startAtHost(Request &request, HostId host, Reason reason, bool toOwner)
{
    Attempt attempt;
    attempt.number = static_cast<unsigned>(request.attempts.size());
    attempt.host = host;
    attempt.toOwner = toOwner;
    attempt.startedAt = m_now;
    if (!toOwner) {
        m_holder.startUse(host, request.info.service);
    }
    request.phase = Phase::Running;
    request.triedHosts.push_back(host);
    request.attempts.push_back(attempt);
    logDecision(request, reason, std::nullopt, host, attempt.number);
    m_out->emplace_back(Forward{request.info.id, attempt.number, host, request.info.deadline, toOwner});
}

Milliseconds Steering::Impl::retryAfter(const Request &request, Reason reason) const
{
    if (!m_bundle) {
        return MinRetryAfter;
    }
    switch (reason) {
    case Reason::NoCapacity:
    case Reason::Shed:
    case Reason::TargetUnreachable: {
        const auto wait = std::chrono::duration_cast<Milliseconds>(localQueueWait(request.info.service) * 2);
        return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
    }
    case Reason::ShiftCap:
        return std::chrono::duration_cast<Milliseconds>(m_issuer.shift(request.charge.region).interval);
    case Reason::OverLease:
    case Reason::LinkLimit:
    case Reason::NotReady:
        return std::chrono::duration_cast<Milliseconds>(m_holder.exchangeInterval()) + MinRetryAfter;
    case Reason::SliceExpired:
    case Reason::OwnerUnreachable:
        return m_bundle->policy.leaseTime;
    default:
        return Milliseconds{};
    }
}

void Steering::Impl::refuse(Request &request, Outcome outcome, Reason reason, const std::string &peer)
{
    const Refuse refusal{request.info.id, outcome, reason, retryAfter(request, reason), peer};
    cancelAttempts(request);
    releaseCharge(request);
    if (m_self) {
        logDecision(request, reason, std::nullopt, std::nullopt, 0);
    }
    if (request.holdsClaim && closeClaim(request, refusal)) {
        return;
    }
    const std::string key = request.holdsClaim ? request.info.key : std::string();
    m_out->emplace_back(refusal);
    erase(refusal.id);
    if (!key.empty()) {
        answerWaiters(key);
    }
}

void Steering::Impl::logDecision(const Request &request, Reason reason, std::optional<TargetId> target,
                                 std::optional<HostId> host, unsigned attempt)
{
    Decision decision;
    decision.id = request.info.id;
    decision.service = request.info.service;
    decision.reason = reason;
    decision.callerZone = request.info.callerZone;
    decision.target = target;
    decision.host = host;
    decision.attempt = attempt;
    decision.capacity = localCapacity(request.info.service);
    decision.committed = m_issuer.committed(request.info.service);
    decision.queued = static_cast<unsigned>(m_queues[idx(request.info.service)].size());
    m_out->emplace_back(decision);
}

} // namespace pepperlug
