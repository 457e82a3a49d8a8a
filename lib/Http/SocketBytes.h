//===- SocketBytes.h - What a socket takes and holds -------------*- C++ -*-===//
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace pepperlug
{

/// Returns the number of bytes that the socket took without waiting; nothing if it has ended.
std::optional<std::size_t> writeNow(int socket, std::string_view bytes);
/// Returns the number of bytes that the socket took but the peer has not acknowledged.
std::uint64_t unacknowledged(int socket);
/// Closes a socket. What it took but the peer has not acknowledged is dropped, by a reset; returns whether anything
/// was.
bool closeUndelivered(int socket);

} // namespace pepperlug
