//===- FakeTargets.cpp - All targets of a bundle in one process -----------===//
//
// Stands in for the services behind pepperlug. Each target listens on its
// address of the bundle, takes as many requests at once as it has slots, sheds
// the rest, and counts what it ran for each key. What was seen is read at
// --stats: requests, the most at once over the slots, keys that ran twice.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Tool.h"

namespace
{

using namespace pepperlug;

/// Runs functions at given times, on one thread.
class DelayQueue
{
public:
    explicit DelayQueue(const Clock &clock)
        : m_clock(clock)
        , m_thread([this] { run(); })
    {
    }

    ~DelayQueue()
    {
        stop();
    }

    /// Drops what has not run yet.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stop = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    DelayQueue(const DelayQueue &) = delete;
    DelayQueue &operator=(const DelayQueue &) = delete;

    void after(Duration delay, std::function<void()> work)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_items.emplace(m_clock.now() + delay, std::move(work));
        }
        m_wake.notify_all();
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stop) {
            if (m_items.empty()) {
                m_wake.wait(lock);
                continue;
            }
            const TimePoint next = m_items.begin()->first;
            if (m_clock.now() < next) {
                m_wake.wait_for(lock, next - m_clock.now());
                continue;
            }
            const std::function<void()> work = std::move(m_items.begin()->second);
            m_items.erase(m_items.begin());
            lock.unlock();
            work();
            lock.lock();
        }
    }

    const Clock &m_clock;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::multimap<TimePoint, std::function<void()>> m_items;
    bool m_stop = false;
    std::thread m_thread;
};

struct Counters {
    std::mutex mutex;
    std::uint64_t requests = 0;
    std::uint64_t shed = 0;
    std::uint64_t departed = 0;
    unsigned mostOverSlots = 0;
    std::map<std::string, unsigned> runs; ///< by Idempotency-Key
};

class FakeTarget
{
public:
    FakeTarget(const Target &target, Duration serviceTime, const Clock &clock, DelayQueue &delays, Counters &counters)
        : m_target(target)
        , m_serviceTime(serviceTime)
        , m_delays(delays)
        , m_counters(counters)
        , m_server(target.address, 1, HttpLimits{}, clock,
                   [this](const HttpExchangePtr &exchange) { onRequest(exchange); })
    {
    }

private:
    void onRequest(const HttpExchangePtr &exchange)
    {
        const HttpRequest &request = exchange->request();
        {
            const std::lock_guard lock(m_counters.mutex);
            if (m_running >= m_target.slots) {
                ++m_counters.shed;
                m_counters.mostOverSlots = std::max(m_counters.mostOverSlots, m_running + 1 - m_target.slots);
                Answer answer = jsonAnswer(503, {{"reason", "no slot is free"}});
                answer.headers.push_back({"Pepperlug-Not-Run", "1"});
                exchange->respond(answer);
                return;
            }
            ++m_running;
            ++m_counters.requests;
            if (const auto key = request.header("idempotency-key")) {
                ++m_counters.runs[*key];
            }
        }
        const Duration time =
            request.query("sleep_ms") ? Duration(Milliseconds(std::stol(*request.query("sleep_ms")))) : m_serviceTime;
        if (time == Duration{}) {
            finish(exchange);
            return;
        }
        // A caller that leaves cancels the work; its slot is free then.
        auto isOver = std::make_shared<std::atomic<bool>>(false);
        m_delays.after(time, [this, exchange, isOver] {
            if (!isOver->exchange(true)) {
                finish(exchange);
            }
        });
        exchange->onDeparture([this, isOver] {
            if (!isOver->exchange(true)) {
                const std::lock_guard lock(m_counters.mutex);
                --m_running;
                ++m_counters.departed;
            }
        });
    }

    void finish(const HttpExchangePtr &exchange)
    {
        const HttpRequest &request = exchange->request();
        {
            const std::lock_guard lock(m_counters.mutex);
            --m_running;
        }
        nlohmann::json body{{"target", m_target.name},
                            {"method", request.method},
                            {"resource", request.resource},
                            {"body", request.body},
                            {"echo", request.header("x-echo").value_or("")}};
        if (const auto size = request.query("size")) {
            body["padding"] = std::string(std::stoul(*size), 'x');
        }
        const unsigned status =
            request.query("status") ? static_cast<unsigned>(std::stoul(*request.query("status"))) : 200;
        exchange->respond(jsonAnswer(status, body));
    }

    Target m_target;
    Duration m_serviceTime;
    DelayQueue &m_delays;
    Counters &m_counters;
    unsigned m_running = 0;
    HttpServer m_server;
};

/// How often the operation of a key ran.
Answer runsAnswer(Counters &counters, const std::string &key)
{
    const std::lock_guard lock(counters.mutex);
    const auto it = counters.runs.find(key);
    return {200, {}, std::to_string(it == counters.runs.end() ? 0 : it->second) + "\n"};
}

Answer statsAnswer(Counters &counters)
{
    const std::lock_guard lock(counters.mutex);
    std::uint64_t runTwice = 0;
    for (const auto &[key, runs] : counters.runs) {
        runTwice += runs > 1 ? 1 : 0;
    }
    return jsonAnswer(200,
                      {{"requests", counters.requests},
                       {"shed", counters.shed},
                       {"most_over_slots", counters.mostOverSlots},
                       {"keys", counters.runs.size()},
                       {"run_twice", runTwice}});
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const auto file = arguments["bundle"].as<std::string>();
    const BundlePtr bundle = parseBundle(readFile(file), file);
    blockStopSignals();
    const SteadyClock clock;
    DelayQueue delays(clock);
    Counters counters;
    const auto serviceTime =
        std::chrono::microseconds(static_cast<std::int64_t>(arguments["service-ms"].as<double>() * 1000));
    std::vector<std::unique_ptr<FakeTarget>> targets;
    for (const Target &target : bundle->targets) {
        targets.push_back(std::make_unique<FakeTarget>(target, serviceTime, clock, delays, counters));
    }
    const auto statsAddress = Address::parse(arguments["stats"].as<std::string>());
    HttpServer stats(statsAddress.value(), 1, HttpLimits{}, clock, [&counters](const HttpExchangePtr &exchange) {
        const auto key = exchange->request().query("key");
        exchange->respond(key ? runsAnswer(counters, *key) : statsAnswer(counters));
    });
    waitForStopSignal();
    stats.stop();
    delays.stop();
    targets.clear();
    return ExitCode::Success;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fake-targets", "Stand-in for all targets of a bundle");
    pepperlug::addCommonOptions(options);
    options.add_options()("bundle", "bundle that names the targets", cxxopts::value<std::string>(), "FILE");
    options.add_options()("service-ms", "time that a request takes", cxxopts::value<double>()->default_value("20"),
                          "N");
    options.add_options()("stats", "address at which the counters are read", cxxopts::value<std::string>(), "ADDRESS");
    return pepperlug::runTool(options, argc, argv, run);
}
