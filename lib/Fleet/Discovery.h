//===- Discovery.h - When an entry host knows the control hosts -*- C++ -*-===//
//
// An entry host that has just started knows only its seeds, and asks them in turn which control hosts there are. It
// follows one as soon as a seed lists one of its own zone. If all hosts start at the same time, the first lists are
// short; to follow the first host that is listed would draw all updates through a few hosts of other regions.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "FleetMessages.h"

namespace pepperlug::fleet
{

/// Decides from the answers of seeds whether enough control hosts are known.
class Discovery
{
public:
    explicit Discovery(std::string zone);

    /// Records the list of a seed, empty if the seed can't list the control hosts.
    void recordList(const FleetControlHostsReply &list, TimePoint now);
    /// Records that a seed could not be reached. `triedAll`: neither could any other.
    void recordFailure(bool triedAll);
    /// Returns true if this host should follow a control host now.
    bool isDone() const;
    /// Returns the delay after an answer until the next seed is asked.
    Duration retryDelay() const;

private:
    std::string m_zone;
    bool m_isDone = false;
    std::optional<TimePoint> m_firstListAt;
};

} // namespace pepperlug::fleet
