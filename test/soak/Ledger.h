//===- Ledger.h - What callers and targets saw, and what may not be ---*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug::soak
{

/// What one caller sent.
struct SentRequest {
    bool mayRepeat = false;
    std::string body;
    std::string entryHost{}; ///< address that it was sent to
};

/// A request that a target answered without an end instead of running it.
struct EndlessRequest {
    std::string target;
    std::string entryHost; ///< address that its caller sent it to
    TimePoint at{};
};

/// Collects what happened at all sockets and finds what must never happen. Safe to use from all threads.
class Ledger
{
public:
    void sent(const std::string &id, const SentRequest &request);
    /// A target runs a request.
    void ran(const std::string &id, const std::string &target, const std::string &body);
    /// A caller got an answer, or with status 0 none.
    void answered(const std::string &id, unsigned status, bool isWhole);
    /// Entry host that a request was sent to; empty if nobody sent it.
    std::string entryHostOf(const std::string &id) const;
    /// A request ended the target that ran it.
    void targetEnded();
    /// How many it ended so far.
    unsigned endedTargets() const;
    /// A target answers a request without an end, and does not run it. Probes of entry hosts have no id and don't
    /// count.
    void answeredWithoutEnd(const std::string &id, const std::string &target, TimePoint at);
    std::vector<EndlessRequest> endlessRequests() const;
    /// A whole answer of a target to a request has left, as its target sent it.
    void answeredWhole(const std::string &id, const std::string &target);
    /// A connection ended without a whole answer to a request that was behind another one.
    void cutOffBehind(const std::string &id, TimePoint at);
    /// The address of an entry host, or the id of a target, that was disturbed from outside.
    void disturbed(const std::string &name, TimePoint at);
    void fail(const std::string &rule, const std::string &what);

    /// What can only be said at the end: nothing that was told "not run" has run, and nothing is lost for the answer
    /// ahead of it, unless its host or target was disturbed less than `calmTime` before.
    void close(Duration calmTime);
    std::vector<std::string> failures() const;
    std::string summary() const;
    unsigned served() const;

    /// The whole body that a target answers to a request with.
    static std::string bodyOf(const std::string &id);

private:
    struct Entry {
        SentRequest request;
        unsigned runs = 0;
        unsigned status = 0;
        std::string answeredBy{}; ///< target whose whole answer has left
        std::optional<TimePoint> cutOffAt{}; ///< behind another request
    };

    bool isDisturbed(const std::string &name, TimePoint since, TimePoint until) const;

    void failLocked(const std::string &rule, const std::string &what);

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
    std::vector<EndlessRequest> m_endlessRequests;
    std::multimap<std::string, TimePoint> m_disturbed;
    std::vector<std::string> m_failures;
    unsigned m_served = 0;
    unsigned m_refused = 0;
    unsigned m_failed = 0;
    unsigned m_unanswered = 0;
    unsigned m_endedTargets = 0;
    unsigned m_cutOff = 0; ///< behind another request
};

} // namespace pepperlug::soak
