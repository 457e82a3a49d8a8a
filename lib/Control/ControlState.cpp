//===- ControlState.cpp - Bundles, sign-off and drains --------------------===//
//
// Commands may arrive twice, since a client that lost an answer sends its command again: a repeated command has no
// further effect and succeeds. Two operators may race for one version: the first command in the log gets it, the other
// is answered with the digest and author of the first.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Control.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::size_t MaxVersionsKept = 10000;

struct SnapshotData {
    std::vector<BundleRecord> bundles;
    ConfigState config;
    MSGPACK_DEFINE(bundles, config);
};

CommandResult refused(std::string reason)
{
    return {CommandStatus::Refused, std::move(reason), {}, {}};
}

} // namespace

const char *nameOf(CommandKind kind)
{
    constexpr std::array<const char *, 9> Names{"propose",      "sign",           "rollout",
                                                "drain-target", "undrain-target", "drain-host",
                                                "undrain-host", "void-host",      "unvoid-host"};
    return Names.at(static_cast<std::size_t>(kind));
}

ControlState::ControlState(std::vector<BootstrapKey> bootstrapKeys)
    : m_bootstrapKeys(std::move(bootstrapKeys))
{
}

CommandResult ControlState::apply(const ControlCommand &command, std::uint64_t index)
{
    switch (command.kind) {
    case CommandKind::Propose:
        return propose(command);
    case CommandKind::Sign:
        return sign(command);
    case CommandKind::Rollout:
        return rollout(command, index);
    case CommandKind::DrainTarget:
    case CommandKind::UndrainTarget:
        if (!m_bundle || !m_bundle->findTarget(command.subject)) {
            return refused("no target is named \"" + command.subject + "\"");
        }
        return setListed(m_config.drainedTargets, command.subject, command.kind == CommandKind::DrainTarget, index);
    case CommandKind::DrainHost:
    case CommandKind::UndrainHost:
        if (!m_bundle || !m_bundle->findHost(command.subject)) {
            return refused("no entry host is named \"" + command.subject + "\"");
        }
        return setListed(m_config.drainedHosts, command.subject, command.kind == CommandKind::DrainHost, index);
    case CommandKind::VoidHost:
    case CommandKind::UnvoidHost:
        return setListed(m_config.voidHosts, command.subject, command.kind == CommandKind::VoidHost, index);
    }
    return refused("the command is of no known kind");
}

CommandResult ControlState::propose(const ControlCommand &command)
{
    const auto it = m_bundles.find(command.version);
    if (it != m_bundles.end()) {
        const BundleRecord &winner = it->second;
        if (winner.digest == command.digest) {
            return {CommandStatus::AlreadyDone, {}, {}, {}};
        }
        const std::string reason = "version " + std::to_string(command.version) + " is taken by bundle "
            + winner.digest.substr(0, 12) + " of " + winner.author;
        return {CommandStatus::Conflict, reason, winner.digest, winner.author};
    }
    if (command.version <= versionInForce()) {
        return refused("version " + std::to_string(versionInForce()) + " is in force; propose a higher one");
    }
    if (command.digest != digestHex(command.text)) {
        return refused("the digest is not that of the bundle");
    }
    m_bundles[command.version] = {command.version, command.digest, command.author, command.text, {}, 0};
    return {};
}

CommandResult ControlState::sign(const ControlCommand &command)
{
    const auto it = m_bundles.find(command.version);
    if (it == m_bundles.end()) {
        return refused("no bundle has version " + std::to_string(command.version));
    }
    BundleRecord &record = it->second;
    if (record.digest != command.digest) {
        return {CommandStatus::Conflict, "the signature is for another bundle", record.digest, record.author};
    }
    if (record.author == command.author) {
        return refused("the author's own signature does not count");
    }
    const std::optional<std::string> key = keyFor(command.author, CommandKind::Sign);
    if (!key || !verifyText(signOffText(record.version, record.digest), command.signature, *key)) {
        return refused("the signature of " + command.author + " does not hold");
    }
    if (std::find(record.signers.begin(), record.signers.end(), command.author) != record.signers.end()) {
        return {CommandStatus::AlreadyDone, {}, {}, {}};
    }
    record.signers.push_back(command.author);
    return {};
}

