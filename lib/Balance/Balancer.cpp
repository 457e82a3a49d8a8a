//===- Balancer.cpp - Life cycle of a request at an entry host ------------===//
//
// A request that may run only once is sent to a second target only if the first has certainly not run it. A repeatable
// request is also retried after a loss, within the retry budget; if its target is unresponsive, it is hedged: sent to a
// second target while the first attempt continues.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"
#include "RetryAdvice.h"

namespace pepperlug::fleet
{

namespace
{

/// Service times without an answer after which an attempt is hedged.
constexpr int HedgeTimeoutFactor = 3;
constexpr Milliseconds MinHedgeTimeout{500};
/// Approximate size of an answer's head and the packet overhead.
constexpr double AnswerHeadBytes = 600;

} // namespace

bool isCertainlyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Withdrawn || outcome == AttemptOutcome::Shed
        || outcome == AttemptOutcome::WrongTarget;
}

bool concernsHostAlone(Refusal refusal)
{
    switch (refusal) {
    case Refusal::NoConfiguration:
    case Refusal::NoRoute:
    case Refusal::UnknownKey:
    case Refusal::RoutingLate:
    case Refusal::LinkFull:
    case Refusal::NotReached:
    case Refusal::Stopping:
        return true;
    default:
        return false;
    }
}

bool promisesNotRun(Refusal refusal)
{
    return refusal != Refusal::Lost && refusal != Refusal::TimedOut;
}

