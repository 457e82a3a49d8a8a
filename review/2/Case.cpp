//===- Case.cpp - A surplus refusal is taken for the answer to a retry ----===//
//
// Upstreams turn requests away although they have free slots, and some send a
// second answer after a whole one. The entry host sends such a request to the
// same upstream again, over the same connection and with the same id, and takes
// the surplus refusal for the answer to what the upstream runs meanwhile.
//
//===----------------------------------------------------------------------===//
#include "../standin/Standin.h"

#include <random>
#include <set>

namespace
{

using namespace review;
using namespace std::chrono_literals;

constexpr unsigned Upstreams = 15;
constexpr unsigned Clients = 40;
/// Of each disruption, and between two; the pages have for_s = 8.5 and for_s
/// = 5.0.
constexpr auto TroubleTime = 5s;
constexpr auto CalmTime = 500ms;
constexpr unsigned Rounds = 14;
constexpr auto Deadline = 4000ms;
constexpr auto Work = 60ms;
/// Doses of the pages: srv_grey, how = "shed all", x = 0.55; garble, how =
/// "extra late", share = 0.6, x = 0.03.
constexpr double ShedShare = 0.55;
constexpr unsigned GarblingUpstreams = 9; ///< share 0.6
constexpr double ExtraShare = 0.03;

constexpr const char *Configuration = R"({"version":"r1",
 "services":[{"name":"katalog","healthPath":"/healthz","maxConns":330,"proto":"h1","tls":false,"coldS":3,"coldPerS":3.5}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "hosts":[{"host":"sahaf.example","paths":[{"name":"rare-hold","pathPrefix":"/holds/","kind":"unsafe",
  "timeoutS":4,"sloS":0.6,"prio":1,"service":"katalog","attempts":2,"sticky":true,"homeRegions":[]}]}]})";

/// What upstreams and clients saw of each request.
class Ledger
{
public:
    void addRun(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }

    void addAnswer(const std::string &id, unsigned status)
    {
        const std::lock_guard lock(m_mutex);
        m_answers[id] = status;
    }

    /// Returns how many requests broke a rule, and records each.
    unsigned check(Record &record)
    {
        const std::lock_guard lock(m_mutex);
        unsigned broken = 0;
        const std::set<unsigned> promises{408, 421, 429, 503};
        for (const auto &[id, runs] : m_runs) {
            const auto answer = m_answers.find(id);
            const unsigned status = answer == m_answers.end() ? 0 : answer->second;
            if (runs > 1) {
                record.line("TWICE: " + id + " was run " + std::to_string(runs) + " times");
                ++broken;
            }
            if (promises.contains(status)) {
                record.line("REFUSED: " + id + " was run, and answered " + std::to_string(status));
                ++broken;
            }
        }
        record.line(std::to_string(m_answers.size()) + " requests, " + std::to_string(m_runs.size()) + " run, "
                    + std::to_string(broken) + " broke a rule");
        return broken;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
    std::map<std::string, unsigned> m_answers;
};

/// Answers that a connection still owes to nobody.
thread_local std::string surplus;

/// One upstream's conduct.
class Conduct
{
public:
    Conduct(unsigned number, Ledger &ledger, const std::atomic<bool> &isTroubled, Record &record)
        : m_garbles(number < GarblingUpstreams)
        , m_random(number)
        , m_ledger(ledger)
        , m_isTroubled(isTroubled)
        , m_record(record)
    {
    }

    void answer(Stream &stream, const Message &request)
    {
        const std::string id = request.field("X-Request-Id");
        // A surplus answer comes late, in the place of the next one.
        if (!surplus.empty()) {
            m_record.line("a surplus answer goes out in the place of that to " + id);
            stream.send(surplus);
            surplus.clear();
        }
        const bool isTroubled = m_isTroubled;
        if (isTroubled && draws(ShedShare)) {
            auto fields = answerFields(request, "0,0,3");
            fields.emplace_back("X-Not-Executed", "1");
            const std::string bytes = encode("HTTP/1.1 503 Service Unavailable", fields, "");
            stream.send(bytes);
            keepSurplus(bytes, id);
            return;
        }
        m_ledger.addRun(id);
        std::this_thread::sleep_for(Work);
        const std::string bytes = encode("HTTP/1.1 200 OK", answerFields(request, "1,0,3"), "held");
        stream.send(bytes);
        if (isTroubled) {
            keepSurplus(bytes, id);
        }
    }

private:
    void keepSurplus(const std::string &bytes, const std::string &id)
    {
        if (m_garbles && draws(ExtraShare)) {
            surplus = bytes;
            m_record.line("a second answer to " + id + " will follow");
        }
    }

    bool draws(double share)
    {
        const std::lock_guard lock(m_mutex);
        return std::bernoulli_distribution(share)(m_random);
    }

    bool m_garbles;
    std::mutex m_mutex;
    std::mt19937 m_random;
    Ledger &m_ledger;
    const std::atomic<bool> &m_isTroubled;
    Record &m_record;
};

void runClient(unsigned number, const Address &entryHost, Ledger &ledger, const std::atomic<bool> &stop)
{
    for (unsigned n = 0; !stop; ++n) {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(n);
        const std::optional<Message> answer = ask(entryHost, "POST", "/holds/" + std::to_string(n % 24),
                                                  {{"Host", "sahaf.example"},
                                                   {"X-Request-Id", id},
                                                   {"X-Deadline-Ms", std::to_string(Deadline.count())},
                                                   {"Cookie", "X-Affinity-Key=" + std::to_string((n + number) % 24)}},
                                                  "copy", Deadline);
        ledger.addAnswer(id, answer ? answer->status() : 0);
        std::this_thread::sleep_for(answer && answer->status() == 200 ? 150ms : 300ms);
    }
}

Verdict play(Record &record)
{
    System system({{{"ist-beyazit", "istanbul"}, {"ank-ulus", "ankara"}, {"izm-alsancak", "izmir"}}});
    system.start();
    Ledger ledger;
    std::atomic<bool> isTroubled = false;
    std::atomic<bool> stop = false;
    std::vector<std::unique_ptr<Conduct>> conducts;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    const std::vector<Address> control{system.operators(0), system.operators(1), system.operators(2)};
    for (unsigned n = 0; n < Upstreams; ++n) {
        conducts.push_back(std::make_unique<Conduct>(n, ledger, isTroubled, record));
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
        clients.emplace_back([&, n] { runClient(n, system.callers(n % system.entryHosts()), ledger, stop); });
    }
    std::this_thread::sleep_for(4s); // longer than contactS, so that all machines are in touch
    for (unsigned n = 0; n < Rounds; ++n) {
        isTroubled = hasTrouble();
        record.line(isTroubled ? "upstreams turn requests away and repeat answers" : "no disruption");
        std::this_thread::sleep_for(TroubleTime);
        isTroubled = false;
        std::this_thread::sleep_for(CalmTime);
    }
    stop = true;
    for (std::thread &it : clients) {
        it.join();
    }
    return ledger.check(record) > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
