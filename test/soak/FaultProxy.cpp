//===- FaultProxy.cpp - A bad network in front of an address --------------===//
//
// A narrow link is narrow for each connection: it stands for the link of the caller's own host, which the proxies of
// several control hosts can't share. An entry host has one connection to the control host that it follows.
//
//===----------------------------------------------------------------------===//
#include "FaultProxy.h"

#include "RawAnswer.h"

namespace pepperlug::soak
{

namespace
{

using boost::asio::ip::tcp;

constexpr Milliseconds DelayTime{120};
constexpr Milliseconds RetryTime{1};
constexpr std::size_t BufferBytes = 16 * 1024;
/// What may wait in the proxy's socket, in bytes: a link holds little, the rest waits at the sender.
constexpr int WaitingBytes = 64 * 1024;
/// An endless answer has so many bytes in each interval: 4 MB a second.
constexpr std::size_t EndlessBytes = 64UL * 1024;
constexpr Milliseconds EndlessInterval{16};

} // namespace

struct FaultProxy::Session {
    explicit Session(Socket from)
        : caller(std::move(from))
        , target(caller.get_executor())
    {
    }

    bool isSilent(bool isToTarget) const
    {
        return isToTarget ? isSilentToTarget : isSilentFromTarget;
    }

    Socket caller;
    Socket target;
    bool hasLost = false;
    bool isSilentToTarget = false;
    bool isSilentFromTarget = false;
    std::array<char, BufferBytes> toTarget{};
    std::array<char, BufferBytes> toCaller{};
    /// What an endless answer sends next, a whole number of the repeated parts but for its start; empty: there is none.
    std::string endless;
    std::string repeated; ///< so often that it fills an interval
    std::string surplus; ///< a second answer, for the place of the next one
    std::string rewritten; ///< what goes to the caller in place of what came
    std::string id; ///< of the newest request
    std::size_t left = 0; ///< bytes of the answer that are still to come
    std::optional<std::size_t> stopsAfter; ///< so many bytes more of the answer pass
    bool isEndDue = false; ///< after what is being written
    bool isWholeDue = false; ///< the answer is whole with what is being written
    bool repeats = false; ///< the answer
    std::string answer; ///< that is repeated
    bool isPassing = false; ///< something to the caller
    bool isRepeating = false;
    bool hasRepeated = false;
};

FaultProxy::FaultProxy(Address target, const Address &at)
    : m_target(std::move(target))
    , m_acceptor(m_context, {boost::asio::ip::make_address(at.ip), at.port})
    , m_address{at.ip, m_acceptor.local_endpoint().port()}
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
    return m_address;
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

void FaultProxy::close()
{
    boost::asio::post(m_context, [this] {
        boost::system::error_code ec; // it may be closed already
        m_acceptor.close(ec);
        for (const auto &weak : m_sessions) {
            if (const auto session = weak.lock()) {
                end(session, false);
            }
        }
        m_sessions.clear();
    });
}

void FaultProxy::refuseNew()
{
    const auto isClosed = boost::asio::post(m_context, boost::asio::use_future([this] {
                                                boost::system::error_code ec; // it may be closed already
                                                m_acceptor.close(ec);
                                            }));
    isClosed.wait();
}

void FaultProxy::silenceOpen(SilentWays ways)
{
    const auto isDone = boost::asio::post(m_context, boost::asio::use_future([this, ways] {
                                              for (const auto &weak : m_sessions) {
                                                  if (const auto session = weak.lock()) {
                                                      session->isSilentToTarget |= ways != SilentWays::FromTarget;
                                                      session->isSilentFromTarget |= ways != SilentWays::ToTarget;
                                                  }
                                              }
                                          }));
    isDone.wait();
}

void FaultProxy::narrow(std::uint64_t bytesPerSecond)
{
    m_bytesPerSecond = bytesPerSecond;
    set(LinkFault::Narrow);
}

void FaultProxy::answerWithoutEnd(std::optional<EndlessAnswer> answer)
{
    const auto isDone =
        boost::asio::post(m_context, boost::asio::use_future([this, &answer] { m_endless = std::move(answer); }));
    isDone.wait();
}

void FaultProxy::spoil(std::optional<SpoiledAnswers> how)
{
    const auto isDone = boost::asio::post(m_context, boost::asio::use_future([this, how] { m_spoiled = how; }));
    isDone.wait();
}

void FaultProxy::breakAnswers(std::optional<BrokenAnswers> how)
{
    const auto isDone = boost::asio::post(m_context, boost::asio::use_future([this, how] {
                                              m_broken = how;
                                              m_random.seed(how ? how->seed : 0);
                                          }));
    isDone.wait();
}

void FaultProxy::watchAnswers(std::function<void(const std::string &id)> onWhole)
{
    const auto isDone =
        boost::asio::post(m_context, boost::asio::use_future([this, &onWhole] { m_onWhole = std::move(onWhole); }));
    isDone.wait();
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
        std::erase_if(m_sessions, [](const auto &weak) { return weak.expired(); });
        const auto session = std::make_shared<Session>(std::move(socket));
        m_sessions.push_back(session);
        if (m_fault == LinkFault::Reset) {
            end(session, true);
        } else {
            const tcp::endpoint to(boost::asio::ip::make_address(m_target.ip), m_target.port);
            session->target.open(to.protocol());
            session->target.set_option(boost::asio::socket_base::receive_buffer_size(WaitingBytes));
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
                             if (ec && session->isSilent(isToTarget)) {
                                 return;
                             }
                             if (ec) {
                                 end(session, false);
                                 return;
                             }
                             pass(session, isToTarget, size);
                         });
}

