//===- RequestReader.h - Requests out of a connection's bytes ----*- C++ -*-===//
//
// Takes the bytes of a connection and gives whole requests, and asks for room
// before it holds what has arrived.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "MessageReader.h"
#include "RequestHead.h"

namespace pepperlug
{

/// A request that has arrived whole, with the room that it takes.
struct WholeRequest {
    HttpRequest request;
    bool keepsAlive = true; ///< as its caller wants
    IntakeShare share;
};

/// Its caller waits for leave to send the body.
struct AwaitedBody {
};

/// There is no room for the request.
struct NoRoom {
};

class RequestReader
{
public:
    using Event = std::variant<WholeRequest, AwaitedBody, NoRoom, MessageFault>;

    /// `onGivenUp`: see Intake::begin().
    RequestReader(const HttpLimits &limits, Intake &intake, const Clock &clock, std::function<void()> onGivenUp);

    /// Adds bytes that stay where they are until next() has returned nothing.
    void add(std::string_view bytes);
    /// Returns what comes next; nothing if more bytes are needed, or after a fault.
    std::optional<Event> next();
    /// Returns true if no byte of a request is waiting for the rest of it.
    bool isBetweenRequests() const;
    /// Forgets all bytes and reads no further.
    void stop();

private:
    using HeadPtr = std::unique_ptr<RequestHead>;

    std::optional<Event> take(HeadPtr head);
    std::optional<Event> take(const BodyPart &part);
    std::optional<Event> take(const TrailerPart &part);
    std::optional<Event> take(const MessageEnd &end);
    std::optional<Event> take(const MessageFault &fault);
    std::optional<Event> holdUnread();
    bool hold(std::uint64_t bytes);
    Event refuse();

    Intake &m_intake;
    const Clock &m_clock;
    std::function<void()> m_onGivenUp;
    MessageReader<RequestHead> m_reader;
    IntakeShare m_share; ///< of the request that is being read
    HeadPtr m_head; ///< of the request whose body comes
    std::uint64_t m_headBytes = 0; ///< that it holds
};

} // namespace pepperlug
