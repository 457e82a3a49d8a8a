//===- Measures.h - What scripts/measure prints ------------------*- C++ -*-===//
#pragma once

#include "pepperlug/Model.h"
#include "pepperlug/Tool.h"

namespace pepperlug
{

struct MeasureContext {
    std::vector<std::string> words;
    std::string examples; ///< folder
    double seconds = 0;
    std::uint64_t seed = 1;
    std::string bundle; ///< of the running system
    std::string service;
    std::string keys; ///< folder of the operators' keys
    std::string entry; ///< address of an entry host, or to listen at
    std::string other; ///< address to compare with
};

ExitCode measurePlatform(const MeasureContext &context);
ExitCode measureSteer(const MeasureContext &context);
ExitCode measureClients(const MeasureContext &context);
ExitCode measureLookup(const MeasureContext &context);
ExitCode measureForward(const MeasureContext &context);
ExitCode measureOnce(const MeasureContext &context);
ExitCode measureControl(const MeasureContext &context);
ExitCode measureRecoveryTimes(const MeasureContext &context);
ExitCode measureCapacity(const MeasureContext &context);
/// Serves a bare Pistache answer until it is told to stop, to compare with.
ExitCode measureBare(const MeasureContext &context);

/// Prints one row of columns of equal width.
void printRow(const std::vector<std::string> &cells, std::size_t width = 12);
std::string fixed(double value, int digits);
std::string inMilliseconds(Duration duration);

BundlePtr loadExample(const MeasureContext &context, const std::string &owner);

} // namespace pepperlug
