//===- PeerReplies.h - Typed replies of other hosts -------------*- C++ -*-===//
#pragma once

#include "../Daemon/HttpStatus.h"
#include "pepperlug/Codec.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet
{

/// A decoded reply, or the reason why there is none.
template <typename Message>
struct TypedReply {
    std::optional<Message> message; ///< nothing if there was no reply or it can't be decoded
    std::string reason; ///< why there is no message
};

/// Decodes a reply. `peer` names the host in decoding errors.
template <typename Message>
TypedReply<Message> readReply(const PeerReply &reply, const std::string &peer)
{
    TypedReply<Message> read{std::nullopt, reply.reason};
    if (!reply.delivered || reply.status != Ok) {
        return read;
    }
    try {
        read.message = decode<Message>(reply.body, peer);
    } catch (const Error &ex) {
        read.reason = ex.what();
    }
    return read;
}

} // namespace pepperlug::fleet
