//===- pepperlug/Backpressure.h - Load signals from targets ------*- C++ -*-===//
//
// An overloaded target advertises in its answers how many requests a second it
// takes from all entry hosts together. Every host keeps a table of the advertised
// limits and reports its changes to the others. A target that rejects a request
// may ask the host that sent it to back off; one that is about to stop says that
// it is leaving. Pure: time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// The load signals in one answer of a target.
struct BackpressureSignal {
    std::optional<double> rateLimit; ///< requests a second from all hosts together; nothing: not advertised
    std::optional<std::chrono::duration<double>> backOff; ///< during which the answered host is to send nothing
    bool isLeaving = false; ///< it is about to stop and takes no new requests
    std::string malformedHeader; ///< name and value, shortened; empty: none
};

/// The load signals of a target, as one host reports them to another.
struct BackpressureReport {
    Incarnation target;
    bool isLimited = false; ///< false: it no longer advertises a limit
    double rateLimit = 0; ///< requests a second
    Milliseconds age{}; ///< since an answer confirmed the limit or its absence
    bool isLeaving = false; ///< final for the incarnation
    MSGPACK_DEFINE(target, isLimited, rateLimit, age, isLeaving);
};

class BackpressureTable
{
public:
    /// Records the load signals in a target's answer; `sentAt`: when the request was sent. Returns true if they should
    /// be reported to other hosts at once.
    bool recordSignal(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt, TimePoint now);
    /// Merges a report of another host. `isDirect`: this host passes it on to control hosts on behalf of the other one.
    /// Returns true if the limit changed or the target is now known to be leaving.
    bool merge(const BackpressureReport &report, bool isDirect, TimePoint now);
    /// Removes what no answer has confirmed for long; to be called regularly. Returns the targets whose limits expired.
    std::vector<Incarnation> removeExpired(TimePoint now);

    /// Returns the advertised limit in requests a second; nothing if there is none.
    std::optional<double> limitOf(const Incarnation &target) const;
    bool isLeaving(const Incarnation &target) const;
    /// Returns the reports that changed since a version, for a reader; with version 0 all of them.
    std::vector<BackpressureReport> changedSince(std::uint64_t version, UpdateRecipient reader, TimePoint now) const;
    bool hasChangedSince(std::uint64_t version, UpdateRecipient reader) const;
    std::uint64_t version() const;
    /// Returns the number of targets with an advertised limit.
    std::size_t limitedCount() const;

private:
    struct Entry {
        std::optional<double> limit;
        TimePoint limitChangedAt{}; ///< when this value was received first
        std::optional<TimePoint> leavingSince; ///< when this host first learned of it
        TimePoint confirmedAt{}; ///< last answer that advertised it, or that showed it lifted
        unsigned answersWithoutLimit = 0; ///< in a row, sent late enough to lift it
        TimePoint reportedAt{}; ///< confirmedAt as last reported to other hosts
        ChangeVersions changedAt;
    };

    void setLimit(Entry &entry, std::optional<double> limit, TimePoint confirmedAt, TimePoint now);
    bool recordLimit(const Incarnation &target, const BackpressureSignal &signal, TimePoint sentAt, TimePoint now);
    bool recordLeaving(const Incarnation &target, TimePoint now);
    bool mergeLimit(const BackpressureReport &report, bool isDirect, TimePoint now);
    bool mergeLeaving(const BackpressureReport &report, bool isDirect, TimePoint now);
    bool countAnswerWithoutLimit(Entry &entry, TimePoint now);
    void markChanged(Entry &entry, bool isDirect);

    std::map<Incarnation, Entry> m_entries;
    ChangeTracker m_versions;
};

} // namespace pepperlug::fleet
