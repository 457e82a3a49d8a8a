//===- PeerChannel.cpp - Calls to one peer and their connections ----------===//
//
// An open connection may carry nothing any more without an error, while new ones work. The time limit of a call tells
// little about that: a call may be cancelled and made anew before it ends, and the next call may find a further silent
// connection. Therefore the connection is judged, not the call: by the time since a byte arrived on it. If that is
// long, a new call takes a new connection. A reply there shows that the peer works, so that the older connection, which
// has not even answered a ping meanwhile, is silent.
//
//===----------------------------------------------------------------------===//
#include "PeerChannel.h"

namespace pepperlug
{

namespace
{

/// A call whose limit is on silence ends after so many limits in any case: other calls of the same connection may keep
/// it from being silent while the peer has forgotten this one.
constexpr int MostLimits = 8;

} // namespace

void PeerChannel::start(CallId call, Duration timeout, CallLimit limit, TimePoint now, Effects &effects)
{
    const ConnectionId id = choose(now, effects);
    pingDoubted(now, effects);
    Call &open = m_calls[call];
    open = {id, now, timeout, limit, {}};
    setLimit(call, open, now + timeout);
    Connection &connection = m_connections[id];
    connection.calls.insert(call);
    if (connection.isConnected) {
        effects.emplace_back(Submit{id, call});
    }
}

ConnectionId PeerChannel::choose(TimePoint now, Effects &effects)
{
    if (!m_current) {
        return open(now, effects);
    }
    const ConnectionId id = *m_current;
    const Connection &connection = m_connections[id];
    if (!connection.isConnected || now - connection.heardAt <= TrustTime) {
        return id;
    }
    if (connection.calls.empty()) {
        close(id, CloseCause::Idle, now, effects);
        return choose(now, effects);
    }
    // Where a new connection brought nothing either, it is the peer that does not answer.
    return connection.hasHeard ? replace(id, now, effects) : id;
}

ConnectionId PeerChannel::replace(ConnectionId id, TimePoint now, Effects &effects)
{
    const bool hasWorkingOne = m_doubted && !m_connections[*m_doubted].pingedAt;
    if (m_doubted && !hasWorkingOne) {
        close(*m_doubted, CloseCause::TimedOut, now, effects);
    }
    ping(id, now, effects);
    const ConnectionId other = hasWorkingOne ? *m_doubted : open(now, effects);
    m_current = other;
    m_doubted = id;
    return other;
}

ConnectionId PeerChannel::open(TimePoint now, Effects &effects)
{
    const auto id = static_cast<ConnectionId>(++m_lastConnection);
    m_connections[id].heardAt = now;
    m_connections[id].openedAt = now;
    m_current = id;
    effects.emplace_back(Connect{id});
    return id;
}

void PeerChannel::ping(ConnectionId id, TimePoint now, Effects &effects)
{
    m_connections[id].pingedAt = now;
    effects.emplace_back(Ping{id});
}

// New calls go over the newer connection, so that nothing else would show whether the older one still works.
void PeerChannel::pingDoubted(TimePoint now, Effects &effects)
{
    if (!m_doubted) {
        return;
    }
    const Connection &older = m_connections[*m_doubted];
    if (!older.pingedAt && now - older.heardAt > TrustTime) {
        ping(*m_doubted, now, effects);
    }
}

void PeerChannel::close(ConnectionId id, CloseCause cause, TimePoint now, Effects &effects)
{
    const auto it = m_connections.find(id);
    const Connection connection = std::move(it->second);
    m_connections.erase(it);
    for (const CallId call : connection.calls) {
        remove(call);
    }
    if (m_current == id) {
        m_current = std::exchange(m_doubted, std::nullopt);
    } else if (m_doubted == id) {
        m_doubted.reset();
    }
    effects.emplace_back(Close{id, cause, now - connection.heardAt, connection.calls.size()});
}

void PeerChannel::closeIfUnused(ConnectionId id, TimePoint now, Effects &effects)
{
    if (m_doubted == id && m_connections[id].calls.empty()) {
        close(id, CloseCause::Idle, now, effects);
    }
}

void PeerChannel::setLimit(CallId id, Call &call, TimePoint limitAt)
{
    m_limits.erase({call.limitAt, id});
    call.limitAt = limitAt;
    m_limits.insert({limitAt, id});
}

void PeerChannel::remove(CallId id)
{
    const auto it = m_calls.find(id);
    m_limits.erase({it->second.limitAt, id});
    if (const auto connection = m_connections.find(it->second.connection); connection != m_connections.end()) {
        connection->second.calls.erase(id);
    }
    m_calls.erase(it);
}

void PeerChannel::cancel(CallId call, TimePoint now, Effects &effects)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    const ConnectionId id = it->second.connection;
    const bool isSubmitted = m_connections[id].isConnected;
    remove(call);
    effects.emplace_back(EndCall{isSubmitted ? std::optional(id) : std::nullopt, call, CallFailure::Cancelled});
    closeIfUnused(id, now, effects);
}

