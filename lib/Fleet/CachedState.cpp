//===- CachedState.cpp - Control host state from before a restart ---------===//
#include "CachedState.h"
#include "pepperlug/Storage.h"

#include <algorithm>
#include <filesystem>
#include <iterator>

namespace pepperlug::fleet
{

namespace
{

/// Format of the file.
struct StoredState {
    std::string routing; ///< RoutingState::snapshot()
    std::vector<TargetReport> targets;
    std::vector<SuspectReport> suspects; ///< absent in files of earlier versions
    std::vector<TenantLoad> loads; ///< absent in files of earlier versions
    MSGPACK_DEFINE(routing, targets, suspects, loads);
};

} // namespace

CachedState makeCachedState(const RoutingState &routing, const Registry &registry)
{
    CachedState state{routing, {}, {}};
    for (const auto &[id, entry] : registry.targets()) {
        // Cold targets are left out: the number of hosts that share one is unknown right after a restart, so none may
        // send requests to it.
        const bool isWarm = entry.report.coldLeft <= Milliseconds(0);
        if (entry.report.presence == Presence::Ready && !entry.isSilent && isWarm) {
            state.targets.push_back(entry.report);
        }
    }
    return state;
}

void writeCachedState(const std::string &path, const CachedState &state)
{
    replaceFile(path, encode(StoredState{state.routing.snapshot(), state.targets, state.suspects, state.loads}));
}

std::optional<CachedState> readCachedState(const std::string &path)
{
    std::error_code ec; // other errors are reported by readFile()
    if (std::filesystem::status(path, ec).type() == std::filesystem::file_type::not_found) {
        return std::nullopt;
    }
    auto stored = decode<StoredState>(readFile(path), path);
    CachedState state;
    state.routing.restore(stored.routing);
    state.targets = std::move(stored.targets);
    state.suspects = std::move(stored.suspects);
    state.loads = std::move(stored.loads);
    return state;
}

std::vector<TargetReport> unreportedTargets(const std::vector<TargetReport> &targets, const Registry &registry)
{
    std::vector<TargetReport> unreported;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(unreported),
                 [&](const TargetReport &it) { return registry.target(it.id) == nullptr; });
    return unreported;
}

} // namespace pepperlug::fleet