void FaultProxy::pass(const std::shared_ptr<Session> &session, bool isToTarget, std::size_t size)
{
    if (session->isSilent(isToTarget)) {
        pump(session, isToTarget);
        return;
    }
    if (isCut(isToTarget)) {
        session->hasLost = true;
        pump(session, isToTarget);
        return;
    }
    if (session->hasLost) {
        end(session, true); // a real connection has no holes: it comes back whole or is reset
        return;
    }
    if (isToTarget && takeForEndless(session, size)) {
        return;
    }
    if (isToTarget) {
        const std::string bytes(session->toTarget.data(), size);
        session->id = bytes.find(HeadEnd) != std::string::npos ? valueInHead(bytes, "X-Request-Id") : session->id;
    } else {
        session->isPassing = true;
        rewrite(session, size);
        track(*session);
    }
    const Duration time = holdTime(isToTarget, size);
    if (time == Duration::zero()) {
        write(session, isToTarget, size);
        return;
    }
    after(time, [this, session, isToTarget, size] { write(session, isToTarget, size); });
}

void FaultProxy::after(Duration time, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, time);
    timer->async_wait([action = std::move(action), timer](const boost::system::error_code &) { action(); });
}

// What a proxy spoils has no length that could be followed.
void FaultProxy::track(Session &session)
{
    std::string &bytes = session.rewritten;
    const std::optional<std::size_t> length = statusIn(bytes) != 0 ? lengthOf(bytes) : std::nullopt;
    if (m_spoiled) {
        session.left = 0;
        return;
    }
    if (session.left == 0 && length && !session.id.empty()) {
        beginAnswer(session, *length);
    }
    if (session.left == 0) {
        return;
    }
    session.left -= std::min(session.left, bytes.size());
    if (session.stopsAfter && *session.stopsAfter <= bytes.size()) {
        bytes.resize(*session.stopsAfter);
        session.isEndDue = true;
        return;
    }
    if (session.stopsAfter) {
        *session.stopsAfter -= bytes.size();
    }
    if (session.repeats) {
        session.answer += bytes;
    }
    session.isWholeDue = session.left == 0;
}

// Half of those that stop do so within the head.
void FaultProxy::beginAnswer(Session &session, std::size_t length)
{
    session.left = length;
    session.stopsAfter.reset();
    session.answer.clear();
    session.repeats = false;
    if (!m_broken) {
        return;
    }
    if (m_random() % m_broken->stopOneIn == 0) {
        const std::size_t head = session.rewritten.find(HeadEnd) + HeadEnd.size();
        session.stopsAfter = 1 + m_random() % ((m_random() % 2 == 0 ? head : length) - 1);
    } else {
        session.repeats = m_random() % m_broken->repeatOneIn == 0;
    }
}

void FaultProxy::onWritten(const std::shared_ptr<Session> &session)
{
    session->isPassing = false;
    if (session->isEndDue) {
        const bool isReset = m_random() % 2 == 0;
        after(drawDelay(), [session, isReset] { end(session, isReset); });
        return;
    }
    if (std::exchange(session->isWholeDue, false)) {
        const LinkFault fault = m_fault;
        const bool isSound = fault == LinkFault::None || fault == LinkFault::Delay;
        if (m_onWhole && isSound && !session->hasRepeated) {
            m_onWhole(session->id);
        }
        if (session->repeats) {
            after(drawDelay(), [this, session, answer = session->answer] { repeat(session, answer); });
        }
    }
    pump(session, false);
}

// A second answer comes between answers, never within one.
void FaultProxy::repeat(const std::shared_ptr<Session> &session, const std::string &bytes)
{
    if (!session->caller.is_open() || session->isEndDue) {
        return;
    }
    if (session->isPassing || session->isRepeating || session->left > 0) {
        after(RetryTime, [this, session, bytes] { repeat(session, bytes); });
        return;
    }
    session->isRepeating = true;
    session->hasRepeated = true;
    sendParts(session, bytes, m_random() % 2 == 0 ? bytes.size() : 1 + m_random() % (bytes.size() - 1));
}

