//===- pepperlug/Fleet.h - Entry and control hosts --------------*- C++ -*-===//
//
// Settings, dialects and daemons of entry and control hosts. Targets and hosts
// register themselves by reports. A dialect is a type that translates the
// formats of callers, targets and operators from and to the typed messages
// below.
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

/// Limits and timeouts that a deployment configures.
struct FleetBounds {
    Duration gracePeriod = std::chrono::seconds(6); ///< from SIGTERM to the end of the process
    Duration acknowledgeTimeout = std::chrono::seconds(4); ///< within which operators expect an answer
    RetryBudgetSettings retries;
    QuotaTolerance quotas;
    double maxShift = 0.15;
    Duration reportInterval = Milliseconds(1500); ///< between two reports of a target
};

/// Settings that entry and control hosts share.
struct FleetSettings {
    std::string name;
    std::string zone;
    std::map<std::string, std::string> regionOfZone;
    Address peer; ///< for connections of other hosts; the port is the same on all hosts
    std::optional<Address> peerListen; ///< where this host listens for other hosts, if not at `peer`
    Address metrics; ///< where the metrics are served
    std::vector<Address> seeds; ///< operators' addresses of some control hosts
    FleetBounds bounds;
    Duration updateLease = UpdateLease; ///< how long others wait for a silent entry host; the same on all hosts
    Duration firstProbePause = FirstProbeDelay; ///< of quarantined requests; the same on all hosts
    std::vector<std::string> features; ///< of the deployment, as its platform names them
    unsigned logLinesPerSecond = 0;
    std::uint64_t memoryMb = 0; ///< that the process may have; 0: that of the machine
    std::size_t maxDescriptors = 0; ///< that the process may have; 0: those that the kernel allows
    // Entry hosts.
    Address callers;
    Address readiness;
    std::size_t maxBodyBytes = 0;
    std::size_t maxAnswerBytes = 0;
    std::size_t maxUnsizedAnswerBytes = HttpClientLimits{}.unsizedBytes; ///< of an answer that announces no length
    std::uint64_t linkBytesPerSecond = 0; ///< bandwidth of the link, both directions together; 0 for unlimited
    std::size_t spareConnections = 0; ///< most connections opened in advance to targets of other regions; 0 for none
    BalancePolicy policy;
    // Control hosts.
    Address operators;
    Address directory;
    std::string dataFolder;
    bool isFirstStart = false;
};

/// Which kind of host the settings are for.
enum class FleetRole { Entry, Control };

/// Parses the settings of a host. Throws InvalidInput with all findings.
FleetSettings parseFleetSettings(const std::string &text, const std::string &file, FleetRole role);

//===-- Messages of callers and targets -----------------------------------===//

/// Fields of a caller's request that an entry host uses.
struct CallerRequestFields {
    std::string requestId; ///< empty if not given
    std::string host;
    std::string path;
    std::string affinityKey; ///< empty if not given
    std::string caller; ///< the caller's statement of its identity, the same in each retry; empty if not given
    std::optional<Duration> deadline; ///< how long the caller waits
    std::string keyDigest; ///< digestOfSecret() of the key; empty if there is none, several, or an invalid one
    /// Log index of the routing by which an entry host that reaches no target passes it on; nothing: it comes from a
    /// caller.
    std::optional<std::uint64_t> relayedByIndex;
    bool isOnceOnly = false; ///< that entry host must not let it run twice, whatever the kind of its route here
};

/// Fields that an entry host adds to a request for a target.
struct TargetRequestFields {
    std::string target; ///< expected incarnation
    Duration timeLeft{};
    bool hasTenants = false; ///< true: the caller's key and tenant headers are removed
    std::string tenant; ///< tenant of the request; empty if none
};

/// Fields that an entry host adds to a request for another one.
struct RelayedRequestFields {
    Duration timeLeft{};
    std::uint64_t routingIndex = 0; ///< log index of the routing that the relay was decided by
    bool isOnceOnly = false; ///< the receiver must not let the request run twice
};

/// Fields of the status and head of a target's answer, or of an entry host's that a request was relayed to.
struct AnswerFields {
    std::optional<Refusal> refusal; ///< an entry host's, in place of a target's answer
    bool isExecuted = true; ///< false if the target states that it did not execute the request
    bool isWrongTarget = false; ///< another incarnation uses the address
    bool hasRequiredFields = true; ///< has all headers that each answer must have
    std::optional<TargetLoad> load;
    BackpressureSignal backpressure;
};

/// Fields of a refusal that an entry host sends itself.
struct RefusalFields {
    std::string requestId;
    Refusal reason{};
    Milliseconds retryAfter{};
};

/// Translates between callers', targets' and entry hosts' messages. See CallerDialectTable.
template <typename T>
concept CallerDialect = requires(const HttpRequest &request, const Answer &answer,
                                 const std::vector<HeaderField> &headers, const std::string &text,
                                 const TargetRequestFields &fields, const RelayedRequestFields &relayed,
                                 const RefusalFields &refusal)
{
    {
        T::readRequest(request)
        } -> std::same_as<CallerRequestFields>;
    {
        T::targetHeaders(headers, fields)
        } -> std::same_as<std::vector<HeaderField>>;
    {
        T::relayHeaders(headers, relayed)
        } -> std::same_as<std::vector<HeaderField>>;
    {
        T::answersRequest(headers, text)
        } -> std::same_as<bool>;
    {
        T::answeredRequest(headers)
        } -> std::same_as<std::string>;
    {
        T::readAnswer(answer)
        } -> std::same_as<AnswerFields>;
    {
        T::refusal(refusal)
        } -> std::same_as<Answer>;
    {
        T::isReadinessCheck(request)
        } -> std::same_as<bool>;
};

