//===- TargetSet.cpp - State of the targets known to an entry host --------===//
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
/// Upper bound of a back-off: a target must not be lost for good by one answer.
constexpr std::chrono::minutes MaxBackoff{5};
/// Share of a back-off over which hosts that began it at the same moment spread their return, and its upper bound.
constexpr double ReturnSpreadShare = 0.25;
constexpr std::chrono::seconds MaxReturnSpread{1};
/// Advised wait while a target runs its first request after a back-off.
constexpr Milliseconds RecoveryRetryAfter{200};

} // namespace

double TargetState::utilization(TimePoint now) const
{
    return (estimatedRequests(now) + 1) / slots();
}

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
    , m_entryHosts(settings.regionOfZone)
{
}

std::string TargetSet::regionOf(const std::string &zone) const
{
    return m_entryHosts.regionOf(zone);
}

void TargetSet::addToRing(TargetState &target)
{
    m_rings[target.report.service][target.region].add(target);
    updateShare(target);
}

void TargetSet::removeFromRing(TargetState &target)
{
    const auto rings = m_rings.find(target.report.service);
    const auto ring = rings->second.find(target.region);
    ring->second.remove(target);
    if (ring->second.size() == 0) {
        rings->second.erase(ring);
    }
    if (rings->second.empty()) {
        m_rings.erase(rings);
    }
}

void TargetSet::updateShare(TargetState &target)
{
    ++m_visited;
    const bool mayBeUsable = acceptsRequests(target) && !target.isSilent && !target.isRetired;
    // These conditions end by themselves, or depend on the service time.
    const bool isTimed = mayBeUsable && (target.unconfirmedSince || target.limit || target.backoffUntil != TimePoint{});
    const unsigned slots = mayBeUsable && !isTimed ? static_cast<unsigned>(target.slots()) : 0;
    m_rings.find(target.report.service)->second.find(target.region)->second.setShare(target, slots, isTimed);
}

