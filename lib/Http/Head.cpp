//===- Head.cpp - Strict heads in, whole heads out ------------------------===//
#include "Head.h"

#include "FieldSyntax.h"

#include <pistache/http.h>

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::array<std::string_view, 7> Methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

std::string_view nextLine(std::string_view &rest)
{
    const std::size_t end = rest.find("\r\n");
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 2);
    return line;
}

void readRequestLine(std::string_view line, RequestHead &head)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        throw HeadFault{400, "the request line is not METHOD TARGET VERSION"};
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        throw HeadFault{505, "the version is neither HTTP/1.1 nor HTTP/1.0"};
    }
    if (!isToken(method)) {
        throw HeadFault{400, "the method is not a token"};
    }
    if (std::find(Methods.begin(), Methods.end(), method) == Methods.end()) {
        throw HeadFault{501, "the method is not supported"};
    }
    const bool isClean = std::none_of(target.begin(), target.end(),
                                      [](char c) { return static_cast<unsigned char>(c) <= 0x20 || c == 0x7f; });
    if (target.empty() || target.front() != '/' || !isClean) {
        throw HeadFault{400, "the target is not a path"};
    }
    head.method = method;
    head.resource = target;
    head.keepAlive = version == "HTTP/1.1";
}

void applyField(const HeaderField &field, RequestHead &head, std::optional<std::size_t> &length, unsigned &hosts)
{
    if (sameName(field.name, "content-length")) {
        const std::optional<std::uint64_t> value = readLength(field.value);
        if (!value) {
            throw HeadFault{400, "Content-Length is not a whole number"};
        }
        if (length && length != value) {
            throw HeadFault{400, "Content-Length is given twice with different values"};
        }
        length = value;
    } else if (sameName(field.name, "transfer-encoding")) {
        if (!sameName(field.value, "chunked") || head.isChunked) {
            throw HeadFault{501, "no transfer coding but one \"chunked\" is supported"};
        }
        head.isChunked = true;
    } else if (sameName(field.name, "host")) {
        ++hosts;
    } else if (sameName(field.name, "expect")) {
        if (!sameName(field.value, "100-continue")) {
            throw HeadFault{417, "the expectation is not \"100-continue\""};
        }
        head.expectsContinue = true;
    } else if (sameName(field.name, "connection")) {
        if (sameName(field.value, "close")) {
            head.keepAlive = false;
        } else if (sameName(field.value, "keep-alive")) {
            head.keepAlive = true;
        }
    }
}

} // namespace

RequestHead readHead(std::string_view text)
{
    RequestHead head;
    readRequestLine(nextLine(text), head);
    const bool needsHost = head.keepAlive; // HTTP/1.1
    std::optional<std::size_t> length;
    unsigned hosts = 0;
    while (!text.empty()) {
        const std::string_view line = nextLine(text);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            throw HeadFault{400, "a header line is not NAME: VALUE"};
        }
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!isFieldValue(value)) {
            throw HeadFault{400, "a header value holds a control character"};
        }
        head.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
        applyField(head.headers.back(), head, length, hosts);
    }
    if (length && head.isChunked) {
        throw HeadFault{400, "Content-Length and Transfer-Encoding exclude each other"};
    }
    if (hosts > 1 || (needsHost && hosts == 0)) {
        throw HeadFault{400, "Host must be given once"};
    }
    head.contentLength = length.value_or(0);
    return head;
}

std::string framingHead(const RequestHead &head)
{
    std::string text = "POST / HTTP/1.1\r\n";
    if (head.isChunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else {
        text += "Content-Length: " + std::to_string(head.contentLength) + "\r\n";
    }
    return text + "\r\n";
}

namespace
{

std::string statusLine(unsigned status)
{
    std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
    line += Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status));
    return line + "\r\n";
}

std::string connectionLine(bool keepAlive)
{
    return keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
}

} // namespace

std::string encodeAnswer(const Answer &answer, bool isHead, bool keepAlive)
{
    const bool hasNoBody = answer.status == 204 || answer.status == 304 || answer.status < 200;
    std::string bytes;
    bytes.reserve(256 + answer.body.size());
    bytes += statusLine(answer.status);
    for (const HeaderField &field : answer.headers) {
        const bool isLength = sameName(field.name, "content-length");
        if (isLength && !(isHead && answer.body.empty())) {
            continue;
        }
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!hasNoBody && !(isHead && answer.body.empty())) {
        bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    }
    bytes += connectionLine(keepAlive);
    if (!hasNoBody && !isHead) {
        bytes += answer.body;
    }
    return bytes;
}

std::string encodeHead(const Answer &answer, std::uint64_t length, bool keepAlive)
{
    std::string bytes = statusLine(answer.status);
    for (const HeaderField &field : answer.headers) {
        if (!sameName(field.name, "content-length")) {
            bytes.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
    bytes += "Content-Length: " + std::to_string(length) + "\r\n";
    return bytes + connectionLine(keepAlive);
}

} // namespace pepperlug
