//===- RoutingLag.h - Routing that a host still lacks -----------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <deque>

namespace pepperlug::fleet
{

/// The newer routing indexes that were advertised to a host and that it lacks, with the time since which each may be in
/// force.
class RoutingLag
{
public:
    /// `lease`: for how long others wait for this host after it was heard.
    explicit RoutingLag(Duration lease)
        : m_lease(lease)
    {
    }

    /// Records that a control host with a majority was heard.
    void addContact(TimePoint now)
    {
        m_silentSince = m_heardAt && now - *m_heardAt > m_lease ? m_heardAt : std::nullopt;
        m_heardAt = now;
    }

    /// Records that a control host advertised the routing of a log index. After a silence of more than a lease nobody
    /// has waited for this host, so the routing may have been in force since its last contact before.
    void addAdvertised(std::uint64_t index, TimePoint now)
    {
        if (index > m_newestIndex) {
            m_newestIndex = index;
            m_missing.push_back({index, m_silentSince.value_or(now)});
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

    /// Returns since when the oldest missing routing may be in force; nothing if none is missing.
    std::optional<TimePoint> behindSince() const
    {
        return m_missing.empty() ? std::nullopt : std::optional(m_missing.front().since);
    }

    /// Returns when a control host with a majority was last heard.
    std::optional<TimePoint> heardAt() const
    {
        return m_heardAt;
    }

private:
    struct Missing {
        std::uint64_t index = 0;
        TimePoint since{};
    };

    Duration m_lease;
    std::uint64_t m_newestIndex = 0;
    std::deque<Missing> m_missing; ///< oldest first
    std::optional<TimePoint> m_heardAt;
    std::optional<TimePoint> m_silentSince; ///< contact before the last one, if that was more than a lease earlier
};

} // namespace pepperlug::fleet
