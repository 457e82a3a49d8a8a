//===- RegistryConfirmations.cpp - Acknowledgements of a control host -----===//
//
// What is acknowledged must hold. A target's departure is acknowledged when a majority of the control hosts has saved
// it, so that it isn't forgotten, and when all entry hosts whose lease is valid have confirmed it, since only these
// could violate it. A routing change is acknowledged when it is committed and these entry hosts have confirmed it. This
// file keeps track of the confirmations, sends those that other control hosts wait for, and acknowledges changes.
//
//===----------------------------------------------------------------------===//
#include "../Daemon/HttpStatus.h"
#include "RegistryImpl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Within this time a poll carries the confirmation, too.
constexpr auto ConfirmTimeout = std::chrono::seconds(1);
/// Share of the acknowledge timeout for which a change waits for confirmations. The rest is for the commit and for
/// network delays. After it the operator has to send the change again: what is acknowledged must hold. A live host
/// confirms within a lease, and a dead one isn't waited for longer than that, so the timeout is rarely reached.
constexpr double ConfirmShare = 0.75;
/// Hosts that a log line names.
constexpr std::size_t MaxNamedHosts = 5;

std::vector<std::string> firstOf(std::vector<std::string> names)
{
    names.resize(std::min(names.size(), MaxNamedHosts));
    return names;
}

} // namespace

void RegistryDaemon::Impl::recordConfirmations(const FleetWatchCall &request, bool isSameEpoch, TimePoint now)
{
    const HostReport &self = request.self;
    if (self.role == HostRole::Control) {
        m_peerVersions[self.peer] = std::min(request.since, request.saved);
        // Versions of an earlier incarnation of this host are invalid.
        m_confirmations.recordPeerConfirmation(self.peer, isSameEpoch ? request.confirmed : UpdateVersions{});
        return;
    }
    if (self.presence == Presence::Gone) {
        m_confirmations.removeFollower(self.id);
        return;
    }
    const std::optional<UpdateConfirmations::Follower> before = m_confirmations.follower(self.id);
    if (before && now - before->polledAt > m_settings.updateLease) {
        // Its confirmation wasn't waited for meanwhile, but it may have gone on deciding by its old state.
        m_metrics.count("pepperlug_followers_out_of_lease");
        m_events.state("follower-was-late",
                       {{"host", self.id},
                        {"silent_ms", std::chrono::duration_cast<Milliseconds>(now - before->polledAt).count()},
                        {"had_routing", before->applied.routingIndex},
                        {"has_routing", request.routingIndex}});
    }
    m_confirmations.recordPoll(self.id, {request.since, std::max(request.routingIndex, request.confirmed.routingIndex)},
                               now);
}

// An entry host without state, and without a pending fetch from another control host: it starts with the reply to this
// request.
bool RegistryDaemon::Impl::isUninitialized(const FleetWatchCall &request)
{
    return request.self.role == HostRole::Entry && request.since == 0 && request.routingIndex == 0
        && request.newestRoutingIndex == 0;
}

