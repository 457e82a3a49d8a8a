//===- ControlStore.cpp - The control log and its snapshot ----------------===//
//
// Two files: "log" with hard states, entries and truncations in the order in which they happened, and "snapshot". A
// snapshot is put in place first and the log is rewritten after it; a crash in between leaves entries that the snapshot
// covers already, which are skipped on recovery.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Storage.h"

namespace pepperlug
{

namespace
{

enum class RecordKind : std::uint8_t {
    HardState = 1,
    Entry = 2,
    Truncate = 3,
    Snapshot = 4,
};

std::string frame(RecordKind kind, const std::string &data)
{
    return frameRecord(static_cast<std::uint8_t>(kind), data);
}

LogSnapshot readSnapshot(const std::string &path)
{
    PosixFile file(path);
    const std::string bytes = file.readAll();
    if (bytes.empty()) {
        return {};
    }
    const ScannedRecords scanned = scanRecords(bytes, path);
    const bool isWhole = !scanned.hasTornTail && scanned.records.size() == 1;
    if (!isWhole) {
        // It was put in place by a rename after its sync, so it can't be torn by a crash.
        throw Error("recover", path, "the snapshot is damaged at offset " + std::to_string(scanned.goodBytes));
    }
    return decode<LogSnapshot>(scanned.records.front().data, path);
}

} // namespace

ControlStore::ControlStore(const DataFolder &folder)
    : m_logPath(folder.file("log"))
    , m_snapshotPath(folder.file("snapshot"))
{
    m_recovered.snapshot = readSnapshot(m_snapshotPath);
    m_log.emplace(PosixFile(m_logPath));
    std::vector<LogEntry> &entries = m_recovered.entries;
    const std::uint64_t base = m_recovered.snapshot.index;
    std::uint64_t number = 0;
    for (const StoredRecord &record : m_log->takeRecords()) {
        ++number;
        switch (static_cast<RecordKind>(record.kind)) {
        case RecordKind::HardState:
            m_recovered.hardState = decode<HardState>(record.data, m_logPath);
            break;
        case RecordKind::Truncate: {
            const auto from = decode<std::uint64_t>(record.data, m_logPath);
            std::erase_if(entries, [&](const LogEntry &entry) { return entry.index >= from; });
            break;
        }
        case RecordKind::Entry: {
            auto entry = decode<LogEntry>(record.data, m_logPath);
            const std::uint64_t last = entries.empty() ? base : entries.back().index;
            if (entry.index <= base) {
                break;
            }
            if (entry.index != last + 1) {
                throw Error("recover", m_logPath,
                            "record " + std::to_string(number) + " holds entry " + std::to_string(entry.index)
                                + " after " + std::to_string(last) + "; the snapshot or a part of the log is missing");
            }
            entries.push_back(std::move(entry));
            break;
        }
        default:
            throw Error("recover", m_logPath, "record " + std::to_string(number) + " is of an unknown kind");
        }
    }
}

RecoveredLog ControlStore::recovered() const
{
    return m_recovered;
}

void ControlStore::add(const PersistLog &effect)
{
    if (effect.hardState) {
        m_log->add(static_cast<std::uint8_t>(RecordKind::HardState), encode(*effect.hardState));
    }
    if (effect.truncateFrom) {
        m_log->add(static_cast<std::uint8_t>(RecordKind::Truncate), encode(*effect.truncateFrom));
    }
    for (const LogEntry &entry : effect.entries) {
        m_log->add(static_cast<std::uint8_t>(RecordKind::Entry), encode(entry));
    }
}

void ControlStore::sync()
{
    m_log->sync();
}

void ControlStore::save(const PersistSnapshot &effect)
{
    m_log->sync();
    replaceFile(m_snapshotPath, frame(RecordKind::Snapshot, encode(effect.snapshot)));
    std::string log = frame(RecordKind::HardState, encode(effect.hardState));
    for (const LogEntry &entry : effect.entriesAfter) {
        log += frame(RecordKind::Entry, encode(entry));
    }
    replaceFile(m_logPath, log);
    m_log.emplace(PosixFile(m_logPath));
    m_log->takeRecords();
}

} // namespace pepperlug
