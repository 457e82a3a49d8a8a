//===- Main.cpp - pepperlug-load ------------------------------------------===//
//
// Loads a running system with callers in every zone and prints what they saw.
//
//===----------------------------------------------------------------------===//
#include "Callers.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace
{

using namespace pepperlug;

constexpr auto SampleInterval = Milliseconds(250);
constexpr auto FetchTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxMetricsBytes = 4 << 20;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string fetchText(HttpClient &client, const Address &address, const std::string &resource)
{
    HttpCall call;
    call.to = address;
    call.method = "GET";
    call.resource = resource;
    call.headers = {{"Host", address.text()}};
    call.timeout = FetchTimeout;
    call.mayRepeat = true;
    HttpResult result = fetch(client, std::move(call));
    return result.kind == HttpResult::Kind::Answered ? std::move(result.answer.body) : std::string();
}

double gaugeOf(const std::string &metrics, const std::string &name)
{
    const std::size_t at = metrics.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(metrics.substr(at + name.size() + 2));
}

/// Samples the headroom of each region while a load runs: free slots as a share of usable ones.
class HeadroomSampler
{
public:
    HeadroomSampler(BundlePtr bundle, std::string service)
        : m_bundle(std::move(bundle))
        , m_service(std::move(service))
        , m_client(MaxMetricsBytes)
        , m_lowest(m_bundle->regions.size(), 1)
        , m_thread([this] { run(); })
    {
    }

    std::vector<double> stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stop = true;
        }
        m_wake.notify_all();
        m_thread.join();
        return m_lowest;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_wake.wait_for(lock, SampleInterval, [this] { return m_stop; })) {
            lock.unlock();
            sample();
            lock.lock();
        }
    }

    void sample()
    {
        std::vector<double> capacity(m_bundle->regions.size(), 0);
        std::vector<double> committed(m_bundle->regions.size(), 0);
        const std::string label = "{service=\"" + m_service + "\"}";
        for (const EntryHost &host : m_bundle->hosts) {
            const std::string metrics = fetchText(m_client, host.http, "/metrics");
            const std::size_t region = idx(m_bundle->regionOf(host.zone));
            capacity[region] += gaugeOf(metrics, "pepperlug_capacity_slots" + label);
            committed[region] += gaugeOf(metrics, "pepperlug_committed_slots" + label);
        }
        for (std::size_t n = 0; n < capacity.size(); ++n) {
            const double headroom = capacity[n] > 0 ? 1 - committed[n] / capacity[n] : 0;
            m_lowest[n] = std::min(m_lowest[n], headroom);
        }
    }

    BundlePtr m_bundle;
    std::string m_service;
    HttpClient m_client;
    std::vector<double> m_lowest;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stop = false;
    std::thread m_thread;
};

void printTable(const Bundle &bundle, const std::vector<RegionResult> &results, const std::vector<double> &headroom)
{
    std::cout << std::left << std::setw(14) << "region" << std::right << std::setw(9) << "requests" << std::setw(9)
              << "answered" << std::setw(8) << "refused" << std::setw(6) << "lost" << std::setw(9) << "mixed up"
              << std::setw(8) << "resent" << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(16)
              << "lowest headroom"
              << "\n";
    std::cout << std::fixed << std::setprecision(1);
    for (std::size_t n = 0; n < results.size(); ++n) {
        const RegionResult &it = results[n];
        std::cout << std::left << std::setw(14) << bundle.regions[n].name << std::right << std::setw(9) << it.requests
                  << std::setw(9) << it.answered << std::setw(8) << it.refused << std::setw(6) << it.lost
                  << std::setw(9) << it.mixedUp << std::setw(8) << it.resent << std::setw(9)
                  << milliseconds(it.quantile(0.5)) << std::setw(9) << milliseconds(it.quantile(0.99)) << std::setw(15)
                  << headroom[n] * 100 << "%\n";
    }
}

nlohmann::json report(const Bundle &bundle, const std::vector<RegionResult> &results,
                      const std::vector<double> &headroom)
{
    nlohmann::json regions = nlohmann::json::array();
    for (std::size_t n = 0; n < results.size(); ++n) {
        const RegionResult &it = results[n];
        regions.push_back({{"region", bundle.regions[n].name},
                           {"requests", it.requests},
                           {"answered", it.answered},
                           {"refused", it.refused},
                           {"lost", it.lost},
                           {"mixed_up", it.mixedUp},
                           {"resent", it.resent},
                           {"p50_ms", milliseconds(it.quantile(0.5))},
                           {"p99_ms", milliseconds(it.quantile(0.99))},
                           {"lowest_headroom", headroom[n]}});
    }
    return regions;
}

