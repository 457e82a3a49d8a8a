//===- Quarantine.cpp - Requests that end the targets which run them -------===//
//
// Of a target that ends it is not known which of its requests ended it, if any did; what else ran there is lost with
// it. One that is lost at three different ends, and was answered by no target in between, is taken to be the cause. A
// request that many callers make is at many ends by chance, but it is also answered all the time.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Quarantine.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// With one end less, a request that had met a host's restart and one loss of its own would be taken for the cause;
/// with one more it costs its fourth target. Drawn: SpreadTest.
constexpr std::size_t EndsToShutOut = 3;
constexpr std::size_t EndsToSuspect = EndsToShutOut - 1;
/// Of each pause before a trial to the next one.
constexpr int TrialPauseFactor = 10;
/// Ends that trials may cost in all. Then a request stays shut out until it is forgotten.
constexpr unsigned MaxTrials = 3;
/// How long an end speaks against a request that is not shut out: some ten times the pause between two tries of a
/// caller who comes back by hand.
constexpr std::chrono::minutes SuspectTime{10};
/// Without an end, after which a request that is shut out is forgotten: it costs six targets a day at most.
constexpr std::chrono::hours ShutOutTime{24};
/// Between two looks for what is too old; it is kept for minutes.
constexpr std::chrono::seconds ForgetInterval{1};
/// Requests that are kept, some hundred bytes each by their fields: an end adds what ran and waited at one target, up
/// to ten.
constexpr std::size_t MaxSuspects = 1024;
/// Ends that are kept of a request, the newest ones: several times what shuts it out, so that an excuse meets them.
constexpr std::size_t MaxEnds = 16;

Milliseconds ageOf(TimePoint at, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - at);
}

} // namespace

const char *nameOf(Standing standing)
{
    switch (standing) {
    case Standing::Free:
        return "free";
    case Standing::Suspected:
        return "suspected";
    case Standing::ShutOut:
        return "shut-out";
    case Standing::TrialDue:
        return "trial-due";
    }
    return "free";
}

Quarantine::Quarantine(Duration firstTrialPause)
    : m_firstTrialPause(firstTrialPause)
{
}

std::size_t Quarantine::counted(const Suspect &suspect)
{
    return static_cast<std::size_t>(
        std::count_if(suspect.ends.begin(), suspect.ends.end(), [](const auto &it) { return !it.second.isExcused; }));
}

TimePoint Quarantine::newestEnd(const Suspect &suspect)
{
    TimePoint newest{};
    for (const auto &[target, end] : suspect.ends) {
        newest = std::max(newest, end.noticedAt);
    }
    return newest;
}

std::optional<TimePoint> Quarantine::trialDueAt(const Suspect &suspect) const
{
    if (suspect.trials >= MaxTrials) {
        return std::nullopt;
    }
    Duration pause = m_firstTrialPause;
    for (unsigned n = 0; n < suspect.trials; ++n) {
        pause *= TrialPauseFactor;
    }
    return std::max(newestEnd(suspect), suspect.trialAt) + pause;
}

// The newest ends are kept. An end that is known stays as it was noticed first, so that telling it again is no change.
bool Quarantine::addEnd(Suspect &suspect, const Incarnation &target, End end)
{
    const auto known = suspect.ends.find(target);
    if (known != suspect.ends.end()) {
        const bool isNewExcuse = end.isExcused && !known->second.isExcused;
        known->second.isExcused |= end.isExcused;
        return isNewExcuse;
    }
    if (suspect.ends.size() >= MaxEnds) {
        const auto oldest =
            std::min_element(suspect.ends.begin(), suspect.ends.end(), [](const auto &lhs, const auto &rhs) {
                return lhs.second.noticedAt < rhs.second.noticedAt;
            });
        if (end.noticedAt <= oldest->second.noticedAt) {
            return false;
        }
        suspect.ends.erase(oldest);
    }
    suspect.ends.emplace(target, end);
    return true;
}

void Quarantine::noteChange(Suspect &suspect, bool isDirect)
{
    suspect.mattersToEntryHosts |= counted(suspect) >= EndsToSuspect;
    m_versions.recordChange(suspect.changedAt, isDirect, suspect.mattersToEntryHosts);
}

Quarantine::Suspect &Quarantine::suspectOf(const std::string &digest)
{
    const auto it = m_suspects.find(digest);
    if (it != m_suspects.end()) {
        return it->second;
    }
    makeRoom();
    return m_suspects[digest];
}

