//===- pepperlug/Explain.h - A request's way through the logs ----*- C++ -*-===//
//
// Reads the decision and state lines of any number of processes and tells what
// became of one request. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

/// One step of a request's way, or a change of what was believed of a target on it.
struct ExplainedStep {
    Milliseconds at{}; ///< wall-clock time of the process that wrote the line
    std::string process;
    std::string what;
    std::string details; ///< the line's other fields, as NAME=VALUE
    bool isTrouble = false; ///< something went wrong here
};

struct Explanation {
    std::vector<ExplainedStep> steps; ///< in order of time
    std::optional<std::size_t> firstTrouble; ///< place in steps
};

/// `lines`: log lines of all processes in any order; those that are no JSON objects are passed over. Lines about a
/// target of the request are taken in for the time from `before` the request to its end.
Explanation explainRequest(const std::string &id, const std::vector<std::string> &lines,
                           Milliseconds before = std::chrono::seconds(10));

std::string textOf(const Explanation &explanation);

} // namespace pepperlug
