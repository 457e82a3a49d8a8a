//===- SettingsTest.cpp - Settings of entry and control hosts -------------===//
#include "platform/Dialect.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <future>
#include <unistd.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

nlohmann::json controlJson()
{
    return {{"name", "control"},
            {"zone", "z1"},
            {"zones", {{{"name", "z1"}, {"region", "r1"}}}},
            {"peer", "127.0.0.1:1"},
            {"metrics", "127.0.0.1:2"},
            {"operators", "127.0.0.1:3"},
            {"directory", "127.0.0.1:4"},
            {"seeds", {"127.0.0.1:3"}},
            {"data_folder", "data"}};
}

nlohmann::json entryJson()
{
    nlohmann::json json = controlJson();
    for (const char *key : {"operators", "directory", "data_folder"}) {
        json.erase(key);
    }
    json["callers"] = "127.0.0.1:5";
    json["readiness"] = "127.0.0.1:6";
    return json;
}

FleetSettings parse(const nlohmann::json &json, FleetRole role)
{
    return parseFleetSettings(json.dump(), "file", role);
}

Findings findingsOf(const nlohmann::json &json, FleetRole role)
{
    try {
        parse(json, role);
    } catch (const InvalidInput &ex) {
        return ex.findings();
    }
    return {};
}

/// Returns an address on a loopback network that no other test process uses, so that no port is taken.
Address addressOn(unsigned host, std::uint16_t port)
{
    constexpr unsigned Octet = 250;
    const auto pid = static_cast<unsigned>(getpid());
    const std::string network = std::to_string(1 + pid % Octet) + "." + std::to_string(1 + pid / Octet % Octet);
    return {"127." + network + "." + std::to_string(host), port};
}

/// A folder that is removed with the object.
class Folder
{
public:
    Folder()
        : m_path(std::filesystem::temp_directory_path() / ("pepperlug-settings-" + randomHex(8)))
    {
        std::filesystem::create_directories(m_path);
    }

    ~Folder()
    {
        std::filesystem::remove_all(m_path);
    }

    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::string path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

PeerReply callOnce(PeerNet &net, const Address &to)
{
    auto promise = std::make_shared<std::promise<PeerReply>>();
    std::future<PeerReply> reply = promise->get_future();
    net.call(to, "/no-such-path", {}, 30s, [promise](PeerReply it) { promise->set_value(std::move(it)); });
    return reply.get();
}

} // namespace

TEST_CASE("a host listens at its peer address unless peer_listen is set")
{
    const auto [json, role] =
        GENERATE(std::make_pair(controlJson(), FleetRole::Control), std::make_pair(entryJson(), FleetRole::Entry));
    CHECK_FALSE(parse(json, role).peerListen.has_value());
    nlohmann::json mapped = json;
    mapped["peer_listen"] = "127.0.0.2:7";
    const FleetSettings settings = parse(mapped, role);
    CHECK(settings.peerListen == Address{"127.0.0.2", 7});
    CHECK(settings.peer == Address{"127.0.0.1", 1});
}

TEST_CASE("an invalid peer_listen is a finding")
{
    for (const nlohmann::json &value : {nlohmann::json("here"), nlohmann::json(7), nlohmann::json("")}) {
        nlohmann::json json = controlJson();
        json["peer_listen"] = value;
        CHECK_THROWS_AS(parse(json, FleetRole::Control), InvalidInput);
    }
}

// Guards against connections opened in advance at hosts that did not ask for them.
TEST_CASE("an entry host opens connections in advance only if spare_connections is set")
{
    CHECK(parse(entryJson(), FleetRole::Entry).spareConnections == 0);
    nlohmann::json json = entryJson();
    json["spare_connections"] = 300;
    CHECK(parse(json, FleetRole::Entry).spareConnections == 300);
    for (const nlohmann::json &value : {nlohmann::json(-1), nlohmann::json(301), nlohmann::json(1.5)}) {
        json["spare_connections"] = value;
        CHECK_THROWS_AS(parse(json, FleetRole::Entry), InvalidInput);
    }
    nlohmann::json control = controlJson();
    control["spare_connections"] = 1;
    CHECK_THROWS_AS(parse(control, FleetRole::Control), InvalidInput);
}

