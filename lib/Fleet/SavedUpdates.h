//===- SavedUpdates.h - Up to where departures are on disk ------*- C++ -*-===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// Versions of registries up to which a control host has saved all departures: of its own registry, and of those of
/// other control hosts, whose updates are part of it.
class SavedUpdates
{
public:
    /// See MergedVersions::record().
    void recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs, std::uint64_t own)
    {
        m_merged[peer].record(epoch, theirs, own);
    }

    /// Records that all departures in this host's registry up to a version are on disk.
    void recordSaved(std::uint64_t own)
    {
        m_saved = std::max(m_saved, own);
        for (auto &[peer, merged] : m_merged) {
            merged.dropReached(m_saved);
        }
    }

    std::uint64_t saved() const
    {
        return m_saved;
    }

    /// Returns the version of a peer's registry up to which its departures are saved here; 0 for another epoch.
    std::uint64_t savedOf(const std::string &peer, const std::string &epoch) const
    {
        const auto it = m_merged.find(peer);
        return it == m_merged.end() ? 0 : it->second.reachedAt(epoch, m_saved);
    }

private:
    std::uint64_t m_saved = 0;
    std::map<std::string, MergedVersions> m_merged; ///< by peer
};

} // namespace pepperlug::fleet
