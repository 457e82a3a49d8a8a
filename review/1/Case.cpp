//===- Case.cpp - A late segment of a chunked body stops an entry host ----===//
//
// Clients send bodies in chunks over links that lose packets now and then.
// Where the lost segment begins between the two bytes that end a chunk, the
// thread of the entry host that reads all its callers never comes back.
//
//===----------------------------------------------------------------------===//
#include "../standin/Standin.h"

#include <array>
#include <random>
#include <unistd.h>

namespace
{

using namespace review;
using namespace std::chrono_literals;

constexpr unsigned Clients = 30;
constexpr auto Deadline = 4000ms;
constexpr auto RouteTimeout = 4000ms;
constexpr auto ContactTime = 3000ms;
/// lossy: x = 0.03 of the packets, for_s = 5.5; several times, with a pause.
constexpr double LossShare = 0.03;
constexpr auto LossTime = 5500ms;
constexpr auto CalmTime = 500ms;
constexpr unsigned Rounds = 10;
/// Until a lost packet is sent again.
constexpr auto ResendTime = 250ms;
constexpr std::size_t SegmentBytes = 1400;
/// Bodies of rare-hold have up to 1,800 bytes.
constexpr std::size_t LeastBody = 1250;
constexpr std::size_t MostBody = 1800;
constexpr std::size_t LeastChunk = 16;
constexpr std::size_t MostChunk = 64;
constexpr unsigned ProbesPerHost = 12;

constexpr const char *Configuration = R"({"version":"r1",
 "services":[{"name":"katalog","healthPath":"/healthz","maxConns":330,"proto":"h1","tls":false,"coldS":3,"coldPerS":3.5}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "hosts":[{"host":"sahaf.example","paths":[{"name":"rare-hold","pathPrefix":"/holds/","kind":"unsafe",
  "timeoutS":4,"sloS":0.6,"prio":1,"service":"katalog","attempts":2,"sticky":false,"homeRegions":[]}]}]})";

std::string inChunks(std::string_view body, std::mt19937 &random)
{
    std::string bytes;
    while (!body.empty()) {
        const std::string_view chunk =
            body.substr(0, std::uniform_int_distribution<std::size_t>(LeastChunk, MostChunk)(random));
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        bytes.append(size.data()).append(chunk).append("\r\n");
        body.remove_prefix(chunk.size());
    }
    return bytes + "0\r\n\r\n";
}

/// Sends bytes as a link does that loses packets: what a lost one held, and all
/// behind it, comes late.
void sendOverLink(Stream &stream, std::string_view bytes, bool losesPackets, std::mt19937 &random)
{
    std::size_t sent = 0;
    for (std::size_t start = 0; losesPackets && start < bytes.size(); start += SegmentBytes) {
        if (std::bernoulli_distribution(LossShare)(random)) {
            stream.send(bytes.substr(sent, start - sent));
            sent = start;
            std::this_thread::sleep_for(ResendTime);
        }
    }
    stream.send(bytes.substr(sent));
}

struct Counts {
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> answered = 0;
};

void runClient(unsigned number, const Address &entryHost, const std::atomic<bool> &losesPackets,
               const std::atomic<bool> &stop, Counts &counts)
{
    std::mt19937 random(number + static_cast<unsigned>(getpid()));
    for (unsigned n = 0; !stop; ++n) {
        const std::unique_ptr<Stream> stream = Stream::connect(entryHost);
        if (!stream) {
            continue;
        }
        const std::size_t size = std::uniform_int_distribution<std::size_t>(LeastBody, MostBody)(random);
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(n);
        const std::string request = "POST /holds/" + std::to_string(n)
            + " HTTP/1.1\r\nHost: sahaf.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
            + inChunks(std::string(size, 'b'), random);
        ++counts.sent;
        sendOverLink(*stream, request, losesPackets, random);
        counts.answered += stream->read(Deadline) ? 1 : 0;
        std::this_thread::sleep_for(20ms);
    }
}

/// Sends plain requests to one entry host; returns how many had no answer half
/// a second after the route's timeout.
unsigned probe(const System &system, std::size_t host, Record &record)
{
    std::atomic<unsigned> unanswered = 0;
    std::vector<std::thread> probes;
    for (unsigned n = 0; n < ProbesPerHost; ++n) {
        probes.emplace_back([&, n] {
            const std::optional<Message> answer =
                ask(system.callers(host), "POST", "/holds/1",
                    {{"Host", "sahaf.example"}, {"X-Request-Id", "p" + std::to_string(host) + "-" + std::to_string(n)}},
                    "copy", RouteTimeout + 500ms);
            unanswered += answer ? 0 : 1;
        });
    }
    for (std::thread &it : probes) {
        it.join();
    }
    const std::optional<Message> ready = ask(system.readiness(host), "GET", "/api/readyz", {}, {}, 1s);
    record.line("entry host " + std::to_string(host) + ": " + std::to_string(unanswered) + " of "
                + std::to_string(ProbesPerHost) + " requests unanswered 0.5 s after timeoutS; it says "
                + (ready ? std::to_string(ready->status()) : std::string("nothing"))
                + " when asked whether it is ready");
    return unanswered;
}

Verdict play(Record &record)
{
    System system({{{"ist-beyazit", "istanbul"}, {"ank-ulus", "ankara"}, {"izm-alsancak", "izmir"}}});
    system.start();
    const std::vector<Address> control{system.operators(0), system.operators(1), system.operators(2)};
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (unsigned n = 0; n < 6; ++n) {
        upstreams.push_back(std::make_unique<Upstream>(
            Upstream::Identity{"i-" + std::to_string(n), "katalog", system.zone(n), system.standin(n), 20}, control,
            [](Stream &stream, const Message &request) {
                stream.send(encode("HTTP/1.1 200 OK", answerFields(request, "1,0,20"), "held"));
            }));
    }
    const StopAtEnd stopAtEnd(system);
    if (!system.configure(Configuration, "0", 15s) || !system.awaitReady(15s)) {
        return Verdict::NotRun;
    }
    Counts counts;
    std::atomic<bool> losesPackets = false;
    std::atomic<bool> stop = false;
    std::vector<std::thread> clients;
    for (unsigned n = 0; n < Clients; ++n) {
        clients.emplace_back(
            [&, n] { runClient(n, system.callers(n % system.entryHosts()), losesPackets, stop, counts); });
    }
    for (unsigned n = 0; n < Rounds; ++n) {
        losesPackets = hasTrouble();
        record.line(losesPackets ? "links of clients lose packets" : "no disruption");
        std::this_thread::sleep_for(LossTime);
        losesPackets = false;
        std::this_thread::sleep_for(CalmTime);
    }
    stop = true;
    for (std::thread &it : clients) {
        it.join();
    }
    record.line(std::to_string(counts.sent) + " requests in chunks, " + std::to_string(counts.answered) + " answered");
    std::this_thread::sleep_for(ContactTime + 1s); // after it all machines are in touch again
    unsigned broken = 0;
    for (std::size_t host = 0; host < system.entryHosts(); ++host) {
        broken += probe(system, host, record) > ProbesPerHost / 2 ? 1 : 0;
    }
    record.line(std::to_string(broken) + " of " + std::to_string(system.entryHosts()) + " entry hosts answer nobody");
    return broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