CommandResult ControlState::rollout(const ControlCommand &command, std::uint64_t index)
{
    const auto it = m_bundles.find(command.version);
    if (it == m_bundles.end()) {
        return refused("no bundle has version " + std::to_string(command.version));
    }
    BundleRecord &record = it->second;
    if (record.digest != command.digest) {
        return {CommandStatus::Conflict, "that version is another bundle", record.digest, record.author};
    }
    if (record.inForceIndex != 0) {
        return {CommandStatus::AlreadyDone, {}, {}, {}};
    }
    if (record.version <= versionInForce()) {
        return refused("version " + std::to_string(versionInForce()) + " is in force and is newer");
    }
    if (record.signers.size() < signaturesRequired()) {
        return refused("signed by " + std::to_string(record.signers.size()) + " of "
                       + std::to_string(signaturesRequired()));
    }
    try {
        m_bundle = parseBundle(record.text, "bundle " + std::to_string(record.version));
    } catch (const Error &ex) {
        return refused(ex.reason());
    }
    record.inForceIndex = index;
    m_config.bundleText = record.text;
    m_config.index = index;
    // Drains and void hosts that the new bundle no longer names have no meaning any more.
    std::erase_if(m_config.drainedTargets, [&](const std::string &name) { return !m_bundle->findTarget(name); });
    std::erase_if(m_config.drainedHosts, [&](const std::string &name) { return !m_bundle->findHost(name); });
    std::erase_if(m_config.voidHosts, [&](const std::string &name) { return !m_bundle->findHost(name); });
    pruneBundles();
    return {};
}

CommandResult ControlState::setListed(std::vector<std::string> &names, const std::string &subject, bool isListed,
                                      std::uint64_t index)
{
    const auto it = std::find(names.begin(), names.end(), subject);
    if ((it != names.end()) == isListed) {
        return {CommandStatus::AlreadyDone, {}, {}, {}};
    }
    if (isListed) {
        names.push_back(subject);
    } else {
        names.erase(it);
    }
    m_config.index = index;
    return {};
}

// Only the bundle in force and later ones need their texts. Digests stay, so that a late resend still gets AlreadyDone
// and a late competing proposal gets Conflict.
void ControlState::pruneBundles()
{
    for (auto &[version, record] : m_bundles) {
        if (version < versionInForce()) {
            record.text.clear();
        }
    }
    while (m_bundles.size() > MaxVersionsKept) {
        m_bundles.erase(m_bundles.begin());
    }
}

std::string ControlState::snapshot() const
{
    SnapshotData data;
    for (const auto &[version, record] : m_bundles) {
        data.bundles.push_back(record);
    }
    data.config = m_config;
    return encode(data);
}

void ControlState::restore(const std::string &data)
{
    auto loaded = decode<SnapshotData>(data, "snapshot");
    m_bundles.clear();
    for (BundleRecord &record : loaded.bundles) {
        const std::uint64_t version = record.version;
        m_bundles.emplace(version, std::move(record));
    }
    m_config = std::move(loaded.config);
    m_bundle = m_config.bundleText.empty() ? nullptr : parseBundle(m_config.bundleText, "snapshot");
}

const ConfigState &ControlState::config() const
{
    return m_config;
}

const std::map<std::uint64_t, BundleRecord> &ControlState::bundles() const
{
    return m_bundles;
}

const BundlePtr &ControlState::bundle() const
{
    return m_bundle;
}

std::uint64_t ControlState::versionInForce() const
{
    return m_bundle ? m_bundle->version : 0;
}

std::optional<std::string> ControlState::keyFor(const std::string &operatorName, CommandKind kind) const
{
    if (!m_bundle) {
        const auto it = std::find_if(m_bootstrapKeys.begin(), m_bootstrapKeys.end(),
                                     [&](const BootstrapKey &key) { return key.name == operatorName; });
        return it == m_bootstrapKeys.end() ? std::nullopt : std::optional(it->publicKey);
    }
    const Operator *holder = m_bundle->findOperator(operatorName);
    if (holder == nullptr) {
        return std::nullopt;
    }
    const bool isSign = kind == CommandKind::Sign;
    const bool isBundle = kind == CommandKind::Propose || kind == CommandKind::Rollout;
    const bool isPermitted = isSign ? holder->maySign : isBundle ? holder->mayPropose : holder->mayDrain;
    return isPermitted ? std::optional(holder->publicKey) : std::nullopt;
}

unsigned ControlState::signaturesRequired() const
{
    return m_bundle ? m_bundle->policy.signaturesRequired : 1;
}

} // namespace pepperlug
