//===- Settings.cpp - Settings of both daemons ----------------------------===//
#include "pepperlug/Daemon.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::int64_t MaxBytes = 1LL << 30;

std::vector<Address> readAddresses(ObjectReader &reader, const std::string &key, bool required)
{
    std::vector<Address> addresses;
    for (const std::string &text : reader.texts(key, required)) {
        const std::optional<Address> parsed = Address::parse(text);
        if (!parsed) {
            reader.fault(key, "\"" + text + "\" is not an IP address and port");
            continue;
        }
        if (std::find(addresses.begin(), addresses.end(), *parsed) != addresses.end()) {
            reader.fault(key, "\"" + text + "\" is given twice");
        }
        addresses.push_back(*parsed);
    }
    return addresses;
}

Milliseconds readMilliseconds(ObjectReader &reader, const std::string &key, std::int64_t low, std::int64_t high,
                              std::int64_t fallback)
{
    return Milliseconds(reader.integer(key, low, high, fallback));
}

} // namespace

EntrySettings parseEntrySettings(const std::string &text, const std::string &file)
{
    const nlohmann::json json = parseJson(text, file);
    Findings findings;
    ObjectReader root(json, "", file, findings);
    EntrySettings settings;
    settings.name = root.text("name");
    settings.zone = root.text("zone");
    settings.http = root.address("http");
    settings.peer = root.address("peer");
    settings.control = readAddresses(root, "control", true);
    settings.zonePeers = readAddresses(root, "zone_peers", false);
    settings.httpThreads = static_cast<unsigned>(root.integer("http_threads", 1, 64, 2));
    settings.dataFolder = root.textOr("data_folder", "");
    settings.decisionLog = root.textOr("decision_log", "");
    settings.stateLog = root.textOr("state_log", "");
    settings.maxBodyBytes = static_cast<std::size_t>(root.integer("max_body_bytes", 0, MaxBytes, 1 << 20));
    settings.maxAnswerBytes = static_cast<std::size_t>(root.integer("max_answer_bytes", 1024, MaxBytes, 8 << 20));
    settings.maxUnsizedAnswerBytes = static_cast<std::size_t>(
        root.integer("max_unsized_answer_bytes", 1024, MaxBytes, settings.maxUnsizedAnswerBytes));
    settings.headTimeout = readMilliseconds(root, "head_timeout_ms", 100, 600000, 10000);
    settings.gracePeriod = readMilliseconds(root, "grace_ms", 100, 3600000, 30000);
    const std::string strategy = root.textOr("strategy", nameOf(Strategy::Leases));
    const std::optional<Strategy> parsed = parseStrategy(strategy);
    if (!parsed) {
        root.fault("strategy", "must be \"leases\", \"nearest\", \"round-robin\" or \"reported-load\"");
    }
    settings.strategy = parsed.value_or(Strategy::Leases);
    if (settings.control.empty()) {
        root.fault("control", "must name at least one control host");
    }
    root.finish();
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
    return settings;
}

ControlSettings parseControlSettings(const std::string &text, const std::string &file)
{
    const nlohmann::json json = parseJson(text, file);
    Findings findings;
    ObjectReader root(json, "", file, findings);
    ControlSettings settings;
    settings.name = root.text("name");
    settings.dataFolder = root.text("data_folder");
    settings.stateLog = root.textOr("state_log", "");
    settings.snapshotEvery = static_cast<std::uint64_t>(root.integer("snapshot_every", 1, 1000000, 1000));
    settings.heartbeat = readMilliseconds(root, "heartbeat_ms", 10, 10000, 100);
    settings.electionTimeout = readMilliseconds(root, "election_timeout_ms", 50, 60000, 500);
    bool namesItself = false;
    for (ObjectReader &reader : root.objects("members")) {
        ControlPeer member{reader.text("name"), reader.address("peer"), reader.address("admin")};
        for (const ControlPeer &other : settings.members) {
            if (other.name == member.name) {
                reader.fault("name", "\"" + member.name + "\" is given twice");
            }
        }
        namesItself |= member.name == settings.name;
        reader.finish();
        settings.members.push_back(std::move(member));
    }
    for (ObjectReader &reader : root.objects("bootstrap_keys", false)) {
        BootstrapKey key{reader.text("name"), reader.text("public_key")};
        if (!isHex(key.publicKey, 32)) {
            reader.fault("public_key", "must be 32 bytes of lower-case hex");
        }
        reader.finish();
        settings.bootstrapKeys.push_back(std::move(key));
    }
    if (!namesItself) {
        root.fault("members", "do not name this host, \"" + settings.name + "\"");
    }
    if (settings.electionTimeout < settings.heartbeat * 3) {
        root.fault("election_timeout_ms", "must be at least three times heartbeat_ms");
    }
    root.finish();
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
    return settings;
}

} // namespace pepperlug