void FaultProxy::sendParts(const std::shared_ptr<Session> &session, const std::string &bytes, std::size_t split)
{
    const auto part = std::make_shared<const std::string>(bytes.substr(0, split));
    boost::asio::async_write(
        session->caller, boost::asio::buffer(*part),
        [this, session, part, rest = bytes.substr(split)](const boost::system::error_code &ec, std::size_t) {
            if (ec) {
                end(session, false);
            } else if (rest.empty()) {
                session->isRepeating = false;
            } else {
                after(drawDelay(), [this, session, rest] { sendParts(session, rest, rest.size()); });
            }
        });
}

Milliseconds FaultProxy::drawDelay()
{
    constexpr unsigned MostMilliseconds = 40;
    return Milliseconds(m_random() % (MostMilliseconds + 1));
}

void FaultProxy::rewrite(const std::shared_ptr<Session> &session, std::size_t size)
{
    std::string bytes(session->toCaller.data(), size);
    session->rewritten = std::exchange(session->surplus, {});
    const bool isAnswer = bytes.starts_with("HTTP/1.1 ") && bytes.find("\r\n\r\n") != std::string::npos;
    if (m_spoiled && isAnswer && bytes.starts_with("HTTP/1.1 503") && m_spoiled->repeatsRefusals) {
        session->surplus = bytes;
    } else if (m_spoiled && isAnswer && bytes.starts_with("HTTP/1.1 200") && ++m_successes % m_spoiled->oneIn == 0) {
        static constexpr std::array<std::string_view, 3> Lines{"\r\nX-Note of shelf: 12", "\r\nX-Note: shelf\x01",
                                                               "\r\nContent-Length: 100000"};
        bytes.insert(bytes.find("\r\n"), Lines[m_successes / m_spoiled->oneIn % Lines.size()]);
    }
    session->rewritten += bytes;
}

// What does not begin with a whole head belongs to a request that the target has got a part of.
bool FaultProxy::takeForEndless(const std::shared_ptr<Session> &session, std::size_t size)
{
    const std::string bytes(session->toTarget.data(), size);
    const bool isRequest = bytes.starts_with("GET ") || bytes.starts_with("POST ");
    if (!m_endless || !isRequest || bytes.find("\r\n\r\n") == std::string::npos) {
        return false;
    }
    while (session->repeated.size() < EndlessBytes) {
        session->repeated += m_endless->form.repeated;
    }
    session->endless = m_endless->form.startWith(m_endless->onRequest(valueInHead(bytes, "X-Request-Id")));
    session->endless += session->repeated;
    sendEndless(session);
    return true;
}

void FaultProxy::sendEndless(const std::shared_ptr<Session> &session)
{
    if (!session->caller.is_open()) {
        return;
    }
    if (isCut(false) || session->isSilentFromTarget) {
        sendEndlessLater(session);
        return;
    }
    boost::asio::async_write(session->caller, boost::asio::buffer(session->endless),
                             [this, session](const boost::system::error_code &ec, std::size_t) {
                                 if (ec) {
                                     end(session, false);
                                     return;
                                 }
                                 session->endless = session->repeated;
                                 sendEndlessLater(session);
                             });
}

void FaultProxy::sendEndlessLater(const std::shared_ptr<Session> &session)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, EndlessInterval);
    timer->async_wait([this, session, timer](const boost::system::error_code &) { sendEndless(session); });
}

Duration FaultProxy::holdTime(bool isToTarget, std::size_t size) const
{
    const LinkFault fault = m_fault;
    if (fault == LinkFault::Delay) {
        return DelayTime;
    }
    if (fault != LinkFault::Narrow || isToTarget) {
        return Duration::zero();
    }
    const std::chrono::duration<double> time(static_cast<double>(size) / static_cast<double>(m_bytesPerSecond));
    return std::chrono::duration_cast<Duration>(time);
}

void FaultProxy::write(const std::shared_ptr<Session> &session, bool isToTarget, std::size_t size)
{
    if (!isToTarget && session->isRepeating) {
        after(RetryTime, [this, session, isToTarget, size] { write(session, isToTarget, size); });
        return;
    }
    Socket &to = isToTarget ? session->target : session->caller;
    const auto bytes =
        isToTarget ? boost::asio::buffer(session->toTarget.data(), size) : boost::asio::buffer(session->rewritten);
    boost::asio::async_write(to, bytes, [this, session, isToTarget](const boost::system::error_code &ec, std::size_t) {
        if (ec) {
            end(session, false);
            return;
        }
        if (isToTarget) {
            pump(session, true);
        } else {
            onWritten(session);
        }
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
