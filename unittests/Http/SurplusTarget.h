//===- SurplusTarget.h - A target that repeats its refusals -----*- C++ -*-===//
#pragma once

#include "RawSocket.h"
#include "test/soak/EndlessForm.h"

#include <list>
#include <mutex>
#include <set>

namespace pepperlug::test
{

/// Turns the first attempt of each request away, and sends a second copy of that answer in the place of the next one on
/// the same connection. Runs all later attempts.
class SurplusTarget
{
public:
    SurplusTarget()
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { accept(); })
    {
    }

    ~SurplusTarget()
    {
        m_isOver = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (RawServer::Socket &it : m_sockets) {
            ::shutdown(it.native_handle(), SHUT_RDWR);
        }
        for (std::thread &it : m_connections) {
            it.join();
        }
    }

    SurplusTarget(const SurplusTarget &) = delete;
    SurplusTarget &operator=(const SurplusTarget &) = delete;

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Whether a request with that id was run.
    bool hasRun(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_run.contains(id);
    }

    std::size_t runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_run.size();
    }

private:
    void accept()
    {
        while (!m_isOver) {
            RawServer::Socket socket(m_context);
            boost::system::error_code ec;
            m_acceptor.accept(socket, ec);
            if (!ec) {
                m_sockets.push_back(std::move(socket));
                m_connections.emplace_back([this, &it = m_sockets.back()] { serve(it); });
            }
        }
    }

    void serve(RawServer::Socket &socket)
    {
        std::string surplus;
        for (;;) {
            const std::string head = RawServer::readRequest(socket);
            if (head.empty()) {
                return;
            }
            RawServer::send(socket, std::exchange(surplus, {}));
            const std::string id = soak::valueInHead(head, "X-Request-Id");
            const std::string fields = "X-Request-Id: " + id + "\r\nX-Upstream-Load: 0,0,3\r\n";
            if (isFirst(id)) {
                surplus =
                    "HTTP/1.1 503 Service Unavailable\r\n" + fields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                RawServer::send(socket, surplus);
            } else {
                RawServer::send(socket,
                                "HTTP/1.1 200 OK\r\n" + fields + "X-Upstream-Seal: s\r\nContent-Length: 4\r\n\r\nheld");
            }
        }
    }

    bool isFirst(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        const bool isNew = m_seen.insert(id).second;
        if (!isNew) {
            m_run.insert(id);
        }
        return isNew;
    }

    std::atomic<bool> m_isOver{false};
    std::mutex m_mutex;
    std::set<std::string> m_seen;
    std::set<std::string> m_run;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<RawServer::Socket> m_sockets; ///< used by m_thread, and after it has ended
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace pepperlug::test
