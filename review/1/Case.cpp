//===- Case.cpp - A planned stop cuts answers that are still being read ---===//
//
// Slow clients read a download while the entry host that took their requests is
// stopped with SIGTERM. The upstream has answered long before.
//
//===----------------------------------------------------------------------===//
#include "../standin/Standin.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace
{

using namespace review;
using namespace std::chrono_literals;

constexpr std::size_t AnswerBytes = 540000; ///< the most that the site's downloads have
constexpr std::size_t FirstPart = 20000;
constexpr auto PauseTime = 1700ms; ///< for which a slow client reads nothing
constexpr auto Deadline = 2500ms;
constexpr auto ReadTimeout = 20ms;
/// Ethernet's segment size and a small receive buffer, so that the kernel holds
/// a part of the answer alone.
constexpr StreamOptions SlowLink{16 * 1024, 1400};
/// Of the requests, counted from the SIGTERM. The clients asked the directory
/// just before it, and hold its answer for its time to live, or three times as
/// long (PROTOCOL.md).
constexpr std::array<Milliseconds, 4> SentAfter{1200ms, 1500ms, 1800ms, 2100ms};

constexpr const char *Configuration = R"({"version":"r1",
 "services":[{"name":"arsiv","healthPath":"/healthz","maxConns":330,"proto":"h1","tls":false,"coldS":3,"coldPerS":3.5}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "hosts":[{"host":"sahaf.example","paths":[{"name":"scan-download","pathPrefix":"/scans/","kind":"download",
  "timeoutS":4,"sloS":0.4,"prio":2,"service":"arsiv","attempts":2,"sticky":false,"homeRegions":[]}]}]})";

struct Download {
    std::string id;
    bool isComplete = false;
    bool isRefused = false;
    std::size_t received = 0;
    Milliseconds took{};
};

/// Reads a first part, nothing for a while, and then the rest.
std::size_t readSlowly(Stream &stream, TimePoint until)
{
    std::size_t received = 0;
    const auto readUpTo = [&](std::size_t wanted) {
        while (received < wanted && !stream.hasEnded() && SteadyClock::now() < until) {
            received += stream.receive(wanted - received, ReadTimeout).size();
        }
    };
    readUpTo(FirstPart);
    std::this_thread::sleep_for(PauseTime);
    readUpTo(AnswerBytes);
    return received;
}

void download(const Address &entryHost, Download &result, Record &record)
{
    const TimePoint sentAt = SteadyClock::now();
    const std::unique_ptr<Stream> stream = Stream::connect(entryHost, SlowLink);
    if (!stream) {
        record.line(result.id + " refused: no connection");
        result.isRefused = true;
        return;
    }
    record.line(result.id + " sent to " + entryHost.text());
    stream->send("GET /scans/" + result.id + " HTTP/1.1\r\nHost: sahaf.example\r\nX-Request-Id: " + result.id
                 + "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) + "\r\n\r\n");
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos && !stream->hasEnded()
           && SteadyClock::now() < sentAt + Deadline) {
        head += stream->receive(1, ReadTimeout);
    }
    result.isRefused = !head.starts_with("HTTP/1.1 200");
    record.line(result.id + " answer begins: " + head.substr(0, head.find('\r')));
    if (!result.isRefused) {
        result.received = readSlowly(*stream, sentAt + Deadline);
    }
    result.isComplete = result.received == AnswerBytes;
    result.took = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - sentAt);
    record.line(result.id + " " + std::to_string(result.received) + " of " + std::to_string(AnswerBytes)
                + " bytes after " + std::to_string(result.took.count()) + " ms, connection "
                + (stream->hasEnded() ? "ended by the host" : "open"));
}

/// Asks the directory where to go, as a client of the host's zone does.
Address resolve(const System &system, std::size_t number, Record &record)
{
    const std::string target = "/api/resolve?name=sahaf.example&region=istanbul&zone=" + system.zone(number);
    const std::optional<Message> answer = ask(system.directory(number), "GET", target, {}, {}, 1s);
    record.line("directory: " + (answer ? answer->body : std::string("no answer")));
    const std::string wanted = system.callers(number).text();
    if (!answer || answer->body.find(wanted) == std::string::npos) {
        throw std::runtime_error("the directory does not name the entry host");
    }
    return system.callers(number);
}

Verdict play(Record &record)
{
    System system({{{"ist-beyazit", "istanbul"}, {"ank-ulus", "ankara"}, {"izm-alsancak", "izmir"}}});
    system.start();
    const std::vector<Address> control{system.operators(0), system.operators(1), system.operators(2)};
    std::atomic<unsigned> run = 0;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (unsigned n = 0; n < 3; ++n) {
        upstreams.push_back(std::make_unique<Upstream>(
            Upstream::Identity{"i-" + std::to_string(n), "arsiv", system.zone(n), system.standin(n), 3}, control,
            [&](Stream &stream, const Message &request) {
                ++run;
                record.line(request.field("X-Request-Id") + " run by an upstream, and answered");
                stream.send(encode("HTTP/1.1 200 OK", answerFields(request, "1,0,3"), std::string(AnswerBytes, 'x')));
            }));
    }
    const StopAtEnd stopAtEnd(system);
    if (!system.configure(Configuration, "0", 15s) || !system.awaitReady(15s)) {
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(4s); // longer than contactS, so that all machines are in touch
    const Address entryHost = resolve(system, 0, record);
    const TimePoint start = SteadyClock::now();
    if (hasTrouble()) {
        record.line("SIGTERM to the entry host");
        system.entry(0).signal(SIGTERM);
    }
    std::vector<Download> downloads(SentAfter.size());
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < downloads.size(); ++n) {
        downloads[n].id = "d" + std::to_string(n);
        clients.emplace_back([&, n] {
            std::this_thread::sleep_until(start + SentAfter[n]);
            download(entryHost, downloads[n], record);
        });
    }
    if (hasTrouble()) {
        const bool hasEnded = system.entry(0).waitForEnd(8s);
        record.line(hasEnded ? "the entry host has ended" : "the entry host runs on");
    }
    for (std::thread &it : clients) {
        it.join();
    }
    unsigned cut = 0;
    unsigned whole = 0;
    for (const Download &it : downloads) {
        // Cut by the host before the deadline, though the upstream had answered.
        cut += !it.isRefused && !it.isComplete && it.took < Deadline - 100ms ? 1 : 0;
        whole += it.isComplete ? 1 : 0;
    }
    record.line(std::to_string(run) + " run, " + std::to_string(whole) + " whole, " + std::to_string(cut) + " cut");
    if (cut > 0) {
        return Verdict::Broken;
    }
    return hasTrouble() || whole == downloads.size() ? Verdict::Held : Verdict::NotRun;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
