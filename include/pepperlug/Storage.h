//===- pepperlug/Storage.h - Synced, checksummed files -----------*- C++ -*-===//
//
// Files under one data folder: a lock, a format version, and logs of records
// that count only once they are synced. A torn tail is cut; damage anywhere else
// refuses to start and names the file and the offset.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Consensus.h"
#include "pepperlug/Once.h"

#include <concepts>

namespace pepperlug
{

/// What the record log needs of a file. Tests put a faulty one in its place.
template <typename T>
concept FileDevice = requires(T file, const std::string &text, std::uint64_t size)
{
    {
        file.readAll()
        } -> std::same_as<std::string>;
    {
        file.append(text)
        } -> std::same_as<void>;
    {
        file.truncate(size)
        } -> std::same_as<void>;
    {
        file.sync()
        } -> std::same_as<void>;
    {
        file.name()
        } -> std::convertible_to<std::string>;
};

/// A file that is open for appending. Every call throws Error with the file's name and the system's reason.
class PosixFile
{
public:
    /// Creates the file if it is missing, and syncs the folder then.
    explicit PosixFile(std::string path);
    ~PosixFile();
    PosixFile(PosixFile &&other) noexcept;
    PosixFile &operator=(PosixFile &&other) noexcept;
    PosixFile(const PosixFile &) = delete;

    std::string readAll();
    void append(const std::string &bytes);
    void truncate(std::uint64_t size);
    void sync();
    const std::string &name() const;

private:
    std::string m_path;
    int m_fd = -1;
};

/// Frames a record: length, kind, check sums of the frame and of the data.
std::string frameRecord(std::uint8_t kind, const std::string &data);

struct StoredRecord {
    std::uint8_t kind = 0;
    std::string data;
};

struct ScannedRecords {
    std::vector<StoredRecord> records;
    std::uint64_t goodBytes = 0; ///< what precedes a torn tail
    bool hasTornTail = false;
};

/// Splits the bytes of a log. Throws Error with file and offset where the damage is not at the end.
ScannedRecords scanRecords(const std::string &bytes, const std::string &file);

/// A log of records over one file.
template <FileDevice Device>
class RecordLog
{
public:
    /// Reads what is there and cuts a torn tail.
    explicit RecordLog(Device device)
        : m_device(std::move(device))
    {
        ScannedRecords scanned = scanRecords(m_device.readAll(), m_device.name());
        if (scanned.hasTornTail) {
            m_device.truncate(scanned.goodBytes);
            m_device.sync();
        }
        m_records = std::move(scanned.records);
    }

    /// Records found at start; may be taken once.
    std::vector<StoredRecord> takeRecords()
    {
        return std::move(m_records);
    }

    /// Adds a record; it counts after the next sync().
    void add(std::uint8_t kind, const std::string &data)
    {
        m_pending += frameRecord(kind, data);
    }

    /// Writes and syncs what was added. After a failure nothing may be written any more: what reached the disk is
    /// unknown, and a later success must not cover that up.
    void sync()
    {
        if (m_failed) {
            throw Error("sync", m_device.name(), "an earlier write failed; restart to recover");
        }
        if (m_pending.empty()) {
            return;
        }
        m_failed = true;
        m_device.append(m_pending);
        m_device.sync();
        m_failed = false;
        m_pending.clear();
    }

    Device &device()
    {
        return m_device;
    }

private:
    Device m_device;
    std::vector<StoredRecord> m_records;
    std::string m_pending;
    bool m_failed = false;
};

/// Replaces a file in one step: a temporary file, a sync, a rename, a sync of the folder.
void replaceFile(const std::string &path, const std::string &bytes);

/// The data folder of one process, held by a lock. Throws Error if another process holds it, or if its format version
/// is another than this program's.
class DataFolder
{
public:
    explicit DataFolder(std::string path);
    ~DataFolder();
    DataFolder(const DataFolder &) = delete;
    DataFolder &operator=(const DataFolder &) = delete;

    std::string file(const std::string &name) const;
    /// Random id drawn when the folder was made, or "initial" if `isInitial` was set then.
    std::string diskId(bool isInitial);

private:
    std::string m_path;
    int m_lockFd = -1;
};

/// The control log on a disk.
class ControlStore
{
public:
    explicit ControlStore(const DataFolder &folder);

    RecoveredLog recovered() const;
    /// Both take effect on the disk with the next sync().
    void add(const PersistLog &effect);
    void sync();
    void save(const PersistSnapshot &effect);

private:
    std::string m_logPath;
    std::string m_snapshotPath;
    RecoveredLog m_recovered;
    std::optional<RecordLog<PosixFile>> m_log;
};

/// The claims of an entry host on a disk.
class LedgerStore
{
public:
    explicit LedgerStore(const DataFolder &folder);

    const std::string &ledgerId() const;
    std::vector<LedgerRecord> takeRecords();
    void add(const LedgerRecord &record);
    void sync();

private:
    std::string m_ledgerId;
    std::vector<LedgerRecord> m_records;
    std::optional<RecordLog<PosixFile>> m_log;
};

} // namespace pepperlug
