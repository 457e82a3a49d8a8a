//===- SpareConnections.h - Connections opened in advance -------*- C++ -*-===//
//
// Holds connected sockets for calls that need a new connection. All functions
// but counts() are called on the client's thread.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"
#include "SparePlan.h"

#include <atomic>
#include <unordered_map>

namespace pepperlug
{

class SpareConnections
{
public:
    /// Time between two calls of sweep(): how much later than due a connection may be opened or closed.
    static constexpr Milliseconds SweepInterval{250};

    /// Throws Error with step "start client".
    SpareConnections();
    ~SpareConnections();
    SpareConnections(const SpareConnections &) = delete;
    SpareConnections &operator=(const SpareConnections &) = delete;

    /// Becomes readable when onReady() has to be called.
    int descriptor() const;
    void setWanted(const std::vector<Address> &addresses, TimePoint now);
    void addUse(const Address &address, TimePoint now);
    /// Handles connect attempts that have ended and connections that the peer closed.
    void onReady(TimePoint now);
    /// Opens and closes what is due.
    void sweep(TimePoint now);
    /// Returns an open connection, which the caller owns from then on; nothing if there is none.
    std::optional<int> take(const Address &address, TimePoint now);
    /// Closes the connection to the address, or the attempt to make one.
    void drop(const Address &address, TimePoint now);
    /// From any thread.
    SpareConnectionCounts counts() const;

private:
    struct Connection {
        int socket = -1;
        bool isConnected = false;
    };

    void open(const Address &address, TimePoint now);
    /// Closes the socket of the address, if there is one.
    void close(const Address &address);
    void onEvent(int socket, TimePoint now);

    int m_epoll = -1;
    SparePlan m_plan;
    std::map<Address, Connection> m_connections;
    std::unordered_map<int, Address> m_addressOf; ///< by socket
    std::atomic<std::uint64_t> m_opened = 0;
    std::atomic<std::uint64_t> m_used = 0;
    std::atomic<std::uint64_t> m_closedUnused = 0;
};

/// Whether unread bytes wait on a socket. It must be non-blocking.
bool holdsUnread(int socket);
/// Whether the next unread bytes are the start of an answer. The socket must be non-blocking.
bool holdsAnswerStart(int socket);
/// Whether the peer has neither closed the connection nor sent anything. The socket must be non-blocking.
bool isIdleAndOpen(int socket);

} // namespace pepperlug