void TargetSet::apply(const RegistryChanges &changes, TimePoint now)
{
    for (const AgedReport<TargetReport> &it : changes.targets) {
        ++m_visited;
        if (it.report.presence == Presence::Gone) {
            m_departed.add(it.report, now);
        } else if (m_departed.covers(it.report, now)) {
            continue;
        }
        const auto [entry, isNew] = m_targets.try_emplace(it.report.id);
        TargetState &target = entry->second;
        if (!isNew && it.report.startedAt < target.report.startedAt) {
            continue;
        }
        const bool isOutdated = !isNew && it.report.startedAt == target.report.startedAt
            && it.report.sequence < target.report.sequence && it.report.presence != Presence::Gone;
        if (isOutdated) {
            target.unconfirmedSince.reset(); // the reporting host knows the target, even by an older report
            updateShare(target);
            continue;
        }
        if (!isNew) {
            removeFromRing(target);
        }
        if (it.report.startedAt > target.report.startedAt) {
            target = {}; // requests, load, failures and cold time belong to the previous incarnation
        }
        target.unconfirmedSince.reset();
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
        } else {
            addToRing(target);
        }
    }
    for (const AgedReport<HostReport> &it : changes.hosts) {
        m_entryHosts.apply(it);
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
            updateShare(target);
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
    if (zones == m_evacuated) {
        return;
    }
    for (auto &[id, target] : m_targets) {
        const bool hasEvacuationEnded = m_evacuated.contains(target.report.zone) && !zones.contains(target.report.zone);
        const ServiceTraits *traits = m_table ? m_table->service(target.report.service) : nullptr;
        if (hasEvacuationEnded && traits != nullptr) {
            target.presumedColdSince = now;
            setColdUntil(target, std::max(target.coldUntil, now + traits->coldTime), now);
        }
    }
    m_evacuated = zones;
    for (auto &[id, target] : m_targets) {
        updateShare(target);
    }
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

// The entry hosts of the target's zone warm it, or those of its region if its zone has none, or else all.
std::size_t TargetSet::warmingHostCount(const TargetState &target) const
{
    const std::size_t inZone = m_entryHosts.inZone(target.report.zone);
    const std::size_t inRegion = m_entryHosts.inRegion(target.region);
    return inZone > 0 ? inZone : (inRegion > 0 ? inRegion : m_entryHosts.size());
}

bool TargetSet::isWarmingHost(const TargetState &target) const
{
    if (m_entryHosts.inZone(target.report.zone) > 0) {
        return m_settings.zone == target.report.zone;
    }
    return m_entryHosts.inRegion(target.region) == 0 || regionOf(m_settings.zone) == target.region;
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
    updateShare(*target);
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
    updateShare(*target);
}

void TargetSet::setLeaving(const Incarnation &incarnation)
{
    TargetState *target = find(incarnation);
    if (target != nullptr) {
        target->isLeaving = true;
        updateShare(*target);
    }
}

void TargetSet::refundLimit(const Incarnation &incarnation)
{
    TargetState *target = find(incarnation);
    if (target != nullptr && target->bucket) {
        target->bucket->take(-1);
    }
}

// Returns how many live entry hosts rendezvous hashing ranks before this one for the target: of the hosts of the
// target's region if this is one of them, otherwise of the others.
std::size_t TargetSet::limitRank(TargetState &target) const
{
    if (target.rankedAt != m_entryHosts.version()) {
        const std::uint64_t own = hash64(m_settings.host, target.hash);
        const bool isInRegion = regionOf(m_settings.zone) == target.region;
        const auto &zones = m_entryHosts.zones();
        target.limitRank = static_cast<std::size_t>(std::count_if(zones.begin(), zones.end(), [&](const auto &it) {
            const bool isAlike = (m_entryHosts.regionOf(it.second) == target.region) == isInRegion;
            return it.first != m_settings.host && isAlike && hash64(it.first, target.hash) < own;
        }));
        target.rankedAt = m_entryHosts.version();
    }
    return target.limitRank;
}

// Returns the number of hosts that share the limit, or nothing if this host is none of them.
std::optional<std::size_t> TargetSet::limitOwners(TargetState &target) const
{
    const bool isInRegion = regionOf(m_settings.zone) == target.region;
    const bool isUnlisted = !m_entryHosts.contains(m_settings.host);
    const std::size_t hosts = m_entryHosts.size() + (isUnlisted ? 1 : 0);
    const std::size_t inRegion = m_entryHosts.inRegion(target.region) + (isUnlisted && isInRegion ? 1 : 0);
    const std::size_t owners = ownerCount(*target.limit, hosts);
    const std::size_t ownersHere = ownersInRegion(owners, inRegion, hosts - inRegion);
    const bool isOwner = limitRank(target) < (isInRegion ? ownersHere : owners - ownersHere);
    return isOwner ? std::optional(owners) : std::nullopt;
}

// Returns nothing if a request may be sent now. Less urgent requests leave one saved request to urgent ones.
std::optional<Duration> TargetSet::untilLimitAllows(TargetState &target, const TargetQuery &query, TimePoint now) const
{
    if (!target.limit) {
        return std::nullopt;
    }
    const std::optional<std::size_t> owners = limitOwners(target);
    if (!owners) {
        // An owner may have capacity; this host can't know how soon.
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / *target.limit));
    }
    if (!target.bucket) {
        // Starts with a fraction of a request, so that owners that learn of a limit at once do not all send at once.
        target.bucket.emplace(unitInterval(hash64(target.report.id, m_settings.seed)));
    }
    const BucketConfig share = ownerShare(*target.limit, *owners);
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

void TargetSet::attemptStarted(TargetState &target, TimePoint now)
{
    ++target.inFlight;
    target.failures.recordSent(now);
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

void TargetSet::attemptOutrun(const Incarnation &incarnation, TimePoint sentAt, TimePoint now)
{
    attemptCancelled(incarnation);
    if (TargetState *const target = find(incarnation); target != nullptr) {
        target->failures.recordOutrun(sentAt, now);
    }
}

void TargetSet::answerBegun(const Incarnation &incarnation)
{
    if (TargetState *const target = find(incarnation); target != nullptr) {
        target->failures.recordAnswer();
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
        updateShare(*target);
    }
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::Shed:
        target->isRecovering &= outcome == AttemptOutcome::Shed;
        target->failures.recordAnswer();
        target->awaitingSince = target->inFlight > 0 ? std::optional(now) : std::nullopt;
        return;
    case AttemptOutcome::WrongTarget:
        target->isRetired = true;
        updateShare(*target);
        return;
    case AttemptOutcome::Withdrawn:
        return; // does not concern the target
    case AttemptOutcome::NotSent:
        blockAtOnce(incarnation, now);
        return;
    case AttemptOutcome::Endless:
        target->failures.recordEndless(now);
        return;
    case AttemptOutcome::Lost:
    case AttemptOutcome::TimedOut:
        target->failures.recordFailure(now);
        return;
    }
}

