//===- RegistryRequests.cpp - HTTP requests to a control host -------------===//
#include "RegistryImpl.h"

#include <algorithm>
#include <cmath>

namespace pepperlug::fleet
{

namespace
{

/// Targets switch to another control host after one second.
constexpr Milliseconds DepartureTimeout{900};
constexpr Milliseconds DirectoryTimeToLive{1000};
constexpr Milliseconds SharesInterval{250};
/// Most bytes of external text that a log line or an answer repeats.
constexpr std::size_t MaxReasonBytes = 200;

std::string subjectOf(const RoutingCommand &command)
{
    return command.kind == RoutingCommandKind::PutTable ? "table " + std::to_string(command.version)
                                                        : "zone " + command.zone;
}

} // namespace

void RegistryDaemon::Impl::onHttp(const HttpExchangePtr &exchange)
{
    const ControlRequest request = m_dialect.readControlRequest(exchange->request());
    std::visit([&](const auto &it) { answer(exchange, it); }, request);
}

void RegistryDaemon::Impl::answer(const HttpExchangePtr &exchange, const UnknownCall &request)
{
    const ControlAnswer kind = request.isKnownPath ? ControlAnswer::Invalid : ControlAnswer::Unknown;
    refuseCall(exchange, kind, request.reason);
}

// A request that can't be parsed changes nothing. The reason may quote the sender's text, so its length is limited.
void RegistryDaemon::Impl::refuseCall(const HttpExchangePtr &exchange, ControlAnswer kind, const std::string &reason)
{
    const std::string printableReason = printable(reason, MaxReasonBytes);
    m_metrics.count("pepperlug_calls_refused");
    m_events.decision("call-refused",
                      {{"path", printable(exchange->request().path(), MaxReasonBytes)}, {"reason", printableReason}});
    exchange->respond(m_dialect.controlAnswer(kind, printableReason));
}

// A service that the newest table doesn't name may be another writer's, whose address must not replace a target in use.
// Without a table, and for known targets, each report is accepted: departures must not be lost.
bool RegistryDaemon::Impl::isOfUnknownService(const TargetReport &report) const
{
    const std::shared_ptr<const RouteTable> &table = m_history.view().table;
    const bool isKnownTarget = m_registry.target(report.id) != nullptr;
    return report.presence == Presence::Ready && !isKnownTarget && table && table->service(report.service) == nullptr;
}

void RegistryDaemon::Impl::answer(const HttpExchangePtr &exchange, const ReportTarget &request)
{
    const TimePoint now = m_clock.now();
    const bool isDeparture = request.report.presence != Presence::Ready;
    bool isUnknownService = false;
    {
        const std::lock_guard lock(m_mutex);
        isUnknownService = isOfUnknownService(request.report);
    }
    if (isUnknownService) {
        refuseCall(exchange, ControlAnswer::Invalid, "no service \"" + request.report.service + "\" is configured");
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        TargetReport report = request.report;
        const Registry::TargetEntry *known = m_registry.target(report.id);
        if (report.presence == Presence::Gone && known != nullptr) {
            report = departureOf(known->report, report);
        }
        const std::optional<TargetReport> before = known != nullptr ? std::optional(known->report) : std::nullopt;
        m_registry.receive(report, now);
        const Registry::TargetEntry *entry = m_registry.target(report.id);
        const bool isNewLife = !before || before->startedAt != entry->report.startedAt;
        if (isNewLife || before->presence != entry->report.presence) {
            m_events.state("target",
                           {{"target", report.id},
                            {"service", report.service},
                            {"address", report.address},
                            {"zone", report.zone},
                            {"presence", nameOf(entry->report.presence)},
                            {"cold_ms", report.coldLeft.count()},
                            {"sequence", report.sequence},
                            {"started_at_ms", entry->report.startedAt.count()}});
        }
        announceUpdates(now);
        if (isDeparture) {
            m_departures.push_back({exchange, report.id, entry->changedVersion, now, now + DepartureTimeout});
            saveDepartures(now);
            resolveDepartures(now);
            answerPendingIfStopped();
        }
    }
    if (!isDeparture) {
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Done, {}));
    }
}

void RegistryDaemon::Impl::answer(const HttpExchangePtr &exchange, const PutTable &request)
{
    RouteTable table;
    try {
        table = m_dialect.readTable(request.text);
        const Findings findings = checkRouteTable(table, "request");
        if (!findings.empty()) {
            throw InvalidInput(findings);
        }
    } catch (const Error &ex) {
        m_events.decision("table-invalid", {{"reason", ex.what()}});
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Invalid, ex.what()));
        return;
    }
    RoutingCommand command;
    command.kind = RoutingCommandKind::PutTable;
    command.baseVersion = request.baseVersion;
    command.version = table.version;
    command.text = request.text;
    proposeCommand(exchange, command, subjectOf(command));
}

