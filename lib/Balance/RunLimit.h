//===- RunLimit.h - How often a request may run -----------------*- C++ -*-===//
#pragma once

#include "pepperlug/Routes.h"

namespace pepperlug::fleet
{

/// Whether a request may run once more. Its route may be replaced while it is open: the newest one decides where it
/// goes, but a request that was accepted or sent as once-only stays so.
class RunLimit
{
public:
    /// Adds a route by which the request is accepted or sent.
    void restrictTo(RouteKind kind)
    {
        m_isRepeatable &= kind == RouteKind::Repeatable;
    }

    /// Records that an attempt may have run the request.
    void recordRun()
    {
        m_mayHaveRun = true;
    }

    bool mayHaveRun() const
    {
        return m_mayHaveRun;
    }

    /// Returns true if the request may run more than once, also beside an attempt in progress.
    bool isRepeatable() const
    {
        return m_isRepeatable;
    }

    /// Returns true if another attempt may begin while none is in progress.
    bool mayRunNow() const
    {
        return m_isRepeatable || !m_mayHaveRun;
    }

private:
    bool m_isRepeatable = true;
    bool m_mayHaveRun = false;
};

} // namespace pepperlug::fleet
