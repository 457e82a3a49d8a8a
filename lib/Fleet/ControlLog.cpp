//===- ControlLog.cpp - Runs the replicated log of a control host ---------===//
#include "ControlLog.h"

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds TickInterval{30};
constexpr const char *InitialDiskId = "initial";

std::vector<ControlMember> initialMembersOf(const std::vector<std::string> &initialMembers)
{
    std::vector<ControlMember> members;
    members.reserve(initialMembers.size());
    for (const std::string &name : initialMembers) {
        members.push_back({name, InitialDiskId, true});
    }
    return members;
}

} // namespace

ControlLog::ControlLog(ControlLogSettings settings, const Clock &clock, ControlLogClient &client)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_client(client)
    , m_folder(m_settings.dataFolder)
    , m_diskId(m_folder.diskId(m_settings.isInitialMember))
    , m_store(m_folder)
{
}

ControlLog::~ControlLog()
{
    stop();
}

void ControlLog::start()
{
    ConsensusSettings consensus;
    consensus.name = m_settings.name;
    consensus.diskId = m_diskId;
    // Other hosts learn the members from the log.
    if (m_diskId == InitialDiskId) {
        consensus.members = initialMembersOf(m_settings.initialMembers);
    }
    consensus.heartbeat = m_settings.heartbeat;
    consensus.electionTimeout = m_settings.electionTimeout;
    consensus.replaceSilentAfter = m_settings.replaceSilentAfter;
    consensus.seed = hash64(randomHex(sizeof(std::uint64_t)));
    RecoveredLog recovered = m_store.recovered();
    m_applied = recovered.snapshot.index;
    m_lastSnapshot = m_applied;
    if (!recovered.snapshot.data.empty()) {
        m_client.restoreSnapshot(recovered.snapshot.data);
    }
    m_consensus = std::make_unique<Consensus>(std::move(consensus), std::move(recovered), m_clock.now());
    m_thread = std::thread([this] { run(); });
}

void ControlLog::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ControlLog::propose(std::string command, ProposalHandler handler)
{
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t token = ++m_lastToken;
        m_handlers[token] = std::move(handler);
        m_queue.emplace_back(CommandProposed{token, std::move(command)});
    }
    m_wake.notify_one();
}

void ControlLog::post(ControlEvent event)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(event));
    }
    m_wake.notify_one();
}

ControlLogStatus ControlLog::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

const std::string &ControlLog::diskId() const
{
    return m_diskId;
}

void ControlLog::run()
{
    try {
        TimePoint nextTick = m_clock.now();
        for (;;) {
            std::vector<ControlEvent> events;
            {
                std::unique_lock lock(m_mutex);
                const Duration left = nextTick - m_clock.now();
                m_wake.wait_for(lock, left, [this] { return m_stop || !m_queue.empty(); });
                if (m_stop) {
                    return;
                }
                events.swap(m_queue);
            }
            const TimePoint now = m_clock.now();
            if (now >= nextTick) {
                nextTick = now + TickInterval;
                events.emplace_back(ControlTick{});
            }
            reduceBatch(events);
        }
    } catch (const std::exception &ex) {
        m_client.logFailed(ex.what());
    }
}

void ControlLog::reduceBatch(std::vector<ControlEvent> &events)
{
    ControlEffects effects;
    for (const ControlEvent &event : events) {
        m_consensus->reduce(event, m_clock.now(), effects);
    }
    persist(effects);
    for (const ControlEffect &effect : effects) {
        std::visit([this](const auto &it) { carryOut(it); }, effect);
    }
    publishStatus();
    if (m_applied >= m_lastSnapshot + m_settings.snapshotEvery) {
        m_lastSnapshot = m_applied;
        post(SnapshotTaken{m_applied, m_client.takeSnapshot()});
    }
}

// Persists all records in their order before any message of the batch is sent. Storing early is always safe, sending
// early never.
void ControlLog::persist(const ControlEffects &effects)
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

void ControlLog::carryOut(const PersistLog &)
{
    // Written by persist().
}

void ControlLog::carryOut(const PersistSnapshot &effect)
{
    if (!effect.restoresState) {
        return;
    }
    m_client.restoreSnapshot(effect.snapshot.data);
    m_applied = effect.snapshot.index;
    m_lastSnapshot = m_applied;
}

void ControlLog::carryOut(const SendMessage &effect)
{
    m_client.sendToMember(effect.to, effect.message);
}

void ControlLog::carryOut(const ApplyEntry &effect)
{
    const LogEntry &entry = effect.entry;
    m_applied = entry.index;
    std::string result;
    if (entry.kind == EntryKind::Command) {
        result = m_client.applyCommand(entry.data, entry.index);
    }
    const auto placed = m_placed.find(entry.index);
    if (placed == m_placed.end()) {
        return;
    }
    const PlacedProposal place = placed->second;
    m_placed.erase(placed);
    const bool isOurs = place.term == entry.term && entry.kind == EntryKind::Command;
    complete(place.token, {isOurs, result, {}});
}

void ControlLog::carryOut(const CommandAppended &effect)
{
    m_placed[effect.index] = {effect.token, effect.term};
}

void ControlLog::carryOut(const CommandRejected &effect)
{
    complete(effect.token, {false, {}, effect.leader});
}

void ControlLog::carryOut(const RoleChanged &effect)
{
    if (effect.role == ControlRole::Leader) {
        return;
    }
    // This host doesn't learn any more whether these proposals were committed. Proposing the same command again is
    // safe.
    const std::map<std::uint64_t, PlacedProposal> placed = std::exchange(m_placed, {});
    for (const auto &[index, place] : placed) {
        complete(place.token, {false, {}, effect.leader});
    }
}

void ControlLog::complete(std::uint64_t token, const ProposalResult &result)
{
    ProposalHandler handler;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_handlers.find(token);
        if (it == m_handlers.end()) {
            return;
        }
        handler = std::move(it->second);
        m_handlers.erase(it);
    }
    handler(result);
}

void ControlLog::publishStatus()
{
    ControlLogStatus status;
    status.role = m_consensus->role();
    status.term = m_consensus->term();
    status.leader = m_consensus->leader();
    status.commit = m_consensus->commitIndex();
    status.currentUntil = m_consensus->currentUntil();
    const TimePoint now = m_clock.now();
    status.readsAllowed = m_consensus->canRead(now);
    status.members = m_consensus->members();
    bool hasChanged = false;
    {
        const std::lock_guard lock(m_mutex);
        hasChanged = status.role != m_status.role || status.leader != m_status.leader
            || status.members != m_status.members || status.readsAllowed != m_status.readsAllowed;
        m_status = status;
    }
    if (hasChanged) {
        m_client.statusChanged(status);
    }
}

} // namespace pepperlug::fleet
