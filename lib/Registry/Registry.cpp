//===- Registry.cpp - Reports of targets and hosts ------------------------===//
//
// A report without a change matters only to other control hosts, which must know that its author is alive; it is passed
// on as a renewal of a few bytes. Entry hosts receive changes alone. The load of a host changes all the time; it is
// sent along with the next update and is never a reason to send one. Hence three versions for each entry.
//
// Entries are kept in the order of these versions, by address, and by the time at which they may expire, so that no
// report and no poll needs a walk over the table. Each change of an entry has a version of its own.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Registry.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Difference below which the ends of the cold time in two reports are the same.
constexpr Milliseconds ColdTolerance{600};
/// Change of a link's use below which it is not sent again.
constexpr double LinkUseTolerance = 0.1;
/// Change of a demand below which it is not sent again, as a fraction of the larger value, or of one slot if that is
/// more.
constexpr double DemandTolerance = 0.1;

// Each report holds the time left as of its own receipt.
bool hasSameColdEnd(const Registry::TargetEntry &old, const TargetReport &report, TimePoint receivedAt)
{
    const TimePoint before = old.receivedAt + old.report.coldLeft;
    const TimePoint after = receivedAt + report.coldLeft;
    const bool wasCold = before > receivedAt;
    const bool isCold = report.coldLeft > Milliseconds(0);
    return wasCold == isCold && (!isCold || std::chrono::abs(after - before) < ColdTolerance);
}

bool isEquivalent(const Registry::TargetEntry &old, const TargetReport &report, TimePoint receivedAt)
{
    const TargetReport &before = old.report;
    return before.presence == report.presence && before.slots == report.slots && before.address == report.address
        && before.service == report.service && before.zone == report.zone && hasSameColdEnd(old, report, receivedAt);
}

bool isEquivalent(const std::vector<ServiceDemand> &lhs, const std::vector<ServiceDemand> &rhs)
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      [](const ServiceDemand &before, const ServiceDemand &after) {
                          const double larger = std::max({before.slots, after.slots, 1.0});
                          return before.service == after.service && before.homeRegion == after.homeRegion
                              && std::abs(before.slots - after.slots) < DemandTolerance * larger;
                      });
}

bool isEquivalent(const Registry::HostEntry &old, const HostReport &report, TimePoint)
{
    return old.report.presence == report.presence && old.report.address == report.address
        && old.report.unreachableServices == report.unreachableServices;
}

bool isLoadEquivalent(const TargetReport &, const TargetReport &)
{
    return true; // a target reports its load in its answers
}

bool isLoadEquivalent(const HostReport &old, const HostReport &report)
{
    return isEquivalent(old.demand, report.demand) && std::abs(old.linkUse - report.linkUse) < LinkUseTolerance;
}

// Keeps the load that was sent until the load differs enough to be sent again; otherwise a slow rise would never be
// sent.
void keepLoad(const TargetReport &, TargetReport &)
{
}

void keepLoad(const HostReport &old, HostReport &report)
{
    report.demand = old.demand;
    report.linkUse = old.linkUse;
}

bool isCold(const TargetReport &report)
{
    return report.coldLeft > Milliseconds(0);
}

bool isCold(const HostReport &)
{
    return false;
}

Milliseconds startTimeOf(const TargetReport &report)
{
    return report.startedAt;
}

template <typename Report>
bool hasEnded(const Registry::Entry<Report> &entry)
{
    return entry.report.presence == Presence::Gone || entry.isSilent;
}

// A host draws a new id at each start.
Milliseconds startTimeOf(const HostReport &)
{
    return Milliseconds(0);
}

// Covers what isEquivalent() compares, except the cold time, which runs down by itself.
std::uint32_t digestOf(const TargetReport &report)
{
    const std::string text = std::string(nameOf(report.presence)) + "|" + std::to_string(report.slots) + "|"
        + report.address + "|" + report.service + "|" + report.zone;
    return static_cast<std::uint32_t>(hash64(text));
}

