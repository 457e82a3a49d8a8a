//===- RoutingLag.h - Routing that a host still lacks -----------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <deque>

namespace pepperlug::fleet
{

/// The newer routing indexes that were advertised to a host and that it lacks, with the time of each advertisement.
class RoutingLag
{
public:
    /// Records that a control host advertised the routing of a log index.
    void addAdvertised(std::uint64_t index, TimePoint now)
    {
        if (index > m_newestIndex) {
            m_newestIndex = index;
            m_missing.push_back({index, now});
        }
    }

    /// Records that the host decides by the routing of a log index from now on.
    void setApplied(std::uint64_t index)
    {
        m_newestIndex = std::max(m_newestIndex, index);
        while (!m_missing.empty() && m_missing.front().index <= index) {
            m_missing.pop_front();
        }
    }

    /// Returns the log index of the newest advertised or applied routing; 0 if none.
    std::uint64_t newestIndex() const
    {
        return m_newestIndex;
    }

    /// Returns when the oldest missing routing was advertised; nothing if none is missing.
    std::optional<TimePoint> behindSince() const
    {
        return m_missing.empty() ? std::nullopt : std::optional(m_missing.front().advertisedAt);
    }

private:
    struct Missing {
        std::uint64_t index = 0;
        TimePoint advertisedAt{};
    };

    std::uint64_t m_newestIndex = 0;
    std::deque<Missing> m_missing; ///< oldest first
};

} // namespace pepperlug::fleet
