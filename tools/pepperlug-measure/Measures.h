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
};

ExitCode measureSteer(const MeasureContext &context);
ExitCode measureDecisions(const MeasureContext &context);
ExitCode measureClients(const MeasureContext &context);

/// Prints one row of columns of equal width.
void printRow(const std::vector<std::string> &cells, std::size_t width = 12);
std::string fixed(double value, int digits);
std::string inMilliseconds(Duration duration);

BundlePtr loadExample(const MeasureContext &context, const std::string &owner);

} // namespace pepperlug
