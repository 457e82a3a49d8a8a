//===- StubControl.h - An entry host with a stub control host ---*- C++ -*-===//
#pragma once

#include "Fleet/HeldPolls.h"

namespace pepperlug::fleet::test
{

/// A control host that knows some targets and entry hosts.
class StubControl
{
public:
    explicit StubControl(const Address &at)
    {
        setHomeRegions(1, {});
        m_net.listen(at, [this](const IncomingCallPtr &call) {
            if (call->path() == fleet::path::FleetWatch) {
                m_polls.add(call);
            } else {
                call->reply(200, "");
            }
        });
    }

    ~StubControl()
    {
        m_net.stop();
    }

    /// Publishes a table under a log index, with the home regions of all its routes.
    void setHomeRegions(std::uint64_t index, const std::vector<std::string> &homeRegions)
    {
        RouteTable table;
        table.version = index;
        table.services = {{"s", 0, 0ms, 0}};
        table.routes = {{"read", "a.example", "/read/", RouteKind::Repeatable, 4s, 1s, 1, {{"s", 1}}, 2, false, {}},
                        {"once", "a.example", "/once/", RouteKind::OnceOnly, 4s, 1s, 1, {{"s", 1}}, 2, false, {}}};
        for (Route &route : table.routes) {
            route.homeRegions = homeRegions;
        }
        const std::lock_guard lock(m_mutex);
        m_routing.append({index, std::make_shared<RouteTable>(table), {}});
    }

    /// Log index of the routing that the entry host has applied.
    std::uint64_t appliedIndex() const
    {
        const std::lock_guard lock(m_mutex);
        return m_appliedIndex;
    }

    void setTarget(const std::string &id, const std::string &address, const std::string &zone = "z1")
    {
        const std::lock_guard lock(m_mutex);
        TargetReport &target = m_targets[id];
        target = {id, "s", address, zone, 100, Presence::Ready, 0ms, target.sequence + 1};
        ++m_version;
    }

    void setEntryHost(const std::string &id, const std::string &zone, const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        HostReport &host = m_hosts[id];
        host.id = id;
        host.zone = zone;
        host.address = address;
        ++host.sequence;
        ++m_version;
    }

    void removeEntryHost(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_hosts[id].presence = Presence::Gone;
        ++m_hosts[id].sequence;
        ++m_version;
    }

private:
    bool hasUpdates(const FleetWatchCall &request) const
    {
        const std::lock_guard lock(m_mutex);
        m_appliedIndex = std::max(m_appliedIndex, request.routingIndex);
        return request.since < m_version || request.routingIndex < m_routing.index();
    }

    FleetWatchReply replyTo(const FleetWatchCall &request) const
    {
        const std::lock_guard lock(m_mutex);
        FleetWatchReply reply;
        reply.epoch = "life";
        reply.version = m_version;
        reply.isCurrent = true;
        reply.isWhole = request.since == 0;
        reply.routingIndex = m_routing.index();
        reply.routingChanges = m_routing.changesSince(request.routingIndex);
        for (const auto &[id, target] : m_targets) {
            reply.changes.targets.push_back({target, 0ms, false});
        }
        for (const auto &[id, host] : m_hosts) {
            reply.changes.hosts.push_back({host, 0ms, false});
        }
        return reply;
    }

    RoutingHistory m_routing;
    mutable std::mutex m_mutex;
    mutable std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_version = 1;
    std::map<std::string, TargetReport> m_targets;
    std::map<std::string, HostReport> m_hosts;
    PeerNet m_net;
    HeldPolls m_polls{[this](const FleetWatchCall &request) { return hasUpdates(request); },
                      [this](const FleetWatchCall &request) {
                          return replyTo(request);
                      }};
};

/// An entry host and its control host.
class Entry
{
public:
    explicit Entry(unsigned number, const std::string &zone = "z1", std::size_t maxAnswerBytes = 1 << 20)
        : control(addressOn(number, 17200))
    {
        constexpr unsigned EntryOffset = 10;
        FleetSettings settings;
        settings.name = "entry-" + std::to_string(number);
        settings.zone = zone;
        settings.regionOfZone = {{"z1", "r1"}, {"z2", "r2"}};
        settings.maxBodyBytes = 1 << 20;
        settings.maxAnswerBytes = maxAnswerBytes;
        settings.peer = addressOn(number + EntryOffset, 17200);
        settings.metrics = m_metrics = addressOn(number + EntryOffset, 17203);
        settings.callers = settings.readiness = {"127.0.0.1", 0};
        settings.seeds = {addressOn(number, 17201)};
        m_gateway = std::make_unique<GatewayDaemon>(settings, m_clock, callerDialect<platform::Clients>());
    }

    HttpResult request(const std::string &resource)
    {
        return fetchOnce(m_client, callFor(resource));
    }

    /// Starts a request whose answer the handler gets.
    void start(const std::string &resource, HttpResultHandler handler)
    {
        m_client.start(callFor(resource), std::move(handler));
    }

    unsigned statusOf(const std::string &resource)
    {
        return request(resource).answer.status;
    }

    std::string address() const
    {
        return m_gateway->callersAddress().text();
    }

    /// Value of a metric; 0 if it is absent.
    double metric(const std::string &name)
    {
        HttpCall call;
        call.to = m_metrics;
        call.method = "GET";
        call.resource = "/metrics";
        call.timeout = 10s;
        const std::string text = "\n" + fetchOnce(m_client, call).answer.body;
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
    }

    StubControl control;

private:
    HttpCall callFor(const std::string &resource)
    {
        HttpCall call;
        call.to = m_gateway->callersAddress();
        call.method = resource.starts_with("/once/") ? "POST" : "GET";
        call.resource = resource;
        call.headers = {
            {"Host", "a.example"}, {"X-Request-Id", "q" + std::to_string(++m_requests)}, {"X-Deadline-Ms", "3000"}};
        call.timeout = 10s;
        return call;
    }

    SteadyClock m_clock;
    Address m_metrics;
    HttpClient m_client{1 << 20};
    std::unique_ptr<GatewayDaemon> m_gateway;
    std::atomic<int> m_requests{0};
};

} // namespace pepperlug::fleet::test
