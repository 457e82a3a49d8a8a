//===- Messages.cpp - Paths of the control log's messages -----------------===//
#include "pepperlug/Wire.h"

namespace pepperlug
{

namespace
{

struct PathOf {
    const char *operator()(const VoteRequest &) const
    {
        return path::Vote;
    }
    const char *operator()(const VoteReply &) const
    {
        return path::VoteReply;
    }
    const char *operator()(const AppendRequest &) const
    {
        return path::Append;
    }
    const char *operator()(const AppendReply &) const
    {
        return path::AppendReply;
    }
    const char *operator()(const SnapshotRequest &) const
    {
        return path::Snapshot;
    }
};

} // namespace

const char *pathOf(const ControlMessage &message)
{
    return std::visit(PathOf{}, message);
}

std::string encodeControlMessage(const ControlMessage &message)
{
    return std::visit([](const auto &it) { return encode(it); }, message);
}

std::optional<ControlMessage> decodeControlMessage(const std::string &path, const std::string &body,
                                                   const std::string &peer)
{
    if (path == path::Vote) {
        return decode<VoteRequest>(body, peer);
    }
    if (path == path::VoteReply) {
        return decode<VoteReply>(body, peer);
    }
    if (path == path::Append) {
        return decode<AppendRequest>(body, peer);
    }
    if (path == path::AppendReply) {
        return decode<AppendReply>(body, peer);
    }
    if (path == path::Snapshot) {
        return decode<SnapshotRequest>(body, peer);
    }
    return std::nullopt;
}

} // namespace pepperlug
