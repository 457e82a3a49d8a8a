//===- Main.cpp - pepperlug, the operators' command -----------------------===//
#include "Commands.h"

#include <iostream>

namespace
{

using namespace pepperlug;

ExitCode run(const cxxopts::ParseResult &arguments)
{
    CommandContext context = makeContext(arguments);
    if (arguments.count("check-config") > 0) {
        std::cout << "no findings\n";
        return ExitCode::Success;
    }
    if (context.words.empty()) {
        throw Error("start", "", "a command is needed; see --help");
    }
    const std::string command = context.words.front();
    context.words.erase(context.words.begin());
    for (const Command &it : commands()) {
        if (command == it.name) {
            return it.run(context);
        }
    }
    throw Error("start", "", "\"" + command + "\" is not a command; see --help");
}

} // namespace

int main(int argc, char **argv)
{
    std::string help = "Commands:\n";
    for (const Command &it : commands()) {
        help += std::string("  ") + it.usage + "\n      " + it.help + "\n";
    }
    cxxopts::Options options("pepperlug", help);
    pepperlug::addCommonOptions(options);
    options.add_options()("control", "administration addresses of the control hosts, with commas",
                          cxxopts::value<std::vector<std::string>>(), "ADDRESSES");
    options.add_options()("operator", "name of the operator", cxxopts::value<std::string>(), "NAME");
    options.add_options()("key", "key file of the operator, made by keygen", cxxopts::value<std::string>(), "FILE");
    options.add_options()("entry", "entry host to ask", cxxopts::value<std::string>(), "ADDRESS");
    options.add_options()("client", "caller's IP address", cxxopts::value<std::string>(), "IP");
    options.add_options()("wait", "wait until it is in force everywhere, or until the target is idle");
    options.add_options()("timeout-ms", "longest wait", cxxopts::value<std::int64_t>()->default_value("30000"), "N");
    options.add_options()("json", "print JSON");
    options.add_options()("words", "command and its arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    options.positional_help("COMMAND [ARGUMENT...]");
    return pepperlug::runTool(options, argc, argv, run);
}
