//===- ControlStopTest.cpp - Stops of a control host under a bundle -------===//
#include "DaemonFixture.h"

#include <algorithm>

using namespace pepperlug;
using namespace pepperlug::test;

namespace
{

constexpr std::size_t MaxReplyBytes = 1 << 20;
constexpr const char *Operator = "an";
/// For a command to arrive; much less than the time after which a leader without a majority refuses.
constexpr auto PendingTime = 200ms;

/// Control hosts, and one operator.
class ControlGroup
{
public:
    explicit ControlGroup(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            const auto host = static_cast<unsigned>(n + 1);
            m_members.push_back({"control-" + std::to_string(host), addressOn(host, 7300), addressOn(host, 7400)});
        }
        for (const ControlPeer &member : m_members) {
            ControlSettings settings;
            settings.name = member.name;
            settings.members = m_members;
            settings.dataFolder = m_folder.at(member.name);
            settings.bootstrapKeys = {{Operator, m_keys.publicKey}};
            settings.snapshotEvery = 1000;
            settings.heartbeat = 100ms;
            settings.electionTimeout = 1500ms;
            daemons.push_back(std::make_unique<ControlDaemon>(settings, m_clock, true));
        }
    }

    /// Position of the host that leads a majority; nothing if none does.
    std::optional<std::size_t> leader()
    {
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            const HttpResult result = startCall(client, callTo(n, "GET", "/v1/status", {})).get();
            const nlohmann::json status = nlohmann::json::parse(result.answer.body, nullptr, false);
            if (!status.is_discarded() && status.value("role", "") == "leader" && status.value("current", false)) {
                return n;
            }
        }
        return std::nullopt;
    }

    /// Sends a command, whatever comes of it; it is answered once a majority has decided it.
    std::future<HttpResult> command(std::size_t host)
    {
        return startCall(client, callTo(host, "POST", "/v1/commands/drain-host", R"({"subject": "any"})"));
    }

    /// The only host that is left, and that still leads, with a command that nobody decides.
    std::future<HttpResult> leavePending(std::size_t host)
    {
        for (std::size_t n = 0; n < daemons.size(); ++n) {
            if (n != host) {
                daemons[n].reset();
            }
        }
        std::future<HttpResult> pending = command(host);
        pending.wait_for(PendingTime);
        return pending;
    }

    HttpClient client{MaxReplyBytes};
    std::vector<std::unique_ptr<ControlDaemon>> daemons;

private:
    HttpCall callTo(std::size_t host, const std::string &method, const std::string &path, const std::string &body) const
    {
        HttpCall call;
        call.to = m_members[host].admin;
        call.method = method;
        call.resource = path;
        call.timeout = EventTimeout;
        const RequestProof proof = proveRequest(Operator, m_keys.secretKey, m_clock.wallTime(), method, path, body);
        call.headers = {{"Host", call.to.text()},
                        {"Pepperlug-Operator", proof.operatorName},
                        {"Pepperlug-Time", proof.time},
                        {"Pepperlug-Nonce", proof.nonce},
                        {"Pepperlug-Signature", proof.signature}};
        call.body = body.empty() ? nullptr : std::make_shared<const std::string>(body);
        return call;
    }

    SteadyClock m_clock;
    KeyPair m_keys = makeKeyPair();
    TemporaryFolder m_folder;
    std::vector<ControlPeer> m_members;
};

} // namespace

// Guards against an operator whose command ends with its connection, so that nothing tells whether to send it again.
TEST_CASE("a command that is pending when its control host stops is told to be sent again")
{
    ControlGroup group(3);
    std::optional<std::size_t> leader;
    REQUIRE(eventually([&] { return (leader = group.leader()).has_value(); }));
    std::future<HttpResult> pending = group.leavePending(*leader);
    REQUIRE(pending.wait_for(0s) == std::future_status::timeout);
    group.daemons[*leader]->stop();
    group.daemons[*leader]->wait();
    group.daemons[*leader].reset();
    const HttpResult result = pending.get();
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.status == 503);
    CHECK(nlohmann::json::parse(result.answer.body).value("status", "") == "unknown");
    CHECK(nlohmann::json::parse(result.answer.body).value("reason", "") == "this host stops; send again");
}

// Guards against a command that is taken by a host which will decide nothing any more.
TEST_CASE("a command that arrives while its control host stops is refused")
{
    ControlGroup group(1);
    REQUIRE(eventually([&] { return group.leader().has_value(); }));
    CHECK(group.command(0).get().answer.status == 422);
    group.daemons[0]->stop();
    group.daemons[0]->wait();
    std::future<HttpResult> late = group.command(0);
    CHECK(late.wait_for(1s) == std::future_status::ready);
    group.daemons[0].reset();
    const HttpResult result = late.get();
    REQUIRE(result.kind == HttpResult::Kind::Answered);
    CHECK(result.answer.status == 503);
    CHECK(nlohmann::json::parse(result.answer.body).value("status", "") == "refused");
}

// Guards against commands that are cut while their control host still has them in its queue.
TEST_CASE("each command that a stopping control host has read is answered")
{
    constexpr int Commands = 40;
    ControlGroup group(1);
    REQUIRE(eventually([&] { return group.leader().has_value(); }));
    std::vector<std::future<HttpResult>> calls;
    calls.reserve(Commands);
    for (int n = 0; n < Commands; ++n) {
        calls.push_back(group.command(0));
    }
    calls.front().wait();
    group.daemons[0]->stop();
    group.daemons[0]->wait();
    const auto end = std::chrono::steady_clock::now() + 2s;
    for (const std::future<HttpResult> &it : calls) {
        it.wait_until(end);
    }
    group.daemons[0].reset();
    const auto answered = std::ranges::count_if(
        calls, [](std::future<HttpResult> &it) { return it.get().kind == HttpResult::Kind::Answered; });
    CHECK(answered == Commands);
}