void RegistryDaemon::Impl::answer(const HttpExchangePtr &exchange, const SetEvacuation &request)
{
    RoutingCommand command;
    command.kind = request.isEvacuated ? RoutingCommandKind::EvacuateZone : RoutingCommandKind::ReturnZone;
    command.zone = request.zone;
    if (!m_settings.regionOfZone.contains(request.zone)) {
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Unknown, "unknown zone " + request.zone));
        return;
    }
    proposeCommand(exchange, command, subjectOf(command));
}

void RegistryDaemon::Impl::proposeCommand(const HttpExchangePtr &exchange, const RoutingCommand &command,
                                          const std::string &subject)
{
    const ControlLogStatus status = m_log->status();
    if (status.role != ControlRole::Leader) {
        redirectToLeader(exchange, status.leader);
        return;
    }
    if (status.canRead(m_clock.now())) {
        RoutingResult result{};
        {
            const std::lock_guard lock(m_mutex);
            result = m_routing.check(command);
        }
        if (result != RoutingResult::Done) {
            respondToCommand(exchange, result, subject);
            return;
        }
    }
    const std::uint64_t number = addUndecided(exchange);
    m_log->propose(encode(command), [this, exchange, subject, number](const ProposalResult &result) {
        removeUndecided(number);
        if (!result.isApplied) {
            // The change may still be committed. Sending the same change again, to any leader, is safe.
            m_events.decision("change-undecided", {{"change", subject}, {"leader", result.leader}});
            exchange->respond(m_dialect.controlAnswer(ControlAnswer::Unavailable, "not decided; send it again"));
            return;
        }
        respondToCommand(exchange, static_cast<RoutingResult>(std::stoi(result.result)), subject);
    });
}

std::uint64_t RegistryDaemon::Impl::addUndecided(const HttpExchangePtr &exchange)
{
    const std::lock_guard lock(m_mutex);
    m_undecided.emplace(++m_lastUndecided, exchange);
    answerPendingIfStopped();
    return m_lastUndecided;
}

void RegistryDaemon::Impl::removeUndecided(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    m_undecided.erase(number);
}

// Whoever sent one would wait for the end of its connection, and only then ask another control host.
void RegistryDaemon::Impl::answerPending()
{
    const std::lock_guard lock(m_mutex);
    m_events.state(
        "pending-answered",
        {{"undecided", m_undecided.size()}, {"changes", m_changes.size()}, {"departures", m_departures.size()}});
    m_waitsForNothing = true;
    answerPendingIfStopped();
}

// The mutex is held.
void RegistryDaemon::Impl::answerPendingIfStopped()
{
    if (!m_waitsForNothing) {
        return;
    }
    const Answer answer = m_dialect.controlAnswer(ControlAnswer::Unavailable, "this host stops; send it again");
    for (const auto &[number, exchange] : m_undecided) {
        exchange->respond(answer);
    }
    for (const Change &it : m_changes) {
        it.exchange->respond(answer);
    }
    for (const Departure &it : m_departures) {
        it.exchange->respond(answer);
    }
    m_undecided.clear();
    m_changes.clear();
    m_departures.clear();
}

void RegistryDaemon::Impl::respondToCommand(const HttpExchangePtr &exchange, RoutingResult result,
                                            const std::string &subject)
{
    switch (result) {
    case RoutingResult::Done:
    case RoutingResult::AlreadyDone:
        awaitConfirmation(exchange, subject, result == RoutingResult::AlreadyDone);
        return;
    case RoutingResult::Conflict:
        m_events.decision("change-conflicts", {{"change", subject}});
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Conflict, "another version is in force"));
        return;
    case RoutingResult::NotNewer:
        m_events.decision("change-not-newer", {{"change", subject}});
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Invalid, "the version is not above the one in force"));
        return;
    }
}

void RegistryDaemon::Impl::redirectToLeader(const HttpExchangePtr &exchange, const std::string &leader)
{
    const std::string address = operatorsAddressOf(leader);
    if (address.empty()) {
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Unavailable, "no leading control host is known"));
        return;
    }
    exchange->respond(m_dialect.redirect(exchange->request(), address));
}

std::string RegistryDaemon::Impl::operatorsAddressOf(const std::string &peer)
{
    // The operators' port is the same on all hosts.
    const std::optional<Address> address = Address::parse(peer);
    return address ? Address{address->ip, m_settings.operators.port}.text() : std::string();
}