/// Function pointers of a caller dialect, so that the daemon isn't a template.
struct CallerDialectTable {
    CallerRequestFields (*readRequest)(const HttpRequest &request);
    /// Returns the headers for a target: those of the caller, and the given fields.
    std::vector<HeaderField> (*targetHeaders)(const std::vector<HeaderField> &headers,
                                              const TargetRequestFields &fields);
    /// Returns the headers for another entry host: those of the caller, the time left and the mark of a relayed
    /// request.
    std::vector<HeaderField> (*relayHeaders)(const std::vector<HeaderField> &headers,
                                             const RelayedRequestFields &fields);
    /// Returns true if the head of an answer belongs to the request with this id.
    bool (*answersRequest)(const std::vector<HeaderField> &headers, const std::string &requestId);
    /// Returns the id of the request that the head of an answer names; empty if it names none, or several.
    std::string (*answeredRequest)(const std::vector<HeaderField> &headers);
    AnswerFields (*readAnswer)(const Answer &answer);
    Answer (*refusal)(const RefusalFields &fields);
    bool (*isReadinessCheck)(const HttpRequest &request);
};

template <CallerDialect T>
CallerDialectTable callerDialect()
{
    return {&T::readRequest,     &T::targetHeaders, &T::relayHeaders, &T::answersRequest,
            &T::answeredRequest, &T::readAnswer,    &T::refusal,      &T::isReadinessCheck};
}

//===-- Messages of targets and operators ---------------------------------===//

/// A target reports its presence.
struct ReportTarget {
    TargetReport report; ///< with presence Gone only the id and the start time are set
};

/// An operator replaces the routing table of `baseVersion`.
struct PutTable {
    std::uint64_t baseVersion = 0;
    std::string text;
};

/// An operator reads the routing table.
struct GetTable {
};

/// An operator evacuates a zone, or ends its evacuation.
struct SetEvacuation {
    std::string zone;
    bool isEvacuated = false;
};

/// A caller's directory lookup from a zone.
struct FindEntryHosts {
    std::string zone;
};

/// A request that the dialect doesn't know or can't parse.
struct UnknownCall {
    bool isKnownPath = false;
    std::string reason;
};

/// A request to a control host.
using ControlRequest = std::variant<ReportTarget, PutTable, GetTable, SetEvacuation, FindEntryHosts, UnknownCall>;

/// Outcome of a request to a control host.
enum class ControlAnswer : std::uint8_t {
    Done,
    Conflict, ///< another version is in force
    Invalid, ///< with findings
    Redirect, ///< with the address of the leading control host
    Unavailable, ///< can't be guaranteed now
    Unknown, ///< no such request
};

/// Translates between targets', operators' and control hosts' messages. See ControlDialectTable.
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

/// Function pointers of a control dialect, so that the daemon isn't a template.
struct ControlDialectTable {
    ControlRequest (*readControlRequest)(const HttpRequest &request);
    Answer (*controlAnswer)(ControlAnswer answer, const std::string &reason);
    Answer (*redirect)(const HttpRequest &request, const std::string &address);
    Answer (*tableAnswer)(const std::string &text);
    Answer (*entryHosts)(const std::vector<std::string> &addresses, Milliseconds timeToLive);
    /// Parses a routing table. Throws Error or InvalidInput.
    RouteTable (*readTable)(const std::string &text);
};

template <ControlDialect T>
ControlDialectTable controlDialect()
{
    return {&T::readControlRequest, &T::controlAnswer, &T::redirect, &T::tableAnswer, &T::entryHosts, &T::readTable};
}

//===-- Daemons ---------------------------------------------------------------===//

/// An entry host: receives callers' requests and routes them to targets.
class GatewayDaemon
{
public:
    GatewayDaemon(FleetSettings settings, const Clock &clock, CallerDialectTable dialect);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// Applies new seeds. All other settings need a restart.
    void reload(const FleetSettings &settings);
    /// Leaves the fleet gracefully; returns when the process may exit.
    void stopGracefully();
    Address callersAddress() const;
    Address readinessAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// A control host: the registry, the replicated routing state, and the directory of entry hosts.
class RegistryDaemon
{
public:
    RegistryDaemon(FleetSettings settings, const Clock &clock, ControlDialectTable dialect);
    ~RegistryDaemon();
    RegistryDaemon(const RegistryDaemon &) = delete;
    RegistryDaemon &operator=(const RegistryDaemon &) = delete;

    /// Applies new seeds and bounds. All other settings need a restart.
    void reload(const FleetSettings &settings);
    /// Announces its departure from the fleet; returns when the process may exit.
    void stopGracefully();
    Address operatorsAddress() const;
    Address directoryAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pepperlug::fleet
