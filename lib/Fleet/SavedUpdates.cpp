//===- SavedUpdates.cpp - Up to where departures are on disk --------------===//
#include "SavedUpdates.h"

namespace pepperlug::fleet
{

namespace
{

/// Pairs of versions kept for each peer while a disk is slow.
constexpr std::size_t MaxVersionPairs = 64;

} // namespace

void SavedUpdates::recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs,
                               std::uint64_t own)
{
    Merged &merged = m_merged[peer];
    if (merged.epoch != epoch) {
        merged = {epoch, 0, {}};
    }
    if (own <= m_saved) {
        merged.saved = std::max(merged.saved, theirs);
        return;
    }
    std::deque<VersionPair> &unsaved = merged.unsaved;
    const bool replacesLast = !unsaved.empty() && (unsaved.back().own >= own || unsaved.size() == MaxVersionPairs);
    if (replacesLast) {
        unsaved.back() = {std::max(unsaved.back().theirs, theirs), std::max(unsaved.back().own, own)};
    } else {
        unsaved.push_back({theirs, own});
    }
}

void SavedUpdates::recordSaved(std::uint64_t own)
{
    m_saved = std::max(m_saved, own);
    for (auto &[peer, merged] : m_merged) {
        while (!merged.unsaved.empty() && merged.unsaved.front().own <= m_saved) {
            merged.saved = std::max(merged.saved, merged.unsaved.front().theirs);
            merged.unsaved.pop_front();
        }
    }
}

std::uint64_t SavedUpdates::saved() const
{
    return m_saved;
}

std::uint64_t SavedUpdates::savedOf(const std::string &peer, const std::string &epoch) const
{
    const auto it = m_merged.find(peer);
    return it == m_merged.end() || it->second.epoch != epoch ? 0 : it->second.saved;
}

} // namespace pepperlug::fleet
