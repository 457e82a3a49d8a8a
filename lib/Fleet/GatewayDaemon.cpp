//===- GatewayDaemon.cpp - Lifecycle of an entry host ---------------------===//
#include "../Daemon/HttpStatus.h"
#include "../Wire/PeerReports.h"
#include "GatewayImpl.h"
#include "MetricsServer.h"
#include "PeerEvents.h"
#include "PeerReplies.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds TickInterval{25};
constexpr Milliseconds PollMaxWait{500};
/// Replies that take longer are logged: more than three round trips to the farthest region,
/// beyond the time for which a reply may be held.
constexpr Milliseconds SlowReplyThreshold = PollMaxWait + Milliseconds(300);
/// Replies that are longer are logged, too. In bytes: about 30 ms on a link of 4 Mbit/s, the narrowest known.
constexpr std::size_t LongReplyBytes = 16 * 1024;
/// Share of the link for large answers from targets, so that small ones don't queue behind them. Large answers use as
/// much again on their way to callers.
constexpr double LargeAnswerShare = 0.5;
/// Within which a seed has to list the control hosts before the next seed is tried; ten round trips to the farthest
/// region.
constexpr Milliseconds ControlHostsTimeout{700};
/// Changed targets of one reply that are logged one by one.
constexpr std::size_t MaxLoggedTargets = 32;
constexpr std::size_t IncarnationBytes = 8;

BalanceSettings balanceSettings(const FleetSettings &settings, const std::string &incarnation)
{
    BalanceSettings balance;
    balance.host = incarnation;
    balance.address = settings.callers.text();
    balance.zone = settings.zone;
    balance.regionOfZone = settings.regionOfZone;
    balance.retries = settings.bounds.retries;
    balance.maxShift = settings.bounds.maxShift;
    balance.linkBytesPerSecond = settings.linkBytesPerSecond;
    balance.seed = hash64(incarnation);
    balance.updateLease = settings.updateLease;
    balance.firstProbeDelay = settings.firstProbePause;
    balance.policy = settings.policy;
    return balance;
}

HttpLimits callerLimits(const FleetSettings &settings)
{
    HttpLimits limits;
    limits.headBytes = 64UL * 1024;
    limits.bodyBytes = settings.maxBodyBytes;
    const std::uint64_t intakeBytes = intakeLimits(settings.memoryMb, settings.maxDescriptors).bytes;
    limits.heldBytesInAll = std::min<std::size_t>(limits.heldBytesInAll, intakeBytes / 2);
    return limits;
}

} // namespace

GatewayDaemon::Impl::Impl(FleetSettings settings, const Clock &clock, CallerDialectTable dialect)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_dialect(dialect)
    , m_events(m_settings.name, clock, m_settings.logLinesPerSecond)
    , m_incarnation(m_settings.name + "#" + randomHex(IncarnationBytes))
    , m_balancer(std::make_unique<Balancer>(balanceSettings(m_settings, m_incarnation)))
    , m_routingLag(m_settings.updateLease)
    , m_discovery(m_settings.zone)
{
    m_events.state("start", {{"role", "entry"}, {"zone", m_settings.zone}});
    const auto forLarge =
        static_cast<std::uint64_t>(static_cast<double>(m_settings.linkBytesPerSecond) * LargeAnswerShare);
    m_client = std::make_unique<HttpClient>(HttpClientLimits{.answerBytes = m_settings.maxAnswerBytes,
                                                             .unsizedBytes = m_settings.maxUnsizedAnswerBytes,
                                                             .bytesPerSecond = forLarge});
    ControlWatch::Hooks hooks;
    hooks.makeCall = [this](const Address &, const std::string &epoch) {
        const std::lock_guard lock(m_mutex);
        FleetWatchCall call;
        call.self = selfReport();
        call.routingIndex = m_routing.index;
        call.newestRoutingIndex = m_routingLag.newestIndex();
        call.confirmed.routingIndex = activeRoutingIndex();
        addSuspectReports(call, epoch);
        addBackpressureReports(call, epoch);
        return call;
    };
    hooks.candidates = [this] {
        return controlHosts();
    };
    hooks.onReply = [this](const ReplyInfo &info, FleetWatchReply &reply) {
        onControlReply(info, reply);
        return true;
    };
    hooks.onAlive = [this](const FleetAliveReply &reply) {
        onAlive(reply);
    };
    hooks.onPollFailed = [this](const Address &control, TimePoint sentAt, const std::string &reason) {
        onPollFailed(control, sentAt, reason);
    };
    hooks.onLink = [this](const Address &control, bool isLost, const std::string &reason) {
        onLink(control, isLost, reason);
    };
    m_net.onSilence([this](const SilentConnection &silent) { reportSilence(m_events, silent); });
    m_net.onFailure(
        [this](const std::string &path, const std::string &reason) { reportFailure(m_events, path, reason); });
    m_watch = std::make_unique<ControlWatch>(m_net, m_clock, PollMaxWait, std::move(hooks));
    m_intake = std::make_shared<Intake>(intakeLimits(m_settings.memoryMb, m_settings.maxDescriptors));
    m_callersServer = std::make_unique<HttpServer>(
        m_settings.callers, 1, callerLimits(m_settings), m_clock,
        [this](const HttpExchangePtr &exchange) { onHttp(exchange); }, m_intake);
    m_readinessServer = std::make_unique<HttpServer>(
        m_settings.readiness, 1, HttpLimits{}, m_clock,
        [this](const HttpExchangePtr &exchange) { onReadiness(exchange); }, m_intake);
    m_metricsServer = serveMetrics(m_settings.metrics, m_metrics, m_clock, m_intake);
    m_ticker = std::make_unique<Ticker>(TickInterval, [this] { tick(); });
}

