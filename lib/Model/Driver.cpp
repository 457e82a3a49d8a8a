//===- Driver.cpp - Hosts, messages and time of the model -----------------===//
#include "pepperlug/Model.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto ConnectFailure = Milliseconds(1);
constexpr auto BreakAfter = Milliseconds(1);
constexpr double SlowFactor = 10;
constexpr auto DrainGrace = std::chrono::seconds(2);
constexpr double ControlPeriodSeconds = 0.5;

} // namespace

Duration CallerView::quantile(double share) const
{
    if (latencies.empty()) {
        return {};
    }
    std::vector<Duration> sorted = latencies;
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + position, sorted.end());
    return sorted[static_cast<std::size_t>(position)];
}

Driver::Driver(BundlePtr bundle, DriverSettings settings)
    : m_bundle(std::move(bundle))
    , m_settings(settings)
    , m_now(std::chrono::seconds(1000))
    , m_random(settings.seed)
    , m_hosts(m_bundle->hosts.size())
    , m_targets(m_bundle->targets.size())
    , m_rates(m_bundle->zones.size(), std::vector<double>(m_bundle->services.size(), 0))
    , m_views(m_bundle->regions.size())
{
    m_config.bundle = m_bundle;
    m_config.index = 1;
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        startHost(makeId<HostId>(n));
    }
}

void Driver::after(Duration delay, std::function<void()> work)
{
    m_queue.push({m_now + delay, ++m_order, std::move(work)});
}

TimePoint Driver::now() const
{
    return m_now;
}

TimePoint Driver::localTime(HostId host) const
{
    const double scaled = static_cast<double>(m_now.time_since_epoch().count()) * m_hosts[idx(host)].clockRate;
    return TimePoint(Duration(static_cast<Duration::rep>(scaled)));
}

void Driver::startHost(HostId id)
{
    Host &host = m_hosts[idx(id)];
    ++host.incarnation;
    SteerSettings settings;
    settings.hostName = m_bundle->hosts[idx(id)].name;
    settings.ledgerId = "ledger" + std::to_string(idx(id)) + "x" + std::to_string(host.incarnation);
    settings.seed = m_random();
    settings.strategy = m_settings.strategy;
    settings.tick = m_settings.tick;
    host.steering.emplace(settings, localTime(id));
    if (reachesControl(id)) {
        post(id, m_config);
        post(id, ControlReplied{m_config.index});
    }
    tickHost(id, host.incarnation);
}

void Driver::tickHost(HostId id, std::uint64_t incarnation)
{
    Host &host = m_hosts[idx(id)];
    if (!host.steering || host.incarnation != incarnation) {
        return;
    }
    post(id, Tick{});
    const auto period = static_cast<Duration::rep>(ControlPeriodSeconds * 1e9);
    const bool asksControl =
        m_now.time_since_epoch().count() / period != (m_now + m_settings.tick).time_since_epoch().count() / period;
    if (asksControl && reachesControl(id)) {
        if (host.steering->configIndex() < m_config.index) {
            post(id, m_config);
        }
        post(id, ControlReplied{m_config.index});
    }
    after(m_settings.tick, [this, id, incarnation] { tickHost(id, incarnation); });
}

bool Driver::reachesControl(HostId host) const
{
    return !m_controlCuts.contains(m_bundle->hosts[idx(host)].zone);
}

bool Driver::isCut(HostId one, HostId other) const
{
    const ZoneId from = m_bundle->hosts[idx(one)].zone;
    const ZoneId to = m_bundle->hosts[idx(other)].zone;
    return m_cuts.contains({from, to});
}

Duration Driver::latency(HostId one, HostId other) const
{
    return m_bundle->latency(m_bundle->hosts[idx(one)].zone, m_bundle->hosts[idx(other)].zone);
}

void Driver::post(HostId id, const Event &event)
{
    Host &host = m_hosts[idx(id)];
    if (!host.steering) {
        return;
    }
    Effects effects;
    host.steering->reduce(event, localTime(id), effects);
    for (const Effect &effect : effects) {
        carryOut(id, effect);
    }
    if (m_observer) {
        m_observer(*this);
    }
}

void Driver::inject(HostId host, const Event &event)
{
    post(host, event);
}

