//===- Case.cpp - Spoiled heads of upstreams reach clients ----------------===//
//
// Some upstreams spoil a few of their answers: a header line that is none, or
// two lengths that differ. The entry host passes them on as successes.
//
//===----------------------------------------------------------------------===//
#include "../standin/Standin.h"

#include <algorithm>
#include <random>

namespace
{

using namespace review;
using namespace std::chrono_literals;

constexpr unsigned Upstreams = 6;
constexpr unsigned Clients = 12;
constexpr auto Deadline = 3000ms;
constexpr auto Work = 20ms;
constexpr auto ClientPause = 50ms;
/// garble: share = 0.35, x = 0.02, for_s = 5.5; several times, with a pause.
constexpr unsigned GarblingUpstreams = 2; ///< share 0.33
constexpr double SpoiledShare = 0.02;
constexpr auto TroubleTime = 5500ms;
constexpr auto CalmTime = 500ms;
constexpr unsigned Rounds = 8;
constexpr const char *Body = "a title and its condition";
constexpr std::size_t ShortLength = 7;

constexpr const char *Configuration = R"({"version":"r1",
 "services":[{"name":"katalog","healthPath":"/healthz","maxConns":330,"proto":"h1","tls":false,"coldS":3,"coldPerS":3.5}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "hosts":[{"host":"sahaf.example","paths":[{"name":"title-lookup","pathPrefix":"/titles/","kind":"safe",
  "timeoutS":3,"sloS":0.4,"prio":2,"service":"katalog","attempts":2,"sticky":false,"homeRegions":[]}]}]})";

bool isTokenChar(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isValueChar(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code == '\t' || (code >= 0x20 && code != 0x7f);
}

/// Why the answer is none in the protocol (RFC 9110, 5), or not the upstream's
/// whole one; empty if it is sound.
std::string faultIn(const Message &answer)
{
    for (const auto &[name, value] : answer.fields) {
        if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenChar)) {
            return "a header line has no name: \"" + name + "\"";
        }
        if (!std::all_of(value.begin(), value.end(), isValueChar)) {
            return "the value of " + name + " holds a control character";
        }
    }
    const bool isSuccess = answer.status() >= 200 && answer.status() < 300;
    return isSuccess && answer.body != Body ? "the body is \"" + answer.body + "\"" : std::string();
}

/// An answer, spoiled in one of three ways.
std::string spoiledAnswer(const Message &request, unsigned form)
{
    auto fields = answerFields(request, "1,0,3");
    switch (form) {
    case 0:
        fields.emplace_back("X-Note of shelf", "12");
        break;
    case 1:
        fields.emplace_back("X-Note", std::string("shelf\x01") + "12");
        break;
    default:
        // encode() adds the second length; the body that follows has the first one.
        std::string bytes = encode("HTTP/1.1 200 OK", fields, std::string(ShortLength, '-'));
        bytes.resize(bytes.size() - ShortLength);
        const std::string length = "\r\nContent-Length: " + std::to_string(std::string_view(Body).size());
        return bytes.insert(bytes.find("\r\n"), length).append(Body);
    }
    return encode("HTTP/1.1 200 OK", fields, Body);
}

/// One upstream's conduct.
class Conduct
{
public:
    Conduct(unsigned number, const std::atomic<bool> &isTroubled, Record &record)
        : m_garbles(number < GarblingUpstreams)
        , m_random(number)
        , m_isTroubled(isTroubled)
        , m_record(record)
    {
    }

    void answer(Stream &stream, const Message &request)
    {
        std::this_thread::sleep_for(Work);
        if (!spoils()) {
            stream.send(encode("HTTP/1.1 200 OK", answerFields(request, "1,0,3"), Body));
            return;
        }
        constexpr unsigned Forms = 3;
        const unsigned form = m_spoiled++ % Forms;
        m_record.line(request.field("X-Request-Id") + " gets a spoiled answer, form " + std::to_string(form));
        stream.send(spoiledAnswer(request, form));
    }

private:
    bool spoils()
    {
        const std::lock_guard lock(m_mutex);
        return m_garbles && m_isTroubled && std::bernoulli_distribution(SpoiledShare)(m_random);
    }

    bool m_garbles;
    std::mutex m_mutex;
    std::mt19937 m_random;
    std::atomic<unsigned> m_spoiled = 0;
    const std::atomic<bool> &m_isTroubled;
    Record &m_record;
};

struct Counts {
    std::atomic<unsigned> answered = 0;
    std::atomic<unsigned> broken = 0;
};

void tellFault(const std::string &id, const Message &answer, Record &record)
{
    record.line("MIXED: " + id + " got " + std::to_string(answer.status()) + ", but " + faultIn(answer));
}

void runClient(unsigned number, const Address &entryHost, const std::atomic<bool> &stop, Counts &counts, Record &record)
{
    for (unsigned n = 0; !stop; ++n) {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(n);
        const std::optional<Message> answer =
            ask(entryHost, "GET", "/titles/" + id,
                {{"Host", "sahaf.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", std::to_string(Deadline.count())}},
                "", Deadline);
        counts.answered += answer ? 1 : 0;
        if (answer && !faultIn(*answer).empty()) {
            ++counts.broken;
            tellFault(id, *answer, record);
        }
        std::this_thread::sleep_for(ClientPause);
    }
}

Verdict play(Record &record)
{
    System system({{{"ist-beyazit", "istanbul"}, {"ank-ulus", "ankara"}, {"izm-alsancak", "izmir"}}});
    system.start();
    std::atomic<bool> isTroubled = false;
    std::atomic<bool> stop = false;
    Counts counts;
    std::vector<std::unique_ptr<Conduct>> conducts;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    const std::vector<Address> control{system.operators(0), system.operators(1), system.operators(2)};
    for (unsigned n = 0; n < Upstreams; ++n) {
        conducts.push_back(std::make_unique<Conduct>(n, isTroubled, record));
        upstreams.push_back(std::make_unique<Upstream>(
            Upstream::Identity{"i-" + std::to_string(n), "katalog", system.zone(n), system.standin(n), 3}, control,
            [it = conducts.back().get()](Stream &stream, const Message &request) { it->answer(stream, request); }));
    }
    const StopAtEnd stopAtEnd(system);
    if (!system.configure(Configuration, "0", 15s) || !system.awaitReady(15s)) {
        return Verdict::NotRun;
    }
    std::vector<std::thread> clients;
    for (unsigned n = 0; n < Clients; ++n) {
        clients.emplace_back([&, n] { runClient(n, system.callers(n % system.entryHosts()), stop, counts, record); });
    }
    for (unsigned n = 0; n < Rounds; ++n) {
        isTroubled = hasTrouble();
        record.line(isTroubled ? "upstreams spoil answers" : "no disruption");
        std::this_thread::sleep_for(TroubleTime);
        isTroubled = false;
        std::this_thread::sleep_for(CalmTime);
    }
    stop = true;
    for (std::thread &it : clients) {
        it.join();
    }
    record.line(std::to_string(counts.answered) + " answers, " + std::to_string(counts.broken) + " broke the rule");
    if (counts.answered == 0) {
        return Verdict::NotRun;
    }
    return counts.broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
