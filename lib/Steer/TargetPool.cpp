//===- TargetPool.cpp - Choice among the targets of a slice ---------------===//
//
// Two targets are drawn at random and the better one is taken. "Better" rests on what requests themselves showed; what
// a target reports about itself can only lower trust in it, since health and load endpoints lag and sometimes mislead.
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

constexpr double AverageWeight = 0.1;
constexpr unsigned FailuresToEject = 5;
constexpr double FailureShareToEject = 0.6;
constexpr unsigned MaxEjectionFactor = 8;
constexpr double FailurePenalty = 4;
constexpr double MinScoredLatency = 0.0005;
constexpr double MinTrust = 0.2;
constexpr double LoadOfFullTrust = 0.8;
constexpr auto ReportLife = std::chrono::seconds(5);
constexpr auto ShedPause = Milliseconds(100);
constexpr auto CancelLinger = Milliseconds(50);
constexpr unsigned RandomTries = 6;
constexpr double HedgeDeviations = 4;
constexpr auto MinHedgeDelay = Milliseconds(20);

void average(double &mean, double value)
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
    const auto position = static_cast<std::size_t>(own - owners.begin());
    std::vector<std::size_t> next(bundle.services.size(), 0);
    for (std::size_t target = 0; target < bundle.targets.size(); ++target) {
        if (bundle.targets[target].zone != zone) {
            continue;
        }
        std::size_t &slot = next[idx(bundle.targets[target].service)];
        for (unsigned n = 0; n < bundle.targets[target].slots; ++n, ++slot) {
            slots[target] += slot % owners.size() == position ? 1 : 0;
        }
    }
    return slots;
}

void TargetPool::applyBundle(const Bundle &bundle, ZoneId zone, TimePoint now)
{
    // A restarted host meets targets that have been warm all along; only later newcomers start slowly.
    const bool isFirst = m_places.empty();
    // Ids change with the bundle; what lingers is over a little early then.
    Effects ignored;
    endLingering(TimePoint::max(), ignored);
    std::map<std::string, Local> known;
    for (ServicePool &pool : m_services) {
        for (Local &local : pool.locals) {
            known.emplace(local.name, std::move(local));
        }
    }
    m_policy = bundle.policy;
    m_services.assign(bundle.services.size(), {});
    m_places.assign(bundle.targets.size(), std::nullopt);
    for (std::size_t n = 0; n < bundle.targets.size(); ++n) {
        const Target &target = bundle.targets[n];
        if (target.zone != zone) {
            continue;
        }
        ServicePool &pool = m_services[idx(target.service)];
        Local local;
        local.warmFrom = isFirst ? now - bundle.policy.slowStart : now;
        const auto it = known.find(target.name);
        if (it != known.end()) {
            local = it->second;
        }
        local.id = makeId<TargetId>(n);
        local.name = target.name;
        m_places[n] =
            Place{static_cast<std::uint32_t>(idx(target.service)), static_cast<std::uint32_t>(pool.locals.size())};
        pool.inFlight += local.inFlight;
        pool.locals.push_back(std::move(local));
    }
}

void TargetPool::setSlots(const std::vector<unsigned> &slots)
{
    for (ServicePool &pool : m_services) {
        pool.sliceSlots = 0;
        for (Local &local : pool.locals) {
            local.slots = slots[idx(local.id)];
            pool.sliceSlots += local.slots;
        }
    }
}

TargetPool::Local *TargetPool::find(TargetId target)
{
    return const_cast<Local *>(std::as_const(*this).find(target));
}

const TargetPool::Local *TargetPool::find(TargetId target) const
{
    if (idx(target) >= m_places.size() || !m_places[idx(target)]) {
        return nullptr;
    }
    const Place &place = *m_places[idx(target)];
    return &m_services[place.service].locals[place.position];
}

double TargetPool::score(const Local &local, TimePoint now) const
{
    const double load = static_cast<double>(local.inFlight + 1) / static_cast<double>(local.limit);
    const double latency = std::max(local.latency, MinScoredLatency);
    const double trust = now < local.reportedAt + ReportLife ? local.trust : 1;
    return load * latency * (1 + FailurePenalty * local.failure) / trust;
}

bool TargetPool::usable(const Local &local, const std::vector<TargetId> &excluded, TimePoint now) const
{
    if (local.inFlight >= local.limit || now < local.avoidUntil) {
        return false;
    }
    return std::find(excluded.begin(), excluded.end(), local.id) == excluded.end();
}

