//===- pepperlug/Quarantine.h - Requests that end the targets which run them -===//
//
// Which requests are the same one, though each try bears an id of its own; under
// which of them targets have ended; and which are shut out for that. Every host
// keeps such a table and tells the others what it saw. What two hosts know of a
// request adds up in any order and any number of times, since each end is named
// by the incarnation that ended. Pure: time is passed in.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// What makes two tries the same request. Nothing that a caller draws anew for each try belongs to it.
struct RequestIdentity {
    std::string_view method;
    std::string_view host;
    std::string_view resource; ///< path and query as sent
    std::string_view caller; ///< what the caller says of who it is; a request may end targets for one caller alone
    std::string_view body;
};

/// The same for the same request at every host and after each restart; nobody can make another request look alike.
std::string digestOf(const RequestIdentity &identity);

/// A target ended while a request was there.
struct TargetEnd {
    Incarnation target;
    Milliseconds age{}; ///< since it was noticed
    bool isExcused = false; ///< the request was answered by a target afterwards, so it was not what ended this one
    MSGPACK_DEFINE(target, age, isExcused);
};

/// What one host tells another of a request.
struct SuspectReport {
    std::string digest;
    std::vector<TargetEnd> ends;
    unsigned trials = 0; ///< that were granted so far
    Milliseconds trialAge{}; ///< since the newest of them
    MSGPACK_DEFINE(digest, ends, trials, trialAge);
};

/// Between the last end and the first trial of a request that is shut out; ten times as long to the next one, and
/// again. Each target that a trial ends takes up to ten requests along: at first one a minute may be lost to it, then
/// less.
constexpr std::chrono::minutes FirstTrialPause{1};

/// What may be done with a request.
enum class Standing : std::uint8_t {
    Free,
    Suspected, ///< two targets ended under it: not sent to another one where the first may have run it
    ShutOut, ///< three did: not sent at all
    TrialDue, ///< shut out for long enough that one try may be allowed, in the whole system
};
const char *nameOf(Standing standing);

class Quarantine
{
public:
    explicit Quarantine(Duration firstTrialPause = FirstTrialPause);

    /// A target ended under a request. Returns whether that is new.
    bool noteEnd(const std::string &digest, const Incarnation &target, TimePoint now);
    /// A target ran a request to its end and answered: the ends known so far are excused. Returns whether any was not.
    bool noteAnswer(const std::string &digest);
    /// One try of a request is allowed. Returns false if none is due.
    bool grantTrial(const std::string &digest, TimePoint now);
    /// Takes what another host told. `isDirect`: this host speaks for the other one towards control hosts. Returns
    /// whether something was new.
    bool merge(const SuspectReport &report, bool isDirect, TimePoint now);
    /// Drops what is too old to matter; to be called regularly, and looks now and then. Returns whether it did.
    bool forget(TimePoint now);

    Standing standing(const std::string &digest, TimePoint now) const;
    /// Until a try may be allowed; nothing if none will be until the request is forgotten, or it is not shut out.
    std::optional<Duration> untilTrial(const std::string &digest, TimePoint now) const;
    /// Ends that speak against a request.
    std::size_t endsUnder(const std::string &digest) const;
    /// What changed since a version, for a reader; with version 0 all that matters to it. To an entry host a request
    /// matters once at least two targets ended under it.
    std::vector<SuspectReport> changedSince(std::uint64_t version, UpdateRecipient reader, TimePoint now) const;
    bool hasChangedSince(std::uint64_t version, UpdateRecipient reader) const;
    std::uint64_t version() const;
    std::size_t size() const;
    /// Requests that are shut out.
    std::size_t shutOut() const;

private:
    struct End {
        TimePoint noticedAt{};
        bool isExcused = false;
    };

    struct Suspect {
        std::map<Incarnation, End> ends;
        unsigned trials = 0;
        TimePoint trialAt{}; ///< of the newest
        ChangeVersions changedAt;
        bool mattersToEntryHosts = false; ///< they are told of it, also that it is free again
    };

    static std::size_t counted(const Suspect &suspect);
    static TimePoint newestEnd(const Suspect &suspect);
    std::optional<TimePoint> trialDueAt(const Suspect &suspect) const;
    static bool addEnd(Suspect &suspect, const Incarnation &target, End end);
    static bool isForgotten(const Suspect &suspect, const End &end, TimePoint now);
    Suspect &suspectOf(const std::string &digest);
    void noteChange(Suspect &suspect, bool isDirect);
    void makeRoom();

    Duration m_firstTrialPause;
    std::map<std::string, Suspect> m_suspects; ///< by digest
    ChangeTracker m_versions;
    TimePoint m_nextForget{};
};

} // namespace pepperlug::fleet