std::uint32_t digestOf(const HostReport &report)
{
    std::string text = std::string(nameOf(report.presence)) + "|" + report.address;
    // Hosts of earlier versions know no such services, and compute the digest of the text so far.
    for (const std::string &service : report.unreachableServices) {
        text += "|" + service;
    }
    return static_cast<std::uint32_t>(hash64(text));
}

void reduceColdTime(TargetReport &report, Duration passed)
{
    report.coldLeft = std::max(Milliseconds(0), report.coldLeft - std::chrono::duration_cast<Milliseconds>(passed));
}

void reduceColdTime(HostReport &, Duration)
{
}

void addReport(RegistryChanges &changes, AgedReport<TargetReport> report)
{
    changes.targets.push_back(std::move(report));
}

void addReport(RegistryChanges &changes, AgedReport<HostReport> report)
{
    changes.hosts.push_back(std::move(report));
}

template <typename Report>
AgedReport<Report> withAge(const Registry::Entry<Report> &entry, TimePoint now)
{
    return {entry.report, std::chrono::duration_cast<Milliseconds>(now - entry.receivedAt), entry.isSilent};
}

} // namespace

const std::string &regionOf(const std::map<std::string, std::string> &regionOfZone, const std::string &zone)
{
    const auto it = regionOfZone.find(zone);
    return it == regionOfZone.end() ? zone : it->second;
}

const char *nameOf(Presence presence)
{
    switch (presence) {
    case Presence::Ready:
        return "ready";
    case Presence::Draining:
        return "draining";
    case Presence::Gone:
        return "gone";
    }
    return "gone";
}

TargetReport departureOf(const TargetReport &known, const TargetReport &reported)
{
    TargetReport departure = known;
    departure.presence = Presence::Gone;
    const bool isKnownIncarnation = reported.startedAt == Milliseconds(0) || reported.startedAt == known.startedAt;
    if (isKnownIncarnation) {
        ++departure.sequence;
    } else {
        departure.startedAt = reported.startedAt;
    }
    return departure;
}

Registry::Registry(RegistrySettings settings)
    : m_settings(settings)
{
}

template <typename Report>
bool Registry::apply(Table<Report> &table, const Report &report, TimePoint receivedAt, bool isDirect)
{
    ++m_visited;
    const auto [it, isNewId] = table.entries.try_emplace(report.id);
    Entry<Report> &entry = it->second;
    if (!isNewId && startTimeOf(report) < startTimeOf(entry.report)) {
        return false;
    }
    const bool isNew = isNewId || startTimeOf(report) > startTimeOf(entry.report);
    // An end is final whatever its sequence number: the host that passed it on may not have known the latest one.
    const bool isLate = report.presence != Presence::Gone && report.sequence <= entry.report.sequence;
    if (!isNew && (entry.report.presence == Presence::Gone || isLate)) {
        return false;
    }
    if (!isNewId) {
        removeFromIndex(entry);
    }
    if (isNew) {
        dropFromOrders(table, entry);
        entry = {}; // nothing known of the previous incarnation holds for this one
    }
    const bool isDeparture = report.presence != Presence::Ready;
    // A departure that came from another host is sent again once its author reports it here: the host that sent it
    // first may have stopped, and the author now waits for this host to acknowledge it.
    const bool needsResend = isDirect && isDeparture && !entry.isDirect;
    const bool isSignificant = isNew || entry.isSilent || needsResend || !isEquivalent(entry, report, receivedAt);
    const bool isLoadKept = !isNew && isLoadEquivalent(entry.report, report);
    Report kept = report;
    if (isLoadKept) {
        keepLoad(entry.report, kept);
    }
    entry.report = std::move(kept);
    entry.receivedAt = receivedAt;
    entry.isSilent = false;
    addToIndex(entry);
    recordReceipt(table, entry, isDirect || (entry.isDirect && isDeparture));
    if (!isLoadKept) {
        entry.loadVersion = m_version;
    }
    if (isSignificant) {
        recordEntryChange(table, entry);
    }
    const TimePoint expiresAt = receivedAt + expiryOf(entry);
    if (isNew || expiresAt < entry.checkAt) {
        scheduleCheck(table, entry, expiresAt);
    }
    return true;
}

