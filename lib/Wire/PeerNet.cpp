//===- PeerNet.cpp - Connections to the other processes -------------------===//
//
// A connection is made with the first call to a peer and kept. PeerChannel decides which connection a call takes and
// when one is given up; this file carries that out.
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
/// A served connection that was unused for longer is closed: callers make a new one long before, and one that went
/// silent is never closed by its caller.
constexpr auto ServedIdleLimit = std::chrono::minutes(1);

const char *reasonOf(CloseCause cause)
{
    switch (cause) {
    case CloseCause::Idle:
        return "not used any more";
    case CloseCause::Silent:
        return "the connection is silent";
    case CloseCause::TimedOut:
        return "silent for a whole call";
    }
    return "";
}

const char *reasonOf(CallFailure failure)
{
    switch (failure) {
    case CallFailure::Cancelled:
        return "cancelled";
    case CallFailure::TimedOut:
        return "timed out";
    default:
        return "connection lost";
    }
}

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

    void bound(const IntakeLimits &limits)
    {
        m_intake = std::make_shared<Intake>(limits);
        m_maxServed = limits.connections;
    }

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
            accept(acceptor, [this, handler = std::move(handler)](const IncomingCallPtr &call) {
                if (!isHandled(call->path(), [&] { handler(call); })) {
                    call->reply(500, "internal failure");
                }
            });
        });
        return {address.ip, port};
    }

    void onSilence(std::function<void(const SilentConnection &)> handler)
    {
        m_onSilence = std::move(handler);
    }

    void onFailure(std::function<void(const std::string &, const std::string &)> handler)
    {
        m_onFailure = std::move(handler);
    }

    CallId call(const Address &to, std::string path, std::string body, Duration timeout, ReplyHandler handler,
                CallLimit limit)
    {
        const auto id = static_cast<CallId>(++m_lastCall);
        auto open = std::make_shared<OpenCall>();
        open->to = to;
        open->path = std::move(path);
        open->body = std::move(body);
        open->handler = std::move(handler);
        asio::post(m_context, [this, id, open, timeout, limit] { start(id, open, timeout, limit); });
        return id;
    }

    void cancel(CallId id)
    {
        asio::post(m_context, [this, id] {
            const auto it = m_calls.find(id);
            if (it != m_calls.end()) {
                Peer &peer = peerAt(it->second->to);
                PeerChannel::Effects effects;
                peer.channel.cancel(id, now(), effects);
                carryOut(peer, effects);
            }
        });
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        asio::post(m_context, [this] {
            m_isStopped = true;
            for (const auto &acceptor : m_acceptors) {
                boost::system::error_code ec;
                acceptor->close(ec);
            }
            m_calls.clear();
            for (auto &[address, peer] : m_peers) {
                for (const auto &[id, link] : std::exchange(peer->links, {})) {
                    if (link.connection) {
                        link.connection->close("stopped");
                    }
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
        return {m_counters.bytesSent,      m_counters.bytesReceived,   m_counters.callsMade,
                m_counters.callsServed,    m_counters.connectionsMade, m_counters.connectionsSilent,
                m_counters.handlersFailed, m_counters.callsRefused,    m_counters.connectionsRefused};
    }

private:
    // What a handler throws would end the network thread, and with it the process.
    bool isHandled(const std::string &path, const std::function<void()> &handler)
    {
        try {
            handler();
            return true;
        } catch (const std::exception &ex) {
            ++m_counters.handlersFailed;
            if (m_onFailure) {
                m_onFailure(path, ex.what());
            }
            return false;
        }
    }

    struct OpenCall {
        Address to;
        std::string path;
        std::string body;
        ReplyHandler handler;
        std::int32_t stream = 0; ///< 0 before it is submitted
    };
    using OpenCallPtr = std::shared_ptr<OpenCall>;

    /// A connection, or the attempt to make one.
    struct Link {
        std::shared_ptr<TcpSocket> socket; ///< while it is being connected
        std::shared_ptr<Http2Connection> connection;
    };

    struct Peer {
        Peer(const Address &at, asio::io_context &context)
            : address(at)
            , timer(context)
        {
        }

        Address address;
        PeerChannel channel;
        std::map<ConnectionId, Link> links;
        asio::steady_timer timer; ///< for the limits of calls
        std::optional<TimePoint> timerAt;
        std::string connectError; ///< of the last attempt
    };

    static TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

    Peer &peerAt(const Address &address)
    {
        std::unique_ptr<Peer> &peer = m_peers[address];
        if (!peer) {
            peer = std::make_unique<Peer>(address, m_context);
        }
        return *peer;
    }

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
                    std::move(socket), Http2Connection::Side::Server, peer, handler, m_counters, m_intake);
                closeUnused();
                if (m_served.size() < m_maxServed || closeSilent()) {
                    m_served.push_back(connection);
                    connection->start();
                } else {
                    ++m_counters.connectionsRefused;
                    connection->close("too many connections");
                }
            }
            accept(acceptor, std::move(handler));
        });
    }

    // Other hosts send something at least every half a second.
    bool closeSilent()
    {
        constexpr auto Silence = std::chrono::seconds(2);
        std::shared_ptr<Http2Connection> oldest;
        for (const auto &weak : m_served) {
            const auto connection = weak.lock();
            if (connection && (!oldest || connection->lastReceived() < oldest->lastReceived())) {
                oldest = connection;
            }
        }
        if (!oldest || now() - oldest->lastReceived() < Silence) {
            return false;
        }
        oldest->close("silent while there are too many connections");
        ++m_counters.connectionsRefused;
        return true;
    }

    void closeUnused()
    {
        std::erase_if(m_served, [](const auto &weak) {
            const auto connection = weak.lock();
            if (connection && connection->isUnusedSince(now() - ServedIdleLimit)) {
                connection->close("not used any more");
            }
            return !connection || !connection->isOpen();
        });
    }

    void start(CallId id, const OpenCallPtr &open, Duration timeout, CallLimit limit)
    {
        m_calls[id] = open;
        Peer &peer = peerAt(open->to);
        PeerChannel::Effects effects;
        peer.channel.start(id, timeout, limit, now(), effects);
        carryOut(peer, effects);
    }

    void carryOut(Peer &peer, const PeerChannel::Effects &effects)
    {
        if (m_isStopped) {
            return;
        }
        for (const PeerChannel::Effect &effect : effects) {
            std::visit([&](const auto &it) { carryOut(peer, it); }, effect);
        }
        setTimer(peer);
    }

    // A timer that fires before the next limit does no harm; most calls end long before theirs.
    void setTimer(Peer &peer)
    {
        const std::optional<TimePoint> next = peer.channel.nextLimit();
        if (!next || (peer.timerAt && *peer.timerAt <= *next)) {
            return;
        }
        peer.timerAt = next;
        peer.timer.expires_at(*next);
        peer.timer.async_wait([this, &peer](const boost::system::error_code &ec) {
            if (ec) {
                return;
            }
            peer.timerAt.reset();
            PeerChannel::Effects effects;
            peer.channel.expire(now(), effects);
            carryOut(peer, effects);
        });
    }

    void carryOut(Peer &peer, const PeerChannel::Connect &effect)
    {
        const auto socket = std::make_shared<TcpSocket>(m_context);
        peer.links[effect.connection].socket = socket;
        auto timer = std::make_shared<asio::steady_timer>(m_context, ConnectTimeout);
        timer->async_wait([socket](const boost::system::error_code &ec) {
            if (!ec) {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
        socket->async_connect(
            endpointOf(peer.address),
            [this, &peer, id = effect.connection, socket, timer](const boost::system::error_code &ec) {
                timer->cancel();
                if (!peer.links.contains(id)) {
                    return; // given up meanwhile
                }
                if (ec || !socket->is_open()) {
                    peer.connectError = ec ? ec.message() : "connect timed out";
                    onLost(peer, id);
                    return;
                }
                onConnected(peer, id, std::move(*socket));
            });
    }

    void onConnected(Peer &peer, ConnectionId id, TcpSocket socket)
    {
        const auto connection = std::make_shared<Http2Connection>(std::move(socket), Http2Connection::Side::Client,
                                                                  peer.address.text(), nullptr, m_counters);
        peer.links[id] = {nullptr, connection};
        ++m_counters.connectionsMade;
        connection->onHeard([this, &peer, id](Heard heard) {
            PeerChannel::Effects effects;
            peer.channel.addHeard(id, heard, now(), effects);
            if (!effects.empty()) {
                carryOut(peer, effects);
            }
        });
        connection->onClosed([this, &peer, id] { onLost(peer, id); });
        connection->start();
        PeerChannel::Effects effects;
        peer.channel.setConnected(id, now(), effects);
        carryOut(peer, effects);
    }

    void onLost(Peer &peer, ConnectionId id)
    {
        peer.links.erase(id);
        PeerChannel::Effects effects;
        peer.channel.setLost(id, now(), effects);
        carryOut(peer, effects);
    }

    void carryOut(Peer &peer, const PeerChannel::Submit &effect)
    {
        const auto call = m_calls.find(effect.call);
        const auto link = peer.links.find(effect.connection);
        if (call == m_calls.end() || link == peer.links.end()) {
            return;
        }
        const OpenCallPtr open = call->second;
        open->stream = link->second.connection->submitCall(
            open->path, std::move(open->body),
            [this, id = effect.call](PeerReply reply) { finish(id, std::move(reply)); });
    }

    void carryOut(Peer &peer, const PeerChannel::Ping &effect)
    {
        if (const auto it = peer.links.find(effect.connection); it != peer.links.end()) {
            it->second.connection->ping();
        }
    }

    void carryOut(Peer &peer, const PeerChannel::EndCall &effect)
    {
        const auto call = m_calls.find(effect.call);
        if (call == m_calls.end()) {
            return;
        }
        const bool isLost = effect.failure == CallFailure::ConnectionLost && !peer.connectError.empty();
        const std::string reason = isLost ? peer.connectError : reasonOf(effect.failure);
        const auto link = effect.connection ? peer.links.find(*effect.connection) : peer.links.end();
        if (link == peer.links.end()) {
            finish(effect.call, {false, false, 0, {}, reason, effect.failure});
            return;
        }
        const std::shared_ptr<Http2Connection> connection = link->second.connection;
        connection->resetStream(call->second->stream, reason, effect.failure);
    }

    void carryOut(Peer &peer, const PeerChannel::Close &effect)
    {
        const auto it = peer.links.find(effect.connection);
        if (it == peer.links.end()) {
            return;
        }
        const Link link = std::move(it->second);
        peer.links.erase(it);
        if (link.socket) {
            boost::system::error_code ec;
            link.socket->close(ec);
            return;
        }
        const bool isSilent = effect.cause == CloseCause::Silent;
        if (effect.cause != CloseCause::Idle) {
            ++m_counters.connectionsSilent;
            if (m_onSilence) {
                m_onSilence({peer.address, effect.silence, effect.calls, isSilent});
            }
        }
        link.connection->close(reasonOf(effect.cause),
                               isSilent ? CallFailure::ConnectionSilent : CallFailure::TimedOut);
    }

    void finish(CallId id, PeerReply reply)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        const OpenCallPtr open = it->second;
        m_calls.erase(it);
        Peer &peer = peerAt(open->to);
        PeerChannel::Effects effects;
        peer.channel.finish(id, reply.delivered, now(), effects);
        if (open->handler) {
            isHandled(open->path, [&] { open->handler(std::move(reply)); });
        }
        if (!effects.empty()) {
            carryOut(peer, effects);
        }
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    TrafficCounters m_counters;
    std::atomic<std::uint64_t> m_lastCall{0};
    std::vector<std::shared_ptr<tcp::acceptor>> m_acceptors;
    std::vector<std::weak_ptr<Http2Connection>> m_served;
    std::map<Address, std::unique_ptr<Peer>> m_peers;
    std::map<CallId, OpenCallPtr> m_calls;
    std::function<void(const SilentConnection &)> m_onSilence;
    std::function<void(const std::string &, const std::string &)> m_onFailure;
    bool m_isStopped = false;
    std::shared_ptr<Intake> m_intake = std::make_shared<Intake>(intakeLimits(0, 0));
    std::size_t m_maxServed = intakeLimits(0, 0).connections;
    std::thread m_thread;
};

PeerNet::PeerNet()
    : m_impl(std::make_unique<Impl>())
{
}

PeerNet::~PeerNet() = default;

void PeerNet::onSilence(std::function<void(const SilentConnection &)> handler)
{
    m_impl->onSilence(std::move(handler));
}

void PeerNet::onFailure(std::function<void(const std::string &path, const std::string &reason)> handler)
{
    m_impl->onFailure(std::move(handler));
}

void PeerNet::bound(const IntakeLimits &limits)
{
    m_impl->bound(limits);
}

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
