//===- Context.cpp - Settings and table of the commands -------------------===//
#include "Commands.h"

namespace pepperlug
{

namespace
{

Address addressOf(const std::string &text)
{
    const std::optional<Address> address = Address::parse(text);
    if (!address) {
        throw Error("start", "", "\"" + text + "\" is not an IP address and port");
    }
    return *address;
}

void readSettings(const std::string &file, CommandContext &context)
{
    const nlohmann::json json = parseJson(readFile(file), file);
    Findings findings;
    ObjectReader root(json, "", file, findings);
    for (const std::string &text : root.texts("control", false)) {
        const std::optional<Address> address = Address::parse(text);
        if (!address) {
            root.fault("control", "\"" + text + "\" is not an IP address and port");
            continue;
        }
        context.control.push_back(*address);
    }
    context.operatorName = root.textOr("operator", "");
    context.keyFile = root.textOr("key", "");
    root.finish();
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
}

std::string textOf(const cxxopts::ParseResult &arguments, const std::string &name, const std::string &fallback)
{
    return arguments.count(name) > 0 ? arguments[name].as<std::string>() : fallback;
}

} // namespace

CommandContext makeContext(const cxxopts::ParseResult &arguments)
{
    CommandContext context;
    if (arguments.count("config") > 0) {
        readSettings(arguments["config"].as<std::string>(), context);
    }
    if (arguments.count("control") > 0) {
        context.control.clear();
        for (const std::string &text : arguments["control"].as<std::vector<std::string>>()) {
            context.control.push_back(addressOf(text));
        }
    }
    if (arguments.count("words") > 0) {
        context.words = arguments["words"].as<std::vector<std::string>>();
    }
    context.operatorName = textOf(arguments, "operator", context.operatorName);
    context.keyFile = textOf(arguments, "key", context.keyFile);
    context.entry = textOf(arguments, "entry", "");
    context.client = textOf(arguments, "client", "");
    context.wait = arguments.count("wait") > 0;
    context.json = arguments.count("json") > 0;
    context.timeout = Milliseconds(arguments["timeout-ms"].as<std::int64_t>());
    return context;
}

const std::vector<Command> &commands()
{
    static const std::vector<Command> All{
        {"check", "check FILE...", "check bundles; every finding is printed with file, path and reason", checkCommand},
        {"keygen", "keygen FILE", "make an operator's key pair; prints the public key", keygenCommand},
        {"propose", "propose BUNDLE", "propose a bundle under its version", proposeCommand},
        {"sign", "sign BUNDLE", "sign the bundle off; the author's own signature does not count", signCommand},
        {"rollout", "rollout BUNDLE [--wait]", "put a signed-off bundle in force", rolloutCommand},
        {"status", "status [--json]", "what is in force, where, and who leads", statusCommand},
        {"drain", "drain target|host NAME [--wait]", "give no new work to a target, or no new callers to an entry host",
         drainCommand},
        {"undrain", "undrain target|host NAME", "take a drain back", undrainCommand},
        {"lookup", "lookup SERVICE --entry ADDRESS [--client IP]", "ask an entry host which one to use", lookupCommand},
        {"explain", "explain ID FILE...", "print a request's way through the log lines of any number of processes",
         explainCommand},
        {"replay", "replay FILE...", "replay traces and check their stated outcomes", replayCommand},
    };
    return All;
}

} // namespace pepperlug
