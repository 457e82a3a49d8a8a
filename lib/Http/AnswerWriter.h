//===- AnswerWriter.h - Answers on their way into a socket -------*- C++ -*-===//
//
// Keeps what a socket has not taken yet, and knows how far the caller is behind:
// what was written, what it has acknowledged, and since when it makes no progress.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug
{

class AnswerWriter
{
public:
    AnswerWriter(const Clock &clock, Duration stallTimeout)
        : m_clock(clock)
        , m_stallTimeout(stallTimeout)
    {
    }

    /// Adds bytes behind all others. `isLast`: the connection ends behind them.
    void add(std::string_view bytes, bool isLast);
    /// Writes what the socket takes now, and shuts down the sending side behind the last bytes.
    void write(int socket);
    /// Drops what was not written, and writes nothing any more.
    void drop();

    /// Whether bytes wait for the socket to take more.
    bool hasPending() const
    {
        return !m_pending.empty();
    }
    std::uint64_t pendingBytes() const
    {
        return m_pending.size();
    }
    /// Number of bytes that the socket has taken.
    std::uint64_t writtenBytes() const
    {
        return m_written;
    }
    /// Number of bytes that were added.
    std::uint64_t givenBytes() const
    {
        return m_written + m_pending.size();
    }
    /// Whether the last bytes of the connection were added.
    bool hasLast() const
    {
        return m_hasLast;
    }
    /// Whether the socket takes no bytes any more.
    bool hasFailed() const
    {
        return m_hasFailed;
    }

    /// Returns since when the peer has acknowledged nothing although it has bytes to read; nothing if it has all. To be
    /// asked about once a second.
    std::optional<TimePoint> unreadSince(int socket, TimePoint now);
    /// Whether that is too long, for bytes that this process keeps or that end the connection.
    bool hasStalled(int socket, TimePoint now);
    /// Returns since when the peer has all bytes of a connection that ends; nothing if it has not.
    std::optional<TimePoint> deliveredSince(int socket) const;

private:
    const Clock &m_clock;
    Duration m_stallTimeout;
    std::string m_pending; ///< what the socket has not taken yet
    std::uint64_t m_written = 0;
    std::uint64_t m_acknowledged = 0; ///< at the last question with unsent bytes
    TimePoint m_progressAt{}; ///< when the peer last acknowledged bytes, or since when there are unsent ones
    std::optional<TimePoint> m_sentAllAt; ///< when the last byte of the last answer was written
    bool m_hasLast = false;
    bool m_hasFailed = false;
};

} // namespace pepperlug
