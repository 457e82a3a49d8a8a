//===- ControlWatch.cpp - A host that follows control hosts ---------------===//
#include "ControlWatch.h"
#include "PeerReplies.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// How long nothing may come from the asked host besides the time for which it holds the reply back.
constexpr Milliseconds ReplyTime{700};
constexpr Milliseconds PauseAfterFailure{150};
/// Between two signs of life while a reply is on its way: three fit into the time after which a host is not waited for.
constexpr Milliseconds SignInterval{600};

} // namespace

ControlWatch::ControlWatch(PeerNet &net, const Clock &clock, Milliseconds patience, Hooks hooks)
    : m_net(net)
    , m_clock(clock)
    , m_patience(patience)
    , m_hooks(std::move(hooks))
{
}

Address ControlWatch::next(const std::vector<Address> &candidates) const
{
    const auto it = std::find(candidates.begin(), candidates.end(), m_control);
    if (it == candidates.end()) {
        return candidates.front();
    }
    if (!m_moveOn) {
        return m_control;
    }
    return std::next(it) == candidates.end() ? candidates.front() : *std::next(it);
}

void ControlWatch::poll(TimePoint now)
{
    std::optional<Address> waitsFor;
    {
        const std::lock_guard lock(m_mutex);
        m_now = now;
        if (m_isAsking && now - m_signAt < SignInterval) {
            return;
        }
        if (m_isAsking) {
            m_signAt = now;
            waitsFor = m_control;
        } else if (now < m_notBefore) {
            return;
        }
    }
    if (waitsFor) {
        giveSign(*waitsFor);
        return;
    }
    const std::vector<Address> candidates = m_hooks.candidates();
    if (candidates.empty()) {
        return;
    }
    Address to;
    {
        const std::lock_guard lock(m_mutex);
        to = next(candidates);
        if (to != m_control) {
            m_epoch.clear();
            m_since = 0;
            m_suspectsSince = 0;
            m_backpressureSince = 0;
            m_loadsSince = 0;
        }
        m_control = to;
        m_moveOn = false;
        m_isAsking = true;
    }
    ask(to);
}

FleetWatchCall ControlWatch::describe(const Address &to) const
{
    std::string epoch;
    {
        const std::lock_guard lock(m_mutex);
        epoch = m_epoch;
    }
    FleetWatchCall call = m_hooks.makeCall(to, epoch);
    call.epoch = epoch;
    const std::lock_guard lock(m_mutex);
    call.since = m_since;
    call.suspects.since = m_suspectsSince;
    call.backpressure.since = m_backpressureSince;
    call.loadsSince = m_loadsSince;
    return call;
}

// A reply that takes its time on a full link must not make this host look dead: it goes on acting upon what it knows,
// so whatever is acknowledged has to wait for it.
void ControlWatch::giveSign(const Address &to)
{
    m_net.call(to, path::FleetAlive, encode(describe(to)), ReplyTime, [](const PeerReply &) {});
}

void ControlWatch::ask(const Address &to)
{
    FleetWatchCall call = describe(to);
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        // What was lost may have been lost for a while: it is asked for without waiting.
        call.maxWait = m_isLost ? Milliseconds(0) : m_patience;
        number = ++m_askNumber;
        m_askedAt = m_clock.now();
        m_signAt = m_askedAt;
    }
    const CallId id = m_net.call(
        to, path::FleetWatch, encode(call), m_patience + ReplyTime,
        [this, to, number](const PeerReply &reply) { onReply(to, number, reply); }, CallLimit::Silence);
    const std::lock_guard lock(m_mutex);
    if (number == m_askNumber) {
        m_call = id;
    }
}

void ControlWatch::onReply(const Address &from, std::uint64_t number, const PeerReply &reply)
{
    const auto [news, reason] = readReply<FleetWatchReply>(reply, from.text());
    bool linkChanged = false;
    ReplyInfo receipt{from, {}, {}, reply.body.size()};
    {
        const std::lock_guard lock(m_mutex);
        if (number != m_askNumber) {
            return;
        }
        receipt.sentAt = m_askedAt;
        receipt.elapsed = m_clock.now() - m_askedAt;
        const bool wasHurried = !news && reason == "cancelled";
        if (!wasHurried) {
            linkChanged = m_isLost != !news;
            m_isLost = !news;
            // A host without a majority may not know what the others agreed on.
            m_moveOn = !news || !news->isCurrent;
            m_notBefore = m_moveOn ? m_now + PauseAfterFailure : TimePoint{};
        }
    }
    if (linkChanged) {
        m_hooks.onLink(from, !news, reason);
    }
    bool isAllTaken = true;
    if (news) {
        isAllTaken = m_hooks.onReply(receipt, *news);
    }
    const std::lock_guard lock(m_mutex);
    if (news) {
        // Only now may an ask or a sign of life say that this host acts upon it.
        m_epoch = news->epoch;
        m_since = isAllTaken ? news->version : 0;
        m_suspectsSince = news->suspects.version;
        m_backpressureSince = news->backpressure.version;
        m_loadsSince = news->loadsVersion;
    }
    m_isAsking = false;
}

void ControlWatch::restartPoll()
{
    CallId id{};
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isAsking) {
            return;
        }
        id = m_call;
    }
    m_net.cancel(id);
}

} // namespace pepperlug::fleet
