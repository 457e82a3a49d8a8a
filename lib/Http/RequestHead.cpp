//===- RequestHead.cpp - The check of a request's head --------------------===//
#include "RequestHead.h"

#include "FieldSyntax.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::array<std::string_view, 7> Methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::string_view LineEnd = "\r\n";

// The client library sends bytes beyond ASCII in another form and leaves out a fragment, neither of which a URI of a
// request may have (RFC 9112, 3.2), so they could not arrive as they were sent.
bool isPath(std::string_view target)
{
    const auto isUnsuitable = [](char c) {
        return c <= ' ' || c > '~' || c == '#';
    };
    return target.starts_with('/') && std::ranges::none_of(target, isUnsuitable);
}

} // namespace

void RequestHead::addLine(std::string_view line)
{
    if (!line.ends_with(LineEnd)) {
        refuse(400, "a line of the head does not end with CR and LF");
        return;
    }
    line.remove_suffix(LineEnd.size());
    m_bytes += line.size();
    if (!m_hasBegun) {
        m_hasBegun = !line.empty();
        if (m_hasBegun) {
            addRequestLine(line);
        }
    } else if (line.empty()) {
        endHead();
    } else {
        addField(line);
    }
}

void RequestHead::addRequestLine(std::string_view line)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        refuse(400, "the request line is not METHOD TARGET VERSION");
        return;
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    m_isOldVersion = version == "HTTP/1.0";
    m_keepsAlive = !m_isOldVersion;
    if (version != "HTTP/1.1" && !m_isOldVersion) {
        refuse(505, "the version is neither HTTP/1.1 nor HTTP/1.0");
    } else if (!isToken(method)) {
        refuse(400, "the method is not a token");
    } else if (std::find(Methods.begin(), Methods.end(), method) == Methods.end()) {
        refuse(501, "the method is not supported");
    } else if (!isPath(target)) {
        refuse(400, "the target is not a path of visible ASCII characters without \"#\"");
    }
    m_request.method = method;
    m_request.resource = target;
}

void RequestHead::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        refuse(400, "a header line is not NAME: VALUE");
        return;
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value)) {
        refuse(400, "a header value holds a control character");
        return;
    }
    m_request.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    applyField(m_request.headers.back());
}

void RequestHead::applyField(const HeaderField &field)
{
    if (sameName(field.name, "content-length")) {
        applyLength(field.value);
    } else if (sameName(field.name, "transfer-encoding")) {
        if (!sameName(field.value, "chunked") || m_isChunked) {
            refuse(501, "no transfer coding but one \"chunked\" is supported");
        }
        m_isChunked = true;
    } else if (sameName(field.name, "host")) {
        ++m_hosts;
    } else if (sameName(field.name, "expect")) {
        m_expectsContinue = sameName(field.value, "100-continue");
        if (!m_expectsContinue) {
            refuse(417, "the expectation is not \"100-continue\"");
        }
    } else if (sameName(field.name, "connection")) {
        const bool closes = sameName(field.value, "close");
        m_keepsAlive = !closes && (m_keepsAlive || sameName(field.value, "keep-alive"));
    }
}

void RequestHead::applyLength(std::string_view value)
{
    const std::optional<std::uint64_t> length = readLength(value);
    if (!length) {
        refuse(400, "Content-Length is not a whole number");
    } else if (m_length.value_or(*length) != *length) {
        refuse(400, "Content-Length is given twice with different values");
    }
    m_length = length;
}

void RequestHead::endHead()
{
    m_isWhole = true;
    if (m_isChunked && m_isOldVersion) {
        refuse(400, "HTTP/1.0 knows no transfer coding");
    } else if (m_isChunked && m_length) {
        refuse(400, "Content-Length and Transfer-Encoding exclude each other");
    } else if (m_hosts > 1 || (!m_isOldVersion && m_hosts == 0)) {
        refuse(400, "Host must be given once");
    }
}

BodyFraming RequestHead::framing() const
{
    if (m_isChunked) {
        return {BodyFraming::Kind::Chunks, 0};
    }
    return {m_length.value_or(0) > 0 ? BodyFraming::Kind::Length : BodyFraming::Kind::None, m_length.value_or(0)};
}

void RequestHead::refuse(unsigned status, const char *reason)
{
    if (!m_fault) {
        m_fault = MessageFault{status, reason, {}};
    }
}

} // namespace pepperlug
