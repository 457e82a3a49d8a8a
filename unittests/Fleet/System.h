//===- System.h - One control and one entry host over loopback --*- C++ -*-===//
//
// Real daemons with fakes of the platform's clients, targets and operator at
// their sockets. Tests wait for events, not for times: a request is repeated
// until the expected answer arrives.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Fleet/CachedState.h"
#include "platform/Dialect.h"
#include "test/soak/FaultProxy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <unistd.h>

namespace pepperlug::fleet::test
{

using namespace std::chrono_literals;

/// Upper bound of the wait for an event; no test depends on how long an event takes.
constexpr auto EventTimeout = 30s;
constexpr auto RetryInterval = 10ms;

/// Returns an address on a loopback network that no other test process uses, so that no port is taken.
inline Address addressOn(unsigned host, std::uint16_t port)
{
    constexpr unsigned Octet = 250;
    const auto pid = static_cast<unsigned>(getpid());
    const std::string network = std::to_string(1 + pid % Octet) + "." + std::to_string(1 + pid / Octet % Octet);
    return {"127." + network + "." + std::to_string(host), port};
}

/// Returns path prefixes with 32 random digits each. These don't compress, so a table of them needs its full length on
/// a link.
inline std::vector<std::string> incompressiblePrefixes(std::size_t count)
{
    constexpr std::size_t RandomBytes = 16;
    std::vector<std::string> prefixes(count);
    std::generate(prefixes.begin(), prefixes.end(), [] { return "/" + randomHex(RandomBytes) + "/"; });
    return prefixes;
}

inline HttpResult fetchOnce(HttpClient &client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> result = promise->get_future();
    client.start(std::move(call), [promise](HttpResult it) { promise->set_value(std::move(it)); });
    return result.get();
}

/// A target that counts its runs and answers as configured.
class FakeTarget
{
public:
    explicit FakeTarget(std::string id)
        : m_id(std::move(id))
        , m_server({"127.0.0.1", 0}, 1, HttpLimits{}, m_clock,
                   [this](const HttpExchangePtr &exchange) { onRequest(exchange); })
    {
    }

    ~FakeTarget()
    {
        release();
        m_server.stop();
    }

    std::string address() const
    {
        return m_server.address().text();
    }

    int runs() const
    {
        return m_runs;
    }

    /// Returns the arrival times of requests for this target, whether it ran them or not.
    std::vector<std::chrono::steady_clock::time_point> arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    /// Sets headers that are added to all later answers.
    void setAnswerHeaders(std::vector<HeaderField> headers)
    {
        const std::lock_guard lock(m_mutex);
        m_answerHeaders = std::move(headers);
    }

    /// Returns a header of the request that ran last.
    std::optional<std::string> lastHeader(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        return m_last.header(name);
    }

    /// Holds requests unanswered until release().
    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_holds = true;
    }

    void release()
    {
        std::vector<HttpExchangePtr> held;
        {
            const std::lock_guard lock(m_mutex);
            m_holds = false;
            held.swap(m_held);
        }
        for (const HttpExchangePtr &exchange : held) {
            answer(exchange);
        }
    }

    std::atomic<bool> usesWrongRequestId{false};
    std::atomic<std::size_t> bodyBytes{0}; ///< length of answers; 0 for a short one
    std::atomic<bool> truncatesAnswers{false}; ///< closes the connection in the middle of an answer
    std::atomic<bool> sheds{false}; ///< answers 503 and runs nothing

private:
    void onRequest(const HttpExchangePtr &exchange)
    {
        if (exchange->request().header("X-Expect-Instance") != m_id) {
            exchange->respond({421, {{"X-Request-Id", exchange->request().header("X-Request-Id").value_or("")}}, {}});
            return;
        }
        if (sheds) {
            shed(exchange);
            return;
        }
        ++m_runs;
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(std::chrono::steady_clock::now());
            m_last = exchange->request();
            if (m_holds) {
                m_held.push_back(exchange);
                return;
            }
        }
        answer(exchange);
    }

    void shed(const HttpExchangePtr &exchange)
    {
        Answer answer{
            503, {{"X-Request-Id", *exchange->request().header("X-Request-Id")}, {"X-Not-Executed", "1"}}, {}};
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(std::chrono::steady_clock::now());
            answer.headers.insert(answer.headers.end(), m_answerHeaders.begin(), m_answerHeaders.end());
        }
        exchange->respond(answer);
    }

    void answer(const HttpExchangePtr &exchange)
    {
        const std::string id = usesWrongRequestId ? "another" : exchange->request().header("X-Request-Id").value_or("");
        Answer head{200, {{"X-Request-Id", id}, {"X-Upstream-Seal", "seal"}}, {}};
        {
            const std::lock_guard lock(m_mutex);
            head.headers.insert(head.headers.end(), m_answerHeaders.begin(), m_answerHeaders.end());
        }
        if (truncatesAnswers) {
            exchange->begin(head, bodyBytes);
            exchange->more(std::string(bodyBytes / 2, 'x'));
            exchange->abort({});
            return;
        }
        exchange->respond({200, head.headers, bodyBytes > 0 ? std::string(bodyBytes, 'x') : "body of " + m_id});
    }

    std::string m_id;
    SteadyClock m_clock;
    std::atomic<int> m_runs{0};
    std::mutex m_mutex;
    bool m_holds = false;
    HttpRequest m_last;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    std::vector<HeaderField> m_answerHeaders;
    std::vector<HttpExchangePtr> m_held;
    HttpServer m_server;
};