void Driver::carryOut(HostId host, const Effect &effect)
{
    if (const auto *it = std::get_if<Dispatch>(&effect)) {
        dispatch(host, *it);
    } else if (const auto *it = std::get_if<Forward>(&effect)) {
        forward(host, *it);
    } else if (const auto *it = std::get_if<CancelAttempt>(&effect)) {
        cancel(host, *it);
    } else if (const auto *it = std::get_if<RelayAnswer>(&effect)) {
        endRequest(host, it->id, AttemptResult::Answered, nullptr);
    } else if (const auto *it = std::get_if<SendStoredAnswer>(&effect)) {
        endRequest(host, it->id, AttemptResult::Answered, nullptr);
    } else if (const auto *it = std::get_if<Refuse>(&effect)) {
        endRequest(host, it->id,
                   it->outcome == Outcome::NotRun ? AttemptResult::RemoteNotRun : AttemptResult::RemoteUnknown, it);
    } else if (const auto *it = std::get_if<SendLeaseRequest>(&effect)) {
        askLease(host, *it);
    } else if (const auto *it = std::get_if<GrantLease>(&effect)) {
        grantLease(host, *it);
    } else if (std::holds_alternative<Decision>(effect)) {
        ++m_decisions;
    }
}

void Driver::dispatch(HostId host, const Dispatch &effect)
{
    RequestModel &request = m_requests[{host, effect.id}];
    TargetModel &target = m_targets[idx(effect.target)];
    const std::uint64_t incarnation = m_hosts[idx(host)].incarnation;
    const auto reply = [this, host, incarnation, id = effect.id, attempt = effect.attempt](Duration delay,
                                                                                           AttemptResult result) {
        after(delay, [=, this] {
            if (m_hosts[idx(host)].incarnation == incarnation) {
                post(host, AttemptEnded{id, attempt, result, false, nullptr});
            }
        });
    };
    if (target.drainedAt && m_now > *target.drainedAt + DrainGrace) {
        ++m_lateDispatches;
    }
    if (target.fault == TargetFault::Refusing) {
        reply(ConnectFailure, AttemptResult::NotSent);
        return;
    }
    if (target.fault == TargetFault::Shedding) {
        reply(ConnectFailure, AttemptResult::Shed);
        return;
    }
    if (target.running >= m_bundle->targets[idx(effect.target)].slots) {
        ++m_overSlots;
        reply(ConnectFailure, AttemptResult::Shed);
        return;
    }
    ++target.running;
    request.running[effect.attempt] = effect.target;
    markRan(host, effect.id);
    if (!request.arrived.key.empty() && ++m_runs[request.arrived.key] > 1) {
        ++m_endedTwice;
    }
    std::exponential_distribution<double> tail(1);
    double seconds = std::chrono::duration<double>(m_settings.serviceTime).count() * (0.5 + 0.5 * tail(m_random));
    AttemptResult result = AttemptResult::Answered;
    if (target.fault == TargetFault::Failing) {
        seconds = std::chrono::duration<double>(BreakAfter).count();
        result = AttemptResult::Broken;
    } else if (target.fault == TargetFault::Stuck) {
        return; // ends when it is cancelled
    } else if (target.fault == TargetFault::Slow) {
        seconds *= SlowFactor;
    }
    const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    after(time, [this, target = effect.target, host, incarnation, id = effect.id, attempt = effect.attempt, result] {
        finishAt(target, host, incarnation, id, attempt, result);
    });
}

void Driver::finishAt(TargetId target, HostId host, std::uint64_t incarnation, RequestId id, unsigned attempt,
                      AttemptResult result)
{
    const auto it = m_requests.find({host, id});
    // A cancelled request has freed its slot already.
    if (it == m_requests.end() || it->second.running.erase(attempt) == 0) {
        return;
    }
    --m_targets[idx(target)].running;
    if (m_hosts[idx(host)].incarnation == incarnation) {
        post(host, AttemptEnded{id, attempt, result, false, nullptr});
    }
}

void Driver::cancel(HostId host, const CancelAttempt &effect)
{
    const auto it = m_requests.find({host, effect.id});
    if (it == m_requests.end()) {
        return;
    }
    const auto sent = it->second.forwarded.find(effect.attempt);
    if (sent != it->second.forwarded.end()) {
        const auto remote = sent->second;
        after(latency(host, remote.first), [this, remote] { post(remote.first, CallerDisconnected{remote.second}); });
        return;
    }
    const auto attempt = it->second.running.find(effect.attempt);
    if (attempt != it->second.running.end()) {
        --m_targets[idx(attempt->second)].running;
        it->second.running.erase(attempt);
    }
}

void Driver::markRan(HostId host, RequestId id)
{
    auto it = m_requests.find({host, id});
    while (it != m_requests.end()) {
        it->second.ran = true;
        const Origin &origin = it->second.origin;
        it = origin.operation ? m_requests.end() : m_requests.find({origin.host, origin.id});
    }
}

