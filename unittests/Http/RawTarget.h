//===- RawTarget.h - A target that answers with raw bytes -------*- C++ -*-===//
#pragma once

#include "RawSocket.h"

#include <functional>
#include <list>

namespace pepperlug::test
{

/// Serves any number of connections, each on a thread of its own.
class RawTarget
{
public:
    using Socket = RawServer::Socket;
    /// Answers requests until the connection has ended or is to be closed.
    using Service = std::function<void(Socket &)>;

    explicit RawTarget(Service service)
        : m_service(std::move(service))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { accept(); })
    {
    }

    ~RawTarget()
    {
        m_isOver = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (Socket &it : m_sockets) {
            ::shutdown(it.native_handle(), SHUT_RDWR);
        }
        for (std::thread &it : m_connections) {
            it.join();
        }
    }

    RawTarget(const RawTarget &) = delete;
    RawTarget &operator=(const RawTarget &) = delete;

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Closes a connection, by a reset where that is wanted.
    static void close(Socket &socket, bool byReset)
    {
        if (byReset) {
            const linger reset{1, 0};
            ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            boost::system::error_code ec;
            socket.close(ec);
        } else {
            ::shutdown(socket.native_handle(), SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (!m_isOver) {
            Socket socket(m_context);
            boost::system::error_code ec;
            m_acceptor.accept(socket, ec);
            if (!ec) {
                m_sockets.push_back(std::move(socket));
                m_connections.emplace_back([this, &it = m_sockets.back()] { m_service(it); });
            }
        }
    }

    Service m_service;
    std::atomic<bool> m_isOver{false};
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<Socket> m_sockets; ///< used by m_thread, and after it has ended
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace pepperlug::test
