//===- ControlAdmin.cpp - The administration API --------------------------===//
//
// Commands are proved by a signature over the whole request with a time and a nonce. A command that is sent twice gets
// the first answer again, so losing an answer costs nothing.
//
//===----------------------------------------------------------------------===//
#include "ControlImpl.h"
#include "HttpStatus.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace pepperlug
{

namespace
{

constexpr auto ProofWindow = std::chrono::seconds(60);

std::optional<CommandKind> kindOfPath(const std::string &path)
{
    constexpr std::string_view Prefix = "/v1/commands/";
    if (!path.starts_with(Prefix)) {
        return std::nullopt;
    }
    const std::string name = path.substr(Prefix.size());
    for (const CommandKind kind :
         {CommandKind::Propose, CommandKind::Sign, CommandKind::Rollout, CommandKind::DrainTarget,
          CommandKind::UndrainTarget, CommandKind::DrainHost, CommandKind::UndrainHost}) {
        if (name == nameOf(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

bool concernsBundle(CommandKind kind)
{
    return kind == CommandKind::Propose || kind == CommandKind::Sign || kind == CommandKind::Rollout;
}

ControlCommand readCommand(CommandKind kind, const std::string &author, const std::string &body)
{
    const nlohmann::json json = parseJson(body, "request body");
    Findings findings;
    ObjectReader root(json, "", "request body", findings);
    ControlCommand command;
    command.kind = kind;
    command.author = author;
    if (concernsBundle(kind)) {
        command.version = static_cast<std::uint64_t>(root.integer("version", 1, INT64_MAX));
        command.digest = root.text("digest");
        command.text = kind == CommandKind::Propose ? root.text("text") : std::string();
        command.signature = kind == CommandKind::Sign ? root.text("signature") : std::string();
    } else {
        command.subject = root.text("subject");
    }
    root.finish();
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
    return command;
}

// A bundle is checked before it gets into the log, so that a bad one never takes a version.
void checkProposal(const ControlCommand &command)
{
    const BundlePtr bundle = parseBundle(command.text, "bundle");
    if (bundle->version != command.version) {
        throw InvalidInput({{"bundle", "/version", "is not the version that is proposed"}});
    }
    if (bundle->digest != command.digest) {
        throw InvalidInput({{"bundle", "", "does not have the digest that is proposed"}});
    }
}

} // namespace

void ControlDaemon::Impl::onHttp(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string path = request.path();
    if (path == "/v1/status" && request.method == "GET") {
        onStatus(exchange);
    } else if (path.starts_with("/v1/commands/") && request.method == "POST") {
        onCommand(exchange);
    } else if (path == "/metrics") {
        exchange->respond({Ok, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()});
    } else if (path == "/healthz") {
        exchange->respond(jsonAnswer(Ok, {{"status", "up"}}));
    } else if (path == "/readyz") {
        const std::lock_guard lock(m_mutex);
        const bool isReady = m_consensus->isCurrent(m_clock.now());
        exchange->respond(jsonAnswer(isReady ? Ok : Unavailable, {{"ready", isReady}}));
    } else {
        exchange->respond(jsonAnswer(NotFound, {{"status", "refused"}, {"reason", "no such path"}}));
    }
}

void ControlDaemon::Impl::refuseMisdirected(const HttpExchangePtr &exchange, const std::string &leader)
{
    const ControlPeer *peer = findMember(leader);
    const bool knowsOther = peer != nullptr && leader != m_settings.name;
    exchange->respond(jsonAnswer(MisdirectedRequest,
                                 {{"status", "not-leader"},
                                  {"reason", "this host does not lead a majority"},
                                  {"leader", knowsOther ? peer->admin.text() : ""}}));
}

std::string ControlDaemon::Impl::authenticate(const HttpRequest &request, CommandKind kind)
{
    RequestProof proof;
    proof.operatorName = request.header("pepperlug-operator").value_or("");
    proof.time = request.header("pepperlug-time").value_or("");
    proof.nonce = request.header("pepperlug-nonce").value_or("");
    proof.signature = request.header("pepperlug-signature").value_or("");
    const std::optional<std::string> key = m_state.keyFor(proof.operatorName, kind);
    if (!key) {
        throw Error("authenticate", proof.operatorName, std::string("no operator of this name may ") + nameOf(kind));
    }
    std::int64_t time = 0;
    const auto [stop, ec] = std::from_chars(proof.time.data(), proof.time.data() + proof.time.size(), time);
    const Milliseconds now = m_clock.wallTime();
    if (ec != std::errc() || stop != proof.time.data() + proof.time.size()
        || std::abs(time - now.count()) > Milliseconds(ProofWindow).count()) {
        throw Error("authenticate", proof.operatorName, "the time of the request is more than 60 s from this host's");
    }
    if (!checkProof(proof, *key, request.method, request.resource, request.body)) {
        throw Error("authenticate", proof.operatorName, "the signature does not hold");
    }
    const std::string oldest = std::to_string((now - 2 * Milliseconds(ProofWindow)).count());
    m_nonces.erase(m_nonces.begin(), m_nonces.lower_bound({oldest, ""}));
    if (!m_nonces.insert({proof.time, proof.nonce}).second) {
        throw Error("authenticate", proof.operatorName, "the nonce was used before");
    }
    return proof.operatorName;
}

void ControlDaemon::Impl::onCommand(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::optional<CommandKind> kind = kindOfPath(request.path());
    if (!kind) {
        exchange->respond(jsonAnswer(NotFound, {{"status", "refused"}, {"reason", "no such command"}}));
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_isStopping) {
        exchange->respond(jsonAnswer(Unavailable, {{"status", "refused"}, {"reason", "this host stops; send again"}}));
        return;
    }
    // A leader that was cut off must not look current: its state may be behind what a majority has decided.
    if (m_consensus->role() != ControlRole::Leader || !m_consensus->isCurrent(m_clock.now())) {
        refuseMisdirected(exchange, m_consensus->leader());
        return;
    }
    try {
        const std::string author = authenticate(request, *kind);
        const ControlCommand command = readCommand(*kind, author, request.body);
        if (*kind == CommandKind::Propose) {
            checkProposal(command);
        }
        const std::uint64_t token = ++m_lastToken;
        m_waiting[token] = exchange;
        post(CommandProposed{token, encode(command)});
    } catch (const InvalidInput &ex) {
        nlohmann::json findings = nlohmann::json::array();
        for (const Finding &finding : ex.findings()) {
            findings.push_back(finding.text());
        }
        exchange->respond(jsonAnswer(
            Unprocessable, {{"status", "refused"}, {"reason", "the input is not valid"}, {"findings", findings}}));
    } catch (const Error &ex) {
        const unsigned status = ex.step() == "authenticate" ? Unauthorized : BadRequest;
        exchange->respond(jsonAnswer(
            status, {{"status", "refused"}, {"step", ex.step()}, {"peer", ex.peer()}, {"reason", ex.reason()}}));
    }
}

// A drained target is idle when every entry host of its zone that still has a slice says so.
std::vector<std::string> ControlDaemon::Impl::idleDrainedTargets() const
{
    std::vector<std::string> idle;
    for (const std::string &name : m_state.config().drainedTargets) {
        const Bundle &bundle = *m_state.bundle();
        const Target &target = bundle.targets[idx(*bundle.findTarget(name))];
        const auto &hosts = bundle.zones[idx(target.zone)].hosts;
        const bool isIdle = std::all_of(hosts.begin(), hosts.end(),
                                        [&](HostId host) { return saysIdle(bundle.hosts[idx(host)].name, name); });
        if (isIdle) {
            idle.push_back(name);
        }
    }
    return idle;
}

bool ControlDaemon::Impl::saysIdle(const std::string &host, const std::string &target) const
{
    const auto &voids = m_state.config().voidHosts;
    if (std::find(voids.begin(), voids.end(), host) != voids.end()) {
        return true;
    }
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end()) {
        return false;
    }
    const auto &names = it->second.idleTargets;
    return std::find(names.begin(), names.end(), target) != names.end();
}

void ControlDaemon::Impl::onStatus(const HttpExchangePtr &exchange)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    nlohmann::json members = nlohmann::json::array();
    for (const ControlMember &member : m_consensus->members()) {
        members.push_back({{"name", member.name}, {"voter", member.voter}, {"disk", member.diskId}});
    }
    nlohmann::json bundles = nlohmann::json::array();
    for (const auto &[version, record] : m_state.bundles()) {
        if (version + 5 < m_state.versionInForce()) {
            continue;
        }
        bundles.push_back({{"version", version},
                           {"digest", record.digest},
                           {"author", record.author},
                           {"signers", record.signers},
                           {"in_force", version == m_state.versionInForce()}});
    }
    nlohmann::json hosts = nlohmann::json::array();
    if (m_state.bundle()) {
        for (const EntryHost &host : m_state.bundle()->hosts) {
            const auto it = m_hosts.find(host.name);
            const bool isSeen = it != m_hosts.end();
            const auto age = isSeen ? std::chrono::duration_cast<Milliseconds>(now - it->second.at).count() : -1;
            hosts.push_back({{"name", host.name},
                             {"index", isSeen ? it->second.index : 0},
                             {"seen_ms_ago", age},
                             {"in_force", isSeen && it->second.index >= m_state.config().index},
                             {"idle_targets", isSeen ? it->second.idleTargets : std::vector<std::string>()}});
        }
    }
    exchange->respond(jsonAnswer(Ok,
                                 {{"idle_drained", idleDrainedTargets()},
                                  {"name", m_settings.name},
                                  {"role", nameOf(m_consensus->role())},
                                  {"current", m_consensus->isCurrent(now)},
                                  {"term", m_consensus->term()},
                                  {"leader", m_consensus->leader()},
                                  {"commit", m_consensus->commitIndex()},
                                  {"config_index", m_state.config().index},
                                  {"version_in_force", m_state.versionInForce()},
                                  {"members", members},
                                  {"bundles", bundles},
                                  {"hosts", hosts},
                                  {"drained_targets", m_state.config().drainedTargets},
                                  {"drained_hosts", m_state.config().drainedHosts},
                                  {"void_hosts", m_state.config().voidHosts}}));
}

} // namespace pepperlug