// What a process that dies leaves behind: targets and other hosts see their connections close, and so do its callers.
void Driver::kill(HostId id)
{
    m_hosts[idx(id)].steering.reset();
    ++m_hosts[idx(id)].incarnation;
    std::vector<RequestId> open;
    for (const auto &[key, request] : m_requests) {
        if (key.host == id) {
            open.push_back(key.id);
        }
    }
    std::sort(open.begin(), open.end());
    for (const RequestId request : open) {
        breakOff(id, request);
    }
}

void Driver::breakOff(HostId host, RequestId id)
{
    const auto it = m_requests.find({host, id});
    const RequestModel request = std::move(it->second);
    m_requests.erase(it);
    for (const auto &[attempt, target] : request.running) {
        --m_targets[idx(target)].running;
    }
    for (const auto &[attempt, remote] : request.forwarded) {
        after(latency(host, remote.first),
              [this, remote = remote] { post(remote.first, CallerDisconnected{remote.second}); });
    }
    const Origin origin = request.origin;
    if (origin.operation) {
        after(m_bundle->latencies.client, [this, operation = *origin.operation] { this->request(operation); });
        return;
    }
    after(latency(host, origin.host), [this, origin] {
        if (m_hosts[idx(origin.host)].incarnation == origin.incarnation) {
            post(origin.host, AttemptEnded{origin.id, origin.attempt, AttemptResult::Broken, false, nullptr});
        }
    });
}

void Driver::restart(HostId id)
{
    kill(id);
    startHost(id);
}

void Driver::killRegion(RegionId region)
{
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        if (m_bundle->regionOf(makeId<HostId>(n)) == region) {
            kill(makeId<HostId>(n));
        }
    }
}

void Driver::setCut(ZoneId one, ZoneId other, bool isCut)
{
    for (const auto &pair : {std::pair(one, other), std::pair(other, one)}) {
        if (isCut) {
            m_cuts.insert(pair);
        } else {
            m_cuts.erase(pair);
        }
    }
}

void Driver::setControlCut(ZoneId zone, bool isCut)
{
    if (isCut) {
        m_controlCuts.insert(zone);
    } else {
        m_controlCuts.erase(zone);
    }
}

void Driver::setFault(TargetId target, TargetFault fault)
{
    m_targets[idx(target)].fault = fault;
}

void Driver::setClockRate(HostId host, double rate)
{
    m_hosts[idx(host)].clockRate = rate;
    restart(host);
}

void Driver::drain(const std::string &target)
{
    m_config.drainedTargets.push_back(target);
    m_targets[idx(*m_bundle->findTarget(target))].drainedAt = m_now;
    ++m_config.index;
}

void Driver::apply(const ConfigApplied &config)
{
    const std::uint64_t index = m_config.index + 1;
    m_config = config;
    m_config.index = index;
}

void Driver::run(Duration time)
{
    const TimePoint until = m_now + time;
    while (!m_queue.empty() && m_queue.top().at <= until) {
        const Later next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.work();
    }
    m_now = until;
}

const Steering *Driver::host(HostId id) const
{
    return m_hosts[idx(id)].steering ? &*m_hosts[idx(id)].steering : nullptr;
}

unsigned Driver::runningAt(TargetId target) const
{
    return m_targets[idx(target)].running;
}

unsigned Driver::runningIn(RegionId region) const
{
    unsigned sum = 0;
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        sum += m_bundle->regionOf(m_bundle->targets[n].zone) == region ? m_targets[n].running : 0;
    }
    return sum;
}

unsigned Driver::slotsIn(RegionId region) const
{
    unsigned sum = 0;
    for (const Target &target : m_bundle->targets) {
        sum += m_bundle->regionOf(target.zone) == region ? target.slots : 0;
    }
    return sum;
}

ShiftView Driver::shifted(RegionId from, RegionId to) const
{
    ShiftView sum;
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        const Steering *it = host(makeId<HostId>(n));
        if (it != nullptr && it->ready() && m_bundle->regionOf(makeId<HostId>(n)) == to) {
            const ShiftView part = it->shift(from);
            sum.level += part.level;
            sum.committed += part.committed;
        }
    }
    return sum;
}

std::uint64_t Driver::overSlots() const
{
    return m_overSlots;
}

std::uint64_t Driver::lateDispatches() const
{
    return m_lateDispatches;
}

std::uint64_t Driver::falseNotRun() const
{
    return m_falseNotRun;
}

std::uint64_t Driver::endedTwice() const
{
    return m_endedTwice;
}

std::uint64_t Driver::decisions() const
{
    return m_decisions;
}

const std::map<Reason, std::uint64_t> &Driver::refusals() const
{
    return m_refusals;
}

void Driver::setObserver(std::function<void(const Driver &)> observer)
{
    m_observer = std::move(observer);
}

} // namespace pepperlug
