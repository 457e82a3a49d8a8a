//===- ControlDaemon.cpp - Life of a control host -------------------------===//
#include "../Wire/PeerReports.h"
#include "ControlImpl.h"
#include "HttpStatus.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr Duration TickInterval = Milliseconds(10);
constexpr auto MessageTimeout = std::chrono::seconds(2);
constexpr auto SnapshotTimeout = std::chrono::seconds(30);
constexpr const char *FoundingDisk = "initial";

std::vector<ControlMember> foundingMembers(const ControlSettings &settings)
{
    std::vector<ControlMember> members;
    for (const ControlPeer &peer : settings.members) {
        members.push_back({peer.name, FoundingDisk, true});
    }
    return members;
}

Answer answerOf(const CommandResult &result, std::uint64_t index)
{
    switch (result.status) {
    case CommandStatus::Done:
        return jsonAnswer(Ok, {{"status", "done"}, {"index", index}});
    case CommandStatus::AlreadyDone:
        return jsonAnswer(Ok, {{"status", "done"}, {"index", index}, {"again", true}});
    case CommandStatus::Conflict:
        return jsonAnswer(Conflict,
                          {{"status", "conflict"},
                           {"reason", result.reason},
                           {"winner_digest", result.winnerDigest},
                           {"winner_author", result.winnerAuthor}});
    case CommandStatus::Refused:
        break;
    }
    return jsonAnswer(Unprocessable, {{"status", "refused"}, {"reason", result.reason}});
}

} // namespace

ControlDaemon::Impl::Impl(ControlSettings settings, const Clock &clock, bool isInitial)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_states("state", m_settings.stateLog)
    , m_folder(m_settings.dataFolder)
    , m_diskId(m_folder.diskId(isInitial))
    , m_store(m_folder)
    , m_state(m_settings.bootstrapKeys)
{
    ConsensusSettings consensus;
    consensus.name = m_settings.name;
    consensus.diskId = m_diskId;
    consensus.members = foundingMembers(m_settings);
    consensus.heartbeat = m_settings.heartbeat;
    consensus.electionTimeout = m_settings.electionTimeout;
    consensus.seed = hash64(randomHex(sizeof(std::uint64_t)));
    RecoveredLog recovered = m_store.recovered();
    if (!recovered.snapshot.data.empty()) {
        m_state.restore(recovered.snapshot.data);
    }
    m_applied = recovered.snapshot.index;
    m_lastSnapshot = recovered.snapshot.index;
    const std::size_t entries = recovered.entries.size();
    m_consensus = std::make_unique<Consensus>(consensus, std::move(recovered), m_clock.now());
    tell("started", m_settings.name,
         "disk " + consensus.diskId + ", " + std::to_string(entries) + " entries after snapshot "
             + std::to_string(m_applied));

    const ControlPeer *self = findMember(m_settings.name);
    m_net.onSilence([this](const SilentConnection &silent) {
        tell("connection silent", silent.peer.text(), describeSilence(silent));
    });
    m_net.onFailure(
        [this](const std::string &path, const std::string &reason) { tell("handler failed", path, reason); });
    m_net.listen(self->peer, [this](const IncomingCallPtr &call) { onPeerCall(call); });
    HttpLimits limits;
    limits.bodyBytes = MaxPeerMessageBytes / 2;
    m_server = std::make_unique<HttpServer>(self->admin, 1, limits, m_clock,
                                            [this](const HttpExchangePtr &exchange) { onHttp(exchange); });
    m_thread = std::thread([this] { run(); });
    m_ticker = std::make_unique<Ticker>(TickInterval, [this] { post(ControlTick{}); });
}

