//===- Connection.h - One caller's connection --------------------*- C++ -*-===//
//
// Turns the bytes of a connection into whole, checked requests, and sends the
// answers in the order of the requests.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "AnswerOrder.h"
#include "AnswerWriter.h"
#include "RequestReader.h"
#include "WriteLoop.h"

#include <pistache/peer.h>

namespace pepperlug
{

class Connection;

/// A request and the answer that its connection owes.
struct Slot : OwedAnswer {
    HttpRequest request; ///< until it is passed on
    IntakeShare share; ///< likewise
    TimePoint begunAt{}; ///< when its first byte arrived
    TimePoint arrivedAt{}; ///< when it was whole
    bool keepsAlive = true; ///< as its caller wants
    bool isReplaced = false;
    std::uint64_t startsAt = 0; ///< in the bytes of the connection
    std::uint64_t endsAt = 0; ///< of what was given so far
    std::function<void()> onDeparture;
    std::function<void(const AnswerEnd &)> onEnd;
};
using SlotPtr = std::shared_ptr<Slot>;

/// What all workers share.
struct ServerShared {
    HttpLimits limits;
    const Clock &clock;
    HttpHandler handler;
    std::shared_ptr<Intake> intake;
    std::mutex mutex;
    std::vector<std::weak_ptr<Connection>> connections;
    std::atomic<std::uint64_t> lastConnection = 0;
    std::atomic<bool> closesAfterAnswers = false;
    std::atomic<bool> isStopped = false; ///< no request is handed on any more
    std::atomic<std::uint64_t> heldBytes = 0; ///< of answers that sockets have not taken
    std::atomic<std::uint64_t> slowReadersCutOff = 0;
    std::atomic<std::uint64_t> refusedUnread = 0;
    std::atomic<std::uint64_t> malformedRequests = 0;
    std::atomic<std::uint64_t> refusedNoRoom = 0;
    std::atomic<std::uint64_t> givenUp = 0;
    std::atomic<std::uint64_t> connectionsSpared = 0;
    std::atomic<std::uint64_t> failedHandlings = 0;
    std::atomic<std::uint64_t> droppedWaiting = 0;
    std::string lastFailure{}; ///< of a handler; guarded by the mutex
    WriteLoop writes{}; ///< last, as its thread uses the others
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    static std::shared_ptr<Connection> make(const std::shared_ptr<Pistache::Tcp::Peer> &peer, ServerShared &shared,
                                            std::uint64_t number);

    /// Worker thread: takes bytes and hands on the requests that they complete.
    void input(const char *data, std::size_t size);

    /// Whether the connection goes on after this answer; if not, nothing that follows is read.
    bool keepsAlive(const SlotPtr &slot, bool isWanted);
    void complete(const SlotPtr &slot, std::string bytes, bool closesAfter);
    /// Begins an answer of which `bytesToCome` bytes follow through add().
    void begin(const SlotPtr &slot, std::string bytes, std::uint64_t bytesToCome, bool closesAfter);
    void add(const SlotPtr &slot, std::string_view part);
    /// Whether the next part of an answer may be added: its caller has what was added to it and to those ahead of it,
    /// or memory is not short.
    bool hasRoomForMore(const SlotPtr &slot);
    void abort(const SlotPtr &slot, std::string inPlace, bool closesAfter);
    bool takeBack(const SlotPtr &slot);
    bool setDeparture(const SlotPtr &slot, std::function<void()> handler);
    /// Returns false if nothing of the answer can leave any more.
    bool setEnd(const SlotPtr &slot, std::function<void(const AnswerEnd &)> handler);
    /// Worker thread: the peer has gone.
    void gone();
    void sweep(TimePoint now);
    /// Whether the caller has not yet received all that was answered so far, and may still receive it.
    bool hasUndelivered();
    /// How it may be closed while no request is in progress or waits, or since its caller has read nothing for a while;
    /// nothing otherwise.
    std::optional<SpareableConnection> spareable();
    /// Closes it unless that has changed meanwhile.
    void spare();
    /// Gives up the request that is arriving, now or with the next bytes.
    void giveUp();
    /// Reports all answers that have not left whole as cut, since the process ends.
    void abandonAnswers();

private:
    Connection(const std::shared_ptr<Pistache::Tcp::Peer> &peer, ServerShared &shared, std::uint64_t number);

    bool ignoresInput();
    void read(std::string_view bytes);
    void endIfGivenUp();
    void uncount();
    void take(WholeRequest whole);
    void take(AwaitedBody);
    void take(NoRoom);
    void take(const MessageFault &it);
    const char *refusalLocked();
    void fault(unsigned status, const std::string &reason);
    void answerLastLocked(unsigned status, const std::string &reason);
    void passOn();
    void handle(const HttpExchangePtr &exchange);
    void passOnSoonLocked();
    bool canAnswerLocked() const;
    void sendReadyLocked();
    void endSentLocked();
    void endOwedLocked(AnswerCut cause);
    void endLocked(Slot &slot, std::optional<AnswerCut> cut);
    void sendLocked(const std::string &bytes, bool closesAfter);
    void writePendingLocked(int socket);
    void watchLocked(int socket);
    void onWritable();
    void countHeldLocked();
    std::optional<TimePoint> stalledSinceLocked(int socket);
    void cutOffLocked(int socket);

    std::weak_ptr<Pistache::Tcp::Peer> m_peer;
    std::uint64_t m_number;
    std::uint64_t m_requests = 0; ///< that have arrived whole
    std::string m_ip;
    ServerShared &m_shared;
    std::atomic<bool> m_isCounted = true; ///< among the connections of the process
    std::atomic<bool> m_isGivenUp = false; ///< the request that is arriving
    std::mutex m_readerMutex; ///< guards the reader; taken before the other one
    std::optional<RequestReader> m_reader;

    std::mutex m_mutex; ///< guards what follows
    bool m_isAlive = true;
    bool m_ignoresInput = false; ///< a fault or "close" has been answered
    std::uint64_t m_heldBytes = 0; ///< as last added to those of the server
    bool m_isCutOff = false; ///< closed because the caller does not read
    AnswerWriter m_writer;
    WatchId m_watch{}; ///< of the wait for the socket to take more
    AnswerOrder<Slot> m_order;
    std::deque<SlotPtr> m_leaving; ///< whose last bytes are pending
    TimePoint m_lastActive;
    std::optional<TimePoint> m_partSince; ///< when an unfinished request began
};

} // namespace pepperlug