// Near saturation most draws hit full targets; then one pass over all finds what is left.
std::optional<TargetId> TargetPool::choose(ServiceId service, const std::vector<TargetId> &excluded, TimePoint now,
                                           std::mt19937_64 &random)
{
    const std::vector<Local> &locals = m_services[idx(service)].locals;
    if (locals.empty()) {
        return std::nullopt;
    }
    const Local *best = nullptr;
    unsigned drawn = 0;
    for (unsigned n = 0; n < RandomTries && drawn < 2; ++n) {
        const Local &local = locals[random() % locals.size()];
        if (&local == best || !usable(local, excluded, now)) {
            continue;
        }
        ++drawn;
        best = best == nullptr || score(local, now) < score(*best, now) ? &local : best;
    }
    if (best != nullptr) {
        return best->id;
    }
    for (const Local &local : locals) {
        if (usable(local, excluded, now) && (best == nullptr || score(local, now) < score(*best, now))) {
            best = &local;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->id;
}

void TargetPool::startRequest(TargetId target)
{
    Local *local = find(target);
    assert(local != nullptr && "a request is started at a target of another zone");
    ++local->inFlight;
    ++m_services[m_places[idx(target)]->service].inFlight;
}

void TargetPool::endRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now, Effects &out)
{
    Local *local = find(target);
    if (local == nullptr) {
        return; // a bundle has moved the target away in the meantime
    }
    ServicePool &pool = m_services[m_places[idx(target)]->service];
    assert(local->inFlight > 0 && "a request ends at a target that runs none");
    --local->inFlight;
    --pool.inFlight;
    if (evidence == TargetEvidence::Success) {
        average(local->latency, secondsOf(latency));
        average(pool.latency, secondsOf(latency));
        average(pool.deviation, std::abs(secondsOf(latency) - pool.latency));
        local->failuresInRow = 0;
    }
    if (evidence == TargetEvidence::Shed) {
        local->avoidUntil = now + ShedPause;
    }
    if (evidence == TargetEvidence::Success || evidence == TargetEvidence::Failure) {
        local->failure += AverageWeight * ((evidence == TargetEvidence::Failure ? 1 : 0) - local->failure);
    }
    if (evidence == TargetEvidence::Failure) {
        ++local->failuresInRow;
        const bool isOutlier = local->failuresInRow >= FailuresToEject || local->failure > FailureShareToEject;
        if (isOutlier && now >= local->ejectedUntil && mayEject(pool, now)) {
            eject(*local, now, out);
            recount(pool, now);
        }
    }
    tellIfIdle(*local, now, out);
}

bool TargetPool::mayEject(const ServicePool &pool, TimePoint now) const
{
    const auto ejected = std::count_if(pool.locals.begin(), pool.locals.end(),
                                       [&](const Local &local) { return now < local.ejectedUntil; });
    return static_cast<double>(ejected + 1) <= m_policy.ejectShare * static_cast<double>(pool.locals.size());
}

void TargetPool::eject(Local &local, TimePoint now, Effects &out)
{
    local.ejections = std::min(local.ejections + 1, MaxEjectionFactor);
    local.ejectedUntil = now + m_policy.ejectTime * local.ejections;
    local.warmFrom = local.ejectedUntil;
    local.failuresInRow = 0;
    local.failure = 0;
    out.emplace_back(StateChange{"target ejected", local.name, std::to_string(local.ejections) + " times"});
}

void TargetPool::tellIfIdle(Local &local, TimePoint now, Effects &out)
{
    if (local.drains == 0 || local.inFlight > 0 || local.idleTold) {
        return;
    }
    local.idleTold = true;
    const auto took = std::chrono::duration_cast<Milliseconds>(now - local.drainStarted);
    out.emplace_back(StateChange{"target idle", local.name, "drain took " + std::to_string(took.count()) + " ms"});
}

void TargetPool::cancelRequest(TargetId target, TargetEvidence evidence, Duration latency, TimePoint now)
{
    m_lingering.push_back({now + CancelLinger, target, evidence, latency});
}

void TargetPool::endLingering(TimePoint now, Effects &out)
{
    while (!m_lingering.empty() && m_lingering.front().until <= now) {
        const Lingering it = m_lingering.front();
        m_lingering.pop_front();
        endRequest(it.target, it.evidence, it.latency, now, out);
    }
}

void TargetPool::setDrain(TargetId target, DrainSource source, bool isLeaving, TimePoint now, Effects &out)
{
    Local *local = find(target);
    if (local == nullptr) {
        return;
    }
    const unsigned before = local->drains;
    const auto bit = static_cast<unsigned>(source);
    local->drains = isLeaving ? before | bit : before & ~bit;
    if (before == 0 && local->drains != 0) {
        local->drainStarted = now;
        local->idleTold = false;
        out.emplace_back(StateChange{"target draining", local->name, ""});
        tellIfIdle(*local, now, out);
    }
    if (before != 0 && local->drains == 0) {
        local->warmFrom = now;
        out.emplace_back(StateChange{"target back", local->name, ""});
    }
    recount(m_services[m_places[idx(target)]->service], now);
}

void TargetPool::applyReport(const TargetReported &report, TimePoint now)
{
    Local *local = find(report.target);
    if (local == nullptr) {
        return;
    }
    local->reportedAt = now;
    const double overload = std::clamp((report.load - LoadOfFullTrust) / (1 - LoadOfFullTrust), 0.0, 1.0);
    local->trust = report.healthy ? std::max(MinTrust, 1 - overload) : MinTrust;
}

unsigned TargetPool::limitOf(const Local &local, TimePoint now) const
{
    if (local.drains != 0 || now < local.ejectedUntil || local.slots == 0) {
        return 0;
    }
    const Duration warmFor = now - local.warmFrom;
    if (warmFor >= m_policy.slowStart) {
        return local.slots;
    }
    const double share = secondsOf(warmFor) / secondsOf(m_policy.slowStart);
    return std::max(1U, static_cast<unsigned>(std::floor(share * local.slots)));
}

void TargetPool::recount(ServicePool &pool, TimePoint now)
{
    unsigned usable = 0;
    for (Local &local : pool.locals) {
        local.limit = limitOf(local, now);
        usable += local.limit;
    }
    const auto ceiling = static_cast<unsigned>(std::floor(m_policy.ceiling * pool.sliceSlots + 1e-9));
    pool.capacity = std::min(usable, ceiling);
}

void TargetPool::refresh(TimePoint now, Effects &out)
{
    endLingering(now, out);
    for (ServicePool &pool : m_services) {
        recount(pool, now);
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
    const Local *local = find(target);
    if (local == nullptr) {
        return {};
    }
    const bool isEjected = local->drains == 0 && local->slots > 0 && local->limit == 0;
    return {local->slots, local->inFlight, local->drains != 0, isEjected};
}

} // namespace pepperlug
