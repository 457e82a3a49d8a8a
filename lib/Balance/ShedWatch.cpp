//===- ShedWatch.cpp - Why the targets of a service shed ------------------===//
#include "ShedWatch.h"

namespace pepperlug::fleet
{

namespace
{

/// Attempts that are remembered.
constexpr std::size_t RecentAttempts = 16;
/// Targets that have to shed before it counts as widespread.
constexpr std::size_t MinShedding = 4;

} // namespace

void ShedWatch::record(const std::string &target, bool isShed)
{
    m_recent.emplace_back(target, isShed);
    if (m_recent.size() > RecentAttempts) {
        m_recent.pop_front();
    }
}

bool ShedWatch::isWidespread() const
{
    std::set<std::string> tried;
    std::set<std::string> shedding;
    for (const auto &[target, isShed] : m_recent) {
        tried.insert(target);
        if (isShed) {
            shedding.insert(target);
        }
    }
    return shedding.size() >= MinShedding && 2 * shedding.size() >= tried.size();
}

} // namespace pepperlug::fleet
