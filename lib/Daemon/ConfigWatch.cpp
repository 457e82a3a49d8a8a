//===- ConfigWatch.cpp - What is in force reaches this host ---------------===//
//
// The host asks each control host for what is newer than its own; the reply is held back until there is something. It
// starts to serve only after a majority of the control hosts has replied, or else every other entry host of its zone:
// one that was restarted must not bring an old decision back.
//
//===----------------------------------------------------------------------===//
#include "EntryImpl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto WatchPatience = Milliseconds(1000);
constexpr auto WatchTimeout = Milliseconds(3000);
constexpr auto WatchPause = Milliseconds(200);
constexpr auto PeerWatchInterval = Milliseconds(1000);
/// How long the control hosts are waited for before the zone's word is enough.
constexpr auto ControlWait = std::chrono::seconds(3);

} // namespace

void EntryDaemon::Impl::pollWatches(TimePoint now)
{
    WatchCall call;
    {
        const std::lock_guard lock(m_mutex);
        call.host = m_settings.name;
        call.index = m_config.index;
        call.digest = m_bundle ? m_bundle->digest : std::string();
        call.patience = WatchPatience;
        call.idleTargets.assign(m_idleTargets.begin(), m_idleTargets.end());
    }
    const std::lock_guard lock(m_watchMutex);
    tellIdleTargets(call);
    for (std::size_t n = 0; n < m_watched.size(); ++n) {
        Watched &it = m_watched[n];
        if (it.isAsking || now < it.nextAsk) {
            continue;
        }
        it.isAsking = true;
        m_net.call(it.address, path::Watch, encode(call), WatchTimeout,
                   [this, n](PeerReply reply) { watchReplied(n, std::move(reply)); });
    }
}

// An operator waits for a drained target to be idle; the control hosts are told at once, not with the next question,
// which is held back until there is something new.
void EntryDaemon::Impl::tellIdleTargets(WatchCall call)
{
    if (call.idleTargets == m_toldIdle) {
        return;
    }
    m_toldIdle = call.idleTargets;
    call.patience = Milliseconds{};
    for (const Watched &it : m_watched) {
        if (it.isControl) {
            m_net.call(it.address, path::Watch, encode(call), WatchTimeout, [](const PeerReply &) {});
        }
    }
}

// Reading a bundle may take long, so it is not done on the network thread.
void EntryDaemon::Impl::watchReplied(std::size_t n, PeerReply reply)
{
    m_configThread.post([this, n, reply = std::move(reply)] {
        std::optional<WatchReply> message;
        try {
            if (reply.delivered && reply.status == 200) {
                message = decode<WatchReply>(reply.body, m_watched[n].address.text());
                takeConfig(*message);
            }
        } catch (const Error &ex) {
            m_metrics.count("pepperlug_bad_configs");
            m_states.write(jsonText({{"what", "config refused"}, {"subject", ex.peer()}, {"detail", ex.what()}}));
        }
        const TimePoint now = m_clock.now();
        {
            const std::lock_guard lock(m_watchMutex);
            Watched &it = m_watched[n];
            it.isAsking = false;
            it.hasReplied |= message.has_value();
            it.nextAsk = !message ? now + WatchPause : it.isControl ? now : now + PeerWatchInterval;
        }
        applyPendingConfig();
        if (message && message->current) {
            post(ControlReplied{message->index});
        }
    });
}

void EntryDaemon::Impl::takeConfig(const WatchReply &reply)
{
    if (!reply.changed) {
        return;
    }
    std::uint64_t known = 0;
    BundlePtr bundle;
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        known = m_config.index;
        bundle = m_bundle;
        text = m_bundleText;
    }
    {
        const std::lock_guard lock(m_watchMutex);
        if (m_bestConfig && m_bestConfig->index > known) {
            known = m_bestConfig->index;
        }
    }
    if (reply.index <= known) {
        return;
    }
    ConfigApplied config;
    if (reply.hasBundle) {
        config.bundle = parseBundle(reply.bundleText, "bundle at index " + std::to_string(reply.index));
        text = reply.bundleText;
    } else {
        config.bundle = bundle;
    }
    config.index = reply.index;
    config.drainedTargets = reply.drainedTargets;
    config.drainedHosts = reply.drainedHosts;
    config.voidHosts = reply.voidHosts;
    const std::lock_guard lock(m_watchMutex);
    m_bestConfig = std::move(config);
    m_bestText = std::move(text);
}

bool EntryDaemon::Impl::mayServe() const
{
    const auto replied = [this](bool isControl) {
        return std::count_if(m_watched.begin(), m_watched.end(),
                             [&](const Watched &it) { return it.isControl == isControl && it.hasReplied; });
    };
    const auto controls = static_cast<std::ptrdiff_t>(m_settings.control.size());
    const auto peers = static_cast<std::ptrdiff_t>(m_settings.zonePeers.size());
    if (replied(true) * 2 > controls) {
        return true;
    }
    return m_clock.now() > m_startedAt + ControlWait && peers > 0 && replied(false) == peers;
}

void EntryDaemon::Impl::applyPendingConfig()
{
    std::optional<ConfigApplied> config;
    std::string text;
    {
        const std::lock_guard lock(m_watchMutex);
        m_serving = m_serving || mayServe();
        if (!m_serving || !m_bestConfig) {
            return;
        }
        config = std::exchange(m_bestConfig, std::nullopt);
        text = std::move(m_bestText);
    }
    // In one step: the reducer and the bundle that its ids are positions in.
    const std::lock_guard lock(m_mutex);
    if (config->index <= m_config.index) {
        return;
    }
    m_config = *config;
    m_bundle = config->bundle;
    m_bundleText = std::move(text);
    m_hostJson.clear();
    for (const EntryHost &host : m_bundle->hosts) {
        const nlohmann::json item{
            {"name", host.name}, {"address", host.http.text()}, {"zone", m_bundle->zones[idx(host.zone)].name}};
        m_hostJson.push_back(jsonText(item));
    }
    for (auto &[id, pending] : m_pending) {
        pending.service = m_bundle->findService(pending.serviceName).value_or(ServiceId{});
    }
    reduceLocked(*config);
}

} // namespace pepperlug
