//===- PeerNet.cpp - Connections to the other processes -------------------===//
//
// A connection is made with the first call to a peer and kept. A call that runs out of time on a connection that has
// been silent ever since closes it: the peer may be cut off without a word, and the next call should try afresh.
//
//===----------------------------------------------------------------------===//
#include "Http2Connection.h"

namespace pepperlug
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto ConnectTimeout = std::chrono::seconds(2);
/// A call whose limit is on silence ends after so many limits in any case: other calls of the same connection may keep
/// it from being silent while the peer has forgotten this one. With limits of 1 s the longest routing that was met, 67
/// KB, passes at 8 KB a second.
constexpr int MostLimits = 8;

tcp::endpoint endpointOf(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

class PeerNet::Impl
{
public:
    Impl()
        : m_work(asio::make_work_guard(m_context))
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Impl()
    {
        stop();
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Address listen(const Address &address, CallHandler handler)
    {
        auto acceptor = std::make_shared<tcp::acceptor>(m_context);
        boost::system::error_code ec;
        const tcp::endpoint endpoint = endpointOf(address);
        acceptor->open(endpoint.protocol(), ec);
        if (!ec) {
            acceptor->set_option(tcp::acceptor::reuse_address(true), ec);
        }
        if (!ec) {
            acceptor->bind(endpoint, ec);
        }
        if (!ec) {
            acceptor->listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec) {
            throw Error("listen", address.text(), ec.message());
        }
        const std::uint16_t port = acceptor->local_endpoint().port();
        asio::post(m_context, [this, acceptor, handler = std::move(handler)]() mutable {
            m_acceptors.push_back(acceptor);
            accept(acceptor, std::move(handler));
        });
        return {address.ip, port};
    }

    CallId call(const Address &to, std::string path, std::string body, Duration timeout, ReplyHandler handler,
                CallLimit limit)
    {
        const auto id = static_cast<CallId>(++m_lastCall);
        auto open = std::make_shared<OpenCall>();
        open->path = std::move(path);
        open->body = std::move(body);
        open->handler = std::move(handler);
        open->timeout = timeout;
        open->limit = limit;
        asio::post(m_context, [this, id, to, open] { start(id, to, open); });
        return id;
    }

    void cancel(CallId id)
    {
        asio::post(m_context, [this, id] { giveUp(id, "cancelled"); });
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        asio::post(m_context, [this] {
            for (const auto &acceptor : m_acceptors) {
                boost::system::error_code ec;
                acceptor->close(ec);
            }
            for (auto &[id, open] : m_calls) {
                open->handler = nullptr;
                open->timer->cancel();
            }
            m_calls.clear();
            for (auto &[address, peer] : m_peers) {
                if (peer.connection) {
                    peer.connection->close("stopped");
                }
            }
            for (const auto &weak : m_served) {
                if (const auto connection = weak.lock()) {
                    connection->close("stopped");
                }
            }
            m_context.stop();
        });
        m_thread.join();
        m_peers.clear();
    }

    PeerTraffic traffic() const
    {
        return {m_counters.bytesSent, m_counters.bytesReceived, m_counters.callsMade, m_counters.callsServed};
    }

private:
    struct OpenCall {
        std::string path;
        std::string body;
        ReplyHandler handler;
        Duration timeout{};
        CallLimit limit{};
        std::chrono::steady_clock::time_point startedAt;
        Address to;
        std::unique_ptr<asio::steady_timer> timer;
        std::weak_ptr<Http2Connection> connection;
        std::int32_t stream = 0; ///< 0 while the connection is being made
    };
    using OpenCallPtr = std::shared_ptr<OpenCall>;

    struct Peer {
        std::shared_ptr<Http2Connection> connection;
        bool isConnecting = false;
        std::vector<CallId> waiting;
    };

    void accept(const std::shared_ptr<tcp::acceptor> &acceptor, CallHandler handler)
    {
        acceptor->async_accept([this, acceptor, handler = std::move(handler)](const boost::system::error_code &ec,
                                                                              TcpSocket socket) mutable {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                boost::system::error_code nameError;
                const tcp::endpoint remote = socket.remote_endpoint(nameError);
                const std::string peer = nameError ? std::string("peer")
                                                   : remote.address().to_string() + ":" + std::to_string(remote.port());
                const auto connection = std::make_shared<Http2Connection>(
                    std::move(socket), Http2Connection::Side::Server, peer, handler, m_counters);
                std::erase_if(m_served, [](const auto &weak) { return weak.expired(); });
                m_served.push_back(connection);
                connection->start();
            }
            accept(acceptor, std::move(handler));
        });
    }

    void start(CallId id, const Address &to, const OpenCallPtr &open)
    {
        open->to = to;
        open->startedAt = std::chrono::steady_clock::now();
        open->timer = std::make_unique<asio::steady_timer>(m_context);
        m_calls[id] = open;
        limitUntil(id, *open, open->startedAt + open->timeout);
        Peer &peer = m_peers[to];
        if (peer.connection && peer.connection->isOpen()) {
            submit(id, *open, peer.connection);
            return;
        }
        peer.waiting.push_back(id);
        if (!peer.isConnecting) {
            connect(to);
        }
    }

    void limitUntil(CallId id, OpenCall &open, std::chrono::steady_clock::time_point end)
    {
        open.timer->expires_at(end);
        open.timer->async_wait([this, id](const boost::system::error_code &ec) {
            if (!ec) {
                onLimit(id);
            }
        });
    }

    // Whoever gives up a reply that is on its way, and asks for it anew, fills a slow link with replies that nobody
    // reads.
    void onLimit(CallId id)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        OpenCall &open = *it->second;
        const std::shared_ptr<Http2Connection> connection = open.connection.lock();
        const auto now = std::chrono::steady_clock::now();
        const bool isBounded = open.limit == CallLimit::Silence && now < open.startedAt + open.timeout * MostLimits;
        if (isBounded && connection && connection->lastReceived() + open.timeout > now
            && connection->lastReceived() > open.startedAt) {
            limitUntil(id, open, connection->lastReceived() + open.timeout);
            return;
        }
        giveUp(id, "timed out");
    }

    void submit(CallId id, OpenCall &open, const std::shared_ptr<Http2Connection> &connection)
    {
        open.connection = connection;
        open.stream = connection->submitCall(open.path, std::move(open.body),
                                             [this, id](PeerReply reply) { finish(id, std::move(reply)); });
    }

    void connect(const Address &to)
    {
        m_peers[to].isConnecting = true;
        auto socket = std::make_shared<TcpSocket>(m_context);
        auto timer = std::make_shared<asio::steady_timer>(m_context, ConnectTimeout);
        timer->async_wait([socket](const boost::system::error_code &ec) {
            if (!ec) {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
        socket->async_connect(endpointOf(to), [this, to, socket, timer](const boost::system::error_code &ec) {
            timer->cancel();
            Peer &peer = m_peers[to];
            peer.isConnecting = false;
            const std::vector<CallId> waiting = std::exchange(peer.waiting, {});
            if (ec || !socket->is_open()) {
                for (const CallId id : waiting) {
                    finish(id, {false, false, 0, {}, ec ? ec.message() : "connect timed out"});
                }
                return;
            }
            peer.connection = std::make_shared<Http2Connection>(std::move(*socket), Http2Connection::Side::Client,
                                                                to.text(), nullptr, m_counters);
            const std::shared_ptr<Http2Connection> connection = peer.connection;
            connection->start();
            for (const CallId id : waiting) {
                const auto it = m_calls.find(id);
                if (it != m_calls.end()) {
                    submit(id, *it->second, connection);
                }
            }
        });
    }

    void giveUp(CallId id, const std::string &reason)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        const OpenCallPtr open = it->second;
        const std::shared_ptr<Http2Connection> connection = open->connection.lock();
        if (!connection || open->stream <= 0) {
            finish(id, {false, false, 0, {}, reason});
            return;
        }
        const bool isSilent = connection->lastReceived() < open->startedAt;
        connection->resetStream(open->stream, reason);
        if (isSilent && reason == "timed out") {
            connection->close("silent for a whole call");
        }
    }

    void finish(CallId id, PeerReply reply)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        const OpenCallPtr open = it->second;
        m_calls.erase(it);
        open->timer->cancel();
        if (open->handler) {
            open->handler(std::move(reply));
        }
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    TrafficCounters m_counters;
    std::atomic<std::uint64_t> m_lastCall{0};
    std::vector<std::shared_ptr<tcp::acceptor>> m_acceptors;
    std::vector<std::weak_ptr<Http2Connection>> m_served;
    std::map<Address, Peer> m_peers;
    std::map<CallId, OpenCallPtr> m_calls;
    std::thread m_thread;
};

PeerNet::PeerNet()
    : m_impl(std::make_unique<Impl>())
{
}

PeerNet::~PeerNet() = default;

Address PeerNet::listen(const Address &address, CallHandler handler)
{
    return m_impl->listen(address, std::move(handler));
}

CallId PeerNet::call(const Address &to, std::string path, std::string body, Duration timeout, ReplyHandler handler,
                     CallLimit limit)
{
    return m_impl->call(to, std::move(path), std::move(body), timeout, std::move(handler), limit);
}

void PeerNet::cancel(CallId id)
{
    m_impl->cancel(id);
}

void PeerNet::stop()
{
    m_impl->stop();
}

PeerTraffic PeerNet::traffic() const
{
    return m_impl->traffic();
}

} // namespace pepperlug
