//===- Relaying.cpp - Requests at a host that reaches no target -----------===//
//
// A host that is cut off from all targets of a service relays requests for it to another entry host, which decides
// about them as about those of its own callers: admission, tenants' limits, quarantine, target and retries, but not by
// older routing than that of the first host. A relayed request is not relayed again. What the other host answers is
// passed on, except refusals that concern that host alone; these state that the request has not run, so a second host
// is tried.
//
//===----------------------------------------------------------------------===//
#include "Impl.h"
#include "RetryAdvice.h"

namespace pepperlug::fleet
{

namespace
{

/// Entry hosts that one request is relayed to, one after the other.
constexpr unsigned MaxRelays = 2;

} // namespace

bool Balancer::Impl::isCutOff(const std::string &service) const
{
    const auto it = m_reachability.find(service);
    return it != m_reachability.end() && it->second.isCutOff();
}

std::vector<std::string> Balancer::Impl::unreachableServices() const
{
    std::vector<std::string> services;
    for (const auto &[service, reachability] : m_reachability) {
        if (reachability.isCutOff()) {
            services.push_back(service);
        }
    }
    return services;
}

void Balancer::Impl::recordReachability(const std::string &service, AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::Shed:
    case AttemptOutcome::WrongTarget:
    case AttemptOutcome::Endless:
        m_reachability[service].recordAnswer(m_now);
        return;
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Lost:
    case AttemptOutcome::TimedOut:
        m_reachability[service].recordFailure();
        return;
    case AttemptOutcome::Withdrawn:
        return;
    }
}

void Balancer::Impl::probeTargets()
{
    for (auto &[service, reachability] : m_reachability) {
        probeTargets(service, reachability);
    }
}

void Balancer::Impl::probeTargets(const std::string &service, TargetReachability &reachability)
{
    const std::size_t wanted = reachability.startProbes(m_now);
    if (wanted == 0) {
        return;
    }
    const std::vector<const TargetState *> targets = m_targets.sample(wanted, service, m_random, m_now);
    reachability.limitRound(targets.size(), m_now);
    for (const TargetState *it : targets) {
        m_out->emplace_back(ProbeTarget{service, it->report.address});
    }
}

// Failures while this host was cut off say nothing about the targets.
void Balancer::Impl::handle(const TargetProbed &event)
{
    if (!m_reachability[event.service].recordProbe(event.result, m_now)) {
        return;
    }
    const bool isNowCutOff = isCutOff(event.service);
    m_out->emplace_back(ReachabilityChanged{event.service, isNowCutOff});
    if (isNowCutOff) {
        relayUnanswered(event.service);
    } else {
        m_targets.forgetFailures(event.service);
    }
}

bool Balancer::Impl::startRelay(OpenRequest &open)
{
    if (open.request.relayedByIndex || open.relaysStarted >= MaxRelays || m_now >= open.deadline
        || !m_stop.admits(open.deadline)) {
        return false;
    }
    const RelayHost *host = m_relays.choose({open.service, open.regions, open.triedRelays}, m_random, m_now);
    if (host == nullptr) {
        return false;
    }
    const bool isAtTarget = !open.attempts.empty() || open.runs.mayHaveRun();
    if (!isAtTarget) {
        refundToken(open, Refusal::NotReached); // the other host takes a token
        open.token.reset();
    }
    ++open.relaysStarted;
    open.triedRelays.insert(host->id);
    const unsigned number = ++open.attemptsStarted;
    Attempt &attempt = open.attempts[number];
    attempt.relay = host->id;
    attempt.address = host->address;
    attempt.region = host->region;
    attempt.routingIndex = m_routingIndex;
    attempt.startedAt = m_now;
    StartAttempt effect;
    effect.id = open.request.id;
    effect.attempt = number;
    effect.relay = host->id;
    effect.address = host->address;
    effect.service = open.service;
    effect.tableVersion = open.tableVersion;
    effect.routingIndex = m_routingIndex;
    effect.region = host->region;
    effect.route = open.route.name;
    effect.homeRegions = open.regions.homes();
    effect.isOnceOnly = !open.runs.isRepeatable();
    effect.timeLeft = open.deadline - m_now;
    effect.loadAge = Milliseconds(-1);
    m_out->emplace_back(std::move(effect));
    return true;
}

void Balancer::Impl::relayOrRefuse(OpenRequest &open)
{
    const std::uint64_t id = static_cast<std::uint64_t>(open.request.id);
    OpenRequest &kept = m_open[id] = std::move(open);
    if (!startRelay(kept)) {
        refuse(kept, Refusal::NotReached);
        m_open.erase(id);
    }
}

// Repeatable requests whose targets are silent need not wait for the cut to end.
void Balancer::Impl::relayUnanswered(const std::string &service)
{
    for (auto &[id, open] : m_open) {
        const bool isAtTarget = open.attempts.size() == 1 && open.attempts.begin()->second.relay.empty();
        const bool mayRelay =
            !open.hasAnswerBegun && m_stop.admits(open.deadline) && mayUseAnotherTarget(open, AttemptOutcome::TimedOut);
        if (open.service == service && isAtTarget && mayRelay && refreshRoute(open) && open.runs.isRepeatable()
            && m_budgets.at(open.service).take(m_now, m_targets.entryHosts())) {
            startRelay(open);
        }
    }
}

// Nothing is learnt from a relayed attempt: its time is not the target's.
void Balancer::Impl::endRelay(OpenRequest &open, const Attempt &attempt, const AttemptEnded &event)
{
    const std::uint64_t id = static_cast<std::uint64_t>(open.request.id);
    if (event.outcome == AttemptOutcome::Answered) {
        cancelAttempts(open);
        m_out->emplace_back(PassAnswer{open.request.id, event.attempt}); // last, as it ends the request
        m_open.erase(id);
        return;
    }
    const bool isNotRun = isCertainlyNotRun(event.outcome);
    if (!isNotRun) {
        open.runs.recordRun();
    }
    if (event.outcome == AttemptOutcome::Withdrawn) {
        --open.relaysStarted;
        open.triedRelays.erase(attempt.relay);
    } else if (event.refusal != Refusal::RoutingLate) {
        m_relays.avoid(attempt.relay, m_now);
    }
    if (!open.attempts.empty()) {
        return; // another attempt is in progress
    }
    const bool hasRoute = refreshRoute(open);
    if (hasRoute && isNotRun && open.runs.mayRunNow() && !open.hasAnswerBegun && startRelay(open)) {
        return;
    }
    failRequest(open, refusalAfter(open, event.outcome, hasRoute, Refusal::NotReached));
    m_open.erase(id);
}

} // namespace pepperlug::fleet
