//===- RawAnswer.h - Answers as they come over a socket ---------*- C++ -*-===//
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pepperlug::soak
{

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// Status of an answer; 0 if it has none.
inline unsigned statusIn(const std::string &answer)
{
    constexpr std::string_view Start = "HTTP/1.1 ";
    constexpr std::size_t Digits = 3;
    const bool hasStatus = answer.starts_with(Start) && answer.size() >= Start.size() + Digits;
    return hasStatus ? static_cast<unsigned>(std::stoul(answer.substr(Start.size(), Digits))) : 0;
}

/// Bytes of an answer up to the end of its body; nothing while its head is not whole.
inline std::optional<std::size_t> lengthOf(const std::string &answer)
{
    constexpr std::string_view Name = "\r\nContent-Length: ";
    const std::size_t end = answer.find(HeadEnd);
    const std::size_t length = answer.find(Name);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    return end + HeadEnd.size() + (length < end ? std::stoul(answer.substr(length + Name.size())) : 0);
}

} // namespace pepperlug::soak
