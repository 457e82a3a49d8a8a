//===- pepperlug/Tool.h - Command lines of the programs ------*- C++ -*-===//
//
// Options that every program has, and the way from errors to exit codes.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Daemon.h"

#include <cxxopts.hpp>

namespace pepperlug
{

/// Adds --help, --version, --config and --check-config.
void addCommonOptions(cxxopts::Options &options);

/// File given with --config. Throws Error if there is none.
std::string configFile(const cxxopts::ParseResult &arguments);

/// Parses the command line and runs the work; errors are printed and become exit codes.
int runTool(cxxopts::Options &options, int argc, char **argv,
            const std::function<ExitCode(const cxxopts::ParseResult &)> &work);

} // namespace pepperlug
