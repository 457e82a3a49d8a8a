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
    MSGPACK_DEFINE(routing, targets, suspects);
};

/// Format of the file of recent changes.
struct StoredChanges {
    std::string routing; ///< RoutingState::snapshot()
    std::vector<std::string> changedTargets;
    std::vector<TargetReport> targets;
    std::vector<SuspectReport> suspects;
    MSGPACK_DEFINE(routing, changedTargets, targets, suspects);
};

constexpr const char *ChangesSuffix = "-changes";
/// Processor time of a target in a write of all, and the share of a processor for these writes.
constexpr std::chrono::microseconds WriteCostPerTarget{2};
constexpr double WriteShare = 0.01;
/// Shortest interval between two writes.
constexpr Milliseconds MinWriteInterval{500};

// Cold targets are left out: the number of hosts that share one is unknown right after a restart, so none may send
// requests to it.
bool isRestorable(const TargetReport &report, bool isSilent)
{
    return report.presence == Presence::Ready && !isSilent && report.coldLeft <= Milliseconds(0);
}

bool exists(const std::string &path)
{
    std::error_code ec; // other errors are reported by readFile()
    return std::filesystem::status(path, ec).type() != std::filesystem::file_type::not_found;
}

void applyRecentChanges(CachedState &state, const std::string &path)
{
    if (!exists(path)) {
        return;
    }
    auto stored = decode<StoredChanges>(readFile(path), path);
    RoutingState routing;
    routing.restore(stored.routing);
    if (routing.index() >= state.routing.index()) {
        state.routing = std::move(routing);
    }
    const std::set<std::string> changed(stored.changedTargets.begin(), stored.changedTargets.end());
    std::erase_if(state.targets, [&](const TargetReport &it) { return changed.contains(it.id); });
    std::move(stored.targets.begin(), stored.targets.end(), std::back_inserter(state.targets));
    state.suspects = std::move(stored.suspects);
}

} // namespace

Duration cacheWriteInterval(std::size_t targets)
{
    const auto cost = WriteCostPerTarget * static_cast<std::chrono::microseconds::rep>(targets);
    return std::max<Duration>(MinWriteInterval, std::chrono::duration_cast<Duration>(cost / WriteShare));
}

CachedState makeCachedState(const RoutingState &routing, const Registry &registry)
{
    CachedState state{routing, {}, {}};
    for (const auto &[id, entry] : registry.targets()) {
        if (isRestorable(entry.report, entry.isSilent)) {
            state.targets.push_back(entry.report);
        }
    }
    return state;
}

RecentChanges makeRecentChanges(const RoutingState &routing, const Registry &registry, std::uint64_t version,
                                TimePoint now)
{
    RecentChanges changes{routing, {}, {}, {}};
    for (const AgedReport<TargetReport> &it : registry.changedSince(version, now).targets) {
        changes.changedTargets.push_back(it.report.id);
        if (isRestorable(it.report, it.isSilent)) {
            changes.targets.push_back(it.report);
        }
    }
    return changes;
}

void writeRecentChanges(const std::string &path, const RecentChanges &changes)
{
    replaceFile(
        path + ChangesSuffix,
        encode(StoredChanges{changes.routing.snapshot(), changes.changedTargets, changes.targets, changes.suspects}));
}

void writeCachedState(const std::string &path, const CachedState &state)
{
    replaceFile(path, encode(StoredState{state.routing.snapshot(), state.targets, state.suspects}));
}

std::optional<CachedState> readCachedState(const std::string &path)
{
    if (!exists(path)) {
        return std::nullopt;
    }
    auto stored = decode<StoredState>(readFile(path), path);
    CachedState state;
    state.routing.restore(stored.routing);
    state.targets = std::move(stored.targets);
    state.suspects = std::move(stored.suspects);
    applyRecentChanges(state, path + ChangesSuffix);
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