ControlDaemon::Impl::~Impl()
{
    stop();
    m_ticker.reset();
    m_server->stop();
    m_net.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

const ControlPeer *ControlDaemon::Impl::findMember(const std::string &name) const
{
    const auto it = std::find_if(m_settings.members.begin(), m_settings.members.end(),
                                 [&](const ControlPeer &peer) { return peer.name == name; });
    return it == m_settings.members.end() ? nullptr : &*it;
}

void ControlDaemon::Impl::tell(const std::string &what, const std::string &subject, const std::string &detail)
{
    m_metrics.count("pepperlug_state_changes{what=\"" + what + "\"}");
    const nlohmann::json line{
        {"at_ms", m_clock.wallTime().count()}, {"what", what}, {"subject", subject}, {"detail", detail}};
    m_states.write(jsonText(line));
}

void ControlDaemon::Impl::post(ControlEvent event)
{
    {
        const std::lock_guard lock(m_queueMutex);
        m_queue.push_back(std::move(event));
    }
    m_wake.notify_one();
}

void ControlDaemon::Impl::run()
{
    std::string failure;
    try {
        for (;;) {
            std::vector<ControlEvent> events;
            {
                std::unique_lock lock(m_queueMutex);
                m_wake.wait(lock, [this] { return m_stop || !m_queue.empty(); });
                if (m_stop) {
                    break;
                }
                events.swap(m_queue);
            }
            reduceBatch(events);
        }
    } catch (const std::exception &ex) {
        // What is on the disk is not known any more, so nothing more may be promised: the process ends.
        failure = ex.what();
        tell("failed", m_settings.name, failure);
    }
    answerPending();
    const std::lock_guard lock(m_queueMutex);
    m_failure = failure;
    m_hasEnded = true;
    m_ended.notify_all();
}

// Whether these are decided is not known here any more; the same command again is safe.
void ControlDaemon::Impl::answerPending()
{
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
    for (const auto &[token, exchange] : m_waiting) {
        exchange->respond(jsonAnswer(Unavailable, {{"status", "unknown"}, {"reason", "this host stops; send again"}}));
    }
    tell("pending commands answered", m_settings.name, std::to_string(m_waiting.size()));
    m_waiting.clear();
    m_placed.clear();
}

void ControlDaemon::Impl::reduceBatch(const std::vector<ControlEvent> &events)
{
    const std::lock_guard lock(m_mutex);
    ControlEffects effects;
    const TimePoint now = m_clock.now();
    for (const ControlEvent &event : events) {
        m_consensus->reduce(event, now, effects);
    }
    persist(effects);
    for (const ControlEffect &effect : effects) {
        std::visit([this](const auto &it) { carryOut(it); }, effect);
    }
    replyWatchers(now);
    voidLostHosts(now);
    publishGauges();
    if (m_applied >= m_lastSnapshot + m_settings.snapshotEvery) {
        m_lastSnapshot = m_applied;
        post(SnapshotTaken{m_applied, m_state.snapshot()});
    }
}

// All that is to be stored goes first, in its order: storing early is always safe, telling early never.
void ControlDaemon::Impl::persist(const ControlEffects &effects)
{
    for (const ControlEffect &effect : effects) {
        if (const auto *log = std::get_if<PersistLog>(&effect)) {
            m_store.add(*log);
        } else if (const auto *snapshot = std::get_if<PersistSnapshot>(&effect)) {
            m_store.save(*snapshot);
        }
    }
    m_store.sync();
}

void ControlDaemon::Impl::carryOut(const PersistLog &)
{
    // Done by persist().
}

void ControlDaemon::Impl::carryOut(const PersistSnapshot &effect)
{
    if (!effect.restoresState) {
        tell("snapshot", m_settings.name, "index " + std::to_string(effect.snapshot.index));
        return;
    }
    m_state.restore(effect.snapshot.data);
    m_applied = effect.snapshot.index;
    m_lastSnapshot = m_applied;
    tell("state taken from leader", m_settings.name, "index " + std::to_string(m_applied));
}

void ControlDaemon::Impl::carryOut(const SendMessage &effect)
{
    const ControlPeer *peer = findMember(effect.to);
    if (peer == nullptr) {
        return;
    }
    const bool isLarge = std::holds_alternative<SnapshotRequest>(effect.message);
    m_metrics.count("pepperlug_control_messages");
    m_net.call(peer->peer, pathOf(effect.message), encodeControlMessage(effect.message),
               isLarge ? Duration(SnapshotTimeout) : Duration(MessageTimeout), [](const PeerReply &) {});
}

void ControlDaemon::Impl::carryOut(const ApplyEntry &effect)
{
    const LogEntry &entry = effect.entry;
    m_applied = entry.index;
    std::optional<Answer> answer;
    if (entry.kind == EntryKind::Command) {
        const auto command = decode<ControlCommand>(entry.data, "log");
        const CommandResult result = m_state.apply(command, entry.index);
        answer = answerOf(result, entry.index);
        if (result.status == CommandStatus::Done) {
            const std::string what =
                command.subject.empty() ? "bundle " + std::to_string(command.version) : command.subject;
            tell(nameOf(command.kind), what, "by " + command.author + ", index " + std::to_string(entry.index));
        }
    }
    const auto placed = m_placed.find(entry.index);
    if (placed == m_placed.end()) {
        return;
    }
    const auto [token, term] = placed->second;
    m_placed.erase(placed);
    const auto waiting = m_waiting.find(token);
    if (waiting == m_waiting.end()) {
        return;
    }
    if (term == entry.term && answer) {
        waiting->second->respond(*answer);
    } else {
        waiting->second->respond(jsonAnswer(
            Unavailable, {{"status", "superseded"}, {"reason", "another leader's entry took the place; send again"}}));
    }
    m_waiting.erase(waiting);
}

void ControlDaemon::Impl::carryOut(const CommandAppended &effect)
{
    m_placed[effect.index] = {effect.token, effect.term};
}

void ControlDaemon::Impl::carryOut(const CommandRejected &effect)
{
    const auto it = m_waiting.find(effect.token);
    if (it == m_waiting.end()) {
        return;
    }
    refuseMisdirected(it->second, effect.leader);
    m_waiting.erase(it);
}

void ControlDaemon::Impl::carryOut(const RoleChanged &effect)
{
    tell("role changed", m_settings.name,
         std::string(nameOf(effect.role)) + " in term " + std::to_string(effect.term)
             + (effect.leader.empty() ? "" : ", leader " + effect.leader));
    const bool leads = effect.role == ControlRole::Leader;
    m_leadingSince = leads ? std::optional(m_clock.now()) : std::nullopt;
    if (leads) {
        return;
    }
    // Whether these were decided is not known here any more; the same command again is safe.
    for (auto &[token, exchange] : m_waiting) {
        exchange->respond(
            jsonAnswer(Unavailable, {{"status", "unknown"}, {"reason", "this host no longer leads; send again"}}));
    }
    m_waiting.clear();
    m_placed.clear();
}

void ControlDaemon::Impl::onPeerCall(const IncomingCallPtr &call)
{
    try {
        if (call->path() == path::Watch) {
            onWatchCall(call);
            return;
        }
        std::optional<ControlMessage> message = decodeControlMessage(call->path(), call->body(), call->peer());
        if (!message) {
            call->reply(404, "unknown path " + call->path());
            return;
        }
        post(MessageReceived{std::move(*message)});
        call->reply(Ok, "");
    } catch (const Error &ex) {
        m_metrics.count("pepperlug_bad_peer_messages");
        call->reply(BadRequest, ex.what());
    }
}

void ControlDaemon::Impl::publishGauges()
{
    publishTraffic(m_metrics, m_net.traffic());
    m_metrics.gauge("pepperlug_term", static_cast<double>(m_consensus->term()));
    m_metrics.gauge("pepperlug_commit_index", static_cast<double>(m_consensus->commitIndex()));
    m_metrics.gauge("pepperlug_leads", m_consensus->role() == ControlRole::Leader ? 1 : 0);
    m_metrics.gauge("pepperlug_watchers", static_cast<double>(m_watchers.size()));
}

void ControlDaemon::Impl::wait()
{
    std::unique_lock lock(m_queueMutex);
    m_ended.wait(lock, [this] { return m_hasEnded; });
    if (!m_failure.empty()) {
        throw Error("run control host", m_settings.name, m_failure);
    }
    lock.unlock();
    m_server->awaitDelivery(DeliveryTimeout);
}

void ControlDaemon::Impl::stop()
{
    m_server->closeAfterAnswers();
    {
        const std::lock_guard lock(m_queueMutex);
        m_stop = true;
    }
    m_wake.notify_all();
}

ControlDaemon::ControlDaemon(ControlSettings settings, const Clock &clock, bool isInitial)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, isInitial))
{
}

ControlDaemon::~ControlDaemon() = default;

void ControlDaemon::wait()
{
    m_impl->wait();
}

void ControlDaemon::stop()
{
    m_impl->stop();
}

} // namespace pepperlug
