//===- Tool.cpp - What the mains of all programs share ----------------===//
#include "pepperlug/Tool.h"

#include <iostream>

namespace pepperlug
{

void addCommonOptions(cxxopts::Options &options)
{
    options.add_options()("h,help", "print this help");
    options.add_options()("version", "print the version");
    options.add_options()("config", "settings, JSON with comments", cxxopts::value<std::string>(), "FILE");
    options.add_options()("check-config", "check the settings and exit");
}

std::string configFile(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("config") == 0) {
        throw Error("start", "", "--config is needed");
    }
    return arguments["config"].as<std::string>();
}

int runTool(cxxopts::Options &options, int argc, char **argv,
            const std::function<ExitCode(const cxxopts::ParseResult &)> &work)
{
    const std::string program = options.program();
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout
                << options.help() << "\n"
                << "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 invalid input, 4 refused, 5 no control host,\n"
                << "6 an outcome of a trace does not hold.\n";
            return static_cast<int>(ExitCode::Success);
        }
        if (arguments.count("version") > 0) {
            std::cout << program << " " << PEPPERLUG_VERSION << "\n";
            return static_cast<int>(ExitCode::Success);
        }
        return static_cast<int>(work(arguments));
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << program << ": " << ex.what() << "\n";
        return static_cast<int>(ExitCode::Usage);
    } catch (const InvalidInput &ex) {
        for (const Finding &finding : ex.findings()) {
            std::cerr << program << ": " << finding.text() << "\n";
        }
        return static_cast<int>(ExitCode::InvalidInput);
    } catch (const Error &ex) {
        std::cerr << program << ": " << ex.what() << "\n";
        if (ex.step() == "ask control") {
            return static_cast<int>(ExitCode::Unreachable);
        }
        return static_cast<int>(ex.step() == "replay" ? ExitCode::OutcomeBroken : ExitCode::Failure);
    } catch (const std::exception &ex) {
        std::cerr << program << ": " << ex.what() << "\n";
        return static_cast<int>(ExitCode::Failure);
    }
}

} // namespace pepperlug
