//===- RoutesInForce.cpp - By which routes an entry host decides ----------===//
//
// What an entry host has confirmed must hold for all that it sends from then on. A request is open for up to many
// seconds, so its route is asked for again at each send; and a host that gets newer routing late stops deciding.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Time that an answer needs back to its caller.
constexpr Milliseconds ReturnLatency{20};

} // namespace

void Balancer::Impl::handle(const UpdateReceived &event)
{
    m_lastUpdate = event;
    m_quotas.heardAsOf(event.requestedAt);
    updateSuspension();
}

// Whoever acknowledges a change waits for this host to act by it. A slow link must hold up neither the operator nor the
// promise, so after a while this host says that it decides nothing by what it has, and refuses what comes as not run:
// callers find another host. Measured by AcknowledgedTest, a change of 4,000 routes over a link of 20 KB a second: the
// whole case takes 3.4 s with it, 6.1 s without. Where the newer routing can't be read here it would never end, so this
// host goes on, and the change is not acknowledged.
//
// Once it has said so it stays so until it has all that it was told of: others rely on it for each of these changes,
// and the next one may arrive while a later one is missing.
void Balancer::Impl::updateSuspension()
{
    if (!m_lastUpdate || !m_lastUpdate->behindSince) {
        m_isSuspended = false;
        return;
    }
    const bool isLate = m_lastUpdate->isArriving && m_now - *m_lastUpdate->behindSince > m_settings.updateLease;
    // Nobody waits for a host that is cut off, so it serves on.
    const bool isCutOff = m_now - m_lastUpdate->requestedAt > CutOffLeases * m_settings.updateLease;
    m_isSuspended = !isCutOff && (isLate || m_isSuspended);
}

bool Balancer::Impl::isSuspended() const
{
    return m_isSuspended;
}

// A caller that is told "no such route" does not ask again, so only a host may say it that would know of the route.
// Routes that are known are served whatever the age of the view: a zone that is cut off serves on.
bool Balancer::Impl::mayHaveMissedRoutes() const
{
    return !m_lastUpdate || m_lastUpdate->behindSince || m_now - m_lastUpdate->requestedAt > m_settings.updateLease;
}

const Route *Balancer::Impl::currentRoute(const OpenRequest &open) const
{
    return m_routeIndex->match(open.request.host, open.request.path);
}

// A key is asked for at each send like a route: it may have been taken away or given to another tenant meanwhile.
Balancer::Impl::CallerIdentity Balancer::Impl::identifyCaller(const CallerRequest &request, const Route *route) const
{
    if (route == nullptr || m_table->tenants.empty()) {
        return {nullptr, route != nullptr};
    }
    const Tenant *tenant = m_routeIndex->tenantOf(request.keyDigest);
    return {tenant, tenant != nullptr || route->isPublic};
}

// Where route and tenant both name homes, both bind.
void Balancer::Impl::assignTenant(OpenRequest &open, const CallerIdentity &caller)
{
    const Tenant *tenant = caller.tenant;
    open.hasNoRegion = false;
    open.tenant = caller.name();
    open.limit = tenant != nullptr ? tenant->limit : TenantLimit{};
    if (tenant == nullptr) {
        return;
    }
    open.route.priority = tenant->priority.value_or(open.route.priority);
    std::vector<std::string> &homes = open.route.homeRegions;
    const std::vector<std::string> &others = tenant->homeRegions;
    if (homes.empty() || others.empty()) {
        homes.insert(homes.end(), others.begin(), others.end());
        return;
    }
    std::erase_if(homes, [&](const std::string &it) { return std::ranges::find(others, it) == others.end(); });
    open.hasNoRegion = homes.empty();
}

// A service that the route leads to by its new table as well is kept, so that parts of a split keep their weights.
void Balancer::Impl::assignRoute(OpenRequest &open, const Route &route, const CallerIdentity &caller)
{
    open.route = route;
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

// A request may be open for many seconds, and this host has long told others that it acts by the newest table. So each
// send goes by the route that is in force then, not by the one of the arrival: none by a replaced route, where each
// request that was sent again after a change went by one (RoutesChangeTest). False: there is no such route any more, or
// it is not known.
bool Balancer::Impl::refreshRoute(OpenRequest &open)
{
    if (m_isSuspended) {
        return false;
    }
    if (open.tableVersion == m_table->version) {
        return true;
    }
    const Route *route = currentRoute(open);
    const CallerIdentity caller = identifyCaller(open.request, route);
    if (!caller.isAllowed) {
        return false;
    }
    assignRoute(open, *route, caller);
    return true;
}

bool Balancer::Impl::leadsTo(const Route &route, const Tenant *tenant, const TargetState &target)
{
    const auto isItsService = [&](const WeightedService &it) {
        return it.service == target.report.service && it.weight > 0;
    };
    const bool isHomeOfTenant = tenant == nullptr || TargetSet::isHome(tenant->homeRegions, target);
    return isHomeOfTenant && TargetSet::isHome(route.homeRegions, target)
        && std::any_of(route.services.begin(), route.services.end(), isItsService);
}

// Asked when a connection is there, up to some hundred milliseconds after the target was chosen.
bool Balancer::Impl::maySend(RequestId id, unsigned attempt) const
{
    const auto it = m_open.find(static_cast<std::uint64_t>(id));
    if (it == m_open.end() || m_isSuspended || isQuarantined(it->second)) {
        return false;
    }
    const OpenRequest &open = it->second;
    const auto started = open.attempts.find(attempt);
    const TargetState *target = started == open.attempts.end() ? nullptr : m_targets.find(started->second.target);
    if (target == nullptr || !m_targets.acceptsRequests(*target) || target->isBackingOff(m_now)) {
        return false;
    }
    const bool isBeyondLimit = target->limit && !started->second.usesLimitShare;
    if (isBeyondLimit) {
        return false; // the limit was heard after the target was chosen
    }
    const Route *route = currentRoute(open);
    const CallerIdentity caller = identifyCaller(open.request, route);
    // What is about to leave names the tenant that held the key when the target was chosen.
    return caller.isAllowed && open.tenant == caller.name() && leadsTo(*route, caller.tenant, *target);
}

} // namespace pepperlug::fleet