Balancer::Impl::Impl(BalanceSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_targets(m_settings)
    , m_relays(m_settings)
    , m_region(m_targets.regionOf(m_settings.zone))
    , m_admission(m_settings.policy)
    , m_plans(m_settings, m_region)
    , m_quarantine(m_settings.firstProbeDelay)
    , m_quotas(m_settings.host, m_settings.address)
    , m_link(m_settings.linkBytesPerSecond)
{
}

void Balancer::Impl::reduce(const BalanceEvent &event, TimePoint now, BalanceEffects &out)
{
    m_now = std::max(m_now, now);
    m_out = &out;
    std::visit([this](const auto &it) { handle(it); }, event);
    advanceQuotas();
    m_out = nullptr;
}

void Balancer::Impl::handle(const RoutesChanged &event)
{
    if (m_table && m_table->version != event.table->version) {
        m_loosened.replace(*m_table, *m_routeIndex, *event.table, m_now);
    }
    m_table = event.table;
    m_routingIndex = event.index;
    m_routeIndex.emplace(m_table);
    m_quotas.setTableVersion(m_table->version);
    m_admission.setTable(*m_table);
    m_targets.setTable(m_table);
    std::erase_if(m_reachability, [&](const auto &it) { return m_table->service(it.first) == nullptr; });
    m_targets.setEvacuatedZones(event.evacuatedZones, m_now);
    m_plans.expire();
    updatePlans();
}

void Balancer::Impl::handle(const ReportsChanged &event)
{
    m_targets.apply(event.changes, m_now);
    for (const AgedReport<HostReport> &it : event.changes.hosts) {
        m_relays.apply(it);
    }
    m_targets.addRestored(event.restored, m_now);
    if (!event.demand.empty()) {
        m_targets.setDemand(event.demand);
    }
    if (event.isSnapshot) {
        m_targets.markOthersUnconfirmed(event.changes, m_now);
    }
    applyKnownBackpressure();
    updatePlans();
}

void Balancer::Impl::handle(const CallerRequest &event)
{
    OpenRequest open;
    open.request = event;
    open.arrivedAt = m_now - event.waited;
    if (!m_table) {
        refuse(open, Refusal::NoConfiguration);
        return;
    }
    const Route *route = m_routeIndex->match(event.host, event.path);
    if (route == nullptr) {
        refuse(open, mayHaveMissedRoutes() ? Refusal::RoutingLate : Refusal::NoRoute);
        return;
    }
    const CallerIdentity caller = identifyCaller(event, route);
    if (!caller.isAllowed) {
        refuse(open, mayHaveMissedRoutes() ? Refusal::RoutingLate : Refusal::UnknownKey);
        return;
    }
    assignRoute(open, *route, caller);
    if (event.waited > Duration(0) && m_now >= open.deadline) {
        refuse(open, Refusal::NotReached); // its time is over, and it has certainly not run
        return;
    }
    if (!m_stop.admits(std::max(open.deadline, event.dueAhead))) {
        refuse(open, Refusal::Stopping);
        return;
    }
    if (m_isSuspended || hasOlderRoutingThan(event)) {
        refuse(open, Refusal::RoutingLate);
        return;
    }
    if (open.regions.isEmpty()) {
        refuse(open, Refusal::NoTarget);
        return;
    }
    if (refuseOrProbe(open)) {
        return;
    }
    if (isCutOff(open.service)) {
        relayOrRefuse(open);
        return;
    }
    const Duration serviceTime = m_admission.stats(route->name).serviceTime().value_or(route->objective / 2);
    m_demand.addRequest(open.service, boundRegion(open), route->name, serviceTime, m_now);
    m_requestedBytes.add(m_now, m_admission.answerBytes(route->name) + AnswerHeadBytes);
    m_shiftAllowances[open.service].countRequest(m_now);
    m_budgets.at(open.service).countRequest(m_now);
    // A relayed request has less time left, although its caller has not returned.
    open.isCallerRetry = !event.relayedByIndex && m_admission.isReturning(open.route, event.deadline);
    m_admission.countRequest(open.route, event.deadline, m_now);
    if (open.isCallerRetry) {
        m_returns.returned(open.service, open.route.priority, m_now);
    }
    const Placement placement = place(open);
    if (placement.target == nullptr) {
        const double excess = std::max(0.0, placement.utilization - placement.admissibleUtilization);
        const Duration drainTime = std::chrono::duration_cast<Duration>(serviceTime * excess);
        refuse(open, placement.refusal, std::max(drainTime, placement.untilCapacity));
        return;
    }
    const QuotaDecision decision = requestToken(open);
    if (decision == QuotaDecision::Refused || decision == QuotaDecision::TimedOut) {
        refuse(open, Refusal::OverQuota);
        return;
    }
    OpenRequest &kept = m_open[static_cast<std::uint64_t>(event.id)] = std::move(open);
    if (decision == QuotaDecision::Admitted) {
        startAttempt(kept, placement);
    }
}

void Balancer::Impl::startAttempt(OpenRequest &open, const Placement &placement)
{
    TargetState &target = *placement.target;
    m_targets.attemptStarted(target, m_now);
    const Duration usualTime = m_admission.stats(open.route.name).serviceTime().value_or(Duration(0));
    m_reachability[open.service].recordSent(m_now, usualTime);
    const unsigned number = ++open.attemptsStarted;
    const double bytes = m_admission.answerBytes(open.route.name) + AnswerHeadBytes;
    m_link.take(bytes, m_now);
    open.attempts[number] = {{target.report.id, target.report.startedAt},
                             target.report.address,
                             m_now,
                             placement.utilization,
                             bytes,
                             target.limit.has_value(),
                             target.region,
                             m_routingIndex,
                             open.tenant,
                             !m_table->tenants.empty(),
                             {}};
    open.triedTargets.insert(target.report.id);
    open.lastTarget = target.report.id;
    StartAttempt effect;
    effect.id = open.request.id;
    effect.attempt = number;
    effect.target = target.report.id;
    effect.targetStartedAt = target.report.startedAt;
    effect.address = target.report.address;
    effect.zone = target.report.zone;
    effect.service = open.service;
    effect.tableVersion = open.tableVersion;
    effect.routingIndex = m_routingIndex;
    effect.region = target.region;
    effect.route = open.route.name;
    effect.homeRegions = open.regions.homes();
    effect.isOnceOnly = !open.runs.isRepeatable();
    effect.hasTenants = !m_table->tenants.empty();
    effect.tenant = open.tenant;
    effect.timeLeft = open.deadline - m_now;
    effect.utilization = placement.utilization;
    effect.loadAge = target.load ? std::chrono::duration_cast<Milliseconds>(m_now - target.loadAt) : Milliseconds(-1);
    m_out->emplace_back(std::move(effect));
}

// The later a caller retries the less time it has left, so the advice is short; a random part spreads the callers.
Milliseconds Balancer::Impl::retryAfter(const OpenRequest &open, Refusal reason, Duration drainTime)
{
    if (open.hasNoQuotaDecision) {
        return m_quotas.hasHadContact() ? OtherHostRetryAfter : NoIssuerRetryAfter;
    }
    if (reason == Refusal::LinkFull || reason == Refusal::Stopping) {
        return OtherHostRetryAfter;
    }
    if (reason == Refusal::Quarantined) {
        return timeUntilProbe(open);
    }
    if (reason == Refusal::Overloaded && open.isShedWithFreeSlots) {
        return OtherHostRetryAfter; // waiting for a slot would only make the answer late
    }
    if (open.route.name.empty()) {
        return NoRoutingRetryAfter;
    }
    const Milliseconds least = minRetryAfterFor(open.route);
    const Milliseconds drain = std::chrono::duration_cast<Milliseconds>(drainTime);
    if (reason == Refusal::Overloaded) {
        const Duration timeLeft = open.deadline - m_now;
        const std::optional<Duration> scheduled = m_returns.adviseAt(
            open.service, open.route.priority, std::max<Duration>(drainTime, least), timeLeft, m_now);
        if (scheduled) {
            return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(*scheduled));
        }
    }
    Milliseconds base = m_settings.policy.derivesRetryAfterFromQueue ? std::clamp(drain, least, MaxRetryAfter) : least;
    if (reason == Refusal::Backpressure) {
        base = std::clamp(drain, least, MaxBackpressureRetryAfter);
    }
    if (reason == Refusal::OverQuota) {
        base = m_quotas.retryAfter(open.tenant, m_now);
    }
    return base + Milliseconds(static_cast<Milliseconds::rep>(m_random() % static_cast<std::uint64_t>(base.count())));
}

