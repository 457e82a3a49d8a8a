//===- Control.cpp - Measures of the control hosts ------------------------===//
#include "Live.h"
#include "Measures.h"

#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr const char *Author = "an";
constexpr const char *Signer = "bert";

std::string secretOf(const MeasureContext &context, const std::string &who)
{
    const std::string file = context.keys + "/" + who + ".json";
    return parseJson(readFile(file), file).at("secret_key").get<std::string>();
}

std::string withVersion(const std::string &text, std::uint64_t version)
{
    const std::string first = "\"version\": 1,";
    std::string changed = text;
    return changed.replace(changed.find(first), first.size(), "\"version\": " + std::to_string(version) + ",");
}

/// Operators of the running system.
class Office
{
public:
    explicit Office(const MeasureContext &context)
        : m_author(controlOf(context), m_clock)
        , m_signer(controlOf(context), m_clock)
        , m_signerKey(secretOf(context, Signer))
    {
        m_author.setOperator(Author, secretOf(context, Author));
        m_signer.setOperator(Signer, m_signerKey);
    }

    void propose(std::uint64_t version, const std::string &text)
    {
        check(
            m_author.post("/v1/commands/propose", {{"version", version}, {"digest", digestHex(text)}, {"text", text}}));
    }

    void sign(std::uint64_t version, const std::string &text)
    {
        const std::string digest = digestHex(text);
        check(m_signer.post("/v1/commands/sign",
                            {{"version", version},
                             {"digest", digest},
                             {"signature", signText(signOffText(version, digest), m_signerKey)}}));
    }

    void rollout(std::uint64_t version, const std::string &text)
    {
        check(m_author.post("/v1/commands/rollout", {{"version", version}, {"digest", digestHex(text)}}));
    }

private:
    static std::vector<Address> controlOf(const MeasureContext &context)
    {
        std::vector<Address> control;
        const BundlePtr bundle = parseBundle(readFile(context.bundle), context.bundle);
        const std::string &ip = bundle->hosts.front().http.ip;
        const std::string net = ip.substr(0, ip.find('.', ip.find('.') + 1));
        for (int n = 1; n <= 3; ++n) {
            control.push_back({net + ".0." + std::to_string(n), 7400});
        }
        return control;
    }

    static void check(const AdminReply &reply)
    {
        if (reply.status != 200) {
            throw Error("measure", "", reply.body.dump());
        }
    }

    SteadyClock m_clock;
    AdminClient m_author;
    AdminClient m_signer;
    std::string m_signerKey;
};

bool allServe(std::vector<std::unique_ptr<Repeater>> &hosts, std::uint64_t version)
{
    const std::string part = "\"version\":" + std::to_string(version) + ",";
    for (auto &host : hosts) {
        host->once();
        if (host->lastAnswer().find(part) == std::string::npos) {
            return false;
        }
    }
    return true;
}

void measureRecovery(std::uint64_t entries, bool withSnapshot)
{
    std::string pattern = std::filesystem::temp_directory_path() / "pepperlug-measure-XXXXXX";
    const std::string path = mkdtemp(pattern.data());
    const std::string text(12000, 'x');
    {
        const DataFolder folder(path);
        ControlStore store(folder);
        for (std::uint64_t n = 1; n <= entries; ++n) {
            const ControlCommand command{CommandKind::Propose, "an", n, digestHex(text), text, "", ""};
            store.add({std::nullopt, std::nullopt, {{1, n, EntryKind::Command, encode(command)}}});
        }
        store.sync();
        if (withSnapshot) {
            ControlState state({});
            store.save({{entries, 1, {{"c", "initial", true}}, state.snapshot()}, {1, ""}, {}, false});
        }
    }
    const auto start = std::chrono::steady_clock::now();
    {
        const DataFolder folder(path);
        const RecoveredLog recovered = ControlStore(folder).recovered();
        ControlState state({});
        for (const LogEntry &entry : recovered.entries) {
            state.apply(decode<ControlCommand>(entry.data, "log"), entry.index);
        }
    }
    const Duration took = std::chrono::steady_clock::now() - start;
    printRow({std::to_string(entries), withSnapshot ? "yes" : "no", inMilliseconds(took)});
    std::filesystem::remove_all(path);
}

} // namespace

ExitCode measureControl(const MeasureContext &context)
{
    constexpr std::uint64_t Rollouts = 100;
    const std::string text = readFile(context.bundle);
    const BundlePtr bundle = parseBundle(text, context.bundle);
    Office office(context);
    std::vector<std::unique_ptr<Repeater>> hosts;
    for (const EntryHost &host : bundle->hosts) {
        hosts.push_back(
            std::make_unique<Repeater>(host.http, getRequest("/v1/lookup?service=" + bundle->services[0].name)));
    }
    std::vector<Duration> times;
    for (std::uint64_t version = 2; version < Rollouts + 2; ++version) {
        const std::string next = withVersion(text, version);
        office.propose(version, next);
        office.sign(version, next);
        office.rollout(version, next);
        const auto accepted = std::chrono::steady_clock::now();
        while (!allServe(hosts, version)) { }
        times.emplace_back(std::chrono::steady_clock::now() - accepted);
    }
    std::cout << "accepted to in force at " << hosts.size() << " entry hosts, " << times.size() << " rollouts: p50 "
              << microseconds(quantile(times, 0.5)) << " us, p99 " << microseconds(quantile(times, 0.99)) << " us\n";

    constexpr unsigned Proposers = 8;
    std::atomic<std::uint64_t> version{100000};
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(context.seconds);
    std::vector<std::thread> threads;
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> failed{0};
    std::mutex mutex;
    std::string lastFailure;
    for (unsigned n = 0; n < Proposers; ++n) {
        threads.emplace_back([&] {
            Office own(context);
            while (std::chrono::steady_clock::now() < until) {
                const std::uint64_t mine = ++version;
                try {
                    own.propose(mine, withVersion(text, mine));
                    ++accepted;
                } catch (const Error &ex) {
                    ++failed;
                    const std::lock_guard lock(mutex);
                    lastFailure = ex.what();
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::cout << "proposals of " << text.size() << " bytes accepted a second, 8 operators, synced on a majority: "
              << fixed(static_cast<double>(accepted) / context.seconds, 0) << ", failed " << failed << " "
              << lastFailure << "\n";
    return ExitCode::Success;
}

ExitCode measureRecoveryTimes(const MeasureContext &)
{
    printRow({"entries of 12 KB", "snapshot", "ms"});
    for (const std::uint64_t entries : {100UL, 1000UL, 5000UL}) {
        measureRecovery(entries, false);
        measureRecovery(entries, true);
    }
    return ExitCode::Success;
}

} // namespace pepperlug
