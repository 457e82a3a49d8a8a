//===- Live.cpp - Measures of running processes ---------------------------===//
//
// scripts/measure starts the processes; the figures here are of them as callers see them.
//
//===----------------------------------------------------------------------===//
#include "Live.h"
#include "Measures.h"

#include <pistache/endpoint.h>

#include <algorithm>
#include <iostream>

namespace pepperlug
{

namespace
{

/// Closed loops on so many connections, each with a thread.
struct Throughput {
    double perSecond = 0;
    Duration p50{};
    Duration p99{};
};

/// Closed loops on so many connections, each with a thread.
Throughput runLoops(const Address &to, const std::string &request, unsigned connections, Duration time)
{
    std::vector<std::vector<Duration>> samples(connections);
    std::vector<std::thread> threads;
    const auto until = std::chrono::steady_clock::now() + time;
    for (unsigned n = 0; n < connections; ++n) {
        threads.emplace_back([&, n] {
            Repeater repeater(to, request);
            while (std::chrono::steady_clock::now() < until) {
                samples[n].push_back(repeater.once());
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<Duration> all;
    for (const auto &part : samples) {
        all.insert(all.end(), part.begin(), part.end());
    }
    Throughput result;
    result.perSecond = static_cast<double>(all.size()) / std::chrono::duration<double>(time).count();
    result.p50 = quantile(all, 0.5);
    result.p99 = quantile(all, 0.99);
    return result;
}

class BareHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(BareHandler)

    void onRequest(const Pistache::Http::Request &, Pistache::Http::ResponseWriter writer) override
    {
        writer.send(Pistache::Http::Code::Ok,
                    "{\"bare\":\"an answer of about the same size as a look-up's, padded with some text\"}\n");
    }
};

} // namespace

ExitCode measureBare(const MeasureContext &context)
{
    blockStopSignals();
    const Address address = addressOf(context.entry);
    Pistache::Http::Endpoint endpoint(Pistache::Address(address.ip, Pistache::Port(address.port)));
    const auto flags =
        Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr) | Pistache::Tcp::Options::NoDelay;
    endpoint.init(Pistache::Http::Endpoint::options().threads(2).flags(flags).backlog(1024));
    endpoint.setHandler(std::make_shared<BareHandler>());
    endpoint.serveThreaded();
    waitForStopSignal();
    endpoint.shutdown();
    return ExitCode::Success;
}

ExitCode measureLookup(const MeasureContext &context)
{
    constexpr unsigned Connections = 32;
    constexpr int Rounds = 4;
    const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(context.seconds / Rounds / 2));
    const std::string lookup = getRequest("/v1/lookup?service=" + context.service);
    std::vector<double> ours;
    std::vector<double> bare;
    printRow({"32 connections", "per second", "p50 us", "p99 us"});
    for (int n = 0; n < Rounds; ++n) {
        const Throughput one = runLoops(addressOf(context.entry), lookup, Connections, time);
        const Throughput two = runLoops(addressOf(context.other), getRequest("/"), Connections, time);
        printRow({"look-up", fixed(one.perSecond, 0), microseconds(one.p50), microseconds(one.p99)});
        printRow({"bare Pistache", fixed(two.perSecond, 0), microseconds(two.p50), microseconds(two.p99)});
        ours.push_back(one.perSecond);
        bare.push_back(two.perSecond);
    }
    std::sort(ours.begin(), ours.end());
    std::sort(bare.begin(), bare.end());
    const double ownMedian = (ours[1] + ours[2]) / 2;
    const double bareMedian = (bare[1] + bare[2]) / 2;
    std::cout << "look-ups a second: " << fixed(ownMedian, 0) << ", " << fixed(100 * ownMedian / bareMedian, 0)
              << " % of a bare answer's\n";
    return ExitCode::Success;
}

// Each loop sends one request to the target and one through the entry host, in turn, so that both see the same moments.
ExitCode measureForward(const MeasureContext &context)
{
    constexpr unsigned Loops = 12;
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(context.seconds);
    std::mutex mutex;
    std::vector<Duration> direct;
    std::vector<Duration> forwarded;
    std::vector<Duration> added;
    std::vector<std::thread> threads;
    const BundlePtr bundle = parseBundle(readFile(context.bundle), context.bundle);
    const Service &service = bundle->services[idx(bundle->findService(context.service).value())];
    for (unsigned n = 0; n < Loops; ++n) {
        threads.emplace_back([&, n] {
            const Address target = bundle->targets[idx(service.targets[n % 4])].address;
            Repeater toTarget(target, getRequest("/cars/1"));
            Repeater toEntry(addressOf(context.entry), getRequest("/s/" + context.service + "/cars/1"));
            while (std::chrono::steady_clock::now() < until) {
                const Duration one = toTarget.once();
                const Duration two = toEntry.once();
                const std::lock_guard lock(mutex);
                direct.push_back(one);
                forwarded.push_back(two);
                added.push_back(two - one);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    printRow({"12 in flight", "pairs", "p50 us", "p99 us"});
    printRow({"direct", std::to_string(direct.size()), microseconds(quantile(direct, 0.5)),
              microseconds(quantile(direct, 0.99))});
    printRow({"through entry host", std::to_string(forwarded.size()), microseconds(quantile(forwarded, 0.5)),
              microseconds(quantile(forwarded, 0.99))});
    std::cout << "added at p50: " << microseconds(quantile(added, 0.5)) << " us\n";
    return ExitCode::Success;
}

} // namespace pepperlug
