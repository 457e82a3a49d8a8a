//===- TenantsTest.cpp - Keys and tenants over loopback -------------------===//
#include "System.h"

#include <fcntl.h>
#include <fstream>
#include <iostream>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr const char *FirstKey = "first-secret-key";
constexpr const char *SecondKey = "second-secret-key";

nlohmann::json listOf(const std::vector<nlohmann::json> &entries)
{
    return entries;
}

std::string tableWith(const std::string &version, const nlohmann::json &tenants)
{
    nlohmann::json table = nlohmann::json::parse(System::tableText(version, {"/p/", "/open/"}));
    table["hosts"][0]["paths"][1]["public"] = true;
    table["tenants"] = tenants;
    return table.dump();
}

/// Redirects standard output to a file during the object's lifetime.
class CapturedOutput
{
public:
    explicit CapturedOutput(std::filesystem::path path)
        : m_path(std::move(path))
        , m_saved(dup(STDOUT_FILENO))
    {
        const int fd = open(m_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
        REQUIRE(fd >= 0);
        dup2(fd, STDOUT_FILENO);
        close(fd);
    }

    ~CapturedOutput()
    {
        std::cout.flush();
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
    }

    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

private:
    std::filesystem::path m_path;
    int m_saved;
};

std::string textOf(const std::filesystem::path &path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

class Caller
{
public:
    explicit Caller(System &system)
        : m_system(system)
    {
    }

    unsigned get(const std::string &path, const std::vector<HeaderField> &headers)
    {
        HttpCall call;
        call.to = m_system.gateway->callersAddress();
        call.method = "GET";
        call.resource = path;
        call.headers = {{"Host", "a.example"}, {"X-Request-Id", "q"}, {"X-Deadline-Ms", "5000"}};
        call.headers.insert(call.headers.end(), headers.begin(), headers.end());
        call.timeout = 10s;
        return fetchOnce(m_client, call).answer.status;
    }

    /// Repeats a request until the answer has the status; a host answers with a retry hint while it may lack updates.
    bool becomes(unsigned status, const std::string &path, const std::vector<HeaderField> &headers)
    {
        return System::eventually([&] { return get(path, headers) == status; });
    }

private:
    System &m_system;
    HttpClient m_client{1 << 20};
};

} // namespace

TEST_CASE("callers are authenticated by keys, which no log line, metric, error or answer repeats")
{
    const auto folder = std::filesystem::temp_directory_path() / ("pepperlug-keys-" + randomHex(8));
    std::filesystem::create_directories(folder);
    const auto lines = folder / "lines";
    std::string metricsText;
    std::string answers;
    {
        const CapturedOutput captured(lines);
        System system;
        FakeTarget target("i-1");
        const auto put = [&](const std::string &version, const std::string &base, const nlohmann::json &tenants) {
            const Answer answer = system.operatorCall("/api/Config.Put", tableWith(version, tenants), base);
            answers += answer.body;
            return answer.status;
        };
        const nlohmann::json first{{"name", "t1"}, {"apiKeys", nlohmann::json::array({FirstKey, SecondKey})}};
        REQUIRE(System::eventually([&] { return put("r2", "0", listOf({first})) == 200; }));
        system.sendReport("i-1", target, 1);
        REQUIRE(system.becomesReady());
        Caller caller(system);
        CHECK(caller.becomes(200, "/p/x", {{"Api-Key", FirstKey}}));
        CHECK(target.lastHeader("X-Tenant") == "t1");
        CHECK_FALSE(target.lastHeader("Api-Key"));
        CHECK(caller.becomes(200, "/p/x", {{"Api-Key", SecondKey}, {"X-Tenant", "forged"}}));
        CHECK(target.lastHeader("X-Tenant") == "t1");
        CHECK(caller.becomes(200, "/open/x", {{"X-Tenant", "forged"}}));
        CHECK_FALSE(target.lastHeader("X-Tenant"));
        const int runs = target.runs();
        CHECK(caller.becomes(401, "/p/x", {}));
        CHECK(caller.becomes(401, "/p/x", {{"Api-Key", "unknown-secret-key"}}));
        CHECK(caller.becomes(401, "/p/x", {{"Api-Key", FirstKey}, {"Api-Key", SecondKey}}));
        CHECK(caller.becomes(401, "/p/x", {{"Api-Key", ""}}));
        CHECK(caller.becomes(401, "/p/x", {{"Api-Key", std::string(9000, 'k')}}));
        CHECK(target.runs() == runs);
        // A key of two tenants, and a table that is truncated in the middle of a key.
        const nlohmann::json other{{"name", "t2"}, {"apiKeys", nlohmann::json::array({FirstKey})}};
        CHECK(put("r3", "r2", listOf({first, other})) == 400);
        const std::string whole = tableWith("r3", listOf({first}));
        const std::string half = whole.substr(0, whole.find(SecondKey) + 9);
        const Answer cut = system.operatorCall("/api/Config.Put", half, "r2");
        answers += cut.body;
        CHECK(cut.status == 400);
        // The key moves to another tenant, and the other key is removed.
        REQUIRE(System::eventually([&] {
            return put("r4", "r2", listOf({other, {{"name", "t1"}, {"apiKeys", nlohmann::json::array()}}})) == 200;
        }));
        CHECK(caller.becomes(200, "/p/x", {{"Api-Key", FirstKey}}));
        CHECK(target.lastHeader("X-Tenant") == "t2");
        CHECK(caller.becomes(401, "/p/x", {{"Api-Key", SecondKey}}));
        metricsText = system.metrics().body;
        system.endAll();
    }
    const std::string output = textOf(lines) + metricsText + answers;
    CHECK(output.find("unknown-key") != std::string::npos);
    for (const std::string_view secret : {"first-secret", "second-secret", "unknown-secret", "second-se"}) {
        CAPTURE(secret);
        CHECK(output.find(secret) == std::string::npos);
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE("a tenant over its limit is refused with status 429 and without a run")
{
    System system;
    FakeTarget target("i-1");
    const nlohmann::json tenant{
        {"name", "t1"}, {"apiKeys", nlohmann::json::array({FirstKey})}, {"ratePerS", 1}, {"burst", 1}};
    REQUIRE(System::eventually(
        [&] { return system.operatorCall("/api/Config.Put", tableWith("r2", listOf({tenant})), "0").status == 200; }));
    system.sendReport("i-1", target, 1);
    REQUIRE(system.becomesReady());
    Caller caller(system);
    // Control hosts receive the tenant's demand and send back the share that may pass.
    CHECK(caller.becomes(429, "/p/x", {{"Api-Key", FirstKey}}));
    CHECK(System::eventually(
        [&] { return system.metrics().body.find("pepperlug_refusals{reason=\"over-quota\"}") != std::string::npos; }));
    CHECK(caller.becomes(200, "/p/x", {{"Api-Key", FirstKey}}));
}
