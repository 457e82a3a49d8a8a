//===- pepperlug/Routes.h - Which service answers which request --*- C++ -*-===//
//
// The routing configuration of a deployment whose targets report themselves: a
// versioned document of routes, services and limits. Pure: reading a format is
// left to whoever speaks it; here are the types, the checks, the matching, and
// the news of it that hosts are told: what changed since what they know.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Codec.h"

#include <set>
#include <unordered_map>

namespace pepperlug::fleet
{

/// What may be done with a request that may have reached a target.
enum class RouteKind : std::uint8_t {
    Repeatable, ///< may run more than once
    OnceOnly, ///< must not be sent again once it may have run
};

/// A service that a route may lead to, with its share of the route's requests.
struct WeightedService {
    std::string service;
    double weight = 1;
    bool operator==(const WeightedService &) const = default;
    MSGPACK_DEFINE(service, weight);
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::OnceOnly;
    Milliseconds timeout{}; ///< longest time that a request is held
    Milliseconds objective{}; ///< an answer within it earns its whole worth
    unsigned priority = 0; ///< 0 is the most urgent
    std::vector<WeightedService> services;
    unsigned attempts = 1; ///< targets that one request may be sent to
    bool sticky = false; ///< targets that lately saw the same affinity key are faster
    std::vector<std::string> homeRegions; ///< empty: any
    bool isPublic = false; ///< needs no key, though the table has tenants
    bool operator==(const Route &) const = default;
    MSGPACK_DEFINE(name, host, prefix, kind, timeout, objective, priority, services, attempts, sticky, homeRegions,
                   isPublic);
};

/// How many requests a tenant may have run, over all hosts together.
struct TenantLimit {
    double perSecond = 0; ///< 0: no limit
    double burst = 0; ///< requests on top
    bool operator==(const TenantLimit &) const = default;
    MSGPACK_DEFINE(perSecond, burst);
};

/// Who may ask where a table has tenants: whoever shows one of the keys of one of them.
struct Tenant {
    std::string name;
    std::vector<std::string> keyDigests; ///< digestOfSecret() of each key; the keys themselves are not kept
    std::optional<unsigned> priority{}; ///< goes before that of the route
    TenantLimit limit{};
    std::vector<std::string> homeRegions{}; ///< empty: any; binds besides that of the route
    bool operator==(const Tenant &) const = default;
    MSGPACK_DEFINE(name, keyDigests, priority, limit, homeRegions);
};

/// How the targets of a service behave.
struct ServiceTraits {
    std::string name;
    unsigned maxConnections = 0; ///< of one target, from all callers together
    Milliseconds coldTime{}; ///< how long a target stays cold after a start
    double coldPerSecond = 0; ///< requests that a cold target bears; 0: no limit
    bool operator==(const ServiceTraits &) const = default;
    MSGPACK_DEFINE(name, maxConnections, coldTime, coldPerSecond);
};

/// What callers may send.
struct CallerLimits {
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    Milliseconds headTimeout{};
    Milliseconds idleTimeout{};
    bool operator==(const CallerLimits &) const = default;
    MSGPACK_DEFINE(headBytes, bodyBytes, headTimeout, idleTimeout);
};

/// One version of the routing configuration.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<ServiceTraits> services;
    std::vector<Route> routes;
    CallerLimits limits;
    std::vector<Tenant> tenants{}; ///< empty: callers need no key

    /// Route with the longest prefix of the path among those of the host; null if there is none.
    const Route *match(std::string_view host, std::string_view path) const;
    const ServiceTraits *service(std::string_view name) const;
    std::size_t routesWithHomeRegions() const;
    /// Whether some requests may be served in some regions only, by their route or their tenant.
    bool hasHomeRegions() const;
};