void Balancer::Impl::refuse(OpenRequest &open, Refusal reason, Duration drainTime)
{
    RefuseRequest effect;
    effect.id = open.request.id;
    effect.reason = reason;
    effect.route = open.route.name;
    effect.lastTarget = open.lastTarget;
    effect.tenant = open.tenant;
    const bool mayComeBack = promisesNotRun(reason) && reason != Refusal::NoRoute && reason != Refusal::UnknownKey;
    if (mayComeBack) {
        effect.retryAfter = retryAfter(open, reason, drainTime);
    }
    refundToken(open, reason);
    m_out->emplace_back(std::move(effect));
}

// What was sent to the caller can't be taken back, so the caller must see that the answer is incomplete.
void Balancer::Impl::failRequest(OpenRequest &open, Refusal reason)
{
    if (open.hasAnswerBegun) {
        m_out->emplace_back(AbortAnswer{open.request.id, reason});
    } else {
        refuse(open, reason);
    }
}

// A second target is sent the request only if the first one was unresponsive.
void Balancer::Impl::cancelAttempts(OpenRequest &open, const Attempt *answered)
{
    for (const auto &[number, attempt] : open.attempts) {
        if (answered != nullptr && attempt.startedAt < answered->startedAt) {
            m_targets.attemptOutrun(attempt.target, attempt.startedAt, m_now);
        } else {
            m_targets.attemptCancelled(attempt.target);
        }
        m_out->emplace_back(CancelAttempt{open.request.id, number});
    }
    open.attempts.clear();
}

void Balancer::Impl::handle(const CallerLeft &event)
{
    const auto it = m_open.find(static_cast<std::uint64_t>(event.id));
    if (it == m_open.end()) {
        return;
    }
    cancelAttempts(it->second);
    m_quotas.cancel(it->second.tenant, event.id);
    m_open.erase(it);
}

