//===- EndingTarget.h - A target that a certain request crashes --*- C++ -*-===//
//
// Behaves at its socket as a crashed process does: all connections close without
// an answer, and nothing listens at the address until the next incarnation starts.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Fleet/System.h"

#include <boost/asio.hpp>

namespace pepperlug::fleet::test
{

/// Path of the requests that crash the target which runs them.
constexpr const char *CrashingPath = "/p/ends-targets";

class CrashingTarget
{
public:
    // No other test process may get its port while nothing listens there.
    CrashingTarget()
        : m_address(boost::asio::ip::make_address(addressOn(TargetHost, 0).ip), 0)
    {
        listen();
        m_address = m_acceptor->local_endpoint();
        m_thread = std::thread([this] { serve(); });
    }

    ~CrashingTarget()
    {
        m_stop = true;
        m_thread.join();
    }

    CrashingTarget(const CrashingTarget &) = delete;
    CrashingTarget &operator=(const CrashingTarget &) = delete;

    std::string address() const
    {
        return addressOn(TargetHost, m_address.port()).text();
    }

    /// Returns the id of the running or last incarnation.
    std::string id() const
    {
        return "i-" + std::to_string(m_address.port()) + "-" + std::to_string(m_incarnation);
    }

    bool hasCrashed() const
    {
        return m_hasCrashed;
    }

    /// Starts the next incarnation at the same address.
    void restart()
    {
        ++m_incarnation;
        m_hasCrashed = false;
    }

    /// Returns the times at which requests with CrashingPath arrived, at all incarnations.
    std::vector<std::chrono::steady_clock::time_point> crashes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    using Tcp = boost::asio::ip::tcp;

    static constexpr unsigned TargetHost = 91;

    void listen()
    {
        m_acceptor = std::make_unique<Tcp::acceptor>(m_context, m_address);
        m_acceptor->non_blocking(true);
    }

    void serve()
    {
        while (!m_stop) {
            if (m_hasCrashed) {
                std::this_thread::sleep_for(1ms);
                continue;
            }
            if (!m_acceptor) {
                listen();
            }
            if (!serveOnce()) {
                m_connections.clear();
                m_acceptor.reset();
                m_hasCrashed = true;
            }
        }
    }

    /// Returns false if a request crashed the target.
    bool serveOnce()
    {
        boost::system::error_code ec;
        Tcp::socket accepted(m_context);
        m_acceptor->accept(accepted, ec);
        if (!ec) {
            accepted.non_blocking(true);
            m_connections.push_back({std::move(accepted), {}});
        } else {
            std::this_thread::sleep_for(1ms);
        }
        return std::all_of(m_connections.begin(), m_connections.end(), [this](Connection &it) { return read(it); });
    }

    struct Connection {
        Tcp::socket socket;
        std::string bytes;
    };

    bool read(Connection &connection)
    {
        boost::system::error_code ec;
        std::array<char, 4096> buf{};
        connection.bytes.append(buf.data(), connection.socket.read_some(boost::asio::buffer(buf), ec));
        const std::size_t end = connection.bytes.find("\r\n\r\n");
        if (end == std::string::npos) {
            return true;
        }
        const std::string head = connection.bytes.substr(0, end);
        connection.bytes.clear();
        if (head.find(CrashingPath) != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            m_crashes.push_back(std::chrono::steady_clock::now());
            return false;
        }
        const std::string name = "X-Request-Id: ";
        const std::size_t at = head.find(name) + name.size();
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Upstream-Seal: s\r\n" + name
            + head.substr(at, head.find("\r\n", at) - at) + "\r\n\r\nok";
        boost::asio::write(connection.socket, boost::asio::buffer(answer), ec);
        return true;
    }

    boost::asio::io_context m_context;
    Tcp::endpoint m_address;
    std::unique_ptr<Tcp::acceptor> m_acceptor;
    std::vector<Connection> m_connections;
    std::atomic<int> m_incarnation{1};
    std::atomic<bool> m_hasCrashed{false};
    std::atomic<bool> m_stop{false};
    mutable std::mutex m_mutex;
    std::vector<std::chrono::steady_clock::time_point> m_crashes;
    std::thread m_thread;
};

} // namespace pepperlug::fleet::test
