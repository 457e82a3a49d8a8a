//===- Connection.cpp - One caller's connection ---------------------------===//
//
// What a caller is owed is written by the thread that has it, and what the socket does not take then by the write loop;
// Pistache only hands on the bytes that arrive. The number of a socket may be given to a new connection once its peer
// has gone, so it is used only under the connection's mutex and while the connection is alive.
//
//===----------------------------------------------------------------------===//
#include "Connection.h"

#include "AnswerEncoder.h"
#include "Exchange.h"
#include "SocketBytes.h"

#include <algorithm>
#include <sys/socket.h>

namespace pepperlug
{

namespace
{

namespace pt = Pistache::Tcp;

constexpr const char *ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";
/// For a caller to read the last answer and close; some tens of round trips.
constexpr auto LingerTime = std::chrono::seconds(2);
constexpr std::size_t LongestFailureTold = 200; ///< bytes
/// Of the time after which a caller who reads nothing is cut off, the part after which it is where others find no
/// connection.
constexpr int SparedStallPart = 6;

Answer notRun(unsigned status, const std::string &reason)
{
    Answer answer = jsonAnswer(status, {{"outcome", "not-run"}, {"step", "read request"}, {"reason", reason}});
    answer.headers.push_back({"Pepperlug-Outcome", "not-run"});
    return answer;
}

} // namespace

Connection::Connection(const std::shared_ptr<pt::Peer> &peer, ServerShared &shared, std::uint64_t number)
    : m_peer(peer)
    , m_number(number)
    , m_ip(peer->address().host())
    , m_shared(shared)
    , m_writer(shared.clock, shared.limits.stallTimeout)
    , m_order({shared.limits.orderedBytes, shared.limits.passedOn})
    , m_lastActive(shared.clock.now())
{
}

std::shared_ptr<Connection> Connection::make(const std::shared_ptr<pt::Peer> &peer, ServerShared &shared,
                                             std::uint64_t number)
{
    std::shared_ptr<Connection> made(new Connection(peer, shared, number));
    made->m_reader.emplace(shared.limits, *shared.intake, shared.clock, [weak = std::weak_ptr(made)] {
        if (const auto it = weak.lock()) {
            it->giveUp();
        }
    });
    return made;
}

void Connection::input(const char *data, std::size_t size)
{
    const std::lock_guard readerLock(m_readerMutex);
    {
        const std::lock_guard lock(m_mutex);
        if (m_ignoresInput) {
            return;
        }
        m_lastActive = m_shared.clock.now();
        m_partSince = m_partSince.value_or(m_lastActive);
    }
    read({data, size});
    endIfGivenUp();
    const std::lock_guard lock(m_mutex);
    if (m_ignoresInput) {
        m_reader->stop();
    }
    if (m_ignoresInput || m_reader->isBetweenRequests()) {
        m_partSince.reset();
    } else {
        // What follows a whole request is the start of the next one.
        m_partSince = m_partSince.value_or(m_lastActive);
    }
}

void Connection::read(std::string_view bytes)
{
    m_reader->add(bytes);
    while (!ignoresInput()) {
        auto event = m_reader->next();
        if (!event) {
            break;
        }
        std::visit([this](auto &&it) { take(std::forward<decltype(it)>(it)); }, std::move(*event));
    }
}

// Whoever needs the room may be reading for another connection, and must not wait for this one.
void Connection::giveUp()
{
    m_isGivenUp = true;
    const std::unique_lock lock(m_readerMutex, std::try_to_lock);
    if (lock) {
        endIfGivenUp();
    }
}

void Connection::endIfGivenUp()
{
    if (!m_isGivenUp.exchange(false) || ignoresInput()) {
        return;
    }
    m_reader->stop();
    ++m_shared.givenUp;
    fault(503, "the request arrived too slowly while memory was short");
}

bool Connection::ignoresInput()
{
    const std::lock_guard lock(m_mutex);
    return m_ignoresInput;
}

void Connection::take(AwaitedBody)
{
    const std::lock_guard lock(m_mutex);
    if (m_order.owed().empty()) {
        sendLocked(ContinueLine, false);
    }
}

void Connection::take(NoRoom)
{
    ++m_shared.refusedNoRoom;
    fault(503, "no memory for the request");
}

// An answer that says "close" is the last one (RFC 9112, 9.6). While the server is closing, that is the one to the last
// request that has arrived, so that those before it are answered too, and nothing behind it is read.
bool Connection::keepsAlive(const SlotPtr &slot, bool isWanted)
{
    const std::lock_guard lock(m_mutex);
    if (slot->hasBegun) {
        return !slot->closesAfter;
    }
    const bool isLast = m_order.owed().empty() || m_order.owed().back() == slot;
    const bool keepAlive = isWanted && !(m_shared.closesAfterAnswers && isLast);
    m_ignoresInput |= !keepAlive;
    return keepAlive;
}

void Connection::take(WholeRequest whole)
{
    const auto slot = std::make_shared<Slot>();
    slot->request = std::move(whole.request);
    slot->share = std::move(whole.share);
    slot->request.peerIp = m_ip;
    slot->request.connection = m_number;
    slot->request.place = ++m_requests;
    slot->keepsAlive = whole.keepsAlive;
    slot->arrivedAt = m_shared.clock.now();
    const char *refusal = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        if (m_ignoresInput) {
            return; // an answer that closes the connection was given meanwhile
        }
        slot->begunAt = std::exchange(m_partSince, std::nullopt).value_or(slot->arrivedAt);
        refusal = refusalLocked();
        if (refusal == nullptr) {
            m_ignoresInput = !slot->keepsAlive;
            m_order.add(slot);
        }
    }
    if (refusal != nullptr) {
        fault(503, refusal);
        return;
    }
    passOn();
}

