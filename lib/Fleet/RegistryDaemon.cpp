//===- RegistryDaemon.cpp - Lifecycle of a control host -------------------===//
//
// There are two kinds of state. Operators' changes are committed through the replicated log. Reports of targets and
// hosts are passed from each control host to all others without consensus, since they are renewed all the time.
//
//===----------------------------------------------------------------------===//
#include "../Wire/PeerReports.h"
#include "MetricsServer.h"
#include "PeerEvents.h"
#include "RegistryImpl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds TickInterval{25};
constexpr Milliseconds JoinInterval{300};
constexpr Milliseconds PeerMaxWait{300};
constexpr auto MessageTimeout = std::chrono::seconds(1);
constexpr auto SnapshotTimeout = std::chrono::seconds(5);
constexpr std::size_t IncarnationBytes = 8;
/// Delay of a tick from which on this host is short of processor time. Leases allow for several of them.
constexpr Milliseconds LongTickDelay{250};
/// Between two log lines about it.
constexpr std::chrono::seconds DelayLineInterval{10};
/// A host must have had contact to a majority for that long before it marks others as silent.
constexpr auto MinCurrentTime = std::chrono::seconds(3);
constexpr std::size_t MaxTableBytes = 4UL << 20;
constexpr Milliseconds FinalAnswersTime{300};
constexpr Milliseconds FlushTime{50};

HttpLimits operatorLimits()
{
    HttpLimits limits;
    limits.bodyBytes = MaxTableBytes;
    return limits;
}

ControlLogSettings logSettings(const FleetSettings &settings)
{
    ControlLogSettings log;
    log.name = settings.peer.text();
    log.zone = settings.zone;
    log.dataFolder = settings.dataFolder;
    // The seeds of the first start are the initial members; all other hosts join them.
    for (const Address &seed : settings.seeds) {
        log.initialMembers.push_back(Address{seed.ip, settings.peer.port}.text());
        log.isInitialMember |= settings.isFirstStart && seed == settings.operators;
    }
    return log;
}

} // namespace

RegistryDaemon::Impl::Impl(FleetSettings settings, const Clock &clock, ControlDialectTable dialect)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_dialect(dialect)
    , m_events(m_settings.name, clock, m_settings.logLinesPerSecond)
    , m_epoch(randomHex(IncarnationBytes))
    , m_incarnation(m_settings.name + "#" + m_epoch)
    , m_quarantine(m_settings.firstProbePause)
    , m_quotas(m_incarnation, m_settings.bounds.quotas, m_settings.isFirstStart)
    , m_confirmations(m_settings.updateLease)
    , m_startedAt(clock.now())
    , m_notCurrentSince(m_startedAt)
{
    m_log = std::make_unique<ControlLog>(logSettings(m_settings), m_clock, *this);
    m_events.state("start",
                   {{"role", "control"},
                    {"zone", m_settings.zone},
                    {"disk", m_log->diskId()},
                    {"first_start", m_settings.isFirstStart}});
    restoreCachedState();
    restoreDepartures();
    m_net.onSilence([this](const SilentConnection &silent) { reportSilence(m_events, silent); });
    m_net.onFailure(
        [this](const std::string &path, const std::string &reason) { reportFailure(m_events, path, reason); });
    const IntakeLimits limits = intakeLimits(m_settings.memoryMb, m_settings.maxDescriptors);
    m_intake = std::make_shared<Intake>(limits);
    // Apart from callers' bytes, which must not cost other hosts their calls.
    m_net.bound({limits.bytes / 2, limits.connections / 2});
    m_net.listen(m_settings.peerListen.value_or(m_settings.peer),
                 [this](const IncomingCallPtr &call) { onPeerCall(call); });
    m_log->start();
    const auto handler = [this](const HttpExchangePtr &exchange) {
        onHttp(exchange);
    };
    m_operatorsServer =
        std::make_unique<HttpServer>(m_settings.operators, 1, operatorLimits(), m_clock, handler, m_intake);
    m_directoryServer = std::make_unique<HttpServer>(m_settings.directory, 1, HttpLimits{}, m_clock, handler, m_intake);
    m_metricsServer = serveMetrics(m_settings.metrics, m_metrics, m_clock, m_intake);
    m_writer = std::make_unique<TaskThread>();
    m_ticker = std::make_unique<Ticker>(TickInterval, [this] { tick(); });
}

