//===- EntryStopTest.cpp - Stops of an entry host under a bundle ----------===//
#include "DaemonFixture.h"

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

constexpr std::size_t MaxBytes = 1 << 20;
constexpr Duration GracePeriod = 6s;

/// A target that holds requests until told otherwise.
class HoldingTarget
{
public:
    Address address() const
    {
        return m_server.address();
    }

    int runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_holds = true;
    }

    void release()
    {
        std::vector<HttpExchangePtr> held;
        {
            const std::lock_guard lock(m_mutex);
            m_holds = false;
            held.swap(m_held);
        }
        for (const HttpExchangePtr &exchange : held) {
            exchange->respond({200, {}, "done"});
        }
    }

private:
    void onRequest(const HttpExchangePtr &exchange)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs;
            if (m_holds) {
                m_held.push_back(exchange);
                return;
            }
        }
        exchange->respond({200, {}, "done"});
    }

    SteadyClock m_clock;
    std::mutex m_mutex;
    bool m_holds = false;
    int m_runs = 0;
    std::vector<HttpExchangePtr> m_held;
    HttpServer m_server{{"127.0.0.1", 0}, 1, HttpLimits{}, m_clock, [this](const HttpExchangePtr &it) {
                            onRequest(it);
                        }};
};

/// An entry host with one target, and a stub control host that has one bundle.
class EntrySystem
{
public:
    EntrySystem()
    {
        m_control.listen(addressOn(1, 7300), [this](const IncomingCallPtr &call) { onWatch(call); });
        EntrySettings settings;
        settings.name = "entry-1";
        settings.zone = "zone-1";
        settings.http = addressOn(2, 7100);
        settings.peer = addressOn(2, 7200);
        settings.control = {addressOn(1, 7300)};
        settings.maxBodyBytes = MaxBytes;
        settings.maxAnswerBytes = MaxBytes;
        settings.headTimeout = 10s;
        settings.gracePeriod = GracePeriod;
        m_callers = settings.http;
        parseBundle(bundleText(), "bundle"); // throws where it has findings
        m_entry = std::make_unique<EntryDaemon>(settings, m_clock, "");
    }

    ~EntrySystem()
    {
        target.release();
        m_client.stop();
    }

    EntrySystem(const EntrySystem &) = delete;
    EntrySystem &operator=(const EntrySystem &) = delete;

    bool becomesReady()
    {
        return eventually([this] { return send(10s).get().answer.status == 200; });
    }

    std::future<HttpResult> send(Milliseconds deadline, const std::string &method = "POST")
    {
        HttpCall call;
        call.to = m_callers;
        call.method = method;
        call.resource = "/s/work/x";
        call.headers = {{"Host", "work"}, {"Pepperlug-Deadline-Ms", std::to_string(deadline.count())}};
        call.timeout = EventTimeout;
        return startCall(m_client, std::move(call));
    }

    /// Stops the entry host as its program does.
    std::future<void> stop()
    {
        return std::async(std::launch::async, [this] {
            m_entry->stopGracefully();
            m_entry.reset();
        });
    }

    HoldingTarget target;

private:
    std::string bundleText() const
    {
        nlohmann::json bundle = nlohmann::json::parse(R"({
            "owner": "an",
            "version": 1,
            "policy": {"signatures_required": 1},
            "latency": {"same_region_ms": 1, "other_region_ms": 12, "client_ms": 1},
            "regions": [{"name": "region-1", "zones": ["zone-1"]}],
            "entry_hosts": [{"name": "entry-1", "zone": "zone-1"}],
            "services": [{
                "name": "work",
                "max_deadline_ms": 20000,
                "queue": 16,
                "routes": [{"prefix": "/", "class": "plain"}],
                "targets": [{"name": "work-1", "zone": "zone-1", "slots": 8, "connections": 100}]
            }],
            "operators": [{"name": "an", "roles": ["propose"]}, {"name": "bert", "roles": ["sign"]}]
        })");
        bundle["entry_hosts"][0]["http"] = addressOn(2, 7100).text();
        bundle["entry_hosts"][0]["peer"] = addressOn(2, 7200).text();
        bundle["services"][0]["targets"][0]["address"] = target.address().text();
        for (nlohmann::json &it : bundle["operators"]) {
            it["public_key"] = makeKeyPair().publicKey;
        }
        return bundle.dump();
    }

    void onWatch(const IncomingCallPtr &call) const
    {
        const auto request = decode<WatchCall>(call->body(), call->peer());
        WatchReply reply;
        reply.term = 1;
        reply.index = 1;
        reply.current = true;
        reply.changed = request.index < reply.index;
        reply.hasBundle = reply.changed;
        reply.bundleText = reply.changed ? bundleText() : std::string();
        call->reply(200, encode(reply));
    }

    SteadyClock m_clock;
    Address m_callers;
    PeerNet m_control;
    HttpClient m_client{MaxBytes};
    std::unique_ptr<EntryDaemon> m_entry;
};

} // namespace

// Guards against a stop that cuts what it has taken, or that takes what it can't end.
TEST_CASE("a stopping entry host under a bundle answers what it has taken and refuses what may outlive it")
{
    EntrySystem system;
    REQUIRE(system.becomesReady());
    system.target.hold();
    const int before = system.target.runs();
    std::future<HttpResult> early = system.send(5s);
    REQUIRE(eventually([&] { return system.target.runs() == before + 1; }));
    std::future<void> stopped = system.stop();
    std::this_thread::sleep_for(300ms);
    std::future<HttpResult> late = system.send(10s);
    std::future<HttpResult> brief = system.send(3s);
    const HttpResult refused = late.get();
    REQUIRE(refused.kind == HttpResult::Kind::Answered);
    CHECK(refused.answer.status == 503);
    CHECK(nlohmann::json::parse(refused.answer.body).value("outcome", "") == "not-run");
    REQUIRE(eventually([&] { return system.target.runs() == before + 2; }));
    system.target.release();
    CHECK(early.get().answer.status == 200);
    CHECK(brief.get().answer.status == 200);
    CHECK(stopped.wait_for(GracePeriod) == std::future_status::ready);
}

// Guards against a request that may have run and whose caller gets no answer when the time of the stop is over.
TEST_CASE("a request that outlives a stop under a bundle is answered before the exit")
{
    EntrySystem system;
    REQUIRE(system.becomesReady());
    system.target.hold();
    const int before = system.target.runs();
    std::future<HttpResult> call = system.send(15s);
    REQUIRE(eventually([&] { return system.target.runs() == before + 1; }));
    const auto start = std::chrono::steady_clock::now();
    std::future<void> stopped = system.stop();
    const HttpResult result = call.get();
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.status == 504);
    CHECK(nlohmann::json::parse(result.answer.body).value("outcome", "") == "unknown");
    stopped.get();
    CHECK(std::chrono::steady_clock::now() - start < GracePeriod);
}
