//===- FieldSyntax.h - Syntax of header fields -------------------*- C++ -*-===//
//
// What heads of requests and of answers have in common (RFC 9110, 5).
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace pepperlug
{

bool isToken(std::string_view text);
/// Whether the text holds no control character but tabs.
bool isFieldValue(std::string_view text);
/// Removes blanks and tabs at both ends.
std::string_view trimmed(std::string_view text);
/// Reads a number of bytes, digits only; nothing if it is none or does not fit.
std::optional<std::uint64_t> readLength(std::string_view text);

/// Whether the start of an answer stands in the text. The beginning of another one that was cut joins with it to one
/// line, so that its status would pass for that of this one.
bool holdsStatusLine(std::string_view text);

} // namespace pepperlug
