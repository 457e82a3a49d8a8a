//===- PeerChannel.h - Calls to one peer and their connections --*- C++ -*-===//
//
// Decides over which connection a call to a peer goes, when a call has taken
// too long, and when a connection is silent and has to be replaced. Decides
// without sockets: the owner reports events with their times, and carries the
// effects out.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Wire.h"

#include <set>

namespace pepperlug
{

/// Number of a connection within its channel.
enum class ConnectionId : std::uint64_t {};

/// What arrived on a connection.
enum class Heard : std::uint8_t {
    Reply, ///< bytes of a reply to a call
    Other, ///< bytes that the peer's network code sends by itself, whatever the state of its process
};

/// Why a connection is closed.
enum class CloseCause : std::uint8_t {
    Idle, ///< no call uses it, and whether it still works is not known
    Silent, ///< a newer connection to the same peer works, and this one does not
    TimedOut, ///< a call ended without a byte from the peer
};

class PeerChannel
{
public:
    /// Time without a byte after which a connection is not relied upon: a new call goes over a new one.
    static constexpr Milliseconds TrustTime{500};

    struct Connect {
        ConnectionId connection{};
        bool operator==(const Connect &) const = default;
    };
    struct Submit {
        ConnectionId connection{};
        CallId call{};
        bool operator==(const Submit &) const = default;
    };
    /// Asks the peer's network code for a sign of life.
    struct Ping {
        ConnectionId connection{};
        bool operator==(const Ping &) const = default;
    };
    /// Ends a call that has no reply.
    struct EndCall {
        std::optional<ConnectionId> connection; ///< to which it was submitted
        CallId call{};
        CallFailure failure{};
        bool operator==(const EndCall &) const = default;
    };
    /// Ends a connection and all calls on it.
    struct Close {
        ConnectionId connection{};
        CloseCause cause{};
        Duration silence{}; ///< time since a byte arrived on it
        std::size_t calls = 0; ///< that end with it
        bool operator==(const Close &) const = default;
    };
    using Effect = std::variant<Connect, Submit, Ping, EndCall, Close>;
    using Effects = std::vector<Effect>;

    /// A new call. `timeout` is the limit of what CallLimit names.
    void start(CallId call, Duration timeout, CallLimit limit, TimePoint now, Effects &effects);
    /// Gives up on a call; does nothing if it has ended.
    void cancel(CallId call, TimePoint now, Effects &effects);
    /// A call has ended at its connection. `isReplied`: the peer sent a whole reply.
    void finish(CallId call, bool isReplied, TimePoint now, Effects &effects);
    void setConnected(ConnectionId connection, TimePoint now, Effects &effects);
    /// A connection could not be made, or was lost.
    void setLost(ConnectionId connection, TimePoint now, Effects &effects);
    void addHeard(ConnectionId connection, Heard heard, TimePoint now, Effects &effects);
    /// Ends the calls whose limit has passed.
    void expire(TimePoint now, Effects &effects);
    /// Returns when expire() has to be called; nothing if no call is open.
    std::optional<TimePoint> nextLimit() const;

private:
    struct Connection {
        bool isConnected = false;
        bool hasHeard = false; ///< a byte has arrived
        TimePoint openedAt{};
        TimePoint heardAt{}; ///< or when it was made
        std::optional<TimePoint> pingedAt; ///< without a byte since then
        std::set<CallId> calls; ///< submitted, or waiting for the connection
    };

    struct Call {
        ConnectionId connection{};
        TimePoint startedAt{};
        Duration timeout{};
        CallLimit limit{};
        TimePoint limitAt{};
    };

    /// Returns the connection for a new call.
    ConnectionId choose(TimePoint now, Effects &effects);
    /// Doubts a connection, and returns the one that takes its place.
    ConnectionId replace(ConnectionId id, TimePoint now, Effects &effects);
    ConnectionId open(TimePoint now, Effects &effects);
    void close(ConnectionId id, CloseCause cause, TimePoint now, Effects &effects);
    void ping(ConnectionId id, TimePoint now, Effects &effects);
    void pingDoubted(TimePoint now, Effects &effects);
    void returnToDoubted(TimePoint now, Effects &effects);
    void closeIfUnused(ConnectionId id, TimePoint now, Effects &effects);
    void setLimit(CallId id, Call &call, TimePoint limitAt);
    void remove(CallId id);
    /// Returns the next limit of a call that need not end yet; nothing if it has to.
    std::optional<TimePoint> extendedLimit(const Call &call, TimePoint now) const;
    void timeOut(CallId id, TimePoint now, Effects &effects);

    std::map<ConnectionId, Connection> m_connections;
    std::optional<ConnectionId> m_current; ///< for new calls
    std::optional<ConnectionId> m_doubted; ///< was m_current before, and silent then
    std::map<CallId, Call> m_calls;
    std::set<std::pair<TimePoint, CallId>> m_limits;
    TimePoint m_repliedAt{}; ///< when bytes of a reply arrived, on any connection
    std::uint64_t m_lastConnection = 0;
};

} // namespace pepperlug
