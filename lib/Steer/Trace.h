//===- Trace.h - Reading of trace lines --------------------------*- C++ -*-===//
//
// A trace contains the settings of the reducer, its events with their times, and
// expected outcomes. Ids are stored as numbers, which are indices into the
// bundle in the trace.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Steer.h"

namespace pepperlug
{

/// Reads the event of a line. Throws Error with the file if the event is unknown, and the JSON library's exception if
/// the line is malformed.
Event readEvent(const nlohmann::json &line, const std::string &file);
/// Returns the time under `key` of a line, stored in nanoseconds.
TimePoint readTime(const nlohmann::json &line, const char *key);

} // namespace pepperlug