GatewayDaemon::Impl::~Impl()
{
    m_ticker.reset();
    m_callersServer->stop();
    m_readinessServer->stop();
    m_metricsServer->stop();
    m_net.stop();
    m_client->stop();
}

void GatewayDaemon::Impl::tick()
{
    reduce(BalanceTick{});
    reportSuspension();
    reportUpdates();
    const TimePoint now = m_clock.now();
    updateSpareConnections(now);
    if (knowsControlHosts()) {
        m_watch->poll(now);
    } else {
        requestControlHosts(now);
    }
    const ServerSweep::Findings found =
        m_sweep.run({m_callersServer.get(), m_readinessServer.get(), m_metricsServer.get()}, now, m_metrics);
    if (found.cutOff > 0) {
        m_events.state("slow-readers-cut-off", {{"connections", found.cutOff}});
    }
    for (const ServerSweep::Refused &it : found.refused) {
        m_events.state("clients-refused", {{"port", it.port}, {"reason", it.reason}, {"count", it.count}});
    }
    m_metrics.gauge("pepperlug_request_bytes_held", static_cast<double>(m_intake->heldBytes()));
    if (found.failures > 0) {
        m_events.state("handler-failed", {{"requests", found.failures}, {"last", found.lastFailure}});
    }
    const std::lock_guard lock(m_mutex);
    m_metrics.gauge("pepperlug_view_age_seconds", secondsOf(viewAge()));
    m_metrics.gauge("pepperlug_target_connections_doubted", static_cast<double>(m_client->silences()));
    m_metrics.gauge("pepperlug_attempts_separated", static_cast<double>(m_client->separated()));
    m_metrics.gauge("pepperlug_attempts_continued", static_cast<double>(m_client->continued()));
    m_metrics.gauge("pepperlug_unread_answers", static_cast<double>(m_client->unreadAnswers()));
    m_metrics.gauge("pepperlug_requests_undelivered", static_cast<double>(m_client->undelivered()));
    m_metrics.gauge("pepperlug_addresses_repeating", static_cast<double>(m_client->repeating()));
    publishTraffic(m_metrics, m_net.traffic());
}

// Sends updates without waiting for the next regular request, up to half a second later: until then a request that
// crashes targets would crash further ones, and a target that lowered its rate limit would get as many requests as
// before.
void GatewayDaemon::Impl::reportUpdates()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hasUnsentUpdates) {
            return;
        }
        m_hasUnsentUpdates = false;
    }
    m_watch->sendReport();
}

HostReport GatewayDaemon::Impl::selfReport()
{
    HostReport report;
    report.id = m_incarnation;
    report.role = HostRole::Entry;
    report.zone = m_settings.zone;
    report.address = m_settings.callers.text();
    report.peer = m_settings.peer.text();
    // A host that routes nothing any more need not confirm anything, so acknowledgements don't wait for it.
    const bool routesNothing = m_isClosed && m_open.empty();
    report.presence = routesNothing ? Presence::Gone : (m_stoppingSince ? Presence::Draining : Presence::Ready);
    report.demand = m_balancer->demand(m_clock.now());
    report.linkUse = m_balancer->linkUse(m_clock.now());
    report.unreachableServices = m_balancer->unreachableServices();
    report.sequence = ++m_sequence;
    return report;
}

