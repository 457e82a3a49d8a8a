//===- pepperlug/Quarantine.h - Requests that crash targets ------*- C++ -*-===//
//
// Identifies requests across tries, each of which has a request id of its own,
// records the crashes of targets at which a request was present, and quarantines
// requests that keep crashing targets. Every host keeps such a table and reports
// its changes to the others. Reports may be merged in any order and any number
// of times, since each crash is identified by the incarnation that ended. Pure:
// time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// The fields in which all tries of the same request agree. Nothing that a caller generates for each try belongs here.
struct RequestIdentity {
    std::string_view method;
    std::string_view host;
    std::string_view resource; ///< path and query as sent
    std::string_view caller; ///< identity that the caller claims; a request may crash targets for one caller only
    std::string_view body;
};

/// Returns the same digest for the same request at every host and after each restart. Nobody can make another request
/// with the same digest.
std::string digestOf(const RequestIdentity &identity);

/// A crash: the end of a target's incarnation while a request ran or waited there, whatever caused it.
struct TargetCrash {
    Incarnation target;
    Milliseconds age{}; ///< since it was detected
    bool isExcused = false; ///< a target answered the request afterwards, so it was not what crashed this one
    MSGPACK_DEFINE(target, age, isExcused);
};

/// The crashes and probes of a request, as one host reports them to another.
struct SuspectReport {
    std::string digest;
    std::vector<TargetCrash> crashes;
    unsigned grantedProbes = 0; ///< so far
    Milliseconds newestProbeAge{}; ///< since the newest probe was granted
    MSGPACK_DEFINE(digest, crashes, grantedProbes, newestProbeAge);
};

/// Delay between the last crash and the first probe of a quarantined request. A probe is one try that is allowed in
/// order to see whether the request still crashes targets; the delay before each further probe is ten times as long.
/// Each target that a probe crashes loses up to ten other requests with it: at first one target a minute may be lost,
/// then fewer.
constexpr std::chrono::minutes FirstProbeDelay{1};

/// What may be done with a request.
enum class QuarantineStatus : std::uint8_t {
    Free, ///< fewer than two crashes that count
    Suspected, ///< two crashes: not sent to another target where the first one may have run it
    Quarantined, ///< three crashes: not sent at all
    ProbeDue, ///< quarantined for long enough that one probe may be granted, in the whole system
};
const char *nameOf(QuarantineStatus status);

class Quarantine
{
public:
    explicit Quarantine(Duration firstProbeDelay = FirstProbeDelay);

    /// Records that a target crashed while a request was there. Returns true if the crash is new.
    bool recordCrash(const std::string &digest, const Incarnation &target, TimePoint now);
    /// Records that a target ran a request to its end and answered, which excuses all crashes known so far. Returns
    /// true if any of them was not excused yet.
    bool recordAnswer(const std::string &digest);
    /// Grants one probe of a request. Returns false if none is due.
    bool grantProbe(const std::string &digest, TimePoint now);
    /// Merges a report of another host. `isDirect`: this host passes it on to control hosts on behalf of the other one.
    /// Returns true if anything in it was new.
    bool merge(const SuspectReport &report, bool isDirect, TimePoint now);
    /// Removes expired crashes, and requests without any; to be called regularly. Searches for them at intervals only;
    /// returns true if it did.
    bool removeExpired(TimePoint now);

    QuarantineStatus statusOf(const std::string &digest, TimePoint now) const;
    /// Returns the time until a probe may be granted; nothing if none will be before the request expires, or if it is
    /// not quarantined.
    std::optional<Duration> timeUntilProbe(const std::string &digest, TimePoint now) const;
    /// Returns the number of crashes that are not excused.
    std::size_t crashCount(const std::string &digest) const;
    /// Returns the reports that changed since a version and concern a reader; with version 0 all that concern it.
    /// Control hosts receive all reports, entry hosts those of requests that are or were suspected.
    std::vector<SuspectReport> changedSince(std::uint64_t version, UpdateRecipient reader, TimePoint now) const;
    bool hasChangedSince(std::uint64_t version, UpdateRecipient reader) const;
    std::uint64_t version() const;
    std::size_t size() const;
    /// Returns the number of quarantined requests.
    std::size_t quarantinedCount() const;

private:
    struct Crash {
        TimePoint detectedAt{};
        bool isExcused = false;
    };

    struct Suspect {
        std::map<Incarnation, Crash> crashes;
        unsigned grantedProbes = 0;
        TimePoint newestProbeAt{};
        ChangeVersions changedAt;
        bool isReportedToEntryHosts = false; ///< stays set, so that they learn that it is free again
    };

    static std::size_t countedCrashes(const Suspect &suspect);
    static TimePoint newestCrash(const Suspect &suspect);
    std::optional<TimePoint> nextProbeAt(const Suspect &suspect) const;
    static bool addCrash(Suspect &suspect, const Incarnation &target, Crash crash);
    static bool isExpired(const Suspect &suspect, const Crash &crash, TimePoint now);
    Suspect &findOrAddSuspect(const std::string &digest);
    void markChanged(Suspect &suspect, bool isDirect);
    void evictIfFull();

    Duration m_firstProbeDelay;
    std::map<std::string, Suspect> m_suspects; ///< by digest
    ChangeTracker m_versions;
    TimePoint m_nextExpiry{};
};

} // namespace pepperlug::fleet
