//===- EntryPeer.cpp - Other entry hosts' calls become events -------------===//
#include "EntryImpl.h"
#include "Forwarding.h"
#include "HttpStatus.h"

namespace pepperlug
{

void EntryDaemon::Impl::onPeerCall(const IncomingCallPtr &call)
{
    try {
        if (call->path() == path::Lease) {
            onLeaseCall(call);
        } else if (call->path() == path::Forward) {
            onForwardCall(call);
        } else if (call->path() == path::Watch) {
            onWatchCall(call);
        } else {
            call->reply(NotFound, "unknown path " + call->path());
        }
    } catch (const Error &ex) {
        m_metrics.count("pepperlug_bad_peer_messages");
        call->reply(BadRequest, ex.what());
    }
}

void EntryDaemon::Impl::onLeaseCall(const IncomingCallPtr &call)
{
    const auto message = decode<LeaseCall>(call->body(), call->peer());
    const std::lock_guard lock(m_mutex);
    const std::optional<HostId> holder = m_bundle ? m_bundle->findHost(message.holder) : std::nullopt;
    if (!holder || !m_steering->ready()) {
        call->reply(Unavailable, "host " + message.holder + " or this host is not in the bundle in force here");
        return;
    }
    m_leaseCall = call;
    reduceLocked(LeaseRequestArrived{*holder, message.request});
    m_leaseCall = nullptr;
}

void EntryDaemon::Impl::onForwardCall(const IncomingCallPtr &call)
{
    const auto message = decode<ForwardCall>(call->body(), call->peer());
    while (!tryForwardCall(call, message)) { }
}

// Returns false if it has to be tried again with another bundle.
bool EntryDaemon::Impl::tryForwardCall(const IncomingCallPtr &call, const ForwardCall &message)
{
    const BundlePtr bundle = currentBundle();
    const std::optional<ServiceId> service = bundle ? bundle->findService(message.service) : std::nullopt;
    const std::optional<HostId> sender = bundle ? bundle->findHost(message.sender) : std::nullopt;
    if (!service || !sender) {
        // The home of a key may have run the operation before; only this host's own ledger can tell.
        ForwardReply reply;
        reply.notRun = !message.toHome;
        reply.reason = nameOf(Reason::NotReady);
        call->reply(Ok, encode(reply));
        return true;
    }
    PendingRequest pending;
    pending.call = call;
    pending.service = *service;
    pending.serviceName = message.service;
    pending.callerZone = message.callerZone;
    pending.method = message.method;
    pending.resource = message.resource;
    for (const WireHeader &header : message.headers) {
        pending.headers.push_back({header.name, header.value});
    }
    pending.key = message.key;
    pending.cls = classOfForwarded(message, bundle->services[idx(*service)].classOf(pending.method, pending.resource));
    pending.arrivedAt = m_clock.now();

    RequestArrived event;
    event.id = nextId();
    event.service = *service;
    event.cls = pending.cls;
    event.callerZone = bundle->findZone(message.callerZone);
    event.deadline = pending.arrivedAt + message.budget;
    event.forwardedBy = sender;
    event.toOwner = message.toHome;
    event.claimed = message.claimed;
    if (pending.cls == RouteClass::Once) {
        event.key = pending.key;
        event.requestDigest = digestHex(pending.method + "\n" + pending.resource + "\n" + message.body);
    }
    pending.body = std::make_shared<const std::string>(message.body);
    const RequestId id = event.id;
    if (!submit(bundle, std::move(pending), event)) {
        return false;
    }
    call->onCancel([this, id] { post(CallerDisconnected{id}); });
    return true;
}

// A host of the same zone may ask what is in force here when it can't reach the control hosts.
void EntryDaemon::Impl::onWatchCall(const IncomingCallPtr &call)
{
    const auto message = decode<WatchCall>(call->body(), call->peer());
    WatchReply reply;
    {
        const std::lock_guard lock(m_mutex);
        reply.index = m_config.index;
        reply.changed = m_config.index > message.index;
        if (reply.changed) {
            reply.hasBundle = m_bundle->digest != message.digest;
            reply.bundleText = reply.hasBundle ? m_bundleText : std::string();
            reply.drainedTargets = m_config.drainedTargets;
            reply.drainedHosts = m_config.drainedHosts;
            reply.voidHosts = m_config.voidHosts;
        }
    }
    call->reply(Ok, encode(reply));
}

} // namespace pepperlug
