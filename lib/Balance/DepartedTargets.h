//===- DepartedTargets.h - Targets that ended lately ------------*- C++ -*-===//
//
// A control host that has lost its state may pass on a report from before a
// target's end.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

#include <deque>

namespace pepperlug::fleet
{

/// Incarnations of targets that have ended, for as long as a late report of them may come.
class DepartedTargets
{
public:
    void add(const TargetReport &report, TimePoint now)
    {
        while (!m_order.empty() && now - m_order.front().first > DepartureRetention) {
            const auto it = m_ends.find(m_order.front().second);
            if (it != m_ends.end() && it->second.at == m_order.front().first) {
                m_ends.erase(it);
            }
            m_order.pop_front();
        }
        if (!covers(report, now)) {
            m_ends[report.id] = {report.startedAt, now};
            m_order.emplace_back(now, report.id);
        }
    }

    /// Returns true if a report is of an incarnation that has ended lately, or of one before it.
    bool covers(const TargetReport &report, TimePoint now) const
    {
        const auto it = m_ends.find(report.id);
        return it != m_ends.end() && report.startedAt <= it->second.startedAt
            && now - it->second.at <= DepartureRetention;
    }

private:
    struct End {
        Milliseconds startedAt{}; ///< TargetReport::startedAt
        TimePoint at{};
    };

    std::unordered_map<std::string, End> m_ends; ///< by id of the target
    std::deque<std::pair<TimePoint, std::string>> m_order; ///< the latest last
};

} // namespace pepperlug::fleet
