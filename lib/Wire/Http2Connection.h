//===- Http2Connection.h - One nghttp2 session over a TCP socket -*- C++ -*-===//
//
// Runs the library's session for either side of a connection. All functions are
// called on the network thread.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "PeerChannel.h"

#include <boost/asio.hpp>
#include <nghttp2/nghttp2.h>

namespace pepperlug
{

using TcpSocket = boost::asio::ip::tcp::socket;

/// Counters that may be read from other threads.
struct TrafficCounters {
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> callsMade{0};
    std::atomic<std::uint64_t> callsServed{0};
    std::atomic<std::uint64_t> connectionsMade{0};
    std::atomic<std::uint64_t> connectionsSilent{0};
    std::atomic<std::uint64_t> handlersFailed{0};
    std::atomic<std::uint64_t> callsRefused{0};
    std::atomic<std::uint64_t> connectionsRefused{0};
};

struct SessionDeleter {
    void operator()(nghttp2_session *session) const
    {
        nghttp2_session_del(session);
    }
};

class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
    enum class Side { Client, Server };

    /// `intake`: null on the client's side.
    Http2Connection(TcpSocket socket, Side side, std::string peer, CallHandler handler, TrafficCounters &counters,
                    std::shared_ptr<Intake> intake = nullptr);

    /// Handlers of events, called on the network thread; must be set before start().
    void onHeard(std::function<void(Heard)> handler);
    /// Called once, after the handlers of all calls.
    void onClosed(std::function<void()> handler);
    /// Starts to read. Must be called once.
    void start();
    /// Client: submits a call. The handler is called once. Returns the stream.
    std::int32_t submitCall(const std::string &path, std::string body, ReplyHandler handler);
    /// Client: resets a stream; its handler is called as for a call without a reply.
    void resetStream(std::int32_t stream, const std::string &reason, CallFailure failure);
    /// Client: asks for a sign of life, which the library at the other side sends.
    void ping();
    /// Server: replies on a stream if it is still open.
    void submitReply(std::int32_t stream, unsigned status, std::string body);
    void setCancelHandler(std::int32_t stream, std::function<void()> handler);
    void close(const std::string &reason, CallFailure failure = CallFailure::ConnectionLost);
    bool isOpen() const;
    /// Server: nothing has arrived since the time, and no call is open.
    bool isUnusedSince(std::chrono::steady_clock::time_point time) const;
    /// Server: when something has arrived last.
    std::chrono::steady_clock::time_point lastReceived() const;
    boost::asio::any_io_executor executor();

private:
    struct Stream {
        std::string path;
        std::string in;
        std::string out;
        std::size_t outSent = 0;
        unsigned status = 0;
        bool wasSent = false; ///< its headers have been handed to the socket
        bool isComplete = false; ///< the peer ended its side
        bool isTooLarge = false;
        bool isRefused = false; ///< for lack of memory
        IntakeShare share; ///< server: of what arrives
        ReplyHandler onReply; ///< client
        std::function<void()> onCancel; ///< server
    };

    void read();
    void flush();
    void endStream(std::int32_t id, std::uint32_t code);
    static void failStream(Stream &stream, const std::string &reason, CallFailure failure);
    void serve(std::int32_t id);
    bool hold(std::int32_t id, Stream &stream, std::uint64_t bytes);
    void refuse(std::int32_t id);
    Stream *find(std::int32_t id);

    static int onBeginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *self);
    static int onHeader(nghttp2_session *session, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize, std::uint8_t flags,
                        void *self);
    static int onFrameReceived(nghttp2_session *session, const nghttp2_frame *frame, void *self);
    static int onFrameSent(nghttp2_session *session, const nghttp2_frame *frame, void *self);
    static int onData(nghttp2_session *session, std::uint8_t flags, std::int32_t stream, const std::uint8_t *data,
                      std::size_t size, void *self);
    static int onStreamClosed(nghttp2_session *session, std::int32_t stream, std::uint32_t code, void *self);
    static ssize_t readBody(nghttp2_session *session, std::int32_t stream, std::uint8_t *buf, std::size_t size,
                            std::uint32_t *flags, nghttp2_data_source *source, void *self);

    TcpSocket m_socket;
    Side m_side;
    std::string m_peer;
    CallHandler m_handler;
    TrafficCounters &m_counters;
    std::shared_ptr<Intake> m_intake;
    SteadyClock m_clock;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::map<std::int32_t, Stream> m_streams;
    std::array<char, 16384> m_readBuf{};
    std::string m_writeBuf;
    std::string m_nextBuf;
    bool m_isWriting = false;
    bool m_isOpen = true;
    bool m_hasReplyBytes = false; ///< among the bytes that are being read
    std::function<void(Heard)> m_onHeard;
    std::function<void()> m_onClosed;
    std::chrono::steady_clock::time_point m_lastReceived;
};

} // namespace pepperlug