// Each retry after an attempt that may have reached its target is taken from the budget that all entry hosts share.
bool Balancer::Impl::mayRetry(const OpenRequest &open, AttemptOutcome outcome)
{
    if (open.hasAnswerBegun || !mayUseAnotherTarget(open, outcome)) {
        return false;
    }
    if (!open.runs.mayRunNow() || open.attemptsStarted >= open.route.attempts || m_now >= open.deadline
        || !m_stop.admits(open.deadline)) {
        return false;
    }
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Withdrawn) {
        return true;
    }
    return m_budgets.at(open.service).take(m_now, m_targets.entryHosts());
}

void Balancer::Impl::handle(const AnswerBegun &event)
{
    const auto it = m_open.find(static_cast<std::uint64_t>(event.id));
    if (it == m_open.end() || it->second.hasAnswerBegun || !it->second.attempts.contains(event.attempt)) {
        return;
    }
    OpenRequest &open = it->second;
    open.hasAnswerBegun = true;
    m_out->emplace_back(PassHead{event.id, event.attempt});
    auto kept = open.attempts.extract(event.attempt);
    const Attempt &attempt = kept.mapped();
    // What another entry host passes on shows nothing of the way from here to a target.
    const bool isOfTarget = attempt.relay.empty();
    if (isOfTarget) {
        m_targets.answerBegun(attempt.target);
        recordReachability(open.service, AttemptOutcome::Answered);
    }
    cancelAttempts(open, isOfTarget ? &attempt : nullptr);
    open.attempts.insert(std::move(kept));
}

// A target that has free slots and the data of the request's key is tried again where others shed, too.
void Balancer::Impl::recordShed(OpenRequest &open, const AttemptEnded &event, const std::string &target)
{
    const std::optional<TargetLoad> &load = event.load;
    const bool hasFreeSlots = load && load->running + load->waiting < load->slots;
    open.isShedWithFreeSlots = event.outcome == AttemptOutcome::Shed && hasFreeSlots;
    if (event.outcome != AttemptOutcome::Answered && !open.isShedWithFreeSlots) {
        return;
    }
    ShedWatch &sheds = m_sheds[open.service];
    sheds.record(target, open.isShedWithFreeSlots);
    if (open.isShedWithFreeSlots && sheds.isWidespread()) {
        open.triedTargets.erase(target);
    }
}

// Admission adds the round trip to another region to the predicted time of requests that go there.
Duration Balancer::Impl::timeAtTarget(const Attempt &attempt) const
{
    const Duration took = m_now - attempt.startedAt;
    const bool isRemote = attempt.region != m_region && followsLosses();
    return isRemote ? std::max<Duration>(took - OtherRegionLatency, took / 2) : took;
}

