//===- DepartureStore.cpp - Departures of targets on disk -----------------===//
#include "DepartureStore.h"

namespace pepperlug::fleet
{

namespace
{

constexpr std::uint8_t DepartureRecord = 1;
/// Records from which on the file is replaced once most of them are outdated.
constexpr std::size_t MinReplacedRecords = 256;

} // namespace

DepartureStore::DepartureStore(std::string path, TimePoint now)
    : m_path(std::move(path))
{
    m_log.emplace(PosixFile(m_path));
    for (const StoredRecord &it : m_log->takeRecords()) {
        auto report = decode<TargetReport>(it.data, m_path);
        const std::string id = report.id;
        m_departures[id] = {std::move(report), now};
        ++m_records;
    }
}

std::vector<TargetReport> DepartureStore::saved() const
{
    std::vector<TargetReport> reports;
    reports.reserve(m_departures.size());
    for (const auto &[id, saved] : m_departures) {
        reports.push_back(saved.report);
    }
    return reports;
}

void DepartureStore::add(const std::vector<TargetReport> &departures, TimePoint now)
{
    dropExpired(now);
    for (const TargetReport &it : departures) {
        m_departures[it.id] = {it, now};
    }
    const std::size_t records = m_records + departures.size();
    if (!m_log || records > std::max(MinReplacedRecords, 2 * m_departures.size())) {
        replaceAll();
        return;
    }
    for (const TargetReport &it : departures) {
        m_log->add(DepartureRecord, encode(it));
    }
    try {
        m_log->sync();
    } catch (const Error &) {
        m_log.reset(); // how much of it has reached the disk is unknown
        throw;
    }
    m_records = records;
}

void DepartureStore::removeExpired(TimePoint now)
{
    dropExpired(now);
    if (m_records > m_departures.size()) {
        replaceAll();
    }
}

void DepartureStore::dropExpired(TimePoint now)
{
    std::erase_if(m_departures, [&](const auto &it) { return now - it.second.at > DepartureRetention; });
}

std::size_t DepartureStore::recordCount() const
{
    return m_records;
}

void DepartureStore::replaceAll()
{
    m_log.reset();
    std::string bytes;
    for (const auto &[id, saved] : m_departures) {
        bytes += frameRecord(DepartureRecord, encode(saved.report));
    }
    replaceFile(m_path, bytes);
    m_log.emplace(PosixFile(m_path));
    m_log->takeRecords();
    m_records = m_departures.size();
}

} // namespace pepperlug::fleet
