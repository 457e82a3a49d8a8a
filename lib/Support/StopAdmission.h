//===- StopAdmission.h - What a stopping entry host may still send -*- C++ -*-===//
//
// A request that its target still works on when the host exits gets no answer, although it may have run. How long a
// request may take is told by its deadline and its route, so these decide, not the time since the stop began. A request
// that is refused has not run, and its caller tries another host at once.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

class StopAdmission
{
public:
    void plan(const StopTimes &times)
    {
        m_times = times;
    }

    /// Returns whether a request whose time is over at `due` may be sent to a target.
    bool admits(TimePoint due) const
    {
        return !m_times || due <= m_times->lastAnswerAt;
    }

    /// Returns whether nothing is waited for any more.
    bool isOver(TimePoint now) const
    {
        return m_times && now >= m_times->exitAt;
    }

private:
    std::optional<StopTimes> m_times; ///< nothing: the host does not stop, or waits for all work
};

} // namespace pepperlug
