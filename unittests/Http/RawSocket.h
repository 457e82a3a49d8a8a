//===- RawSocket.h - Bytes to and from a socket, for tests -------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <boost/asio.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <thread>

namespace pepperlug
{

/// A connection that sends and reads raw bytes, and gives up after a few seconds.
class RawSocket
{
public:
    explicit RawSocket(const Address &to)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(to.ip), to.port});
    }

    /// Connects with a receive buffer of that size and short segments, so that the other system holds most of what is
    /// not read.
    RawSocket(const Address &to, int receiveBytes)
        : m_socket(m_context)
    {
        constexpr int SegmentBytes = 1400;
        m_socket.open(boost::asio::ip::tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes));
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
        m_socket.connect({boost::asio::ip::make_address(to.ip), to.port});
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    /// Reads until the text has come so many times; what came until then, or until the end of the connection.
    std::string readUntil(const std::string &text, int times = 1)
    {
        while (count(text) < times && readSome()) { }
        return m_read;
    }

    /// Reads until so many bytes have come in all, or until the end of the connection; how many came.
    std::size_t readAtLeast(std::size_t size)
    {
        while (m_read.size() < size && readSome()) { }
        return m_read.size();
    }

    std::string readToEnd()
    {
        while (readSome()) { }
        return m_read;
    }

    /// Ends the sending side only.
    void endSending()
    {
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    void close()
    {
        m_socket.close();
    }

    /// Whether the other system has received all that was sent, and with it the acknowledgement of what was read.
    bool isDelivered()
    {
        int unacknowledged = 0;
        return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
    }

    /// Whether sending fails, since the other side has closed the connection altogether.
    bool isReset()
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer("\r\n", 2), ec);
        return static_cast<bool>(ec);
    }

private:
    int count(const std::string &text) const
    {
        int n = 0;
        for (std::size_t at = m_read.find(text); at != std::string::npos; at = m_read.find(text, at + text.size())) {
            ++n;
        }
        return n;
    }

    bool readSome()
    {
        std::array<char, 4096> buf{};
        std::size_t size = 0;
        bool hasEnded = false;
        m_socket.async_read_some(boost::asio::buffer(buf), [&](const boost::system::error_code &ec, std::size_t n) {
            size = n;
            hasEnded = static_cast<bool>(ec);
        });
        m_context.restart();
        m_context.run_for(std::chrono::seconds(10));
        m_read.append(buf.data(), size);
        if (size == 0 && !hasEnded) {
            m_socket.cancel();
            m_context.restart();
            m_context.run();
        }
        return size > 0;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_read;
};

/// A server that plays a script: for each connection a function that gets the socket.
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Script = std::function<void(Socket &)>;

    explicit RawServer(std::vector<Script> scripts)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, scripts = std::move(scripts)] {
            for (const Script &script : scripts) {
                Socket socket(m_context);
                boost::system::error_code ec;
                m_acceptor.accept(socket, ec);
                if (ec) {
                    return;
                }
                script(socket);
            }
        })
    {
    }

    ~RawServer()
    {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Reads one request head, and as many bytes of body as asked.
    static std::string readRequest(Socket &socket, std::size_t bodyBytes = 0)
    {
        boost::system::error_code ec;
        std::string bytes;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", ec);
        const std::size_t head = bytes.find("\r\n\r\n") + 4;
        while (!ec && bytes.size() < head + bodyBytes) {
            std::array<char, 1024> buf{};
            bytes.append(buf.data(), socket.read_some(boost::asio::buffer(buf), ec));
        }
        return bytes;
    }

    static void send(Socket &socket, const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace pepperlug
