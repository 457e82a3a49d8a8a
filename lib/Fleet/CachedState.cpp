//===- CachedState.cpp - What a control host knew before a restart ---------===//
#include "CachedState.h"
#include "pepperlug/Storage.h"

#include <algorithm>
#include <filesystem>
#include <iterator>

namespace pepperlug::fleet
{

namespace
{

/// Body of the file.
struct StoredRemembered {
    std::string routing; ///< RoutingState::snapshot()
    std::vector<TargetReport> targets;
    std::vector<SuspectReport> suspects; ///< absent in files of earlier versions
    std::vector<TenantLoad> loads; ///< likewise
    MSGPACK_DEFINE(routing, targets, suspects, loads);
};

} // namespace

CachedState makeCachedState(const RoutingState &routing, const Registry &registry)
{
    CachedState remembered{routing, {}, {}};
    for (const auto &[id, entry] : registry.targets()) {
        // How many hosts share a cold target is not known right after a restart, so none sends to it.
        const bool isWarm = entry.report.coldLeft <= Milliseconds(0);
        if (entry.report.presence == Presence::Ready && !entry.isSilent && isWarm) {
            remembered.targets.push_back(entry.report);
        }
    }
    return remembered;
}

void writeCachedState(const std::string &path, const CachedState &remembered)
{
    replaceFile(path,
                encode(StoredRemembered{remembered.routing.snapshot(), remembered.targets, remembered.suspects,
                                        remembered.loads}));
}

std::optional<CachedState> readCachedState(const std::string &path)
{
    std::error_code ec; // whatever else keeps the file from being read is told by readFile()
    if (std::filesystem::status(path, ec).type() == std::filesystem::file_type::not_found) {
        return std::nullopt;
    }
    auto stored = decode<StoredRemembered>(readFile(path), path);
    CachedState remembered;
    remembered.routing.restore(stored.routing);
    remembered.targets = std::move(stored.targets);
    remembered.suspects = std::move(stored.suspects);
    remembered.loads = std::move(stored.loads);
    return remembered;
}

std::vector<TargetReport> unreportedTargets(const std::vector<TargetReport> &targets, const Registry &registry)
{
    std::vector<TargetReport> unheard;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(unheard),
                 [&](const TargetReport &it) { return registry.target(it.id) == nullptr; });
    return unheard;
}

} // namespace pepperlug::fleet