LoadSettings readSettings(const cxxopts::ParseResult &arguments)
{
    LoadSettings settings;
    settings.service = arguments["service"].as<std::string>();
    settings.ratePerZone = arguments["rate"].as<double>();
    settings.onceShare = arguments["once-share"].as<double>();
    settings.readPath = arguments["read-path"].as<std::string>();
    settings.oncePath = arguments["once-path"].as<std::string>();
    settings.duration =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments["seconds"].as<double>()));
    settings.deadline = Milliseconds(arguments["deadline-ms"].as<std::int64_t>());
    settings.seed = arguments["seed"].as<std::uint64_t>();
    if (settings.ratePerZone <= 0) {
        throw Error("start", "", "--rate must be above zero");
    }
    return settings;
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("bundle") == 0 || arguments.count("service") == 0) {
        throw Error("start", "", "--bundle and --service are needed");
    }
    const auto file = arguments["bundle"].as<std::string>();
    const BundlePtr bundle = parseBundle(readFile(file), file);
    const LoadSettings settings = readSettings(arguments);
    const SteadyClock clock;
    HeadroomSampler sampler(bundle, settings.service);
    Callers callers(bundle, settings, clock);
    const std::vector<RegionResult> results = callers.run();
    const std::vector<double> headroom = sampler.stop();
    printTable(*bundle, results, headroom);
    nlohmann::json total{{"requests", 0}, {"answered", 0}, {"refused", 0}, {"lost", 0}, {"mixed_up", 0}};
    const nlohmann::json regions = report(*bundle, results, headroom);
    for (const nlohmann::json &region : regions) {
        for (auto &[key, value] : total.items()) {
            value = value.get<std::uint64_t>() + region.at(key).get<std::uint64_t>();
        }
    }
    if (arguments.count("stats") > 0) {
        HttpClient client(MaxMetricsBytes);
        const Address address = Address::parse(arguments["stats"].as<std::string>()).value();
        total["targets"] = nlohmann::json::parse(fetchText(client, address, "/"));
        std::uint64_t wrong = 0;
        for (const std::string &key : callers.notRunKeys()) {
            wrong += fetchText(client, address, "/runs?key=" + key) == "0\n" ? 0 : 1;
        }
        total["told_not_run"] = callers.notRunKeys().size();
        total["wrong_not_run"] = wrong;
    }
    if (arguments.count("report") > 0) {
        std::ofstream(arguments["report"].as<std::string>())
            << nlohmann::json({{"regions", regions}, {"total", total}, {"requests_total", total["requests"]}}).dump(2)
            << "\n";
    }
    return ExitCode::Success;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pepperlug-load", "Callers in every zone of a bundle, as a load");
    pepperlug::addCommonOptions(options);
    options.add_options()("bundle", "bundle that names entry hosts and client blocks", cxxopts::value<std::string>(),
                          "FILE");
    options.add_options()("service", "service to call", cxxopts::value<std::string>(), "NAME");
    options.add_options()("rate", "requests a second that start in each zone",
                          cxxopts::value<double>()->default_value("50"), "N");
    options.add_options()("seconds", "time in which requests start", cxxopts::value<double>()->default_value("10"),
                          "N");
    options.add_options()("once-share", "share of once-only operations", cxxopts::value<double>()->default_value("0.2"),
                          "N");
    options.add_options()("read-path", "path prefix of reads", cxxopts::value<std::string>()->default_value("/"),
                          "PATH");
    options.add_options()("once-path", "path prefix of once-only operations",
                          cxxopts::value<std::string>()->default_value("/"), "PATH");
    options.add_options()("deadline-ms", "time that each caller gives",
                          cxxopts::value<std::int64_t>()->default_value("8000"), "N");
    options.add_options()("seed", "of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"), "N");
    options.add_options()("stats", "address of the stand-in targets' counters", cxxopts::value<std::string>(),
                          "ADDRESS");
    options.add_options()("report", "write the result as JSON", cxxopts::value<std::string>(), "FILE");
    return pepperlug::runTool(options, argc, argv, run);
}
