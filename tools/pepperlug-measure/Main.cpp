//===- Main.cpp - pepperlug-measure ---------------------------------------===//
//
// Measures the parts of the system and prints tables. scripts/measure builds and
// runs it.
//
//===----------------------------------------------------------------------===//
#include "Measures.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace pepperlug
{

void printRow(const std::vector<std::string> &cells, std::size_t width)
{
    for (std::size_t n = 0; n < cells.size(); ++n) {
        std::cout << (n == 0 ? std::left : std::right) << std::setw(static_cast<int>(n == 0 ? 22 : width)) << cells[n];
    }
    std::cout << std::endl;
}

std::string fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string inMilliseconds(Duration duration)
{
    return fixed(std::chrono::duration<double, std::milli>(duration).count(), 1);
}

BundlePtr loadExample(const MeasureContext &context, const std::string &owner)
{
    const std::string file = context.examples + "/" + owner + "/bundle.json";
    return parseBundle(readFile(file), file);
}

namespace
{

struct Measure {
    const char *name;
    ExitCode (*run)(const MeasureContext &context);
};

const std::vector<Measure> &measures()
{
    static const std::vector<Measure> All{{"steer", measureSteer},
                                          {"clients", measureClients},
                                          {"lookup", measureLookup},
                                          {"forward", measureForward},
                                          {"once", measureOnce},
                                          {"control", measureControl},
                                          {"recovery", measureRecoveryTimes},
                                          {"capacity", measureCapacity},
                                          {"platform", measurePlatform},
                                          {"bare", measureBare}};
    return All;
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    MeasureContext context;
    context.examples = arguments["examples"].as<std::string>();
    context.seconds = arguments["seconds"].as<double>();
    context.seed = arguments["seed"].as<std::uint64_t>();
    context.bundle = arguments["bundle"].as<std::string>();
    context.keys = arguments["keys"].as<std::string>();
    context.service = arguments["service"].as<std::string>();
    context.entry = arguments["entry"].as<std::string>();
    context.other = arguments["other"].as<std::string>();
    if (arguments.count("words") > 0) {
        context.words = arguments["words"].as<std::vector<std::string>>();
    }
    for (const Measure &it : measures()) {
        if (!context.words.empty() && context.words.front() == it.name) {
            return it.run(context);
        }
    }
    throw Error("start", "", "a measure is needed; see scripts/measure");
}

} // namespace

} // namespace pepperlug

int main(int argc, char **argv)
{
    cxxopts::Options options("pepperlug-measure", "Measures parts of pepperlug");
    pepperlug::addCommonOptions(options);
    options.add_options()("examples", "folder of the examples",
                          cxxopts::value<std::string>()->default_value("examples"), "FOLDER");
    options.add_options()("seconds", "model time of each run", cxxopts::value<double>()->default_value("20"), "N");
    options.add_options()("seed", "of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"), "N");
    options.add_options()("bundle", "bundle of the running system", cxxopts::value<std::string>()->default_value(""),
                          "FILE");
    options.add_options()("keys", "folder of the operators' keys", cxxopts::value<std::string>()->default_value(""),
                          "FOLDER");
    options.add_options()("service", "service to call", cxxopts::value<std::string>()->default_value(""), "NAME");
    options.add_options()("entry", "entry host to call", cxxopts::value<std::string>()->default_value(""), "ADDRESS");
    options.add_options()("other", "address to compare with", cxxopts::value<std::string>()->default_value(""),
                          "ADDRESS");
    options.add_options()("words", "measure", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    options.positional_help("MEASURE");
    return pepperlug::runTool(options, argc, argv, pepperlug::run);
}
