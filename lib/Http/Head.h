//===- Head.h - The check of a request's head --------------------*- C++ -*-===//
//
// Pistache takes heads that it should refuse (two content lengths, garbled first
// lines) and keeps one value for each header name. So heads are checked and kept
// here, and Pistache gets a head of our own making for the framing of the body.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug
{

struct RequestHead {
    std::string method;
    std::string resource;
    std::vector<HeaderField> headers;
    bool keepAlive = true;
    bool isChunked = false;
    bool expectsContinue = false;
    std::size_t contentLength = 0;
};

/// What a caller is told about a head that is refused; the connection is closed then.
struct HeadFault {
    unsigned status = 400;
    std::string reason;
};

/// Reads a head without its empty line. Throws HeadFault.
RequestHead readHead(std::string_view text);

/// A head with nothing but the framing, for Pistache's parser.
std::string framingHead(const RequestHead &head);

/// Bytes of an answer. `isHead`: the answer to HEAD, whose length is told and whose body is not sent.
std::string encodeAnswer(const Answer &answer, bool isHead, bool keepAlive);
/// The head of an answer whose body of `length` bytes is sent after it.
std::string encodeHead(const Answer &answer, std::uint64_t length, bool keepAlive);

} // namespace pepperlug
