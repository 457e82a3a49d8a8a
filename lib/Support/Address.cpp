//===- Address.cpp - IP addresses with ports ------------------------------===//
#include "pepperlug/Support.h"

#include <arpa/inet.h>
#include <charconv>

namespace pepperlug
{

std::optional<Address> Address::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    Address address;
    address.ip = text.substr(0, colon);
    int family = AF_INET;
    if (address.ip.front() == '[' && address.ip.back() == ']') {
        address.ip = address.ip.substr(1, address.ip.size() - 2);
        family = AF_INET6;
    }
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (inet_pton(family, address.ip.c_str(), buf.data()) != 1) {
        return std::nullopt;
    }
    const char *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (ec != std::errc() || stop != end) {
        return std::nullopt;
    }
    return address;
}

std::string Address::text() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace pepperlug
