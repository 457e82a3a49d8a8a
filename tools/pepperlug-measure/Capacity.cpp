//===- Capacity.cpp - Slopes behind docs/CAPACITY.md ----------------------===//
//
// Real messages over real sockets on loopback; processor time is that of this whole process, both ends, halved.
//
//===----------------------------------------------------------------------===//
#include "Live.h"
#include "Measures.h"

#include <ctime>
#include <future>
#include <iostream>

namespace pepperlug
{

namespace
{

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

PeerReply callNow(PeerNet &net, const Address &to, const std::string &path, const std::string &body)
{
    std::promise<PeerReply> promise;
    net.call(to, path, body, std::chrono::seconds(10),
             [&promise](PeerReply reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
}

LeaseRequest leaseRequest(std::size_t services)
{
    LeaseRequest request{1000000, 0x123456789abcdef, 20000, false, "0123456789abcdef", std::chrono::seconds(100000),
                         {}};
    for (std::uint32_t n = 0; n < services; ++n) {
        request.wants.push_back({n, 12, 12});
    }
    return request;
}

void measureExchange(std::size_t services)
{
    constexpr int Calls = 5000;
    LeaseGrant grant{
        1000000, 20000, std::chrono::microseconds(2000000), false, "0123456789abcdef", std::chrono::seconds(100000),
        {}};
    for (std::uint32_t n = 0; n < services; ++n) {
        grant.grants.push_back({n, 12, 12});
    }
    PeerNet server;
    const Address address = server.listen({"127.0.0.1", 0}, [&grant](const IncomingCallPtr &call) {
        decode<LeaseCall>(call->body(), call->peer());
        call->reply(200, encode(grant));
    });
    PeerNet client;
    const std::string body = encode(LeaseCall{"vlaanderen-a-1", leaseRequest(services)});
    callNow(client, address, path::Lease, body);
    const PeerTraffic before = client.traffic();
    const double cpu = cpuSeconds();
    for (int n = 0; n < Calls; ++n) {
        decode<LeaseGrant>(callNow(client, address, path::Lease, body).body, "peer");
    }
    const double used = (cpuSeconds() - cpu) / Calls / 2;
    const PeerTraffic after = client.traffic();
    printRow({"lease exchange", std::to_string(services),
              fixed(static_cast<double>(after.bytesSent - before.bytesSent) / Calls, 0),
              fixed(static_cast<double>(after.bytesReceived - before.bytesReceived) / Calls, 0), fixed(used * 1e6, 0)});
}

/// Cost of a change for the host that watches: reading and checking the whole bundle.
void measureBundle(std::size_t targets)
{
    nlohmann::json regions = nlohmann::json::array({{{"name", "r"}, {"zones", {"z"}}}});
    nlohmann::json all = nlohmann::json::array();
    for (std::size_t n = 0; n < targets; ++n) {
        all.push_back({{"name", "target-" + std::to_string(n)},
                       {"zone", "z"},
                       {"address", "10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":80"},
                       {"slots", 6},
                       {"connections", 100}});
    }
    const std::string key(64, 'a');
    const nlohmann::json bundle{
        {"owner", "o"},
        {"version", 1},
        {"policy", nlohmann::json::object()},
        {"latency", {{"same_region_ms", 1}, {"other_region_ms", 20}, {"client_ms", 5}}},
        {"regions", regions},
        {"entry_hosts", {{{"name", "h"}, {"zone", "z"}, {"http", "10.1.0.1:1"}, {"peer", "10.1.0.1:2"}}}},
        {"services", {{{"name", "s"}, {"routes", {{{"prefix", "/"}, {"class", "read"}}}}, {"targets", all}}}},
        {"operators",
         {{{"name", "a"}, {"public_key", key}, {"roles", {"propose"}}},
          {{"name", "b"}, {"public_key", key}, {"roles", {"sign"}}}}}};
    const std::string text = bundle.dump();
    const double cpu = cpuSeconds();
    parseBundle(text, "bundle");
    printRow({"bundle of targets", std::to_string(targets), std::to_string(text.size()), "-",
              fixed((cpuSeconds() - cpu) * 1e6, 0)});
}

void measureClientBlocks(std::size_t blocks)
{
    ClientMap map;
    const double cpu = cpuSeconds();
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < blocks; ++n) {
        const std::string block = std::to_string(n >> 16 & 255) + "." + std::to_string(n >> 8 & 255) + "."
            + std::to_string(n & 255) + ".0/24";
        bytes += block.size() + 3;
        map.add(block, makeId<ZoneId>(n % 24));
    }
    map.build();
    printRow({"client blocks", std::to_string(blocks), std::to_string(bytes), std::to_string(map.bytes()),
              fixed((cpuSeconds() - cpu) * 1e6, 0)});
}

/// So many entry hosts that watch one control host: what each costs it while nothing changes.
void measureWatchers(const Address &control, std::size_t watchers)
{
    constexpr auto Time = std::chrono::seconds(5);
    std::vector<std::unique_ptr<PeerNet>> nets;
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> replies{0};
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < watchers; ++n) {
        nets.push_back(std::make_unique<PeerNet>());
        threads.emplace_back([&, n] {
            WatchCall call;
            call.host = "stand-in-" + std::to_string(n);
            call.index = UINT64_MAX;
            call.patience = Milliseconds(1000);
            while (!stop) {
                replies += callNow(*nets[n], control, path::Watch, encode(call)).delivered ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(Time);
    std::uint64_t bytes = 0;
    for (const auto &net : nets) {
        const PeerTraffic traffic = net->traffic();
        bytes += traffic.bytesSent + traffic.bytesReceived;
    }
    const double perSecond =
        static_cast<double>(bytes) / static_cast<double>(watchers) / std::chrono::duration<double>(Time).count();
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    printRow(
        {"watchers", std::to_string(watchers), fixed(perSecond, 0) + " B/s", std::to_string(replies) + " rep", "-"});
}

} // namespace

ExitCode measureCapacity(const MeasureContext &context)
{
    printRow({"what", "size", "bytes out", "bytes in", "cpu us"});
    for (const std::size_t services : {2UL, 4UL, 8UL, 16UL}) {
        measureExchange(services);
    }
    for (const std::size_t targets : {36UL, 360UL, 3600UL}) {
        measureBundle(targets);
    }
    for (const std::size_t blocks : {6900UL, 69000UL, 690000UL}) {
        measureClientBlocks(blocks);
    }
    if (!context.entry.empty()) {
        for (const std::size_t watchers : {10UL, 50UL, 200UL}) {
            measureWatchers(addressOf(context.entry), watchers);
        }
    }
    return ExitCode::Success;
}

} // namespace pepperlug