void PeerChannel::finish(CallId call, bool isReplied, TimePoint now, Effects &effects)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    const ConnectionId id = it->second.connection;
    const TimePoint startedAt = it->second.startedAt;
    remove(call);
    closeIfUnused(id, now, effects);
    if (!isReplied || !m_doubted || m_current != id) {
        return;
    }
    // A reply may overtake the answer to a ping, unless the call or its connection was made after that ping.
    const std::optional<TimePoint> pingedAt = m_connections[*m_doubted].pingedAt;
    if (pingedAt && (startedAt > *pingedAt || m_connections[id].openedAt >= *pingedAt)) {
        close(*m_doubted, CloseCause::Silent, now, effects);
    }
}

void PeerChannel::setConnected(ConnectionId connection, TimePoint now, Effects &effects)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end()) {
        return;
    }
    it->second.isConnected = true;
    it->second.heardAt = now;
    for (const CallId call : it->second.calls) {
        effects.emplace_back(Submit{connection, call});
    }
}

void PeerChannel::setLost(ConnectionId connection, TimePoint, Effects &effects)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end()) {
        return;
    }
    const Connection lost = std::move(it->second);
    m_connections.erase(it);
    if (m_current == connection) {
        // The older connection may still work.
        m_current = std::exchange(m_doubted, std::nullopt);
    } else if (m_doubted == connection) {
        m_doubted.reset();
    }
    for (const CallId call : lost.calls) {
        remove(call);
        if (!lost.isConnected) {
            effects.emplace_back(EndCall{std::nullopt, call, CallFailure::ConnectionLost});
        }
    }
}

void PeerChannel::addHeard(ConnectionId connection, Heard heard, TimePoint now, Effects &effects)
{
    const auto it = m_connections.find(connection);
    if (it == m_connections.end()) {
        return;
    }
    it->second.hasHeard = true;
    it->second.heardAt = now;
    it->second.pingedAt.reset();
    if (heard == Heard::Reply) {
        m_repliedAt = now;
    }
    if (m_doubted == connection && !m_connections[*m_current].isConnected) {
        returnToDoubted(now, effects);
    }
}

// The older connection works, and the newer one may never be made: a peer may refuse or drop new connections.
void PeerChannel::returnToDoubted(TimePoint now, Effects &effects)
{
    const ConnectionId newer = *m_current;
    const ConnectionId older = *m_doubted;
    const std::set<CallId> waiting = std::exchange(m_connections[newer].calls, {});
    close(newer, CloseCause::Idle, now, effects);
    m_current = older;
    m_doubted.reset();
    for (const CallId call : waiting) {
        m_calls[call].connection = older;
        m_connections[older].calls.insert(call);
        effects.emplace_back(Submit{older, call});
    }
}

std::optional<TimePoint> PeerChannel::nextLimit() const
{
    return m_limits.empty() ? std::nullopt : std::optional(m_limits.begin()->first);
}

void PeerChannel::expire(TimePoint now, Effects &effects)
{
    while (!m_limits.empty() && m_limits.begin()->first <= now) {
        const CallId id = m_limits.begin()->second;
        Call &call = m_calls.at(id);
        if (const std::optional<TimePoint> limit = extendedLimit(call, now)) {
            setLimit(id, call, *limit);
        } else {
            timeOut(id, now, effects);
        }
    }
}

// Whoever gives up a reply that is on its way, and asks for it anew, fills a slow link with replies that nobody reads.
// Other calls may be answered over a newer connection, so both count: the peer's last reply, and the last byte here.
std::optional<TimePoint> PeerChannel::extendedLimit(const Call &call, TimePoint now) const
{
    const TimePoint progressAt = std::min(m_repliedAt, m_connections.at(call.connection).heardAt);
    const bool mayExtend = call.limit == CallLimit::Silence && now < call.startedAt + call.timeout * MostLimits;
    const bool isAlive = progressAt > call.startedAt && progressAt + call.timeout > now;
    return mayExtend && isAlive ? std::optional(progressAt + call.timeout) : std::nullopt;
}

// A connection on which nothing has arrived for as long as the call was allowed to take may be silent.
void PeerChannel::timeOut(CallId id, TimePoint now, Effects &effects)
{
    const Call call = m_calls.at(id);
    const Connection &connection = m_connections.at(call.connection);
    const bool isSubmitted = connection.isConnected;
    const bool isSilent = isSubmitted && connection.heardAt + call.timeout <= now;
    remove(id);
    effects.emplace_back(
        EndCall{isSubmitted ? std::optional(call.connection) : std::nullopt, id, CallFailure::TimedOut});
    if (isSilent) {
        close(call.connection, CloseCause::TimedOut, now, effects);
    } else {
        closeIfUnused(call.connection, now, effects);
    }
}

} // namespace pepperlug
