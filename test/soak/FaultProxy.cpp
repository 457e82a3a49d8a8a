//===- FaultProxy.cpp - A bad network between hosts and targets -----------===//
#include "FaultProxy.h"

namespace pepperlug::soak
{

namespace
{

using boost::asio::ip::tcp;

constexpr Milliseconds DelayTime{120};
constexpr std::size_t BufferBytes = 16 * 1024;

} // namespace

struct FaultProxy::Session {
    explicit Session(Socket from)
        : caller(std::move(from))
        , target(caller.get_executor())
    {
    }

    Socket caller;
    Socket target;
    bool hasLost = false;
    std::array<char, BufferBytes> toTarget{};
    std::array<char, BufferBytes> toCaller{};
};

FaultProxy::FaultProxy(Address target)
    : m_target(std::move(target))
    , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

FaultProxy::~FaultProxy()
{
    m_context.stop();
    m_thread.join();
}

Address FaultProxy::address() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void FaultProxy::set(LinkFault fault)
{
    m_fault = fault;
    if (fault != LinkFault::Reset) {
        return;
    }
    boost::asio::post(m_context, [this] {
        for (const auto &weak : m_sessions) {
            if (const auto session = weak.lock()) {
                end(session, true);
            }
        }
        m_sessions.clear();
    });
}

bool FaultProxy::isCut(bool isToTarget) const
{
    const LinkFault fault = m_fault;
    return fault == LinkFault::Silent || fault == (isToTarget ? LinkFault::CutToTarget : LinkFault::CutFromTarget);
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec, Socket socket) {
        if (ec) {
            return;
        }
        const auto session = std::make_shared<Session>(std::move(socket));
        m_sessions.push_back(session);
        if (m_fault == LinkFault::Reset) {
            end(session, true);
        } else {
            const tcp::endpoint to(boost::asio::ip::make_address(m_target.ip), m_target.port);
            session->target.async_connect(to, [this, session](const boost::system::error_code &failure) {
                if (failure) {
                    end(session, true);
                    return;
                }
                pump(session, true);
                pump(session, false);
            });
        }
        accept();
    });
}

void FaultProxy::pump(const std::shared_ptr<Session> &session, bool isToTarget)
{
    Socket &from = isToTarget ? session->caller : session->target;
    auto &buf = isToTarget ? session->toTarget : session->toCaller;
    from.async_read_some(boost::asio::buffer(buf),
                         [this, session, isToTarget](const boost::system::error_code &ec, std::size_t size) {
                             if (ec) {
                                 end(session, false);
                                 return;
                             }
                             pass(session, isToTarget, size);
                         });
}

void FaultProxy::pass(const std::shared_ptr<Session> &session, bool isToTarget, std::size_t size)
{
    if (isCut(isToTarget)) {
        session->hasLost = true;
        pump(session, isToTarget);
        return;
    }
    if (session->hasLost) {
        end(session, true); // a real connection has no holes: it comes back whole or is reset
        return;
    }
    if (m_fault != LinkFault::Delay) {
        write(session, isToTarget, size);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, DelayTime);
    timer->async_wait([this, session, isToTarget, size, timer](const boost::system::error_code &) {
        write(session, isToTarget, size);
    });
}

void FaultProxy::write(const std::shared_ptr<Session> &session, bool isToTarget, std::size_t size)
{
    Socket &to = isToTarget ? session->target : session->caller;
    const auto &buf = isToTarget ? session->toTarget : session->toCaller;
    boost::asio::async_write(to, boost::asio::buffer(buf.data(), size),
                             [this, session, isToTarget](const boost::system::error_code &ec, std::size_t) {
                                 if (ec) {
                                     end(session, false);
                                     return;
                                 }
                                 pump(session, isToTarget);
                             });
}

void FaultProxy::end(const std::shared_ptr<Session> &session, bool isReset)
{
    boost::system::error_code ec;
    if (isReset) {
        session->caller.set_option(boost::asio::socket_base::linger(true, 0), ec);
        session->target.set_option(boost::asio::socket_base::linger(true, 0), ec);
    }
    session->caller.close(ec);
    session->target.close(ec);
}

} // namespace pepperlug::soak
