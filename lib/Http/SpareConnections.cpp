//===- SpareConnections.cpp - Connections opened in advance ---------------===//
#include "SpareConnections.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr int MaxEvents = 64;

/// Starts a non-blocking connect; -1 if that fails.
int startConnect(const Address &address)
{
    boost::system::error_code ec;
    const boost::asio::ip::tcp::endpoint to(boost::asio::ip::make_address(address.ip, ec), address.port);
    if (ec) {
        return -1;
    }
    const int socket = ::socket(to.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
    if (socket < 0) {
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(socket, to.data(), static_cast<socklen_t>(to.size())) != 0 && errno != EINPROGRESS) {
        ::close(socket);
        return -1;
    }
    return socket;
}

bool hasConnected(int socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

} // namespace

bool isIdleAndOpen(int socket)
{
    char byte = 0;
    return recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool holdsUnread(int socket)
{
    char byte = 0;
    return recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool holdsAnswerStart(int socket)
{
    constexpr std::string_view Start = "HTTP/1.";
    std::array<char, Start.size()> bytes{};
    const ssize_t size = recv(socket, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    return size == static_cast<ssize_t>(Start.size()) && std::string_view(bytes.data(), bytes.size()) == Start;
}

SpareConnections::SpareConnections()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0) {
        throw Error("start client", "", std::strerror(errno));
    }
}

SpareConnections::~SpareConnections()
{
    for (const auto &[address, connection] : m_connections) {
        ::close(connection.socket);
    }
    ::close(m_epoll);
}

int SpareConnections::descriptor() const
{
    return m_epoll;
}

void SpareConnections::setWanted(const std::vector<Address> &addresses, TimePoint now)
{
    m_plan.setWanted(addresses);
    sweep(now);
}

void SpareConnections::addUse(const Address &address, TimePoint now)
{
    m_plan.addUse(address, now);
}

void SpareConnections::onReady(TimePoint now)
{
    std::array<epoll_event, MaxEvents> events{};
    const int count = epoll_wait(m_epoll, events.data(), MaxEvents, 0);
    for (int n = 0; n < count; ++n) {
        onEvent(events[static_cast<std::size_t>(n)].data.fd, now);
    }
}

void SpareConnections::onEvent(int socket, TimePoint now)
{
    const auto it = m_addressOf.find(socket);
    if (it == m_addressOf.end()) {
        return;
    }
    const Address address = it->second;
    Connection &connection = m_connections[address];
    if (connection.isConnected || !hasConnected(socket)) {
        // Whatever a peer sends before a request is no answer, so the connection is of no use either.
        close(address);
        m_plan.setLost(address, now);
        return;
    }
    connection.isConnected = true;
    ++m_opened;
    m_plan.setConnected(address, now);
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP;
    event.data.fd = socket;
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event);
}

void SpareConnections::sweep(TimePoint now)
{
    for (const Address &it : m_plan.closeDue(now)) {
        close(it);
    }
    for (const Address &it : m_plan.startDue(now)) {
        open(it, now);
    }
}

void SpareConnections::open(const Address &address, TimePoint now)
{
    const int socket = startConnect(address);
    epoll_event event{};
    event.events = EPOLLOUT;
    event.data.fd = socket;
    if (socket < 0 || epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event) != 0) {
        if (socket >= 0) {
            ::close(socket);
        }
        m_plan.setLost(address, now);
        return;
    }
    m_connections[address] = {socket, false};
    m_addressOf[socket] = address;
}

void SpareConnections::close(const Address &address)
{
    const auto it = m_connections.find(address);
    if (it == m_connections.end()) {
        return;
    }
    m_closedUnused += it->second.isConnected ? 1 : 0;
    m_addressOf.erase(it->second.socket);
    ::close(it->second.socket);
    m_connections.erase(it);
}

std::optional<int> SpareConnections::take(const Address &address, TimePoint now)
{
    // Connections that are too old must not be used, even if the last sweep was some time ago.
    for (const Address &it : m_plan.closeDue(now)) {
        close(it);
    }
    const auto it = m_connections.find(address);
    if (it == m_connections.end() || !it->second.isConnected) {
        return std::nullopt;
    }
    const int socket = it->second.socket;
    if (!isIdleAndOpen(socket)) {
        close(address);
        m_plan.setLost(address, now);
        return std::nullopt;
    }
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
    m_addressOf.erase(socket);
    m_connections.erase(it);
    m_plan.setTaken(address);
    ++m_used;
    return socket;
}

void SpareConnections::drop(const Address &address, TimePoint now)
{
    if (m_connections.contains(address)) {
        close(address);
        m_plan.setLost(address, now);
    }
}

SpareConnectionCounts SpareConnections::counts() const
{
    return {m_opened, m_used, m_closedUnused};
}

} // namespace pepperlug
