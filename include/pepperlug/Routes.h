//===- pepperlug/Routes.h - Which service answers which request --*- C++ -*-===//
//
// The routing configuration of a deployment whose targets report themselves: a
// versioned document of routes, services and limits. Types, checks, matching,
// and the updates that hosts receive: the changes since the version they have.
// Parsing a document format is left to the code that supports the format.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Codec.h"

#include <set>
#include <unordered_map>

namespace pepperlug::fleet
{

/// Whether a request may be sent again after it may have reached a target.
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

/// A rule that leads requests for a host and a path prefix to services.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::OnceOnly;
    Milliseconds timeout{}; ///< longest time that a request is held
    Milliseconds objective{}; ///< an answer within it has its full value
    unsigned priority = 0; ///< 0 is the most urgent
    std::vector<WeightedService> services;
    unsigned attempts = 1; ///< number of targets that one request may be sent to
    bool sticky = false; ///< targets that recently served the same affinity key are faster
    std::vector<std::string> homeRegions; ///< empty: any
    bool isPublic = false; ///< needs no key even if the table has tenants
    bool operator==(const Route &) const = default;
    MSGPACK_DEFINE(name, host, prefix, kind, timeout, objective, priority, services, attempts, sticky, homeRegions,
                   isPublic);
};

/// Rate limit of a tenant, over all hosts together.
struct TenantLimit {
    double perSecond = 0; ///< requests; 0: no limit
    double burst = 0; ///< requests in addition
    bool operator==(const TenantLimit &) const = default;
    MSGPACK_DEFINE(perSecond, burst);
};

/// A group of callers that is identified by its keys. Where a table has tenants, a request needs a key of one of them.
struct Tenant {
    std::string name;
    std::vector<std::string> keyDigests; ///< digestOfSecret() of each key; the keys themselves are not kept
    std::optional<unsigned> priority{}; ///< takes precedence over that of the route
    TenantLimit limit{};
    std::vector<std::string> homeRegions{}; ///< empty: any; applies in addition to those of the route
    bool operator==(const Tenant &) const = default;
    MSGPACK_DEFINE(name, keyDigests, priority, limit, homeRegions);
};

/// Regions whose targets and entry hosts may receive a request. An empty list of a route or tenant allows all regions,
/// while a set that is bound to no region at all allows none.
class AllowedRegions
{
public:
    /// Allows all regions.
    AllowedRegions() = default;
    /// Allows the regions that both the route and the tenant name. `tenant`: null if the request has none.
    AllowedRegions(const Route &route, const Tenant *tenant);

    bool contains(std::string_view region) const;
    /// Returns true if not all regions are allowed.
    bool isBound() const;
    /// Returns true if no region is allowed.
    bool isEmpty() const;
    /// Allowed regions in the order of the route's list; empty unless isBound().
    const std::vector<std::string> &homes() const;

private:
    void restrictTo(const std::vector<std::string> &homeRegions);

    bool m_isBound = false;
    std::vector<std::string> m_homes;
};

/// Properties of the targets of a service.
struct ServiceTraits {
    std::string name;
    unsigned maxConnections = 0; ///< of one target, from all callers together
    Milliseconds coldTime{}; ///< how long a target stays cold after a start
    double coldPerSecond = 0; ///< requests that a cold target can serve; 0: no limit
    bool operator==(const ServiceTraits &) const = default;
    MSGPACK_DEFINE(name, maxConnections, coldTime, coldPerSecond);
};

/// Limits on what callers may send.
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

    /// Returns the host's route with the longest prefix of the path; null if there is none.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Returns null if there is no such service.
    const ServiceTraits *service(std::string_view name) const;
    /// Returns the number of routes that are bound to home regions.
    std::size_t routesWithHomeRegions() const;
    /// Returns true if a route or a tenant is bound to home regions.
    bool hasHomeRegions() const;
};

