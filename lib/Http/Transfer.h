//===- Transfer.h - One call on its way over libcurl -------------*- C++ -*-===//
#pragma once

#include "AnswerBudget.h"
#include "AnsweredCalls.h"
#include "AnswerHead.h"
#include "ConnectionTrust.h"
#include "CurlHandles.h"
#include "MessageReader.h"
#include "SkippedAnswers.h"
#include "SocketHandle.h"
#include "SpareConnections.h"

#include <limits>

namespace pepperlug
{

/// Bounds of answers are those of AnswerBudget, and the length that the client takes.
constexpr std::uint64_t Unbounded = std::numeric_limits<std::uint64_t>::max() / 2;
constexpr MessageBounds UnboundedAnswer{Unbounded, Unbounded, Unbounded};

/// What the answers on their way have in common.
struct AnswerFlow {
    /// Names a connection: the other side's address, and the local port.
    using ConnectionName = std::pair<Address, std::uint16_t>;

    std::uint64_t unsizedBytes = 0; ///< held of bodies of unknown length
    std::vector<HttpCallId> endless; ///< calls whose answers have exceeded their budget
    std::vector<HttpCallId> paused; ///< calls that the library does not read for, and may have ended
    std::atomic<std::uint64_t> unreadAnswers = 0; ///< that had begun to arrive when their connections were closed
    std::atomic<std::uint64_t> undelivered = 0; ///< connections closed before all of a request had arrived
    std::map<ConnectionName, int> openSockets; ///< of the library's connections
    /// Connections whose sockets are kept where the library closes them.
    std::map<ConnectionName, SocketHandle> keptSockets;
};

/// One call on its way.
struct Transfer {
    HttpCallId id{};
    HttpCall call;
    HttpResultHandler handler;
    std::size_t maxAnswerBytes = 0;
    std::uint64_t bytesPerSecond = 0; ///< that a large answer may use now; 0 for no bound
    AnswerBudget budget;
    AnswerFlow *flow = nullptr; ///< of all calls
    std::uint64_t heldUnsized = 0; ///< part of AnswerFlow::unsizedBytes
    EasyHandle easy;
    HeaderList headers;
    MessageReader<AnswerHead> reader{UnboundedAnswer};
    std::unique_ptr<AnswerHead> head; ///< null until it is whole
    std::optional<MessageFault> fault;
    bool isWhole = false;
    bool hasSurplus = false; ///< bytes behind the whole answer
    bool hasExcess = false; ///< the same, read by the library together with the body, and dropped
    std::string body; ///< unless it is passed on
    SpareConnections *spares = nullptr; ///< null: no connection opened in advance is used
    curl_socket_t spareSocket = CURL_SOCKET_BAD; ///< of the connection opened in advance that the call uses
    ConnectionTrust *trust = nullptr; ///< of all calls
    const AnsweredCalls *answered = nullptr; ///< of all calls
    unsigned sendings = 0;
    TimePoint sentAt{}; ///< the last sending
    std::uint16_t port = 0; ///< local one of the connection that the last sending went over
    std::optional<TimePoint> madeAt; ///< of that connection, if known
    bool isOnOldConnection = false; ///< a kept one, or one opened in advance
    bool isReused = false; ///< a kept one
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
    bool isTooLarge = false;
    bool isLate = false; ///< it could not be sent in time
    bool hasLongStart = false; ///< what came in place of a status line is too long for one
    bool isWithdrawn = false; ///< what led to it had changed before it was sent
    curl_socket_t openedSocket = CURL_SOCKET_BAD; ///< by the call
    bool hasUnreadBytes = false; ///< bytes were waiting on the kept connection before anything was sent
    bool isSpareClosed = false; ///< the spare connection was closed before anything was sent
    bool isForeign = false; ///< the present answer belongs to another call
    SkippedAnswers skipped;
    std::vector<ForeignAnswer> foreignAnswers;
    bool cannotSkip = false; ///< an answer can't be read past: it is malformed or too long
    SocketHandle socket; ///< of the connection on which an answer was read past
    std::string bytesBehind; ///< what has arrived behind an answer that was read past
    bool isLarge = false;
    bool isPassedOn = false; ///< the body goes to the call's handler as it arrives
};

/// Prepares the handle of a transfer for its call. The transfer has to stay where it is.
void setUp(Transfer &transfer);
/// Returns whether bytes of the answer may be read now.
bool mayRead(const Transfer &transfer);
/// Prepares for the answer behind one that was read past, and takes what has arrived of it. Returns false if no more
/// bytes are wanted.
bool startNextAnswer(Transfer &transfer);
/// Takes bytes of an answer that the library has not read. Returns false if no more are wanted: the answer is whole, or
/// is not taken.
bool takeBytes(Transfer &transfer, std::string_view bytes);
/// Returns whether its answer may follow one that was read past: the request has left, and the socket was kept.
bool canContinue(const Transfer &transfer);
/// Takes over the socket of a connection that has ended in the library while an answer was read past, if there is one.
void takeKeptSocket(Transfer &transfer);
/// Returns what came of a transfer that has ended with this code.
HttpResult resultOf(Transfer &transfer, CURLcode code);

} // namespace pepperlug
