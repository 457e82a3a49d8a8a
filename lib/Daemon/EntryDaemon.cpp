//===- EntryDaemon.cpp - Life of an entry host ----------------------------===//
#include "../Wire/PeerReports.h"
#include "EntryImpl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr Duration TickInterval = Milliseconds(10);
constexpr std::size_t LedgerIdBytes = 8;
/// For the answers that give requests up, and for those held behind them, to leave.
constexpr Duration LastAnswersTime = Milliseconds(50);

std::uint64_t randomSeed()
{
    return std::stoull(randomHex(sizeof(std::uint64_t)), nullptr, 16);
}

} // namespace

EntryDaemon::Impl::Impl(EntrySettings settings, const Clock &clock, const std::string &record)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_decisions("decision", m_settings.decisionLog)
    , m_states("state", m_settings.stateLog)
    , m_startedAt(clock.now())
    , m_client(
          HttpClientLimits{.answerBytes = m_settings.maxAnswerBytes, .unsizedBytes = m_settings.maxUnsizedAnswerBytes})
{
    SteerSettings steer;
    steer.hostName = m_settings.name;
    steer.seed = randomSeed();
    steer.strategy = m_settings.strategy;
    steer.tick = TickInterval;
    std::vector<LedgerRecord> records;
    if (m_settings.dataFolder.empty()) {
        steer.ledgerId = randomHex(LedgerIdBytes);
    } else {
        m_folder.emplace(m_settings.dataFolder);
        m_ledgerStore.emplace(*m_folder);
        steer.ledgerId = m_ledgerStore->ledgerId();
        steer.syncClaims = true;
        records = m_ledgerStore->takeRecords();
    }
    m_steering.emplace(steer, m_startedAt);
    m_steering->restoreClaims(records);
    if (!record.empty()) {
        m_record.open(record);
        if (!m_record) {
            throw Error("open trace", record, "cannot be opened for writing");
        }
        m_record << traceHeader(steer, m_startedAt) << "\n";
    }
    for (const Address &address : m_settings.control) {
        m_watched.push_back({address, true, false, {}, false});
    }
    for (const Address &address : m_settings.zonePeers) {
        m_watched.push_back({address, false, false, {}, false});
    }
    m_net.onSilence([this](const SilentConnection &silent) {
        const nlohmann::json line{{"at_ms", m_clock.wallTime().count()},
                                  {"what", "connection silent"},
                                  {"subject", silent.peer.text()},
                                  {"detail", describeSilence(silent)}};
        m_states.write(jsonText(line));
    });
    m_net.onFailure([this](const std::string &path, const std::string &reason) {
        m_states.write(jsonText({{"at_ms", m_clock.wallTime().count()},
                                 {"what", "handler failed"},
                                 {"subject", path},
                                 {"detail", reason}}));
    });
    m_peerAddress = m_net.listen(m_settings.peer, [this](const IncomingCallPtr &call) { onPeerCall(call); });
    HttpLimits limits;
    limits.bodyBytes = m_settings.maxBodyBytes;
    limits.headTimeout = m_settings.headTimeout;
    m_server = std::make_unique<HttpServer>(m_settings.http, m_settings.httpThreads, limits, m_clock,
                                            [this](const HttpExchangePtr &exchange) { onHttp(exchange); });
    m_ticker = std::make_unique<Ticker>(TickInterval, [this] { tick(); });
    m_states.write(jsonText({{"what", "started"}, {"subject", m_settings.name}, {"http", m_server->address().text()}}));
}

EntryDaemon::Impl::~Impl()
{
    m_ticker.reset();
    m_server->stop();
    m_net.stop();
    m_client.stop();
    m_configThread.stop();
    m_diskThread.stop();
}

RequestId EntryDaemon::Impl::nextId()
{
    return static_cast<RequestId>(++m_lastId);
}

void EntryDaemon::Impl::post(const Event &event)
{
    const std::lock_guard lock(m_mutex);
    reduceLocked(event);
}

void EntryDaemon::Impl::reduceLocked(const Event &event)
{
    const TimePoint now = m_clock.now();
    if (m_record.is_open()) {
        m_record << traceLine(event, now, m_bundleText) << "\n";
    }
    m_effects.clear();
    m_steering->reduce(event, now, m_effects);
    for (const Effect &effect : m_effects) {
        std::visit([this](const auto &it) { carryOut(it); }, effect);
    }
}

void EntryDaemon::Impl::tick()
{
    post(Tick{});
    const TimePoint now = m_clock.now();
    pollWatches(now);
    if (now >= m_nextSecond) {
        m_nextSecond = now + std::chrono::seconds(1);
        m_server->sweep();
        publishGauges();
    }
}

void EntryDaemon::Impl::publishGauges()
{
    publishTraffic(m_metrics, m_net.traffic());
    m_metrics.gauge("pepperlug_decision_lines_dropped", static_cast<double>(m_decisions.dropped()));
    m_metrics.gauge("pepperlug_state_lines_dropped", static_cast<double>(m_states.dropped()));
    const std::lock_guard lock(m_mutex);
    m_metrics.gauge("pepperlug_config_index", static_cast<double>(m_steering->configIndex()));
    m_metrics.gauge("pepperlug_requests_in_progress", static_cast<double>(m_steering->requestsInProgress()));
    m_metrics.gauge("pepperlug_claims", static_cast<double>(m_steering->ledger().size()));
    if (!m_steering->ready()) {
        return;
    }
    m_metrics.gauge("pepperlug_slice_valid", m_steering->sliceValid(m_clock.now()) ? 1 : 0);
    for (std::size_t n = 0; n < m_bundle->services.size(); ++n) {
        const ServiceView view = m_steering->view(makeId<ServiceId>(n));
        const std::string label = "{service=\"" + m_bundle->services[n].name + "\"}";
        m_metrics.gauge("pepperlug_slice_slots" + label, view.sliceSlots);
        m_metrics.gauge("pepperlug_capacity_slots" + label, view.capacity);
        m_metrics.gauge("pepperlug_committed_slots" + label, view.committed);
        m_metrics.gauge("pepperlug_in_flight" + label, view.inFlight);
        m_metrics.gauge("pepperlug_lent_slots" + label, view.lent);
        m_metrics.gauge("pepperlug_held_slots" + label, view.held);
        m_metrics.gauge("pepperlug_queued" + label, view.queued);
        m_metrics.gauge("pepperlug_demand_slots" + label, view.demand);
    }
}

void EntryDaemon::Impl::stopGracefully()
{
    const StopTimes times = stopTimes(m_clock.now(), m_settings.gracePeriod);
    m_server->closeAfterAnswers();
    post(StopRequested{times});
    {
        std::unique_lock lock(m_stopMutex);
        m_stopped.wait(lock, [this] { return m_stopReady; });
    }
    m_server->awaitDelivery(std::max(times.exitAt - m_clock.now(), LastAnswersTime));
}

Address EntryDaemon::Impl::httpAddress() const
{
    return m_server->address();
}

Address EntryDaemon::Impl::peerAddress() const
{
    return m_peerAddress;
}

EntryDaemon::EntryDaemon(EntrySettings settings, const Clock &clock, const std::string &record)
    : m_impl(std::make_unique<Impl>(std::move(settings), clock, record))
{
}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::stopGracefully()
{
    m_impl->stopGracefully();
}

Address EntryDaemon::httpAddress() const
{
    return m_impl->httpAddress();
}

Address EntryDaemon::peerAddress() const
{
    return m_impl->peerAddress();
}

} // namespace pepperlug