void Balancer::Impl::handle(const AttemptEnded &event)
{
    const auto it = m_open.find(static_cast<std::uint64_t>(event.id));
    if (it == m_open.end()) {
        return;
    }
    OpenRequest &open = it->second;
    const auto ended = open.attempts.find(event.attempt);
    if (ended == open.attempts.end()) {
        return;
    }
    const Attempt attempt = ended->second;
    open.attempts.erase(ended);
    if (!attempt.relay.empty()) {
        endRelay(open, attempt, event);
        return;
    }
    recordReachability(open.service, event.outcome);
    m_targets.attemptEnded(attempt.target, event.outcome, event.load, m_now);
    m_hasPacedTargets |= event.load && event.load->pacePercent;
    recordShed(open, event, attempt.target.id);
    if (attempt.usesLimitShare
        && (event.outcome == AttemptOutcome::NotSent || event.outcome == AttemptOutcome::Withdrawn)) {
        m_targets.refundLimit(attempt.target);
    }
    if (isCertainlyNotRun(event.outcome)) {
        m_link.take(-attempt.expectedBytes, m_now);
    }
    if (event.outcome == AttemptOutcome::Answered) {
        m_link.take(static_cast<double>(event.answerBytes) + AnswerHeadBytes - attempt.expectedBytes, m_now);
        m_admission.stats(open.route.name).addAnswerBytes(event.answerBytes);
        const Duration took = timeAtTarget(attempt);
        if (followsLosses()) {
            const bool hasQueue = !event.load || event.load->waiting > 0;
            m_demand.addAnswer(open.route.name, {took, attempt.utilization, attempt.region != m_region, hasQueue});
        }
        m_admission.stats(open.route.name).addServiceTime(took, attempt.utilization);
        m_returns.addServiceTime(open.service, took, attempt.utilization);
        recordServiceTime(open, took);
        if (!event.isFailure) {
            clearSuspicion(open);
        }
        cancelAttempts(open, event.isFailure ? nullptr : &attempt);
        m_out->emplace_back(PassAnswer{open.request.id, event.attempt}); // last, as it ends the request
        m_open.erase(it);
        return;
    }
    if (event.outcome == AttemptOutcome::Lost && event.isConnectionLost) {
        checkForCrash(open, attempt);
    }
    open.hasAnswerBegun &= !event.isTakenBack;
    if (open.hasAnswerBegun || !isCertainlyNotRun(event.outcome)) {
        open.runs.recordRun();
    }
    if (!open.attempts.empty()) {
        return; // another attempt is in progress
    }
    const bool hasRoute = refreshRoute(open);
    const bool mayRelay = isCutOff(open.service) && isCertainlyNotRun(event.outcome) && !open.runs.mayHaveRun();
    if (hasRoute && mayRelay && startRelay(open)) {
        return;
    }
    if (hasRoute && mayRetry(open, event.outcome)) {
        const Placement placement = place(open);
        if (placement.target != nullptr) {
            startAttempt(open, placement);
            return;
        }
    }
    const Refusal unserved = event.outcome == AttemptOutcome::Shed ? Refusal::Overloaded : Refusal::NotReached;
    failRequest(open, refusalAfter(open, event.outcome, hasRoute, unserved));
    m_open.erase(it);
}

// `unserved`: the reason if the request has a route, is not quarantined and has certainly not run.
Refusal Balancer::Impl::refusalAfter(const OpenRequest &open, AttemptOutcome outcome, bool hasRoute,
                                     Refusal unserved) const
{
    if (open.runs.mayHaveRun()) {
        return outcome == AttemptOutcome::TimedOut || m_now >= open.deadline ? Refusal::TimedOut : Refusal::Lost;
    }
    if (!hasRoute) {
        return m_isSuspended ? Refusal::RoutingLate : Refusal::RouteChanged;
    }
    if (!m_stop.admits(open.deadline)) {
        return Refusal::Stopping;
    }
    return isQuarantined(open) ? Refusal::Quarantined : unserved;
}

void Balancer::Impl::giveUp(OpenRequest &open)
{
    cancelAttempts(open);
    m_quotas.cancel(open.tenant, open.request.id);
    const Refusal unsent = open.awaitsProbe ? Refusal::Quarantined : Refusal::OverQuota;
    const bool isUnsent = open.awaitsProbe || open.awaitsToken;
    if (isUnsent && m_stop.isOver(m_now)) {
        failRequest(open, Refusal::Stopping);
    } else {
        failRequest(open, isUnsent ? unsent : Refusal::TimedOut);
    }
}

void Balancer::Impl::endExpired()
{
    for (auto it = m_open.begin(); it != m_open.end();) {
        OpenRequest &open = it->second;
        if (m_now < open.deadline) {
            ++it;
            continue;
        }
        giveUp(open);
        it = m_open.erase(it);
    }
}

bool Balancer::Impl::mayHedge(const OpenRequest &open) const
{
    return open.attempts.size() == 1 && open.attempts.begin()->second.relay.empty() && !isCutOff(open.service)
        && mayUseAnotherTarget(open, AttemptOutcome::TimedOut) && !open.hasAnswerBegun && open.runs.isRepeatable()
        && open.attemptsStarted < open.route.attempts && m_stop.admits(open.deadline);
}

