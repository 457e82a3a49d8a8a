//===- Registry.cpp - Reports of targets and hosts ------------------------===//
//
// Refreshes that say nothing new only matter to other control hosts, which must know that a reporter is alive; they are
// passed on as renewals, a few bytes each. Entry hosts are told of changes alone. The load of a host changes all the
// time; it travels with whatever is sent next and is never a reason to send. Hence three versions for each entry.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Registry.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// A cold time that moves by less than this between two reports is the same one.
constexpr Milliseconds ColdTolerance{600};
/// Use of a link that moves by less is not worth a message.
constexpr double LinkUseTolerance = 0.1;
/// Demand that moves by less than this part is not worth a message.
constexpr double DemandTolerance = 0.1;

// Both reports speak of the time left, each as of its own arrival.
bool endsColdAlike(const Registry::TargetEntry &old, const TargetReport &report, TimePoint receivedAt)
{
    const TimePoint before = old.receivedAt + old.report.coldLeft;
    const TimePoint after = receivedAt + report.coldLeft;
    const bool wasCold = before > receivedAt;
    const bool isCold = report.coldLeft > Milliseconds(0);
    return wasCold == isCold && (!isCold || std::chrono::abs(after - before) < ColdTolerance);
}

bool isAlike(const Registry::TargetEntry &old, const TargetReport &report, TimePoint receivedAt)
{
    const TargetReport &before = old.report;
    return before.presence == report.presence && before.slots == report.slots && before.address == report.address
        && before.service == report.service && before.zone == report.zone && endsColdAlike(old, report, receivedAt);
}

bool isAlike(const std::vector<ServiceDemand> &lhs, const std::vector<ServiceDemand> &rhs)
{
    return std::equal(
        lhs.begin(), lhs.end(), rhs.begin(), rhs.end(), [](const ServiceDemand &before, const ServiceDemand &after) {
            const double larger = std::max({before.slots, after.slots, 1.0});
            return before.service == after.service && std::abs(before.slots - after.slots) < DemandTolerance * larger;
        });
}

bool isAlike(const Registry::HostEntry &old, const HostReport &report, TimePoint)
{
    return old.report.presence == report.presence && old.report.address == report.address;
}

bool isLoadAlike(const TargetReport &, const TargetReport &)
{
    return true; // a target tells its load with its answers
}

bool isLoadAlike(const HostReport &old, const HostReport &report)
{
    // A host tells its tenants' demand anew only where it differs enough.
    return isAlike(old.demand, report.demand) && std::abs(old.linkUse - report.linkUse) < LinkUseTolerance
        && old.tenants == report.tenants;
}

// What was told stays until it differs enough to be told again; otherwise a slow rise would never be told.
void keepLoadOf(const TargetReport &, TargetReport &)
{
}

void keepLoadOf(const HostReport &old, HostReport &report)
{
    report.demand = old.demand;
    report.linkUse = old.linkUse;
    report.tenants = old.tenants;
}

bool isCold(const TargetReport &report)
{
    return report.coldLeft > Milliseconds(0);
}

bool isCold(const HostReport &)
{
    return false;
}

Milliseconds startOf(const TargetReport &report)
{
    return report.startedAt;
}

// A host draws a new id at each start.
Milliseconds startOf(const HostReport &)
{
    return Milliseconds(0);
}

// Of all that isAlike() compares, but for the cold time, which runs down by itself.
std::uint32_t digestOf(const TargetReport &report)
{
    const std::string text = std::string(nameOf(report.presence)) + "|" + std::to_string(report.slots) + "|"
        + report.address + "|" + report.service + "|" + report.zone;
    return static_cast<std::uint32_t>(hash64(text));
}

std::uint32_t digestOf(const HostReport &report)
{
    return static_cast<std::uint32_t>(hash64(std::string(nameOf(report.presence)) + "|" + report.address));
}

void shorten(TargetReport &report, Duration passed)
{
    report.coldLeft = std::max(Milliseconds(0), report.coldLeft - std::chrono::duration_cast<Milliseconds>(passed));
}

void shorten(HostReport &, Duration)
{
}

template <typename Report>
AgedReport<Report> aged(const Registry::Entry<Report> &entry, TimePoint now)
{
    return {entry.report, std::chrono::duration_cast<Milliseconds>(now - entry.receivedAt), entry.isSilent};
}

} // namespace

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

TargetReport departureOf(const TargetReport &known, const TargetReport &said)
{
    TargetReport departure = known;
    departure.presence = Presence::Gone;
    const bool isKnownLife = said.startedAt == Milliseconds(0) || said.startedAt == known.startedAt;
    if (isKnownLife) {
        ++departure.sequence;
    } else {
        departure.startedAt = said.startedAt;
    }
    return departure;
}

Registry::Registry(RegistrySettings settings)
    : m_settings(settings)
{
}

