//===- BodyReader.cpp - Where the body of a message ends ------------------===//
#include "BodyReader.h"

#include "FieldSyntax.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>

namespace pepperlug
{

namespace
{

namespace bh = boost::beast::http;
using BeastError = boost::beast::error_code;
using BeastText = boost::beast::string_view;

constexpr std::string_view LineEnd = "\r\n";

// Whether the head is of a request or of an answer makes no difference to the chunks.
constexpr std::string_view ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Tells by its size whether a line that the parser has read is that of the last chunk.
bool isLastChunk(std::string_view line)
{
    line.remove_prefix(line.starts_with(LineEnd) ? LineEnd.size() : 0);
    const std::string_view size = line.substr(0, line.find_first_not_of("0123456789abcdefABCDEF"));
    return size.find_first_not_of('0') == std::string_view::npos;
}

MessageFault tooLong(std::uint64_t maxBytes)
{
    return {413, "the body is longer than " + std::to_string(maxBytes) + " bytes", {}};
}

MessageFault garbled(const BeastError &ec)
{
    return {400, "the body is garbled: " + ec.message(), {}};
}

} // namespace

class BodyReader::Parser final : public bh::basic_parser<false>
{
public:
    explicit Parser(std::uint64_t maxBytes)
    {
        body_limit(maxBytes);
        BeastError ec;
        put(boost::asio::buffer(ChunkedHead.data(), ChunkedHead.size()), ec);
        assert(!ec);
    }

    std::string_view part; ///< that the last put() has found
    std::uint64_t leftOfChunk = 0;

private:
    void on_request_impl(bh::verb, BeastText, BeastText, int, BeastError &) override
    {
    }
    void on_response_impl(int, BeastText, int, BeastError &) override
    {
    }
    void on_field_impl(bh::field, BeastText, BeastText, BeastError &) override
    {
    }
    void on_header_impl(BeastError &) override
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, BeastError &) override
    {
    }
    void on_finish_impl(BeastError &) override
    {
    }

    std::size_t on_body_impl(BeastText, BeastError &) override
    {
        return 0; // of bodies without chunks
    }

    void on_chunk_header_impl(std::uint64_t size, BeastText, BeastError &) override
    {
        leftOfChunk = size;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, BeastText body, BeastError &) override
    {
        part = {body.data(), body.size()};
        leftOfChunk -= body.size();
        return body.size();
    }
};

BodyReader::BodyReader(const BodyFraming &framing, const MessageBounds &bounds)
    : m_bounds(bounds)
    , m_kind(framing.kind)
    , m_left(framing.kind == BodyFraming::Kind::Length ? framing.length : bounds.bodyBytes)
    , m_parser(framing.kind == BodyFraming::Kind::Chunks ? std::make_unique<Parser>(bounds.bodyBytes) : nullptr)
{
}

BodyReader::~BodyReader() = default;

BodyReader::Step BodyReader::read(std::string_view bytes)
{
    if (isWhole() || bytes.empty()) {
        Step step;
        step.isWhole = isWhole();
        step.needsMore = !step.isWhole;
        return step;
    }
    if (!m_parser) {
        return readUnframed(bytes);
    }
    return m_parser->leftOfChunk > 0 ? put(bytes) : readLine(bytes);
}

BodyReader::Step BodyReader::readUnframed(std::string_view bytes)
{
    Step step;
    if (m_left == 0) {
        step.fault = tooLong(m_bounds.bodyBytes);
        return step;
    }
    step.part = bytes.substr(0, m_left);
    step.readBytes = step.part.size();
    m_left -= step.part.size();
    step.isWhole = isWhole();
    return step;
}

// The parser is handed whole lines, since it does not stand being asked again with little of one. The line end behind
// the data of a chunk is part of the next line.
BodyReader::Step BodyReader::readLine(std::string_view bytes)
{
    const bool isBehindData = m_bodyBytes > 0 && m_lastChunk.empty();
    const std::size_t from = std::max(m_searchedBytes, isBehindData ? LineEnd.size() : 0);
    const std::size_t end = bytes.find('\n', from);
    const bool isWhole = end != std::string_view::npos;
    const std::string_view line = bytes.substr(0, isWhole ? end + 1 : end);
    Step step;
    step.fault = faultOfFraming(line.size());
    if (!step.fault && isWhole && !line.ends_with(LineEnd)) {
        step.fault = garbled(bh::make_error_code(bh::error::bad_line_ending));
    }
    step.needsMore = !isWhole;
    if (step.fault || !isWhole) {
        m_searchedBytes = bytes.size();
        return step;
    }
    m_searchedBytes = 0;
    step = m_lastChunk.empty() ? readChunkLine(line) : readTrailer(line);
    step.readBytes = line.size();
    m_framingBytes += line.size();
    return step;
}

BodyReader::Step BodyReader::readChunkLine(std::string_view line)
{
    Step step = put(line);
    if (!step.needsMore) {
        return step;
    }
    // The parser waits for the trailers behind the last chunk, or for the end of an open quote.
    if (isLastChunk(line)) {
        m_lastChunk = line;
        step.needsMore = false;
    } else {
        step.fault = garbled(bh::make_error_code(bh::error::bad_chunk_extension));
    }
    return step;
}

// Trailers are dropped unread, so that they can say nothing that a head may say (RFC 9110, 6.5.1).
BodyReader::Step BodyReader::readTrailer(std::string_view line)
{
    if (line == LineEnd) {
        Step step = put(m_lastChunk.append(LineEnd));
        if (step.needsMore) {
            step.fault = garbled(bh::make_error_code(bh::error::bad_chunk_extension));
        }
        return step;
    }
    m_trailerBytes += line.size();
    Step step;
    if (!isFieldValue(line.substr(0, line.size() - LineEnd.size()))) {
        step.fault = MessageFault{400, "a trailer holds a control character", {}};
    }
    return step;
}

BodyReader::Step BodyReader::put(std::string_view bytes)
{
    BeastError ec;
    m_parser->part = {};
    Step step;
    step.readBytes = m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    step.part = m_parser->part;
    step.isWhole = m_parser->is_done();
    step.needsMore = ec == bh::error::need_more;
    m_bodyBytes += step.part.size();
    if (ec == bh::error::body_limit) {
        step.fault = tooLong(m_bounds.bodyBytes);
    } else if (ec && !step.needsMore) {
        step.fault = garbled(ec);
    }
    return step;
}

std::optional<MessageFault> BodyReader::faultOfFraming(std::size_t lineBytes) const
{
    if (m_framingBytes + lineBytes <= m_bounds.framingBytes + m_bodyBytes * FramingPerByte) {
        return std::nullopt;
    }
    return MessageFault{413, "sizes, extensions and trailers of the body are too long", {}};
}

bool BodyReader::isWhole() const
{
    return m_parser ? m_parser->is_done() : m_kind == BodyFraming::Kind::Length && m_left == 0;
}

bool BodyReader::endsWithConnection() const
{
    return m_kind == BodyFraming::Kind::ConnectionEnd || isWhole();
}

std::uint64_t BodyReader::trailerBytes() const
{
    return m_trailerBytes;
}

} // namespace pepperlug
