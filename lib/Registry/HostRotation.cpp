//===- HostRotation.cpp - Entry hosts that a directory answer names -------===//
#include "pepperlug/Registry.h"

#include <algorithm>

namespace pepperlug::fleet
{

void HostRotation::assign(std::vector<std::string> addresses, std::uint64_t seed)
{
    m_addresses = std::move(addresses);
    if (m_addresses.size() > MaxHostsPerAnswer) {
        std::ranges::sort(m_addresses, {}, [seed](const std::string &it) { return hash64(it, seed); });
    }
}

std::vector<std::string> HostRotation::next()
{
    if (m_addresses.size() <= MaxHostsPerAnswer) {
        return m_addresses;
    }
    std::vector<std::string> named;
    named.reserve(MaxHostsPerAnswer);
    for (std::size_t n = 0; n < MaxHostsPerAnswer; ++n) {
        m_next %= m_addresses.size();
        named.push_back(m_addresses[m_next++]);
    }
    return named;
}

} // namespace pepperlug::fleet
