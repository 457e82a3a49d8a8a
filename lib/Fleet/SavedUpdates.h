//===- SavedUpdates.h - Up to where departures are on disk ------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <deque>
#include <map>

namespace pepperlug::fleet
{

/// Versions of registries up to which a control host has saved all departures: of its own registry, and of those of
/// other control hosts, whose updates are part of it.
class SavedUpdates
{
public:
    /// Records that all updates of a peer up to its version `theirs` are in this host's registry at version `own`.
    void recordMerge(const std::string &peer, const std::string &epoch, std::uint64_t theirs, std::uint64_t own);
    /// Records that all departures in this host's registry up to a version are on disk.
    void recordSaved(std::uint64_t own);
    std::uint64_t saved() const;
    /// Returns the version of a peer's registry up to which its departures are saved here; 0 for another epoch.
    std::uint64_t savedOf(const std::string &peer, const std::string &epoch) const;

private:
    struct VersionPair {
        std::uint64_t theirs = 0;
        std::uint64_t own = 0;
    };
    struct Merged {
        std::string epoch;
        std::uint64_t saved = 0; ///< version of the peer's registry
        std::deque<VersionPair> unsaved; ///< both versions increase
    };

    std::uint64_t m_saved = 0;
    std::map<std::string, Merged> m_merged; ///< by peer
};

} // namespace pepperlug::fleet
