//===- Transfer.cpp - One call on its way over libcurl --------------------===//
//
// Two things matter for promises. First, the library sends a request again by itself when a kept connection turns out
// to be closed; whether the other side had run it by then can't be known. A callback that it makes before each sending
// counts, and stops the second one unless the call may be repeated. Second, the same count tells for certain whether
// any byte may have left.
//
//===----------------------------------------------------------------------===//
#include "Transfer.h"

#include "SocketBytes.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr long KeptConnectionSeconds = 6; ///< a kept connection that was idle for longer is not used again
// The library counts whole seconds, so a connection may be idle for almost one more.
static_assert(ConnectionTrust::DoubtTime > std::chrono::seconds(KeptConnectionSeconds + 1));
/// Read at a time where bytes a second are bounded; less makes a smoother stream, and more wake-ups.
constexpr long BoundedRead = 8 * 1024;
/// The library takes a buffer of its own for each call on its way, of 16 KiB to read and 64 KiB to send unless told
/// otherwise. Most answers are shorter than this; longer ones are read in parts.
constexpr long ReadBuffer = 4 * 1024;
constexpr long SendBuffer = 16 * 1024; ///< the least that the library takes
constexpr std::size_t LongestStatusLine = 1024;

void readPast(Transfer &transfer, std::string_view bytes);

bool exceedsLength(const Transfer &transfer)
{
    if (!transfer.head || transfer.call.method == "HEAD") {
        return false;
    }
    const BodyFraming framing = transfer.head->framing();
    return framing.kind == BodyFraming::Kind::Length && transfer.budget.bodyBytes() > framing.length;
}

// Counts what arrives, also what the library does not hand on, as the bytes behind the end of an answer.
int onReceived(CURL *, curl_infotype type, char *data, std::size_t size, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    if (type == CURLINFO_DATA_IN && transfer->skipped.isWithin()) {
        readPast(*transfer, {data, size});
        return 0;
    }
    if (type == CURLINFO_DATA_IN && transfer->isForeign) {
        transfer->bytesBehind.append(data, size);
        return 0;
    }
    const bool isFirst = transfer->budget.received() == 0;
    const bool isHeadless = type == CURLINFO_DATA_IN && !transfer->head;
    if (type == CURLINFO_HEADER_IN || isHeadless) {
        transfer->budget.addHead(size);
    } else if (type == CURLINFO_DATA_IN) {
        transfer->budget.addBody(size);
        transfer->hasExcess |= exceedsLength(*transfer);
    } else {
        return 0;
    }
    if (isFirst) {
        transfer->trust->addAnswer(transfer->call.to, transfer->madeAt);
    }
    if (transfer->budget.exceeded()) {
        transfer->flow->endless.push_back(transfer->id);
    }
    return 0;
}

