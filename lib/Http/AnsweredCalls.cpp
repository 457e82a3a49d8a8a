//===- AnsweredCalls.cpp - Which calls connections have carried -----------===//
#include "AnsweredCalls.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto ExpiryInterval = std::chrono::seconds(1);

std::uint64_t keyOf(const Address &to, std::string_view name)
{
    return hash64(name, hash64(to.ip, to.port));
}

} // namespace

void AnsweredCalls::add(const Address &to, std::string_view name, Duration within, TimePoint now)
{
    TimePoint &expiry = m_expiries[keyOf(to, name)];
    expiry = std::max(expiry, now + within);
}

bool AnsweredCalls::contains(const Address &to, std::string_view name, TimePoint now) const
{
    const auto it = m_expiries.find(keyOf(to, name));
    return it != m_expiries.end() && now <= it->second;
}

void AnsweredCalls::expire(TimePoint now)
{
    if (now < m_expiredAt + ExpiryInterval) {
        return;
    }
    m_expiredAt = now;
    std::erase_if(m_expiries, [&](const auto &it) { return it.second < now; });
}

} // namespace pepperlug
