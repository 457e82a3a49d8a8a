//===- TargetSet.cpp - Known targets and the choice among them ------------===//
//
// With an affinity key, the choice is the first of the few targets that rendezvous hashing ranks highest for the key
// that would answer in time, or else the least loaded of them. All entry hosts compute the same ranking without
// communication, so a target sees the same keys again and has their data cached. If these targets are full, no other
// one is used: a target caches a limited number of keys, so a key that spills over evicts another one elsewhere, all
// targets become slow, and more keys spill over.
//
//===----------------------------------------------------------------------===//
#include "TargetSet.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Half-life of a reported load.
constexpr std::chrono::duration<double> LoadHalfLife{0.6};
/// Share of the bound on cold targets that is used, since hosts may disagree on the membership for a moment.
constexpr double ColdMargin = 0.8;
/// Unconfirmed targets are unusable after this time. A target reports several times within it.
constexpr std::chrono::seconds ConfirmationTimeout{6};
constexpr Milliseconds MinBlock{700};
constexpr Milliseconds MaxBlock{4000};
constexpr unsigned FailuresToBlock = 3;
/// Upper bound of a back-off: a target must not be lost for good by one answer.
constexpr std::chrono::minutes MaxBackoff{5};
/// Share of a back-off over which hosts that began it at the same moment spread their return, and its upper bound.
constexpr double ReturnSpreadShare = 0.25;
constexpr std::chrono::seconds MaxReturnSpread{1};
/// Advised wait while a target runs its first request after a back-off.
constexpr Milliseconds RecoveryRetryAfter{200};

} // namespace

double TargetState::slots() const
{
    return std::max(1U, load && load->slots > 0 ? load->slots : report.slots);
}

// The reported load includes the requests that this host had there at that time. The requests of other hosts are
// assumed to decay towards zero, so that a target that was full is tried again soon.
double TargetState::estimatedRequests(TimePoint now) const
{
    if (!load) {
        return inFlight;
    }
    const double reported = static_cast<double>(load->running) + load->waiting;
    const double others = std::max(0.0, reported - inFlightAtLoad);
    const double halves = secondsOf(now - loadAt) / LoadHalfLife.count();
    return inFlight + others * std::exp2(-halves);
}

bool TargetState::isBackingOff(TimePoint now) const
{
    return now < backoffUntil;
}

bool TargetState::isCold(TimePoint now) const
{
    return now < coldUntil;
}

bool TargetState::isUnresponsive(TimePoint now, Duration responseTimeout) const
{
    return awaitingSince && now - *awaitingSince > responseTimeout;
}

TargetSet::TargetSet(const BalanceSettings &settings)
    : m_settings(settings)
{
}

std::string TargetSet::regionOf(const std::string &zone) const
{
    const auto it = m_settings.regionOfZone.find(zone);
    return it == m_settings.regionOfZone.end() ? zone : it->second;
}

void TargetSet::apply(const RegistryChanges &changes, TimePoint now)
{
    for (const AgedReport<TargetReport> &it : changes.targets) {
        const auto [entry, isNew] = m_targets.try_emplace(it.report.id);
        TargetState &target = entry->second;
        if (!isNew && it.report.startedAt < target.report.startedAt) {
            continue;
        }
        if (it.report.startedAt > target.report.startedAt) {
            target = {}; // requests, load, failures and cold time belong to the previous incarnation
        }
        target.unconfirmedSince.reset(); // the reporting host knows the target, even by an older report
        if (!isNew && it.report.sequence < target.report.sequence && it.report.presence != Presence::Gone) {
            continue;
        }
        const TimePoint reportedAt = now - it.age;
        const bool isEvidence = !target.presumedColdSince || reportedAt > *target.presumedColdSince;
        target.report = it.report;
        target.region = regionOf(it.report.zone);
        target.hash = hash64(it.report.id);
        target.isSilent = it.isSilent;
        if (isEvidence) {
            setColdUntil(target, reportedAt + it.report.coldLeft, now);
            target.presumedColdSince.reset();
        }
        if (it.report.presence == Presence::Gone && target.inFlight == 0) {
            m_targets.erase(entry);
        }
    }
    for (const AgedReport<HostReport> &it : changes.hosts) {
        const bool isLive = it.report.presence == Presence::Ready && !it.isSilent;
        const std::size_t before = m_entryHosts.size();
        if (it.report.role == HostRole::Entry && isLive) {
            m_entryHosts[it.report.id] = it.report;
        } else {
            m_entryHosts.erase(it.report.id);
        }
        m_entryHostsVersion += m_entryHosts.size() != before ? 1 : 0;
    }
}

