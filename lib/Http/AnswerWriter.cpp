//===- AnswerWriter.cpp - Answers on their way into a socket --------------===//
#include "AnswerWriter.h"

#include "SocketBytes.h"

#include <algorithm>
#include <sys/socket.h>

namespace pepperlug
{

namespace
{

/// Room that a buffer of unsent bytes may keep for later answers; most answers fit in.
constexpr std::size_t KeptBufferBytes = LargeAnswerBytes;

} // namespace

void AnswerWriter::add(std::string_view bytes, bool isLast)
{
    if (m_pending.empty()) {
        m_progressAt = m_clock.now();
    }
    m_pending += bytes;
    m_hasLast |= isLast;
}

void AnswerWriter::write(int socket)
{
    const std::optional<std::size_t> n = writeNow(socket, m_pending);
    if (!n) {
        drop(); // whoever reads the socket will see its end
        m_hasFailed = true;
        return;
    }
    m_written += *n;
    m_pending.erase(0, *n);
    if (m_pending.capacity() > KeptBufferBytes && m_pending.size() < m_pending.capacity() / 4) {
        m_pending.shrink_to_fit();
    }
    if (m_pending.empty() && m_hasLast && !m_sentAllAt) {
        // Closing with unread requests behind the answer would reset the connection, and the caller would lose the
        // answer (RFC 9112, 9.6). So the caller closes first, or the sweep does.
        m_sentAllAt = m_clock.now();
        m_progressAt = *m_sentAllAt;
        ::shutdown(socket, SHUT_WR);
    }
}

// Neither clearing nor assigning gives the memory back.
void AnswerWriter::drop()
{
    std::string().swap(m_pending);
}

// The socket reports room only when a third of its buffer is free, which takes a slow reader many seconds. So progress
// is what the peer has acknowledged.
std::optional<TimePoint> AnswerWriter::unreadSince(int socket, TimePoint now)
{
    const std::uint64_t sent = unacknowledged(socket);
    if (m_pending.empty() && sent == 0) {
        return std::nullopt;
    }
    const std::uint64_t acknowledged = m_written - std::min(m_written, sent);
    if (acknowledged != m_acknowledged) {
        m_acknowledged = acknowledged;
        m_progressAt = now;
    }
    return m_progressAt;
}

bool AnswerWriter::hasStalled(int socket, TimePoint now)
{
    const std::optional<TimePoint> since = unreadSince(socket, now);
    const bool isConcerned = !m_pending.empty() || m_sentAllAt;
    return since && isConcerned && now > *since + m_stallTimeout;
}

// Until the caller has the last answer, the kernel holds it, and closing could still destroy it.
std::optional<TimePoint> AnswerWriter::deliveredSince(int socket) const
{
    const bool isDelivered = m_sentAllAt && unacknowledged(socket) == 0;
    return isDelivered ? std::optional(std::max(*m_sentAllAt, m_progressAt)) : std::nullopt;
}

} // namespace pepperlug