bool Balancer::Impl::isTargetUnresponsive(const Attempt &attempt, const Route &route)
{
    const Duration serviceTime = m_admission.stats(route.name).serviceTime().value_or(route.objective);
    const Duration hedgeTimeout = std::max<Duration>(MinHedgeTimeout, serviceTime * HedgeTimeoutFactor);
    const TargetState *target = m_targets.find(attempt.target);
    const bool isUnresponsive = target == nullptr || target->isUnresponsive(m_now, hedgeTimeout);
    return isUnresponsive && m_now - attempt.startedAt >= hedgeTimeout;
}

void Balancer::Impl::hedgeUnresponsive()
{
    for (auto &[id, open] : m_open) {
        if (!mayHedge(open) || !isTargetUnresponsive(open.attempts.begin()->second, open.route)) {
            continue;
        }
        if (!refreshRoute(open) || !mayHedge(open)) {
            continue;
        }
        const Placement placement = place(open);
        if (placement.target == nullptr || !m_budgets.at(open.service).take(m_now, m_targets.entryHosts())) {
            continue;
        }
        startAttempt(open, placement);
    }
}

void Balancer::Impl::handle(const StopPlanned &event)
{
    m_stop.plan(event.times);
}

// Whoever is behind one of these on its connection gets its own answer, which the exit would take along.
void Balancer::Impl::handle(const ExitDue &)
{
    for (auto &[id, open] : m_open) {
        giveUp(open);
    }
    m_open.clear();
}

void Balancer::Impl::handle(const BalanceTick &)
{
    updateSuspension();
    endExpired();
    hedgeUnresponsive();
    probeTargets();
    updatePlans();
    m_quarantine.removeExpired(m_now);
    expireLimits();
}

std::size_t Balancer::Impl::openRequests() const
{
    return m_open.size();
}

std::vector<ServiceDemand> Balancer::Impl::demand(TimePoint now) const
{
    return m_demand.demand(now);
}

double Balancer::Impl::linkUse(TimePoint now) const
{
    const auto link = static_cast<double>(m_settings.linkBytesPerSecond);
    return link > 0 ? m_requestedBytes.perSecond(now) / link : 0;
}

std::uint64_t Balancer::Impl::tableVersion() const
{
    return m_table ? m_table->version : 0;
}

std::size_t Balancer::Impl::usableTargets(TimePoint now) const
{
    return m_targets.usable(now);
}

std::map<std::string, RegionShares> Balancer::Impl::regionShares() const
{
    return m_plans.shares();
}

const Quarantine &Balancer::Impl::quarantine() const
{
    return m_quarantine;
}

Balancer::Balancer(BalanceSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Balancer::~Balancer() = default;

void Balancer::reduce(const BalanceEvent &event, TimePoint now, BalanceEffects &out)
{
    m_impl->reduce(event, now, out);
}

std::size_t Balancer::openRequests() const
{
    return m_impl->openRequests();
}

std::vector<ServiceDemand> Balancer::demand(TimePoint now) const
{
    return m_impl->demand(now);
}

double Balancer::linkUse(TimePoint now) const
{
    return m_impl->linkUse(now);
}

std::uint64_t Balancer::tableVersion() const
{
    return m_impl->tableVersion();
}

bool Balancer::isSuspended() const
{
    return m_impl->isSuspended();
}

std::vector<std::string> Balancer::unreachableServices() const
{
    return m_impl->unreachableServices();
}

bool Balancer::maySend(RequestId id, unsigned attempt) const
{
    return !m_impl->withheldBecause(id, attempt);
}

std::optional<Withheld> Balancer::withheldBecause(RequestId id, unsigned attempt) const
{
    return m_impl->withheldBecause(id, attempt);
}

std::size_t Balancer::usableTargets(TimePoint now) const
{
    return m_impl->usableTargets(now);
}

std::map<std::string, std::map<std::string, double>> Balancer::regionShares() const
{
    return m_impl->regionShares();
}

const Quarantine &Balancer::quarantine() const
{
    return m_impl->quarantine();
}

const BackpressureTable &Balancer::backpressure() const
{
    return m_impl->backpressure();
}

} // namespace pepperlug::fleet
