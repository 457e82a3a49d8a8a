//===- MessageReader.h - Bytes in, messages out ------------------*- C++ -*-===//
//
// Reads the messages of one connection, requests or answers, from bytes that may
// be split anywhere. What it tells does not depend on how they were split. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "BodyReader.h"

#include <variant>

namespace pepperlug
{

/// Reads the lines of a head, each with its end.
template <typename T>
concept MessageHead = requires(T head, std::string_view line)
{
    head.addLine(line);
    head.hasBegun(); ///< false while only lines have come that are passed over
    head.isWhole();
    head.fault(); ///< nothing while the head is sound
    head.framing();
    T::MayFollowAnother; ///< whether the connection may carry another message behind this one
};

/// Valid until more bytes are added.
struct BodyPart {
    std::string_view bytes;
};

/// Trailers are read and dropped.
struct TrailerPart {
    std::uint64_t bytes = 0; ///< since the last one
};

struct MessageEnd {
};

template <MessageHead Head>
class MessageReader
{
public:
    using Event = std::variant<std::unique_ptr<Head>, BodyPart, TrailerPart, MessageEnd, MessageFault>;

    /// `hasNoBody`: the answer to HEAD, whatever its head tells.
    explicit MessageReader(const MessageBounds &bounds, bool hasNoBody = false)
        : m_bounds(bounds)
        , m_hasNoBody(hasNoBody)
    {
    }

    /// Adds bytes that stay where they are until next() has returned nothing.
    void add(std::string_view bytes)
    {
        if (unread().empty()) {
            forgetBuffer();
            m_added = bytes;
        } else {
            m_buf.erase(0, m_at).append(bytes);
        }
        m_at = 0;
    }

    /// Returns what comes next in the bytes added so far; nothing if more are needed, or after a fault.
    std::optional<Event> next()
    {
        std::optional<Event> event = nextIn(m_state);
        if (!event && !m_added.empty()) {
            m_buf = unread();
            m_added = {};
            m_at = 0;
        }
        return event;
    }

    /// Returns the end or the fault of a message when the connection ends; nothing between messages.
    std::optional<Event> finish()
    {
        if (m_state == State::Stopped || isBetweenMessages()) {
            return std::nullopt;
        }
        const bool isWhole = m_state == State::AtEnd || (m_state == State::InBody && m_body->endsWithConnection());
        if (!isWhole) {
            return fail({400, "the connection ended within the message", {}});
        }
        endMessage();
        return MessageEnd{};
    }

    /// Returns true if no byte of a message is waiting for the rest of it.
    bool isBetweenMessages() const
    {
        return m_state == State::InHead && !(m_head && m_head->hasBegun()) && unread().empty();
    }

    /// Returns the number of bytes that are not part of what was told so far.
    std::size_t unreadBytes() const
    {
        return unread().size();
    }

    /// Returns these bytes, and reads no further.
    std::string takeUnread()
    {
        std::string bytes(unread());
        stop();
        return bytes;
    }

    /// Returns the memory that is taken by what has not been told.
    std::uint64_t heldBytes() const
    {
        std::uint64_t bytes = unread().empty() ? 0 : m_buf.capacity();
        if constexpr (requires { m_head->heldBytes(); }) {
            bytes += m_head ? m_head->heldBytes() : 0;
        }
        return bytes;
    }

    /// Forgets all bytes and reads no further.
    void stop()
    {
        m_state = State::Stopped;
        forgetBuffer();
        m_added = {};
        m_at = 0;
        m_head.reset();
        m_body.reset();
    }

private:
    enum class State : std::uint8_t {
        InHead,
        InBody,
        AtEnd, ///< all but the end has been told
        Stopped,
    };

    // Neither clearing nor assigning gives the memory back.
    void forgetBuffer()
    {
        std::string().swap(m_buf);
    }

    std::string_view unread() const
    {
        return (m_added.empty() ? std::string_view(m_buf) : m_added).substr(m_at);
    }

    std::optional<Event> nextIn(State state)
    {
        switch (state) {
        case State::InHead:
            return nextInHead();
        case State::InBody:
            return nextInBody();
        case State::AtEnd:
            endMessage();
            return MessageEnd{};
        case State::Stopped:
            break;
        }
        return std::nullopt;
    }

