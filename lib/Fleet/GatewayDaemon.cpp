//===- GatewayDaemon.cpp - Life of an entry host --------------------------===//
#include "../Daemon/HttpStatus.h"
#include "GatewayImpl.h"
#include "MetricsServer.h"
#include "PeerReplies.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds TickInterval{25};
constexpr Milliseconds WatchPatience{500};
/// A reply that took longer gets a line of its own: the farthest way and back, and twice as much again, after it was
/// held back for as long as it may be.
constexpr Milliseconds SlowReply = WatchPatience + Milliseconds(300);
/// So does one that is longer, in bytes: about 30 ms of a link of 4 Mbit/s, the narrowest that was met.
constexpr std::size_t LongReply = 16 * 1024;
/// Part of the link that large answers may use on their way here, so that small ones need not queue behind them. They
/// use as much again on their way to callers.
constexpr double LargeAnswersPart = 0.5;
/// In which a seed tells the control hosts; then the next one is asked. Ten times the farthest way and back.
constexpr Milliseconds ControlHostsTimeout{700};
/// After a seed that did not tell. A seed that starts at the same time listens within about as long.
constexpr Milliseconds PauseBetweenSeeds{150};
constexpr std::size_t IncarnationBytes = 8;
/// Between two asks that are made at once since a tenant's requests have grown.
constexpr Milliseconds SurgeInterval{200};
/// Callers that hold a directory answer still come for so long after this host has left it.
constexpr Milliseconds LeastLeavingTime{2500};
/// What is left of the grace time when the process ends in any case.
constexpr Milliseconds GraceReserve{600};
/// For answers, and refusals of requests that cross the end, to be written.
constexpr Milliseconds LastAnswers{200};

BalanceSettings balanceSettings(const FleetSettings &settings, const std::string &incarnation)
{
    BalanceSettings balance;
    balance.host = incarnation;
    balance.zone = settings.zone;
    balance.regionOfZone = settings.regionOfZone;
    balance.retries = settings.bounds.retries;
    balance.quotas = settings.bounds.quotas;
    balance.maxShift = settings.bounds.maxShift;
    balance.linkBytesPerSecond = settings.linkBytesPerSecond;
    balance.seed = hash64(incarnation);
    balance.updateLease = settings.newsLease;
    balance.firstProbeDelay = settings.firstTrialPause;
    balance.policy = settings.policy;
    return balance;
}

HttpLimits callerLimits(const FleetSettings &settings)
{
    HttpLimits limits;
    limits.headBytes = 64UL * 1024;
    limits.bodyBytes = settings.maxBodyBytes;
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
{
    m_events.state("start", {{"role", "entry"}, {"zone", m_settings.zone}});
    const auto forLarge =
        static_cast<std::uint64_t>(static_cast<double>(m_settings.linkBytesPerSecond) * LargeAnswersPart);
    m_client = std::make_unique<HttpClient>(m_settings.maxAnswerBytes, forLarge);
    ControlWatch::Hooks hooks;
    hooks.describe = [this](const Address &, const std::string &epoch) {
        const std::lock_guard lock(m_mutex);
        FleetWatchCall call;
        call.self = selfReport();
        call.routingIndex = m_routing.index;
        call.routingHeard = m_routingLag.newest();
        call.confirmed.routing = actsUpon();
        describeSuspects(call, epoch);
        describeBackpressure(call, epoch);
        return call;
    };
    hooks.candidates = [this] {
        return controlHosts();
    };
    hooks.onReply = [this](const NewsReceipt &receipt, const FleetWatchReply &reply) {
        onControlReply(receipt, reply);
        return true;
    };
    hooks.onLink = [this](const Address &control, bool isLost, const std::string &reason) {
        onLink(control, isLost, reason);
    };
    m_watch = std::make_unique<ControlWatch>(m_net, m_clock, WatchPatience, std::move(hooks));
    m_callersServer = std::make_unique<HttpServer>(m_settings.callers, 1, callerLimits(m_settings), m_clock,
                                                   [this](const HttpExchangePtr &exchange) { onHttp(exchange); });
    m_readinessServer =
        std::make_unique<HttpServer>(m_settings.readiness, 1, HttpLimits{}, m_clock,
                                     [this](const HttpExchangePtr &exchange) { onReadiness(exchange); });
    m_metricsServer = serveMetrics(m_settings.metrics, m_metrics, m_clock);
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
    tellNews();
    tellSurges();
    const TimePoint now = m_clock.now();
    if (knowsControlHosts()) {
        m_watch->poll(now);
    } else {
        askForControlHosts(now);
    }
    const std::lock_guard lock(m_mutex);
    m_metrics.gauge("pepperlug_view_age_seconds", secondsOf(viewAge()));
}

// Told with the next ask, up to half a second later, a request that ends targets would cost further ones, and a target
// that asks for less would get as much as before.
void GatewayDaemon::Impl::tellNews()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hasNewsToTell) {
            return;
        }
        m_hasNewsToTell = false;
    }
    m_watch->hurry();
}