// The library ends the call and its connection with the end of the surplus answer, and onCloseSocket() keeps the
// socket. Until then all of the request has to leave.
void startSkipping(Transfer &transfer)
{
    if (transfer.socket) {
        return; // taken over at an earlier one
    }
    transfer.flow->keptSockets.try_emplace({transfer.call.to, transfer.port});
    curl_easy_setopt(transfer.easy.get(), CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(transfer.easy.get(), CURLOPT_KEEP_SENDING_ON_ERROR, 1L);
}

// An answer to a call that the address has not answered yet is no surplus one: this call's own may never come.
bool readsPast(Transfer &transfer, const Answer &answer, const BodyFraming &framing)
{
    const HttpCall &call = transfer.call;
    const std::string name = call.nameIn ? call.nameIn(answer.headers) : std::string();
    transfer.foreignAnswers.push_back({name, answer.status});
    const bool isSurplus = !name.empty() && name != call.name
        && transfer.answered->contains(call.to, name, std::chrono::steady_clock::now());
    return isSurplus && transfer.skipped.begin(framing);
}

// The functions take() return false if the answer is not taken.
bool take(Transfer &transfer, std::unique_ptr<AnswerHead> &&head)
{
    transfer.head = std::move(head);
    const Answer &answer = transfer.head->answer();
    transfer.isForeign = transfer.call.acceptsHead && !transfer.call.acceptsHead(answer.headers);
    const BodyFraming framing = transfer.head->framing();
    if (transfer.isForeign) {
        const bool goesOn = transfer.call.method != "HEAD" && readsPast(transfer, answer, framing);
        if (goesOn) {
            startSkipping(transfer);
        }
        return goesOn;
    }
    if (framing.kind != BodyFraming::Kind::Length || transfer.call.method == "HEAD") {
        return true;
    }
    transfer.budget.setSized();
    transfer.isTooLarge = framing.length > transfer.maxAnswerBytes;
    transfer.isLarge = framing.length >= LargeAnswerBytes;
    if (transfer.isLarge && !transfer.isTooLarge && transfer.call.onLargeHead) {
        transfer.isPassedOn = transfer.call.onLargeHead(answer, framing.length);
    }
    return !transfer.isTooLarge;
}

bool take(Transfer &transfer, const BodyPart &part)
{
    const std::size_t bytes = part.bytes.size();
    if (transfer.skipped.isWithin()) {
        return true;
    }
    transfer.budget.addPayload(bytes);
    if (transfer.isPassedOn) {
        transfer.call.onPart(part.bytes);
        return true;
    }
    transfer.isTooLarge = transfer.body.size() + bytes > transfer.maxAnswerBytes;
    if (transfer.isTooLarge || transfer.budget.exceeded()) {
        return false;
    }
    transfer.body.append(part.bytes);
    const std::uint64_t held = transfer.budget.unsizedPayload();
    transfer.flow->unsizedBytes += held - std::exchange(transfer.heldUnsized, held);
    return true;
}

bool take(Transfer &transfer, const TrailerPart &part)
{
    transfer.budget.addTrailer(part.bytes);
    return true;
}

bool take(Transfer &transfer, const MessageEnd &)
{
    if (transfer.skipped.isWithin()) {
        transfer.skipped.end();
        transfer.bytesBehind = transfer.reader.takeUnread();
    } else {
        transfer.isWhole = true;
    }
    return true;
}

bool take(Transfer &transfer, MessageFault &&fault)
{
    transfer.fault = std::move(fault);
    transfer.fault->defect = transfer.fault->defect.value_or(AnswerDefect::Framing);
    return false;
}

bool takeAll(Transfer &transfer)
{
    while (auto event = transfer.reader.next()) {
        const bool isTaken =
            std::visit([&](auto &&it) { return take(transfer, std::forward<decltype(it)>(it)); }, std::move(*event));
        if (!isTaken) {
            return false;
        }
    }
    // What follows a whole answer belongs to no request, and its connection can't be trusted.
    transfer.hasSurplus = transfer.isWhole && transfer.reader.unreadBytes() > 0;
    return !transfer.hasSurplus;
}

void readPast(Transfer &transfer, std::string_view bytes)
{
    if (transfer.cannotSkip) {
        return;
    }
    transfer.reader.add(bytes);
    transfer.cannotSkip = !transfer.skipped.add(bytes.size()) || !takeAll(transfer);
}

// Both are told of the bytes as they came: lines of heads, and bodies with the framing of their chunks.
std::size_t onBytes(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::size_t bytes = size * count;
    if (transfer->isForeign && transfer->head) {
        return transfer->cannotSkip ? 0 : bytes; // read by onReceived(), which is called first
    }
    if (!mayRead(*transfer)) {
        transfer->flow->paused.push_back(transfer->id);
        return CURL_WRITEFUNC_PAUSE; // the library hands over the same bytes later
    }
    transfer->reader.add({data, bytes});
    return takeAll(*transfer) ? bytes : 0;
}

MessageFault malformedStatus()
{
    return {0, std::string("the head of the answer is malformed: ") + nameOf(AnswerDefect::StatusLine),
            AnswerDefect::StatusLine};
}

// The library takes what does not begin with a status line for a body without a head.
std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    if (transfer->head) {
        return onBytes(data, size, count, self);
    }
    const std::string_view bytes(data, size * count);
    transfer->hasLongStart = bytes.find('\n') == std::string_view::npos && bytes.size() > LongestStatusLine;
    transfer->fault = malformedStatus();
    return 0;
}

std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *self)
{
    return static_cast<const Transfer *>(self)->budget.exceeded() ? 0 : onBytes(data, size, count, self);
}

// Records which connection a call is about to be sent over. One opened in advance counts as old, of an unknown age.
void noteConnection(Transfer &transfer, std::uint16_t port, TimePoint now)
{
    const Address &to = transfer.call.to;
    long made = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_NUM_CONNECTS, &made);
    const bool isSpare = transfer.spareSocket != CURL_SOCKET_BAD;
    transfer.isOnOldConnection = made == 0 || isSpare;
    transfer.isReused = made == 0;
    transfer.sentAt = now;
    transfer.port = port;
    if (made == 0) {
        transfer.madeAt = transfer.trust->madeAt(to, port);
    } else {
        transfer.madeAt = isSpare ? std::nullopt : std::optional(now);
    }
    transfer.trust->addUse(to, port, transfer.madeAt, now);
}