/// How the entry host reaches the control host.
enum class ControlLink : std::uint8_t {
    Direct,
    Proxied, ///< through System::proxy, which injects faults
};

/// One control and one entry host with a temporary folder.
class System
{
public:
    /// `acknowledgeTimeout`: within which operators expect an answer. The default is longer than any test waits, since
    /// a busy machine may delay a host.
    explicit System(ControlLink link = ControlLink::Direct, Duration updateLease = 2 * EventTimeout,
                    Duration acknowledgeTimeout = 2 * EventTimeout, Duration firstProbePause = FirstProbeDelay)
        : m_folder(std::filesystem::temp_directory_path() / ("pepperlug-fleet-" + randomHex(8)))
    {
        std::filesystem::create_directories(m_folder);
        FleetSettings settings;
        settings.zone = "z1";
        settings.regionOfZone = {{"z1", "r1"}, {"z2", "r2"}};
        settings.bounds.gracePeriod = 5s;
        settings.bounds.retries = {0.2, 10s, 40};
        settings.bounds.acknowledgeTimeout = acknowledgeTimeout;
        settings.updateLease = updateLease;
        settings.firstProbePause = firstProbePause;
        settings.maxBodyBytes = 1 << 20;
        settings.maxAnswerBytes = 1 << 20;
        FleetSettings &control = m_control;
        control = settings;
        control.name = "control";
        control.peer = addressOn(1, 17100);
        control.operators = addressOn(1, 17101);
        control.directory = addressOn(1, 17102);
        control.metrics = addressOn(1, 17103);
        control.seeds = {control.operators};
        control.dataFolder = m_folder / "data";
        control.isFirstStart = true;
        FleetSettings &entry = m_entry;
        entry = settings;
        entry.name = "entry";
        entry.peer = addressOn(2, control.peer.port);
        entry.callers = {"127.0.0.1", 0};
        entry.readiness = {"127.0.0.1", 0};
        entry.metrics = m_metrics = addressOn(2, 17103);
        entry.seeds = {control.operators};
        if (link == ControlLink::Proxied) {
            control.peerListen = control.peer;
            control.peer = addressOn(3, control.peer.port);
            proxy = std::make_unique<soak::FaultProxy>(*control.peerListen, control.peer);
            control.seeds = entry.seeds = {{control.peer.ip, control.operators.port}};
            control.operators = entry.seeds.front();
        }
        start();
        m_control.isFirstStart = false;
    }

    ~System()
    {
        endAll();
        std::filesystem::remove_all(m_folder);
    }

    /// Ends both hosts abruptly and starts them again; the data folder remains.
    void restartAll()
    {
        endAll();
        start();
    }

    void endAll()
    {
        gateway.reset();
        registry.reset();
    }

    void start()
    {
        registry = std::make_unique<RegistryDaemon>(m_control, m_clock, controlDialect<platform::Control>());
        gateway = std::make_unique<GatewayDaemon>(m_entry, m_clock, callerDialect<platform::Clients>());
    }

    /// Ends the entry host and starts it with another value of spare_connections.
    void restartEntryHost(std::size_t spareConnections)
    {
        gateway.reset();
        m_entry.spareConnections = spareConnections;
        gateway = std::make_unique<GatewayDaemon>(m_entry, m_clock, callerDialect<platform::Clients>());
    }

    /// Ends the entry host and starts it with another value of policy.follow_losses.
    void restartEntryHost(LossFollowing lossFollowing)
    {
        gateway.reset();
        m_entry.policy.lossFollowing = lossFollowing;
        gateway = std::make_unique<GatewayDaemon>(m_entry, m_clock, callerDialect<platform::Clients>());
    }

    /// Starts a further entry host at an address of its own.
    std::unique_ptr<GatewayDaemon> startEntryHost(unsigned number)
    {
        constexpr unsigned FirstFurther = 10;
        FleetSettings settings = m_entry;
        settings.name = "entry-" + std::to_string(number);
        settings.peer = addressOn(FirstFurther + number, m_entry.peer.port);
        settings.metrics = addressOn(FirstFurther + number, m_entry.metrics.port);
        return std::make_unique<GatewayDaemon>(settings, m_clock, callerDialect<platform::Clients>());
    }

    /// Replaces the control host's cache file; the control host must have ended.
    void writeCache(const CachedState &state) const
    {
        writeCachedState(m_control.dataFolder + "/remembered", state);
    }

    /// Removes the suspects from the cache file; the control host must have ended.
    void clearCachedSuspects() const
    {
        std::optional<CachedState> state = readCachedState(m_control.dataFolder + "/remembered");
        state.value().suspects.clear();
        writeCache(*state);
    }