/// Finds the routes and tenants of a table that no longer changes, without walking all of them.
class RouteIndex
{
public:
    explicit RouteIndex(std::shared_ptr<const RouteTable> table);
    /// The same as RouteTable::match.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Tenant that holds a key, by the key's digest; null if none does.
    const Tenant *tenantOf(const std::string &keyDigest) const;

private:
    std::shared_ptr<const RouteTable> m_table; ///< owns all that is pointed to below
    std::map<std::string_view, std::vector<const Route *>> m_hosts; ///< routes of each host, sorted by prefix
    std::unordered_map<std::string_view, const Tenant *> m_tenants; ///< by the digest of each key
};

/// Every fault of a table; `file` names its source in the findings.
Findings checkRouteTable(const RouteTable &table, const std::string &file);

//===-- What the control hosts agree on ---------------------------------------===//

enum class RoutingCommandKind : std::uint8_t { PutTable, EvacuateZone, ReturnZone };

/// A change of the routing, as it stands in the control log.
struct RoutingCommand {
    RoutingCommandKind kind{};
    std::uint64_t baseVersion = 0; ///< PutTable: the version that it was made upon
    std::uint64_t version = 0; ///< PutTable
    std::string text; ///< PutTable: the document as it was sent
    std::string zone; ///< EvacuateZone, ReturnZone
    MSGPACK_DEFINE(kind, baseVersion, version, text, zone);
};

enum class RoutingResult : std::uint8_t {
    Done,
    AlreadyDone, ///< the same change was taken before
    Conflict, ///< another version is in force than the one it was made upon
    NotNewer, ///< its version is not above the one in force
};

/// Tables, evacuated zones, and which changes were taken. A state machine: the same commands give the same state.
class RoutingState
{
public:
    RoutingResult apply(const RoutingCommand &command, std::uint64_t index);
    /// The result that the command would have now, without applying it.
    RoutingResult check(const RoutingCommand &command) const;

    /// Log index of the newest change; 0 for none.
    std::uint64_t index() const;
    std::uint64_t version() const;
    const std::string &text() const;
    const std::set<std::string> &evacuatedZones() const;

    std::string snapshot() const;
    void restore(const std::string &data);

private:
    static std::string digestOf(const RoutingCommand &command);

    std::uint64_t m_index = 0;
    std::uint64_t m_version = 0;
    std::string m_text;
    std::set<std::string> m_evacuated;
    std::map<std::uint64_t, std::string> m_taken; ///< digest of each table that was ever in force, by version
};

//===-- How hosts are told of it ----------------------------------------------===//

/// Routing as of a log index.
struct RoutingView {
    std::uint64_t index = 0;
    std::shared_ptr<const RouteTable> table; ///< null: none was put
    std::set<std::string> evacuatedZones;
    std::optional<std::uint64_t> digest{}; ///< of the table's routes and tenants; nothing: it has not been computed
};

/// The newest routing, and how it came about, as it is told to hosts that know an older one.
class RoutingHistory
{
public:
    /// Takes a newer view; one that is not newer than the last is ignored.
    void append(RoutingView view);
    /// Log index of the newest view; 0 for none.
    std::uint64_t index() const;
    const RoutingView &view() const;
    /// Encoded changes that lead from the view of the index to the newest, to be applied one after the other; empty if
    /// the asker has the newest, or a newer one.
    std::vector<std::string> changesSince(std::uint64_t index) const;

private:
    struct EncodedChange {
        std::uint64_t fromIndex = 0;
        std::string data;
    };

    void keep(EncodedChange change);

    RoutingView m_newest;
    std::string m_whole; ///< the newest view, encoded as a change that applies to anything
    std::deque<EncodedChange> m_recent; ///< oldest first; each follows on the one before it
    std::size_t m_recentBytes = 0;
};

/// The view that the encoded changes lead to. Throws Error with step, peer and reason if one of them can't be decoded
/// or does not follow on what it is applied to: on another index, or on other routes under that index.
RoutingView applyRoutingChanges(const RoutingView &from, const std::vector<std::string> &changes,
                                const std::string &peer);

} // namespace pepperlug::fleet

PEPPERLUG_CODEC_ENUM(pepperlug::fleet::RouteKind);
PEPPERLUG_CODEC_ENUM(pepperlug::fleet::RoutingCommandKind);