// A control host that has just started knows no targets. Running targets report to one soon; no host would ever report
// that a target is gone if it ended while no control host was running.
void TargetSet::markOthersUnconfirmed(const RegistryChanges &known, TimePoint now)
{
    std::unordered_map<std::string_view, Milliseconds> knownStartTimes;
    for (const AgedReport<TargetReport> &it : known.targets) {
        knownStartTimes[it.report.id] = it.report.startedAt;
    }
    for (auto &[id, target] : m_targets) {
        const auto it = knownStartTimes.find(id);
        const bool isKnown = it != knownStartTimes.end() && it->second >= target.report.startedAt;
        if (!isKnown) {
            target.unconfirmedSince = target.unconfirmedSince.value_or(now);
        }
    }
}

void TargetSet::setTable(std::shared_ptr<const RouteTable> table)
{
    m_table = std::move(table);
}

// Targets of a zone whose evacuation has ended may have become cold without having reported it yet.
void TargetSet::setEvacuatedZones(const std::set<std::string> &zones, TimePoint now)
{
    for (auto &[id, target] : m_targets) {
        const bool hasEvacuationEnded = m_evacuated.contains(target.report.zone) && !zones.contains(target.report.zone);
        const ServiceTraits *traits = m_table ? m_table->service(target.report.service) : nullptr;
        if (hasEvacuationEnded && traits != nullptr) {
            target.presumedColdSince = now;
            setColdUntil(target, std::max(target.coldUntil, now + traits->coldTime), now);
        }
    }
    m_evacuated = zones;
}

bool TargetSet::acceptsRequests(const TargetState &target) const
{
    return target.report.presence == Presence::Ready && !target.isLeaving && !m_evacuated.contains(target.report.zone);
}

bool TargetSet::isUsable(const TargetState &target, TimePoint now) const
{
    if (target.unconfirmedSince && now - *target.unconfirmedSince > ConfirmationTimeout) {
        return false;
    }
    return acceptsRequests(target) && !target.isSilent && !target.isRetired;
}

bool TargetSet::warmsTarget(const HostReport &host, const TargetState &target) const
{
    const bool zoneHasHost = std::any_of(m_entryHosts.begin(), m_entryHosts.end(),
                                         [&](const auto &it) { return it.second.zone == target.report.zone; });
    if (zoneHasHost) {
        return host.zone == target.report.zone;
    }
    const bool regionHasHost = std::any_of(m_entryHosts.begin(), m_entryHosts.end(),
                                           [&](const auto &it) { return regionOf(it.second.zone) == target.region; });
    return !regionHasHost || regionOf(host.zone) == target.region;
}

std::size_t TargetSet::warmingHostCount(const TargetState &target) const
{
    return static_cast<std::size_t>(std::count_if(m_entryHosts.begin(), m_entryHosts.end(),
                                                  [&](const auto &it) { return warmsTarget(it.second, target); }));
}

bool TargetSet::isWarmingHost(const TargetState &target) const
{
    HostReport self;
    self.zone = m_settings.zone;
    return warmsTarget(self, target);
}