template <typename Report>
void Registry::recordReceipt(Table<Report> &table, Entry<Report> &entry, bool isDirect)
{
    if (entry.isDirect) {
        table.byReceipt.erase(entry.receivedVersion);
    }
    entry.isDirect = isDirect;
    entry.receivedVersion = ++m_version;
    if (isDirect) {
        table.byReceipt.emplace(entry.receivedVersion, &entry);
    }
}

// The caller has increased the version.
template <typename Report>
void Registry::recordEntryChange(Table<Report> &table, Entry<Report> &entry)
{
    table.byChange.erase(entry.changedVersion);
    entry.changedVersion = m_version;
    table.byChange.emplace(m_version, &entry);
    m_changedVersion = m_version;
    if constexpr (std::is_same_v<Report, HostReport>) {
        m_hostsVersion = m_version;
    }
}

template <typename Report>
void Registry::dropFromOrders(Table<Report> &table, Entry<Report> &entry)
{
    table.byChange.erase(entry.changedVersion);
    if (entry.isDirect) {
        table.byReceipt.erase(entry.receivedVersion);
    }
    table.expiryChecks.erase({entry.checkAt, entry.report.id});
}

void Registry::addToIndex(TargetEntry &entry)
{
    m_targetsAt[entry.report.address].push_back(&entry);
}

void Registry::addToIndex(HostEntry &entry)
{
    if (entry.report.role == HostRole::Control) {
        m_controlHosts.emplace(entry.report.id, &entry);
    }
}

void Registry::removeFromIndex(const TargetEntry &entry)
{
    const auto it = m_targetsAt.find(entry.report.address);
    std::erase(it->second, &entry);
    if (it->second.empty()) {
        m_targetsAt.erase(it);
    }
}

void Registry::removeFromIndex(const HostEntry &entry)
{
    m_controlHosts.erase(entry.report.id);
}

bool Registry::receive(const TargetReport &report, TimePoint now)
{
    const bool isApplied = apply(m_targets, report, now, true);
    if (isApplied) {
        resolveAddressConflict(report);
    } else if (report.presence != Presence::Ready) {
        recordDirectDeparture(report);
    }
    return isApplied;
}

// Does what apply() does for a departure that came from another host first, where the report holds nothing new.
void Registry::recordDirectDeparture(const TargetReport &report)
{
    TargetEntry &entry = m_targets.entries.at(report.id);
    const bool isOfKnownIncarnation = entry.report.startedAt == report.startedAt;
    if (entry.isDirect || !isOfKnownIncarnation) {
        return;
    }
    recordReceipt(m_targets, entry, true);
    recordEntryChange(m_targets, entry);
}

bool Registry::receive(const HostReport &report, TimePoint now)
{
    return apply(m_hosts, report, now, true);
}

// An address belongs to the incarnation whose report was received last. A network partition may delay a report until
// its author has ended and another target has its address; so the other targets at the address are marked silent, not
// gone. The one that is alive reports again and has the address from then on.
void Registry::resolveAddressConflict(const TargetReport &report)
{
    if (report.presence != Presence::Ready) {
        return;
    }
    const std::vector<TargetEntry *> &candidates = m_targetsAt.at(report.address);
    m_visited += candidates.size();
    TargetEntry *holder = nullptr;
    for (TargetEntry *it : candidates) {
        const bool isHolder = holder == nullptr
            || std::tie(it->receivedAt, it->report.id) > std::tie(holder->receivedAt, holder->report.id);
        if (it->report.presence == Presence::Ready && isHolder) {
            holder = it;
        }
    }
    for (TargetEntry *it : candidates) {
        if (it->report.presence == Presence::Ready && it != holder && !it->isSilent) {
            it->isSilent = true;
            recordReceipt(m_targets, *it, it->isDirect);
            recordEntryChange(m_targets, *it);
        }
    }
}

