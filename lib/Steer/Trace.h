//===- Trace.h - Events as lines of a trace ----------------------*- C++ -*-===//
//
// A trace holds the settings of the reducer, its events with their times, and
// stated outcomes. Ids are stored as numbers: they mean positions in the bundle
// that the trace carries.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Steer.h"

namespace pepperlug
{

/// Reads the event of a line. Throws Error with the file on an unknown one, and the JSON library's own on a malformed
/// one.
Event readEvent(const nlohmann::json &line, const std::string &file);
/// Time of a line's `key`, in nanoseconds.
TimePoint readTime(const nlohmann::json &line, const char *key);

} // namespace pepperlug
