//===- RequestIdentity.cpp - Which requests are the same one ---------------===//
#include "pepperlug/Quarantine.h"

namespace pepperlug::fleet
{

namespace
{

/// 128 bits: to find a request that looks like a given one takes 2^128 trials.
constexpr std::size_t DigestLength = 32;

} // namespace

// Each field goes with its length, or a part of one could pass for the start of the next.
std::string digestOf(const RequestIdentity &identity)
{
    std::string text;
    for (const std::string_view field :
         {identity.method, identity.host, identity.resource, identity.caller, identity.body}) {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }
    return digestHex(text).substr(0, DigestLength);
}

} // namespace pepperlug::fleet
