//===- LinkRelay.cpp - A bad link between an entry and its control host ---===//
#include "LinkRelay.h"

namespace pepperlug::fleet::test
{

namespace
{

/// Far above the time for which a reply may be held back.
constexpr auto CallTimeout = std::chrono::seconds(30);

} // namespace

LinkRelay::LinkRelay(const Address &listen, Address control)
    : m_listen(listen)
    , m_control(std::move(control))
{
    m_net.listen(m_listen, [this](const IncomingCallPtr &call) { pass(call); });
    m_thread = std::thread([this] { run(); });
}

LinkRelay::~LinkRelay()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_wake.notify_all();
    m_thread.join();
    m_net.stop();
}

void LinkRelay::setRate(std::uint64_t bytesPerSecond)
{
    const std::lock_guard lock(m_mutex);
    m_bytesPerSecond = bytesPerSecond;
}

void LinkRelay::setDelay(Milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

void LinkRelay::cut()
{
    const std::lock_guard lock(m_mutex);
    m_isCut = true;
}

std::uint64_t LinkRelay::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

void LinkRelay::pass(const IncomingCallPtr &call)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isCut) {
            return;
        }
    }
    m_net.call(m_control, call->path(), call->body(), CallTimeout,
               [this, call](const PeerReply &reply) { queue(call, reply); });
}

void LinkRelay::queue(const IncomingCallPtr &call, const PeerReply &reply)
{
    const std::lock_guard lock(m_mutex);
    if (!reply.delivered || m_isCut) {
        return;
    }
    Waiting waiting{call, reply.status, throughThisLink(call->path(), reply.body)};
    m_freeAt = std::max(m_freeAt, std::chrono::steady_clock::now());
    if (m_bytesPerSecond > 0) {
        const double seconds = static_cast<double>(waiting.body.size()) / static_cast<double>(m_bytesPerSecond);
        m_freeAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    m_bytes += waiting.body.size();
    m_waiting.emplace(m_freeAt + m_delay, std::move(waiting));
    m_wake.notify_all();
}

// The entry host must not learn of a way around the link.
std::string LinkRelay::throughThisLink(const std::string &path, const std::string &body) const
{
    if (path != path::FleetWatch) {
        return body;
    }
    auto reply = decode<FleetWatchReply>(body, m_control.text());
    for (AgedReport<HostReport> &it : reply.changes.hosts) {
        if (it.report.role == HostRole::Control) {
            it.report.peer = m_listen.text();
        }
    }
    return encode(reply);
}

void LinkRelay::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stop) {
        if (m_waiting.empty()) {
            m_wake.wait(lock);
            continue;
        }
        const auto first = m_waiting.begin();
        if (std::chrono::steady_clock::now() < first->first) {
            m_wake.wait_until(lock, first->first);
            continue;
        }
        const Waiting waiting = std::move(first->second);
        m_waiting.erase(first);
        if (!m_isCut) {
            waiting.call->reply(waiting.status, waiting.body);
        }
    }
}

} // namespace pepperlug::fleet::test
