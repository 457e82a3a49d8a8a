//===- Main.cpp - pepperlug-control ---------------------------------------===//
#include "pepperlug/Tool.h"

#include <iostream>

namespace
{

pepperlug::ExitCode run(const cxxopts::ParseResult &arguments)
{
    using namespace pepperlug;
    const std::string file = configFile(arguments);
    const ControlSettings settings = parseControlSettings(readFile(file), file);
    if (arguments.count("check-config") > 0) {
        std::cout << file << ": no findings\n";
        return ExitCode::Success;
    }
    blockStopSignals();
    const SteadyClock clock;
    ControlDaemon daemon(settings, clock, arguments.count("init") > 0);
    std::thread stopper([&daemon] {
        waitForStopSignal();
        daemon.stop();
    });
    try {
        daemon.wait();
    } catch (const Error &ex) {
        // The stopper still waits for a signal; the process ends as a whole.
        std::cerr << "pepperlug-control: " << ex.what() << std::endl;
        std::_Exit(static_cast<int>(ExitCode::Failure));
    }
    stopper.join();
    return ExitCode::Success;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pepperlug-control", "Control host: the log of decisions, sign-off, administration API");
    pepperlug::addCommonOptions(options);
    options.add_options()("init", "make the data folder that of a founding member; never on a repaired machine");
    return pepperlug::runTool(options, argc, argv, run);
}
