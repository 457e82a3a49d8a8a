//===- Messages.cpp - What hosts send to each other in the model ----------===//
#include "pepperlug/Model.h"

namespace pepperlug
{

// Lease messages may be lost, repeated and overtake each other; that is what their sequence numbers are for.
void Driver::sendLease(HostId from, HostId to, const std::function<void()> &deliver)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (isCut(from, to) || share(m_random) < m_settings.lossShare) {
        return;
    }
    const unsigned copies = share(m_random) < m_settings.repeatShare ? 2 : 1;
    for (unsigned n = 0; n < copies; ++n) {
        const auto jitter =
            static_cast<Duration::rep>(share(m_random) * static_cast<double>(m_settings.jitter.count()));
        after(latency(from, to) + Duration(jitter), deliver);
    }
}

void Driver::askLease(HostId holder, const SendLeaseRequest &effect)
{
    const std::uint64_t incarnation = m_hosts[idx(holder)].incarnation;
    sendLease(holder, effect.issuer, [this, holder, issuer = effect.issuer, request = effect.request] {
        post(issuer, LeaseRequestArrived{holder, request});
    });
    after(effect.timeout, [this, holder, incarnation, issuer = effect.issuer, sequence = effect.request.sequence] {
        if (m_hosts[idx(holder)].incarnation == incarnation) {
            post(holder, LeaseFailed{issuer, sequence});
        }
    });
}

void Driver::grantLease(HostId issuer, const GrantLease &effect)
{
    const std::uint64_t incarnation = m_hosts[idx(effect.holder)].incarnation;
    sendLease(issuer, effect.holder, [this, issuer, incarnation, holder = effect.holder, grant = effect.grant] {
        if (m_hosts[idx(holder)].incarnation == incarnation) {
            post(holder, LeaseGranted{issuer, grant});
        }
    });
}

void Driver::forward(HostId host, const Forward &effect)
{
    RequestModel &request = m_requests[{host, effect.id}];
    const std::uint64_t incarnation = m_hosts[idx(host)].incarnation;
    const Duration oneWay = latency(host, effect.host);
    const bool isLost = isCut(host, effect.host) || !m_hosts[idx(effect.host)].steering;
    if (isLost) {
        after(oneWay * 2, [this, host, incarnation, id = effect.id, attempt = effect.attempt] {
            if (m_hosts[idx(host)].incarnation == incarnation) {
                post(host, AttemptEnded{id, attempt, AttemptResult::NotSent, false, nullptr});
            }
        });
        return;
    }
    RequestArrived arrived = request.arrived;
    arrived.forwardedBy = host;
    arrived.toOwner = effect.toOwner;
    arrived.claimed = arrived.cls == RouteClass::Once && !effect.toOwner;
    const Origin origin{std::nullopt, host, incarnation, effect.id, effect.attempt};
    after(oneWay, [this, to = effect.host, arrived, origin]() mutable {
        arrived.id = makeId<RequestId>(++m_lastId);
        arrived.deadline = localTime(to) + m_settings.deadline;
        RequestModel &remote = m_requests[{to, arrived.id}];
        remote.origin = origin;
        remote.arrived = arrived;
        const auto sender = m_requests.find({origin.host, origin.id});
        if (sender != m_requests.end()) {
            sender->second.forwarded[origin.attempt] = {to, arrived.id};
        }
        post(to, arrived);
    });
}

void Driver::endRequest(HostId host, RequestId id, AttemptResult result, const Refuse *refusal)
{
    const auto it = m_requests.find({host, id});
    if (it == m_requests.end()) {
        ++m_endedTwice; // look-ups do not come this way
        return;
    }
    const bool isNotRun = refusal != nullptr && refusal->outcome == Outcome::NotRun;
    m_falseNotRun += isNotRun && it->second.ran ? 1 : 0;
    const Origin origin = it->second.origin;
    m_requests.erase(it);
    if (origin.operation) {
        if (refusal != nullptr) {
            ++m_refusals[refusal->reason];
        }
        const auto count = refusal == nullptr ? &CallerView::answered
            : isNotRun                        ? &CallerView::refused
                                              : &CallerView::failed;
        const ZoneId zone = m_callers[m_operations[*origin.operation].caller].zone;
        const Duration way = m_bundle->latencies.client + m_bundle->latency(zone, m_bundle->hosts[idx(host)].zone);
        after(way, [this, operation = *origin.operation, count] { endOperation(operation, count); });
        return;
    }
    after(latency(host, origin.host), [this, origin, result] {
        if (m_hosts[idx(origin.host)].incarnation == origin.incarnation) {
            post(origin.host, AttemptEnded{origin.id, origin.attempt, result, false, nullptr});
        }
    });
}

} // namespace pepperlug