// Guards against new behavior in deployments whose settings do not call for it, and against values that are dropped.
TEST_CASE("an entry host's policy settings are off by default and must be true or false")
{
    const auto [key, member] = GENERATE(std::make_pair("reserve_for_urgent", &BalancePolicy::reservesForUrgent),
                                        std::make_pair("schedule_returns", &BalancePolicy::schedulesReturns));
    nlohmann::json json = entryJson();
    CHECK_FALSE(parse(json, FleetRole::Entry).policy.*member);
    json["policy"][key] = true;
    CHECK(parse(json, FleetRole::Entry).policy.*member);
    for (const nlohmann::json &value : {nlohmann::json("true"), nlohmann::json(1), nlohmann::json()}) {
        json["policy"][key] = value;
        CHECK_THROWS_AS(parse(json, FleetRole::Entry), InvalidInput);
    }
}

// Guards against losses that are followed where the settings do not say so, and against values that are dropped.
TEST_CASE("follow_losses is off by default, and has three values")
{
    nlohmann::json json = entryJson();
    CHECK(parse(json, FleetRole::Entry).policy.lossFollowing == LossFollowing::Off);
    for (const auto &[name, following] : std::vector<std::pair<std::string, LossFollowing>>{
             {"off", LossFollowing::Off}, {"paced", LossFollowing::Paced}, {"on", LossFollowing::On}}) {
        json["policy"]["follow_losses"] = name;
        CHECK(parse(json, FleetRole::Entry).policy.lossFollowing == following);
    }
    for (const auto &[value, reason] : std::vector<std::pair<nlohmann::json, std::string>>{
             {"always", R"("always" is not one of "off", "paced" and "on")"},
             {"On", R"("On" is not one of "off", "paced" and "on")"},
             {"", "must be text that is not empty"},
             {true, "must be text that is not empty"},
             {nullptr, "must be text that is not empty"}}) {
        json["policy"]["follow_losses"] = value;
        const Findings findings = findingsOf(json, FleetRole::Entry);
        REQUIRE(findings.size() == 1);
        CHECK(findings.front().file == "file");
        CHECK(findings.front().path == "/policy/follow_losses");
        CHECK(findings.front().reason == reason);
    }
}

// Guards against features that are dropped, so that a deployment runs without the behavior that they call for.
TEST_CASE("features are a list of texts, empty by default")
{
    nlohmann::json json = entryJson();
    CHECK(parse(json, FleetRole::Entry).features.empty());
    json["features"] = {"tenants", "pressure"};
    CHECK(parse(json, FleetRole::Entry).features == std::vector<std::string>{"tenants", "pressure"});
    for (const nlohmann::json &value : {nlohmann::json("pressure"), nlohmann::json({"tenants", 1})}) {
        json["features"] = value;
        const Findings findings = findingsOf(json, FleetRole::Entry);
        REQUIRE(findings.size() == 1);
        CHECK(findings.front().file == "file");
        CHECK(findings.front().path == "/features");
    }
}

TEST_CASE("a control host listens at peer_listen and not at its peer address")
{
    const Folder folder;
    const SteadyClock clock;
    FleetSettings settings = parse(controlJson(), FleetRole::Control);
    settings.dataFolder = folder.path();
    settings.peer = addressOn(10, 17110);
    settings.peerListen = addressOn(10, 17111);
    settings.operators = addressOn(10, 17112);
    settings.directory = addressOn(10, 17113);
    settings.metrics = addressOn(10, 17114);
    settings.seeds = {settings.operators};
    const RegistryDaemon registry(settings, clock, controlDialect<platform::Control>());
    PeerNet net;
    CHECK(callOnce(net, *settings.peerListen).delivered);
    CHECK_FALSE(callOnce(net, settings.peer).delivered);
    net.stop();
}