RegistryDaemon::Impl::~Impl()
{
    m_ticker.reset();
    m_writer.reset();
    m_departureWriter->stop(); // calls that still arrive may post to it
    m_log->stop();
    m_operatorsServer->stop();
    m_directoryServer->stop();
    m_metricsServer->stop();
    m_net.stop();
}

void RegistryDaemon::Impl::tick()
{
    const TimePoint now = m_clock.now();
    noteTick(now);
    {
        const std::lock_guard lock(m_mutex);
        reportSelf(now);
        expire(now);
        saveDepartures(now);
        removeExpiredDepartures(now);
        replyToWatchers(now);
        resolvePending(now);
        updateCallerShares(now);
        advanceQuotas(now);
        saveCachedState(now);
    }
    requestMembership(now);
    pollPeers(now);
    const ServerSweep::Findings found =
        m_sweep.run({m_operatorsServer.get(), m_directoryServer.get(), m_metricsServer.get()}, now, m_metrics);
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
}

// A tick is late if the threads of this process get too little processor time.
void RegistryDaemon::Impl::noteTick(TimePoint now)
{
    const Duration delay = now - m_tickedAt.value_or(now - TickInterval) - TickInterval;
    m_tickedAt = now;
    m_metrics.latency("pepperlug_tick_delay_seconds", std::max(delay, Duration(0)));
    if (delay < LongTickDelay) {
        return;
    }
    ++m_longDelays;
    if (now >= m_nextDelayLine) {
        m_nextDelayLine = now + DelayLineInterval;
        m_events.state("short-of-processor-time",
                       {{"tick_delay_ms", std::chrono::duration_cast<Milliseconds>(delay).count()},
                        {"long_delays", std::exchange(m_longDelays, 0)}});
    }
}

HostReport RegistryDaemon::Impl::selfReport()
{
    HostReport report;
    report.id = m_incarnation;
    report.role = HostRole::Control;
    report.zone = m_settings.zone;
    report.address = m_settings.operators.text();
    report.peer = m_settings.peer.text();
    report.presence = m_isLeaving ? Presence::Gone : Presence::Ready;
    report.sequence = ++m_sequence;
    return report;
}

void RegistryDaemon::Impl::reportSelf(TimePoint now)
{
    if (now < m_nextSelfReport) {
        return;
    }
    m_nextSelfReport = now + SelfReportInterval;
    m_registry.receive(selfReport(), now);
    m_confirmations.removeExpired(followedControlHosts(now), now);
}

void RegistryDaemon::Impl::expire(TimePoint now)
{
    const ControlLogStatus status = m_log->status();
    const bool isCurrent = status.isCurrent(now);
    publishTraffic(m_metrics, m_net.traffic());
    m_metrics.gauge("pepperlug_control_commit", static_cast<double>(status.commit));
    if (isCurrent && !m_wasCurrent) {
        m_currentSince = now;
    }
    if (isCurrent != m_wasCurrent) {
        m_notCurrentSince = now;
        m_events.state(isCurrent ? "majority-regained" : "majority-lost",
                       {{"term", status.term}, {"commit", status.commit}});
    }
    m_wasCurrent = isCurrent;
    m_registry.expire(now, isCurrent && now - m_currentSince > MinCurrentTime);
    m_backpressure.removeExpired(now);
    if (m_quarantine.removeExpired(now)) {
        m_metrics.gauge("pepperlug_suspects", static_cast<double>(m_quarantine.size()));
        m_metrics.gauge("pepperlug_requests_shut_out", static_cast<double>(m_quarantine.quarantinedCount()));
    }
}

std::vector<Address> RegistryDaemon::Impl::knownControlHosts()
{
    const std::lock_guard lock(m_mutex);
    std::set<Address> addresses;
    for (const Address &seed : m_settings.seeds) {
        addresses.insert({seed.ip, m_settings.peer.port});
    }
    for (const auto &[id, entry] : m_registry.controlHosts()) {
        const std::optional<Address> peer = Address::parse(entry->report.peer);
        if (Registry::isLive(*entry) && peer) {
            addresses.insert(*peer);
        }
    }
    for (const ControlMember &member : m_log->status().members) {
        if (const std::optional<Address> peer = Address::parse(member.name)) {
            addresses.insert(*peer);
        }
    }
    addresses.erase(m_settings.peer);
    return {addresses.begin(), addresses.end()};
}

