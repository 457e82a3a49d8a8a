//===- RequestHead.h - The check of a request's head -------------*- C++ -*-===//
//
// Callers' heads are read strictly: what two readers could take for different
// requests is refused (RFC 9112, 11.2). Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "BodyReader.h"

namespace pepperlug
{

class RequestHead
{
public:
    static constexpr bool MayFollowAnother = true;

    /// Adds a line, its end included. Empty ones before the first are passed over (RFC 9112, 2.2).
    void addLine(std::string_view line);

    bool hasBegun() const
    {
        return m_hasBegun;
    }

    bool isWhole() const
    {
        return m_isWhole;
    }

    const std::optional<MessageFault> &fault() const
    {
        return m_fault;
    }

    /// Returns how the body ends.
    BodyFraming framing() const;

    /// Returns method, target and header fields.
    HttpRequest &request()
    {
        return m_request;
    }

    /// Returns the memory that the head takes. Short fields take more than their bytes.
    std::uint64_t heldBytes() const
    {
        return m_bytes + m_request.headers.capacity() * sizeof(HeaderField);
    }

    bool keepsAlive() const
    {
        return m_keepsAlive;
    }

    bool expectsContinue() const
    {
        return m_expectsContinue;
    }

private:
    void addRequestLine(std::string_view line);
    void addField(std::string_view line);
    void applyField(const HeaderField &field);
    void applyLength(std::string_view value);
    void endHead();
    void refuse(unsigned status, const char *reason);

    HttpRequest m_request;
    std::optional<std::uint64_t> m_length;
    std::optional<MessageFault> m_fault;
    std::uint64_t m_bytes = 0; ///< of its lines
    unsigned m_hosts = 0; ///< fields of that name
    bool m_hasBegun = false;
    bool m_isWhole = false;
    bool m_isOldVersion = false; ///< HTTP/1.0, which needs no Host and knows no transfer codings
    bool m_keepsAlive = true;
    bool m_isChunked = false;
    bool m_expectsContinue = false;
};

} // namespace pepperlug