// What arrives on a kept connection between two calls belongs to neither, and libcurl would take it for the answer to
// the second one.
bool holdsUnreadBytes(Transfer &transfer, std::uint16_t port)
{
    long made = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_NUM_CONNECTS, &made);
    const AnswerFlow::ConnectionName name{transfer.call.to, port};
    if (made > 0) {
        transfer.flow->openSockets[name] = transfer.openedSocket;
        return false;
    }
    const auto it = transfer.flow->openSockets.find(name);
    return it != transfer.flow->openSockets.end() && holdsUnread(it->second);
}

int onBeforeSending(void *self, char *, char *, int, int localPort)
{
    auto *transfer = static_cast<Transfer *>(self);
    const TimePoint now = std::chrono::steady_clock::now();
    // What led to this call may be out of date by now.
    transfer->isLate = now - transfer->startedAt > transfer->call.sendWithin;
    transfer->isWithdrawn = !transfer->isLate && transfer->call.maySend && !transfer->call.maySend();
    if (transfer->isLate || transfer->isWithdrawn) {
        return CURL_PREREQFUNC_ABORT;
    }
    // Nothing has been written yet, so a call whose connection was closed meanwhile is certain not to be sent.
    transfer->isSpareClosed =
        transfer->sendings == 0 && transfer->spareSocket != CURL_SOCKET_BAD && !isIdleAndOpen(transfer->spareSocket);
    transfer->hasUnreadBytes =
        transfer->sendings == 0 && holdsUnreadBytes(*transfer, static_cast<std::uint16_t>(localPort));
    if (transfer->isSpareClosed || transfer->hasUnreadBytes) {
        return CURL_PREREQFUNC_ABORT;
    }
    noteConnection(*transfer, static_cast<std::uint16_t>(localPort), now);
    ++transfer->sendings;
    const bool isAgain = transfer->sendings > 1;
    return isAgain && !transfer->call.mayRepeat ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

curl_socket_t onOpenSocket(void *self, curlsocktype, curl_sockaddr *address)
{
    auto *transfer = static_cast<Transfer *>(self);
    std::optional<int> spare;
    if (transfer->spares != nullptr) {
        spare = transfer->spares->take(transfer->call.to, std::chrono::steady_clock::now());
    }
    transfer->spareSocket = spare.value_or(CURL_SOCKET_BAD);
    transfer->openedSocket =
        spare ? *spare : socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return transfer->openedSocket;
}

int onSocketOptions(void *self, curl_socket_t socket, curlsocktype)
{
    const auto *transfer = static_cast<const Transfer *>(self);
    return socket == transfer->spareSocket ? CURL_SOCKOPT_ALREADY_CONNECTED : CURL_SOCKOPT_OK;
}

AnswerFlow::ConnectionName nameOf(curl_socket_t socket)
{
    using boost::asio::ip::tcp;
    tcp::endpoint peer;
    tcp::endpoint local;
    socklen_t size = static_cast<socklen_t>(peer.capacity());
    socklen_t localSize = size;
    if (getpeername(socket, peer.data(), &size) != 0 || getsockname(socket, local.data(), &localSize) != 0) {
        return {};
    }
    return {{peer.address().to_string(), peer.port()}, local.port()};
}

// What waits on a connection that is closed is otherwise dropped without a trace.
int onCloseSocket(void *self, curl_socket_t socket)
{
    AnswerFlow &flow = *static_cast<AnswerFlow *>(self);
    std::erase_if(flow.openSockets, [&](const auto &it) { return it.second == socket; });
    if (!flow.keptSockets.empty()) {
        const auto kept = flow.keptSockets.find(nameOf(socket));
        if (kept != flow.keptSockets.end()) {
            kept->second = SocketHandle(socket);
            return 0;
        }
    }
    if (holdsAnswerStart(socket)) {
        ++flow.unreadAnswers;
    }
    // The network may hold a request for longer than its caller waits.
    if (closeUndelivered(socket)) {
        ++flow.undelivered;
    }
    return 0;
}

/// Leaves the call only connections that are not in doubt.
void setUpTrust(Transfer &transfer, TimePoint now)
{
    const std::optional<TimePoint> before = transfer.trust->doubtedBefore(transfer.call.to, now);
    if (!before) {
        return;
    }
    const std::optional<std::chrono::seconds> lifetime = lifetimeSince(*before, now);
    if (lifetime) {
        curl_easy_setopt(transfer.easy.get(), CURLOPT_MAXLIFETIME_CONN, static_cast<long>(lifetime->count()));
    } else {
        curl_easy_setopt(transfer.easy.get(), CURLOPT_FRESH_CONNECT, 1L);
    }
}

void setUpSockets(Transfer &transfer)
{
    CURL *easy = transfer.easy.get();
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, onOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, onSocketOptions);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
}

