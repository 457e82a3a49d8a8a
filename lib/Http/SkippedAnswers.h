//===- SkippedAnswers.h - Answers that a call reads past ---------*- C++ -*-===//
//
// A surplus answer to an earlier call arrives on its connection in the place of
// the next one, which follows. Bounds how much of such answers a call reads past
// to its own. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "BodyReader.h"

namespace pepperlug
{

class SkippedAnswers
{
public:
    static constexpr unsigned MaxAnswers = 4;
    static constexpr std::uint64_t MaxBytes = 256UL * 1024;

    /// Records the head of a surplus answer. Returns whether the call goes on behind it: the end of its body must be
    /// known, and it must have one, as libcurl does not tell what it has read behind a head without a body.
    bool begin(const BodyFraming &framing)
    {
        const bool hasKnownEnd = framing.kind == BodyFraming::Kind::Chunks
            || (framing.kind == BodyFraming::Kind::Length && framing.length > 0 && framing.length <= MaxBytes);
        m_isWithin = hasKnownEnd && m_count < MaxAnswers;
        m_count += m_isWithin ? 1 : 0;
        return m_isWithin;
    }

    /// Records bytes that arrived behind the head, in whatever form. Returns false if there are too many.
    bool add(std::size_t bytes)
    {
        m_bytes += bytes;
        return m_bytes <= MaxBytes;
    }

    /// Records the end of the answer.
    void end()
    {
        m_isWithin = false;
    }

    bool isWithin() const
    {
        return m_isWithin;
    }

    unsigned count() const
    {
        return m_count;
    }

private:
    unsigned m_count = 0;
    std::uint64_t m_bytes = 0;
    bool m_isWithin = false;
};

} // namespace pepperlug
