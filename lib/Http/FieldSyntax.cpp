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

} // namespace pepperlug
