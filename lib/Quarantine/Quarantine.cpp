//===- Quarantine.cpp - Requests that crash the targets which run them -----===//
//
// When a target crashes, nothing shows which of its requests caused it, if any did; all that ran there are lost. A
// request that is lost in three different crashes, without an answer from any target in between, is taken to be the
// cause. A request that many callers send is present at many crashes by chance, but it is also answered all the time.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Quarantine.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Crashes after which a request is quarantined. With one fewer, a request that met the restart of a host and one loss
/// of its own would be taken for the cause; with one more, a harmful request costs a fourth target.
constexpr std::size_t CrashesToQuarantine = 3;
constexpr std::size_t CrashesToSuspect = CrashesToQuarantine - 1;
/// Ratio of the delay before a probe to the delay before the previous one.
constexpr int ProbeDelayFactor = 10;
/// Probes per request, each of which may crash a target. After them a request stays quarantined until it expires.
constexpr unsigned MaxProbes = 3;
/// How long a crash counts against a request that is not quarantined: about ten times the interval between two tries
/// of a caller who retries by hand.
constexpr std::chrono::minutes SuspectLifetime{10};
/// Time without a crash after which a quarantined request expires: it crashes at most six targets a day.
constexpr std::chrono::hours QuarantineLifetime{24};
/// Interval between two searches for expired crashes, which are kept for minutes.
constexpr std::chrono::seconds ExpiryInterval{1};
/// Requests in the table, some hundred bytes each by their fields. A crash adds those that ran or waited at the target,
/// up to ten.
constexpr std::size_t MaxSuspects = 1024;
/// Crashes kept per request, the newest ones: several times CrashesToQuarantine, so that an excuse from another host
/// finds the crashes that it is for.
constexpr std::size_t MaxCrashes = 16;

Milliseconds ageOf(TimePoint at, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - at);
}

} // namespace

const char *nameOf(QuarantineStatus status)
{
    switch (status) {
    case QuarantineStatus::Free:
        return "free";
    case QuarantineStatus::Suspected:
        return "suspected";
    case QuarantineStatus::Quarantined:
        return "shut-out";
    case QuarantineStatus::ProbeDue:
        return "trial-due";
    }
    return "free";
}

Quarantine::Quarantine(Duration firstProbeDelay)
    : m_firstProbeDelay(firstProbeDelay)
{
}

std::size_t Quarantine::countedCrashes(const Suspect &suspect)
{
    return static_cast<std::size_t>(std::count_if(suspect.crashes.begin(), suspect.crashes.end(),
                                                  [](const auto &it) { return !it.second.isExcused; }));
}

TimePoint Quarantine::newestCrash(const Suspect &suspect)
{
    TimePoint newest{};
    for (const auto &[target, crash] : suspect.crashes) {
        newest = std::max(newest, crash.detectedAt);
    }
    return newest;
}

std::optional<TimePoint> Quarantine::nextProbeAt(const Suspect &suspect) const
{
    if (suspect.grantedProbes >= MaxProbes) {
        return std::nullopt;
    }
    Duration delay = m_firstProbeDelay;
    for (unsigned n = 0; n < suspect.grantedProbes; ++n) {
        delay *= ProbeDelayFactor;
    }
    return std::max(newestCrash(suspect), suspect.newestProbeAt) + delay;
}

// Keeps the newest crashes. A known crash keeps the time of its first detection, so that a repeated report is no
// change.
bool Quarantine::addCrash(Suspect &suspect, const Incarnation &target, Crash crash)
{
    const auto known = suspect.crashes.find(target);
    if (known != suspect.crashes.end()) {
        const bool isNewExcuse = crash.isExcused && !known->second.isExcused;
        known->second.isExcused |= crash.isExcused;
        return isNewExcuse;
    }
    if (suspect.crashes.size() >= MaxCrashes) {
        const auto oldest =
            std::min_element(suspect.crashes.begin(), suspect.crashes.end(), [](const auto &lhs, const auto &rhs) {
                return lhs.second.detectedAt < rhs.second.detectedAt;
            });
        if (crash.detectedAt <= oldest->second.detectedAt) {
            return false;
        }
        suspect.crashes.erase(oldest);
    }
    suspect.crashes.emplace(target, crash);
    return true;
}

void Quarantine::markChanged(Suspect &suspect, bool isDirect)
{
    suspect.isReportedToEntryHosts |= countedCrashes(suspect) >= CrashesToSuspect;
    m_versions.recordChange(suspect.changedAt, isDirect, suspect.isReportedToEntryHosts);
}

Quarantine::Suspect &Quarantine::findOrAddSuspect(const std::string &digest)
{
    const auto it = m_suspects.find(digest);
    if (it != m_suspects.end()) {
        return it->second;
    }
    evictIfFull();
    return m_suspects[digest];
}

// Quarantined requests stay longest. Whoever could fill the table has crashed a corresponding number of targets.
void Quarantine::evictIfFull()
{
    if (m_suspects.size() < MaxSuspects) {
        return;
    }
    const auto weight = [](const auto &it) {
        return std::pair(countedCrashes(it.second), newestCrash(it.second));
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
                                      [&](const auto &lhs, const auto &rhs) { return weight(lhs) < weight(rhs); }));
}