// State of the first few missing hosts, as far as this host knows it, for a log line.
nlohmann::json RegistryDaemon::Impl::describeMissing(const std::vector<std::string> &names, TimePoint now) const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const std::string &name : firstOf(names)) {
        nlohmann::json host{{"host", name}};
        if (const std::optional<UpdateConfirmations::Follower> follower = m_confirmations.follower(name)) {
            host["routing"] = follower->applied.routingIndex;
            host["reports"] = follower->applied.registryVersion;
            host["asked_ms_ago"] = std::chrono::duration_cast<Milliseconds>(now - follower->polledAt).count();
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

bool RegistryDaemon::Impl::acceptSequence(const std::string &peer, const std::string &host, std::uint64_t sequence)
{
    LastConfirmation &last = m_lastConfirmations[peer];
    if (last.host == host && sequence <= last.sequence) {
        return false;
    }
    last = {host, sequence};
    return true;
}

void RegistryDaemon::Impl::onConfirm(const IncomingCallPtr &call)
{
    const auto confirmation = decode<FleetConfirmCall>(call->body(), call->peer());
    {
        const std::lock_guard lock(m_mutex);
        const bool isSameEpoch = confirmation.epoch == m_epoch;
        if (isSameEpoch && acceptSequence(confirmation.peer, confirmation.host, confirmation.sequence)) {
            m_confirmations.recordPeerConfirmation(confirmation.peer, confirmation.confirmed);
            std::uint64_t &saved = m_peerVersions[confirmation.peer];
            saved = std::max(saved, confirmation.saved);
            resolvePending(m_clock.now());
        }
    }
    call->reply(Ok, "");
}

void RegistryDaemon::Impl::queueConfirmation(const std::optional<Address> &to, UpdateVersions position)
{
    if (!to || *to == m_settings.peer) {
        return;
    }
    const TimePoint until = m_clock.now() + 2 * m_settings.updateLease;
    m_pendingConfirmations.push_back({*to, position, until});
    if (position.registryVersion > 0) {
        m_pendingConfirmations.push_back({*to, position, until, true});
    }
}

bool RegistryDaemon::Impl::hasReached(const PendingConfirmation &pending, UpdateVersions confirmed)
{
    if (pending.isOfSaving) {
        return m_saved.savedOf(pending.to.text(), m_epochs[pending.to]) >= pending.position.registryVersion;
    }
    return confirmed.reaches(pending.position);
}

// Polls are held by the other host, so a confirmation in the next one would come up to a third of a second late. A
// confirmation that is lost comes with the next poll.
void RegistryDaemon::Impl::sendPendingConfirmations(TimePoint now)
{
    std::map<Address, UpdateVersions> confirmed;
    std::set<Address> reached;
    std::erase_if(m_pendingConfirmations, [&](const PendingConfirmation &pending) {
        const auto [it, isNew] = confirmed.try_emplace(pending.to);
        if (isNew) {
            it->second = confirmedTo(pending.to, m_epochs[pending.to]);
        }
        const bool isReached = hasReached(pending, it->second);
        if (isReached) {
            reached.insert(pending.to);
        }
        return isReached || now > pending.until;
    });
    for (const Address &to : reached) {
        const std::string &epoch = m_epochs[to];
        const FleetConfirmCall call{m_incarnation, m_settings.peer.text(), ++m_sequence,
                                    epoch,         confirmed[to],          m_saved.savedOf(to.text(), epoch)};
        m_net.call(to, path::FleetConfirm, encode(call), ConfirmTimeout, [](const PeerReply &) {});
    }
}

// Entry hosts may follow a control host that has ended until their lease expires.
std::vector<std::string> RegistryDaemon::Impl::followedControlHosts(TimePoint now) const
{
    std::vector<std::string> hosts;
    for (const auto &[id, entry] : m_registry.controlHosts()) {
        const HostReport &host = entry->report;
        const bool mayBeFollowed = now - entry->receivedAt <= m_settings.updateLease + SelfReportInterval;
        if (host.id != m_incarnation && mayBeFollowed) {
            hosts.push_back(host.peer);
        }
    }
    return hosts;
}

// Returns true if each live entry host has had time to poll some control host since this one started. Followers of its
// earlier incarnation may not have polled it again before.
bool RegistryDaemon::Impl::knowsFollowers(TimePoint now) const
{
    return m_settings.isFirstStart || now - m_startedAt > m_settings.updateLease;
}

// A control host without a majority, or without the committed changes, redirects entry hosts at once to another one. A
// lease later none acts on its state, so nobody has to wait until it has caught up.
bool RegistryDaemon::Impl::hasNoFollowers(TimePoint now) const
{
    return !m_wasCurrent && now - m_notCurrentSince > m_settings.updateLease;
}

UpdateVersions RegistryDaemon::Impl::confirmedTo(const Address &to, const std::string &epoch) const
{
    const TimePoint now = m_clock.now();
    if (hasNoFollowers(now)) {
        return UpdateVersions::max();
    }
    return knowsFollowers(now) ? m_confirmations.versionsConfirmedTo(to.text(), epoch, m_routing.index(), now)
                               : UpdateVersions{};
}

bool RegistryDaemon::Impl::isInForce(UpdateVersions position, const std::vector<std::string> &controlHosts,
                                     TimePoint now) const
{
    return knowsFollowers(now) && m_confirmations.isConfirmed(position, controlHosts, now);
}

// Names of the hosts that may still act on older state; empty if the position holds everywhere.
std::vector<std::string> RegistryDaemon::Impl::unconfirmed(UpdateVersions position, TimePoint now) const
{
    if (!knowsFollowers(now)) {
        return {m_settings.name};
    }
    return m_confirmations.unconfirmedHosts(position, followedControlHosts(now), now);
}

void RegistryDaemon::Impl::resolvePending(TimePoint now)
{
    resolveDepartures(now);
    resolveChanges(now);
    sendPendingConfirmations(now);
}

void RegistryDaemon::Impl::awaitConfirmation(const HttpExchangePtr &exchange, const std::string &subject,
                                             bool isRepeated)
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    const auto timeout = std::chrono::duration_cast<Duration>(m_settings.bounds.acknowledgeTimeout * ConfirmShare);
    m_changes.push_back({exchange, subject, isRepeated, m_routing.index(), now, now + timeout});
    resolveChanges(now);
    answerPendingIfStopped();
}

void RegistryDaemon::Impl::resolveChanges(TimePoint now)
{
    if (m_changes.empty()) {
        return;
    }
    const std::vector<std::string> controlHosts = followedControlHosts(now);
    std::erase_if(m_changes, [&](const Change &change) {
        const bool isDone = isInForce({0, change.index}, controlHosts, now);
        if (!isDone && now < change.until) {
            return false;
        }
        if (!isDone) {
            const std::vector<std::string> missing = unconfirmed({0, change.index}, now);
            m_events.state(
                "change-not-confirmed",
                {{"change", change.subject}, {"hosts", missing.size()}, {"missing", describeMissing(missing, now)}});
            m_metrics.count("pepperlug_changes_not_confirmed");
            change.exchange->respond(m_dialect.controlAnswer(
                ControlAnswer::Unavailable, "agreed on, but not all hosts act by it yet; send it again"));
            return true;
        }
        m_events.decision("change-acknowledged",
                          {{"change", change.subject},
                           {"again", change.isRepeated},
                           {"took_ms", std::chrono::duration_cast<Milliseconds>(now - change.since).count()}});
        m_metrics.latency("pepperlug_change_seconds", now - change.since);
        change.exchange->respond(m_dialect.controlAnswer(ControlAnswer::Done, {}));
        return true;
    });
}

} // namespace pepperlug::fleet
