//===- RecentTargets.h - Targets that attempts were sent to lately -*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>
#include <map>

namespace pepperlug::fleet
{

/// The targets of other regions to which connections are opened in advance.
class RecentTargets
{
public:
    static constexpr Duration KeepTime = std::chrono::seconds(30);

    void addAttempt(const Address &target, TimePoint now)
    {
        m_lastAttempt[target] = now;
    }

    /// Returns at most `limit` targets with an attempt within KeepTime, the most recent one first.
    std::vector<Address> mostRecent(std::size_t limit, TimePoint now)
    {
        std::erase_if(m_lastAttempt, [now](const auto &it) { return now - it.second > KeepTime; });
        std::vector<std::pair<TimePoint, Address>> ranked;
        ranked.reserve(m_lastAttempt.size());
        for (const auto &[address, at] : m_lastAttempt) {
            ranked.emplace_back(at, address);
        }
        std::sort(ranked.begin(), ranked.end(), std::greater<>());
        ranked.resize(std::min(ranked.size(), limit));
        std::vector<Address> addresses;
        addresses.reserve(ranked.size());
        for (const auto &[at, address] : ranked) {
            addresses.push_back(address);
        }
        return addresses;
    }

private:
    std::map<Address, TimePoint> m_lastAttempt;
};

} // namespace pepperlug::fleet
