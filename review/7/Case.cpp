//===- Case.cpp - A late heartbeat after all control hosts were killed ----===//
//
// An upstream leaves and this is acknowledged. All control hosts are killed at one moment and return within a second,
// with their disks. A heartbeat that the upstream sent before it left arrives late, at one of them.
//
//===----------------------------------------------------------------------===//
#include "../standin-2/Standin.h"

#include <csignal>
#include <iostream>

namespace
{

using namespace review;

constexpr Seconds ContactTime{3}; ///< contactS of kemal-sahaf
constexpr Seconds DrainTime{2}; ///< drainS of kemal-sahaf
constexpr Seconds ServesOnFor{7}; ///< that the upstream serves on after the acknowledgement
constexpr Seconds HeldFor{3.5}; ///< how late the heartbeat is
constexpr Milliseconds WorkTime{600};
constexpr std::size_t LateAt = 0; ///< control host at which the late heartbeat arrives
constexpr std::size_t LeavesAt = 1; ///< control host that acknowledges the departure

constexpr const char *Table =
    R"({"version":"r1","services":[{"name":"katalog","healthPath":"/healthz","maxConns":330,)"
    R"("proto":"h1","tls":false,"coldS":3.0,"coldPerS":3.5}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"host":"ficu.example",)"
    R"("paths":[{"name":"hold","pathPrefix":"/hold/","kind":"unsafe","timeoutS":4,"sloS":1.2,"prio":1,)"
    R"("service":"katalog","attempts":2,"sticky":true,"homeRegions":[]}]}]})";

// Sends a heartbeat at once over a path that holds it back; the upstream has given it up by then.
std::thread sendLate(const Address &to, std::string path, std::string body, Record &record)
{
    return std::thread([to, path = std::move(path), body = std::move(body), &record] {
        std::this_thread::sleep_for(HeldFor);
        ControlCaller caller({to});
        const HttpMessage answer = caller.call("POST", path, "Content-Type: application/json\r\n", body);
        record.add("late heartbeat at control " + std::to_string(LateAt) + ": " + answer.startLine);
    });
}

void killControls(Deployment &deployment)
{
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        deployment.control(n).signal(SIGKILL);
    }
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        deployment.control(n).kill();
    }
    std::this_thread::sleep_for(Milliseconds(500));
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        deployment.control(n).start();
    }
}

int run(const std::string &program, const std::string &folder, const std::string &recordFile)
{
    Record record(recordFile);
    Deployment deployment({program, folder});
    deployment.startAll();
    std::vector<Address> controls;
    std::vector<Address> entries;
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        controls.push_back(deployment.operators(n));
        entries.push_back(deployment.callers(n));
    }
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (std::size_t n = 0; n < 2 * deployment.size(); ++n) {
        Upstream::Options options{"i-" + std::to_string(n), "katalog", Deployment::zones()[n % deployment.size()],
                                  deployment.freeAddress(), 3,         WorkTime};
        upstreams.push_back(std::make_unique<Upstream>(options, controls, record));
        upstreams.back()->startBeats();
    }
    ControlCaller operatorCaller(controls);
    const auto put = operatorCaller.callUntilClear(
        "POST", "/api/Config.Put", "X-If-Rev: 0\r\nContent-Type: application/json\r\n", Table, Milliseconds(15000));
    if (!put || put->status() != 200 || !deployment.awaitReady(Milliseconds(15000))) {
        record.add("could not run: no configuration, or entry hosts that are not ready");
        return 2;
    }
    deployment.endFirstStart();
    Clients::Options options;
    options.entries = entries;
    options.host = "ficu.example";
    options.prefix = "/hold/";
    Clients clients(options);
    std::this_thread::sleep_for(Seconds(6));

    Upstream &leaving = *upstreams.front();
    leaving.stopBeats();
    record.add("a heartbeat of " + leaving.options().id + " is sent to control 0 and held on its way");
    std::thread late = sendLate(controls[LateAt], leaving.beatPath(), leaving.nextBeat("ready"), record);
    std::this_thread::sleep_for(Seconds(1));
    ControlCaller next({controls[LeavesAt]});
    next.call("POST", leaving.beatPath(), "Content-Type: application/json\r\n", leaving.nextBeat("ready"));
    const auto left = next.callUntilClear("POST", leaving.leavePath(), "Content-Type: application/json\r\n",
                                          leaving.leaveBody(), Milliseconds(3000));
    const TimePoint acknowledgedAt = SteadyClock::now();
    if (!left || left->status() != 200) {
        record.add("could not run: the departure was not acknowledged");
        late.join();
        return 2;
    }
    record.add("the departure of " + leaving.options().id + " is acknowledged");
    std::this_thread::sleep_for(Milliseconds(300));
    TimePoint calmFrom = acknowledgedAt;
    if (hasTrouble()) {
        record.add("all control hosts are killed");
        killControls(deployment);
        calmFrom = SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(ContactTime);
        record.add("all control hosts are started again");
    }
    late.join();
    std::this_thread::sleep_until(acknowledgedAt + ServesOnFor);
    leaving.end();
    const TimePoint endedAt = SteadyClock::now();
    record.add(leaving.options().id + " ends");
    std::this_thread::sleep_for(Seconds(4));
    clients.stop();

    const TimePoint boundAt =
        std::max(acknowledgedAt + std::chrono::duration_cast<SteadyClock::duration>(DrainTime), calmFrom);
    const auto outcomes = clients.outcomes();
    std::size_t served = 0;
    std::size_t late0 = 0;
    std::size_t broken = 0;
    std::size_t lost = 0;
    for (const auto &[id, outcome] : outcomes) {
        served += outcome.status == 200 ? 1 : 0;
    }
    for (const Upstream::Arrival &it : leaving.arrivals()) {
        late0 += it.at > acknowledgedAt + DrainTime ? 1 : 0;
        if (it.at <= boundAt) {
            continue;
        }
        ++broken;
        const auto outcome = outcomes.find(it.request);
        const bool isLost = outcome != outcomes.end() && outcome->second.status != 200;
        lost += isLost ? 1 : 0;
        record.add("after the bound: " + it.request + " reached " + leaving.options().id + " "
                   + std::to_string(Seconds(it.at - acknowledgedAt).count()) + " s after the acknowledgement, answered "
                   + (outcome == outcomes.end() ? "-" : std::to_string(outcome->second.status)));
    }
    record.add("requests " + std::to_string(outcomes.size()) + ", served " + std::to_string(served));
    record.add("ended " + std::to_string(Seconds(endedAt - acknowledgedAt).count()) + " s after the acknowledgement");
    record.add("at the upstream that left, later than drainS: " + std::to_string(late0)
               + ", of these with all machines in touch: " + std::to_string(broken)
               + ", of these not served: " + std::to_string(lost));
    if (const auto ended = deployment.endedProcesses(); !ended.empty()) {
        record.add("ended by itself: " + ended.front());
    }
    if (served * 2 < outcomes.size()) {
        record.add("could not run: most requests were not served");
        return 2;
    }
    return broken > 0 ? 1 : 0;
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
