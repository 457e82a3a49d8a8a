//===- ControlCommands.cpp - Commands to the control hosts ----------------===//
#include "Commands.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace pepperlug
{

namespace
{

using nlohmann::json;

constexpr auto PollInterval = Milliseconds(50);
constexpr unsigned Ok = 200;

struct LoadedBundle {
    std::string text;
    BundlePtr bundle;
};

LoadedBundle loadBundle(const CommandContext &context)
{
    if (context.words.size() != 1) {
        throw Error("start", "", "the command takes one bundle file");
    }
    const std::string &file = context.words.front();
    LoadedBundle loaded;
    loaded.text = readFile(file);
    loaded.bundle = parseBundle(loaded.text, file);
    return loaded;
}

std::string secretKey(const CommandContext &context)
{
    if (context.operatorName.empty() || context.keyFile.empty()) {
        throw Error("start", "", "--operator and --key are needed");
    }
    const json key = parseJson(readFile(context.keyFile), context.keyFile);
    Findings findings;
    ObjectReader root(key, "", context.keyFile, findings);
    root.text("public_key");
    std::string secret = root.text("secret_key");
    root.finish();
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
    return secret;
}

AdminClient makeClient(const CommandContext &context)
{
    if (context.control.empty()) {
        throw Error("start", "", "--control is needed");
    }
    return AdminClient(context.control, context.clock);
}

// An election may be on its way; a command that no one leads is tried again for a while. The same command twice is
// safe.
AdminReply postCommand(CommandContext &context, const std::string &name, const json &body)
{
    AdminClient client = makeClient(context);
    client.setOperator(context.operatorName, secretKey(context));
    const TimePoint until = context.clock.now() + context.timeout;
    for (;;) {
        try {
            AdminReply reply = client.post("/v1/commands/" + name, body);
            const bool isUnclear = reply.status >= 500;
            if (!isUnclear || context.clock.now() > until) {
                return reply;
            }
        } catch (const Error &) {
            if (context.clock.now() > until) {
                throw;
            }
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

ExitCode report(const AdminReply &reply, const std::string &done)
{
    if (reply.status == Ok) {
        std::cout << done << (reply.body.value("again", false) ? " (was so already)" : "") << "\n";
        return ExitCode::Success;
    }
    std::cerr << "pepperlug: refused: " << reply.body.value("reason", "no reason given") << "\n";
    for (const json &finding : reply.body.value("findings", json::array())) {
        std::cerr << "pepperlug: " << finding.get<std::string>() << "\n";
    }
    if (reply.body.contains("winner_digest")) {
        std::cerr << "pepperlug: winner: digest " << reply.body["winner_digest"].get<std::string>() << " of "
                  << reply.body["winner_author"].get<std::string>() << "\n";
    }
    return ExitCode::Refused;
}

json status(const CommandContext &context)
{
    AdminClient client = makeClient(context);
    json best;
    // Prefer the leader's view: it alone hears from every entry host.
    for (const Address &address : context.control) {
        AdminClient one({address}, context.clock);
        try {
            json body = one.get("/v1/status").body;
            if (best.is_null() || body.value("role", "") == "leader") {
                best = std::move(body);
            }
        } catch (const Error &) {
            continue;
        }
    }
    return best.is_null() ? client.get("/v1/status").body : best;
}

/// Polls the status until the check holds. Returns the last status.
template <typename Check>
std::pair<bool, json> waitFor(const CommandContext &context, Check check)
{
    const TimePoint until = context.clock.now() + context.timeout;
    json last;
    for (;;) {
        last = status(context);
        if (check(last)) {
            return {true, last};
        }
        if (context.clock.now() > until) {
            return {false, last};
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void printHosts(const json &status)
{
    for (const json &host : status.at("hosts")) {
        const auto age = host.at("seen_ms_ago").get<std::int64_t>();
        std::cout << "  " << std::left << std::setw(20) << host.at("name").get<std::string>()
                  << (host.at("in_force").get<bool>() ? "in force" : "not in force") << ", "
                  << (age < 0 ? "never heard" : "heard " + std::to_string(age) + " ms ago") << "\n";
    }
}

ExitCode waitInForce(CommandContext &context, std::uint64_t version)
{
    const TimePoint start = context.clock.now();
    const auto [held, last] = waitFor(context, [&](const json &it) {
        const auto &hosts = it.at("hosts");
        return it.at("version_in_force").get<std::uint64_t>() >= version && !hosts.empty()
            && std::all_of(hosts.begin(), hosts.end(),
                           [](const json &host) { return host.at("in_force").get<bool>(); });
    });
    printHosts(last);
    if (!held) {
        std::cerr << "pepperlug: not in force everywhere within the time given\n";
        return ExitCode::Failure;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(context.clock.now() - start);
    std::cout << "in force at all " << last.at("hosts").size() << " entry hosts after " << took.count() << " ms\n";
    return ExitCode::Success;
}

ExitCode changeDrain(CommandContext &context, bool isDrain)
{
    const bool isTarget = context.words.size() == 2 && context.words[0] == "target";
    const bool isHost = context.words.size() == 2 && context.words[0] == "host";
    if (!isTarget && !isHost) {
        throw Error("start", "", "the command takes target NAME or host NAME");
    }
    const std::string &subject = context.words[1];
    const std::string command = std::string(isDrain ? "drain-" : "undrain-") + context.words[0];
    const TimePoint start = context.clock.now();
    const AdminReply reply = postCommand(context, command, {{"subject", subject}});
    const ExitCode code = report(reply, command + " " + subject);
    if (code != ExitCode::Success || !context.wait || !isDrain || !isTarget) {
        return code;
    }
    const auto [held, last] = waitFor(context, [&](const json &it) {
        const auto idle = it.at("idle_drained").get<std::vector<std::string>>();
        return std::find(idle.begin(), idle.end(), subject) != idle.end();
    });
    if (!held) {
        std::cerr << "pepperlug: " << subject << " is not idle within the time given\n";
        return ExitCode::Failure;
    }
    const auto took = std::chrono::duration_cast<Milliseconds>(context.clock.now() - start);
    std::cout << subject << " is idle after " << took.count() << " ms\n";
    return ExitCode::Success;
}

} // namespace

ExitCode proposeCommand(CommandContext &context)
{
    const LoadedBundle loaded = loadBundle(context);
    const json body{{"version", loaded.bundle->version}, {"digest", loaded.bundle->digest}, {"text", loaded.text}};
    return report(postCommand(context, "propose", body), "proposed version " + std::to_string(loaded.bundle->version));
}

ExitCode signCommand(CommandContext &context)
{
    const LoadedBundle loaded = loadBundle(context);
    const std::string signature =
        signText(signOffText(loaded.bundle->version, loaded.bundle->digest), secretKey(context));
    const json body{{"version", loaded.bundle->version}, {"digest", loaded.bundle->digest}, {"signature", signature}};
    return report(postCommand(context, "sign", body), "signed version " + std::to_string(loaded.bundle->version));
}

ExitCode rolloutCommand(CommandContext &context)
{
    const LoadedBundle loaded = loadBundle(context);
    const json body{{"version", loaded.bundle->version}, {"digest", loaded.bundle->digest}};
    const ExitCode code =
        report(postCommand(context, "rollout", body), "rolled out version " + std::to_string(loaded.bundle->version));
    if (code != ExitCode::Success || !context.wait) {
        return code;
    }
    return waitInForce(context, loaded.bundle->version);
}

ExitCode statusCommand(CommandContext &context)
{
    const json it = status(context);
    if (context.json) {
        std::cout << it.dump(2) << "\n";
        return ExitCode::Success;
    }
    std::cout << "control host " << it.at("name").get<std::string>() << ": " << it.at("role").get<std::string>()
              << ", term " << it.at("term") << ", leader " << it.at("leader").get<std::string>() << ", commit "
              << it.at("commit") << "\n";
    std::cout << "bundle version " << it.at("version_in_force") << " in force, configuration index "
              << it.at("config_index") << "\n";
    printHosts(it);
    for (const char *key : {"drained_targets", "drained_hosts", "void_hosts"}) {
        if (!it.at(key).empty()) {
            std::cout << key << ": " << it.at(key).dump() << "\n";
        }
    }
    return ExitCode::Success;
}

ExitCode drainCommand(CommandContext &context)
{
    return changeDrain(context, true);
}

ExitCode undrainCommand(CommandContext &context)
{
    return changeDrain(context, false);
}

} // namespace pepperlug
