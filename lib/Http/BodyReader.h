//===- BodyReader.h - Where the body of a message ends -----------*- C++ -*-===//
//
// Counts lengths, and takes chunks apart with the parser of Boost.Beast, which
// gets a head of our own: heads have one reader.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug
{

/// How a message tells the end of its body (RFC 9112, 6.3).
struct BodyFraming {
    enum class Kind : std::uint8_t {
        None,
        Length,
        Chunks,
        ConnectionEnd,
    };
    Kind kind = Kind::None;
    std::uint64_t length = 0; ///< Length: in bytes
};

/// What one message may take.
struct MessageBounds {
    std::uint64_t headBytes = 0; ///< of its heads, without the end of the last line
    std::uint64_t bodyBytes = 0;
    /// Sizes, extensions and trailers of chunks, besides FramingPerByte for each byte of the body.
    std::uint64_t framingBytes = 0;
};

/// A chunk of one byte has five bytes of framing, and twelve where its size is padded to eight digits.
constexpr std::uint64_t FramingPerByte = 16;

/// Why a message is not taken.
struct MessageFault {
    unsigned status = 400; ///< to answer with
    std::string reason;
    std::optional<AnswerDefect> defect; ///< of an answer
};

class BodyReader
{
public:
    /// What came of a call of read().
    struct Step {
        std::size_t readBytes = 0;
        std::string_view part; ///< of the body, within what was read
        bool isWhole = false;
        bool needsMore = false;
        std::optional<MessageFault> fault;
    };

    BodyReader(const BodyFraming &framing, const MessageBounds &bounds);
    ~BodyReader();
    BodyReader(const BodyReader &) = delete;
    BodyReader &operator=(const BodyReader &) = delete;

    /// Reads one part or one line at most. `bytes` starts with what earlier calls have left unread.
    Step read(std::string_view bytes);
    /// Returns true if the body is whole when the connection ends.
    bool endsWithConnection() const;
    /// Returns the bytes of trailers so far, whether or not these are whole.
    std::uint64_t trailerBytes() const;

private:
    class Parser;

    bool isWhole() const;
    Step readUnframed(std::string_view bytes);
    Step put(std::string_view bytes);
    Step readChunkLine(std::string_view line);
    Step readTrailer(std::string_view line);
    Step readLine(std::string_view bytes);
    std::optional<MessageFault> faultOfFraming(std::size_t lineBytes) const;

    MessageBounds m_bounds;
    BodyFraming::Kind m_kind;
    std::uint64_t m_left; ///< of a body without chunks, as far as it may go
    std::unique_ptr<Parser> m_parser; ///< of chunks
    std::string m_lastChunk; ///< its line, once it has come
    std::size_t m_searchedBytes = 0; ///< unread ones that hold no end of a line
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_framingBytes = 0;
    std::uint64_t m_trailerBytes = 0;
};

} // namespace pepperlug
