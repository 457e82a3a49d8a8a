//===- StrictReader.cpp - Messages by the letter of RFC 9112 --------------===//
#include "StrictReader.h"

#include <regex>

namespace pepperlug::test
{

namespace
{

const std::string Token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
const std::string Value = "[\\t\\x20-\\x7e\\x80-\\xff]*";

/// Bytes of which the front has been read.
struct Cursor {
    const std::string &bytes;
    std::size_t at = 0;

    /// Takes a line that ends with CR LF; nothing if there is none.
    std::optional<std::string> line()
    {
        const std::size_t end = bytes.find("\r\n", at);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string text = bytes.substr(at, end - at);
        at = end + 2;
        return text;
    }

    std::optional<std::string> take(std::uint64_t size)
    {
        if (size > bytes.size() - at) {
            return std::nullopt;
        }
        at += size;
        return bytes.substr(at - size, size);
    }
};

std::optional<std::vector<HeaderField>> readFields(Cursor &cursor)
{
    static const std::regex Field("(" + Token + "):[ \\t]*(" + Value + ")");
    std::vector<HeaderField> fields;
    for (auto line = cursor.line(); line; line = cursor.line()) {
        if (line->empty()) {
            return fields;
        }
        std::smatch found;
        if (!std::regex_match(*line, found, Field)) {
            return std::nullopt;
        }
        const std::string value = found[2];
        fields.push_back({found[1], value.substr(0, value.find_last_not_of(" \t") + 1)});
    }
    return std::nullopt;
}

std::optional<std::string> readChunks(Cursor &cursor)
{
    static const std::string Quoted =
        "\"(?:[\\t \\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]|\\\\[\\t\\x20-\\x7e\\x80-\\xff])*\"";
    static const std::regex Size("([0-9A-Fa-f]{1,40})(?:[ \\t]*;[ \\t]*" + Token + "(?:[ \\t]*=[ \\t]*(?:" + Token + "|"
                                 + Quoted + "))?)*");
    std::string body;
    for (auto line = cursor.line(); line; line = cursor.line()) {
        std::smatch found;
        if (!std::regex_match(*line, found, Size)) {
            return std::nullopt;
        }
        const std::string digits =
            found[1].str().substr(std::min(found[1].str().find_first_not_of('0'), found[1].str().size()));
        if (digits.empty()) {
            return readFields(cursor) ? std::optional(body) : std::nullopt;
        }
        const auto part = digits.size() > 8 ? std::nullopt : cursor.take(std::stoull(digits, nullptr, 16));
        if (!part || cursor.take(2) != "\r\n") {
            return std::nullopt;
        }
        body += *part;
    }
    return std::nullopt;
}

std::vector<std::string> valuesOf(const std::vector<HeaderField> &fields, std::string_view name)
{
    std::vector<std::string> values;
    for (const HeaderField &it : fields) {
        if (sameName(it.name, name)) {
            values.push_back(it.value);
        }
    }
    return values;
}

/// Nothing where the framing is faulty; `endsWithBytes`: a body without framing is the rest.
std::optional<std::string> readBody(Cursor &cursor, const std::vector<HeaderField> &fields, bool endsWithBytes)
{
    static const std::regex Digits("[0-9]{1,18}");
    const std::vector<std::string> codings = valuesOf(fields, "transfer-encoding");
    const std::vector<std::string> lengths = valuesOf(fields, "content-length");
    if (!codings.empty()) {
        const bool isChunked = codings.size() == 1 && lengths.empty() && sameName(codings.front(), "chunked");
        return isChunked ? readChunks(cursor) : std::nullopt;
    }
    if (lengths.empty()) {
        return endsWithBytes ? cursor.take(cursor.bytes.size() - cursor.at) : std::optional<std::string>("");
    }
    const bool isOne =
        std::all_of(lengths.begin(), lengths.end(), [&](const std::string &it) { return it == lengths[0]; });
    return isOne && std::regex_match(lengths[0], Digits) ? cursor.take(std::stoull(lengths[0])) : std::nullopt;
}

} // namespace

std::vector<ReadMessage> readRequestsStrictly(const std::string &bytes)
{
    static const std::regex RequestLine("(" + Token + ") (/[\\x21-\\x7e\\x80-\\xff]*) HTTP/1\\.([01])");
    std::vector<ReadMessage> messages;
    Cursor cursor{bytes};
    while (cursor.at < bytes.size()) {
        std::optional<std::string> line = cursor.line();
        while (line && line->empty()) {
            line = cursor.line();
        }
        std::smatch found;
        if (!line || !std::regex_match(*line, found, RequestLine)) {
            break;
        }
        const auto fields = readFields(cursor);
        const bool isOld = found[3] == "0";
        if (!fields || valuesOf(*fields, "host").size() > 1 || (!isOld && valuesOf(*fields, "host").empty())
            || (isOld && !valuesOf(*fields, "transfer-encoding").empty())) {
            break;
        }
        const auto body = readBody(cursor, *fields, false);
        if (!body) {
            break;
        }
        messages.push_back({found[1].str() + " " + found[2].str(), *fields, *body});
    }
    return messages;
}

std::vector<ReadMessage> readAnswerStrictly(const std::string &bytes)
{
    static const std::regex StatusLine("HTTP/1\\.([01]) ([1-5][0-9][0-9])(?: " + Value + ")?");
    Cursor cursor{bytes};
    for (auto line = cursor.line(); line; line = cursor.line()) {
        std::smatch found;
        if (!std::regex_match(*line, found, StatusLine)) {
            break;
        }
        const std::string status = found[2];
        const auto fields = readFields(cursor);
        if (!fields || status == "101" || (found[1] == "0" && !valuesOf(*fields, "transfer-encoding").empty())) {
            break;
        }
        if (status.starts_with('1')) {
            continue;
        }
        const bool hasBody = status != "204" && status != "304";
        const auto body = hasBody ? readBody(cursor, *fields, true) : std::optional<std::string>("");
        return body ? std::vector<ReadMessage>{{status, *fields, *body}} : std::vector<ReadMessage>{};
    }
    return {};
}

} // namespace pepperlug::test
