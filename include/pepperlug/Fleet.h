//===- pepperlug/Fleet.h - Hosts that find each other -----------*- C++ -*-===//
//
// Entry and control hosts of a deployment in which targets and hosts report
// themselves. What callers, targets and operators speak is a dialect, given as a
// type; what it reads and writes are the typed messages below.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Balance.h"
#include "pepperlug/Http.h"
#include "pepperlug/Wire.h"

#include <concepts>

namespace pepperlug::fleet
{

//===-- Settings --------------------------------------------------------------===//

/// Bounds that a deployment sets.
struct FleetBounds {
    Duration grace = std::chrono::seconds(6); ///< from SIGTERM to the end
    Duration acknowledge = std::chrono::seconds(4); ///< in which operators expect an answer
    RetryBudgetSettings retries;
    QuotaTerms quotas;
    double maxShift = 0.15;
    Duration reportInterval = Milliseconds(1500); ///< between two reports of a target
};

/// Settings that entry and control hosts share.
struct FleetSettings {
    std::string name;
    std::string zone;
    std::map<std::string, std::string> regionOfZone;
    Address peer; ///< where other hosts connect; its port is the same on all hosts
    std::optional<Address> peerListen; ///< where this host listens for them, if not at `peer`
    Address metrics; ///< where the figures are served
    std::vector<Address> seeds; ///< operators' addresses of some control hosts
    FleetBounds bounds;
    Duration newsLease = NewsLease; ///< the same at all hosts
    Duration firstTrialPause = FirstTrialPause; ///< the same at all hosts
    unsigned logLinesPerSecond = 0;
    // Entry hosts.
    Address callers;
    Address readiness;
    std::size_t maxBodyBytes = 0;
    std::size_t maxAnswerBytes = 0;
    std::uint64_t linkBytesPerSecond = 0; ///< of this host's link, both ways together; 0 if it need not be minded
    BalancePolicy policy;
    // Control hosts.
    Address operators;
    Address directory;
    std::string dataFolder;
    bool isFirstStart = false;
};

enum class FleetRole { Entry, Control };

/// Throws InvalidInput with every finding.
FleetSettings parseFleetSettings(const std::string &text, const std::string &file, FleetRole role);

//===-- What callers and targets speak ----------------------------------------===//

/// What an entry host reads in a caller's request.
struct CallerTerms {
    std::string requestId; ///< empty: none was given
    std::string host;
    std::string path;
    std::string affinityKey; ///< empty: none
    std::string caller; ///< what the caller says of who it is, the same with each try; empty: nothing
    std::optional<Duration> deadline; ///< time that the caller will wait
    std::string keyDigest; ///< digestOfSecret() of the one key that it shows; empty: none, or none that can be one
};

/// What a request tells a target besides what its caller sent.
struct TargetTerms {
    std::string target; ///< incarnation that is meant
    Duration timeLeft{};
    bool hasTenants = false; ///< the caller's key and what it says of its tenant are left out
    std::string tenant; ///< in whose name it asks; empty: nobody's
};

/// What the head and status of a target's answer say.
struct AnswerTerms {
    bool isExecuted = true; ///< the target does not say that it left the request alone
    bool isWrongTarget = false; ///< another incarnation is at the address
    bool isComplete = true; ///< bears what every answer must bear
    std::optional<TargetLoad> load;
    BackpressureSignal backpressure;
};

/// An answer of our own.
struct RefusalTerms {
    std::string requestId;
    Refusal reason{};
    Milliseconds retryAfter{};
};

template <typename T>
concept CallerDialect = requires(const HttpRequest &request, const Answer &answer,
                                 const std::vector<HeaderField> &headers, const std::string &text,
                                 const TargetTerms &terms, const RefusalTerms &refusal)
{
    {
        T::readRequest(request)
        } -> std::same_as<CallerTerms>;
    {
        T::targetHeaders(headers, terms)
        } -> std::same_as<std::vector<HeaderField>>;
    {
        T::answersRequest(headers, text)
        } -> std::same_as<bool>;
    {
        T::readAnswer(answer)
        } -> std::same_as<AnswerTerms>;
    {
        T::refusal(refusal)
        } -> std::same_as<Answer>;
    {
        T::isReadinessCheck(request)
        } -> std::same_as<bool>;
};

/// The functions of a dialect, for code that is compiled once.
struct CallerDialectTable {
    CallerTerms (*readRequest)(const HttpRequest &request);
    /// Headers for a target: the caller's, and those of the terms.
    std::vector<HeaderField> (*targetHeaders)(const std::vector<HeaderField> &headers, const TargetTerms &terms);
    /// Whether the head of an answer belongs to the request with this id.
    bool (*answersRequest)(const std::vector<HeaderField> &headers, const std::string &requestId);
    AnswerTerms (*readAnswer)(const Answer &answer);
    Answer (*refusal)(const RefusalTerms &terms);
    bool (*isReadinessCheck)(const HttpRequest &request);
};

template <CallerDialect T>
CallerDialectTable callerDialect()
{
    return {&T::readRequest, &T::targetHeaders, &T::answersRequest, &T::readAnswer, &T::refusal, &T::isReadinessCheck};
}

//===-- What targets and operators say to control hosts ------------------------===//

struct TargetSays {
    TargetReport report; ///< with presence Gone only the id and the start count
};

struct PutTable {
    std::uint64_t baseVersion = 0;
    std::string text;
};

struct GetTable {
};

struct SetEvacuation {
    std::string zone;
    bool isEvacuated = false;
};

struct FindEntryHosts {
    std::string zone;
};

/// A call that the dialect does not know or can't read.
struct UnknownCall {
    bool isKnownPath = false;
    std::string reason;
};

using ControlRequest = std::variant<TargetSays, PutTable, GetTable, SetEvacuation, FindEntryHosts, UnknownCall>;

/// How a control host answers.
enum class ControlAnswer : std::uint8_t {
    Done,
    Conflict, ///< another version is in force
    Invalid, ///< with findings
    Elsewhere, ///< with the address of the control host to ask
    Unavailable, ///< can't be promised now
    Unknown, ///< no such call
};

template <typename T>
concept ControlDialect = requires(const HttpRequest &request, ControlAnswer answer, const std::string &text,
                                  const std::vector<std::string> &texts, Milliseconds time)
{
    {
        T::readControlRequest(request)
        } -> std::same_as<ControlRequest>;
    {
        T::controlAnswer(answer, text)
        } -> std::same_as<Answer>;
    {
        T::redirect(request, text)
        } -> std::same_as<Answer>;
    {
        T::tableAnswer(text)
        } -> std::same_as<Answer>;
    {
        T::entryHosts(texts, time)
        } -> std::same_as<Answer>;
    {
        T::readTable(text)
        } -> std::same_as<RouteTable>;
};

struct ControlDialectTable {
    ControlRequest (*readControlRequest)(const HttpRequest &request);
    Answer (*controlAnswer)(ControlAnswer answer, const std::string &reason);
    Answer (*redirect)(const HttpRequest &request, const std::string &address);
    Answer (*tableAnswer)(const std::string &text);
    Answer (*entryHosts)(const std::vector<std::string> &addresses, Milliseconds timeToLive);
    /// Throws Error or InvalidInput.
    RouteTable (*readTable)(const std::string &text);
};

template <ControlDialect T>
ControlDialectTable controlDialect()
{
    return {&T::readControlRequest, &T::controlAnswer, &T::redirect, &T::tableAnswer, &T::entryHosts, &T::readTable};
}

//===-- Daemons ---------------------------------------------------------------===//

/// An entry host: takes callers' requests and passes them to targets.
class GatewayDaemon
{
public:
    GatewayDaemon(FleetSettings settings, const Clock &clock, CallerDialectTable dialect);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// New settings: only the seeds and the bounds are taken over while running.
    void reload(const FleetSettings &settings);
    /// Leaves as planned; returns when the process may end.
    void stopGracefully();
    Address callersAddress() const;
    Address readinessAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// A control host: the registry, the routing that is agreed on, and the directory of entry hosts.
class RegistryDaemon
{
public:
    RegistryDaemon(FleetSettings settings, const Clock &clock, ControlDialectTable dialect);
    ~RegistryDaemon();
    RegistryDaemon(const RegistryDaemon &) = delete;
    RegistryDaemon &operator=(const RegistryDaemon &) = delete;

    void reload(const FleetSettings &settings);
    /// Gives its membership and its reports up; returns when the process may end.
    void stopGracefully();
    Address operatorsAddress() const;
    Address directoryAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pepperlug::fleet
