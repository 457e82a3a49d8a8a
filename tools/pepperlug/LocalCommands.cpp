//===- LocalCommands.cpp - Commands that need no control host -------------===//
#include "Commands.h"
#include "pepperlug/Explain.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/stat.h>

namespace pepperlug
{

namespace
{

constexpr auto LookupTimeout = std::chrono::seconds(5);
constexpr std::size_t MaxLookupBytes = 1 << 20;
constexpr mode_t OwnerOnly = 0077;

const std::string &onlyWord(const CommandContext &context, const std::string &what)
{
    if (context.words.size() != 1) {
        throw Error("start", "", "the command takes " + what);
    }
    return context.words.front();
}

} // namespace

ExitCode checkCommand(CommandContext &context)
{
    if (context.words.empty()) {
        throw Error("start", "", "the command takes bundle files");
    }
    Findings findings;
    for (const std::string &file : context.words) {
        try {
            const BundlePtr bundle = parseBundle(readFile(file), file);
            std::cout << file << ": version " << bundle->version << ", digest " << bundle->digest << ", "
                      << bundle->hosts.size() << " entry hosts, " << bundle->targets.size() << " targets, "
                      << bundle->clients.blocks() << " client blocks\n";
        } catch (const InvalidInput &ex) {
            findings.insert(findings.end(), ex.findings().begin(), ex.findings().end());
        }
    }
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
    return ExitCode::Success;
}

ExitCode keygenCommand(CommandContext &context)
{
    const std::string &file = onlyWord(context, "the file to write");
    if (std::ifstream(file)) {
        throw Error("write key", file, "the file exists");
    }
    const KeyPair keys = makeKeyPair();
    umask(OwnerOnly);
    std::ofstream out(file);
    out << nlohmann::json({{"public_key", keys.publicKey}, {"secret_key", keys.secretKey}}).dump(2) << "\n";
    if (!out.flush()) {
        throw Error("write key", file, "cannot be written");
    }
    std::cout << keys.publicKey << "\n";
    return ExitCode::Success;
}

ExitCode lookupCommand(CommandContext &context)
{
    const std::string &service = onlyWord(context, "a service");
    const std::optional<Address> entry = Address::parse(context.entry);
    if (!entry) {
        throw Error("start", "", "--entry must be an IP address and port");
    }
    HttpClient client(MaxLookupBytes);
    HttpCall call;
    call.to = *entry;
    call.method = "GET";
    call.resource = "/v1/lookup?service=" + service + (context.client.empty() ? "" : "&client=" + context.client);
    call.headers = {{"Host", entry->text()}};
    call.timeout = LookupTimeout;
    call.mayRepeat = true;
    const HttpResult result = fetch(client, std::move(call));
    if (result.kind != HttpResult::Kind::Answered) {
        throw Error("look up", entry->text(), result.reason);
    }
    std::cout << result.answer.body;
    return result.answer.status == 200 ? ExitCode::Success : ExitCode::Refused;
}

ExitCode replayCommand(CommandContext &context)
{
    if (context.words.empty()) {
        throw Error("start", "", "the command takes trace files");
    }
    for (const std::string &file : context.words) {
        std::istringstream in(readFile(file));
        std::vector<std::string> lines;
        for (std::string line; std::getline(in, line);) {
            lines.push_back(std::move(line));
        }
        const std::size_t held = replayTrace(lines, file);
        std::cout << file << ": " << lines.size() << " lines, " << held << " outcomes hold\n";
    }
    return ExitCode::Success;
}

ExitCode explainCommand(CommandContext &context)
{
    if (context.words.size() < 2) {
        throw Error("start", "", "the command takes a request's id and log files");
    }
    std::vector<std::string> lines;
    for (std::size_t n = 1; n < context.words.size(); ++n) {
        std::istringstream text(readFile(context.words[n]));
        for (std::string line; std::getline(text, line);) {
            lines.push_back(std::move(line));
        }
    }
    std::cout << textOf(explainRequest(context.words.front(), lines));
    return ExitCode::Success;
}

} // namespace pepperlug
