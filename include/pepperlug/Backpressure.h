//===- pepperlug/Backpressure.h - What targets ask of those who send -*- C++ -*-===//
//
// A target in need names in its answers how many requests a second it takes from
// all entry hosts together. Every host keeps a table of the limits that are named
// and tells the others what it heard. One that turns a request away may ask the
// host that sent it for a rest; one that leaves says so too. Pure: time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// What one answer of a target asks for.
struct BackpressureSignal {
    std::optional<double> perSecond; ///< requests that it takes from all hosts together; nothing: it names no limit
    std::optional<std::chrono::duration<double>> rest; ///< in which it wants nothing from the host that it answered
    bool isLeaving = false; ///< it is about to end and wants nothing new
    std::string unreadable; ///< header and value that can't be read, shortened; empty: none
};

/// What one host tells another of a target.
struct BackpressureReport {
    Incarnation target;
    bool isLimited = false; ///< false: it has stopped to name a limit
    double perSecond = 0; ///< the limit
    Milliseconds age{}; ///< since an answer said so of the limit
    bool isLeaving = false; ///< final for the incarnation
    MSGPACK_DEFINE(target, isLimited, perSecond, age, isLeaving);
};

class BackpressureTable
{
public:
    /// Takes what a target's answer asks for; `sentAt`: when the request was sent. Returns whether other hosts should
    /// hear of it at once.
    bool hear(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt, TimePoint now);
    /// Takes what another host told. `isDirect`: this host speaks for the other one towards control hosts. Returns
    /// whether the limit is another one now, or the target leaves.
    bool merge(const BackpressureReport &report, bool isDirect, TimePoint now);
    /// Drops what nothing has said for long; to be called regularly. Returns the targets whose limits are forgotten.
    std::vector<Incarnation> forget(TimePoint now);

    /// Requests a second; nothing while none is named.
    std::optional<double> limitOf(const Incarnation &target) const;
    bool isLeaving(const Incarnation &target) const;
    /// What changed since a version, for a reader; with version 0 all that is known.
    std::vector<BackpressureReport> changedSince(std::uint64_t version, UpdateRecipient reader, TimePoint now) const;
    bool hasChangedSince(std::uint64_t version, UpdateRecipient reader) const;
    std::uint64_t version() const;
    /// Targets that name a limit.
    std::size_t limited() const;

private:
    struct Entry {
        std::optional<double> limit;
        TimePoint limitSince{}; ///< when this limit was heard first
        std::optional<TimePoint> leavingSince; ///< when an answer said so first, as known here
        TimePoint asOf{}; ///< when an answer named it last, or showed that none is named any more
        unsigned unnamed = 0; ///< answers in a row that name no limit, and came late enough to lift it
        TimePoint toldAt{}; ///< asOf, as other hosts were told it last
        ChangeVersions changedAt;
    };

    void setLimit(Entry &entry, std::optional<double> limit, TimePoint asOf, TimePoint now);
    bool hearLimit(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt, TimePoint now);
    bool hearLeaving(const Incarnation &target, TimePoint now);
    bool mergeLimit(const BackpressureReport &report, bool isDirect, TimePoint now);
    bool mergeLeaving(const BackpressureReport &report, bool isDirect, TimePoint now);
    bool noteUnnamed(Entry &entry, TimePoint now);
    void noteChange(Entry &entry, bool isDirect);

    std::map<Incarnation, Entry> m_entries;
    ChangeTracker m_versions;
};

} // namespace pepperlug::fleet
