//===- ShedWatch.h - Why the targets of a service shed ----------*- C++ -*-===//
//
// A target that sheds a request although it has free slots may do so on its own, and another one would run the request.
// If most targets do, another one is no better, and lacks the data of the request's key.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Balance.h"

#include <deque>

namespace pepperlug::fleet
{

/// Recent attempts of this host at the targets of one service.
class ShedWatch
{
public:
    /// Records an attempt that a target ran, or shed although it had free slots.
    void record(const std::string &target, bool isShed);
    /// Returns true if most of the targets that were tried lately shed.
    bool isWidespread() const;

private:
    std::deque<std::pair<std::string, bool>> m_recent; ///< target, and whether it shed; the latest last
};

} // namespace pepperlug::fleet
