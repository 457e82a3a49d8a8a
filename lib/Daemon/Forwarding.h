//===- Forwarding.h - Requests between entry hosts of a bundle --*- C++ -*-===//
#pragma once

#include "pepperlug/Http.h"
#include "pepperlug/Wire.h"

namespace pepperlug
{

/// Class of a forwarded request at its receiver. The bundles of the two hosts may differ for a moment; what the sender
/// may not repeat, the receiver may not either. `own`: class by the receiver's bundle.
inline RouteClass classOfForwarded(const ForwardCall &call, RouteClass own)
{
    return own == RouteClass::Read && !call.mayRepeat ? RouteClass::Plain : own;
}

/// Returns the answer in a reply; nothing if its status is none of a whole answer.
inline std::optional<Answer> answerIn(ForwardReply &&reply)
{
    if (!isFinalStatus(reply.status)) {
        return std::nullopt;
    }
    Answer answer;
    answer.status = reply.status;
    answer.body = std::move(reply.body);
    for (WireHeader &header : reply.headers) {
        answer.headers.push_back({std::move(header.name), std::move(header.value)});
    }
    return answer;
}

} // namespace pepperlug