std::optional<Duration> TargetSet::coldRequestInterval(const TargetState &target) const
{
    const ServiceTraits *traits = m_table ? m_table->service(target.report.service) : nullptr;
    if (traits == nullptr || traits->coldPerSecond <= 0) {
        return std::nullopt;
    }
    const double rate =
        traits->coldPerSecond * ColdMargin / static_cast<double>(std::max<std::size_t>(1, warmingHostCount(target)));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

void TargetSet::setColdUntil(TargetState &target, TimePoint until, TimePoint now)
{
    if (!target.isCold(now)) {
        target.nextColdRequestAt.reset();
    }
    target.coldUntil = until;
}

// Only the entry hosts of a cold target's own zone send to it, each at its share of the rate that the target can serve,
// so the sum over all hosts is bounded without communication. All hosts receive the report at the same moment, so each
// starts at a different phase of the interval; otherwise they would all send at once, which exceeds the target's
// capacity if there are many hosts. The phase is computed at first use, because a host that has just started learns of
// targets before the routing and the other hosts, which the interval depends on.
bool TargetSet::mayReceiveWhileCold(TargetState &target, TimePoint now) const
{
    if (!isWarmingHost(target)) {
        return false;
    }
    if (!target.nextColdRequestAt) {
        const Duration interval = coldRequestInterval(target).value_or(Duration(0));
        const double phase = unitInterval(hash64(target.report.id, m_settings.seed));
        target.nextColdRequestAt = now + std::chrono::duration_cast<Duration>(interval * phase);
    }
    return now >= *target.nextColdRequestAt;
}

TargetState *TargetSet::chooseAmong(std::vector<TargetState *> &candidates, const TargetQuery &query, TimePoint now)
{
    const auto utilization = [now](const TargetState *it) {
        return (it->estimatedRequests(now) + 1) / it->slots();
    };
    const auto isLessLoaded = [&](const TargetState *lhs, const TargetState *rhs) {
        return utilization(lhs) < utilization(rhs);
    };
    if (query.affinity == 0) {
        return *std::min_element(candidates.begin(), candidates.end(), isLessLoaded);
    }
    std::vector<std::pair<std::uint64_t, TargetState *>> ranked;
    ranked.reserve(candidates.size());
    for (TargetState *it : candidates) {
        ranked.emplace_back(
            hash64(std::string_view(reinterpret_cast<const char *>(&it->hash), sizeof it->hash), query.affinity), it);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &lhs, const auto &rhs) { return lhs.first > rhs.first; });
    std::vector<TargetState *> first;
    for (std::size_t n = 0; n < std::min<std::size_t>(m_settings.policy.targetsPerKey, ranked.size()); ++n) {
        if (utilization(ranked[n].second) <= query.admissibleUtilization) {
            return ranked[n].second;
        }
        first.push_back(ranked[n].second);
    }
    return *std::min_element(first.begin(), first.end(), isLessLoaded);
}

TargetChoice TargetSet::choose(const TargetQuery &query, TimePoint now)
{
    std::vector<TargetState *> available;
    std::vector<TargetState *> blocked;
    std::optional<Duration> soonest;
    for (auto &[id, target] : m_targets) {
        const bool fits = target.report.service == query.service
            && (query.homeRegions == nullptr || isHome(*query.homeRegions, target))
            && (query.region.empty() || query.region == target.region) && !query.excluded.contains(id);
        if (!fits || !isUsable(target, now) || (target.isCold(now) && !mayReceiveWhileCold(target, now))) {
            continue;
        }
        if (const std::optional<Duration> wait = untilCapacity(target, query, now)) {
            soonest = std::min(soonest.value_or(*wait), *wait);
            continue;
        }
        const bool isUntrusted = now < target.blockedUntil || target.isUnresponsive(now, query.responseTimeout);
        (isUntrusted ? blocked : available).push_back(&target);
    }
    if (!available.empty()) {
        return {chooseAmong(available, query, now), std::nullopt};
    }
    // All candidates failed recently or are unresponsive: use the one whose block ends first.
    const auto it =
        std::min_element(blocked.begin(), blocked.end(), [](const TargetState *lhs, const TargetState *rhs) {
            return lhs->blockedUntil < rhs->blockedUntil;
        });
    return it == blocked.end() ? TargetChoice{nullptr, soonest} : TargetChoice{*it, std::nullopt};
}

