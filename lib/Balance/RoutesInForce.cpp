//===- RoutesInForce.cpp - Routing that an entry host applies -------------===//
//
// A routing version that an entry host has confirmed must apply to everything that the host sends from then on. A
// request may be open for many seconds, so its route is looked up again for each send; and a host that receives newer
// routing late suspends its decisions.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Time reserved for sending the answer to the caller.
constexpr Milliseconds ReturnLatency{20};

} // namespace

void Balancer::Impl::handle(const UpdateReceived &event)
{
    m_lastUpdate = event;
    updateSuspension();
}

// A change is acknowledged only when this host applies it. A slow link must delay neither the operator nor the
// acknowledgement, so after updateLease this host suspends: it reports that it makes no decisions by its old routing,
// and refuses new requests as not run, so that callers use another host. With a change of 4,000 routes over a link of
// 20 KB/s, a test of acknowledgements takes 3.4 s with the suspension and 6.1 s without. If this host can't read the
// newer routing, the suspension would never end; so the host continues with the old one, and the change is not
// acknowledged.
//
// A suspended host stays suspended until it has every version that it was informed of: other hosts rely on the
// suspension for each of these changes, and one of them may arrive while a later one is missing. A slow reply does not
// end the suspension, as long as control hosts answer heartbeats beside it.
void Balancer::Impl::updateSuspension()
{
    if (!m_lastUpdate || !m_lastUpdate->behindSince) {
        m_isSuspended = false;
        return;
    }
    const bool isLate = m_lastUpdate->isArriving && m_now - *m_lastUpdate->behindSince > m_settings.updateLease;
    // No acknowledgement waits for a host that is cut off, so it continues to serve.
    const TimePoint heardAt = std::max(m_lastUpdate->requestedAt, m_lastUpdate->heardAt.value_or(TimePoint{}));
    const bool isCutOff = m_now - heardAt > LeasesUntilIsolated * m_settings.updateLease;
    m_isSuspended = !isCutOff && (isLate || m_isSuspended);
}

bool Balancer::Impl::isSuspended() const
{
    return m_isSuspended;
}

// A caller that receives "no such route" does not retry, so only a host that would know of the route may answer that.
// Known routes are served whatever the age of the routing, so that a zone that is cut off continues to serve.
bool Balancer::Impl::mayHaveMissedRoutes() const
{
    return !m_lastUpdate || m_lastUpdate->behindSince || m_now - m_lastUpdate->requestedAt > m_settings.updateLease;
}

// The host that relayed a request has confirmed routing that must apply to it. An older table here may allow regions
// that are no home regions any more.
bool Balancer::Impl::hasOlderRoutingThan(const CallerRequest &request) const
{
    return request.relayedByIndex && *request.relayedByIndex > m_routingIndex;
}

const Route *Balancer::Impl::currentRoute(const OpenRequest &open) const
{
    return m_routeIndex->match(open.request.host, open.request.path);
}

// A key is looked up for each send, as the route is: it may have been removed or given to another tenant meanwhile.
Balancer::Impl::CallerIdentity Balancer::Impl::identifyCaller(const CallerRequest &request, const Route *route) const
{
    if (route == nullptr || m_table->tenants.empty()) {
        return {nullptr, route != nullptr};
    }
    const Tenant *tenant = m_routeIndex->tenantOf(request.keyDigest);
    return {tenant, tenant != nullptr || route->isPublic};
}

void Balancer::Impl::assignTenant(OpenRequest &open, const CallerIdentity &caller)
{
    const Tenant *tenant = caller.tenant;
    open.regions = {open.route, tenant};
    open.tenant = caller.name();
    open.limit = tenant != nullptr ? tenant->limit : TenantLimit{};
    if (tenant != nullptr) {
        open.route.priority = tenant->priority.value_or(open.route.priority);
    }
}

// Each table since the request was sent counts, also those by which it was not sent on.
void Balancer::Impl::restrictRuns(OpenRequest &open) const
{
    const CallerRequest &request = open.request;
    const Duration age = m_now - open.arrivedAt + std::max(Duration(0), request.age - request.waited);
    const bool wasOnceOnly = request.isOnceOnly || m_loosened.covers(request.host, request.path, age, m_now);
    open.runs.restrictTo(wasOnceOnly ? RouteKind::OnceOnly : open.route.kind);
}