// Hands on the requests whose turn it is, outside the lock, as a handler may answer at once.
void Connection::passOn()
{
    for (;;) {
        SlotPtr slot;
        {
            const std::lock_guard lock(m_mutex);
            const bool isOver = !canAnswerLocked() || m_shared.isStopped;
            slot = isOver ? nullptr : m_order.nextToPassOn();
            if (!slot) {
                return;
            }
            slot->isPassedOn = true;
        }
        const TimePoint now = m_shared.clock.now();
        slot->request.waited = now - slot->arrivedAt;
        slot->request.age = now - slot->begunAt;
        handle(makeExchange(shared_from_this(), slot));
    }
}

// What a handler throws would end the process, and with it the requests of all other callers.
void Connection::handle(const HttpExchangePtr &exchange)
{
    try {
        m_shared.handler(exchange);
    } catch (const std::exception &ex) {
        ++m_shared.failedHandlings;
        {
            const std::lock_guard lock(m_shared.mutex);
            m_shared.lastFailure = printable(exchange->request().path() + ": " + ex.what(), LongestFailureTold);
        }
        exchange->abort(jsonAnswer(500, {{"step", "handle request"}, {"reason", "internal failure"}}));
    }
}

// Whoever gives an answer may hold locks that the handler takes, so the write loop hands on what has waited for it.
void Connection::passOnSoonLocked()
{
    const std::shared_ptr<pt::Peer> peer = m_peer.lock();
    if (peer && canAnswerLocked() && m_watch == WatchId{} && m_order.nextToPassOn()) {
        watchLocked(peer->fd());
    }
}

bool Connection::canAnswerLocked() const
{
    return m_isAlive && !m_isCutOff && !m_writer.hasFailed() && !m_writer.hasLast();
}

// A caller that does not read its answers gets no further ones. Where many hold little each, the sum is bounded: those
// that hold data are refused first.
const char *Connection::refusalLocked()
{
    const HttpLimits &limits = m_shared.limits;
    const std::uint64_t inAll = m_shared.heldBytes;
    if (m_order.owed().size() >= limits.pipelined) {
        return "too many requests on one connection";
    }
    const bool isHeldHere = m_heldBytes > limits.heldBytes || (m_heldBytes > 0 && inAll > limits.heldBytesInAll);
    if (!isHeldHere && inAll <= 2 * limits.heldBytesInAll) {
        return nullptr;
    }
    ++m_shared.refusedUnread;
    return isHeldHere ? "earlier answers have not been read" : "too many answers have not been read";
}