// Extends a back-off in progress, and never shortens it.
Duration TargetSet::startBackoff(const Incarnation &incarnation, std::chrono::duration<double> backoff, TimePoint now)
{
    TargetState *target = find(incarnation);
    if (target == nullptr) {
        return Duration(0);
    }
    const std::chrono::duration<double> bounded = std::min<std::chrono::duration<double>>(backoff, MaxBackoff);
    const std::chrono::duration<double> spread =
        std::min<std::chrono::duration<double>>(bounded * ReturnSpreadShare, MaxReturnSpread);
    const double phase = unitInterval(hash64(incarnation.id, m_settings.seed));
    target->backoffUntil =
        std::max(target->backoffUntil, now + std::chrono::duration_cast<Duration>(bounded + spread * phase));
    target->isRecovering = true;
    return target->backoffUntil - now;
}

// Returns nothing if the target's backpressure allows a request now. After a back-off a target gets one request at a
// time until it has run one.
std::optional<Duration> TargetSet::untilCapacity(TargetState &target, const TargetQuery &query, TimePoint now) const
{
    if (target.isBackingOff(now)) {
        return target.backoffUntil - now;
    }
    if (target.isRecovering && target.inFlight > 0) {
        return RecoveryRetryAfter;
    }
    return untilLimitAllows(target, query, now);
}

void TargetSet::setLimit(const Incarnation &incarnation, std::optional<double> perSecond)
{
    TargetState *target = find(incarnation);
    if (target == nullptr) {
        return;
    }
    if (!perSecond) {
        target->bucket.reset();
    }
    target->limit = perSecond;
}

void TargetSet::setLeaving(const Incarnation &incarnation)
{
    TargetState *target = find(incarnation);
    if (target != nullptr) {
        target->isLeaving = true;
    }
}

void TargetSet::refundLimit(const Incarnation &incarnation)
{
    TargetState *target = find(incarnation);
    if (target != nullptr && target->bucket) {
        target->bucket->take(-1);
    }
}

// Returns how many live entry hosts rendezvous hashing ranks before this one for the target.
std::size_t TargetSet::limitRank(TargetState &target) const
{
    if (target.rankedAt != m_entryHostsVersion) {
        const std::uint64_t own = hash64(m_settings.host, target.hash);
        target.limitRank =
            static_cast<std::size_t>(std::count_if(m_entryHosts.begin(), m_entryHosts.end(), [&](const auto &it) {
                return it.first != m_settings.host && hash64(it.first, target.hash) < own;
            }));
        target.rankedAt = m_entryHostsVersion;
    }
    return target.limitRank;
}

// Returns nothing if a request may be sent now. Less urgent requests leave one saved request to urgent ones.
std::optional<Duration> TargetSet::untilLimitAllows(TargetState &target, const TargetQuery &query, TimePoint now) const
{
    if (!target.limit) {
        return std::nullopt;
    }
    const std::size_t hosts = m_entryHosts.size() + (m_entryHosts.contains(m_settings.host) ? 0 : 1);
    const std::size_t owners = ownerCount(*target.limit, hosts);
    if (limitRank(target) >= owners) {
        // An owner may have capacity; this host can't know how soon.
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / *target.limit));
    }
    if (!target.bucket) {
        // Starts with a fraction of a request, so that owners that learn of a limit at once do not all send at once.
        target.bucket.emplace(unitInterval(hash64(target.report.id, m_settings.seed)));
    }
    const BucketConfig share = ownerShare(*target.limit, owners);
    const double wanted = query.isUrgent ? 1 : 2;
    return target.bucket->has(wanted, share, now) ? std::nullopt
                                                  : std::optional(target.bucket->timeUntil(wanted, share));
}

TargetState *TargetSet::find(const Incarnation &incarnation)
{
    return const_cast<TargetState *>(std::as_const(*this).find(incarnation));
}

const TargetState *TargetSet::find(const Incarnation &incarnation) const
{
    const auto it = m_targets.find(incarnation.id);
    const bool isThere = it != m_targets.end() && it->second.report.startedAt == incarnation.startedAt;
    return isThere ? &it->second : nullptr;
}

bool TargetSet::isHome(const std::vector<std::string> &homeRegions, const TargetState &target)
{
    return homeRegions.empty() || std::find(homeRegions.begin(), homeRegions.end(), target.region) != homeRegions.end();
}

