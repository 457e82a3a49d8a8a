//===- EntryHttp.cpp - Callers' requests become events --------------------===//
#include "EntryImpl.h"
#include "HttpStatus.h"

#include <charconv>

namespace pepperlug
{

namespace
{

constexpr std::string_view ServicePrefix = "/s/";

/// A service and the path that its targets see.
struct ServiceRoute {
    ServiceId service{};
    std::string resource;
};

std::optional<ServiceRoute> findRoute(const Bundle &bundle, const HttpRequest &request)
{
    if (request.resource.starts_with(ServicePrefix)) {
        const std::string_view rest = std::string_view(request.resource).substr(ServicePrefix.size());
        const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
        const std::optional<ServiceId> service = bundle.findService(std::string(rest.substr(0, end)));
        if (!service) {
            return std::nullopt;
        }
        std::string resource(rest.substr(end));
        const bool hasPath = resource.starts_with('/');
        return ServiceRoute{*service, hasPath ? std::move(resource) : "/" + resource};
    }
    std::string host = request.header("host").value_or("");
    host = host.substr(0, host.find(':'));
    const std::optional<ServiceId> service = bundle.findServiceByHostName(host);
    if (!service) {
        return std::nullopt;
    }
    return ServiceRoute{*service, request.resource};
}

/// Nothing if the header is absent; throws Error if it is not a positive whole number.
std::optional<Milliseconds> readDeadline(const HttpRequest &request)
{
    const std::optional<std::string> text = request.header("pepperlug-deadline-ms");
    if (!text) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [stop, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    constexpr std::int64_t OneDay = 24LL * 3600 * 1000;
    if (ec != std::errc() || stop != text->data() + text->size() || value <= 0 || value > OneDay) {
        throw Error("read request", "", "Pepperlug-Deadline-Ms is not a whole number of milliseconds above zero");
    }
    return Milliseconds(value);
}

} // namespace

BundlePtr EntryDaemon::Impl::currentBundle() const
{
    const std::lock_guard lock(m_mutex);
    return m_bundle;
}

void EntryDaemon::Impl::answerNow(const HttpExchangePtr &exchange, unsigned status, Outcome outcome,
                                  const std::string &step, const std::string &reason)
{
    Answer answer =
        jsonAnswer(status, {{"outcome", nameOf(outcome)}, {"step", step}, {"peer", ""}, {"reason", reason}});
    answer.headers.push_back({"Pepperlug-Outcome", nameOf(outcome)});
    exchange->respond(answer);
}

void EntryDaemon::Impl::onHttp(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string path = request.path();
    if (path == "/v1/lookup") {
        onLookup(exchange);
    } else if (path == "/metrics") {
        publishGauges();
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()});
    } else if (path == "/healthz") {
        exchange->respond(jsonAnswer(200, {{"status", "up"}}));
    } else if (path == "/readyz") {
        const bool isReady = currentBundle() != nullptr;
        exchange->respond(jsonAnswer(isReady ? 200 : Unavailable, {{"ready", isReady}}));
    } else {
        onServiceRequest(exchange);
    }
}

std::optional<ZoneId> EntryDaemon::Impl::zoneOfCaller(const Bundle &bundle, const HttpRequest &request) const
{
    return bundle.clients.find(request.peerIp);
}

void EntryDaemon::Impl::onLookup(const HttpExchangePtr &exchange)
{
    const BundlePtr bundle = currentBundle();
    if (!bundle) {
        answerNow(exchange, Unavailable, Outcome::NotRun, "look up", "no bundle is in force at this host yet");
        return;
    }
    const HttpRequest &request = exchange->request();
    const std::optional<std::string> name = request.query("service");
    const std::optional<ServiceId> service = name ? bundle->findService(*name) : std::nullopt;
    if (!service) {
        const std::string reason = name ? "no service is named \"" + *name + "\"" : "the query has no service";
        answerNow(exchange, name ? NotFound : BadRequest, Outcome::NotRun, "look up", reason);
        return;
    }
    const std::optional<std::string> client = request.query("client");
    LookupArrived event;
    event.id = nextId();
    const std::lock_guard lock(m_mutex);
    // Ids are positions in a bundle; they are looked up in the one that the reducer has.
    event.service = m_bundle->findService(*name).value_or(*service);
    event.callerZone = client ? m_bundle->clients.find(*client) : zoneOfCaller(*m_bundle, request);
    m_pending[event.id].exchange = exchange;
    reduceLocked(event);
}

bool EntryDaemon::Impl::submit(const BundlePtr &bundle, PendingRequest pending, const RequestArrived &event)
{
    const std::lock_guard lock(m_mutex);
    if (m_bundle != bundle) {
        return false;
    }
    m_pending.emplace(event.id, std::move(pending));
    reduceLocked(event);
    return true;
}

void EntryDaemon::Impl::onServiceRequest(const HttpExchangePtr &exchange)
{
    while (!tryServiceRequest(exchange)) { }
}

// Returns false if it has to be tried again with another bundle.
bool EntryDaemon::Impl::tryServiceRequest(const HttpExchangePtr &exchange)
{
    const BundlePtr bundle = currentBundle();
    if (!bundle) {
        answerNow(exchange, Unavailable, Outcome::NotRun, "route", "no bundle is in force at this host yet");
        return true;
    }
    const HttpRequest &request = exchange->request();
    const std::optional<ServiceRoute> route = findRoute(*bundle, request);
    if (!route) {
        answerNow(exchange, NotFound, Outcome::NotRun, "route", "neither the path nor Host names a service");
        return true;
    }
    const Service &service = bundle->services[idx(route->service)];
    std::optional<Milliseconds> deadline;
    try {
        deadline = readDeadline(request);
    } catch (const Error &ex) {
        answerNow(exchange, BadRequest, Outcome::NotRun, ex.step(), ex.reason());
        return true;
    }
    PendingRequest pending;
    pending.exchange = exchange;
    pending.service = route->service;
    pending.serviceName = service.name;
    pending.method = request.method;
    pending.resource = route->resource;
    pending.headers = endToEndHeaders(request.headers);
    pending.body = std::make_shared<const std::string>(request.body);
    pending.key = request.header("idempotency-key").value_or("");
    pending.cls = service.classOf(request.method, pending.resource);
    pending.arrivedAt = m_clock.now() - request.waited;

    RequestArrived event;
    event.id = nextId();
    event.service = route->service;
    event.cls = pending.cls;
    event.callerZone = zoneOfCaller(*bundle, request);
    event.deadline = pending.arrivedAt + std::min(deadline.value_or(service.maxDeadline), service.maxDeadline);
    if (event.callerZone) {
        pending.callerZone = bundle->zones[idx(*event.callerZone)].name;
    }
    if (pending.cls == RouteClass::Once) {
        event.key = pending.key;
        event.requestDigest = digestHex(pending.method + "\n" + pending.resource + "\n" + request.body);
    }
    const RequestId id = event.id;
    if (!submit(bundle, std::move(pending), event)) {
        return false;
    }
    exchange->onDeparture([this, id] { post(CallerDisconnected{id}); });
    return true;
}

} // namespace pepperlug
