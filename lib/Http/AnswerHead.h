//===- AnswerHead.h - The check of an answer's head --------------*- C++ -*-===//
//
// A proxy must neither forward a head that is none in HTTP nor guess where its
// body ends (RFC 9112, 6.3), so heads of answers are checked and kept here. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "BodyReader.h"

namespace pepperlug
{

class AnswerHead
{
public:
    /// What follows an answer belongs to no request.
    static constexpr bool MayFollowAnother = false;

    /// Adds a line, its end included. An empty one ends the head; what follows an interim head is another one.
    void addLine(std::string_view line);

    /// Returns true once a line has come.
    bool hasBegun() const
    {
        return m_hasBegun;
    }

    /// Returns what is wrong with the head; nothing if it is sound so far.
    std::optional<AnswerDefect> defect() const
    {
        return m_defect;
    }

    /// Whether the head of the final answer is whole.
    bool isWhole() const
    {
        return m_isWhole;
    }

    /// Returns the status and the header fields of the last head.
    Answer &answer()
    {
        return m_answer;
    }

    std::optional<MessageFault> fault() const;
    /// Returns how the body ends, of an answer that has one by its method.
    BodyFraming framing() const;
    /// Returns the length of the body that the head announces; nothing if the body is in chunks or ends with the
    /// connection. A transfer coding overrides a length (RFC 9112, 6.3).
    std::optional<std::uint64_t> bodyLength() const
    {
        return m_isChunked ? std::nullopt : m_length;
    }

private:
    void addStatusLine(std::string_view line);
    void addField(std::string_view line);
    void addLengths(std::string_view list);
    void endHead();
    void setDefect(AnswerDefect defect);

    Answer m_answer;
    std::optional<std::uint64_t> m_length;
    std::optional<AnswerDefect> m_defect;
    bool m_hasBegun = false;
    bool m_isFirstLine = true;
    bool m_isOldVersion = false; ///< HTTP/1.0, which knows no transfer codings
    bool m_isChunked = false;
    bool m_isWhole = false;
};

} // namespace pepperlug