void RegistryDaemon::Impl::requestMembership(TimePoint now)
{
    const ControlLogStatus status = m_log->status();
    const std::string name = m_settings.peer.text();
    const auto self = std::find_if(status.members.begin(), status.members.end(),
                                   [&](const ControlMember &member) { return member.name == name; });
    const bool isMember = self != status.members.end() && self->zone == m_settings.zone && status.isCurrent(now);
    if (isMember || now < m_nextJoin) {
        return;
    }
    m_nextJoin = now + JoinInterval;
    const MembershipCall call{name, m_log->diskId(), m_settings.zone};
    m_log->post(JoinRequested{call.name, call.diskId, call.zone});
    for (const Address &to : knownControlHosts()) {
        m_net.call(to, path::FleetJoin, encode(call), MessageTimeout, [](const PeerReply &) {});
    }
}

void RegistryDaemon::Impl::pollPeers(TimePoint now)
{
    const std::vector<Address> known = knownControlHosts();
    std::vector<ControlWatch *> watches;
    {
        const std::lock_guard lock(m_mutex);
        for (const Address &peer : known) {
            std::unique_ptr<ControlWatch> &watch = m_peers[peer];
            if (!watch) {
                ControlWatch::Hooks hooks;
                hooks.makeCall = [this](const Address &to, const std::string &epoch) {
                    const std::lock_guard guard(m_mutex);
                    FleetWatchCall call;
                    call.self = selfReport();
                    call.routingIndex = m_routing.index();
                    call.newestRoutingIndex = m_routing.index();
                    call.confirmed = confirmedTo(to, epoch);
                    call.saved = m_saved.savedOf(to.text(), epoch);
                    return call;
                };
                hooks.candidates = [peer] {
                    return std::vector<Address>{peer};
                };
                hooks.onReply = [this](const ReplyInfo &info, const FleetWatchReply &reply) {
                    return onPeerReply(info, reply);
                };
                hooks.onLink = [this](const Address &to, bool isLost, const std::string &reason) {
                    m_events.state(isLost ? "control-host-lost" : "control-host-regained",
                                   {{"peer", to.text()}, {"reason", reason}});
                };
                watch = std::make_unique<ControlWatch>(m_net, m_clock, PeerMaxWait, std::move(hooks));
            }
            watches.push_back(watch.get());
        }
    }
    for (ControlWatch *watch : watches) {
        watch->poll(now);
    }
}

std::string RegistryDaemon::Impl::applyCommand(const std::string &command, std::uint64_t index)
{
    const auto decoded = decode<RoutingCommand>(command, "log");
    RoutingResult result{};
    {
        const std::lock_guard lock(m_mutex);
        result = m_routing.apply(decoded, index);
        if (result == RoutingResult::Done) {
            publishRouting();
            queueConfirmation(Address::parse(m_log->status().leader), {0, index});
            announceUpdates(m_clock.now());
        }
    }
    if (result == RoutingResult::Done) {
        m_events.state(
            "routing-changed",
            {{"index", index},
             {"change",
              decoded.kind == RoutingCommandKind::PutTable
                  ? "table " + std::to_string(decoded.version)
                  : (decoded.kind == RoutingCommandKind::EvacuateZone ? "evacuate " : "return ") + decoded.zone}});
    }
    return std::to_string(static_cast<int>(result));
}

std::string RegistryDaemon::Impl::takeSnapshot()
{
    const std::lock_guard lock(m_mutex);
    return m_routing.snapshot();
}

void RegistryDaemon::Impl::restoreSnapshot(const std::string &data)
{
    const std::lock_guard lock(m_mutex);
    m_routing.restore(data);
    publishRouting();
    replyToWatchers(m_clock.now());
}

