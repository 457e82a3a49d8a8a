//===- Main.cpp - pepperlug-entry -----------------------------------------===//
#include "pepperlug/Tool.h"

#include <iostream>

namespace
{

pepperlug::ExitCode run(const cxxopts::ParseResult &arguments)
{
    using namespace pepperlug;
    const std::string file = configFile(arguments);
    const EntrySettings settings = parseEntrySettings(readFile(file), file);
    if (arguments.count("check-config") > 0) {
        std::cout << file << ": no findings\n";
        return ExitCode::Success;
    }
    blockStopSignals();
    const SteadyClock clock;
    const std::string record = arguments.count("record") > 0 ? arguments["record"].as<std::string>() : std::string();
    EntryDaemon daemon(settings, clock, record);
    waitForStopSignal();
    daemon.stopGracefully();
    return ExitCode::Success;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pepperlug-entry", "Entry host: look-ups, forwarding, admission to its targets");
    pepperlug::addCommonOptions(options);
    options.add_options()("record", "record all events to a trace", cxxopts::value<std::string>(), "FILE");
    return pepperlug::runTool(options, argc, argv, run);
}
