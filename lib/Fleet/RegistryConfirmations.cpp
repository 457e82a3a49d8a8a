//===- RegistryConfirmations.cpp - What waits until it holds everywhere ---===//
//
// What is acknowledged holds. A target's departure is acknowledged when a majority of the control hosts knows of it, so
// that it is not forgotten, and when all entry hosts that were heard within their lease have confirmed it, since only
// they could break it. A change of the routing is acknowledged when it is agreed on and the entry hosts have confirmed
// it likewise. Here is who has confirmed what, what this host owes to others, and what is acknowledged upon it.
//
//===----------------------------------------------------------------------===//
#include "../Daemon/HttpStatus.h"
#include "RegistryImpl.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// A confirmation that takes longer has been overtaken by an ask.
constexpr auto ConfirmTimeout = std::chrono::seconds(1);
/// Part of the time in which operators expect an answer, for which a change waits for confirmations. The rest is for
/// agreeing on it and for the ways. After it the operator is told to ask again: what is acknowledged holds. A host that
/// lives confirms within a lease, and one that does not is not waited for longer, so this is seldom reached.
constexpr double ConfirmPart = 0.75;
/// Hosts that a line names.
constexpr std::size_t NamedHosts = 5;

std::vector<std::string> firstOf(std::vector<std::string> names)
{
    names.resize(std::min(names.size(), NamedHosts));
    return names;
}

} // namespace

void RegistryDaemon::Impl::noteConfirmations(const FleetWatchCall &ask, bool isSameEpoch, TimePoint now)
{
    const HostReport &self = ask.self;
    if (self.role == HostRole::Control) {
        m_seenBy[self.peer] = ask.since;
        // Positions of an earlier life of this host mean nothing now.
        m_confirmations.peerConfirmed(self.peer, isSameEpoch ? ask.confirmed : NewsPosition{});
        return;
    }
    if (self.presence == Presence::Gone) {
        m_confirmations.followerLeft(self.id);
        return;
    }
    const std::optional<NewsConfirmations::Follower> before = m_confirmations.follower(self.id);
    if (before && now - before->askedAt > m_settings.updateLease) {
        // It was not waited for meanwhile, but may have gone on by what it knew.
        m_metrics.count("pepperlug_followers_out_of_lease");
        m_events.state("follower-was-late",
                       {{"host", self.id},
                        {"silent_ms", std::chrono::duration_cast<Milliseconds>(now - before->askedAt).count()},
                        {"had_routing", before->has.routing},
                        {"has_routing", ask.routingIndex}});
    }
    m_confirmations.followerHas(self.id, {ask.since, std::max(ask.routingIndex, ask.confirmed.routing)}, now);
}

// An entry host that has nothing, and no fetch on its way from another control host: it begins with the reply to this
// ask.
bool RegistryDaemon::Impl::hasNothing(const FleetWatchCall &ask)
{
    return ask.self.role == HostRole::Entry && ask.since == 0 && ask.routingIndex == 0 && ask.newestRoutingIndex == 0;
}

