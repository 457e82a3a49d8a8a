//===- OperationKey.cpp - HOME.UNIQUE -------------------------------------===//
#include "pepperlug/Once.h"

#include <charconv>

namespace pepperlug
{

namespace
{

constexpr char HomeSeparator = '~';
constexpr char KeySeparator = '.';

} // namespace

std::string HomeToken::text() const
{
    return host + HomeSeparator + ledgerId + HomeSeparator + std::to_string(issued.count());
}

std::optional<OperationKey> OperationKey::parse(const std::string &text)
{
    if (text.size() > MaxOperationKeyBytes) {
        return std::nullopt;
    }
    const std::size_t dot = text.find(KeySeparator);
    const std::size_t first = text.find(HomeSeparator);
    if (dot == std::string::npos || first == std::string::npos || first > dot) {
        return std::nullopt;
    }
    const std::size_t second = text.find(HomeSeparator, first + 1);
    if (second == std::string::npos || second > dot) {
        return std::nullopt;
    }
    OperationKey key;
    key.home.host = text.substr(0, first);
    key.home.ledgerId = text.substr(first + 1, second - first - 1);
    key.unique = text.substr(dot + 1);
    std::int64_t issued = 0;
    const auto [stop, ec] = std::from_chars(text.data() + second + 1, text.data() + dot, issued);
    if (ec != std::errc() || stop != text.data() + dot || issued < 0 || key.unique.empty() || key.home.host.empty()) {
        return std::nullopt;
    }
    key.home.issued = std::chrono::seconds(issued);
    return key;
}

std::string OperationKey::text() const
{
    return home.text() + KeySeparator + unique;
}

} // namespace pepperlug
