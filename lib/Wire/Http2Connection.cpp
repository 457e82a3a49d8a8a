//===- Http2Connection.cpp - One nghttp2 session over a TCP socket --------===//
//
// The library does framing, flow control and the order of streams; this file moves bytes between it and the socket and
// keeps the bodies. A stream's reply is handed on only when the peer has ended the stream, so never in part.
//
//===----------------------------------------------------------------------===//
#include "Http2Connection.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::uint32_t MaxStreams = 8192;
constexpr std::int32_t StreamWindow = 1 << 20;
constexpr std::int32_t ConnectionWindow = 1 << 24;
/// Memory that a call takes besides its path and body.
constexpr std::uint64_t StreamBytes = 1024;

nghttp2_nv field(const std::string &name, const std::string &value)
{
    // The library copies both; it never writes through these pointers.
    return {const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data())),
            const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data())), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

class ServedCall final : public IncomingCall
{
public:
    ServedCall(std::weak_ptr<Http2Connection> connection, boost::asio::any_io_executor executor, std::int32_t stream,
               std::string path, std::string body, std::string peer, IntakeShare share)
        : m_connection(std::move(connection))
        , m_executor(std::move(executor))
        , m_stream(stream)
        , m_path(std::move(path))
        , m_body(std::move(body))
        , m_peer(std::move(peer))
        , m_share(std::move(share))
    {
    }

    const std::string &path() const override
    {
        return m_path;
    }

    const std::string &body() const override
    {
        return m_body;
    }

    const std::string &peer() const override
    {
        return m_peer;
    }

    void reply(unsigned status, std::string body) override
    {
        boost::asio::post(m_executor,
                          [connection = m_connection, stream = m_stream, status, body = std::move(body)]() mutable {
                              if (const auto it = connection.lock()) {
                                  it->submitReply(stream, status, std::move(body));
                              }
                          });
    }

    void onCancel(std::function<void()> handler) override
    {
        boost::asio::post(m_executor,
                          [connection = m_connection, stream = m_stream, handler = std::move(handler)]() mutable {
                              if (const auto it = connection.lock()) {
                                  it->setCancelHandler(stream, std::move(handler));
                              } else {
                                  handler();
                              }
                          });
    }

private:
    std::weak_ptr<Http2Connection> m_connection;
    boost::asio::any_io_executor m_executor;
    std::int32_t m_stream;
    std::string m_path;
    std::string m_body;
    std::string m_peer;
    IntakeShare m_share; ///< of what the call holds
};

Http2Connection *connectionOf(void *self)
{
    return static_cast<Http2Connection *>(self);
}

} // namespace

Http2Connection::Http2Connection(TcpSocket socket, Side side, std::string peer, CallHandler handler,
                                 TrafficCounters &counters, std::shared_ptr<Intake> intake)
    : m_socket(std::move(socket))
    , m_side(side)
    , m_peer(std::move(peer))
    , m_handler(std::move(handler))
    , m_counters(counters)
    , m_intake(std::move(intake))
    , m_lastReceived(std::chrono::steady_clock::now())
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    nghttp2_session *session = nullptr;
    if (m_side == Side::Server) {
        nghttp2_session_server_new(&session, callbacks, this);
    } else {
        nghttp2_session_client_new(&session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    m_session.reset(session);
    const std::array<nghttp2_settings_entry, 2> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(StreamWindow)}}};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, ConnectionWindow);
}

void Http2Connection::start()
{
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    read();
    flush();
}

bool Http2Connection::isOpen() const
{
    return m_isOpen;
}

bool Http2Connection::isUnusedSince(std::chrono::steady_clock::time_point time) const
{
    return m_streams.empty() && m_lastReceived < time;
}

std::chrono::steady_clock::time_point Http2Connection::lastReceived() const
{
    return m_lastReceived;
}

void Http2Connection::onHeard(std::function<void(Heard)> handler)
{
    m_onHeard = std::move(handler);
}

void Http2Connection::onClosed(std::function<void()> handler)
{
    m_onClosed = std::move(handler);
}

boost::asio::any_io_executor Http2Connection::executor()
{
    return m_socket.get_executor();
}

Http2Connection::Stream *Http2Connection::find(std::int32_t id)
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : &it->second;
}

void Http2Connection::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuf),
                             [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                                 if (ec) {
                                     self->close(ec.message());
                                     return;
                                 }
                                 self->m_counters.bytesReceived += n;
                                 self->m_lastReceived = std::chrono::steady_clock::now();
                                 self->m_hasReplyBytes = false;
                                 if (self->m_onHeard) {
                                     self->m_onHeard(Heard::Other);
                                 }
                                 const auto *bytes = reinterpret_cast<const std::uint8_t *>(self->m_readBuf.data());
                                 const ssize_t result = nghttp2_session_mem_recv(self->m_session.get(), bytes, n);
                                 if (result < 0) {
                                     self->close(nghttp2_strerror(static_cast<int>(result)));
                                     return;
                                 }
                                 if (self->m_hasReplyBytes && self->m_onHeard) {
                                     self->m_onHeard(Heard::Reply);
                                 }
                                 self->flush();
                                 if (self->m_isOpen) {
                                     self->read();
                                 }
                             });
}

