//===- RoutingState.cpp - Replicated route tables and evacuated zones -----===//
#include "pepperlug/Routes.h"

namespace pepperlug::fleet
{

namespace
{

/// Hexadecimal digits; enough to distinguish documents that were sent under the same version.
constexpr std::size_t DigestLength = 32;

struct StoredState {
    std::uint64_t index = 0;
    std::uint64_t version = 0;
    std::string text;
    std::set<std::string> evacuated;
    std::map<std::uint64_t, std::string> digests;
    MSGPACK_DEFINE(index, version, text, evacuated, digests);
};

} // namespace

std::string RoutingState::digestOf(const RoutingCommand &command)
{
    return digestHex(std::to_string(command.baseVersion) + "\n" + command.text).substr(0, DigestLength);
}

RoutingResult RoutingState::check(const RoutingCommand &command) const
{
    switch (command.kind) {
    case RoutingCommandKind::EvacuateZone:
        return m_evacuated.contains(command.zone) ? RoutingResult::AlreadyDone : RoutingResult::Done;
    case RoutingCommandKind::ReturnZone:
        return m_evacuated.contains(command.zone) ? RoutingResult::Done : RoutingResult::AlreadyDone;
    case RoutingCommandKind::PutTable:
        break;
    }
    // A change whose answer was lost is sent again, maybe after later changes were applied.
    const auto applied = m_digests.find(command.version);
    if (applied != m_digests.end() && applied->second == digestOf(command)) {
        return RoutingResult::AlreadyDone;
    }
    if (command.baseVersion != m_version) {
        return RoutingResult::Conflict;
    }
    return command.version > m_version ? RoutingResult::Done : RoutingResult::NotNewer;
}

RoutingResult RoutingState::apply(const RoutingCommand &command, std::uint64_t index)
{
    const RoutingResult result = check(command);
    if (result != RoutingResult::Done) {
        return result;
    }
    m_index = index;
    switch (command.kind) {
    case RoutingCommandKind::EvacuateZone:
        m_evacuated.insert(command.zone);
        break;
    case RoutingCommandKind::ReturnZone:
        m_evacuated.erase(command.zone);
        break;
    case RoutingCommandKind::PutTable:
        m_version = command.version;
        m_text = command.text;
        m_digests[command.version] = digestOf(command);
        break;
    }
    return result;
}

std::uint64_t RoutingState::index() const
{
    return m_index;
}

std::uint64_t RoutingState::version() const
{
    return m_version;
}

const std::string &RoutingState::text() const
{
    return m_text;
}

const std::set<std::string> &RoutingState::evacuatedZones() const
{
    return m_evacuated;
}

std::string RoutingState::snapshot() const
{
    return encode(StoredState{m_index, m_version, m_text, m_evacuated, m_digests});
}

void RoutingState::restore(const std::string &data)
{
    const auto stored = decode<StoredState>(data, "snapshot");
    m_index = stored.index;
    m_version = stored.version;
    m_text = stored.text;
    m_evacuated = stored.evacuated;
    m_digests = stored.digests;
}

} // namespace pepperlug::fleet