// With the next ask, up to half a second later, control hosts would hear of a crowd when it has used up the limit.
void GatewayDaemon::Impl::tellSurges()
{
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (now < m_nextSurge || !m_balancer->hasTenantSurged(now)) {
            return;
        }
        m_nextSurge = now + SurgeInterval;
    }
    m_watch->hurry();
}

HostReport GatewayDaemon::Impl::selfReport()
{
    HostReport report;
    report.id = m_incarnation;
    report.role = HostRole::Entry;
    report.zone = m_settings.zone;
    report.address = m_settings.callers.text();
    report.peer = m_settings.peer.text();
    // What is acknowledged from then on needs no host that passes nothing on any more.
    report.presence = m_isClosed ? Presence::Gone : (m_isStopping ? Presence::Draining : Presence::Ready);
    report.demand = m_balancer->demand(m_clock.now());
    report.linkUse = m_balancer->linkUse(m_clock.now());
    report.tenants = m_balancer->tenantDemand(m_clock.now());
    report.sequence = ++m_sequence;
    return report;
}

// Nearest first; a host whose place is not known yet comes last. Those that are alike near come in an order that
// differs from host to host, so that hosts which restart do not all ask the same seed.
std::vector<Address> GatewayDaemon::Impl::controlHosts()
{
    const std::lock_guard lock(m_mutex);
    const auto regionOf = [&](const std::string &zone) {
        const auto it = m_settings.regionOfZone.find(zone);
        return it == m_settings.regionOfZone.end() ? std::string() : it->second;
    };
    const auto turnOf = [seed = hash64(m_settings.name)](const Address &address) {
        return hash64(address.text(), seed);
    };
    std::vector<std::tuple<int, std::uint64_t, Address>> ranked;
    for (const auto &[id, host] : m_controlHosts) {
        const std::optional<Address> peer = Address::parse(host.peer);
        if (!peer) {
            continue;
        }
        const bool isNear = regionOf(host.zone) == regionOf(m_settings.zone);
        ranked.emplace_back(host.zone == m_settings.zone ? 0 : (isNear ? 1 : 2), turnOf(*peer), *peer);
    }
    for (const Address &seed : m_settings.seeds) {
        const Address peer{seed.ip, m_settings.peer.port};
        ranked.emplace_back(3, turnOf(peer), peer);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Address> addresses;
    for (const auto &[rank, turn, address] : ranked) {
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool GatewayDaemon::Impl::knowsControlHosts()
{
    const std::lock_guard lock(m_mutex);
    return m_wasToldControlHosts;
}

// A host that has just started knows its seeds alone, mostly in other regions. It would stay with the one that it
// follows first, and so would all others: what they hear would cross borders, and what they confirm would come a way
// of 35 ms later than from a control host of their own zone. Seen with 27 control hosts: one had most followers.
void GatewayDaemon::Impl::askForControlHosts(TimePoint now)
{
    const std::vector<Address> seeds = controlHosts();
    Address to;
    {
        const std::lock_guard lock(m_mutex);
        if (seeds.empty() || m_isAskingForControlHosts || now < m_nextAskForControlHosts) {
            return;
        }
        m_isAskingForControlHosts = true;
        to = seeds[m_seedsAsked++ % seeds.size()];
    }
    m_net.call(to, path::FleetControlHosts, std::string(), ControlHostsTimeout,
               [this, to](const PeerReply &reply) { onControlHosts(to, reply); });
}

void GatewayDaemon::Impl::onControlHosts(const Address &from, const PeerReply &reply)
{
    const auto [read, reason] = readReply<FleetControlHostsReply>(reply, from.text());
    const FleetControlHostsReply told = read.value_or(FleetControlHostsReply{});
    m_events.state(told.hosts.empty() ? "control-hosts-not-told" : "control-hosts",
                   {{"from", from.text()}, {"hosts", told.hosts.size()}, {"reason", reason}});
    const std::lock_guard lock(m_mutex);
    m_isAskingForControlHosts = false;
    m_nextAskForControlHosts = m_clock.now() + PauseBetweenSeeds;
    // A seed that lives but can't tell is followed itself, and so they are in turn where none of them answers.
    const bool triedAll = m_seedsAsked >= m_settings.seeds.size();
    m_wasToldControlHosts = reply.delivered || triedAll;
    for (const HostReport &it : told.hosts) {
        m_controlHosts[it.id] = it;
    }
}

void GatewayDaemon::Impl::onLink(const Address &control, bool isLost, const std::string &reason)
{
    m_events.state(isLost ? "control-lost" : "control-regained", {{"peer", control.text()}, {"reason", reason}});
    if (isLost) {
        m_metrics.count("pepperlug_control_losses");
    }
}

// Age of what this host knows, by its own clock; -1 ms if it was never told anything. The mutex is held.
Milliseconds GatewayDaemon::Impl::viewAge() const
{
    return m_viewAsOf ? std::chrono::duration_cast<Milliseconds>(m_clock.now() - *m_viewAsOf) : Milliseconds(-1);
}

void GatewayDaemon::Impl::logReply(const NewsReceipt &receipt, const FleetWatchReply &reply)
{
    m_metrics.count("pepperlug_news_bytes{to=\"entry\"}", receipt.bytes);
    m_metrics.latency("pepperlug_news_seconds", receipt.took);
    if (receipt.took >= SlowReply || receipt.bytes >= LongReply) {
        m_events.state("news",
                       {{"from", receipt.from.text()},
                        {"took_ms", std::chrono::duration_cast<Milliseconds>(receipt.took).count()},
                        {"bytes", receipt.bytes},
                        {"targets", reply.changes.targets.size()},
                        {"whole", reply.isWhole}});
    }
    for (const AgedReport<TargetReport> &it : reply.changes.targets) {
        // A line for each of some hundred targets that are as they should be would push the decisions out.
        if (reply.isWhole && it.report.presence == Presence::Ready && !it.isSilent) {
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
                        {"from", receipt.from.text()}});
    }
}

void GatewayDaemon::Impl::onControlReply(const NewsReceipt &receipt, const FleetWatchReply &reply)
{
    logReply(receipt, reply);
    {
        const std::lock_guard lock(m_mutex);
        if (reply.isCurrent) {
            m_viewAsOf = receipt.askedAt;
        }
        m_followed = receipt.from;
        for (const AgedReport<HostReport> &it : reply.changes.hosts) {
            if (it.report.role == HostRole::Control && it.report.presence == Presence::Ready && !it.isSilent) {
                m_controlHosts[it.report.id] = it.report;
            } else {
                m_controlHosts.erase(it.report.id);
            }
        }
    }
    if (!reply.changes.empty() || reply.isWhole || !reply.demand.empty()) {
        reduce(ReportsChanged{reply.changes, reply.isWhole, reply.demand, reply.remembered});
    }
    takeNews<SuspectsReceived>(reply.suspects, reply.epoch, m_toldSuspects);
    takeNews<BackpressureReceived>(reply.backpressure, reply.epoch, m_toldBackpressure);
    onLoadsTold(reply);
    followRouting(receipt.from, reply);
    tellAgeOfNews();
}

void GatewayDaemon::Impl::onLoadsTold(const FleetWatchReply &reply)
{
    {
        const std::lock_guard lock(m_mutex);
        const ToldVersion told{reply.epoch, reply.loadsVersion};
        if (told == m_toldLoads) {
            return;
        }
        m_toldLoads = told;
    }
    for (const TenantLoad &it : reply.loads) {
        if (it.part < 1) {
            m_events.decision("tenant-limited",
                              {{"tenant_hash", it.tenant}, {"per_s", it.perSecond}, {"part", it.part}});
        }
    }
    reduce(TenantLoadsReceived{reply.loads});
}

bool GatewayDaemon::Impl::isReady()
{
    const std::lock_guard lock(m_mutex);
    return !m_isStopping && m_balancer->tableVersion() > 0 && m_balancer->usableTargets(m_clock.now()) > 0;
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
    }
    m_events.state("reload", {{"seeds", settings.seeds.size()}});
}

// New callers may come until the directory's answers have run out, so they are served meanwhile. A request that comes
// just before the end must not be passed on and then be cut off: from the moment in which nothing is open, each new one
// is refused, and the process ends a little later.
void GatewayDaemon::Impl::stopGracefully()
{
    const TimePoint begun = m_clock.now();
    m_events.state("stop", {{"role", "entry"}});
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_callersServer->closeAfterAnswers();
    m_watch->hurry();
    const TimePoint last = begun + m_settings.bounds.grace - GraceReserve;
    for (;;) {
        std::this_thread::sleep_for(TickInterval);
        const TimePoint now = m_clock.now();
        const bool isIdle = now - begun >= LeastLeavingTime && closeIfIdle();
        if (isIdle || now >= last) {
            break;
        }
    }
    std::size_t open = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        open = m_open.size();
    }
    m_watch->hurry();
    m_events.state("stopped", {{"open_requests", open}});
    std::this_thread::sleep_for(LastAnswers);
}

bool GatewayDaemon::Impl::closeIfIdle()
{
    const std::lock_guard lock(m_mutex);
    m_isClosed = m_open.empty();
    return m_isClosed;
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
