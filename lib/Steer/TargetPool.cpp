//===- TargetPool.cpp - Choice among the targets of a slice ---------------===//
//
// Two targets are drawn at random and the one with the lower score is chosen. The score is based on the results of
// requests. Reports of a target about itself can only raise its score, since health and load endpoints lag behind and
// are sometimes wrong.
//
//===----------------------------------------------------------------------===//
#include "TargetPool.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pepperlug
{

namespace
{

constexpr double AverageWeight = 0.1; ///< weight of a new value in a moving average
constexpr unsigned FailuresToEject = 5; ///< consecutive failures
constexpr double FailureShareToEject = 0.6;
constexpr unsigned MaxEjectionFactor = 8; ///< bound on the growth of ejection times
constexpr double FailurePenalty = 4;
constexpr double MinScoredLatency = 0.0005; ///< seconds
constexpr double MinTrust = 0.2;
constexpr double MaxTrustedLoad = 0.8; ///< reported load up to which the score is not raised
constexpr auto MaxReportAge = std::chrono::seconds(5); ///< age up to which a report counts
constexpr auto ShedBackOff = Milliseconds(100); ///< back-off of a target that shed a request
constexpr auto CancelDelay = Milliseconds(50); ///< time until the target has received a cancellation
constexpr unsigned RandomTries = 6;
constexpr double HedgeDeviations = 4; ///< mean deviations above the mean latency
constexpr auto MinHedgeDelay = Milliseconds(20);

void updateAverage(double &mean, double value)
{
    mean = mean == 0 ? value : mean + AverageWeight * (value - mean);
}

} // namespace

std::vector<unsigned> sliceOf(const Bundle &bundle, ZoneId zone, const std::vector<HostId> &owners, HostId host)
{
    std::vector<unsigned> slots(bundle.targets.size(), 0);
    const auto own = std::find(owners.begin(), owners.end(), host);
    if (own == owners.end()) {
        return slots;
    }
    const auto index = static_cast<std::size_t>(own - owners.begin());
    std::vector<std::size_t> next(bundle.services.size(), 0);
    for (std::size_t target = 0; target < bundle.targets.size(); ++target) {
        if (bundle.targets[target].zone != zone) {
            continue;
        }
        std::size_t &slot = next[idx(bundle.targets[target].service)];
        for (unsigned n = 0; n < bundle.targets[target].slots; ++n, ++slot) {
            slots[target] += slot % owners.size() == index ? 1 : 0;
        }
    }
    return slots;
}

void TargetPool::applyBundle(const Bundle &bundle, ZoneId zone, TimePoint now)
{
    // Targets in the first bundle after a restart are warm already; slow start applies to targets added later only.
    const bool isFirst = m_locations.empty();
    // Ids change with the bundle, so cancelled attempts end early here.
    Effects ignored;
    endCancelledAttempts(TimePoint::max(), ignored);
    std::map<std::string, TargetState> previous;
    for (ServicePool &pool : m_services) {
        for (TargetState &state : pool.targets) {
            previous.emplace(state.name, std::move(state));
        }
    }
    m_policy = bundle.policy;
    m_services.assign(bundle.services.size(), {});
    m_locations.assign(bundle.targets.size(), std::nullopt);
    for (std::size_t n = 0; n < bundle.targets.size(); ++n) {
        const Target &target = bundle.targets[n];
        if (target.zone != zone) {
            continue;
        }
        ServicePool &pool = m_services[idx(target.service)];
        TargetState state;
        state.slowStartAt = isFirst ? now - bundle.policy.slowStart : now;
        const auto it = previous.find(target.name);
        if (it != previous.end()) {
            state = it->second;
        }
        state.id = makeId<TargetId>(n);
        state.name = target.name;
        m_locations[n] =
            Location{static_cast<std::uint32_t>(idx(target.service)), static_cast<std::uint32_t>(pool.targets.size())};
        pool.inFlight += state.inFlight;
        pool.targets.push_back(std::move(state));
    }
}

void TargetPool::setSlots(const std::vector<unsigned> &slots)
{
    for (ServicePool &pool : m_services) {
        pool.sliceSlots = 0;
        for (TargetState &state : pool.targets) {
            state.slots = slots[idx(state.id)];
            pool.sliceSlots += state.slots;
        }
    }
}

TargetPool::TargetState *TargetPool::find(TargetId target)
{
    return const_cast<TargetState *>(std::as_const(*this).find(target));
}

const TargetPool::TargetState *TargetPool::find(TargetId target) const
{
    if (idx(target) >= m_locations.size() || !m_locations[idx(target)]) {
        return nullptr;
    }
    const Location &location = *m_locations[idx(target)];
    return &m_services[location.service].targets[location.index];
}

double TargetPool::score(const TargetState &state, TimePoint now) const
{
    const double load = static_cast<double>(state.inFlight + 1) / static_cast<double>(state.limit);
    const double latency = std::max(state.latency, MinScoredLatency);
    const double trust = now < state.reportedAt + MaxReportAge ? state.trust : 1;
    return load * latency * (1 + FailurePenalty * state.failureShare) / trust;
}

bool TargetPool::isUsable(const TargetState &state, const std::vector<TargetId> &excluded, TimePoint now) const
{
    if (state.inFlight >= state.limit || now < state.backOffUntil) {
        return false;
    }
    return std::find(excluded.begin(), excluded.end(), state.id) == excluded.end();
}

// Near saturation most draws hit full targets; a pass over all targets then finds those with free slots.
std::optional<TargetId> TargetPool::choose(ServiceId service, const std::vector<TargetId> &excluded, TimePoint now,
                                           std::mt19937_64 &random)
{
    const std::vector<TargetState> &targets = m_services[idx(service)].targets;
    if (targets.empty()) {
        return std::nullopt;
    }
    const TargetState *best = nullptr;
    unsigned drawn = 0;
    for (unsigned n = 0; n < RandomTries && drawn < 2; ++n) {
        const TargetState &state = targets[random() % targets.size()];
        if (&state == best || !isUsable(state, excluded, now)) {
            continue;
        }
        ++drawn;
        best = best == nullptr || score(state, now) < score(*best, now) ? &state : best;
    }
    if (best != nullptr) {
        return best->id;
    }
    for (const TargetState &state : targets) {
        if (isUsable(state, excluded, now) && (best == nullptr || score(state, now) < score(*best, now))) {
            best = &state;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->id;
}

void TargetPool::startRequest(TargetId target)
{
    TargetState *state = find(target);
    assert(state != nullptr && "the target is in another zone");
    ++state->inFlight;
    ++m_services[m_locations[idx(target)]->service].inFlight;
}

void TargetPool::endRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now, Effects &out)
{
    TargetState *state = find(target);
    if (state == nullptr) {
        return; // a bundle has removed or moved the target in the meantime
    }
    ServicePool &pool = m_services[m_locations[idx(target)]->service];
    assert(state->inFlight > 0 && "endRequest() without startRequest()");
    --state->inFlight;
    --pool.inFlight;
    if (evidence == TargetEvidence::Success) {
        updateAverage(state->latency, secondsOf(latency));
        updateAverage(pool.latency, secondsOf(latency));
        updateAverage(pool.deviation, std::abs(secondsOf(latency) - pool.latency));
        state->failuresInRow = 0;
    }
    if (evidence == TargetEvidence::Shed) {
        state->backOffUntil = now + ShedBackOff;
    }
    if (evidence == TargetEvidence::Success || evidence == TargetEvidence::Failure) {
        state->failureShare += AverageWeight * ((evidence == TargetEvidence::Failure ? 1 : 0) - state->failureShare);
    }
    if (evidence == TargetEvidence::Failure) {
        ++state->failuresInRow;
        const bool isOutlier = state->failuresInRow >= FailuresToEject || state->failureShare > FailureShareToEject;
        if (isOutlier && now >= state->ejectedUntil && mayEject(pool, now)) {
            eject(*state, now, out);
            updateLimits(pool, now);
        }
    }
    reportIfIdle(*state, now, out);
}

bool TargetPool::mayEject(const ServicePool &pool, TimePoint now) const
{
    const auto ejected = std::count_if(pool.targets.begin(), pool.targets.end(),
                                       [&](const TargetState &state) { return now < state.ejectedUntil; });
    return static_cast<double>(ejected + 1) <= m_policy.ejectShare * static_cast<double>(pool.targets.size());
}

void TargetPool::eject(TargetState &state, TimePoint now, Effects &out)
{
    state.ejections = std::min(state.ejections + 1, MaxEjectionFactor);
    state.ejectedUntil = now + m_policy.ejectTime * state.ejections;
    state.slowStartAt = state.ejectedUntil;
    state.failuresInRow = 0;
    state.failureShare = 0;
    out.emplace_back(StateChange{"target ejected", state.name, std::to_string(state.ejections) + " times"});
}

void TargetPool::reportIfIdle(TargetState &state, TimePoint now, Effects &out)
{
    if (state.drains == 0 || state.inFlight > 0 || state.idleReported) {
        return;
    }
    state.idleReported = true;
    const auto took = std::chrono::duration_cast<Milliseconds>(now - state.drainStarted);
    out.emplace_back(StateChange{"target idle", state.name, "drain took " + std::to_string(took.count()) + " ms"});
}

void TargetPool::cancelRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now)
{
    m_cancelledAttempts.push_back({now + CancelDelay, target, evidence, latency});
}

void TargetPool::endCancelledAttempts(TimePoint now, Effects &out)
{
    while (!m_cancelledAttempts.empty() && m_cancelledAttempts.front().until <= now) {
        const CancelledAttempt it = m_cancelledAttempts.front();
        m_cancelledAttempts.pop_front();
        endRequest(it.target, it.evidence, it.latency, now, out);
    }
}

void TargetPool::setDrain(TargetId target, DrainSource source, bool isLeaving, TimePoint now, Effects &out)
{
    TargetState *state = find(target);
    if (state == nullptr) {
        return;
    }
    const unsigned before = state->drains;
    const auto bit = static_cast<unsigned>(source);
    state->drains = isLeaving ? before | bit : before & ~bit;
    if (before == 0 && state->drains != 0) {
        state->drainStarted = now;
        state->idleReported = false;
        out.emplace_back(StateChange{"target draining", state->name, ""});
        reportIfIdle(*state, now, out);
    }
    if (before != 0 && state->drains == 0) {
        state->slowStartAt = now;
        out.emplace_back(StateChange{"target back", state->name, ""});
    }
    updateLimits(m_services[m_locations[idx(target)]->service], now);
}

void TargetPool::applyReport(const TargetReported &report, TimePoint now)
{
    TargetState *state = find(report.target);
    if (state == nullptr) {
        return;
    }
    state->reportedAt = now;
    const double overload = std::clamp((report.load - MaxTrustedLoad) / (1 - MaxTrustedLoad), 0.0, 1.0);
    state->trust = report.healthy ? std::max(MinTrust, 1 - overload) : MinTrust;
}

unsigned TargetPool::currentLimit(const TargetState &state, TimePoint now) const
{
    if (state.drains != 0 || now < state.ejectedUntil || state.slots == 0) {
        return 0;
    }
    const Duration warmFor = now - state.slowStartAt;
    if (warmFor >= m_policy.slowStart) {
        return state.slots;
    }
    const double share = secondsOf(warmFor) / secondsOf(m_policy.slowStart);
    return std::max(1U, static_cast<unsigned>(std::floor(share * state.slots)));
}

void TargetPool::updateLimits(ServicePool &pool, TimePoint now)
{
    unsigned usableSlots = 0;
    for (TargetState &state : pool.targets) {
        state.limit = currentLimit(state, now);
        usableSlots += state.limit;
    }
    const auto ceiling = static_cast<unsigned>(std::floor(m_policy.ceiling * pool.sliceSlots + 1e-9));
    pool.capacity = std::min(usableSlots, ceiling);
}

void TargetPool::refresh(TimePoint now, Effects &out)
{
    endCancelledAttempts(now, out);
    for (ServicePool &pool : m_services) {
        updateLimits(pool, now);
    }
}

bool TargetPool::contains(TargetId target) const
{
    return find(target) != nullptr;
}

unsigned TargetPool::sliceSlots(ServiceId service) const
{
    return m_services[idx(service)].sliceSlots;
}

unsigned TargetPool::capacity(ServiceId service) const
{
    return m_services[idx(service)].capacity;
}

unsigned TargetPool::inFlight(ServiceId service) const
{
    return m_services[idx(service)].inFlight;
}

Duration TargetPool::meanLatency(ServiceId service) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_services[idx(service)].latency));
}

Duration TargetPool::hedgeDelay(ServiceId service) const
{
    const ServicePool &pool = m_services[idx(service)];
    const double after = pool.latency + HedgeDeviations * pool.deviation;
    return std::max(Duration(MinHedgeDelay),
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(after)));
}

TargetView TargetPool::view(TargetId target) const
{
    const TargetState *state = find(target);
    if (state == nullptr) {
        return {};
    }
    const bool isEjected = state->drains == 0 && state->slots > 0 && state->limit == 0;
    return {state->slots, state->inFlight, state->drains != 0, isEjected};
}

} // namespace pepperlug
