//===- pepperlug/Http.h - Callers and targets over HTTP/1.1 ------*- C++ -*-===//
//
// The server side over Pistache and the client side over libcurl, with one reader
// of messages. Both take and give whole messages, but large answers can be passed
// on while they arrive.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

struct HttpRequest {
    std::string method;
    std::string resource; ///< path and query as sent
    std::vector<HeaderField> headers;
    std::string body;
    std::string peerIp;
    std::uint64_t connection = 0; ///< number of the caller's connection, from 1
    std::uint64_t place = 0; ///< among the requests of the connection, from 1
    Duration age{}; ///< since its first byte arrived
    Duration waited{}; ///< since it arrived whole, for answers ahead of it on its connection

    /// First value of a header, names compared without case; nothing if it is absent.
    std::optional<std::string> header(std::string_view name) const;
    /// Path without the query.
    std::string path() const;
    /// Decoded value of a query parameter; nothing if it is absent.
    std::optional<std::string> query(std::string_view name) const;
};

/// Returns true for the status of a whole answer, not of an interim one.
inline bool isFinalStatus(unsigned status)
{
    constexpr unsigned First = 200;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

/// Removes what concerns one connection only (RFC 9110, 7.6.1), and what the encoder sets itself.
std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField> &headers);
bool sameName(std::string_view lhs, std::string_view rhs);

struct HttpLimits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t pipelined = 16; ///< requests of one connection that may be in progress or wait
    std::size_t passedOn = 16; ///< of these, how many may be in progress
    Duration headTimeout = std::chrono::seconds(10); ///< for a request to arrive whole
    Duration idleTimeout = std::chrono::seconds(300); ///< between requests
    /// Answers that a caller has not read, beyond which further requests of the connection are refused; as much as the
    /// largest body of a request.
    std::size_t heldBytes = 1024 * 1024;
    /// The same for all connections: those that hold data are refused beyond this, and all beyond twice as much. A
    /// seventh of the memory of the smallest known entry host, 112 MB.
    std::size_t heldBytesInAll = 16UL * 1024 * 1024;
    /// Longest answer that is held until it is whole while requests behind it are in progress, unless heldBytesInAll is
    /// exceeded. If a longer one breaks off, they are lost with it.
    std::size_t orderedBytes = 8UL * 1024 * 1024;
    /// A connection that holds data is closed after this time in which its caller read nothing. A caller's kernel
    /// announces room in steps of up to a 16th of its receive buffer (6 MB at most by default), so every caller that
    /// reads 13 KB/s counts as reading.
    Duration stallTimeout = std::chrono::seconds(30);
};

struct HttpServerStats {
    std::uint64_t heldBytes = 0; ///< of answers that callers have not read, or that wait for earlier ones
    std::uint64_t slowReadersCutOff = 0; ///< connections closed since the start because their callers read nothing
    std::uint64_t refusedUnread = 0; ///< requests refused since the start because earlier answers were not read
    std::uint64_t malformedRequests = 0; ///< refused since the start because of their head or framing
    std::uint64_t refusedNoRoom = 0; ///< requests since the start that found no memory to arrive in
    std::uint64_t givenUp = 0; ///< requests since the start that made no progress while others needed their memory
    std::uint64_t connectionsSpared = 0; ///< closed since the start, or not taken, as there were too many
    std::uint64_t droppedWaiting = 0; ///< that were read and not handed on before their connection ended
    std::uint64_t failedHandlings = 0; ///< requests answered 500 since the start because the handler threw
    std::string lastFailure; ///< path and reason of the last one of these
};

/// Why an answer did not leave whole.
enum class AnswerCut : std::uint8_t {
    CallerLeft, ///< its caller ended the connection
    NotRead, ///< its caller read nothing for too long
    BrokeOff, ///< whoever gave it broke it off
    Behind, ///< an earlier answer of the connection was broken off
    HostStopped, ///< the process ends
};
const char *nameOf(AnswerCut cause);

/// What became of an answer.
struct AnswerEnd {
    std::optional<AnswerCut> cut; ///< nothing: all of it has left
    std::uint64_t sentBytes = 0; ///< that the socket took
    bool isReplaced = false; ///< by the one given to HttpExchange::abort()
};

