//===- Ledger.cpp - What callers and targets saw, and what may not be -----===//
#include "Ledger.h"

#include <algorithm>

namespace pepperlug::soak
{

namespace
{

/// Statuses that promise that the request has not run and never will.
bool promisesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

void Ledger::sent(const std::string &id, const SentRequest &request)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id].request = request;
}

void Ledger::ran(const std::string &id, const std::string &target, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        failLocked("asked", "target " + target + " ran " + id + ", which nobody sent");
        return;
    }
    Entry &entry = it->second;
    ++entry.runs;
    if (entry.request.body != body) {
        failLocked("asked", "target " + target + " got another body for " + id);
    }
    if (entry.runs > 1 && !entry.request.mayRepeat) {
        failLocked("once", id + " ran again at " + target);
    }
}

void Ledger::answered(const std::string &id, unsigned status, bool isWhole)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries[id];
    entry.status = status;
    if (isSuccess(status)) {
        ++m_served;
        if (!isWhole) {
            failLocked("whole", id + " got a success that is not the whole answer of its target");
        }
    } else if (status == 0) {
        ++m_unanswered;
    } else {
        ++(promisesNotRun(status) ? m_refused : m_failed);
    }
}

std::string Ledger::entryHostOf(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? std::string() : it->second.request.entryHost;
}

void Ledger::targetEnded()
{
    const std::lock_guard lock(m_mutex);
    ++m_endedTargets;
}

unsigned Ledger::endedTargets() const
{
    const std::lock_guard lock(m_mutex);
    return m_endedTargets;
}

void Ledger::answeredWithoutEnd(const std::string &id, const std::string &target, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    if (id.empty()) {
        return;
    }
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        failLocked("asked", "target " + target + " got " + id + ", which nobody sent");
        return;
    }
    m_endlessRequests.push_back({target, it->second.request.entryHost, at});
}

std::vector<EndlessRequest> Ledger::endlessRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_endlessRequests;
}

void Ledger::answeredWhole(const std::string &id, const std::string &target)
{
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_entries.find(id); it != m_entries.end()) {
        it->second.answeredBy = target;
    }
}

void Ledger::cutOffBehind(const std::string &id, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id].cutOffAt = at;
    ++m_cutOff;
}

void Ledger::disturbed(const std::string &name, TimePoint at)
{
    const std::lock_guard lock(m_mutex);
    m_disturbed.emplace(name, at);
}

bool Ledger::isDisturbed(const std::string &name, TimePoint since, TimePoint until) const
{
    const auto [first, last] = m_disturbed.equal_range(name);
    return std::any_of(first, last, [&](const auto &it) { return it.second >= since && it.second <= until; });
}

void Ledger::fail(const std::string &rule, const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    failLocked(rule, what);
}

void Ledger::failLocked(const std::string &rule, const std::string &what)
{
    m_failures.push_back(rule + ": " + what);
}

void Ledger::close(Duration calmTime)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        if (promisesNotRun(entry.status) && entry.runs > 0 && !entry.request.mayRepeat) {
            failLocked("not run", id + " was told " + std::to_string(entry.status) + " and has run");
        }
        if (!entry.cutOffAt || entry.answeredBy.empty()) {
            continue;
        }
        const TimePoint since = *entry.cutOffAt - calmTime;
        if (!isDisturbed(entry.request.entryHost, since, *entry.cutOffAt)
            && !isDisturbed(entry.answeredBy, since, *entry.cutOffAt)) {
            failLocked("lost",
                       id + " was answered by " + entry.answeredBy + ", and its connection to "
                           + entry.request.entryHost + " ended without the answer");
        }
    }
}

std::vector<std::string> Ledger::failures() const
{
    const std::lock_guard lock(m_mutex);
    return m_failures;
}

std::string Ledger::summary() const
{
    const std::lock_guard lock(m_mutex);
    return std::to_string(m_entries.size()) + " requests, " + std::to_string(m_served) + " served, "
        + std::to_string(m_refused) + " told not run, " + std::to_string(m_failed) + " failed, "
        + std::to_string(m_unanswered) + " without an answer, " + std::to_string(m_cutOff) + " of them behind others";
}

unsigned Ledger::served() const
{
    const std::lock_guard lock(m_mutex);
    return m_served;
}

// One in eight is large, so that it is passed on in parts.
std::string Ledger::bodyOf(const std::string &id)
{
    constexpr std::size_t Small = 300;
    constexpr std::size_t Large = 120000;
    const std::uint64_t hash = hash64(id);
    std::string body;
    const std::size_t size = hash % 8 == 0 ? Large : Small;
    while (body.size() < size) {
        body += id + ";";
    }
    return body;
}

} // namespace pepperlug::soak
