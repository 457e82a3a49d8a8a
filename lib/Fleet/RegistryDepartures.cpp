//===- RegistryDepartures.cpp - Departures of targets ---------------------===//
//
// All control hosts may stop at one moment, and a report from before a departure may arrive when they are back. So a
// departure is acknowledged only when a majority of them has it on disk.
//
//===----------------------------------------------------------------------===//
#include "RegistryImpl.h"

#include <algorithm>
#include <filesystem>

namespace pepperlug::fleet
{

namespace
{

constexpr const char *DeparturesFileName = "departures";
/// Delay of another try to save departures after a failure.
constexpr Milliseconds SaveRetryDelay{500};

} // namespace

void RegistryDaemon::Impl::restoreDepartures()
{
    const std::string path = m_settings.dataFolder + "/" + DeparturesFileName;
    try {
        m_departureStore.emplace(path, m_startedAt);
    } catch (const Error &ex) {
        // A majority of the other control hosts has what was acknowledged.
        m_events.state("departures-unreadable", {{"reason", ex.what()}});
        std::filesystem::rename(path, path + ".damaged");
        m_departureStore.emplace(path, m_startedAt);
    }
    RegistryChanges changes;
    for (TargetReport &it : m_departureStore->saved()) {
        changes.targets.push_back({std::move(it), {}, false});
    }
    m_registry.merge(changes, m_startedAt);
    m_saved.recordSaved(m_registry.changedVersion());
    m_events.state("departures", {{"targets", changes.targets.size()}});
    m_departureWriter = std::make_unique<TaskThread>(); // before the first call of another host arrives
}

// The mutex is held.
void RegistryDaemon::Impl::saveDepartures(TimePoint now)
{
    const std::uint64_t version = m_registry.changedVersion();
    if (m_isSaving || version == m_saved.saved() || now < m_nextSave) {
        return;
    }
    std::vector<TargetReport> departures = m_registry.departuresSince(m_saved.saved());
    if (departures.empty()) {
        m_saved.recordSaved(version);
        return;
    }
    m_isSaving = true;
    m_departureWriter->post([this, departures = std::move(departures), version] { //
        writeDepartures(departures, version);
    });
}

void RegistryDaemon::Impl::writeDepartures(const std::vector<TargetReport> &departures, std::uint64_t version)
{
    const TimePoint startedAt = m_clock.now();
    std::string failure;
    try {
        m_departureStore->add(departures, startedAt);
    } catch (const Error &ex) {
        failure = ex.what();
    }
    const TimePoint now = m_clock.now();
    m_metrics.latency("pepperlug_departure_save_seconds", now - startedAt);
    const std::lock_guard lock(m_mutex);
    m_isSaving = false;
    if (!failure.empty()) {
        m_metrics.count("pepperlug_departure_save_failures");
        m_events.state("departures-not-saved", {{"targets", departures.size()}, {"reason", failure}});
        m_nextSave = now + SaveRetryDelay;
        return;
    }
    m_saved.recordSaved(version);
    saveDepartures(now);
    resolvePending(now);
}

// What is read at a start counts as new, so the file must not keep departures for long.
void RegistryDaemon::Impl::removeExpiredDepartures(TimePoint now)
{
    if (now < m_nextDepartureCleanup) {
        return;
    }
    m_nextDepartureCleanup = now + DepartureRetention;
    m_departureWriter->post([this] {
        try {
            m_departureStore->removeExpired(m_clock.now());
        } catch (const Error &ex) {
            m_events.state("departures-not-removed", {{"reason", ex.what()}});
        }
    });
}

// Returns the number of voters that have saved the departures up to a version of this host's registry.
std::size_t RegistryDaemon::Impl::votersThatSaved(std::uint64_t version,
                                                  const std::vector<ControlMember> &members) const
{
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const ControlMember &member) {
        if (!member.voter) {
            return false;
        }
        if (member.name == m_settings.peer.text()) {
            return m_saved.saved() >= version;
        }
        const auto saved = m_peerVersions.find(member.name);
        return saved != m_peerVersions.end() && saved->second >= version;
    }));
}

void RegistryDaemon::Impl::resolveDepartures(TimePoint now)
{
    if (m_departures.empty()) {
        return;
    }
    const ControlLogStatus status = m_log->status();
    const auto voters = static_cast<std::size_t>(std::ranges::count_if(status.members, &ControlMember::voter));
    const std::vector<std::string> controlHosts = followedControlHosts(now);
    std::erase_if(m_departures, [&](const Departure &departure) {
        const std::size_t saved = votersThatSaved(departure.version, status.members);
        const bool isDone = isInForce({departure.version, 0}, controlHosts, now) && saved * 2 > voters;
        if (!isDone && now < departure.until) {
            return false;
        }
        const std::vector<std::string> missing = unconfirmed({departure.version, 0}, now);
        m_events.state(isDone ? "departure-acknowledged" : "departure-not-spread",
                       {{"target", departure.target},
                        {"registry_version", departure.version},
                        {"saved_by", saved},
                        {"voters", voters},
                        {"missing", describeMissing(missing, now)},
                        {"took_ms", std::chrono::duration_cast<Milliseconds>(now - departure.since).count()}});
        m_metrics.latency("pepperlug_departure_seconds", now - departure.since);
        departure.exchange->respond(m_dialect.controlAnswer(isDone ? ControlAnswer::Done : ControlAnswer::Unavailable,
                                                            isDone ? "" : "not all hosts know of it yet"));
        return true;
    });
}

} // namespace pepperlug::fleet
