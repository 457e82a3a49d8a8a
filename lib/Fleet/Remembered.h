//===- Remembered.h - What a control host knew before a restart -*- C++ -*-===//
//
// After a restart of all control hosts nobody knows the targets until each has
// reported itself, and nobody knows the routing until a leader is elected again.
// Entry hosts that start at the same time would refuse everything meanwhile. So
// each control host keeps a file of what it knew last, and gives it to entry
// hosts that know nothing yet. It is a hint: nothing is promised upon it, and any later
// news goes before it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "FleetMessages.h"
#include "pepperlug/Routes.h"

namespace pepperlug::fleet
{

/// Body of the file.
struct Remembered {
    std::uint64_t routingIndex = 0; ///< log index of the newest agreed change of the routing; 0 for none
    std::string tableText;
    std::vector<std::string> evacuatedZones;
    std::vector<TargetReport> targets; ///< ready and warm ones
    MSGPACK_DEFINE(routingIndex, tableText, evacuatedZones, targets);
};

Remembered rememberedOf(const RoutingState &routing, const Registry &registry);

/// Replaces the file in one step and syncs it. Throws Error.
void writeRemembered(const std::string &path, const Remembered &remembered);

/// Nothing if there is no file. Throws Error if it can't be read.
std::optional<Remembered> readRemembered(const std::string &path);

/// Fills a reply to an entry host that knows nothing with what is not known better by now.
void addRemembered(FleetWatchReply &reply, const Remembered &remembered, const Registry &registry);

} // namespace pepperlug::fleet
