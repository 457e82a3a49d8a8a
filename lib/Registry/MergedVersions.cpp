//===- MergedVersions.cpp - Updates of one host merged by another ---------===//
#include "pepperlug/Registry.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr std::size_t MaxVersionPairs = 256;

// Returns the first pair that version `own` has not reached.
template <typename Pairs>
auto firstUnreached(Pairs &pairs, std::uint64_t own)
{
    return std::partition_point(pairs.begin(), pairs.end(), [&](const auto &pair) { return pair.own <= own; });
}

// Keeps the oldest pair, which whoever is slow reaches first, and larger steps between the others, so that who is
// always many pairs behind still reaches one.
template <typename Pairs>
void dropEverySecond(Pairs &pairs)
{
    std::size_t kept = 0;
    for (std::size_t n = 0; n < pairs.size(); n += 2) {
        pairs[kept++] = pairs[n];
    }
    pairs.resize(kept);
}

} // namespace

void MergedVersions::record(const std::string &epoch, std::uint64_t theirs, std::uint64_t own)
{
    if (m_epoch != epoch) {
        m_epoch = epoch;
        m_pairs.clear();
    }
    const bool isKnown = !m_pairs.empty() && theirs <= m_pairs.back().theirs;
    if (isKnown) {
        return;
    }
    // The later updates changed nothing here, so whoever has reached this version has them too.
    while (!m_pairs.empty() && m_pairs.back().own >= own) {
        m_pairs.pop_back();
    }
    if (m_pairs.size() == MaxVersionPairs) {
        dropEverySecond(m_pairs);
    }
    m_pairs.push_back({theirs, own});
}

std::uint64_t MergedVersions::reachedAt(const std::string &epoch, std::uint64_t own) const
{
    if (m_epoch != epoch) {
        return 0;
    }
    const auto unreached = firstUnreached(m_pairs, own);
    return unreached == m_pairs.begin() ? 0 : std::prev(unreached)->theirs;
}

void MergedVersions::dropReached(std::uint64_t own)
{
    const auto unreached = firstUnreached(m_pairs, own);
    if (unreached != m_pairs.begin()) {
        m_pairs.erase(m_pairs.begin(), std::prev(unreached));
    }
}

} // namespace pepperlug::fleet