template <typename Report>
bool Registry::take(std::map<std::string, Entry<Report>> &table, const Report &report, TimePoint receivedAt,
                    bool isDirect)
{
    const auto [it, isNewId] = table.try_emplace(report.id);
    Entry<Report> &entry = it->second;
    if (!isNewId && startOf(report) < startOf(entry.report)) {
        return false;
    }
    const bool isNew = isNewId || startOf(report) > startOf(entry.report);
    if (isNew) {
        entry = {}; // nothing that was known of the incarnation before holds for this one
    }
    const bool hasEnded = !isNew && entry.report.presence == Presence::Gone;
    // An end is final whatever its number: whoever passed it on may not have known the newest one.
    const bool isLate = !isNew && report.presence != Presence::Gone && report.sequence <= entry.report.sequence;
    if (hasEnded || isLate) {
        return false;
    }
    const bool isDeparture = report.presence != Presence::Ready;
    // A departure that was heard from others is told again by the host that hears it from its author: whoever told of
    // it first may have ended, and this host is asked for the promise now.
    const bool isAsked = isDirect && isDeparture && !entry.isDirect;
    const bool matters = isNew || entry.isSilent || isAsked || !isAlike(entry, report, receivedAt);
    const bool isLoadKept = !isNew && isLoadAlike(entry.report, report);
    Report kept = report;
    if (isLoadKept) {
        keepLoadOf(entry.report, kept);
    }
    entry.report = std::move(kept);
    entry.receivedAt = receivedAt;
    entry.isDirect = isDirect || (entry.isDirect && isDeparture);
    entry.isSilent = false;
    entry.receivedVersion = ++m_version;
    if (!isLoadKept) {
        entry.loadVersion = m_version;
    }
    if (matters) {
        noteChange(entry);
    }
    return true;
}

// The version was raised before.
template <typename Report>
void Registry::noteChange(Entry<Report> &entry)
{
    entry.changedVersion = m_version;
    m_changedVersion = m_version;
}

bool Registry::receive(const TargetReport &report, TimePoint now)
{
    const bool isTaken = take(m_targets, report, now, true);
    if (isTaken) {
        settleAddress(report);
    } else if (report.presence != Presence::Ready) {
        hearAgain(report);
    }
    return isTaken;
}

// As in take(), for a departure that says nothing that is not known.
void Registry::hearAgain(const TargetReport &report)
{
    TargetEntry &entry = m_targets[report.id];
    const bool isOfKnownLife = entry.report.startedAt == report.startedAt;
    if (entry.isDirect || !isOfKnownLife) {
        return;
    }
    entry.isDirect = true;
    entry.receivedVersion = ++m_version;
    noteChange(entry);
}

bool Registry::receive(const HostReport &report, TimePoint now)
{
    return take(m_hosts, report, now, true);
}

// An address is that of the incarnation that was heard from last. A report may be late by the time of a cut, and come
// after its author has ended and another one has taken its address; so the others have not ended by that, they are
// taken to be silent. Whoever lives reports again and has the address from then on.
void Registry::settleAddress(const TargetReport &report)
{
    if (report.presence != Presence::Ready) {
        return;
    }
    const auto isAt = [&](const TargetEntry &entry) {
        return entry.report.presence == Presence::Ready && entry.report.address == report.address;
    };
    const TargetEntry *holder = nullptr;
    for (const auto &[id, entry] : m_targets) {
        if (isAt(entry) && (holder == nullptr || entry.receivedAt >= holder->receivedAt)) {
            holder = &entry;
        }
    }
    for (auto &[id, entry] : m_targets) {
        if (isAt(entry) && &entry != holder && !entry.isSilent) {
            entry.isSilent = true;
            entry.receivedVersion = ++m_version;
            noteChange(entry);
        }
    }
}

// An entry host has its address for itself.
void Registry::settleAddress(const HostReport &)
{
}

template <typename Report>
bool Registry::renew(std::map<std::string, Entry<Report>> &table, const Renewal &renewal, TimePoint now)
{
    const auto it = table.find(renewal.id);
    if (it == table.end()) {
        return false;
    }
    const TimePoint receivedAt = now - renewal.age;
    Report report = it->second.report;
    if (renewal.startedAt != startOf(report)) {
        return renewal.startedAt < startOf(report);
    }
    const bool isOlder = renewal.sequence <= report.sequence || report.presence == Presence::Gone;
    if (isOlder) {
        return true;
    }
    if (renewal.digest != digestOf(report) || (renewal.isCold && !isCold(report))) {
        return false;
    }
    report.sequence = renewal.sequence;
    // What the last report said of its future is counted from the renewal now.
    shorten(report, receivedAt - it->second.receivedAt);
    if (take(table, report, receivedAt, false)) {
        settleAddress(report);
    }
    return true;
}

bool Registry::merge(const RegistryChanges &changes, TimePoint now)
{
    for (const AgedReport<TargetReport> &it : changes.targets) {
        if (take(m_targets, it.report, now - it.age, false)) {
            settleAddress(it.report);
        }
    }
    for (const AgedReport<HostReport> &it : changes.hosts) {
        take(m_hosts, it.report, now - it.age, false);
    }
    bool isAllKnown = true;
    for (const Renewal &it : changes.renewals) {
        isAllKnown &= renew(m_targets, it, now) || renew(m_hosts, it, now);
    }
    return isAllKnown;
}

