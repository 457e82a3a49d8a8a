//===- AnswerBudget.h - Bounds of what arrives in an answer ------*- C++ -*-===//
//
// Counts all bytes of one answer in whatever form they arrive, and tells when
// there are more of a form than a sound target sends. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug
{

class AnswerBudget
{
public:
    /// `unsizedBytes`: longest body of an answer that does not announce its length.
    explicit AnswerBudget(std::size_t unsizedBytes = 0);

    /// Adds bytes of a head, interim ones included.
    void addHead(std::size_t bytes);
    /// Adds bytes that arrived after the head: the payload, trailers and the framing of chunks.
    void addBody(std::size_t bytes);
    /// Adds bytes of the payload, which addBody() has counted as well.
    void addPayload(std::size_t bytes);
    /// Adds bytes of trailers, which addBody() has counted as well.
    void addTrailer(std::size_t bytes);
    /// Records that the head announces the length of the body, by which the library ends it.
    void setSized();
    /// Records that the answer is more than its receiver can hold, although it is within its own bounds.
    void setUnaffordable();

    /// Returns the form of which there is too much; nothing if there is none.
    std::optional<AnswerPart> exceeded() const;
    /// Returns the longest body of an answer that does not announce its length.
    std::size_t unsizedBound() const
    {
        return m_unsizedBytes;
    }
    /// Returns the number of bytes that arrived after the head.
    std::uint64_t bodyBytes() const
    {
        return m_body;
    }
    /// Returns the number of bytes received.
    std::uint64_t received() const;
    /// Returns the payload that is held of a body of unknown length.
    std::uint64_t unsizedPayload() const;

private:
    std::size_t m_unsizedBytes;
    std::uint64_t m_head = 0;
    std::uint64_t m_body = 0;
    std::uint64_t m_payload = 0;
    std::uint64_t m_trailers = 0;
    bool m_isSized = false;
    bool m_isUnaffordable = false;
};

} // namespace pepperlug
