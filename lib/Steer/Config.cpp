//===- Config.cpp - Application of configurations -------------------------===//
#include "Impl.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

std::vector<std::vector<ZoneId>> zonesByDistance(const Bundle &bundle)
{
    std::vector<ZoneId> all;
    for (std::size_t n = 0; n < bundle.zones.size(); ++n) {
        all.push_back(makeId<ZoneId>(n));
    }
    std::vector<std::vector<ZoneId>> sorted(all.size(), all);
    for (std::size_t n = 0; n < sorted.size(); ++n) {
        const ZoneId from = makeId<ZoneId>(n);
        std::stable_sort(sorted[n].begin(), sorted[n].end(),
                         [&](ZoneId lhs, ZoneId rhs) { return bundle.latency(from, lhs) < bundle.latency(from, rhs); });
    }
    return sorted;
}

std::vector<std::vector<bool>> servedServices(const Bundle &bundle)
{
    std::vector<std::vector<bool>> serves(bundle.zones.size(), std::vector<bool>(bundle.services.size(), false));
    for (const Target &target : bundle.targets) {
        serves[idx(target.zone)][idx(target.service)] = true;
    }
    return serves;
}

} // namespace

// The control log's index only increases: a configuration that arrives out of order is ignored.
void Steering::Impl::handle(const ConfigApplied &event)
{
    if (event.index <= m_index) {
        return;
    }
    const std::optional<HostId> self = event.bundle->findHost(m_settings.hostName);
    const BundlePtr before = m_bundle;
    if (before) {
        const IdMap ids(*before, *event.bundle);
        m_issuer.remap(ids);
        m_holder.remap(ids);
        ids.services.apply(m_demand);
        ids.services.apply(m_localLookups);
        ids.services.apply(m_queues);
        for (ServiceQueue &queue : m_queues) {
            ids.regions.apply(queue.otherRegions);
        }
        ids.hosts.apply(m_reportedAlive);
        remapRequests(ids);
    }
    m_bundle = event.bundle;
    m_index = event.index;
    m_demand.resize(m_bundle->services.size());
    m_localLookups.resize(m_bundle->services.size());
    m_queues.resize(m_bundle->services.size());
    m_reportedAlive.assign(m_bundle->hosts.size(), true);
    m_zonesByDistance = zonesByDistance(*m_bundle);
    m_servedServices = servedServices(*m_bundle);
    m_ledger.setClaimTtl(std::chrono::duration_cast<std::chrono::seconds>(m_bundle->policy.claimTtl));
    m_drainedHosts.assign(m_bundle->hosts.size(), false);
    for (const std::string &name : event.drainedHosts) {
        if (const std::optional<HostId> host = m_bundle->findHost(name)) {
            m_drainedHosts[idx(*host)] = true;
        }
    }
    reportChange("config in force", "index " + std::to_string(m_index),
                 "bundle " + std::to_string(m_bundle->version) + " " + m_bundle->digest.substr(0, 12));
    m_self = self;
    if (!self) {
        reportChange("host not in bundle", m_settings.hostName);
        return;
    }
    m_zone = m_bundle->hosts[idx(*self)].zone;
    m_region = m_bundle->regionOf(m_zone);
    m_pool.applyBundle(*m_bundle, m_zone, m_now);
    m_issuer.applyBundle(*m_bundle, *self, m_now);
    m_holder.applyBundle(*m_bundle, *self, m_now);
    m_guard.applyConfig(before.get(), *m_bundle, *self, event.voidHosts, m_index, m_now);
    refreshSlice();
    m_pool.setSlots(m_guard.slots());
    m_pool.refresh(m_now, *m_out);
    applyDrains(event);
}

void Steering::Impl::applyDrains(const ConfigApplied &event)
{
    for (std::size_t n = 0; n < m_bundle->targets.size(); ++n) {
        const auto &names = event.drainedTargets;
        const bool isDrained = std::find(names.begin(), names.end(), m_bundle->targets[n].name) != names.end();
        m_pool.setDrain(makeId<TargetId>(n), DrainSource::Operator, isDrained, m_now, *m_out);
    }
}

// Requests in progress keep running: a new bundle interrupts none of a service that remains. Charges, targets and hosts
// that the new bundle does not have are dropped from them.
void Steering::Impl::remapRequests(const IdMap &ids)
{
    std::vector<RequestId> orphans;
    for (auto &[id, request] : m_requests) {
        const std::optional<ServiceId> service = ids.services(request.info.service);
        if (!service) {
            orphans.push_back(id);
            continue;
        }
        request.info.service = *service;
        if (request.info.callerZone) {
            request.info.callerZone = ids.zones(*request.info.callerZone);
        }
        const bool isHolderRemoved = request.charge.kind == Charge::Kind::Holder && !ids.hosts(request.charge.holder);
        const bool isRegionRemoved = request.charge.kind != Charge::Kind::Local && !ids.regions(request.charge.region);
        if (isHolderRemoved || isRegionRemoved) {
            request.isCharged = false;
        } else {
            request.charge.holder = ids.hosts(request.charge.holder).value_or(HostId{});
            request.charge.region = ids.regions(request.charge.region).value_or(RegionId{});
        }
        for (Attempt &attempt : request.attempts) {
            if (attempt.target) {
                attempt.target = ids.targets(*attempt.target);
            }
            if (attempt.host) {
                attempt.host = ids.hosts(*attempt.host);
            }
        }
        request.triedTargets.clear();
        request.triedHosts.clear();
    }
    // Requests of a service that was removed end here, and their attempts are cancelled.
    for (const RequestId id : orphans) {
        Request &request = m_requests.at(id);
        for (Attempt &attempt : request.attempts) {
            if (attempt.isRunning) {
                m_out->emplace_back(CancelAttempt{id, attempt.number});
            }
        }
        if (request.phase != Phase::Detached) {
            const Outcome outcome = request.maybeSent ? Outcome::Unknown : Outcome::NotRun;
            m_out->emplace_back(Refuse{id, outcome, Reason::NotReady, Milliseconds{}, {}});
        }
        m_requests.erase(id);
    }
}

void Steering::Impl::handle(const ControlReplied &event)
{
    m_guard.handleControlReply(event.index, m_now);
}

void Steering::Impl::refreshSlice()
{
    if (m_guard.refresh(m_holder, m_now)) {
        m_pool.setSlots(m_guard.slots());
        m_pool.refresh(m_now, *m_out);
        reportChange("slice taken over", m_settings.hostName, "index " + std::to_string(m_index));
    }
    const bool isValid = m_guard.isValid(m_holder, m_now);
    if (isValid != m_sliceValid) {
        reportChange(isValid ? "slice valid" : "slice expired", m_settings.hostName);
    }
    m_sliceValid = isValid;
}

bool Steering::Impl::isDrainedHost(HostId host) const
{
    return m_drainedHosts[idx(host)];
}

void Steering::Impl::handle(const PlatformListArrived &event)
{
    if (!m_self) {
        return;
    }
    const auto &names = event.leavingTargets;
    for (std::size_t n = 0; n < m_bundle->targets.size(); ++n) {
        const bool isLeaving = std::find(names.begin(), names.end(), m_bundle->targets[n].name) != names.end();
        m_pool.setDrain(makeId<TargetId>(n), DrainSource::Platform, isLeaving, m_now, *m_out);
    }
}

} // namespace pepperlug
