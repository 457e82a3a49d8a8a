//===- Callers.cpp - Callers of a service, as a load ----------------------===//
//
// Requests start at times drawn beforehand, whether or not earlier ones have been answered, as callers do. A read that
// fails is tried at the next host of the look-up answer. A once-only operation is sent again with the same key while
// its end is not known, and given up when it is told for certain that it was not run.
//
//===----------------------------------------------------------------------===//
#include "Callers.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto LookupTimeout = std::chrono::seconds(2);
constexpr auto ResendPause = Milliseconds(100);
constexpr unsigned MaxAttempts = 12;
constexpr std::size_t MaxAnswerBytes = 8 << 20;
constexpr unsigned Ok = 200;

std::optional<std::string> headerOf(const Answer &answer, std::string_view name)
{
    const auto it = std::find_if(answer.headers.begin(), answer.headers.end(),
                                 [&](const HeaderField &field) { return sameName(field.name, name); });
    return it == answer.headers.end() ? std::nullopt : std::optional(it->value);
}

} // namespace

Duration RegionResult::quantile(double share) const
{
    if (latencies.empty()) {
        return {};
    }
    std::vector<Duration> sorted = latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto position = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[position];
}

Callers::Callers(BundlePtr bundle, LoadSettings settings, const Clock &clock)
    : m_bundle(std::move(bundle))
    , m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(m_settings.seed)
    , m_results(m_bundle->regions.size())
    , m_client(std::make_unique<HttpClient>(MaxAnswerBytes))
{
    const std::optional<ServiceId> service = m_bundle->findService(m_settings.service);
    if (!service) {
        throw Error("start", "", "no service is named \"" + m_settings.service + "\"");
    }
    m_service = *service;
    for (std::size_t zone = 0; zone < m_bundle->zones.size(); ++zone) {
        for (unsigned n = 0; n < m_settings.callersPerZone; ++n) {
            Caller caller;
            caller.zone = makeId<ZoneId>(zone);
            // The loopback blocks of the examples: one for each zone, beside the one of its hosts.
            const std::string &ip = m_bundle->hosts[idx(m_bundle->zones[zone].hosts.front())].http.ip;
            const std::size_t first = ip.find('.') + 1;
            const std::size_t second = ip.find('.', first);
            const int net = std::stoi(ip.substr(first, second - first)) + 100;
            const std::size_t third = ip.find('.', second + 1);
            caller.ip = "127." + std::to_string(net) + "." + ip.substr(second + 1, third - second - 1) + "."
                + std::to_string(n + 1);
            m_callers.push_back(std::move(caller));
        }
    }
}

Callers::~Callers()
{
    m_client->stop();
}

void Callers::after(Duration delay, std::function<void()> work)
{
    const std::lock_guard lock(m_mutex);
    m_timers.emplace(m_clock.now() + delay, std::move(work));
    m_wake.notify_all();
}

std::vector<RegionResult> Callers::run()
{
    const TimePoint begin = m_clock.now();
    std::unique_lock lock(m_mutex);
    // Poisson arrivals for each zone, drawn beforehand.
    std::exponential_distribution<double> gap(m_settings.ratePerZone);
    for (std::size_t zone = 0; zone < m_bundle->zones.size(); ++zone) {
        double at = 0;
        unsigned n = 0;
        while ((at += gap(m_random)) < std::chrono::duration<double>(m_settings.duration).count()) {
            const std::size_t caller = zone * m_settings.callersPerZone + n++ % m_settings.callersPerZone;
            const auto offset = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
            m_timers.emplace(begin + offset, [this, caller] { start(caller); });
        }
    }
    while (!m_timers.empty() || m_open > 0) {
        const TimePoint now = m_clock.now();
        if (m_timers.empty()) {
            m_wake.wait(lock);
        } else if (m_timers.begin()->first > now) {
            m_wake.wait_for(lock, m_timers.begin()->first - now);
        } else {
            const std::function<void()> work = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            work();
        }
    }
    return m_results;
}

const std::vector<std::string> &Callers::notRunKeys() const
{
    return m_notRunKeys;
}

RegionResult &Callers::resultOf(const Operation &operation)
{
    return m_results[idx(m_bundle->regionOf(m_callers[operation.caller].zone))];
}

void Callers::start(std::size_t caller)
{
    auto operation = std::make_shared<Operation>();
    operation->caller = caller;
    operation->isOnce = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.onceShare;
    operation->echo = "e" + std::to_string(++m_lastEcho);
    operation->startedAt = m_clock.now();
    operation->deadline = operation->startedAt + m_settings.deadline;
    ++m_open;
    ++resultOf(*operation).requests;
    withLookup(caller, [this, operation] { send(operation); });
}

void Callers::withLookup(std::size_t index, std::function<void()> next)
{
    Caller &caller = m_callers[index];
    if (m_clock.now() < caller.validUntil) {
        next();
        return;
    }
    caller.waiting.push_back(std::move(next));
    if (!caller.isLookingUp) {
        caller.isLookingUp = true;
        lookUp(index, 0);
    }
}

