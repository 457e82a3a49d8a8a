//===- AnswerEncoder.cpp - Answers as bytes -------------------------------===//
#include "AnswerEncoder.h"

#include <pistache/http.h>

namespace pepperlug
{

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