void Connection::take(const MessageFault &it)
{
    ++m_shared.malformedRequests;
    fault(it.status, it.reason);
}

void Connection::fault(unsigned status, const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    answerLastLocked(status, reason);
}

// Earlier requests may still be in progress or wait; their answers come first.
void Connection::answerLastLocked(unsigned status, const std::string &reason)
{
    m_ignoresInput = true;
    m_partSince.reset();
    const auto slot = std::make_shared<Slot>();
    m_order.begin(*slot, encodeAnswer(notRun(status, reason), false, false), 0, true);
    m_order.add(slot);
    sendReadyLocked();
}

void Connection::complete(const SlotPtr &slot, std::string bytes, bool closesAfter)
{
    begin(slot, std::move(bytes), 0, closesAfter);
}

void Connection::begin(const SlotPtr &slot, std::string bytes, std::uint64_t bytesToCome, bool closesAfter)
{
    const std::lock_guard lock(m_mutex);
    if (slot->hasBegun || !m_isAlive || m_isCutOff) {
        return;
    }
    m_order.begin(*slot, std::move(bytes), bytesToCome, closesAfter);
    if (bytesToCome == 0) {
        slot->onDeparture = nullptr;
    }
    sendReadyLocked();
}

void Connection::add(const SlotPtr &slot, std::string_view part)
{
    const std::lock_guard lock(m_mutex);
    if (!slot->hasBegun || !m_isAlive || m_isCutOff) {
        return;
    }
    m_order.give(*slot, part);
    if (slot->isWhole()) {
        slot->onDeparture = nullptr;
    }
    sendReadyLocked();
}

// An answer that was held for requests behind it leaves in parts once memory is short. What is held of answers behind
// this one waits for it, so it must not wait for them.
bool Connection::hasRoomForMore(const SlotPtr &slot)
{
    if (m_shared.heldBytes <= m_shared.limits.heldBytesInAll) {
        return true;
    }
    const std::lock_guard lock(m_mutex);
    sendReadyLocked();
    const auto &owed = m_order.owed();
    const auto end = std::ranges::find(owed, slot);
    const bool isAheadUnsent = std::any_of(owed.begin(), end, [](const SlotPtr &it) { return !it->unsent.empty(); });
    const bool isUnread = m_writer.hasPending() || isAheadUnsent || !slot->unsent.empty();
    return !isUnread || !m_isAlive || m_isCutOff;
}

// Nothing may follow an answer that is cut. Those before it are still delivered.
void Connection::abort(const SlotPtr &slot, std::string inPlace, bool closesAfter)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isAlive || m_isCutOff || slot->isWhole()) {
        return;
    }
    slot->onDeparture = nullptr;
    slot->isReplaced = m_order.breakOff(*slot, std::move(inPlace), closesAfter);
    m_ignoresInput |= slot->closesAfter;
    sendReadyLocked();
}

bool Connection::takeBack(const SlotPtr &slot)
{
    const std::lock_guard lock(m_mutex);
    const bool isTakenBack = canAnswerLocked() && m_order.takeBack(*slot);
    countHeldLocked();
    return isTakenBack;
}

// Sends what there is of the answers whose turn it is. None may follow one that closes the connection.
void Connection::sendReadyLocked()
{
    const bool mayHold = m_shared.heldBytes <= m_shared.limits.heldBytesInAll;
    while (!m_writer.hasLast()) {
        const SlotPtr slot = m_order.sendNext(mayHold);
        if (!slot) {
            break;
        }
        const std::uint64_t given = m_writer.givenBytes();
        slot->startsAt = slot->endsAt == 0 ? given : slot->startsAt;
        slot->endsAt = given + slot->unsent.size();
        if (slot->isWhole()) {
            m_leaving.push_back(slot);
        }
        sendLocked(slot->unsent, slot->isWhole() && slot->closesAfter);
        slot->unsent.clear();
    }
    if (m_writer.hasLast()) {
        endOwedLocked(AnswerCut::Behind);
    }
    passOnSoonLocked();
    m_lastActive = m_shared.clock.now();
    countHeldLocked();
}

