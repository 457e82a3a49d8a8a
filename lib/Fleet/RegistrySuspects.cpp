//===- RegistrySuspects.cpp - Suspect requests at a control host ----------===//
//
// A control host passes on the suspects that entry hosts noticed, and those restored from its cache file. Only the
// leader grants probes, and only while it is certain that no other host leads.
//
//===----------------------------------------------------------------------===//
#include "PeerReplies.h"
#include "RegistryImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// To the leader and back; half of an entry host's timeout for the whole probe request.
constexpr Milliseconds ForwardTimeout{200};

} // namespace

// The mutex is held.
void RegistryDaemon::Impl::mergeSuspects(const std::vector<SuspectReport> &suspects, bool isDirect, TimePoint now)
{
    for (const SuspectReport &it : suspects) {
        if (!m_quarantine.merge(it, isDirect, now)) {
            continue;
        }
        m_events.state("suspect",
                       {{"digest", it.digest}, {"ends", m_quarantine.crashCount(it.digest)}, {"from_entry", isDirect}});
    }
}

void RegistryDaemon::Impl::onProbe(const IncomingCallPtr &call)
{
    auto request = decode<FleetProbeCall>(call->body(), call->peer());
    const ControlLogStatus status = m_log->status();
    const TimePoint now = m_clock.now();
    if (status.role == ControlRole::Leader) {
        FleetProbeReply reply;
        {
            const std::lock_guard lock(m_mutex);
            reply.isGranted = status.canRead(now) && m_quarantine.grantProbe(request.digest, now);
            announceUpdates(now);
        }
        m_events.state("trial", {{"digest", request.digest}, {"granted", reply.isGranted}});
        call->reply(Ok, encode(reply));
        return;
    }
    const std::optional<Address> leader = Address::parse(status.leader);
    if (request.isForwarded || !leader) {
        call->reply(Ok, encode(FleetProbeReply{}));
        return;
    }
    request.isForwarded = true;
    m_net.call(*leader, path::FleetProbe, encode(request), ForwardTimeout, [call](const PeerReply &reply) {
        const auto decided = readReply<FleetProbeReply>(reply, "leading control host");
        call->reply(Ok, encode(decided.message.value_or(FleetProbeReply{})));
    });
}

} // namespace pepperlug::fleet