template <typename Report>
void Registry::expireIn(std::map<std::string, Entry<Report>> &table, TimePoint now, Duration expiry, bool mayExpire)
{
    for (auto it = table.begin(); it != table.end();) {
        Entry<Report> &entry = it->second;
        const Duration age = now - entry.receivedAt;
        const bool hasEnded = entry.report.presence == Presence::Gone || entry.isSilent;
        if (hasEnded && age > m_settings.retention) {
            it = table.erase(it);
            continue;
        }
        if (mayExpire && !hasEnded && age > expiry) {
            entry.isSilent = true;
            ++m_version;
            noteChange(entry);
        }
        ++it;
    }
}

void Registry::expire(TimePoint now, bool mayExpire)
{
    expireIn(m_targets, now, m_settings.targetExpiry, mayExpire);
    expireIn(m_hosts, now, m_settings.hostExpiry, mayExpire);
}

RegistryChanges Registry::receivedSince(std::uint64_t version, TimePoint now) const
{
    RegistryChanges changes;
    const auto add = [&](const auto &table, auto &whole) {
        for (const auto &[id, entry] : table) {
            if (version != 0 && (!entry.isDirect || entry.receivedVersion <= version)) {
                continue;
            }
            if (version == 0 || std::max(entry.changedVersion, entry.loadVersion) > version) {
                whole.push_back(aged(entry, now));
            } else {
                const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.receivedAt);
                changes.renewals.push_back({id, entry.report.sequence, age, digestOf(entry.report),
                                            isCold(entry.report), startOf(entry.report)});
            }
        }
    };
    add(m_targets, changes.targets);
    add(m_hosts, changes.hosts);
    return changes;
}

std::vector<Registry::LiveEntryHost>
Registry::liveEntryHosts(const std::map<std::string, std::string> &regionOfZone) const
{
    std::vector<LiveEntryHost> hosts;
    for (const auto &[id, entry] : m_hosts) {
        const auto region = regionOfZone.find(entry.report.zone);
        if (entry.report.role == HostRole::Entry && isLive(entry) && region != regionOfZone.end()) {
            hosts.push_back({&region->second, &entry.report});
        }
    }
    return hosts;
}

std::unordered_map<std::uint64_t, double> Registry::tenantDemand(TimePoint now, Duration hold) const
{
    const auto isCounted = [&](const HostEntry &entry) {
        const HostReport &report = entry.report;
        return report.role == HostRole::Entry && report.presence != Presence::Gone && now - entry.receivedAt <= hold;
    };
    std::unordered_map<std::string_view, const HostEntry *>
        newest; // by address: a host that starts again has another id
    for (const auto &[id, entry] : m_hosts) {
        if (isCounted(entry)) {
            const HostEntry *&known = newest[entry.report.address];
            known = known == nullptr || known->receivedAt < entry.receivedAt ? &entry : known;
        }
    }
    std::unordered_map<std::uint64_t, double> sums;
    for (const auto &[address, entry] : newest) {
        for (const TenantDemand &it : entry->report.tenants) {
            sums[it.tenant] += it.perSecond;
        }
    }
    return sums;
}

std::vector<RegionDemand> Registry::demand(const std::map<std::string, std::string> &regionOfZone) const
{
    std::map<std::pair<std::string, std::string>, double> slots;
    for (const LiveEntryHost &host : liveEntryHosts(regionOfZone)) {
        for (const ServiceDemand &it : host.report->demand) {
            slots[{*host.region, it.service}] += it.slots;
        }
    }
    std::vector<RegionDemand> demand;
    demand.reserve(slots.size());
    for (const auto &[place, sum] : slots) {
        demand.push_back({place.first, place.second, sum});
    }
    return demand;
}

RegistryChanges Registry::changedSince(std::uint64_t version, TimePoint now) const
{
    RegistryChanges changes;
    for (const auto &[id, entry] : m_targets) {
        if (entry.changedVersion > version) {
            changes.targets.push_back(aged(entry, now));
        }
    }
    for (const auto &[id, entry] : m_hosts) {
        if (entry.changedVersion > version) {
            changes.hosts.push_back(aged(entry, now));
        }
    }
    return changes;
}

std::uint64_t Registry::version() const
{
    return m_version;
}

std::uint64_t Registry::changedVersion() const
{
    return m_changedVersion;
}

const std::map<std::string, Registry::TargetEntry> &Registry::targets() const
{
    return m_targets;
}

const std::map<std::string, Registry::HostEntry> &Registry::hosts() const
{
    return m_hosts;
}

const Registry::TargetEntry *Registry::target(const std::string &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

bool Registry::isLive(const HostEntry &entry)
{
    return !entry.isSilent && entry.report.presence == Presence::Ready;
}

} // namespace pepperlug::fleet