void Connection::endSentLocked()
{
    while (!m_leaving.empty() && m_leaving.front()->endsAt <= m_writer.writtenBytes()) {
        Slot &slot = *m_leaving.front();
        endLocked(slot, slot.isBrokenOff ? std::optional(AnswerCut::BrokeOff) : std::nullopt);
        m_leaving.pop_front();
    }
}

void Connection::endOwedLocked(AnswerCut cause)
{
    for (const SlotPtr &it : m_order.owed()) {
        endLocked(*it, cause);
    }
}

void Connection::endLocked(Slot &slot, std::optional<AnswerCut> cut)
{
    if (const auto handler = std::exchange(slot.onEnd, nullptr)) {
        const std::uint64_t end = std::min(m_writer.writtenBytes(), slot.endsAt);
        handler({cut, end - std::min(end, slot.startsAt), slot.isReplaced});
    }
}

void Connection::countHeldLocked()
{
    std::uint64_t held = m_writer.pendingBytes();
    for (const SlotPtr &it : m_order.owed()) {
        held += it->unsent.size();
    }
    m_shared.heldBytes += held - m_heldBytes; // unsigned: wraps where less is held than before
    m_heldBytes = held;
}

void Connection::sendLocked(const std::string &bytes, bool closesAfter)
{
    const std::shared_ptr<pt::Peer> peer = m_peer.lock();
    if (!m_isAlive || !peer) {
        return;
    }
    m_writer.add(bytes, closesAfter);
    if (m_watch == WatchId{}) {
        writePendingLocked(peer->fd());
    }
}

void Connection::writePendingLocked(int socket)
{
    m_writer.write(socket);
    endSentLocked();
    if (m_writer.hasPending()) {
        watchLocked(socket);
    }
}

void Connection::watchLocked(int socket)
{
    m_watch = m_shared.writes.watch(socket, [weak = weak_from_this()] {
        if (const auto it = weak.lock()) {
            it->onWritable();
        }
    });
}

void Connection::onWritable()
{
    {
        const std::lock_guard lock(m_mutex);
        m_watch = {};
        const std::shared_ptr<pt::Peer> peer = m_peer.lock();
        if (!m_isAlive || !peer) {
            return;
        }
        writePendingLocked(peer->fd());
        countHeldLocked();
        if (m_watch != WatchId{}) {
            return; // a caller that does not read gets no further work done
        }
    }
    passOn();
}

bool Connection::setDeparture(const SlotPtr &slot, std::function<void()> handler)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isAlive) {
        return false;
    }
    if (!slot->isWhole()) {
        slot->onDeparture = std::move(handler);
    }
    return true;
}

bool Connection::setEnd(const SlotPtr &slot, std::function<void(const AnswerEnd &)> handler)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isAlive) {
        return false;
    }
    slot->onEnd = std::move(handler);
    return true;
}

void Connection::gone()
{
    uncount();
    {
        const std::lock_guard lock(m_readerMutex);
        m_reader->stop();
    }
    std::deque<SlotPtr> slots;
    {
        const std::lock_guard lock(m_mutex);
        m_isAlive = false;
        const AnswerCut cause = m_isCutOff ? AnswerCut::NotRead : AnswerCut::CallerLeft;
        for (const SlotPtr &it : m_leaving) {
            endLocked(*it, it->isBrokenOff ? AnswerCut::BrokeOff : cause);
        }
        endOwedLocked(cause);
        m_leaving.clear();
        m_writer.drop();
        m_shared.writes.forget(m_watch);
        m_watch = {};
        slots = m_order.takeOwed();
        m_shared.droppedWaiting += static_cast<std::uint64_t>(
            std::ranges::count_if(slots, [](const SlotPtr &it) { return !it->isPassedOn && !it->hasBegun; }));
        countHeldLocked();
    }
    for (const SlotPtr &slot : slots) {
        if (slot->onDeparture) {
            const std::function<void()> handler = std::exchange(slot->onDeparture, nullptr);
            handler();
        }
    }
}

