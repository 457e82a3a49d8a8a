//===- Case.cpp - A removed route and a lost answer -----------------------===//
//
// A request that may run once is at its upstream when the operator removes its route, so that a shorter one leads to
// the same service, whose requests may be repeated. The upstream runs the request, and its answer is lost.
//
//===----------------------------------------------------------------------===//
#include "../standin-2/Standin.h"

#include <iostream>

namespace
{

using namespace review;

constexpr Milliseconds WorkTime{1000};
constexpr Seconds ApplyTime{2}; ///< applyS of kemal-sahaf
constexpr unsigned LostOfTen = 4; ///< by more than half of the upstreams
constexpr int Removals = 3;

std::string routeText(const std::string &name, const std::string &prefix, const std::string &kind)
{
    return R"({"name":")" + name + R"(","pathPrefix":")" + prefix + R"(","kind":")" + kind
        + R"(","timeoutS":4,"sloS":2,"prio":1,"service":"katalog","attempts":2,"sticky":true,"homeRegions":[]})";
}

std::string tableText(unsigned version, bool hasHoldRoute)
{
    std::string routes = routeText("lookup", "/katalog/", "safe");
    if (hasHoldRoute) {
        routes += "," + routeText("hold", "/katalog/hold/", "unsafe");
    }
    return R"({"version":"r)" + std::to_string(version)
        + R"(","services":[{"name":"katalog","healthPath":"/healthz","maxConns":330,"proto":"h1","tls":false,)"
          R"("coldS":3.0,"coldPerS":3.5}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,)"
          R"("idleTimeoutS":15},"hosts":[{"host":"ficu.example","paths":[)"
        + routes + "]}]}";
}

bool put(ControlCaller &caller, unsigned version, bool hasHoldRoute, Record &record)
{
    const std::string base = version == 1 ? "0" : "r" + std::to_string(version - 1);
    record.add("the operator sends r" + std::to_string(version) + (hasHoldRoute ? "" : ", without the route \"hold\""));
    const auto answer =
        caller.callUntilClear("POST", "/api/Config.Put", "X-If-Rev: " + base + "\r\nContent-Type: application/json\r\n",
                              tableText(version, hasHoldRoute), Milliseconds(15000));
    record.add("r" + std::to_string(version) + ": " + (answer ? answer->startLine : "no answer"));
    return answer && answer->status() == 200;
}

struct Interval {
    TimePoint from;
    TimePoint until;
};

struct Findings {
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t twice = 0;
};

// Counts requests that were sent while no configuration could be in force but one with the route "hold".
Findings judge(const std::vector<std::unique_ptr<Upstream>> &upstreams,
               const std::map<std::string, Clients::Outcome> &outcomes, const std::vector<Interval> &onceOnly,
               Record &record)
{
    std::map<std::string, std::vector<std::string>> runs;
    for (const auto &upstream : upstreams) {
        for (const Upstream::Arrival &it : upstream->arrivals()) {
            runs[it.request].push_back(upstream->options().id);
        }
    }
    Findings findings;
    for (const auto &[id, outcome] : outcomes) {
        ++findings.requests;
        findings.served += outcome.status == 200 ? 1 : 0;
        bool isOnceOnly = false;
        for (const Interval &it : onceOnly) {
            isOnceOnly |= outcome.sentAt > it.from && outcome.sentAt < it.until;
        }
        if (isOnceOnly && runs[id].size() > 1) {
            ++findings.twice;
            record.add("run twice: " + id + " sent at " + std::to_string(record.secondsOf(outcome.sentAt)) + " s, at "
                       + runs[id][0] + " and " + runs[id][1] + ", answered " + std::to_string(outcome.status));
        }
    }
    return findings;
}

int run(const std::string &program, const std::string &folder, const std::string &recordFile)
{
    Record record(recordFile);
    Deployment deployment({program, folder});
    deployment.startAll();
    std::vector<Address> controls;
    Clients::Options options;
    options.host = "ficu.example";
    options.prefix = "/katalog/hold/";
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        controls.push_back(deployment.operators(n));
        options.entries.push_back(deployment.callers(n));
    }
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (std::size_t n = 0; n < 2 * deployment.size(); ++n) {
        Upstream::Options upstream{"i-" + std::to_string(n), "katalog", Deployment::zones()[n % deployment.size()],
                                   deployment.freeAddress(), 3,         WorkTime};
        upstreams.push_back(std::make_unique<Upstream>(upstream, controls, record));
        upstreams.back()->startBeats();
    }
    ControlCaller caller(controls);
    unsigned version = 1;
    if (!put(caller, version, true, record) || !deployment.awaitReady(Milliseconds(15000))) {
        record.add("could not run: no configuration, or entry hosts that are not ready");
        return 2;
    }
    deployment.endFirstStart();
    std::vector<Interval> onceOnly;
    TimePoint inForceFrom = SteadyClock::now();
    Clients clients(options);
    std::this_thread::sleep_for(Seconds(5));
    for (int n = 0; n < Removals; ++n) {
        if (hasTrouble()) {
            record.add("upstreams lose answers");
            for (std::size_t k = 0; k < upstreams.size() * 6 / 10; ++k) {
                upstreams[k]->loseAnswers(LostOfTen);
            }
        }
        std::this_thread::sleep_for(Seconds(1));
        onceOnly.push_back({inForceFrom, SteadyClock::now()});
        if (!put(caller, ++version, false, record)) {
            return 2;
        }
        std::this_thread::sleep_for(Seconds(2));
        for (const auto &it : upstreams) {
            it->loseAnswers(0);
        }
        if (!put(caller, ++version, true, record)) {
            return 2;
        }
        std::this_thread::sleep_for(ApplyTime);
        inForceFrom = SteadyClock::now();
        std::this_thread::sleep_for(Seconds(3));
    }
    clients.stop();
    const Findings findings = judge(upstreams, clients.outcomes(), onceOnly, record);
    record.add("requests " + std::to_string(findings.requests) + ", served " + std::to_string(findings.served)
               + ", sent while they may run once and run twice: " + std::to_string(findings.twice));
    for (const std::string &it : deployment.endedProcesses()) {
        record.add("ended by itself: " + it);
    }
    if (findings.served * 2 < findings.requests) {
        record.add("could not run: most requests were not served");
        return 2;
    }
    return findings.twice > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], argv[3]);
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << "\n";
        return 2;
    }
}
