//===- RegistrySuspects.cpp - Requests that end targets, at a control host -===//
//
// A control host passes on what entry hosts noticed, and what it remembers from before its restart. Which trials there
// are is decided by the leading one alone, while it is sure that no other one leads.
//
//===----------------------------------------------------------------------===//
#include "PeerReplies.h"
#include "RegistryImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// To the leading control host and back; half of what an entry host waits for all of it.
constexpr Milliseconds ForwardTimeout{200};

} // namespace

// The mutex is held.
void RegistryDaemon::Impl::hearSuspects(const std::vector<SuspectReport> &suspects, bool isDirect, TimePoint now)
{
    for (const SuspectReport &it : suspects) {
        if (!m_quarantine.merge(it, isDirect, now)) {
            continue;
        }
        m_events.state("suspect",
                       {{"digest", it.digest}, {"ends", m_quarantine.endsUnder(it.digest)}, {"from_entry", isDirect}});
    }
}

void RegistryDaemon::Impl::onTrial(const IncomingCallPtr &call)
{
    auto ask = decode<FleetProbeCall>(call->body(), call->peer());
    const ControlLogStatus status = m_log->status();
    const TimePoint now = m_clock.now();
    if (status.role == ControlRole::Leader) {
        FleetProbeReply reply;
        {
            const std::lock_guard lock(m_mutex);
            reply.isGranted = status.canRead(now) && m_quarantine.grantTrial(ask.digest, now);
            replyWatchers(now);
        }
        m_events.state("trial", {{"digest", ask.digest}, {"granted", reply.isGranted}});
        call->reply(Ok, encode(reply));
        return;
    }
    const std::optional<Address> leader = Address::parse(status.leader);
    if (ask.isForwarded || !leader) {
        call->reply(Ok, encode(FleetProbeReply{}));
        return;
    }
    ask.isForwarded = true;
    m_net.call(*leader, path::FleetProbe, encode(ask), ForwardTimeout, [call](const PeerReply &reply) {
        const auto decided = readReply<FleetProbeReply>(reply, "leading control host");
        call->reply(Ok, encode(decided.message.value_or(FleetProbeReply{})));
    });
}

} // namespace pepperlug::fleet
