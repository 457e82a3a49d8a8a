//===- Operations.cpp - Measures of once-only operations ------------------===//
//
// Loops against one running entry host: plain requests beside once-only ones, on a host whose claims are synced to a
// disk and on one that keeps them in memory.
//
//===----------------------------------------------------------------------===//
#include "Live.h"
#include "Measures.h"

#include <iostream>

namespace pepperlug
{

namespace
{

struct Loops {
    std::vector<Duration> times;
    double perSecond = 0;
};

std::string homeOf(const Address &entry, const std::string &service)
{
    Repeater repeater(entry, getRequest("/v1/lookup?service=" + service));
    repeater.once();
    const std::string body = repeater.lastAnswer();
    const std::size_t at = body.find("\"home\":\"") + 8;
    return body.substr(at, body.find('"', at) - at);
}

std::string postRequest(const std::string &path, const std::string &key)
{
    const std::string header = key.empty() ? "" : "Idempotency-Key: " + key + "\r\n";
    return "POST " + path + " HTTP/1.1\r\nHost: measure\r\nConnection: keep-alive\r\nContent-Length: 2\r\n" + header
        + "\r\n{}";
}

Loops run(const Address &entry, const std::string &path, const std::string &home, unsigned loops, Duration time,
          const std::string &tag)
{
    Loops result;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto until = std::chrono::steady_clock::now() + time;
    for (unsigned n = 0; n < loops; ++n) {
        threads.emplace_back([&, n] {
            Repeater repeater(entry, "");
            std::vector<Duration> own;
            for (std::size_t k = 0; std::chrono::steady_clock::now() < until; ++k) {
                std::string key;
                if (!home.empty()) {
                    key.append(home)
                        .append(".")
                        .append(tag)
                        .append(std::to_string(n))
                        .append("x")
                        .append(std::to_string(k));
                }
                repeater.setRequest(postRequest(path, key));
                own.push_back(repeater.once());
            }
            const std::lock_guard lock(mutex);
            result.times.insert(result.times.end(), own.begin(), own.end());
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    result.perSecond = static_cast<double>(result.times.size()) / std::chrono::duration<double>(time).count();
    return result;
}

} // namespace

ExitCode measureOnce(const MeasureContext &context)
{
    const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(context.seconds / 9));
    printRow({"operation", "loops", "per second", "p50 us", "p99 us"});
    const auto show = [](const std::string &name, unsigned loops, Loops result) {
        printRow({name, std::to_string(loops), fixed(result.perSecond, 0), microseconds(quantile(result.times, 0.5)),
                  microseconds(quantile(result.times, 0.99))});
    };
    for (const unsigned loops : {1U, 4U, 10U}) {
        const Address disk = addressOf(context.entry);
        const Address memory = addressOf(context.other);
        const std::string tag = "t" + std::to_string(loops) + "-";
        show("plain", loops, run(disk, "/s/" + context.service + "/plain/1", "", loops, time, tag));
        show("once, synced", loops,
             run(disk, "/s/" + context.service + "/callouts/1", homeOf(disk, context.service), loops, time, tag));
        show("once, in memory", loops,
             run(memory, "/s/" + context.service + "/callouts/1", homeOf(memory, context.service), loops, time, tag));
    }
    return ExitCode::Success;
}

} // namespace pepperlug