    std::optional<Event> nextInHead()
    {
        if (!m_head && !unread().empty()) {
            m_head = std::make_unique<Head>();
        }
        while (m_head && !m_head->isWhole()) {
            const std::size_t end = unread().find('\n', m_searchedBytes);
            const std::string_view line = unread().substr(0, end == std::string_view::npos ? end : end + 1);
            if (isPastBound(line)) {
                return fail({431, "the head is longer than " + std::to_string(m_bounds.headBytes) + " bytes", {}});
            }
            m_searchedBytes = end == std::string_view::npos ? line.size() : 0;
            if (end == std::string_view::npos) {
                return std::nullopt;
            }
            m_at += line.size();
            m_head->addLine(line);
            m_headBytes = m_head->hasBegun() ? m_headBytes + line.size() : 0;
            m_skippedBytes = m_head->hasBegun() ? 0 : m_skippedBytes + line.size();
            if (m_skippedBytes > m_bounds.headBytes) {
                return fail({400, "more than " + std::to_string(m_bounds.headBytes) + " bytes of empty lines", {}});
            }
            if (auto fault = m_head->fault()) {
                return fail(std::move(*fault));
            }
        }
        return m_head ? std::optional(beginBody()) : std::nullopt;
    }

    // The ends of the last lines don't count, and are known only once they are whole.
    bool isPastBound(std::string_view line) const
    {
        const std::size_t length = line.find_last_not_of("\r\n") + 1;
        return length > 0 && m_headBytes + length > m_bounds.headBytes;
    }

    Event beginBody()
    {
        const BodyFraming framing = m_hasNoBody ? BodyFraming{} : m_head->framing();
        if (framing.kind == BodyFraming::Kind::Length && framing.length > m_bounds.bodyBytes) {
            return fail({413, "the body is longer than " + std::to_string(m_bounds.bodyBytes) + " bytes", {}});
        }
        const bool hasBody = framing.kind != BodyFraming::Kind::None
            && !(framing.kind == BodyFraming::Kind::Length && framing.length == 0);
        if (hasBody) {
            m_body = std::make_unique<BodyReader>(framing, m_bounds);
        }
        m_state = hasBody ? State::InBody : State::AtEnd;
        m_headBytes = 0;
        return std::move(m_head);
    }

    std::optional<Event> nextInBody()
    {
        for (;;) {
            BodyReader::Step step = m_body->read(unread());
            m_at += step.readBytes;
            if (step.fault) {
                return fail(std::move(*step.fault));
            }
            if (const std::uint64_t bytes = m_body->trailerBytes(); bytes > m_trailerBytes) {
                return TrailerPart{bytes - std::exchange(m_trailerBytes, bytes)};
            }
            if (!step.part.empty()) {
                return BodyPart{step.part};
            }
            if (step.isWhole) {
                endMessage();
                return MessageEnd{};
            }
            if (step.needsMore) {
                return std::nullopt;
            }
        }
    }

    void endMessage()
    {
        m_body.reset();
        m_trailerBytes = 0;
        m_state = Head::MayFollowAnother ? State::InHead : State::Stopped;
    }

    Event fail(MessageFault fault)
    {
        stop();
        return fault;
    }

    MessageBounds m_bounds;
    std::string m_buf; ///< what earlier calls of next() have left
    std::string_view m_added; ///< in place of m_buf: bytes that were not copied
    std::size_t m_at = 0; ///< of the first byte there that is unread
    std::size_t m_searchedBytes = 0; ///< unread ones that hold no end of a line
    std::uint64_t m_headBytes = 0; ///< of lines that were read
    std::uint64_t m_skippedBytes = 0; ///< of lines before the head
    std::uint64_t m_trailerBytes = 0; ///< that were told
    std::unique_ptr<Head> m_head; ///< only while a head comes
    std::unique_ptr<BodyReader> m_body; ///< only while a body comes
    State m_state = State::InHead;
    bool m_hasNoBody;
};

} // namespace pepperlug
