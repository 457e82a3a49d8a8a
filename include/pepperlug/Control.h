//===- pepperlug/Control.h - State machine of the control hosts --*- C++ -*-===//
//
// The state machine behind the replicated control log: bundles that are proposed,
// signed off and put in force, drains, and void entry hosts, whose slices may be
// taken over. Pure and deterministic: every control host applies the same commands
// in order.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Bundle.h"
#include "pepperlug/Codec.h"

namespace pepperlug
{

enum class CommandKind : std::uint8_t {
    Propose, ///< submits a bundle under a version
    Sign, ///< an operator's sign-off
    Rollout, ///< puts a signed-off bundle in force
    DrainTarget,
    UndrainTarget,
    DrainHost,
    UndrainHost,
    VoidHost, ///< by the leader: the host's slice has expired, and its zone may take it over
    UnvoidHost,
};
const char *nameOf(CommandKind kind);

struct ControlCommand {
    CommandKind kind{};
    std::string author; ///< operator, or the leader's name
    std::uint64_t version = 0;
    std::string digest;
    std::string text; ///< bundle
    std::string signature;
    std::string subject; ///< target or host
    MSGPACK_DEFINE(kind, author, version, digest, text, signature, subject);
};

enum class CommandStatus : std::uint8_t {
    Done,
    AlreadyDone, ///< a repeated command, which had its effect the first time
    Conflict, ///< the version is taken by another bundle
    Refused,
};

struct CommandResult {
    CommandStatus status{};
    std::string reason;
    std::string winnerDigest; ///< with Conflict
    std::string winnerAuthor;
};

/// A bundle and its state: proposed, signed, in force or superseded.
struct BundleRecord {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string text; ///< cleared once a later version is in force
    std::vector<std::string> signers;
    std::uint64_t inForceIndex = 0; ///< of the log, of its rollout; 0 before that
    MSGPACK_DEFINE(version, digest, author, text, signers, inForceIndex);
};

/// The configuration that entry hosts must have in force.
struct ConfigState {
    std::uint64_t index = 0; ///< of the last command that changed it
    std::string bundleText;
    std::vector<std::string> drainedTargets;
    std::vector<std::string> drainedHosts;
    std::vector<std::string> voidHosts;
    MSGPACK_DEFINE(index, bundleText, drainedTargets, drainedHosts, voidHosts);
    bool operator==(const ConfigState &) const = default;
};

struct BootstrapKey {
    std::string name;
    std::string publicKey;
};

class ControlState
{
public:
    /// Until a bundle is in force, the holders of the bootstrap keys may propose and sign.
    explicit ControlState(std::vector<BootstrapKey> bootstrapKeys);

    CommandResult apply(const ControlCommand &command, std::uint64_t index);
    std::string snapshot() const;
    /// Throws Error if the data can't be decoded.
    void restore(const std::string &data);

    const ConfigState &config() const;
    const std::map<std::uint64_t, BundleRecord> &bundles() const;
    const BundlePtr &bundle() const;
    std::uint64_t versionInForce() const;
    /// Returns the public key of an operator who may issue this kind of command now; nothing if there is none.
    std::optional<std::string> keyFor(const std::string &operatorName, CommandKind kind) const;
    unsigned signaturesRequired() const;

private:
    CommandResult propose(const ControlCommand &command);
    CommandResult sign(const ControlCommand &command);
    CommandResult rollout(const ControlCommand &command, std::uint64_t index);
    CommandResult setListed(std::vector<std::string> &names, const std::string &subject, bool isListed,
                            std::uint64_t index);
    void pruneBundles();

    std::vector<BootstrapKey> m_bootstrapKeys;
    std::map<std::uint64_t, BundleRecord> m_bundles; ///< by version
    ConfigState m_config;
    BundlePtr m_bundle;
};

} // namespace pepperlug

PEPPERLUG_CODEC_ENUM(pepperlug::CommandKind);