/// A request from a caller, until it is answered. Functions may be called from any thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    /// Sends the answer, after those of earlier requests of the same connection. The second one is dropped, and so is
    /// one whose caller has left.
    virtual void respond(const Answer &answer) = 0;
    /// Sends the head of an answer whose body of `length` bytes follows through more().
    virtual void begin(const Answer &head, std::uint64_t length) = 0;
    /// Sends the next part of the body. The answer ends with its last byte.
    virtual void more(std::string_view part) = 0;
    /// Whether there is room for the next part. There is none while memory for unread answers is short and the caller
    /// has not read those of its connection; whoever gives the parts waits then, and asks again.
    virtual bool hasRoomForMore() = 0;
    /// Gives up an answer that was begun. Another one is sent in its place if nothing of it has left; otherwise its
    /// connection is closed, so that what was sent can't pass for the whole.
    virtual void abort(const Answer &inPlace) = 0;
    /// Takes back an answer that was begun, so that another one may be given. Returns whether it was: nothing of it may
    /// have left.
    virtual bool takeBack() = 0;
    /// Called at most once, if the caller leaves before the answer was sent.
    virtual void onDeparture(std::function<void()> handler) = 0;
    /// To be called before the answer is given. Called at most once, when all of the answer has left or the rest can't
    /// any more, and on any thread; it must not use the exchange.
    virtual void onEnd(std::function<void(const AnswerEnd &)> handler) = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// For callers to receive the last answers of a host that stops, where no other time bounds it.
constexpr Duration DeliveryTimeout = std::chrono::seconds(5);