void TargetSet::attemptStarted(TargetState &target, TimePoint now)
{
    ++target.inFlight;
    target.awaitingSince = target.awaitingSince.value_or(now);
    const std::optional<Duration> interval = target.isCold(now) ? coldRequestInterval(target) : std::nullopt;
    if (interval) {
        target.nextColdRequestAt = now + *interval;
    }
    if (target.bucket) {
        target.bucket->take(1);
    }
}

void TargetSet::attemptCancelled(const Incarnation &incarnation)
{
    TargetState *target = find(incarnation);
    if (target != nullptr && target->inFlight > 0) {
        --target->inFlight;
    }
    if (target != nullptr && target->inFlight == 0) {
        target->awaitingSince.reset();
    }
}

void TargetSet::attemptEnded(const Incarnation &incarnation, AttemptOutcome outcome,
                             const std::optional<TargetLoad> &load, TimePoint now)
{
    TargetState *target = find(incarnation);
    if (target == nullptr) {
        return;
    }
    attemptCancelled(incarnation);
    if (load) {
        target->load = load;
        target->inFlightAtLoad = target->inFlight;
        target->loadAt = now;
    }
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::Shed:
        target->isRecovering &= outcome == AttemptOutcome::Shed;
        target->failures = 0;
        target->awaitingSince = target->inFlight > 0 ? std::optional(now) : std::nullopt;
        return;
    case AttemptOutcome::WrongTarget:
        target->isRetired = true;
        return;
    case AttemptOutcome::Withdrawn:
        return; // does not concern the target
    case AttemptOutcome::NotSent:
        markUnreachable(incarnation, now);
        return;
    case AttemptOutcome::Lost:
    case AttemptOutcome::TimedOut:
        ++target->failures;
        blockAfterFailures(*target, now);
        return;
    }
}

void TargetSet::markUnreachable(const Incarnation &incarnation, TimePoint now)
{
    TargetState *target = find(incarnation);
    if (target == nullptr) {
        return;
    }
    target->failures = std::max(target->failures + 1, FailuresToBlock);
    blockAfterFailures(*target, now);
}

void TargetSet::blockAfterFailures(TargetState &target, TimePoint now)
{
    if (target.failures < FailuresToBlock) {
        return;
    }
    const unsigned doublings = std::min(target.failures - FailuresToBlock, 4U);
    target.blockedUntil = now + std::min<Duration>(MinBlock * (1 << doublings), MaxBlock);
}

std::map<std::string, double> TargetSet::capacity(std::string_view service, std::optional<double> serviceTime,
                                                  TimePoint now) const
{
    std::map<std::string, double> slots;
    for (const auto &[id, target] : m_targets) {
        if (target.report.service != service || !isUsable(target, now) || target.isBackingOff(now)) {
            continue;
        }
        const bool isLimited = target.limit && serviceTime;
        slots[target.region] += isLimited ? std::min(target.slots(), *target.limit * *serviceTime) : target.slots();
    }
    return slots;
}

void TargetSet::addRestored(const std::vector<TargetReport> &targets, TimePoint now)
{
    for (const TargetReport &it : targets) {
        const auto [entry, isNew] = m_targets.try_emplace(it.id);
        if (!isNew) {
            continue;
        }
        TargetState &target = entry->second;
        target.report = it;
        target.region = regionOf(it.zone);
        target.hash = hash64(it.id);
        target.unconfirmedSince = now - (ConfirmationTimeout - RestoredTargetLifetime);
    }
}

void TargetSet::setDemand(std::vector<RegionDemand> demand)
{
    m_demand = std::move(demand);
}

std::map<std::string, double> TargetSet::demand(std::string_view service) const
{
    std::map<std::string, double> slots;
    for (const auto &[id, host] : m_entryHosts) {
        slots[regionOf(host.zone)]; // a region with entry hosts may have no demand
    }
    for (const RegionDemand &it : m_demand) {
        slots[it.region] += it.service == service ? it.slots : 0;
    }
    return slots;
}

std::size_t TargetSet::usable(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &it) { return isUsable(it.second, now); }));
}

std::size_t TargetSet::entryHosts() const
{
    return m_entryHosts.size();
}

} // namespace pepperlug::fleet