// What the first few of those that are missing have, as far as this host knows, for a line of the log.
nlohmann::json RegistryDaemon::Impl::describeMissing(const std::vector<std::string> &names, TimePoint now) const
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const std::string &name : firstOf(names)) {
        nlohmann::json host{{"host", name}};
        if (const std::optional<NewsConfirmations::Follower> follower = m_confirmations.follower(name)) {
            host["routing"] = follower->has.routing;
            host["reports"] = follower->has.reports;
            host["asked_ms_ago"] = std::chrono::duration_cast<Milliseconds>(now - follower->askedAt).count();
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

bool RegistryDaemon::Impl::isNewestOf(const std::string &peer, const std::string &host, std::uint64_t sequence)
{
    TakenConfirmation &taken = m_takenConfirmations[peer];
    if (taken.host == host && sequence <= taken.sequence) {
        return false;
    }
    taken = {host, sequence};
    return true;
}

void RegistryDaemon::Impl::onConfirm(const IncomingCallPtr &call)
{
    const auto confirmation = decode<FleetConfirmCall>(call->body(), call->peer());
    {
        const std::lock_guard lock(m_mutex);
        const bool isSameEpoch = confirmation.epoch == m_epoch;
        if (isSameEpoch && isNewestOf(confirmation.peer, confirmation.host, confirmation.sequence)) {
            m_confirmations.peerConfirmed(confirmation.peer, confirmation.confirmed);
            settle(m_clock.now());
        }
    }
    call->reply(Ok, "");
}

void RegistryDaemon::Impl::oweConfirmation(const std::optional<Address> &to, NewsPosition position)
{
    if (to && *to != m_settings.peer) {
        m_owed.push_back({*to, position, m_clock.now() + 2 * m_settings.updateLease});
    }
}

// Asks are held back by the other host, so a confirmation in the next one alone would come up to a third of a second
// late. One that is lost comes with the next ask.
void RegistryDaemon::Impl::sendOwedConfirmations(TimePoint now)
{
    std::set<Address> reached;
    std::erase_if(m_owed, [&](const OwedConfirmation &owed) {
        const bool isReached = confirmedTo(owed.to, m_epochs[owed.to]).reaches(owed.position);
        if (isReached) {
            reached.insert(owed.to);
        }
        return isReached || now > owed.until;
    });
    for (const Address &to : reached) {
        const std::string &epoch = m_epochs[to];
        const FleetConfirmCall call{m_incarnation, m_settings.peer.text(), ++m_sequence, epoch, confirmedTo(to, epoch)};
        m_net.call(to, path::FleetConfirm, encode(call), ConfirmTimeout, [](const PeerReply &) {});
    }
}

// Entry hosts may follow a control host that has ended for as long as their lease goes on.
std::vector<std::string> RegistryDaemon::Impl::followedControlHosts(TimePoint now) const
{
    std::vector<std::string> hosts;
    for (const auto &[id, entry] : m_registry.hosts()) {
        const HostReport &host = entry.report;
        const bool mayBeFollowed = now - entry.heardAt <= m_settings.updateLease + SelfReportInterval;
        if (host.role == HostRole::Control && host.id != m_incarnation && mayBeFollowed) {
            hosts.push_back(host.peer);
        }
    }
    return hosts;
}

// Whether each entry host in touch has had time to ask some control host since this one started; the followers of its
// former life may not have asked it again before.
bool RegistryDaemon::Impl::knowsFollowers(TimePoint now) const
{
    return m_settings.isFirstStart || now - m_startedAt > m_settings.updateLease;
}

// Entry hosts that ask a control host which has no majority, or lacks what was agreed on, are told at once to ask
// another one. A lease later none goes by what this one knows, so nobody has to wait until it has caught up.
bool RegistryDaemon::Impl::isFollowedByNobody(TimePoint now) const
{
    return !m_wasCurrent && now - m_notCurrentSince > m_settings.updateLease;
}

NewsPosition RegistryDaemon::Impl::confirmedTo(const Address &to, const std::string &epoch) const
{
    const TimePoint now = m_clock.now();
    if (isFollowedByNobody(now)) {
        return NewsPosition::everything();
    }
    return knowsFollowers(now) ? m_confirmations.confirmedTo(to.text(), epoch, m_routing.index(), now) : NewsPosition{};
}

// Names of hosts that may still act upon older news; empty if a position holds everywhere.
std::vector<std::string> RegistryDaemon::Impl::unconfirmed(NewsPosition position, TimePoint now) const
{
    if (!knowsFollowers(now)) {
        return {m_settings.name};
    }
    return m_confirmations.missing(position, followedControlHosts(now), now);
}

void RegistryDaemon::Impl::settle(TimePoint now)
{
    settleDepartures(now);
    settleChanges(now);
    sendOwedConfirmations(now);
}

void RegistryDaemon::Impl::settleDepartures(TimePoint now)
{
    if (m_departures.empty()) {
        return;
    }
    const ControlLogStatus status = m_log->status();
    const auto isSpread = [&](const Departure &departure) {
        std::size_t voters = 0;
        std::size_t knowing = 0;
        for (const ControlMember &member : status.members) {
            if (!member.voter) {
                continue;
            }
            const auto seen = m_seenBy.find(member.name);
            const bool knows =
                member.name == m_settings.peer.text() || (seen != m_seenBy.end() && seen->second >= departure.version);
            ++voters;
            knowing += knows ? 1 : 0;
        }
        return knowing * 2 > voters;
    };
    std::erase_if(m_departures, [&](const Departure &departure) {
        const std::vector<std::string> missing = unconfirmed({departure.version, 0}, now);
        const bool isDone = missing.empty() && isSpread(departure);
        if (!isDone && now < departure.until) {
            return false;
        }
        m_events.state(isDone ? "departure-acknowledged" : "departure-not-spread",
                       {{"target", departure.target},
                        {"registry_version", departure.version},
                        {"missing", describeMissing(missing, now)},
                        {"took_ms", std::chrono::duration_cast<Milliseconds>(now - departure.since).count()}});
        m_metrics.latency("pepperlug_departure_seconds", now - departure.since);
        departure.exchange->respond(m_dialect.controlAnswer(isDone ? ControlAnswer::Done : ControlAnswer::Unavailable,
                                                            isDone ? "" : "not all hosts know of it yet"));
        return true;
    });
}

void RegistryDaemon::Impl::awaitConfirmation(const HttpExchangePtr &exchange, const std::string &subject, bool isAgain)
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    const auto patience = std::chrono::duration_cast<Duration>(m_settings.bounds.acknowledgeTimeout * ConfirmPart);
    m_changes.push_back({exchange, subject, isAgain, m_routing.index(), now, now + patience});
    settleChanges(now);
}

void RegistryDaemon::Impl::settleChanges(TimePoint now)
{
    std::erase_if(m_changes, [&](const Change &change) {
        const std::vector<std::string> missing = unconfirmed({0, change.index}, now);
        if (!missing.empty() && now < change.until) {
            return false;
        }
        if (!missing.empty()) {
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
                           {"again", change.isAgain},
                           {"took_ms", std::chrono::duration_cast<Milliseconds>(now - change.since).count()}});
        m_metrics.latency("pepperlug_change_seconds", now - change.since);
        change.exchange->respond(m_dialect.controlAnswer(ControlAnswer::Done, {}));
        return true;
    });
}

} // namespace pepperlug::fleet
