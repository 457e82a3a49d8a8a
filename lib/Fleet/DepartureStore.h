//===- DepartureStore.h - Departures of targets on disk ---------*- C++ -*-===//
//
// A report that is older than a departure may arrive long after it, also after
// a restart of all control hosts. So departures are kept on disk for as long
// as a late report may come. The wall clock may be set meanwhile; what is read
// at a start counts as new.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"
#include "pepperlug/Storage.h"

namespace pepperlug::fleet
{

/// The departures that a control host has learnt of lately, in one file. Used by one thread at a time.
class DepartureStore
{
public:
    /// Reads the file at `path`, which may be missing. Throws Error if it is damaged or can't be read.
    DepartureStore(std::string path, TimePoint now);

    /// Departures that were saved before the start.
    std::vector<TargetReport> saved() const;
    /// Adds departures and syncs them. Throws Error; the next call then writes the whole file anew.
    void add(const std::vector<TargetReport> &departures, TimePoint now);
    /// Removes departures older than the retention time from the file. Throws Error as add() does.
    void removeExpired(TimePoint now);
    /// Records in the file, of which some may be outdated.
    std::size_t recordCount() const;

private:
    struct Saved {
        TargetReport report;
        TimePoint at{};
    };

    void dropExpired(TimePoint now);
    void replaceAll();

    std::string m_path;
    std::map<std::string, Saved> m_departures; ///< by id of the target
    std::optional<RecordLog<PosixFile>> m_log; ///< nothing after a failure
    std::size_t m_records = 0;
};

} // namespace pepperlug::fleet
