//===- Steering.cpp - The reducer of an entry host ------------------------===//
//
// Dispatches events to the parts of the state and runs timers and periodic work. Events are applied one at a time, so
// the sums of committed capacity are never subject to races.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"

#include <cassert>

namespace pepperlug
{

namespace
{

constexpr auto StopGrace = Milliseconds(500); ///< delivery time of look-up answers
constexpr auto LedgerSweepInterval = std::chrono::seconds(1);

} // namespace

Steering::Impl::Impl(SteerSettings settings, TimePoint now)
    : m_settings(std::move(settings))
    , m_now(now)
    , m_random(m_settings.seed)
    , m_issuer(now)
    , m_holder(m_settings.seed)
    , m_ledger(m_settings.hostName, m_settings.ledgerId, std::chrono::seconds(600), now)
{
}

void Steering::Impl::reportChange(std::string what, std::string subject, std::string detail)
{
    m_out->emplace_back(StateChange{std::move(what), std::move(subject), std::move(detail)});
}

unsigned Steering::Impl::localCapacity(ServiceId service) const
{
    return m_sliceValid ? m_pool.capacity(service) : 0;
}

unsigned Steering::Impl::localNeed(ServiceId service) const
{
    return std::min(localCapacity(service), m_demand[idx(service)].meanSlots());
}

std::vector<unsigned> Steering::Impl::capacities() const
{
    std::vector<unsigned> all(m_bundle->services.size());
    for (std::size_t n = 0; n < all.size(); ++n) {
        all[n] = localCapacity(makeId<ServiceId>(n));
    }
    return all;
}

std::vector<unsigned> Steering::Impl::localNeeds() const
{
    std::vector<unsigned> all(m_bundle->services.size());
    for (std::size_t n = 0; n < all.size(); ++n) {
        all[n] = localNeed(makeId<ServiceId>(n));
    }
    return all;
}

void Steering::Impl::handle(const LeaseRequestArrived &event)
{
    if (!m_self || idx(event.holder) >= m_bundle->hosts.size()) {
        return;
    }
    const LeaseRequest &request = event.request;
    m_holder.recordContact(event.holder, {request.configIndex, request.leaving, request.ledgerId, request.ledgerAge},
                           m_now);
    LeaseGrant grant = m_issuer.handleRequest(event.holder, event.request, capacities(), localNeeds(), m_now);
    const HostStatus own = ownStatus();
    grant.configIndex = own.configIndex;
    grant.leaving = own.isLeaving;
    grant.ledgerId = own.ledgerId;
    grant.ledgerAge = own.ledgerAge;
    m_out->emplace_back(GrantLease{event.holder, std::move(grant)});
}

void Steering::Impl::handle(const LeaseGranted &event)
{
    if (!m_self || idx(event.issuer) >= m_bundle->hosts.size()
        || !m_holder.handleGrant(event.issuer, event.grant, m_now)) {
        return;
    }
    for (std::size_t n = 0; n < m_queues.size(); ++n) {
        runQueue(makeId<ServiceId>(n));
    }
}

void Steering::Impl::handle(const LeaseFailed &event)
{
    if (m_self && idx(event.issuer) < m_bundle->hosts.size()) {
        m_holder.handleFailure(event.issuer, event.sequence);
    }
}

void Steering::Impl::handle(const TargetReported &event)
{
    if (!m_self || idx(event.target) >= m_bundle->targets.size()) {
        return;
    }
    m_pool.applyReport(event, m_now);
    m_pool.setDrain(event.target, DrainSource::Target, event.leaving, m_now, *m_out);
}

void Steering::Impl::handle(const StopRequested &event)
{
    if (m_stopRequestedAt) {
        return;
    }
    m_stopRequestedAt = m_now;
    if (event.times) {
        m_stop.plan(*event.times);
        refuseQueuedBeyondStop();
    }
    m_holder.makeAllDue();
    reportChange("stop asked", m_settings.hostName);
}

void Steering::Impl::handle(const Tick &)
{
    if (!m_self) {
        checkStop();
        return;
    }
    m_pool.refresh(m_now, *m_out);
    m_issuer.refresh(m_now);
    for (ExpiringCount &lookups : m_localLookups) {
        lookups.expire(m_now);
    }
    refreshSlice();
    for (std::size_t n = 0; n < m_demand.size(); ++n) {
        m_demand[n].refresh(m_settings.tick, m_pool.meanLatency(makeId<ServiceId>(n)));
    }
    runTimers();
    for (std::size_t n = 0; n < m_queues.size(); ++n) {
        runQueue(makeId<ServiceId>(n));
    }
    pollLeases();
    checkPeers();
    if (m_now >= m_nextLedgerSweep) {
        m_nextLedgerSweep = m_now + LedgerSweepInterval;
        m_ledger.forgetExpired(m_now);
    }
    checkStop();
}

void Steering::Impl::pollLeases()
{
    std::vector<unsigned> overflow(m_demand.size(), 0);
    for (std::size_t n = 0; n < overflow.size(); ++n) {
        const ServiceId service = makeId<ServiceId>(n);
        const unsigned demand = m_demand[n].slotsWithMargin();
        const unsigned localUsed = m_issuer.localUsed(service);
        const unsigned committed = m_issuer.committed(service);
        const unsigned takenByOthers = committed - localUsed;
        const unsigned capacity = localCapacity(service);
        const unsigned available = capacity > takenByOthers ? capacity - takenByOthers : 0;
        overflow[n] = demand > available ? demand - available : 0;
    }
    m_holder.poll(overflow, ownStatus(), m_now, *m_out);
}

HostStatus Steering::Impl::ownStatus() const
{
    const HomeToken token = m_ledger.token(m_now);
    const bool isLeaving = m_stopRequestedAt.has_value() || isDrainedHost(*m_self);
    return {m_index, isLeaving, token.ledgerId, token.issued};
}

void Steering::Impl::runTimers()
{
    while (!m_timers.empty() && m_timers.top().at <= m_now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        const auto it = m_requests.find(timer.id);
        if (it == m_requests.end()) {
            continue;
        }
        if (timer.kind == TimerKind::Deadline) {
            handleDeadline(it->second);
        } else {
            startHedge(it->second);
        }
    }
}

void Steering::Impl::checkPeers()
{
    m_reportedAlive.resize(m_bundle->hosts.size(), true);
    for (const HostId host : m_holder.issuers()) {
        const bool isAlive = m_holder.isAlive(host, m_now);
        if (m_reportedAlive[idx(host)] != isAlive) {
            reportChange(isAlive ? "host heard again" : "host lost", m_bundle->hosts[idx(host)].name);
        }
        m_reportedAlive[idx(host)] = isAlive;
    }
}

// Callers cache a look-up answer that names this host until its TTL expires. Other hosts give such answers until they
// receive the report that this host is leaving, which takes one exchange, and an answer takes a while to reach its
// caller.
void Steering::Impl::checkStop()
{
    if (!m_stopRequestedAt || m_stopReported) {
        return;
    }
    const Duration ttl = m_bundle ? Duration(m_bundle->policy.lookupTtl) : Duration{};
    const Duration propagation = m_self ? m_holder.exchangeInterval() + StopGrace : Duration{};
    const bool isComplete = m_requests.empty() && m_now >= *m_stopRequestedAt + ttl + propagation;
    if (!isComplete && !m_stop.isOver(m_now)) {
        return;
    }
    m_stopReported = true;
    giveUpRequests();
    reportChange("stop ready", m_settings.hostName);
    m_out->emplace_back(StopReady{});
}

// The exit ends what is in progress, so this is the last that its callers can be told.
void Steering::Impl::giveUpRequests()
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : m_requests) {
        if (request.phase != Phase::Detached) {
            ids.push_back(id);
        }
    }
    for (const RequestId id : ids) {
        const auto it = m_requests.find(id); // one that is refused may end others with its key
        if (it == m_requests.end()) {
            continue;
        }
        Request &request = it->second;
        const bool isOnce = request.info.cls == RouteClass::Once;
        const bool maybeRan = isOnce || request.phase == Phase::Running || request.maybeSent;
        refuse(request, maybeRan ? Outcome::Unknown : Outcome::NotRun, Reason::Leaving, {});
    }
}