// An entry host shares its address with no other.
void Registry::resolveAddressConflict(const HostReport &)
{
}

template <typename Report>
bool Registry::applyRenewal(Table<Report> &table, const Renewal &renewal, TimePoint now)
{
    const auto it = table.entries.find(renewal.id);
    if (it == table.entries.end()) {
        return false;
    }
    ++m_visited;
    const TimePoint receivedAt = now - renewal.age;
    Report report = it->second.report;
    if (renewal.startedAt != startTimeOf(report)) {
        return renewal.startedAt < startTimeOf(report);
    }
    const bool isOlder = renewal.sequence <= report.sequence || report.presence == Presence::Gone;
    if (isOlder) {
        return true;
    }
    if (renewal.digest != digestOf(report) || (renewal.isCold && !isCold(report))) {
        return false;
    }
    report.sequence = renewal.sequence;
    // The cold time left in the last report counts from the renewal now.
    reduceColdTime(report, receivedAt - it->second.receivedAt);
    if (apply(table, report, receivedAt, false)) {
        resolveAddressConflict(report);
    }
    return true;
}

bool Registry::merge(const RegistryChanges &changes, TimePoint now)
{
    for (const AgedReport<TargetReport> &it : changes.targets) {
        if (apply(m_targets, it.report, now - it.age, false)) {
            resolveAddressConflict(it.report);
        }
    }
    for (const AgedReport<HostReport> &it : changes.hosts) {
        apply(m_hosts, it.report, now - it.age, false);
    }
    bool isAllKnown = true;
    for (const Renewal &it : changes.renewals) {
        isAllKnown &= applyRenewal(m_targets, it, now) || applyRenewal(m_hosts, it, now);
    }
    return isAllKnown;
}

template <typename Report>
Duration Registry::expiryOf(const Entry<Report> &entry) const
{
    if (hasEnded(entry)) {
        return m_settings.retention;
    }
    return std::is_same_v<Report, TargetReport> ? m_settings.targetExpiry : m_settings.hostExpiry;
}

template <typename Report>
void Registry::scheduleCheck(Table<Report> &table, Entry<Report> &entry, TimePoint at)
{
    table.expiryChecks.erase({entry.checkAt, entry.report.id});
    entry.checkAt = at;
    table.expiryChecks.emplace(at, table.entries.find(entry.report.id)->first);
}

// An entry that was renewed since its check was scheduled is checked again when it may expire next.
template <typename Report>
void Registry::expireIn(Table<Report> &table, TimePoint now, bool mayExpire)
{
    for (auto it = table.expiryChecks.begin(); it != table.expiryChecks.end() && it->first < now;) {
        ++m_visited;
        const auto found = table.entries.find(std::string(it->second));
        Entry<Report> &entry = found->second;
        const TimePoint expiresAt = entry.receivedAt + expiryOf(entry);
        if (expiresAt < now && !hasEnded(entry) && !mayExpire) {
            ++it;
            continue;
        }
        it = table.expiryChecks.erase(it);
        if (expiresAt >= now) {
            scheduleCheck(table, entry, expiresAt);
        } else if (hasEnded(entry)) {
            removeFromIndex(entry);
            dropFromOrders(table, entry);
            table.entries.erase(found);
        } else {
            entry.isSilent = true;
            ++m_version;
            recordEntryChange(table, entry);
            scheduleCheck(table, entry, entry.receivedAt + expiryOf(entry));
        }
    }
}

void Registry::expire(TimePoint now, bool mayExpire)
{
    expireIn(m_targets, now, mayExpire);
    expireIn(m_hosts, now, mayExpire);
}

