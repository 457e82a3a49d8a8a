//===- AnswerBudget.cpp - Bounds of what arrives in an answer -------------===//
#include "AnswerBudget.h"

namespace pepperlug
{

namespace
{

constexpr std::uint64_t MaxHeadBytes = 64UL * 1024; ///< of all heads of an answer
constexpr std::uint64_t MaxTrailerBytes = 16UL * 1024;
/// Sizes and extensions of chunks: for each byte of payload, and besides. A chunk of one byte has five bytes of
/// framing, and twelve where its size is padded to eight digits.
constexpr std::uint64_t FramingPerByte = 16;
constexpr std::uint64_t FramingBesides = 64UL * 1024;

} // namespace

const char *nameOf(AnswerPart part)
{
    switch (part) {
    case AnswerPart::Head:
        return "head";
    case AnswerPart::Body:
        return "body";
    case AnswerPart::Framing:
        return "framing";
    case AnswerPart::Trailers:
        return "trailers";
    }
    return "body";
}

AnswerBudget::AnswerBudget(std::size_t unsizedBytes)
    : m_unsizedBytes(unsizedBytes)
{
}

void AnswerBudget::addHead(std::size_t bytes)
{
    m_head += bytes;
}

void AnswerBudget::addBody(std::size_t bytes)
{
    m_body += bytes;
}

void AnswerBudget::addPayload(std::size_t bytes)
{
    m_payload += bytes;
}

void AnswerBudget::addTrailer(std::size_t bytes)
{
    m_trailers += bytes;
}

void AnswerBudget::setSized()
{
    m_isSized = true;
}

void AnswerBudget::setUnaffordable()
{
    m_isUnaffordable = true;
}

std::optional<AnswerPart> AnswerBudget::exceeded() const
{
    if (m_head > MaxHeadBytes) {
        return AnswerPart::Head;
    }
    if (m_trailers > MaxTrailerBytes) {
        return AnswerPart::Trailers;
    }
    if (m_body > m_payload + m_trailers + m_payload * FramingPerByte + FramingBesides) {
        return AnswerPart::Framing;
    }
    return m_isUnaffordable || unsizedPayload() > m_unsizedBytes ? std::optional(AnswerPart::Body) : std::nullopt;
}

std::uint64_t AnswerBudget::received() const
{
    return m_head + m_body;
}

std::uint64_t AnswerBudget::unsizedPayload() const
{
    return m_isSized ? 0 : m_payload;
}

} // namespace pepperlug