Steering::Steering(SteerSettings settings, TimePoint now)
    : m_impl(std::make_unique<Impl>(std::move(settings), now))
{
}

Steering::~Steering() = default;
Steering::Steering(Steering &&) noexcept = default;
Steering &Steering::operator=(Steering &&) noexcept = default;

void Steering::reduce(const Event &event, TimePoint now, Effects &out)
{
    m_impl->m_now = std::max(m_impl->m_now, now);
    m_impl->m_out = &out;
    std::visit([this](const auto &it) { m_impl->handle(it); }, event);
    m_impl->m_out = nullptr;
}

bool Steering::ready() const
{
    return m_impl->m_self.has_value();
}

std::uint64_t Steering::configIndex() const
{
    return m_impl->m_index;
}

const Bundle *Steering::bundle() const
{
    return m_impl->m_bundle.get();
}

std::optional<HostId> Steering::self() const
{
    return m_impl->m_self;
}

ServiceView Steering::view(ServiceId service) const
{
    ServiceView view;
    view.sliceSlots = m_impl->m_pool.sliceSlots(service);
    view.capacity = m_impl->localCapacity(service);
    view.inFlight = m_impl->m_pool.inFlight(service);
    view.committed = m_impl->m_issuer.committed(service);
    view.lent = m_impl->m_issuer.lent(service);
    view.held = m_impl->m_holder.heldSlots(service, m_impl->m_now);
    view.heldInUse = m_impl->m_holder.usedSlots(service);
    view.queued = static_cast<unsigned>(m_impl->m_queues[idx(service)].size());
    view.demand = m_impl->m_demand[idx(service)].slotsWithMargin();
    return view;
}

TargetView Steering::view(TargetId target) const
{
    return m_impl->m_pool.view(target);
}

ShiftView Steering::shift(RegionId from) const
{
    return m_impl->m_issuer.shift(from);
}

bool Steering::isAlive(HostId host, TimePoint now) const
{
    return m_impl->m_holder.isAlive(host, now);
}

bool Steering::sliceValid(TimePoint now) const
{
    return m_impl->m_guard.isValid(m_impl->m_holder, now);
}

std::size_t Steering::requestsInProgress() const
{
    return m_impl->m_requests.size();
}

const Ledger &Steering::ledger() const
{
    return m_impl->m_ledger;
}

void Steering::restoreClaims(const std::vector<LedgerRecord> &records)
{
    m_impl->m_ledger.restore(records);
}

} // namespace pepperlug