void addHeader(HeaderList &list, const std::string &line)
{
    list.reset(curl_slist_append(list.release(), line.c_str()));
}

void setUpMethod(CURL *easy, const HttpCall &call)
{
    const bool hasBody = call.body != nullptr && !call.body->empty();
    if (call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (hasBody || call.method == "POST" || call.method == "PUT" || call.method == "PATCH") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(hasBody ? call.body->size() : 0));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, hasBody ? call.body->data() : "");
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    // onBody() refuses an answer without a head. The library would skip one to HEAD as its body.
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 1L);
}

// The library sends again over a new connection where a kept one turns out to be closed; that it may not, or can't
// since nothing listens any more, also tells that the first one has ended.
bool tellsLostConnection(CURLcode code)
{
    switch (code) {
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_COULDNT_CONNECT:
    case CURLE_ABORTED_BY_CALLBACK:
        return true;
    default:
        return false;
    }
}

bool tellsRefusal(CURL *easy, CURLcode code)
{
    long reason = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &reason);
    return code == CURLE_COULDNT_CONNECT && reason == ECONNREFUSED;
}

// The library gives up a header line that exceeds a bound of its own. Nothing would tell the end of that, nor of a
// status line that is too long.
bool tellsEndlessHead(const Transfer &transfer, CURLcode code)
{
    return code == CURLE_OUT_OF_MEMORY || transfer.hasLongStart;
}

HttpResult endlessResult(AnswerPart part, std::uint64_t receivedBytes)
{
    HttpResult result;
    result.kind = HttpResult::Kind::Endless;
    result.reason = std::string("the answer has no end: too much of its ") + nameOf(part);
    result.endlessPart = part;
    result.receivedBytes = receivedBytes;
    return result;
}

// The library takes the answer for whole, and the reader has to do so as well.
CURLcode endOf(Transfer &transfer)
{
    if (auto event = transfer.reader.finish()) {
        std::visit([&](auto &&it) { take(transfer, std::forward<decltype(it)>(it)); }, std::move(*event));
    }
    return transfer.isWhole ? CURLE_OK : CURLE_WEIRD_SERVER_REPLY;
}

} // namespace

bool mayRead(const Transfer &transfer)
{
    return !transfer.isPassedOn || !transfer.call.wantsPart || transfer.call.wantsPart();
}

bool takeBytes(Transfer &transfer, std::string_view bytes)
{
    if (transfer.skipped.isWithin()) {
        transfer.cannotSkip |= !transfer.skipped.add(bytes.size());
    } else if (transfer.head) {
        transfer.budget.addBody(bytes.size());
    } else {
        transfer.budget.addHead(bytes.size());
    }
    if (transfer.cannotSkip) {
        return false;
    }
    transfer.reader.add(bytes);
    const bool isTaken = takeAll(transfer) && !transfer.budget.exceeded();
    const bool isPast = isTaken && transfer.isForeign && !transfer.skipped.isWithin();
    return isPast ? startNextAnswer(transfer) : isTaken;
}

bool canContinue(const Transfer &transfer)
{
    curl_off_t sent = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    const std::size_t bodyBytes = transfer.call.body ? transfer.call.body->size() : 0;
    const bool isPast = transfer.isForeign && !transfer.cannotSkip && !transfer.skipped.isWithin();
    return isPast && transfer.socket && static_cast<std::size_t>(sent) == bodyBytes;
}

bool startNextAnswer(Transfer &transfer)
{
    transfer.reader = MessageReader<AnswerHead>(UnboundedAnswer);
    transfer.head.reset();
    transfer.isForeign = false;
    transfer.budget = AnswerBudget(transfer.budget.unsizedBound());
    const std::string bytes = std::exchange(transfer.bytesBehind, {});
    return bytes.empty() || takeBytes(transfer, bytes);
}

void takeKeptSocket(Transfer &transfer)
{
    if (transfer.skipped.count() == 0) {
        return;
    }
    auto node = transfer.flow->keptSockets.extract({transfer.call.to, transfer.port});
    if (!node.empty()) {
        transfer.socket = std::move(node.mapped());
    }
}