// Whoever could fill the table has ended that many targets. What is shut out stays longest.
void Quarantine::makeRoom()
{
    if (m_suspects.size() < MaxSuspects) {
        return;
    }
    const auto weight = [](const auto &it) {
        return std::pair(counted(it.second), newestEnd(it.second));
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
                                      [&](const auto &lhs, const auto &rhs) { return weight(lhs) < weight(rhs); }));
}

bool Quarantine::noteEnd(const std::string &digest, const Incarnation &target, TimePoint now)
{
    Suspect &suspect = suspectOf(digest);
    const bool isNew = addEnd(suspect, target, {now, false});
    if (isNew) {
        noteChange(suspect, true);
    }
    return isNew;
}

bool Quarantine::noteAnswer(const std::string &digest)
{
    const auto it = m_suspects.find(digest);
    if (it == m_suspects.end() || counted(it->second) == 0) {
        return false;
    }
    for (auto &[target, end] : it->second.ends) {
        end.isExcused = true;
    }
    noteChange(it->second, true);
    return true;
}

bool Quarantine::grantTrial(const std::string &digest, TimePoint now)
{
    if (standing(digest, now) != Standing::TrialDue) {
        return false;
    }
    Suspect &suspect = m_suspects.at(digest);
    ++suspect.trials;
    suspect.trialAt = now;
    noteChange(suspect, true);
    return true;
}

bool Quarantine::merge(const SuspectReport &report, bool isDirect, TimePoint now)
{
    if (report.ends.empty()) {
        return false;
    }
    Suspect &suspect = suspectOf(report.digest);
    bool isNew = false;
    for (const TargetEnd &it : report.ends) {
        isNew |= addEnd(suspect, it.target, {now - it.age, it.isExcused});
    }
    if (report.trials > suspect.trials) {
        suspect.trials = report.trials;
        suspect.trialAt = now - report.trialAge;
        isNew = true;
    }
    if (isNew) {
        noteChange(suspect, isDirect);
    }
    return isNew;
}

bool Quarantine::isForgotten(const Suspect &suspect, const End &end, TimePoint now)
{
    if (counted(suspect) >= EndsToShutOut) {
        return now - newestEnd(suspect) > ShutOutTime;
    }
    return now - end.noticedAt > SuspectTime;
}

bool Quarantine::forget(TimePoint now)
{
    if (now < m_nextForget) {
        return false;
    }
    m_nextForget = now + ForgetInterval;
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        Suspect &suspect = it->second;
        std::vector<Incarnation> old;
        for (const auto &[target, end] : suspect.ends) {
            if (isForgotten(suspect, end, now)) {
                old.push_back(target);
            }
        }
        for (const Incarnation &target : old) {
            suspect.ends.erase(target);
        }
        it = suspect.ends.empty() ? m_suspects.erase(it) : std::next(it);
    }
    return true;
}

Standing Quarantine::standing(const std::string &digest, TimePoint now) const
{
    const auto it = m_suspects.find(digest);
    const std::size_t ends = it == m_suspects.end() ? 0 : counted(it->second);
    if (ends < EndsToSuspect) {
        return Standing::Free;
    }
    if (ends < EndsToShutOut) {
        return Standing::Suspected;
    }
    const std::optional<TimePoint> due = trialDueAt(it->second);
    return due && now >= *due ? Standing::TrialDue : Standing::ShutOut;
}

std::optional<Duration> Quarantine::untilTrial(const std::string &digest, TimePoint now) const
{
    const auto it = m_suspects.find(digest);
    if (it == m_suspects.end() || counted(it->second) < EndsToShutOut) {
        return std::nullopt;
    }
    const std::optional<TimePoint> due = trialDueAt(it->second);
    return due ? std::optional(std::max(Duration(0), *due - now)) : std::nullopt;
}

std::size_t Quarantine::endsUnder(const std::string &digest) const
{
    const auto it = m_suspects.find(digest);
    return it == m_suspects.end() ? 0 : counted(it->second);
}

std::vector<SuspectReport> Quarantine::changedSince(std::uint64_t version, UpdateRecipient reader, TimePoint now) const
{
    std::vector<SuspectReport> reports;
    for (const auto &[digest, suspect] : m_suspects) {
        const bool isWhole = version == 0 && reader == UpdateRecipient::ControlHost;
        if (!isWhole && suspect.changedAt.versionFor(reader) <= version) {
            continue;
        }
        SuspectReport report{digest, {}, suspect.trials, ageOf(suspect.trialAt, now)};
        for (const auto &[target, end] : suspect.ends) {
            report.ends.push_back({target, ageOf(end.noticedAt, now), end.isExcused});
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

std::size_t Quarantine::shutOut() const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(),
                                                  [](const auto &it) { return counted(it.second) >= EndsToShutOut; }));
}

} // namespace pepperlug::fleet