// Nearest first; hosts with unknown location last. The order among equally near hosts differs from host to host, so
// that restarting hosts don't all poll the same seed.
std::vector<Address> GatewayDaemon::Impl::controlHosts()
{
    const std::lock_guard lock(m_mutex);
    return rankedControlHosts();
}

std::vector<Address> GatewayDaemon::Impl::rankedControlHosts() const
{
    const auto regionOf = [&](const std::string &zone) {
        const auto it = m_settings.regionOfZone.find(zone);
        return it == m_settings.regionOfZone.end() ? std::string() : it->second;
    };
    const auto orderOf = [seed = hash64(m_settings.name)](const Address &address) {
        return hash64(address.text(), seed);
    };
    std::vector<std::tuple<int, std::uint64_t, Address>> ranked;
    for (const auto &[id, host] : m_controlHosts) {
        const std::optional<Address> peer = Address::parse(host.peer);
        if (!peer) {
            continue;
        }
        const bool isSameRegion = regionOf(host.zone) == regionOf(m_settings.zone);
        ranked.emplace_back(host.zone == m_settings.zone ? 0 : (isSameRegion ? 1 : 2), orderOf(*peer), *peer);
    }
    for (const Address &seed : m_settings.seeds) {
        const Address peer{seed.ip, m_settings.peer.port};
        ranked.emplace_back(3, orderOf(peer), peer);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Address> addresses;
    for (const auto &[rank, order, address] : ranked) {
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool GatewayDaemon::Impl::knowsControlHosts()
{
    const std::lock_guard lock(m_mutex);
    return m_discovery.isDone();
}

// A host that has just started knows only its seeds, mostly in other regions. It would keep following the first one,
// and so would all other entry hosts: updates would cross regions, and confirmations would arrive 35 ms later than
// through a control host of their own zone. With 27 control hosts, one of them got most of the followers.
void GatewayDaemon::Impl::requestControlHosts(TimePoint now)
{
    const std::vector<Address> seeds = controlHosts();
    Address to;
    {
        const std::lock_guard lock(m_mutex);
        if (seeds.empty() || m_isRequestingControlHosts || now < m_nextControlHostsRequest) {
            return;
        }
        m_isRequestingControlHosts = true;
        to = seeds[m_seedRequests++ % seeds.size()];
    }
    m_net.call(to, path::FleetControlHosts, std::string(), ControlHostsTimeout,
               [this, to](const PeerReply &reply) { onControlHosts(to, reply); });
}

void GatewayDaemon::Impl::onControlHosts(const Address &from, const PeerReply &reply)
{
    const auto [read, reason] = readReply<FleetControlHostsReply>(reply, from.text());
    const FleetControlHostsReply message = read.value_or(FleetControlHostsReply{});
    {
        // A failure below must not keep this host from asking again.
        const std::lock_guard lock(m_mutex);
        m_isRequestingControlHosts = false;
        m_nextControlHostsRequest = m_clock.now() + m_discovery.retryDelay();
    }
    m_events.state(message.hosts.empty() ? "control-hosts-not-told" : "control-hosts",
                   {{"from", from.text()}, {"hosts", message.hosts.size()}, {"reason", reason}});
    const std::lock_guard lock(m_mutex);
    for (const HostReport &it : message.hosts) {
        m_controlHosts[it.id] = it;
    }
    const TimePoint now = m_clock.now();
    if (reply.delivered) {
        m_discovery.recordList(message, now);
    } else {
        m_discovery.recordFailure(m_seedRequests >= m_settings.seeds.size());
    }
    m_nextControlHostsRequest = now + m_discovery.retryDelay();
}

void GatewayDaemon::Impl::onLink(const Address &control, bool isLost, const std::string &reason)
{
    m_events.state(isLost ? "control-lost" : "control-regained", {{"peer", control.text()}, {"reason", reason}});
    if (isLost) {
        m_metrics.count("pepperlug_control_losses");
    }
}

// Between the loss of one control host and the contact to another, each attempt takes as long as its limit.
void GatewayDaemon::Impl::onPollFailed(const Address &control, TimePoint sentAt, const std::string &reason)
{
    m_metrics.count("pepperlug_polls_failed");
    const std::lock_guard lock(m_mutex);
    m_events.state("poll-failed",
                   {{"peer", control.text()},
                    {"reason", reason},
                    {"took_ms", std::chrono::duration_cast<Milliseconds>(m_clock.now() - sentAt).count()},
                    {"view_age_ms", viewAge().count()}});
}

// Age of this host's view by its own clock; -1 ms if it never received one. The mutex is held.
Milliseconds GatewayDaemon::Impl::viewAge() const
{
    return m_viewAsOf ? std::chrono::duration_cast<Milliseconds>(m_clock.now() - *m_viewAsOf) : Milliseconds(-1);
}

void GatewayDaemon::Impl::logReply(const ReplyInfo &info, const FleetWatchReply &reply)
{
    m_metrics.count("pepperlug_news_bytes{to=\"entry\"}", info.bytes);
    m_metrics.latency("pepperlug_news_seconds", info.elapsed);
    if (info.elapsed >= SlowReplyThreshold || info.bytes >= LongReplyBytes) {
        m_events.state("news",
                       {{"from", info.from.text()},
                        {"took_ms", std::chrono::duration_cast<Milliseconds>(info.elapsed).count()},
                        {"bytes", info.bytes},
                        {"targets", reply.changes.targets.size()},
                        {"whole", reply.isWhole}});
    }
    const bool areMany = reply.isWhole || reply.changes.targets.size() > MaxLoggedTargets;
    for (const AgedReport<TargetReport> &it : reply.changes.targets) {
        // A line for each of some hundred healthy targets would crowd out the lines of decisions.
        if (areMany && it.report.presence == Presence::Ready && !it.isSilent) {
            continue;
        }
        m_events.state("target",
                       {{"target", it.report.id},
                        {"service", it.report.service},
                        {"address", it.report.address},
                        {"presence", nameOf(it.report.presence)},
                        {"silent", it.isSilent},
                        {"cold_ms", it.report.coldLeft.count()},
                        {"sequence", it.report.sequence},
                        {"age_ms", it.age.count()},
                        {"from", info.from.text()}});
    }
}

void GatewayDaemon::Impl::onControlReply(const ReplyInfo &info, FleetWatchReply &reply)
{
    logReply(info, reply);
    {
        const std::lock_guard lock(m_mutex);
        if (reply.isCurrent) {
            m_viewAsOf = info.sentAt;
            m_routingLag.addContact(m_clock.now());
        }
        m_followedHost = info.from;
        for (const AgedReport<HostReport> &it : reply.changes.hosts) {
            if (it.report.role == HostRole::Control && it.report.presence == Presence::Ready && !it.isSilent) {
                m_controlHosts[it.report.id] = it.report;
            } else {
                m_controlHosts.erase(it.report.id);
            }
        }
    }
    if (!reply.changes.empty() || reply.isWhole || !reply.demand.empty()) {
        reduce(ReportsChanged{std::move(reply.changes), reply.isWhole, reply.demand, std::move(reply.cachedTargets)});
    }
    applyUpdates<SuspectsReceived>(reply.suspects, reply.epoch, m_acknowledgedSuspects);
    applyUpdates<BackpressureReceived>(reply.backpressure, reply.epoch, m_acknowledgedBackpressure);
    updateRouting(info.from, reply);
    reportViewAge();
    reportRegionShares();
}

bool GatewayDaemon::Impl::isReady()
{
    const std::lock_guard lock(m_mutex);
    return !m_stoppingSince && m_balancer->tableVersion() > 0 && m_balancer->usableTargets(m_clock.now()) > 0;
}

void GatewayDaemon::Impl::onReadiness(const HttpExchangePtr &exchange)
{
    if (!m_dialect.isReadinessCheck(exchange->request())) {
        exchange->respond(jsonAnswer(404, {{"reason", "no such page"}}));
        return;
    }
    exchange->respond(jsonAnswer(isReady() ? Ok : Unavailable, nlohmann::json::object()));
}

void GatewayDaemon::Impl::reload(const FleetSettings &settings)
{
    {
        const std::lock_guard lock(m_mutex);
        m_settings.seeds = settings.seeds;
        m_settings.bounds.gracePeriod = settings.bounds.gracePeriod;
    }
    m_events.state("reload", {{"seeds", settings.seeds.size()}});
}

Address GatewayDaemon::Impl::callersAddress() const
{
    return m_callersServer->address();
}

Address GatewayDaemon::Impl::readinessAddress() const
{
    return m_readinessServer->address();
}

GatewayDaemon::GatewayDaemon(FleetSettings settings, const Clock &clock, CallerDialectTable dialect)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, dialect))
{
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::reload(const FleetSettings &settings)
{
    m_impl->reload(settings);
}

void GatewayDaemon::stopGracefully()
{
    m_impl->stopGracefully();
}

Address GatewayDaemon::callersAddress() const
{
    return m_impl->callersAddress();
}

Address GatewayDaemon::readinessAddress() const
{
    return m_impl->readinessAddress();
}

} // namespace pepperlug::fleet
