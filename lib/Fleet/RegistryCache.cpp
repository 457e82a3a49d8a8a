//===- RegistryCache.cpp - A control host's state across restarts ---------===//
//
// All targets are written at intervals that grow with their number, and what has changed since more often.
//
//===----------------------------------------------------------------------===//
#include "RegistryImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// Shortest interval between two writes.
constexpr Milliseconds CacheWriteInterval{500};
constexpr const char *CacheFileName = "remembered";

} // namespace

void RegistryDaemon::Impl::restoreCachedState()
{
    try {
        m_cached = readCachedState(cachePath());
        if (m_cached) {
            m_cachedHistory.append(viewOf(m_cached->routing));
            mergeSuspects(m_cached->suspects, false, m_clock.now());
        }
    } catch (const Error &ex) {
        // Without the file this host lacks targets only until all have reported.
        m_events.state("remembered-unreadable", {{"reason", ex.what()}});
        m_cached.reset();
    }
    if (m_cached) {
        m_events.state("remembered", {{"routing", m_cached->routing.index()}, {"targets", m_cached->targets.size()}});
    }
}

void RegistryDaemon::Impl::saveCachedState(TimePoint now)
{
    if (m_cached && now - m_startedAt > RestoredTargetLifetime) {
        m_cached.reset();
    }
    const bool isNew = m_registry.changedVersion() != m_cachedRegistryVersion
        || m_routing.index() != m_cachedRoutingIndex || m_quarantine.version() != m_cachedSuspectsVersion;
    // The file is kept until this host knows more than it holds.
    if (m_cached || m_routing.index() == 0 || !isNew || now < m_nextCacheWrite) {
        return;
    }
    m_nextCacheWrite = now + CacheWriteInterval;
    m_cachedRegistryVersion = m_registry.changedVersion();
    m_cachedRoutingIndex = m_routing.index();
    m_cachedSuspectsVersion = m_quarantine.version();
    if (now >= m_nextFullCacheWrite) {
        saveAllTargets(now);
    } else {
        saveRecentChanges(now);
    }
}

void RegistryDaemon::Impl::saveAllTargets(TimePoint now)
{
    m_nextFullCacheWrite = now + cacheWriteInterval(m_registry.targets().size());
    m_fullCacheVersion = m_registry.changedVersion();
    CachedState cached = makeCachedState(m_routing, m_registry);
    cached.suspects = m_quarantine.changedSince(0, UpdateRecipient::ControlHost, now);
    postCacheWrite([path = cachePath(), cached = std::move(cached)] {
        writeCachedState(path, cached);
        // The changes since the file before would hide newer reports of the same targets.
        writeRecentChanges(path, {cached.routing, {}, {}, cached.suspects});
    });
}

void RegistryDaemon::Impl::saveRecentChanges(TimePoint now)
{
    RecentChanges changes = makeRecentChanges(m_routing, m_registry, m_fullCacheVersion, now);
    changes.suspects = m_quarantine.changedSince(0, UpdateRecipient::ControlHost, now);
    postCacheWrite([path = cachePath(), changes = std::move(changes)] { writeRecentChanges(path, changes); });
}

std::string RegistryDaemon::Impl::cachePath() const
{
    return m_settings.dataFolder + "/" + CacheFileName;
}

void RegistryDaemon::Impl::postCacheWrite(std::function<void()> write)
{
    m_writer->post([this, write = std::move(write)] {
        try {
            write();
        } catch (const Error &ex) {
            m_events.state("remember-failed", {{"reason", ex.what()}});
            // The next changes would be those since a state that is not in the file.
            const std::lock_guard lock(m_mutex);
            m_nextFullCacheWrite = {};
        }
    });
}

} // namespace pepperlug::fleet