bool Quarantine::recordCrash(const std::string &digest, const Incarnation &target, TimePoint now)
{
    Suspect &suspect = findOrAddSuspect(digest);
    const bool isNew = addCrash(suspect, target, {now, false});
    if (isNew) {
        markChanged(suspect, true);
    }
    return isNew;
}

bool Quarantine::recordAnswer(const std::string &digest)
{
    const auto it = m_suspects.find(digest);
    if (it == m_suspects.end() || countedCrashes(it->second) == 0) {
        return false;
    }
    for (auto &[target, crash] : it->second.crashes) {
        crash.isExcused = true;
    }
    markChanged(it->second, true);
    return true;
}

bool Quarantine::grantProbe(const std::string &digest, TimePoint now)
{
    if (statusOf(digest, now) != QuarantineStatus::ProbeDue) {
        return false;
    }
    Suspect &suspect = m_suspects.at(digest);
    ++suspect.grantedProbes;
    suspect.newestProbeAt = now;
    markChanged(suspect, true);
    return true;
}

bool Quarantine::merge(const SuspectReport &report, bool isDirect, TimePoint now)
{
    if (report.crashes.empty()) {
        return false;
    }
    Suspect &suspect = findOrAddSuspect(report.digest);
    bool isNew = false;
    for (const TargetCrash &it : report.crashes) {
        isNew |= addCrash(suspect, it.target, {now - it.age, it.isExcused});
    }
    if (report.grantedProbes > suspect.grantedProbes) {
        suspect.grantedProbes = report.grantedProbes;
        suspect.newestProbeAt = now - report.newestProbeAge;
        isNew = true;
    }
    if (isNew) {
        markChanged(suspect, isDirect);
    }
    return isNew;
}

bool Quarantine::isExpired(const Suspect &suspect, const Crash &crash, TimePoint now)
{
    if (countedCrashes(suspect) >= CrashesToQuarantine) {
        return now - newestCrash(suspect) > QuarantineLifetime;
    }
    return now - crash.detectedAt > SuspectLifetime;
}

bool Quarantine::removeExpired(TimePoint now)
{
    if (now < m_nextExpiry) {
        return false;
    }
    m_nextExpiry = now + ExpiryInterval;
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        Suspect &suspect = it->second;
        std::vector<Incarnation> old;
        for (const auto &[target, crash] : suspect.crashes) {
            if (isExpired(suspect, crash, now)) {
                old.push_back(target);
            }
        }
        for (const Incarnation &target : old) {
            suspect.crashes.erase(target);
        }
        it = suspect.crashes.empty() ? m_suspects.erase(it) : std::next(it);
    }
    return true;
}

QuarantineStatus Quarantine::statusOf(const std::string &digest, TimePoint now) const
{
    const auto it = m_suspects.find(digest);
    const std::size_t crashes = it == m_suspects.end() ? 0 : countedCrashes(it->second);
    if (crashes < CrashesToSuspect) {
        return QuarantineStatus::Free;
    }
    if (crashes < CrashesToQuarantine) {
        return QuarantineStatus::Suspected;
    }
    const std::optional<TimePoint> due = nextProbeAt(it->second);
    return due && now >= *due ? QuarantineStatus::ProbeDue : QuarantineStatus::Quarantined;
}

std::optional<Duration> Quarantine::timeUntilProbe(const std::string &digest, TimePoint now) const
{
    const auto it = m_suspects.find(digest);
    if (it == m_suspects.end() || countedCrashes(it->second) < CrashesToQuarantine) {
        return std::nullopt;
    }
    const std::optional<TimePoint> due = nextProbeAt(it->second);
    return due ? std::optional(std::max(Duration(0), *due - now)) : std::nullopt;
}

std::size_t Quarantine::crashCount(const std::string &digest) const
{
    const auto it = m_suspects.find(digest);
    return it == m_suspects.end() ? 0 : countedCrashes(it->second);
}

std::vector<SuspectReport> Quarantine::changedSince(std::uint64_t version, UpdateRecipient reader, TimePoint now) const
{
    std::vector<SuspectReport> reports;
    for (const auto &[digest, suspect] : m_suspects) {
        const bool isFullReport = version == 0 && reader == UpdateRecipient::ControlHost;
        if (!isFullReport && suspect.changedAt.versionFor(reader) <= version) {
            continue;
        }
        SuspectReport report{digest, {}, suspect.grantedProbes, ageOf(suspect.newestProbeAt, now)};
        for (const auto &[target, crash] : suspect.crashes) {
            report.crashes.push_back({target, ageOf(crash.detectedAt, now), crash.isExcused});
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

bool Quarantine::hasChangedSince(std::uint64_t version, UpdateRecipient reader) const
{
    return m_versions.hasChangedSince(version, reader);
}

std::uint64_t Quarantine::version() const
{
    return m_versions.version();
}

std::size_t Quarantine::size() const
{
    return m_suspects.size();
}

std::size_t Quarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto &it) {
        return countedCrashes(it.second) >= CrashesToQuarantine;
    }));
}

} // namespace pepperlug::fleet