void TargetSet::blockAtOnce(const Incarnation &incarnation, TimePoint now)
{
    TargetState *target = find(incarnation);
    if (target == nullptr) {
        return;
    }
    target->failures.recordOutage(now);
}

std::map<std::string, double> TargetSet::capacity(std::string_view service, std::optional<double> serviceTime,
                                                  TimePoint now) const
{
    std::map<std::string, double> slots;
    const auto rings = m_rings.find(service);
    if (rings == m_rings.end()) {
        return slots;
    }
    for (const auto &[region, ring] : rings->second) {
        double sum = static_cast<double>(ring.slots());
        for (const TargetState *it : ring.timed()) {
            sum += slotsAt(*it, serviceTime, now);
        }
        if (sum > 0) {
            slots[region] = sum;
        }
    }
    return slots;
}

double TargetSet::slotsAt(const TargetState &target, std::optional<double> serviceTime, TimePoint now) const
{
    ++m_visited;
    if (!isUsable(target, now) || target.isBackingOff(now)) {
        return 0;
    }
    return target.limit && serviceTime ? std::min(target.slots(), *target.limit * *serviceTime) : target.slots();
}

void TargetSet::addRestored(const std::vector<TargetReport> &targets, TimePoint now)
{
    for (const TargetReport &it : targets) {
        if (m_departed.covers(it, now)) {
            continue;
        }
        const auto [entry, isNew] = m_targets.try_emplace(it.id);
        if (!isNew) {
            continue;
        }
        TargetState &target = entry->second;
        target.report = it;
        target.region = regionOf(it.zone);
        target.hash = hash64(it.id);
        target.unconfirmedSince = now - (ConfirmationTimeout - RestoredTargetLifetime);
        addToRing(target);
    }
}

void TargetSet::setDemand(std::vector<RegionDemand> demand)
{
    m_demand = std::move(demand);
}

std::map<std::string, double> TargetSet::demand(std::string_view service) const
{
    std::map<std::string, double> slots;
    for (const auto &[region, hosts] : m_entryHosts.byRegion()) {
        slots[region]; // a region with entry hosts may have no demand
    }
    for (const RegionDemand &it : m_demand) {
        slots[it.region] += it.service == service ? it.slots : 0;
    }
    return slots;
}

std::map<std::string, double> TargetSet::boundDemand(std::string_view service) const
{
    std::map<std::string, double> slots;
    for (const RegionDemand &it : m_demand) {
        if (it.service == service && it.boundSlots > 0) {
            slots[it.region] += it.boundSlots;
        }
    }
    return slots;
}

std::size_t TargetSet::usable(TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[service, rings] : m_rings) {
        for (const auto &[region, ring] : rings) {
            const auto isUsableNow = [&](const TargetState *it) {
                return isUsable(*it, now);
            };
            const auto timed = std::count_if(ring.timed().begin(), ring.timed().end(), isUsableNow);
            count += ring.usable() + static_cast<std::size_t>(timed);
        }
    }
    return count;
}

// Reservoir sampling: each of the targets is equally likely.
std::vector<const TargetState *> TargetSet::sample(std::size_t count, std::string_view service, std::mt19937_64 &random,
                                                   TimePoint now) const
{
    std::vector<const TargetState *> chosen;
    std::size_t seen = 0;
    for (const auto &[id, target] : m_targets) {
        const bool isOfService = target.report.service == service;
        if (!isOfService || !isUsable(target, now)) {
            continue;
        }
        ++seen;
        if (chosen.size() < count) {
            chosen.push_back(&target);
        } else if (const std::size_t place = random() % seen; place < count) {
            chosen[place] = &target;
        }
    }
    return chosen;
}

void TargetSet::forgetFailures(std::string_view service)
{
    for (auto &[id, target] : m_targets) {
        if (target.report.service == service) {
            target.failures.clear();
            target.awaitingSince.reset();
        }
    }
}

std::size_t TargetSet::entryHosts() const
{
    return m_entryHosts.size();
}

std::uint64_t TargetSet::visitedTargets() const
{
    return m_visited;
}

} // namespace pepperlug::fleet