/// Index of an immutable table, which finds routes and tenants without a linear search.
class RouteIndex
{
public:
    explicit RouteIndex(std::shared_ptr<const RouteTable> table);
    /// Returns the same as RouteTable::match().
    const Route *match(std::string_view host, std::string_view path) const;
    /// Returns the tenant that has a key, by the digest of the key; null if none has.
    const Tenant *tenantOf(const std::string &keyDigest) const;

private:
    std::shared_ptr<const RouteTable> m_table; ///< owns what the members below point to
    std::map<std::string_view, std::vector<const Route *>> m_hosts; ///< routes of each host, sorted by prefix
    std::unordered_map<std::string_view, const Tenant *> m_tenants; ///< by the digest of each key
};

/// Returns every fault of a table; `file` names its source in the findings.
Findings checkRouteTable(const RouteTable &table, const std::string &file);

//===-- Replicated state ------------------------------------------------------===//

enum class RoutingCommandKind : std::uint8_t { PutTable, EvacuateZone, ReturnZone };

/// A change of the routing; an entry of the replicated control log.
struct RoutingCommand {
    RoutingCommandKind kind{};
    std::uint64_t baseVersion = 0; ///< PutTable: the version that it is based on
    std::uint64_t version = 0; ///< PutTable
    std::string text; ///< PutTable: the document as received
    std::string zone; ///< EvacuateZone, ReturnZone
    MSGPACK_DEFINE(kind, baseVersion, version, text, zone);
};

enum class RoutingResult : std::uint8_t {
    Done,
    AlreadyDone, ///< the same change was applied before
    Conflict, ///< it is based on another version than the one in force
    NotNewer, ///< its version is not above the one in force
};

/// The route table, the evacuated zones, and a record of applied changes. A state machine: the same commands give the
/// same state.
class RoutingState
{
public:
    /// Applies the command of a log index.
    RoutingResult apply(const RoutingCommand &command, std::uint64_t index);
    /// Returns the result that the command would have now, without applying it.
    RoutingResult check(const RoutingCommand &command) const;

    /// Returns the log index of the latest change; 0 for none.
    std::uint64_t index() const;
    /// Returns the version of the table in force; 0 for none.
    std::uint64_t version() const;
    /// Returns the document of the table in force, as received.
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
    std::map<std::uint64_t, std::string> m_digests; ///< digest of each table that was ever in force, by version
};

//===-- Updates for hosts -----------------------------------------------------===//

/// The routing as of a log index.
struct RoutingView {
    std::uint64_t index = 0;
    std::shared_ptr<const RouteTable> table; ///< null: none was put
    std::set<std::string> evacuatedZones;
    std::optional<std::uint64_t> digest{}; ///< of the table's routes and tenants; empty: not computed yet
};

/// The latest routing and recent changes that lead to it, for hosts that have an older one.
class RoutingHistory
{
public:
    /// Appends a view; one that is not newer than the latest is ignored.
    void append(RoutingView view);
    /// Returns the log index of the latest view; 0 for none.
    std::uint64_t index() const;
    const RoutingView &view() const;
    /// Returns encoded changes that lead from the view of the index to the latest, to be applied in order; empty if the
    /// index is that of the latest view, or newer.
    std::vector<std::string> changesSince(std::uint64_t index) const;

private:
    struct EncodedChange {
        std::uint64_t fromIndex = 0; ///< of the view that it applies to
        std::string data;
    };

    void appendRecent(EncodedChange change);

    RoutingView m_latest;
    std::string m_whole; ///< the latest view, encoded as a change that applies to any view
    std::deque<EncodedChange> m_recent; ///< oldest first; each applies to the result of the one before it
    std::size_t m_recentBytes = 0;
};

/// Returns the view that the encoded changes lead to. Throws Error with step, peer and reason if one of them can't be
/// decoded or does not apply to the view before it: that has another index, or other routes or tenants under the same
/// index.
RoutingView applyRoutingChanges(const RoutingView &from, const std::vector<std::string> &changes,
                                const std::string &peer);

} // namespace pepperlug::fleet

PEPPERLUG_CODEC_ENUM(pepperlug::fleet::RouteKind);
PEPPERLUG_CODEC_ENUM(pepperlug::fleet::RoutingCommandKind);
