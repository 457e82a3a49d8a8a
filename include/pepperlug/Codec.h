//===- pepperlug/Codec.h - MessagePack for our own messages ------*- C++ -*-===//
//
// Encodes and decodes the typed messages that the system's processes exchange
// and the records that they store. Times travel as whole counts of their unit.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <msgpack.hpp>

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template <typename Rep, typename Period>
    struct convert<std::chrono::duration<Rep, Period>> {
        const msgpack::object &operator()(const msgpack::object &from, std::chrono::duration<Rep, Period> &to) const
        {
            to = std::chrono::duration<Rep, Period>(from.as<Rep>());
            return from;
        }
    };

    template <typename Rep, typename Period>
    struct pack<std::chrono::duration<Rep, Period>> {
        template <typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &to,
                                            const std::chrono::duration<Rep, Period> &from) const
        {
            return to.pack(from.count());
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace pepperlug
{

template <typename Message>
std::string encode(const Message &message)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, message);
    return std::string(buf.data(), buf.size());
}

/// Throws Error with step "decode message" and the peer that sent it.
template <typename Message>
Message decode(std::string_view text, const std::string &peer)
{
    try {
        std::size_t end = 0;
        const msgpack::object_handle handle = msgpack::unpack(text.data(), text.size(), end);
        if (end != text.size()) {
            throw Error("decode message", peer, "bytes are left after the message");
        }
        return handle->as<Message>();
    } catch (const msgpack::type_error &) {
        throw Error("decode message", peer, "a field has the wrong type");
    } catch (const msgpack::unpack_error &ex) {
        throw Error("decode message", peer, ex.what());
    }
}

} // namespace pepperlug

// Enumerations travel as whole numbers; those at namespace scope are named here by the libraries that own them.
#define PEPPERLUG_CODEC_ENUM(type) MSGPACK_ADD_ENUM(type)