    std::size_t cachedTargetCount() const
    {
        const std::optional<CachedState> state = readCachedState(m_control.dataFolder + "/remembered");
        return state ? state->targets.size() : 0;
    }

    std::size_t cachedSuspectCount() const
    {
        const std::optional<CachedState> state = readCachedState(m_control.dataFolder + "/remembered");
        return state ? state->suspects.size() : 0;
    }

    Answer operatorCall(const std::string &path, const std::string &body, const std::string &base = {})
    {
        HttpCall call;
        call.to = registry->operatorsAddress();
        call.method = "POST";
        call.resource = path;
        call.headers = {{"X-If-Rev", base}};
        call.body = std::make_shared<const std::string>(body);
        call.timeout = 5s;
        return fetchOnce(m_client, call).answer;
    }

    Answer get(const Address &to, const std::string &path, const std::string &id = "q",
               const std::vector<HeaderField> &further = {})
    {
        HttpCall call;
        call.to = to;
        call.method = "GET";
        call.resource = path;
        call.headers = {{"Host", "a.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}};
        call.headers.insert(call.headers.end(), further.begin(), further.end());
        call.timeout = 10s;
        return fetchOnce(m_client, call).answer;
    }

    /// Repeats a step until it returns true. Returns false at the timeout.
    static bool eventually(const std::function<bool()> &step)
    {
        for (const auto end = std::chrono::steady_clock::now() + EventTimeout;
             std::chrono::steady_clock::now() < end;) {
            if (step()) {
                return true;
            }
            std::this_thread::sleep_for(RetryInterval);
        }
        return false;
    }

    void putTable(const std::string &version, const std::string &base,
                  const std::vector<std::string> &prefixes = {"/p/"})
    {
        const std::string text = tableText(version, prefixes);
        REQUIRE(eventually([&] { return operatorCall("/api/Config.Put", text, base).status == 200; }));
    }

    static nlohmann::json route(const std::string &name, const std::string &prefix)
    {
        return {{"name", name}, {"pathPrefix", prefix}, {"kind", "unsafe"}, {"timeoutS", 4}, {"sloS", 1},
                {"prio", 1},    {"service", "s"},       {"attempts", 2}};
    }

    /// Returns a table with a route for each prefix.
    static std::string tableText(const std::string &version, const std::vector<std::string> &prefixes)
    {
        nlohmann::json paths = nlohmann::json::array();
        for (const std::string &it : prefixes) {
            paths.push_back(route("r" + std::to_string(paths.size()), it));
        }
        return nlohmann::json{
            {"version", version},
            {"services", {{{"name", "s"}, {"coldS", 3}, {"coldPerS", 100}}}},
            {"limits",
             {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 1 << 20}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}}},
            {"hosts", {{{"host", "a.example"}, {"paths", paths}}}}}
            .dump();
    }

    /// Returns the report of a target.
    static nlohmann::json reportOf(const FakeTarget &target, int sequence, const std::string &state = "ready")
    {
        return {{"service", "s"}, {"addr", target.address()}, {"zone", "z1"},   {"version", "v1"},
                {"slots", 4},     {"state", state},           {"coldLeftS", 0}, {"seq", sequence}};
    }

    Answer sendReport(const std::string &id, const FakeTarget &target, int sequence, const std::string &state = "ready")
    {
        return sendReport(id, reportOf(target, sequence, state).dump());
    }

    Answer sendReport(const std::string &id, const std::string &report)
    {
        return operatorCall("/api/Instances.Heartbeat/" + id, report);
    }

    bool becomesReady()
    {
        return eventually([&] { return get(gateway->readinessAddress(), "/api/readyz").status == 200; });
    }

    Answer metrics()
    {
        return get(m_metrics, "/metrics");
    }

    std::unique_ptr<soak::FaultProxy> proxy; ///< null if the link is direct
    std::unique_ptr<RegistryDaemon> registry;
    std::unique_ptr<GatewayDaemon> gateway;

private:
    std::filesystem::path m_folder;
    FleetSettings m_control;
    FleetSettings m_entry;
    Address m_metrics;
    SteadyClock m_clock;
    HttpClient m_client{1 << 20};
};

/// A system with a configuration and one target that serves requests.
struct ServingSystem {
    explicit ServingSystem(ControlLink link = ControlLink::Direct, Duration updateLease = 2 * EventTimeout,
                           Duration acknowledgeTimeout = 2 * EventTimeout)
        : system(link, updateLease, acknowledgeTimeout)
    {
        system.putTable("r2", "0");
        system.sendReport("i-1", target, 1);
        REQUIRE(system.becomesReady());
    }

    unsigned statusOf(const std::string &path)
    {
        return system.get(system.gateway->callersAddress(), path).status;
    }

    /// Repeats the target's departure report until it is acknowledged.
    void drainUntilAcknowledged()
    {
        int sequence = 1;
        REQUIRE(
            System::eventually([&] { return system.sendReport("i-1", target, ++sequence, "draining").status == 200; }));
    }

    System system;
    FakeTarget target{"i-1"};
};

} // namespace pepperlug::fleet::test