void RegistryDaemon::Impl::answer(const HttpExchangePtr &exchange, const GetTable &)
{
    const ControlLogStatus status = m_log->status();
    if (status.role != ControlRole::Leader) {
        redirectToLeader(exchange, status.leader);
        return;
    }
    if (!status.canRead(m_clock.now())) {
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Unavailable, "not sure of the newest version"));
        return;
    }
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        text = m_routing.text();
    }
    if (text.empty()) {
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Unavailable, "there is no configuration yet"));
        return;
    }
    exchange->respond(m_dialect.tableAnswer(text));
}

void RegistryDaemon::Impl::updateCallerShares(TimePoint now)
{
    if (now < m_nextShares) {
        return;
    }
    m_nextShares = now + SharesInterval;
    std::map<std::string, RegionLoad> regions;
    for (const Registry::LiveEntryHost &host : m_registry.liveEntryHosts(m_settings.regionOfZone)) {
        RegionLoad &load = regions[*host.region];
        ++load.hosts;
        load.linkUse += (host.report->linkUse - load.linkUse) / load.hosts;
    }
    m_shares.update(regions, now);
    m_demand = m_registry.demand(m_settings.regionOfZone);
}

// Leaves out hosts that reach no target of some service, unless these are more than the others, which then could not
// serve all callers.
std::vector<std::string> RegistryDaemon::Impl::liveEntryHosts(const std::string &region) const
{
    std::vector<std::string> addresses;
    std::vector<std::string> cutOff;
    for (const Registry::LiveEntryHost &host : m_registry.liveEntryHosts(m_settings.regionOfZone)) {
        if (region.empty() || *host.region == region) {
            (host.report->unreachableServices.empty() ? addresses : cutOff).push_back(host.report->address);
        }
    }
    if (cutOff.size() > addresses.size()) {
        addresses.insert(addresses.end(), cutOff.begin(), cutOff.end());
    }
    return addresses;
}

// Callers of a region share all its entry hosts: zones differ in their number of entry hosts, and bursts hit one zone
// at a time.
std::vector<std::string> RegistryDaemon::Impl::candidatesFor(const std::string &zone,
                                                             const RedirectedShare &redirected) const
{
    const auto it = m_settings.regionOfZone.find(zone);
    const std::string region = it == m_settings.regionOfZone.end() ? std::string() : it->second;
    std::vector<std::string> hosts = liveEntryHosts(region);
    if (hosts.empty()) {
        // A host that has just started may know only some of the entry hosts. Callers would leave their region until
        // they look up again, with requests whose home region it is.
        return knowsFollowers(m_clock.now()) ? liveEntryHosts({}) : std::vector<std::string>{};
    }
    if (redirected.fraction <= 0) {
        return hosts;
    }
    const double redirectedHosts = static_cast<double>(hosts.size()) * redirected.fraction / (1 - redirected.fraction);
    std::vector<std::string> others = liveEntryHosts(redirected.region);
    // The order differs from zone to zone, so that redirected callers of several zones don't meet at the same few
    // hosts.
    std::ranges::sort(others, {}, [seed = hash64(zone)](const std::string &it) { return hash64(it, seed); });
    others.resize(std::min(others.size(), static_cast<std::size_t>(std::lround(redirectedHosts))));
    hosts.insert(hosts.end(), others.begin(), others.end());
    return hosts;
}

std::vector<std::string> RegistryDaemon::Impl::entryHostsFor(const std::string &zone)
{
    const auto it = m_settings.regionOfZone.find(zone);
    // Callers of routes with home regions must not be redirected.
    const bool mayRedirect = it != m_settings.regionOfZone.end() && !m_hasHomes;
    const RedirectedShare redirected = mayRedirect ? m_shares.redirectedFrom(it->second) : RedirectedShare{};
    NamedHosts &named = m_namedHosts[it == m_settings.regionOfZone.end() ? std::string() : zone];
    if (named.hostsVersion != m_registry.hostsVersion() || named.redirected != redirected) {
        std::vector<std::string> candidates = candidatesFor(zone, redirected);
        // Without candidates it also matters whether this host has had time to hear of any.
        named.hostsVersion = candidates.empty() ? 0 : m_registry.hostsVersion();
        named.redirected = redirected;
        named.rotation.assign(std::move(candidates), hash64(zone, hash64(m_incarnation)));
    }
    return named.rotation.next();
}

void RegistryDaemon::Impl::answer(const HttpExchangePtr &exchange, const FindEntryHosts &request)
{
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_mutex);
        addresses = entryHostsFor(request.zone);
    }
    if (addresses.empty()) {
        exchange->respond(m_dialect.controlAnswer(ControlAnswer::Unavailable, "no entry host is known"));
        return;
    }
    exchange->respond(m_dialect.entryHosts(addresses, DirectoryTimeToLive));
}

} // namespace pepperlug::fleet