void Connection::sweep(TimePoint now)
{
    if (m_isGivenUp) {
        giveUp();
    }
    const std::lock_guard lock(m_mutex);
    const std::shared_ptr<pt::Peer> peer = m_peer.lock();
    if (!m_isAlive || !peer) {
        return;
    }
    if (m_writer.hasStalled(peer->fd(), now)) {
        cutOffLocked(peer->fd());
        return;
    }
    if (const auto since = m_writer.deliveredSince(peer->fd()); since && now > *since + LingerTime) {
        ::shutdown(peer->fd(), SHUT_RDWR);
        return;
    }
    const bool isSlow = m_partSince && now > *m_partSince + m_shared.limits.headTimeout;
    const bool isIdle = !m_partSince && m_order.owed().empty() && !m_writer.hasPending()
        && now > m_lastActive + m_shared.limits.idleTimeout;
    if (isSlow && !m_ignoresInput) {
        answerLastLocked(408, "the request did not arrive in time");
    } else if (isIdle) {
        ::shutdown(peer->fd(), SHUT_RDWR);
    }
}

// Nothing unless it is long enough to spare the connection when others need one.
std::optional<TimePoint> Connection::stalledSinceLocked(int socket)
{
    const TimePoint now = m_shared.clock.now();
    const std::optional<TimePoint> since = m_writer.unreadSince(socket, now);
    const bool isLongEnough = since && now >= *since + m_shared.limits.stallTimeout / SparedStallPart;
    return isLongEnough ? since : std::nullopt;
}

// Closing an answer that the caller does not have yet would harm it. But one that reads nothing would keep its
// connection from all others for as long as it likes.
std::optional<SpareableConnection> Connection::spareable()
{
    const std::lock_guard lock(m_mutex);
    const std::shared_ptr<pt::Peer> peer = m_peer.lock();
    if (!m_isAlive || !peer || m_isCutOff) {
        return std::nullopt;
    }
    const std::optional<TimePoint> stalledSince = stalledSinceLocked(peer->fd());
    const bool isBusy = !m_order.owed().empty() || m_writer.hasPending() || unacknowledged(peer->fd()) > 0;
    if (isBusy && !stalledSince) {
        return std::nullopt;
    }
    return SpareableConnection{!m_partSince && !isBusy, stalledSince.value_or(m_lastActive), [weak = weak_from_this()] {
                                   if (const auto it = weak.lock()) {
                                       it->spare();
                                   }
                               }};
}

void Connection::spare()
{
    const std::lock_guard lock(m_mutex);
    const std::shared_ptr<pt::Peer> peer = m_peer.lock();
    if (!m_isAlive || !peer || m_isCutOff) {
        return;
    }
    if (stalledSinceLocked(peer->fd())) {
        cutOffLocked(peer->fd());
    } else if (m_order.owed().empty()) {
        m_isCutOff = m_ignoresInput = true;
        ::shutdown(peer->fd(), SHUT_RDWR);
    } else {
        return;
    }
    ++m_shared.connectionsSpared;
    uncount();
}

// One that is being closed counts no more, so that no further one is closed in its place.
void Connection::uncount()
{
    if (m_isCounted.exchange(false)) {
        m_shared.intake->removeConnection(&m_shared);
    }
}

bool Connection::hasUndelivered()
{
    const std::lock_guard lock(m_mutex);
    const std::shared_ptr<pt::Peer> peer = m_peer.lock();
    if (!m_isAlive || !peer || m_isCutOff) {
        return false;
    }
    return m_heldBytes > 0 || m_order.nextToPassOn() || unacknowledged(peer->fd()) > 0;
}

void Connection::abandonAnswers()
{
    const std::lock_guard lock(m_mutex);
    for (const SlotPtr &it : m_leaving) {
        endLocked(*it, AnswerCut::HostStopped);
    }
    endOwedLocked(AnswerCut::HostStopped);
}

// Without a reset, the kernel would keep its part of the answer for minutes.
void Connection::cutOffLocked(int socket)
{
    m_isCutOff = true;
    m_ignoresInput = true;
    m_writer.drop();
    for (const SlotPtr &it : m_order.owed()) {
        std::string().swap(it->unsent);
    }
    countHeldLocked();
    ++m_shared.slowReadersCutOff;
    const linger reset{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::shutdown(socket, SHUT_RDWR);
}

} // namespace pepperlug