// Keeps the service if the route still leads to it by the new table, so that the weights of a split hold.
void Balancer::Impl::assignRoute(OpenRequest &open, const Route &route, const CallerIdentity &caller)
{
    open.route = route;
    restrictRuns(open);
    assignTenant(open, caller);
    open.tableVersion = m_table->version;
    const auto isKept = [&](const WeightedService &it) {
        return it.service == open.service && it.weight > 0;
    };
    if (std::none_of(route.services.begin(), route.services.end(), isKept)) {
        open.service = pickService(route);
    }
    m_budgets.try_emplace(open.service, m_settings.retries);
    const std::string &key = open.request.affinityKey;
    open.affinity = route.sticky && !key.empty() ? hash64(key) : 0;
    const std::optional<Duration> &deadline = open.request.deadline;
    open.deadline =
        open.arrivedAt + std::min<Duration>(route.timeout, deadline ? *deadline - ReturnLatency : route.timeout);
}

// A request may be open for many seconds, and this host may have confirmed the newest table meanwhile. So each send
// uses the current route, not the one of the arrival; otherwise every request that is retried after a change would use
// a replaced route. Returns false if the route does not exist any more, if no region may serve it, or if the host is
// suspended.
bool Balancer::Impl::refreshRoute(OpenRequest &open)
{
    if (m_isSuspended) {
        return false;
    }
    if (open.tableVersion != m_table->version) {
        const Route *route = currentRoute(open);
        const CallerIdentity caller = identifyCaller(open.request, route);
        if (!caller.isAllowed) {
            return false;
        }
        assignRoute(open, *route, caller);
    }
    // The limit of a tenant that has received the key meanwhile is not charged for this request.
    const bool isOfTokenOwner = !open.token || open.token->tenant == open.tenant;
    return isOfTokenOwner && !open.regions.isEmpty();
}

// Called when a connection is ready, up to several hundred milliseconds after the target was chosen.
std::optional<Withheld> Balancer::Impl::withheldBecause(RequestId id, unsigned attempt) const
{
    const auto it = m_open.find(static_cast<std::uint64_t>(id));
    if (it == m_open.end()) {
        return Withheld::Ended;
    }
    const OpenRequest &open = it->second;
    const auto started = open.attempts.find(attempt);
    if (started == open.attempts.end()) {
        return Withheld::Ended;
    }
    if (m_isSuspended) {
        return Withheld::Suspended;
    }
    if (!m_stop.admits(open.deadline)) {
        return Withheld::Stopping;
    }
    if (isQuarantined(open)) {
        return Withheld::Quarantined;
    }
    const Attempt &sent = started->second;
    const bool isRelay = !sent.relay.empty();
    const TargetState *target = isRelay ? nullptr : m_targets.find(sent.target);
    if (isRelay ? !m_relays.isLive(sent.relay, sent.address) : !isStillUsable(target, sent)) {
        return Withheld::TargetUnusable;
    }
    const Route *route = currentRoute(open);
    const CallerIdentity caller = identifyCaller(open.request, route);
    if (!caller.isAllowed) {
        return Withheld::NoRoute;
    }
    if (!AllowedRegions(*route, caller.tenant).contains(isRelay ? sent.region : target->region)) {
        return Withheld::OutsideRegions;
    }
    if (isRelay) {
        // The other host decides the rest, by routing that is at least as new as the one that the request carries.
        return sent.routingIndex == m_routingIndex ? std::nullopt : std::optional(Withheld::RoutingChanged);
    }
    if (sent.tenant != caller.name() || sent.hasTenants == m_table->tenants.empty()) {
        return Withheld::OtherTenant;
    }
    const auto isItsService = [&](const WeightedService &it) {
        return it.service == target->report.service && it.weight > 0;
    };
    const bool leadsThere = std::any_of(route->services.begin(), route->services.end(), isItsService);
    return leadsThere ? std::nullopt : std::optional(Withheld::OtherService);
}

// The target's limit may have been received after it was chosen.
bool Balancer::Impl::isStillUsable(const TargetState *target, const Attempt &attempt) const
{
    return target != nullptr && m_targets.acceptsRequests(*target) && !target->isBackingOff(m_now)
        && (!target->limit || attempt.usesLimitShare);
}

} // namespace pepperlug::fleet