/// Listens and hands whole, checked requests to a handler, which is called on a worker thread and must not wait. If the
/// handler throws, the request is answered 500.
class HttpServer
{
public:
    /// Port 0 lets the kernel choose. Throws Error with step "listen".
    /// `intake`: shared by all servers of a process; null for one of its own.
    HttpServer(const Address &address, unsigned threads, HttpLimits limits, const Clock &clock, HttpHandler handler,
               std::shared_ptr<Intake> intake = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Address address() const;
    /// From now on each answer says that it is the last one of its connection, unless later requests of the connection
    /// are in progress.
    void closeAfterAnswers();
    /// Closes connections that have been too slow or idle for too long; to be called about once a second.
    void sweep();
    HttpServerStats stats() const;
    /// Number of connections whose callers have not received all that was answered so far. A process that exits before
    /// cuts these answers.
    std::size_t undelivered() const;
    /// Waits until there are none, or until the time has passed. Returns how many are left.
    std::size_t awaitDelivery(Duration atMost) const;
    /// Reports all answers that have not left whole as cut; to be called before a process exits with some left.
    void abandonAnswers();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// A request to a target.
struct HttpCall {
    Address to;
    std::string method;
    std::string resource;
    std::vector<HeaderField> headers;
    std::shared_ptr<const std::string> body; ///< null for none
    Duration timeout{};
    std::string fromIp; ///< local address to call from; empty for any
    bool connectsOnly = false; ///< nothing is sent; answered once a connection is made
    bool usesNewConnection = false; ///< neither a kept one nor one opened in advance; it is not kept afterwards
    bool mayRepeat = false; ///< the library may send it again where a kept connection turns out to be closed
    Duration connectTimeout = std::chrono::seconds(1);
    /// A request that could not be sent within this time of start() is not sent any more.
    Duration sendWithin = std::chrono::hours(1);
    /// Asked when the request is about to be sent, on the client's thread; false: it is not sent. Empty: always.
    std::function<bool()> maySend;
    /// What an answer names its call by, for acceptsHead. Calls of the same name to an address go over different
    /// connections, as a surplus answer to an earlier one would pass for that to a later one. Empty: no name.
    std::string name;
    /// Whether the head of an answer belongs to this call; if not, its connection is dropped, unless nameIn tells
    /// whose it is. Empty: any does.
    std::function<bool(const std::vector<HeaderField> &)> acceptsHead;
    /// Returns the call that a head names; empty if it names none, or several. Where that one was answered at the
    /// address before, this call goes on behind the surplus answer, to its own, which ends its connection. Empty:
    /// never.
    std::function<std::string(const std::vector<HeaderField> &)> nameIn;
    /// Called with the head and the length of a large answer. If it returns true, the body goes to onPart as it
    /// arrives and is left out of the result. Empty: answers come whole.
    std::function<bool(const Answer &head, std::uint64_t length)> onLargeHead;
    std::function<void(std::string_view part)> onPart;
    /// Asked before each part, on the client's thread. While it returns false, no more of the answer is read, and it is
    /// asked again soon. Empty: always true.
    std::function<bool()> wantsPart;
};

/// Forms in which the bytes of an answer arrive.
enum class AnswerPart : std::uint8_t {
    Head, ///< interim heads included
    Body,
    Framing, ///< sizes and extensions of chunks
    Trailers,
};
const char *nameOf(AnswerPart part);

/// What makes an answer one that must not be passed on.
enum class AnswerDefect : std::uint8_t {
    StatusLine, ///< no status line of HTTP/1.1, or a status that answers no request
    FieldName, ///< a line without a name
    FieldValue, ///< a control character
    Length, ///< no number, or several lengths that differ
    TransferCoding, ///< other than one "chunked"
    Framing, ///< chunks that can't be read
    Other, ///< that libcurl has found
};
const char *nameOf(AnswerDefect defect);

/// An answer to another call than the one that it came for.
struct ForeignAnswer {
    std::string name; ///< of the call that it names; empty if it names none, or several
    unsigned status = 0;
};

struct HttpResult {
    enum class Kind {
        Answered, ///< a whole answer
        NotSent, ///< no byte of the request left this host
        Broken, ///< lost after it may have been sent
        TooLarge, ///< the answer announces a length that the client does not take
        Endless, ///< more arrived than a sound target sends, and no end of the answer
    };
    Kind kind = Kind::NotSent;
    Answer answer;
    std::string reason;
    bool timedOut = false; ///< without an answer: the time ran out
    bool isConnectionLost = false; ///< Broken: the other side ended its connection, or it was reset
    bool isRefused = false; ///< nothing listens at the address
    bool isWithdrawn = false; ///< not sent, since HttpCall::maySend did not allow it any more
    std::optional<AnswerPart> endlessPart; ///< Endless: what there was too much of
    std::optional<AnswerDefect> answerDefect; ///< Broken: why the answer was not taken
    bool isForeign = false; ///< Broken: HttpCall::acceptsHead did not take the last head
    std::vector<ForeignAnswer> foreignAnswers; ///< that came before this call's answer, or in its place
    bool isReused = false; ///< its connection had carried another call before
    std::uint16_t port = 0; ///< local one of the connection that the call was sent over last; 0 if it was not sent
    std::uint64_t receivedBytes = 0; ///< of the answer, in whatever form
};
using HttpResultHandler = std::function<void(HttpResult)>;

enum class HttpCallId : std::uint64_t {};

/// What became of connections opened in advance, since the client started.
struct SpareConnectionCounts {
    std::uint64_t opened = 0;
    std::uint64_t used = 0; ///< by a call
    std::uint64_t closedUnused = 0; ///< by either side
};

struct HttpClientLimits {
    /// Bodies of unknown length and of the longest size that may be on their way at the same time.
    static constexpr std::size_t UnsizedAnswersInAll = 4;

    std::size_t answerBytes = 0; ///< longest body of an answer
    /// Longest body of an answer that does not announce its length, if shorter.
    std::size_t unsizedBytes = 4UL * 1024 * 1024;
    /// The same for all answers on their way; beyond it the longest one is given up.
    std::size_t unsizedBytesInAll = UnsizedAnswersInAll * unsizedBytes;
    /// Bounds large answers, all together, so that they leave room on the host's link for small ones; 0 for no bound.
    std::uint64_t bytesPerSecond = 0;
};

/// Calls over kept connections, run by one thread. Handlers run on that thread and must not wait.
class HttpClient
{
public:
    explicit HttpClient(const HttpClientLimits &limits);
    /// With the other limits as usual.
    explicit HttpClient(std::size_t maxAnswerBytes, std::uint64_t bytesPerSecond = 0);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// The handler is called exactly once, unless the call is cancelled or the client stopped first.
    HttpCallId start(HttpCall call, HttpResultHandler handler);
    /// Ends a call and its connection.
    void cancel(HttpCallId id);
    /// Replaces the addresses to which a connection is opened in advance, the most important one first: at most one
    /// for each, and none while a call to it has ended within the last 8 s. Calls that were started before the first
    /// use of this function are not taken into account. From any thread.
    void keepConnected(const std::vector<Address> &addresses);
    SpareConnectionCounts spareConnections() const;
    /// How often older connections to an address were not used any more since a request on one of them had no answer.
    std::uint64_t silences() const;
    /// How many calls got a connection of their own, since one of the same name was answered at the address before.
    std::uint64_t separated() const;
    /// How many connections have ended with the start of an answer that nobody had read.
    std::uint64_t unreadAnswers() const;
    /// How many connections were reset since the other side had not received all of a request that was given up.
    std::uint64_t undelivered() const;
    /// How many calls have gone on behind answers to others.
    std::uint64_t continued() const;
    /// To how many addresses connections carry one call each, since surplus answers came from them.
    std::size_t repeating() const;
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// An answer with a JSON body.
Answer jsonAnswer(unsigned status, const nlohmann::json &body);

} // namespace pepperlug
