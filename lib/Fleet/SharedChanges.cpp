//===- SharedChanges.cpp - Changes made once for many hosts ---------------===//
#include "SharedChanges.h"

#include "CachedState.h"
#include "PackedChanges.h"

namespace pepperlug::fleet
{

namespace
{

// Entry hosts receive the demand summed by region, and connect to one another only by the address for callers.
void removeLoad(RegistryChanges &changes)
{
    for (AgedReport<HostReport> &it : changes.hosts) {
        if (it.report.role == HostRole::Entry) {
            it.report.demand.clear();
            it.report.peer.clear();
        }
    }
}

RegistryChanges changesOf(const Registry &registry, const Audience &audience, TimePoint now)
{
    if (audience.reader == UpdateRecipient::ControlHost) {
        return registry.receivedSince(audience.since, now);
    }
    RegistryChanges changes = registry.changedSince(audience.since, now);
    removeLoad(changes);
    return changes;
}

// Both are taken from the registry at one moment: a target that reports between them would be in neither.
SharedChanges makeSharedChanges(const Audience &audience, const Registry &registry,
                                const std::vector<TargetReport> &cachedTargets, TimePoint now)
{
    SharedChanges shared;
    shared.madeAt = now;
    shared.version = registry.version();
    shared.changes = changesOf(registry, audience, now);
    if (audience.hasNoState) {
        shared.cachedTargets = unreportedTargets(cachedTargets, registry);
    }
    if (changeCount(shared.changes) >= MinPackedChanges) {
        shared.packed = packChanges(shared.changes);
    }
    if (shared.cachedTargets.size() >= MinPackedChanges) {
        shared.packedCachedTargets = packTargets(shared.cachedTargets);
    }
    return shared;
}

} // namespace

Audience audienceOf(const FleetWatchCall &call)
{
    const bool isEntry = call.self.role == HostRole::Entry;
    const bool hasNoState = isEntry && call.routingIndex == 0 && call.since == 0;
    return {isEntry ? UpdateRecipient::EntryHost : UpdateRecipient::ControlHost, call.since, hasNoState};
}

void SharedChanges::copyTo(FleetWatchReply &reply, const FleetWatchCall &call) const
{
    reply.version = version;
    reply.isWhole = call.since == 0;
    if (call.readsPacked && !packed.empty()) {
        reply.packedChanges = packed;
    } else {
        reply.changes = changes;
    }
    if (call.readsPacked && !packedCachedTargets.empty()) {
        reply.packedCachedTargets = packedCachedTargets;
    } else {
        reply.cachedTargets = cachedTargets;
    }
}

const SharedChanges &ChangesCache::changesFor(const Audience &audience, const Registry &registry,
                                              const std::vector<TargetReport> &cachedTargets, TimePoint now)
{
    const auto it = m_changes.find(audience);
    if (it != m_changes.end()) {
        const bool isOfThisVersion = it->second.version == registry.version();
        const bool isRecentSnapshot = audience.since == 0 && now - it->second.madeAt < SnapshotLifetime;
        if (isOfThisVersion || isRecentSnapshot) {
            return it->second;
        }
    }
    ++m_madeCount;
    return m_changes.insert_or_assign(audience, makeSharedChanges(audience, registry, cachedTargets, now))
        .first->second;
}

void ChangesCache::removeExpired(TimePoint now)
{
    std::erase_if(m_changes, [&](const auto &it) {
        const bool isSnapshot = it.first.since == 0;
        return !isSnapshot || now - it.second.madeAt >= SnapshotLifetime;
    });
}

std::uint64_t ChangesCache::madeCount() const
{
    return m_madeCount;
}

} // namespace pepperlug::fleet