template <typename Report>
void Registry::addReceived(RegistryChanges &changes, const Table<Report> &table, std::uint64_t version,
                           TimePoint now) const
{
    for (auto it = table.byReceipt.upper_bound(version); it != table.byReceipt.end(); ++it) {
        ++m_visited;
        const Entry<Report> &entry = *it->second;
        if (std::max(entry.changedVersion, entry.loadVersion) > version) {
            addReport(changes, withAge(entry, now));
        } else {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.receivedAt);
            changes.renewals.push_back({entry.report.id, entry.report.sequence, age, digestOf(entry.report),
                                        isCold(entry.report), startTimeOf(entry.report)});
        }
    }
}

RegistryChanges Registry::receivedSince(std::uint64_t version, TimePoint now) const
{
    if (version == 0) {
        return changedSince(0, now);
    }
    RegistryChanges changes;
    addReceived(changes, m_targets, version, now);
    addReceived(changes, m_hosts, version, now);
    return changes;
}

std::vector<Registry::LiveEntryHost>
Registry::liveEntryHosts(const std::map<std::string, std::string> &regionOfZone) const
{
    std::vector<LiveEntryHost> hosts;
    m_visited += m_hosts.entries.size();
    for (const auto &[id, entry] : m_hosts.entries) {
        const auto region = regionOfZone.find(entry.report.zone);
        if (entry.report.role == HostRole::Entry && isLive(entry) && region != regionOfZone.end()) {
            hosts.push_back({&region->second, &entry.report});
        }
    }
    return hosts;
}

std::vector<RegionDemand> Registry::demand(const std::map<std::string, std::string> &regionOfZone) const
{
    std::map<std::pair<std::string, std::string>, RegionDemand> sums;
    for (const LiveEntryHost &host : liveEntryHosts(regionOfZone)) {
        for (const ServiceDemand &it : host.report->demand) {
            const bool isBound = !it.homeRegion.empty();
            RegionDemand &sum = sums[{isBound ? it.homeRegion : *host.region, it.service}];
            (isBound ? sum.boundSlots : sum.slots) += it.slots;
        }
    }
    std::vector<RegionDemand> demand;
    demand.reserve(sums.size());
    for (auto &[place, sum] : sums) {
        sum.region = place.first;
        sum.service = place.second;
        demand.push_back(std::move(sum));
    }
    return demand;
}

RegistryChanges Registry::changedSince(std::uint64_t version, TimePoint now) const
{
    RegistryChanges changes;
    const auto add = [&](const auto &table) {
        for (auto it = table.byChange.upper_bound(version); it != table.byChange.end(); ++it) {
            ++m_visited;
            addReport(changes, withAge(*it->second, now));
        }
    };
    add(m_targets);
    add(m_hosts);
    return changes;
}

std::vector<TargetReport> Registry::departuresSince(std::uint64_t version) const
{
    std::vector<TargetReport> departures;
    for (auto it = m_targets.byChange.upper_bound(version); it != m_targets.byChange.end(); ++it) {
        ++m_visited;
        const TargetReport &report = it->second->report;
        if (report.presence != Presence::Ready) {
            departures.push_back(report);
        }
    }
    return departures;
}

std::uint64_t Registry::version() const
{
    return m_version;
}

std::uint64_t Registry::changedVersion() const
{
    return m_changedVersion;
}

std::uint64_t Registry::hostsVersion() const
{
    return m_hostsVersion;
}

std::uint64_t Registry::visitedEntries() const
{
    return m_visited;
}

const std::map<std::string_view, const Registry::HostEntry *> &Registry::controlHosts() const
{
    return m_controlHosts;
}

const std::map<std::string, Registry::TargetEntry> &Registry::targets() const
{
    return m_targets.entries;
}

const std::map<std::string, Registry::HostEntry> &Registry::hosts() const
{
    return m_hosts.entries;
}

const Registry::TargetEntry *Registry::target(const std::string &id) const
{
    const auto it = m_targets.entries.find(id);
    return it == m_targets.entries.end() ? nullptr : &it->second;
}

bool Registry::isLive(const HostEntry &entry)
{
    return !entry.isSilent && entry.report.presence == Presence::Ready;
}

} // namespace pepperlug::fleet
