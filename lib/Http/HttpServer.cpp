//===- HttpServer.cpp - Callers' requests over Pistache -------------------===//
//
// Pistache gives the sockets and the threads. What it does not give is in Connection.cpp, MessageReader.h and
// RequestHead.cpp: a strict reading of requests, answers to pipelined ones in order, and answers that can't reach
// another caller.
//
//===----------------------------------------------------------------------===//
#include "Connection.h"

#include <pistache/endpoint.h>

#include <algorithm>
#include <thread>

namespace pepperlug
{

namespace
{

namespace ph = Pistache::Http;
namespace pt = Pistache::Tcp;

constexpr const char *ConnectionKey = "pepperlug";
constexpr auto Never = std::chrono::hours(24 * 365);

class ServerHandler : public ph::Handler
{
public:
    HTTP_PROTOTYPE(ServerHandler)

    explicit ServerHandler(ServerShared &shared)
        : m_shared(&shared)
    {
    }

    void onRequest(const ph::Request &, ph::ResponseWriter) override
    {
        // Never called: onInput is ours.
    }

    void onDisconnection(const std::shared_ptr<pt::Peer> &peer) override
    {
        if (const auto connection = find(peer)) {
            connection->gone();
        }
    }

private:
    // A connection counts from its start, as one that sends nothing takes a descriptor as well. The library looks for
    // its own parser even where it is not used.
    void onConnection(const std::shared_ptr<pt::Peer> &peer) override
    {
        peer->putData(ParserData, std::make_shared<ph::RequestParser>(getMaxRequestSize()));
        const auto connection = Connection::make(peer, *m_shared, ++m_shared->lastConnection);
        peer->putData(ConnectionKey, connection);
        const bool isTaken = m_shared->intake->addConnection(m_shared);
        {
            const std::lock_guard lock(m_shared->mutex);
            m_shared->connections.push_back(connection);
        }
        if (!isTaken) {
            connection->spare();
        }
    }

    std::shared_ptr<Connection> find(const std::shared_ptr<pt::Peer> &peer)
    {
        return std::static_pointer_cast<Connection>(peer->tryGetData(ConnectionKey));
    }

    void onInput(const char *data, std::size_t size, const std::shared_ptr<pt::Peer> &peer) override
    {
        if (const auto connection = find(peer)) {
            connection->input(data, size);
        }
    }

    ServerShared *m_shared;
};

} // namespace

class HttpServer::Impl
{
public:
    Impl(const Address &address, unsigned threads, HttpLimits limits, const Clock &clock, HttpHandler handler,
         std::shared_ptr<Intake> intake)
        : m_shared{limits, clock, std::move(handler), std::move(intake), {}, {}}
        , m_ip(address.ip)
        , m_endpoint(Pistache::Address(address.ip, Pistache::Port(address.port)))
    {
        constexpr int Backlog = 1024;
        const auto flags =
            Pistache::Flags<pt::Options>(pt::Options::ReuseAddr) | pt::Options::NoDelay | pt::Options::CloseOnExec;
        auto options = ph::Endpoint::options().threads(static_cast<int>(threads)).flags(flags).backlog(Backlog);
        options.maxRequestSize(limits.headBytes + limits.bodyBytes * 2);
        options.headerTimeout(Never).bodyTimeout(Never).keepaliveTimeout(Never);
        m_shared.intake->addPort(&m_shared, [this] { return spareable(); });
        m_endpoint.init(options);
        m_endpoint.setHandler(std::make_shared<ServerHandler>(m_shared));
        try {
            m_endpoint.serveThreaded();
        } catch (const std::exception &ex) {
            m_shared.intake->removePort(&m_shared);
            throw Error("listen", address.text(), ex.what());
        }
    }

    Address address() const
    {
        return {m_ip, static_cast<std::uint16_t>(m_endpoint.getPort())};
    }

    void sweep()
    {
        const TimePoint now = m_shared.clock.now();
        for (const auto &connection : liveConnections()) {
            connection->sweep(now);
        }
    }

    std::size_t undelivered()
    {
        const std::vector<std::shared_ptr<Connection>> live = liveConnections();
        return static_cast<std::size_t>(
            std::ranges::count_if(live, [](const auto &it) { return it->hasUndelivered(); }));
    }

    void abandonAnswers()
    {
        for (const auto &connection : liveConnections()) {
            connection->abandonAnswers();
        }
    }

    void closeAfterAnswers()
    {
        m_shared.closesAfterAnswers = true;
    }

    HttpServerStats stats()
    {
        const std::lock_guard lock(m_shared.mutex);
        HttpServerStats stats;
        stats.heldBytes = m_shared.heldBytes;
        stats.slowReadersCutOff = m_shared.slowReadersCutOff;
        stats.refusedUnread = m_shared.refusedUnread;
        stats.malformedRequests = m_shared.malformedRequests;
        stats.refusedNoRoom = m_shared.refusedNoRoom;
        stats.givenUp = m_shared.givenUp;
        stats.connectionsSpared = m_shared.connectionsSpared;
        stats.droppedWaiting = m_shared.droppedWaiting;
        stats.failedHandlings = m_shared.failedHandlings;
        stats.lastFailure = m_shared.lastFailure;
        return stats;
    }

    void stop()
    {
        if (!m_stopped) {
            m_stopped = true;
            m_shared.isStopped = true;
            m_endpoint.shutdown();
            m_shared.intake->removePort(&m_shared);
        }
    }

private:
    std::vector<SpareableConnection> spareable()
    {
        std::vector<SpareableConnection> all;
        for (const auto &connection : liveConnections()) {
            if (auto it = connection->spareable()) {
                all.push_back(std::move(*it));
            }
        }
        return all;
    }

    std::vector<std::shared_ptr<Connection>> liveConnections()
    {
        std::vector<std::shared_ptr<Connection>> live;
        const std::lock_guard lock(m_shared.mutex);
        std::erase_if(m_shared.connections, [&](const std::weak_ptr<Connection> &weak) {
            auto it = weak.lock();
            const bool isGone = it == nullptr;
            if (!isGone) {
                live.push_back(std::move(it));
            }
            return isGone;
        });
        return live;
    }

    ServerShared m_shared;
    std::string m_ip;
    ph::Endpoint m_endpoint;
    bool m_stopped = false;
};

HttpServer::HttpServer(const Address &address, unsigned threads, HttpLimits limits, const Clock &clock,
                       HttpHandler handler, std::shared_ptr<Intake> intake)
    : m_impl(std::make_unique<Impl>(address, threads, limits, clock, std::move(handler),
                                    intake ? std::move(intake) : std::make_shared<Intake>(intakeLimits(0, 0))))
{
}

HttpServer::~HttpServer()
{
    stop();
}

Address HttpServer::address() const
{
    return m_impl->address();
}

void HttpServer::closeAfterAnswers()
{
    m_impl->closeAfterAnswers();
}

void HttpServer::sweep()
{
    m_impl->sweep();
}

HttpServerStats HttpServer::stats() const
{
    return m_impl->stats();
}

std::size_t HttpServer::undelivered() const
{
    return m_impl->undelivered();
}

void HttpServer::abandonAnswers()
{
    m_impl->abandonAnswers();
}

std::size_t HttpServer::awaitDelivery(Duration atMost) const
{
    constexpr auto PollInterval = std::chrono::milliseconds(10);
    const auto end = std::chrono::steady_clock::now() + atMost;
    std::size_t left = undelivered();
    while (left > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(PollInterval);
        left = undelivered();
    }
    return left;
}

void HttpServer::stop()
{
    m_impl->stop();
}

} // namespace pepperlug