// Asks a host of the last answer or of the own zone, then any other.
void Callers::lookUp(std::size_t index, std::size_t attempt)
{
    Caller &caller = m_callers[index];
    std::vector<Address> known = caller.hosts;
    for (const HostId host : m_bundle->zones[idx(caller.zone)].hosts) {
        known.push_back(m_bundle->hosts[idx(host)].http);
    }
    for (const EntryHost &host : m_bundle->hosts) {
        known.push_back(host.http);
    }
    HttpCall call;
    call.to = known[attempt % known.size()];
    call.method = "GET";
    call.resource = "/v1/lookup?service=" + m_settings.service;
    call.headers = {{"Host", call.to.text()}};
    call.timeout = LookupTimeout;
    call.fromIp = caller.ip;
    call.mayRepeat = true;
    m_client->start(std::move(call), [this, index, attempt](const HttpResult &result) {
        const std::lock_guard lock(m_mutex);
        Caller &it = m_callers[index];
        if (result.kind != HttpResult::Kind::Answered || result.answer.status != Ok) {
            after(attempt < 2 ? Duration{} : Duration(ResendPause),
                  [this, index, attempt] { lookUp(index, attempt + 1); });
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(result.answer.body);
        it.hosts.clear();
        for (const nlohmann::json &host : body.at("hosts")) {
            it.hosts.push_back(Address::parse(host.at("address").get<std::string>()).value());
        }
        it.home = body.at("home").get<std::string>();
        it.validUntil = m_clock.now() + Milliseconds(body.at("ttl_ms").get<std::int64_t>());
        it.isLookingUp = false;
        for (auto &next : std::exchange(it.waiting, {})) {
            next();
        }
        m_wake.notify_all();
    });
}

void Callers::send(const OperationPtr &operation)
{
    Caller &caller = m_callers[operation->caller];
    if (operation->isOnce && operation->key.empty()) {
        operation->key = caller.home + "." + operation->echo;
    }
    HttpCall call;
    call.to = caller.hosts[operation->nextHost % caller.hosts.size()];
    const std::string &prefix = operation->isOnce ? m_settings.oncePath : m_settings.readPath;
    call.resource = "/s/" + m_settings.service + prefix + operation->echo;
    call.method = operation->isOnce ? "POST" : "GET";
    const auto left = std::chrono::duration_cast<Milliseconds>(operation->deadline - m_clock.now());
    call.headers = {{"Host", call.to.text()},
                    {"X-Echo", operation->echo},
                    {"Pepperlug-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left.count()))}};
    if (operation->isOnce) {
        call.headers.push_back({"Idempotency-Key", operation->key});
        call.body = std::make_shared<const std::string>("{\"operation\":\"" + operation->echo + "\"}");
    }
    call.timeout = std::max<Duration>(left + Milliseconds(500), Milliseconds(500));
    call.fromIp = caller.ip;
    call.mayRepeat = !operation->isOnce;
    ++operation->attempts;
    m_client->start(std::move(call), [this, operation](const HttpResult &result) {
        const std::lock_guard lock(m_mutex);
        replied(operation, result);
        m_wake.notify_all();
    });
}

void Callers::retry(const OperationPtr &operation, Duration delay)
{
    const bool isOver = operation->attempts >= MaxAttempts || m_clock.now() + delay >= operation->deadline;
    if (isOver) {
        end(operation, &RegionResult::lost);
        return;
    }
    ++resultOf(*operation).resent;
    ++operation->nextHost;
    after(delay, [this, operation] { withLookup(operation->caller, [this, operation] { send(operation); }); });
}

void Callers::replied(const OperationPtr &operation, const HttpResult &result)
{
    if (result.kind != HttpResult::Kind::Answered) {
        // The host may have gone; its look-up answer is of no more use.
        m_callers[operation->caller].validUntil = {};
        retry(operation, ResendPause);
        return;
    }
    const std::optional<std::string> outcome = headerOf(result.answer, "pepperlug-outcome");
    if (outcome && *outcome == "not-run") {
        if (operation->isOnce) {
            m_notRunKeys.push_back(operation->key);
        }
        end(operation, &RegionResult::refused);
        return;
    }
    if (outcome) {
        retry(operation, ResendPause);
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(result.answer.body, nullptr, false);
    const bool isOwn = !body.is_discarded() && body.value("echo", "") == operation->echo;
    if (!isOwn) {
        end(operation, &RegionResult::mixedUp);
        return;
    }
    resultOf(*operation).latencies.push_back(m_clock.now() - operation->startedAt);
    end(operation, &RegionResult::answered);
}

void Callers::end(const OperationPtr &operation, std::uint64_t RegionResult::*count)
{
    ++(resultOf(*operation).*count);
    --m_open;
    m_wake.notify_all();
}

} // namespace pepperlug
