//===- RequestIdentity.cpp - Digest of a request ---------------------------===//
#include "pepperlug/Quarantine.h"

namespace pepperlug::fleet
{

namespace
{

/// Hexadecimal digits, 128 bits: finding a second request with a given digest takes 2^128 attempts.
constexpr std::size_t DigestLength = 32;

} // namespace

// Each field is prefixed with its length; otherwise part of one could pass for the start of the next.
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
