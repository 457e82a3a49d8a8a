//===- FieldSyntax.cpp - Syntax of header fields --------------------------===//
#include "FieldSyntax.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace pepperlug
{

namespace
{

bool isTokenChar(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

// Control characters in a value could end it early for whoever reads it next.
bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; });
}

std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

std::optional<std::uint64_t> readLength(std::string_view text)
{
    std::uint64_t length = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, length);
    return ec == std::errc() && stop == end ? std::optional(length) : std::nullopt;
}

bool holdsStatusLine(std::string_view text)
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::size_t StatusDigits = 3;
    const auto isDigit = [](char c) {
        return c >= '0' && c <= '9';
    };
    for (std::size_t at = text.find(Version); at != std::string_view::npos; at = text.find(Version, at + 1)) {
        const std::string_view rest = text.substr(at + Version.size());
        const std::string_view status = rest.size() > 2 ? rest.substr(2, StatusDigits) : std::string_view();
        if (status.size() == StatusDigits && isDigit(rest[0]) && rest[1] == ' '
            && std::ranges::all_of(status, isDigit)) {
            return true;
        }
    }
    return false;
}

} // namespace pepperlug
