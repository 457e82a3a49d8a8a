//===- Callers.cpp - Callers of the model ---------------------------------===//
//
// Each caller keeps its look-up answer for its time, goes down the list where a host does not answer, and takes a
// refusal as the end: how many there are is what is measured.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Model.h"

namespace pepperlug
{

namespace
{

constexpr unsigned MaxTries = 4;

} // namespace

void Driver::setRate(ZoneId zone, ServiceId service, double perSecond)
{
    const bool isNew = m_rates[idx(zone)][idx(service)] == 0;
    m_rates[idx(zone)][idx(service)] = perSecond;
    if (!isNew || perSecond <= 0) {
        return;
    }
    for (unsigned n = 0; n < m_settings.callersPerZone; ++n) {
        m_callersOf[{zone, service}].push_back(m_callers.size());
        m_callers.push_back({zone, service, {}, {}});
    }
    schedule(zone, service);
}

void Driver::schedule(ZoneId zone, ServiceId service)
{
    const double rate = m_rates[idx(zone)][idx(service)];
    if (rate <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(rate);
    const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
    after(delay, [this, zone, service] {
        const std::vector<std::size_t> &own = m_callersOf[{zone, service}];
        startOperation(own[m_random() % own.size()]);
        schedule(zone, service);
    });
}

void Driver::startOperation(std::size_t caller)
{
    const std::size_t operation = m_operations.size();
    m_operations.push_back({caller, m_now, 0, false});
    ++m_views[idx(m_bundle->regionOf(m_callers[caller].zone))].requests;
    if (m_now < m_callers[caller].validUntil) {
        request(operation);
    } else {
        lookUp(operation);
    }
}

// Tries the hosts of the last answer, then those of the own zone, then all others.
void Driver::lookUp(std::size_t operation)
{
    const Caller &caller = m_callers[m_operations[operation].caller];
    std::vector<HostId> order = caller.hosts;
    const std::vector<HostId> &own = m_bundle->zones[idx(caller.zone)].hosts;
    order.insert(order.end(), own.begin(), own.end());
    const std::size_t offset = m_random() % m_bundle->hosts.size();
    for (std::size_t n = 0; n < m_bundle->hosts.size(); ++n) {
        order.push_back(makeId<HostId>((n + offset) % m_bundle->hosts.size()));
    }
    Duration delay{};
    for (const HostId host : order) {
        const auto way = m_bundle->latencies.client + m_bundle->latency(caller.zone, m_bundle->hosts[idx(host)].zone);
        delay += way * 2;
        const bool isUp = m_hosts[idx(host)].steering && m_hosts[idx(host)].steering->ready();
        if (!isUp || m_cuts.contains({caller.zone, m_bundle->hosts[idx(host)].zone})) {
            continue;
        }
        const RequestId id = makeId<RequestId>(++m_lastId);
        Effects effects;
        m_hosts[idx(host)].steering->reduce(LookupArrived{id, caller.service, caller.zone}, localTime(host), effects);
        for (const Effect &effect : effects) {
            if (const auto *answer = std::get_if<AnswerLookup>(&effect)) {
                after(delay, [this, operation, hosts = answer->hosts, ttl = answer->ttl] {
                    Caller &it = m_callers[m_operations[operation].caller];
                    it.hosts = hosts;
                    it.validUntil = m_now + ttl;
                    request(operation);
                });
                return;
            }
        }
    }
    endOperation(operation, &CallerView::refused);
}

void Driver::request(std::size_t operation)
{
    Operation &it = m_operations[operation];
    Caller &caller = m_callers[it.caller];
    if (it.tries >= std::min<std::size_t>(MaxTries, caller.hosts.size())) {
        caller.validUntil = {};
        endOperation(operation, &CallerView::failed);
        return;
    }
    const HostId host = caller.hosts[it.tries++];
    const Duration way = m_bundle->latencies.client + m_bundle->latency(caller.zone, m_bundle->hosts[idx(host)].zone);
    const bool isCutOff = m_cuts.contains({caller.zone, m_bundle->hosts[idx(host)].zone});
    if (isCutOff || !m_hosts[idx(host)].steering) {
        after(way * 2, [this, operation] { request(operation); });
        return;
    }
    after(way, [this, operation, host] {
        if (!m_hosts[idx(host)].steering) {
            request(operation);
            return;
        }
        const Caller &from = m_callers[m_operations[operation].caller];
        RequestArrived arrived;
        arrived.id = makeId<RequestId>(++m_lastId);
        arrived.service = from.service;
        arrived.cls = RouteClass::Read;
        arrived.callerZone = from.zone;
        arrived.deadline = localTime(host) + m_settings.deadline;
        RequestModel &model = m_requests[{host, arrived.id}];
        model.origin.operation = operation;
        model.origin.host = host;
        model.arrived = arrived;
        post(host, arrived);
    });
}

void Driver::endOperation(std::size_t operation, std::uint64_t CallerView::*count)
{
    Operation &it = m_operations[operation];
    if (it.isEnded) {
        return;
    }
    it.isEnded = true;
    CallerView &view = m_views[idx(m_bundle->regionOf(m_callers[it.caller].zone))];
    ++(view.*count);
    if (count == &CallerView::answered) {
        view.latencies.push_back(m_now - it.startedAt);
    }
}

void Driver::endAllCaches()
{
    for (Caller &caller : m_callers) {
        caller.validUntil = {};
    }
}

const std::vector<CallerView> &Driver::callers() const
{
    return m_views;
}

void Driver::forgetCallers()
{
    m_views.assign(m_bundle->regions.size(), {});
    m_refusals.clear();
}

} // namespace pepperlug
