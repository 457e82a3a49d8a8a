//===- Message.cpp - Headers, queries and small answers -------------------===//
#include "pepperlug/Http.h"

#include <algorithm>
#include <cctype>

namespace pepperlug
{

namespace
{

constexpr std::array<std::string_view, 10> HopByHop{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

bool isHopByHop(std::string_view name)
{
    return std::any_of(HopByHop.begin(), HopByHop.end(), [&](std::string_view it) { return sameName(it, name); });
}

// Names that Connection lists concern this connection only.
bool isListed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        if (sameName(item, name)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isEscape =
            text[n] == '%' && n + 2 < text.size() && hexValue(text[n + 1]) >= 0 && hexValue(text[n + 2]) >= 0;
        if (isEscape) {
            out.push_back(static_cast<char>(hexValue(text[n + 1]) * 16 + hexValue(text[n + 2])));
            n += 2;
        } else {
            out.push_back(text[n]);
        }
    }
    return out;
}

} // namespace

bool sameName(std::string_view lhs, std::string_view rhs)
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    });
}

std::optional<std::string> HttpRequest::header(std::string_view name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const HeaderField &field) { return sameName(field.name, name); });
    return it == headers.end() ? std::nullopt : std::optional(it->value);
}

std::string HttpRequest::path() const
{
    return resource.substr(0, resource.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = resource.find('?');
    std::string_view rest =
        mark == std::string::npos ? std::string_view() : std::string_view(resource).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField> &headers)
{
    std::string listed;
    for (const HeaderField &field : headers) {
        if (sameName(field.name, "connection")) {
            listed += field.value + ",";
        }
    }
    std::vector<HeaderField> kept;
    for (const HeaderField &field : headers) {
        if (!isHopByHop(field.name) && !isListed(listed, field.name)) {
            kept.push_back(field);
        }
    }
    return kept;
}

Answer jsonAnswer(unsigned status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, jsonText(body) + "\n"};
}

} // namespace pepperlug