void Http2Connection::flush()
{
    if (!m_isOpen || m_isWriting) {
        return;
    }
    constexpr std::size_t EnoughAtOnce = 256 * 1024;
    while (m_nextBuf.size() < EnoughAtOnce) {
        const std::uint8_t *data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(m_session.get(), &data);
        if (n < 0) {
            close(nghttp2_strerror(static_cast<int>(n)));
            return;
        }
        if (n == 0) {
            break;
        }
        m_nextBuf.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(n));
    }
    if (m_nextBuf.empty()) {
        const bool isDone =
            nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0;
        if (isDone) {
            close("the session ended");
        }
        return;
    }
    m_isWriting = true;
    m_writeBuf.swap(m_nextBuf);
    m_nextBuf.clear();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuf),
                             [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                                 self->m_isWriting = false;
                                 self->m_counters.bytesSent += n;
                                 if (ec) {
                                     self->close(ec.message());
                                     return;
                                 }
                                 self->flush();
                             });
}

std::int32_t Http2Connection::submitCall(const std::string &path, std::string body, ReplyHandler handler)
{
    static const std::string Method = ":method";
    static const std::string Post = "POST";
    static const std::string Scheme = ":scheme";
    static const std::string Http = "http";
    static const std::string Path = ":path";
    static const std::string Authority = ":authority";
    static const std::string Name = "pepperlug";
    const std::array<nghttp2_nv, 4> headers{field(Method, Post), field(Scheme, Http), field(Path, path),
                                            field(Authority, Name)};
    nghttp2_data_provider provider{};
    provider.read_callback = readBody;
    const std::int32_t id =
        nghttp2_submit_request(m_session.get(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        handler({false, false, 0, {}, nghttp2_strerror(id), CallFailure::Refused});
        return id;
    }
    Stream &stream = m_streams[id];
    stream.path = path;
    stream.out = std::move(body);
    stream.onReply = std::move(handler);
    ++m_counters.callsMade;
    flush();
    return id;
}

void Http2Connection::ping()
{
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void Http2Connection::resetStream(std::int32_t id, const std::string &reason, CallFailure failure)
{
    Stream *stream = find(id);
    if (stream == nullptr) {
        return;
    }
    failStream(*stream, reason, failure);
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    flush();
}

void Http2Connection::submitReply(std::int32_t id, unsigned status, std::string body)
{
    Stream *stream = find(id);
    if (stream == nullptr || !m_isOpen || stream->status != 0) {
        return;
    }
    stream->status = status;
    stream->out = std::move(body);
    stream->onCancel = nullptr;
    static const std::string Status = ":status";
    const std::string statusText = std::to_string(status);
    const std::array<nghttp2_nv, 1> headers{field(Status, statusText)};
    nghttp2_data_provider provider{};
    provider.read_callback = readBody;
    nghttp2_submit_response(m_session.get(), id, headers.data(), headers.size(), &provider);
    flush();
}

void Http2Connection::setCancelHandler(std::int32_t id, std::function<void()> handler)
{
    Stream *stream = find(id);
    if (stream == nullptr || !m_isOpen) {
        handler();
        return;
    }
    if (stream->status == 0) {
        stream->onCancel = std::move(handler);
    }
}

void Http2Connection::failStream(Stream &stream, const std::string &reason, CallFailure failure)
{
    if (stream.onReply) {
        const ReplyHandler handler = std::exchange(stream.onReply, nullptr);
        handler({false, stream.wasSent, 0, {}, reason, failure});
    }
    if (stream.onCancel) {
        const std::function<void()> handler = std::exchange(stream.onCancel, nullptr);
        handler();
    }
}

void Http2Connection::close(const std::string &reason, CallFailure failure)
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    boost::system::error_code ec;
    m_socket.close(ec);
    auto streams = std::exchange(m_streams, {});
    for (auto &[id, stream] : streams) {
        failStream(stream, reason, failure);
    }
    if (m_onClosed) {
        m_onClosed();
    }
}

// The other side is told that the call was refused, which it takes as not run.
void Http2Connection::refuse(std::int32_t id)
{
    Stream *stream = find(id);
    if (stream == nullptr || stream->isComplete || stream->isRefused) {
        return;
    }
    stream->isRefused = true;
    stream->share.release();
    std::string().swap(stream->in);
    std::string().swap(stream->path);
    ++m_counters.callsRefused;
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
    boost::asio::post(executor(), [weak = weak_from_this()] {
        if (const auto it = weak.lock()) {
            it->flush();
        }
    });
}

// A call is given up while the library reads for another one, so it is ended after that.
bool Http2Connection::hold(std::int32_t id, Stream &stream, std::uint64_t bytes)
{
    if (!m_intake || stream.isRefused) {
        return !stream.isRefused;
    }
    if (!stream.share) {
        stream.share = m_intake->begin(m_clock.now(), [weak = weak_from_this(), executor = executor(), id] {
            boost::asio::post(executor, [weak, id] {
                if (const auto it = weak.lock()) {
                    it->refuse(id);
                }
            });
        });
    }
    if (!stream.share.hold(StreamBytes + bytes, m_clock)) {
        refuse(id);
    }
    return !stream.isRefused;
}

void Http2Connection::serve(std::int32_t id)
{
    Stream &stream = m_streams[id];
    if (stream.isTooLarge) {
        submitReply(id, 413, "message too large");
        return;
    }
    ++m_counters.callsServed;
    m_handler(std::make_shared<ServedCall>(weak_from_this(), executor(), id, stream.path, std::move(stream.in), m_peer,
                                           std::move(stream.share)));
}

// A stream that the peer refused, or never looked at before it went away, has not been run there.
void Http2Connection::endStream(std::int32_t id, std::uint32_t code)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        return;
    }
    Stream stream = std::move(it->second);
    m_streams.erase(it);
    if (m_side == Side::Client && stream.isComplete && code == NGHTTP2_NO_ERROR && stream.onReply) {
        stream.onReply({true, true, stream.status, std::move(stream.in), {}});
        return;
    }
    stream.wasSent = stream.wasSent && code != NGHTTP2_REFUSED_STREAM;
    failStream(stream, stream.isTooLarge ? "the reply is too large" : nghttp2_http2_strerror(code),
               CallFailure::Refused);
}

