//===- RequestReader.cpp - Requests out of a connection's bytes -----------===//
#include "RequestReader.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

MessageBounds boundsOf(const HttpLimits &limits)
{
    return {.headBytes = limits.headBytes, .bodyBytes = limits.bodyBytes, .framingBytes = limits.headBytes};
}

/// Memory of longer bodies is taken from the kernel page by page as it is used, so it may be there from the start.
constexpr std::uint64_t ReservedFrom = 256UL * 1024;

// Other bodies grow by half of what they have.
std::uint64_t withSpare(std::uint64_t bytes)
{
    return bytes + bytes / 2;
}

} // namespace

RequestReader::RequestReader(const HttpLimits &limits, Intake &intake, const Clock &clock,
                             std::function<void()> onGivenUp)
    : m_intake(intake)
    , m_clock(clock)
    , m_onGivenUp(std::move(onGivenUp))
    , m_reader(boundsOf(limits))
{
}

void RequestReader::add(std::string_view bytes)
{
    m_reader.add(bytes);
}

std::optional<RequestReader::Event> RequestReader::next()
{
    while (auto read = m_reader.next()) {
        auto event = std::visit([this](auto &&it) { return take(std::forward<decltype(it)>(it)); }, std::move(*read));
        if (event) {
            return event;
        }
    }
    return holdUnread();
}

bool RequestReader::isBetweenRequests() const
{
    return m_reader.isBetweenMessages();
}

void RequestReader::stop()
{
    m_reader.stop();
    m_head.reset();
    m_share.release();
}

bool RequestReader::hold(std::uint64_t bytes)
{
    if (!m_share) {
        m_share = m_intake.begin(m_clock.now(), m_onGivenUp);
    }
    return m_share.hold(bytes, m_clock);
}

RequestReader::Event RequestReader::refuse()
{
    stop();
    return NoRoom{};
}

std::optional<RequestReader::Event> RequestReader::holdUnread()
{
    const std::uint64_t inReader = m_reader.heldBytes();
    const bool isHeld = m_head || inReader == 0 || hold(inReader);
    return isHeld ? std::nullopt : std::optional(refuse());
}

// A body that has no room is refused before it is read. What is announced takes no room yet: it may never come.
std::optional<RequestReader::Event> RequestReader::take(HeadPtr head)
{
    m_headBytes = head->heldBytes();
    const BodyFraming framing = head->framing();
    if (!hold(m_headBytes) || !m_share.hasRoomFor(m_headBytes + framing.length, m_clock.now())) {
        return refuse();
    }
    if (framing.length >= ReservedFrom) {
        head->request().body.reserve(framing.length);
    }
    m_head = std::move(head);
    const bool isAwaited =
        m_head->expectsContinue() && framing.kind != BodyFraming::Kind::None && m_reader.unreadBytes() == 0;
    return isAwaited ? std::optional(AwaitedBody{}) : std::nullopt;
}

std::optional<RequestReader::Event> RequestReader::take(const BodyPart &part)
{
    std::string &body = m_head->request().body;
    const std::uint64_t length = m_head->framing().length;
    const std::uint64_t bytes = body.size() + part.bytes.size();
    if (!hold(m_headBytes + (length >= ReservedFrom ? bytes : withSpare(bytes)))) {
        return refuse();
    }
    if (bytes > body.capacity()) {
        body.reserve(withSpare(bytes));
    }
    body.append(part.bytes);
    return std::nullopt;
}

std::optional<RequestReader::Event> RequestReader::take(const TrailerPart &)
{
    return std::nullopt;
}

std::optional<RequestReader::Event> RequestReader::take(const MessageEnd &)
{
    const HeadPtr head = std::move(m_head);
    if (!hold(m_headBytes + head->request().body.size()) || !m_share.setWhole()) {
        return refuse();
    }
    return WholeRequest{std::move(head->request()), head->keepsAlive(), std::move(m_share)};
}

std::optional<RequestReader::Event> RequestReader::take(const MessageFault &fault)
{
    stop();
    return fault;
}

} // namespace pepperlug