void setUp(Transfer &transfer)
{
    const HttpCall &call = transfer.call;
    CURL *easy = transfer.easy.get();
    const std::string url = "http://" + call.to.text() + call.resource;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    const auto connectTimeout = std::chrono::duration_cast<Milliseconds>(call.connectTimeout).count();
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::max<long>(1, static_cast<long>(connectTimeout)));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, KeptConnectionSeconds);
    const auto timeout = std::chrono::duration_cast<Milliseconds>(call.timeout).count();
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(timeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, onReceived);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L); // the callback above is not called without it
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    if (call.connectsOnly) {
        curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, onCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer.flow);
    setUpTrust(transfer, std::chrono::steady_clock::now());
    if (call.connectsOnly || call.usesNewConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    // The length in the head of a surplus answer to HEAD is not that of its body, which the next call can't tell.
    if (call.method == "HEAD" && call.nameIn) {
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!call.fromIp.empty()) {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, call.fromIp.c_str());
    }
    setUpSockets(transfer);
    const bool isBounded = transfer.bytesPerSecond > 0;
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, isBounded ? BoundedRead : ReadBuffer);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, SendBuffer);
    if (isBounded) {
        curl_easy_setopt(easy, CURLOPT_MAX_RECV_SPEED_LARGE, static_cast<curl_off_t>(transfer.bytesPerSecond));
    }
    setUpMethod(easy, call);
    bool hasType = false;
    for (const HeaderField &field : call.headers) {
        hasType |= sameName(field.name, "content-type");
        addHeader(transfer.headers, field.value.empty() ? field.name + ";" : field.name + ": " + field.value);
    }
    // The library's own additions are not the caller's words.
    for (const char *unwanted : {"Expect:", "Accept:", "User-Agent:"}) {
        const std::string name(unwanted, std::string_view(unwanted).size() - 1);
        const bool given = std::any_of(call.headers.begin(), call.headers.end(),
                                       [&](const HeaderField &field) { return sameName(field.name, name); });
        if (!given) {
            addHeader(transfer.headers, unwanted);
        }
    }
    if (!hasType) {
        addHeader(transfer.headers, "Content-Type:");
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
}

HttpResult resultOf(Transfer &transfer, CURLcode code)
{
    std::optional<AnswerPart> endless = transfer.budget.exceeded();
    if (code == CURLE_OK && !transfer.call.connectsOnly) {
        code = endOf(transfer);
    }
    const bool isInHead = transfer.sendings > 0 && !transfer.head;
    if (isInHead && tellsEndlessHead(transfer, code)) {
        endless = AnswerPart::Head;
    }
    if (endless) {
        return endlessResult(*endless, transfer.budget.received());
    }
    HttpResult result;
    result.port = transfer.port;
    result.isReused = transfer.isReused;
    result.foreignAnswers = std::move(transfer.foreignAnswers);
    result.receivedBytes = transfer.budget.received();
    // An answer that is whole stays one, though bytes behind it have ended its connection.
    if (code == CURLE_OK || transfer.isWhole) {
        result.kind = HttpResult::Kind::Answered;
        if (transfer.head) {
            result.answer = std::move(transfer.head->answer());
            result.answer.body = std::move(transfer.body);
        }
        return result;
    }
    result.isWithdrawn = transfer.isWithdrawn;
    result.isForeign = transfer.isForeign;
    if (isInHead && code == CURLE_UNSUPPORTED_PROTOCOL) {
        transfer.fault = malformedStatus();
        // The library has read a status line whose version or status it does not know, and does not count it.
        result.receivedBytes = std::max<std::uint64_t>(1, result.receivedBytes);
    }
    if (code == CURLE_WEIRD_SERVER_REPLY && isInHead && !transfer.fault) {
        transfer.fault = MessageFault{0, "the head of the answer is malformed", AnswerDefect::Other};
    }
    if (transfer.fault) {
        result.answerDefect = transfer.fault->defect;
        result.reason = transfer.fault->reason;
    } else if (transfer.isForeign) {
        result.reason = "the answer belongs to another call";
    } else if (transfer.isWithdrawn) {
        result.reason = "not allowed any more when it could be sent";
    } else if (transfer.hasUnreadBytes) {
        result.reason = "the connection held bytes that belong to no call";
    } else if (transfer.isSpareClosed) {
        result.reason = "the connection opened in advance was closed";
    } else {
        result.reason = transfer.isLate ? "could not be sent in time" : curl_easy_strerror(code);
    }
    result.timedOut = code == CURLE_OPERATION_TIMEDOUT;
    result.isRefused = tellsRefusal(transfer.easy.get(), code);
    if (transfer.isTooLarge) {
        result.kind = HttpResult::Kind::TooLarge;
    } else {
        result.kind = transfer.sendings == 0 ? HttpResult::Kind::NotSent : HttpResult::Kind::Broken;
        result.isConnectionLost = transfer.sendings > 0 && tellsLostConnection(code);
    }
    return result;
}

} // namespace pepperlug