int Http2Connection::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *self)
{
    const bool isRequest = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (isRequest) {
        const std::int32_t id = frame->hd.stream_id;
        connectionOf(self)->hold(id, connectionOf(self)->m_streams[id], 0);
    }
    return 0;
}

int Http2Connection::onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                              std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize, std::uint8_t,
                              void *self)
{
    Stream *stream = connectionOf(self)->find(frame->hd.stream_id);
    if (stream == nullptr) {
        return 0;
    }
    connectionOf(self)->m_hasReplyBytes = true;
    const std::string_view key(reinterpret_cast<const char *>(name), nameSize);
    const std::string text(reinterpret_cast<const char *>(value), valueSize);
    if (key == ":path") {
        if (connectionOf(self)->hold(frame->hd.stream_id, *stream, text.size())) {
            stream->path = text;
        }
    } else if (key == ":status" && connectionOf(self)->m_side == Side::Client) {
        stream->status = static_cast<unsigned>(std::strtoul(text.c_str(), nullptr, 10));
    }
    return 0;
}

int Http2Connection::onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *self)
{
    Http2Connection *connection = connectionOf(self);
    const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!carriesEnd || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    Stream *stream = connection->find(frame->hd.stream_id);
    if (stream == nullptr || stream->isComplete || stream->isRefused) {
        return 0;
    }
    if (stream->share && !stream->share.setWhole()) {
        connection->refuse(frame->hd.stream_id);
        return 0;
    }
    stream->isComplete = true;
    if (connection->m_side == Side::Server) {
        connection->serve(frame->hd.stream_id);
    }
    return 0;
}

int Http2Connection::onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *self)
{
    Stream *stream = connectionOf(self)->find(frame->hd.stream_id);
    if (stream != nullptr && frame->hd.type == NGHTTP2_HEADERS) {
        stream->wasSent = true;
    }
    return 0;
}

int Http2Connection::onData(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *data,
                            std::size_t size, void *self)
{
    Stream *stream = connectionOf(self)->find(id);
    if (stream == nullptr || stream->isTooLarge || stream->isRefused) {
        return 0;
    }
    connectionOf(self)->m_hasReplyBytes = true;
    if (stream->in.size() + size > MaxPeerMessageBytes) {
        stream->isTooLarge = true;
        stream->in.clear();
        if (connectionOf(self)->m_side == Side::Client) {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        }
        return 0;
    }
    // It grows by half of what it has.
    const std::size_t bytes = stream->in.size() + size;
    if (!connectionOf(self)->hold(id, *stream, stream->path.size() + bytes + bytes / 2)) {
        return 0;
    }
    if (bytes > stream->in.capacity()) {
        stream->in.reserve(bytes + bytes / 2);
    }
    stream->in.append(reinterpret_cast<const char *>(data), size);
    return 0;
}

int Http2Connection::onStreamClosed(nghttp2_session *, std::int32_t id, std::uint32_t code, void *self)
{
    connectionOf(self)->endStream(id, code);
    return 0;
}

ssize_t Http2Connection::readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buf, std::size_t size,
                                  std::uint32_t *flags, nghttp2_data_source *, void *self)
{
    Stream *stream = connectionOf(self)->find(id);
    if (stream == nullptr) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t n = std::min(size, stream->out.size() - stream->outSent);
    std::copy_n(stream->out.data() + stream->outSent, n, buf);
    stream->outSent += n;
    if (stream->outSent == stream->out.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        stream->out = {};
        stream->outSent = 0;
    }
    return static_cast<ssize_t>(n);
}

} // namespace pepperlug
