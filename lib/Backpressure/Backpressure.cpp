//===- Backpressure.cpp - What targets ask for in their answers ------------===//
//
// Answers overtake each other, and some targets name their limit in a part of their answers only. So a limit is lifted
// by answers without one only where their requests were sent well after the limit was named last, and of two limits the
// lower one holds until an answer came to a request that was sent after the first was known.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Backpressure.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// From the last answer that named a limit to the first request whose answer may lift it.
constexpr std::chrono::seconds LiftDelay{1};
/// Such answers in a row that lift it.
constexpr unsigned AnswersToLift = 2;
/// A limit that no answer has named for longer is forgotten.
constexpr std::chrono::seconds LimitMemory{30};
/// Longer than a target takes to end that has said that it leaves.
constexpr std::chrono::minutes LeavingMemory{10};
/// Others are told again that a limit is still named; several times within LimitMemory.
constexpr std::chrono::seconds RenewInterval{5};
/// A limit that moves by less than this part is not worth a message.
constexpr double LimitTolerance = 0.1;
/// Requests a second that a target gets at least, whatever it names, so that it is heard when it takes more again.
constexpr double LeastLimit = 0.05;

bool isAlike(const std::optional<double> &lhs, const std::optional<double> &rhs)
{
    if (!lhs || !rhs) {
        return lhs.has_value() == rhs.has_value();
    }
    return std::abs(*lhs - *rhs) <= LimitTolerance * std::max(*lhs, *rhs);
}

} // namespace

void BackpressureTable::setLimit(Entry &entry, std::optional<double> limit, TimePoint asOf, TimePoint now)
{
    if (entry.limit != limit) {
        entry.limitSince = now;
    }
    entry.limit = limit;
    entry.asOf = asOf;
    entry.unnamed = 0;
}

bool BackpressureTable::noteUnnamed(Entry &entry, TimePoint now)
{
    if (++entry.unnamed < AnswersToLift) {
        return false;
    }
    setLimit(entry, std::nullopt, now, now);
    noteChange(entry, true);
    return true;
}

void BackpressureTable::noteChange(Entry &entry, bool isDirect)
{
    entry.toldAt = entry.asOf;
    m_versions.recordChange(entry.changedAt, isDirect, true);
}

bool BackpressureTable::hear(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt,
                             TimePoint now)
{
    const bool hasLimitNews = hearLimit(target, signal, sentAt, now);
    return (signal.isLeaving && hearLeaving(target, now)) || hasLimitNews;
}

bool BackpressureTable::hearLeaving(const Incarnation &target, TimePoint now)
{
    Entry &entry = m_entries[target];
    if (entry.leavingSince) {
        return false;
    }
    entry.leavingSince = now;
    noteChange(entry, true);
    return true;
}

bool BackpressureTable::hearLimit(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt,
                                  TimePoint now)
{
    const auto known = m_entries.find(target);
    if (!signal.perSecond) {
        const bool tellsOfLift = known != m_entries.end() && known->second.limit && signal.unreadable.empty()
            && sentAt - known->second.asOf >= LiftDelay;
        return tellsOfLift && noteUnnamed(known->second, now);
    }
    double limit = std::max(*signal.perSecond, LeastLimit);
    Entry &entry = known != m_entries.end() ? known->second : m_entries[target];
    const std::optional<double> before = entry.limit;
    if (before && sentAt < entry.limitSince) {
        limit = std::min(limit, *before);
    }
    setLimit(entry, limit, now, now);
    const bool isNew = !isAlike(before, entry.limit);
    if (isNew || now - entry.toldAt >= RenewInterval) {
        noteChange(entry, true);
    }
    return isNew;
}

bool BackpressureTable::merge(const BackpressureReport &report, bool isDirect, TimePoint now)
{
    const bool hasLimitNews = mergeLimit(report, isDirect, now);
    return mergeLeaving(report, isDirect, now) || hasLimitNews;
}

bool BackpressureTable::mergeLeaving(const BackpressureReport &report, bool isDirect, TimePoint now)
{
    if (!report.isLeaving || isLeaving(report.target)) {
        return false;
    }
    Entry &entry = m_entries[report.target];
    entry.leavingSince = now;
    noteChange(entry, isDirect);
    return true;
}

bool BackpressureTable::mergeLimit(const BackpressureReport &report, bool isDirect, TimePoint now)
{
    const TimePoint asOf = now - report.age;
    const auto known = m_entries.find(report.target);
    const bool isKnownLimit = known != m_entries.end() && known->second.limit;
    const bool isOld = known != m_entries.end() && asOf <= known->second.asOf;
    const bool isReadable = std::isfinite(report.perSecond) && (!report.isLimited || report.perSecond > 0);
    if (isOld || !isReadable || (!report.isLimited && !isKnownLimit)) {
        return false;
    }
    Entry &entry = m_entries[report.target];
    const std::optional<double> before = entry.limit;
    setLimit(entry, report.isLimited ? std::optional(report.perSecond) : std::nullopt, asOf, now);
    const bool isNew = !isAlike(before, entry.limit);
    if (isNew || asOf - entry.toldAt >= RenewInterval / 2) {
        noteChange(entry, isDirect);
    }
    return before != entry.limit;
}

std::vector<Incarnation> BackpressureTable::forget(TimePoint now)
{
    std::vector<Incarnation> forgotten;
    for (auto &[target, entry] : m_entries) {
        if (entry.limit && now - entry.asOf > LimitMemory) {
            entry.limit.reset();
            forgotten.push_back(target);
        }
    }
    std::erase_if(m_entries, [now](const auto &it) {
        const Entry &entry = it.second;
        const bool isLeavingKept = entry.leavingSince && now - *entry.leavingSince <= LeavingMemory;
        return !isLeavingKept && now - entry.asOf > LimitMemory;
    });
    return forgotten;
}

std::optional<double> BackpressureTable::limitOf(const Incarnation &target) const
{
    const auto it = m_entries.find(target);
    return it == m_entries.end() ? std::nullopt : it->second.limit;
}

bool BackpressureTable::isLeaving(const Incarnation &target) const
{
    const auto it = m_entries.find(target);
    return it != m_entries.end() && it->second.leavingSince.has_value();
}

std::vector<BackpressureReport> BackpressureTable::changedSince(std::uint64_t version, UpdateRecipient reader,
                                                                TimePoint now) const
{
    std::vector<BackpressureReport> reports;
    for (const auto &[target, entry] : m_entries) {
        if (version == 0 || entry.changedAt.versionFor(reader) > version) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.asOf);
            reports.push_back(
                {target, entry.limit.has_value(), entry.limit.value_or(0), age, entry.leavingSince.has_value()});
        }
    }
    return reports;
}

bool BackpressureTable::hasChangedSince(std::uint64_t version, UpdateRecipient reader) const
{
    return m_versions.hasChangedSince(version, reader);
}

std::uint64_t BackpressureTable::version() const
{
    return m_versions.version();
}

std::size_t BackpressureTable::limited() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &it) { return it.second.limit.has_value(); }));
}

} // namespace pepperlug::fleet
