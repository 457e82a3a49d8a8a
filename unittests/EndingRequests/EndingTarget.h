//===- EndingTarget.h - A target that a certain request ends -----*- C++ -*-===//
//
// At a socket, as an operating system shows it: when the process ends, all its
// connections close without an answer and nothing listens at its address any
// more, until the next incarnation does.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Fleet/System.h"

#include <boost/asio.hpp>

namespace pepperlug::fleet::test
{

/// Under this path a request ends the target that runs it.
constexpr const char *EndingPath = "/p/ends-targets";

class EndingTarget
{
public:
    EndingTarget()
        : m_address(boost::asio::ip::make_address("127.0.0.1"), 0)
    {
        listen();
        m_address = m_acceptor->local_endpoint();
        m_thread = std::thread([this] { serve(); });
    }

    ~EndingTarget()
    {
        m_stop = true;
        m_thread.join();
    }

    EndingTarget(const EndingTarget &) = delete;
    EndingTarget &operator=(const EndingTarget &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_address.port());
    }

    /// Id of the incarnation that runs, or ran last.
    std::string id() const
    {
        return "i-" + std::to_string(m_address.port()) + "-" + std::to_string(m_lives);
    }

    bool hasEnded() const
    {
        return m_hasEnded;
    }

    /// The next incarnation, at the same address.
    void startAgain()
    {
        ++m_lives;
        m_hasEnded = false;
    }

    /// When requests under EndingPath came, of all incarnations.
    std::vector<std::chrono::steady_clock::time_point> endings() const
    {
        const std::lock_guard lock(m_mutex);
        return m_endings;
    }

private:
    using Tcp = boost::asio::ip::tcp;

    void listen()
    {
        m_acceptor = std::make_unique<Tcp::acceptor>(m_context, m_address);
        m_acceptor->non_blocking(true);
    }

    void serve()
    {
        while (!m_stop) {
            if (m_hasEnded) {
                std::this_thread::sleep_for(1ms);
                continue;
            }
            if (!m_acceptor) {
                listen();
            }
            if (!serveOnce()) {
                m_connections.clear();
                m_acceptor.reset();
                m_hasEnded = true;
            }
        }
    }

    /// False if a request has ended it.
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
        if (head.find(EndingPath) != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            m_endings.push_back(std::chrono::steady_clock::now());
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
    std::atomic<int> m_lives{1};
    std::atomic<bool> m_hasEnded{false};
    std::atomic<bool> m_stop{false};
    mutable std::mutex m_mutex;
    std::vector<std::chrono::steady_clock::time_point> m_endings;
    std::thread m_thread;
};

} // namespace pepperlug::fleet::test
