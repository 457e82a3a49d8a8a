//===- Backpressure.cpp - Table of load signals from targets ---------------===//
//
// Answers overtake each other, and some targets advertise their limit in only some of their answers. So answers without
// a limit lift it only if their requests were sent well after it was last advertised, and of two limits the lower one
// holds until an answer arrives to a request that was sent after the current one was received.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Backpressure.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Delay from the last answer that advertised a limit to the first request whose answer counts towards lifting it.
constexpr std::chrono::seconds LiftDelay{1};
/// Number of such answers in a row that lift it.
constexpr unsigned AnswersToLift = 2;
/// Time after which a limit that no answer has confirmed expires.
constexpr std::chrono::seconds LimitLifetime{30};
/// How long a leaving target is remembered: longer than it takes to stop.
constexpr std::chrono::minutes LeavingLifetime{10};
/// Interval at which an unchanged limit is reported again, several times within LimitLifetime.
constexpr std::chrono::seconds ReportInterval{5};
/// Relative change of a limit below which it is not reported at once.
constexpr double LimitTolerance = 0.1;
/// Lower bound of a limit, in requests a second: some requests must still be sent, since their answers show when the
/// target takes more again.
constexpr double MinLimit = 0.05;

bool areClose(const std::optional<double> &lhs, const std::optional<double> &rhs)
{
    if (!lhs || !rhs) {
        return lhs.has_value() == rhs.has_value();
    }
    return std::abs(*lhs - *rhs) <= LimitTolerance * std::max(*lhs, *rhs);
}

} // namespace

void BackpressureTable::setLimit(Entry &entry, std::optional<double> limit, TimePoint confirmedAt, TimePoint now)
{
    if (entry.limit != limit) {
        entry.limitChangedAt = now;
    }
    entry.limit = limit;
    entry.confirmedAt = confirmedAt;
    entry.answersWithoutLimit = 0;
}

bool BackpressureTable::countAnswerWithoutLimit(Entry &entry, TimePoint now)
{
    if (++entry.answersWithoutLimit < AnswersToLift) {
        return false;
    }
    setLimit(entry, std::nullopt, now, now);
    markChanged(entry, true);
    return true;
}

void BackpressureTable::markChanged(Entry &entry, bool isDirect)
{
    entry.reportedAt = entry.confirmedAt;
    m_versions.recordChange(entry.changedAt, isDirect, true);
}

bool BackpressureTable::recordSignal(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt,
                                     TimePoint now)
{
    const bool hasNewLimit = recordLimit(target, signal, sentAt, now);
    return (signal.isLeaving && recordLeaving(target, now)) || hasNewLimit;
}

bool BackpressureTable::recordLeaving(const Incarnation &target, TimePoint now)
{
    Entry &entry = m_entries[target];
    if (entry.leavingSince) {
        return false;
    }
    entry.leavingSince = now;
    markChanged(entry, true);
    return true;
}

bool BackpressureTable::recordLimit(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt,
                                    TimePoint now)
{
    const auto known = m_entries.find(target);
    if (!signal.rateLimit) {
        const bool countsTowardsLift = known != m_entries.end() && known->second.limit && signal.malformedHeader.empty()
            && sentAt - known->second.confirmedAt >= LiftDelay;
        return countsTowardsLift && countAnswerWithoutLimit(known->second, now);
    }
    double limit = std::max(*signal.rateLimit, MinLimit);
    Entry &entry = known != m_entries.end() ? known->second : m_entries[target];
    const std::optional<double> before = entry.limit;
    if (before && sentAt < entry.limitChangedAt) {
        limit = std::min(limit, *before);
    }
    setLimit(entry, limit, now, now);
    const bool isNew = !areClose(before, entry.limit);
    if (isNew || now - entry.reportedAt >= ReportInterval) {
        markChanged(entry, true);
    }
    return isNew;
}

bool BackpressureTable::merge(const BackpressureReport &report, bool isDirect, TimePoint now)
{
    const bool hasNewLimit = mergeLimit(report, isDirect, now);
    return mergeLeaving(report, isDirect, now) || hasNewLimit;
}

bool BackpressureTable::mergeLeaving(const BackpressureReport &report, bool isDirect, TimePoint now)
{
    if (!report.isLeaving || isLeaving(report.target)) {
        return false;
    }
    Entry &entry = m_entries[report.target];
    entry.leavingSince = now;
    markChanged(entry, isDirect);
    return true;
}

bool BackpressureTable::mergeLimit(const BackpressureReport &report, bool isDirect, TimePoint now)
{
    const TimePoint confirmedAt = now - report.age;
    const auto known = m_entries.find(report.target);
    const bool isKnownLimit = known != m_entries.end() && known->second.limit;
    const bool isOutdated = known != m_entries.end() && confirmedAt <= known->second.confirmedAt;
    const bool isValid = std::isfinite(report.rateLimit) && (!report.isLimited || report.rateLimit > 0);
    if (isOutdated || !isValid || (!report.isLimited && !isKnownLimit)) {
        return false;
    }
    Entry &entry = m_entries[report.target];
    const std::optional<double> before = entry.limit;
    setLimit(entry, report.isLimited ? std::optional(report.rateLimit) : std::nullopt, confirmedAt, now);
    const bool isNew = !areClose(before, entry.limit);
    if (isNew || confirmedAt - entry.reportedAt >= ReportInterval / 2) {
        markChanged(entry, isDirect);
    }
    return before != entry.limit;
}

std::vector<Incarnation> BackpressureTable::removeExpired(TimePoint now)
{
    std::vector<Incarnation> expired;
    for (auto &[target, entry] : m_entries) {
        if (entry.limit && now - entry.confirmedAt > LimitLifetime) {
            entry.limit.reset();
            expired.push_back(target);
        }
    }
    std::erase_if(m_entries, [now](const auto &it) {
        const Entry &entry = it.second;
        const bool isLeavingKept = entry.leavingSince && now - *entry.leavingSince <= LeavingLifetime;
        return !isLeavingKept && now - entry.confirmedAt > LimitLifetime;
    });
    return expired;
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
            const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.confirmedAt);
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

std::size_t BackpressureTable::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &it) { return it.second.limit.has_value(); }));
}

} // namespace pepperlug::fleet