RoutingView RegistryDaemon::Impl::viewOf(const RoutingState &routing) const
{
    RoutingView view{routing.index(), nullptr, routing.evacuatedZones()};
    if (routing.text().empty()) {
        return view;
    }
    // A version identifies one document, so an evacuation doesn't need to parse it again.
    const std::shared_ptr<const RouteTable> &newest = m_history.view().table;
    const bool isParsed = newest && newest->version == routing.version();
    view.table = isParsed ? newest : std::make_shared<const RouteTable>(m_dialect.readTable(routing.text()));
    return view;
}

void RegistryDaemon::Impl::publishRouting()
{
    try {
        m_history.append(viewOf(m_routing));
    } catch (const Error &ex) {
        // The table was checked before it was committed, so this host runs another version of the dialect.
        m_events.state("table-unreadable", {{"index", m_routing.index()}, {"reason", ex.what()}});
        return;
    }
    const RoutingView &view = m_history.view();
    m_hasHomes = view.table && view.table->hasHomeRegions();
}

void RegistryDaemon::Impl::statusChanged(const ControlLogStatus &status)
{
    nlohmann::json members = nlohmann::json::array();
    for (const ControlMember &member : status.members) {
        members.push_back(member.name + (member.voter ? "" : " (learner)"));
    }
    m_events.state("control-group",
                   {{"role", nameOf(status.role)},
                    {"term", status.term},
                    {"leader", status.leader},
                    {"commit", status.commit},
                    {"members", members}});
}

void RegistryDaemon::Impl::sendToMember(const std::string &name, const ControlMessage &message)
{
    const std::optional<Address> to = Address::parse(name);
    if (!to) {
        return;
    }
    const bool isLarge = std::holds_alternative<SnapshotRequest>(message);
    m_net.call(*to, pathOf(message), encodeControlMessage(message),
               isLarge ? Duration(SnapshotTimeout) : Duration(MessageTimeout), [](const PeerReply &) {});
}

void RegistryDaemon::Impl::logFailed(const std::string &reason)
{
    // The contents of the disk are unknown now, so nothing more may be acknowledged.
    m_events.state("disk-failed", {{"reason", reason}});
    std::_Exit(1);
}

void RegistryDaemon::Impl::reload(const FleetSettings &settings)
{
    {
        const std::lock_guard lock(m_mutex);
        m_settings.seeds = settings.seeds;
        m_settings.bounds = settings.bounds;
        m_quotas.setTolerance(settings.bounds.quotas);
    }
    m_events.state("reload", {{"seeds", settings.seeds.size()}});
}

void RegistryDaemon::Impl::stopGracefully()
{
    const TimePoint deadline = stopTimes(m_clock.now(), m_settings.bounds.gracePeriod).exitAt;
    m_events.state("stop", {{"role", "control"}});
    m_operatorsServer->closeAfterAnswers();
    m_directoryServer->closeAfterAnswers();
    {
        const std::lock_guard lock(m_mutex);
        m_isLeaving = true;
        m_nextSelfReport = {};
        reportSelf(m_clock.now());
        replyToWatchers(m_clock.now());
    }
    std::this_thread::sleep_for(FinalAnswersTime);
    answerPending();
    const std::size_t toOperators = m_operatorsServer->awaitDelivery(deadline - m_clock.now());
    const std::size_t toCallers = m_directoryServer->awaitDelivery(deadline - m_clock.now());
    m_events.state("stopped", {{"undelivered_answers", toOperators + toCallers}});
    m_events.flush(FlushTime);
}

Address RegistryDaemon::Impl::operatorsAddress() const
{
    return m_operatorsServer->address();
}

Address RegistryDaemon::Impl::directoryAddress() const
{
    return m_directoryServer->address();
}

RegistryDaemon::RegistryDaemon(FleetSettings settings, const Clock &clock, ControlDialectTable dialect)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, dialect))
{
}

RegistryDaemon::~RegistryDaemon() = default;

void RegistryDaemon::reload(const FleetSettings &settings)
{
    m_impl->reload(settings);
}

void RegistryDaemon::stopGracefully()
{
    m_impl->stopGracefully();
}

Address RegistryDaemon::operatorsAddress() const
{
    return m_impl->operatorsAddress();
}

Address RegistryDaemon::directoryAddress() const
{
    return m_impl->directoryAddress();
}

} // namespace pepperlug::fleet
