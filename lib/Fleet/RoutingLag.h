//===- RoutingLag.h - How far a host's routing is behind --------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <deque>

namespace pepperlug::fleet
{

/// The newer routings that a host was told of and has not got, by when it heard of each.
class RoutingLag
{
public:
    /// A control host told of the routing of a log index.
    void addAdvertised(std::uint64_t index, TimePoint now)
    {
        if (index > m_newest) {
            m_newest = index;
            m_missing.push_back({index, now});
        }
    }

    /// The routing of an index, and with it all older ones, is decided by from now on.
    void setApplied(std::uint64_t index)
    {
        m_newest = std::max(m_newest, index);
        while (!m_missing.empty() && m_missing.front().index <= index) {
            m_missing.pop_front();
        }
    }

    /// Log index of the newest that was heard of; 0 for none.
    std::uint64_t newestIndex() const
    {
        return m_newest;
    }

    /// When the oldest of those that are missing was heard of; nothing if none is.
    std::optional<TimePoint> behindSince() const
    {
        return m_missing.empty() ? std::nullopt : std::optional(m_missing.front().heardAt);
    }

private:
    struct Missing {
        std::uint64_t index = 0;
        TimePoint heardAt{};
    };

    std::uint64_t m_newest = 0;
    std::deque<Missing> m_missing; ///< oldest first
};

} // namespace pepperlug::fleet
