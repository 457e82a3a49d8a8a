//===- FaultProxy.h - A bad network in front of an address -------*- C++ -*-===//
#pragma once

#include "EndlessForm.h"
#include "pepperlug/Support.h"

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <random>
#include <thread>

namespace pepperlug::soak
{

enum class LinkFault : std::uint8_t {
    None,
    Delay, ///< bytes pass late
    Reset, ///< open connections are reset, new ones too
    CutToTarget, ///< what callers send is lost, what the target sends passes
    CutFromTarget, ///< the other way round
    Silent, ///< nothing passes either way
    Narrow, ///< what the target sends passes at a few bytes a second
};

/// The ways of a connection on which bytes are lost.
enum class SilentWays : std::uint8_t { Both, ToTarget, FromTarget };

/// What a proxy answers without an end instead of the target.
struct EndlessAnswer {
    EndlessForm form;
    /// Called for each request that the target does not get, with its id, on the proxy's thread. Returns the header
    /// lines of the answer.
    std::function<std::string(const std::string &id)> onRequest;
};

/// How answers of a target are spoiled.
struct SpoiledAnswers {
    unsigned oneIn = 1; ///< successes that get a malformed head
    bool repeatsRefusals = false; ///< a second copy of each 503 takes the place of the next answer
};

/// How answers of a target are broken off and repeated.
struct BrokenAnswers {
    std::uint64_t seed = 0;
    unsigned stopOneIn = 8; ///< answers that end after some bytes, in the head too, and the connection with them
    unsigned repeatOneIn = 8; ///< whole answers that come a second time up to 40 ms later, in one or two parts
};

/// Passes connections on to one target (which may be a host too), and spoils them as told.
class FaultProxy
{
public:
    /// Listens at `at`; port 0 lets the kernel choose.
    explicit FaultProxy(Address target, const Address &at = {"127.0.0.1", 0});
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    Address address() const;
    void set(LinkFault fault);
    /// As when the process at the address ends: all connections do, and nothing listens there any more.
    void close();
    /// Refuses new connections; open ones live on. Returns when the address is free.
    void refuseNew();
    /// Open connections carry nothing on these ways any more, neither bytes nor their end; new ones work. Returns when
    /// that holds.
    void silenceOpen(SilentWays ways);
    /// Sets LinkFault::Narrow: each connection has so many bytes a second towards its caller.
    void narrow(std::uint64_t bytesPerSecond);
    /// Requests that come from now on are not passed on, but answered with 4 MB a second until their callers end the
    /// connections. Without a value, the target gets new requests again. Returns when that holds.
    void answerWithoutEnd(std::optional<EndlessAnswer> answer);
    /// Spoils answers that are short enough to arrive in one piece. Without a value, they pass unchanged. Returns when
    /// that holds.
    void spoil(std::optional<SpoiledAnswers> how);
    /// Breaks off and repeats answers to requests with an id. Without a value, they pass unchanged. Returns when that
    /// holds.
    void breakAnswers(std::optional<BrokenAnswers> how);
    /// From now on calls back on the proxy's thread with the id of each request whose whole answer has left, unless
    /// the link harms it or an answer was repeated on its connection. Returns when that holds.
    void watchAnswers(std::function<void(const std::string &id)> onWhole);

private:
    struct Session;
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void pump(const std::shared_ptr<Session> &session, bool isToTarget);
    void pass(const std::shared_ptr<Session> &session, bool isToTarget, std::size_t size);
    Duration holdTime(bool isToTarget, std::size_t size) const;
    void write(const std::shared_ptr<Session> &session, bool isToTarget, std::size_t size);
    void rewrite(const std::shared_ptr<Session> &session, std::size_t size);
    void after(Duration time, std::function<void()> action);
    /// Follows the answers of a connection through what goes to its caller next.
    void track(Session &session);
    void beginAnswer(Session &session, std::size_t length);
    void onWritten(const std::shared_ptr<Session> &session);
    void repeat(const std::shared_ptr<Session> &session, const std::string &bytes);
    void sendParts(const std::shared_ptr<Session> &session, const std::string &bytes, std::size_t split);
    Milliseconds drawDelay();
    static void end(const std::shared_ptr<Session> &session, bool isReset);
    bool isCut(bool isToTarget) const;
    bool takeForEndless(const std::shared_ptr<Session> &session, std::size_t size);
    void sendEndless(const std::shared_ptr<Session> &session);
    void sendEndlessLater(const std::shared_ptr<Session> &session);

    Address m_target;
    std::atomic<LinkFault> m_fault{LinkFault::None};
    std::atomic<std::uint64_t> m_bytesPerSecond{1}; ///< while narrow
    boost::asio::io_context m_context;
    /// The thread also serves calls of this class while no connection is open.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_context.get_executor()};
    boost::asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::vector<std::weak_ptr<Session>> m_sessions; ///< used on the proxy's thread only
    std::optional<EndlessAnswer> m_endless; ///< the same
    std::optional<SpoiledAnswers> m_spoiled; ///< the same
    std::optional<BrokenAnswers> m_broken; ///< the same
    std::mt19937_64 m_random; ///< the same: for broken answers
    std::function<void(const std::string &id)> m_onWhole; ///< the same
    unsigned m_successes = 0; ///< the same: that came while answers are spoiled
    std::thread m_thread;
};

} // namespace pepperlug::soak
