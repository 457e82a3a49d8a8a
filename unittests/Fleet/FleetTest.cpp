//===- FleetTest.cpp - Entry and control hosts over loopback --------------===//
#include "System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

TEST_CASE("a request is routed to a target, and the directory lists the entry host")
{
    System system;
    FakeTarget target("i-1");
    system.putTable("r2", "0");
    REQUIRE(system.sendReport("i-1", target, 1).status == 200);
    REQUIRE(system.becomesReady());
    const Answer answer = system.get(system.gateway->callersAddress(), "/p/x", "q1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "body of i-1");
    const std::string directory = "/api/resolve?name=a.example&region=r1&zone=z1";
    CHECK(System::eventually([&] { return system.get(system.registry->directoryAddress(), directory).status == 200; }));
    CHECK(system.get(system.gateway->callersAddress(), "/other/x").status == 404);
    const std::string metricsText = system.metrics().body;
    CHECK(metricsText.find("pepperlug_requests 2") != std::string::npos);
    CHECK(metricsText.find("pepperlug_attempt_outcomes{outcome=\"answered\"} 1") != std::string::npos);
    CHECK(metricsText.find("pepperlug_refusals{reason=\"no-route\"} 1") != std::string::npos);
}

// Guards against losses and shares that operators can't see, and against a setting that does not reach the balancer.
TEST_CASE("metrics of an entry host have the shares of regions and the losses that were followed")
{
    System system;
    const FakeTarget first("i-1");
    const FakeTarget second("i-2");
    system.restartEntryHost(LossFollowing::On);
    system.putTable("r2", "0");
    REQUIRE(system.sendReport("i-1", first, 1).status == 200);
    REQUIRE(system.sendReport("i-2", second, 1).status == 200);
    REQUIRE(system.becomesReady());
    const auto contains = [&](const std::string &line) {
        return System::eventually([&] { return system.metrics().body.find(line) != std::string::npos; });
    };
    CHECK(contains("pepperlug_region_share{service=\"s\",region=\"r1\"} 1"));
    CHECK(contains("pepperlug_region_share{service=\"s\",region=\"r2\"} 0"));
    REQUIRE(system.sendReport("i-2", second, 2, "draining").status == 200);
    CHECK(contains("pepperlug_plan_losses 1"));
}

TEST_CASE("a target gets no new requests after its drain is acknowledged")
{
    ServingSystem serving;
    System &system = serving.system;
    FakeTarget &target = serving.target;
    REQUIRE(system.sendReport("i-1", target, 2, "draining").status == 200);
    REQUIRE(System::eventually([&] { return system.get(system.gateway->callersAddress(), "/p/x").status == 503; }));
    const int runs = target.runs();
    CHECK(system.get(system.gateway->callersAddress(), "/p/x").status == 503);
    CHECK(target.runs() == runs);
}

TEST_CASE("after a restart of all hosts a cached target is used before it reports again")
{
    ServingSystem serving;
    System &system = serving.system;
    REQUIRE(System::eventually([&] { return system.cachedTargetCount() == 1; }));
    // Cached state is sent only for a limited time after the start, which may pass on a busy machine.
    CHECK(System::eventually([&] {
        system.restartAll();
        const auto end = std::chrono::steady_clock::now() + RestoredTargetLifetime;
        while (std::chrono::steady_clock::now() < end) {
            if (system.get(system.gateway->callersAddress(), "/p/x").status == 200) {
                return true;
            }
            std::this_thread::sleep_for(RetryInterval);
        }
        return false;
    }));
}

TEST_CASE("a control host starts with an unreadable routing in its cache file")
{
    ServingSystem serving;
    serving.system.endAll();
    // As another version of the program may have left it.
    CachedState unreadable;
    RoutingCommand command;
    command.version = 9;
    command.text = "{";
    REQUIRE(unreadable.routing.apply(command, 1000) == RoutingResult::Done);
    serving.system.writeCache(unreadable);
    serving.system.start();
    int sequence = 1;
    CHECK(System::eventually([&] {
        serving.system.sendReport("i-1", serving.target, ++sequence);
        return serving.statusOf("/p/x") == 200;
    }));
}

TEST_CASE(
    "configuration changes are linearizable: repeats are acknowledged, one of two races wins, bad ones are refused")
{
    System system;
    system.putTable("r2", "0");
    const std::string second = System::tableText("r5", {"/q/"});
    CHECK(system.operatorCall("/api/Config.Put", second, "r2").status == 200);
    CHECK(system.operatorCall("/api/Config.Put", second, "r2").status == 200);
    CHECK(system.operatorCall("/api/Config.Put", System::tableText("r5", {"/z/"}), "r2").status == 412);
    CHECK(system.operatorCall("/api/Config.Put", System::tableText("r5", {"/z/"}), "r5").status == 400);
    CHECK(system.operatorCall("/api/Config.Put", second.substr(0, 40), "r5").status == 400);
    CHECK(system.get(system.registry->operatorsAddress(), "/api/Config.Get").body == second);
}

TEST_CASE("an answer with another request's id is not passed on")
{
    ServingSystem serving;
    System &system = serving.system;
    FakeTarget &target = serving.target;
    target.usesWrongRequestId = true;
    CHECK(system.get(system.gateway->callersAddress(), "/p/x", "q1").status == 502);
    target.usesWrongRequestId = false;
    CHECK(system.get(system.gateway->callersAddress(), "/p/x", "q2").status == 200);
}

TEST_CASE("a large answer arrives complete, and a truncated one is never taken for complete")
{
    constexpr std::size_t Large = 300000;
    ServingSystem serving;
    System &system = serving.system;
    FakeTarget &target = serving.target;
    target.bodyBytes = Large;
    const Answer whole = system.get(system.gateway->callersAddress(), "/p/x", "q1");
    CHECK(whole.status == 200);
    CHECK(whole.body == std::string(Large, 'x'));
    target.truncatesAnswers = true;
    HttpCall call;
    call.to = system.gateway->callersAddress();
    call.method = "GET";
    call.resource = "/p/x";
    call.headers = {{"Host", "a.example"}, {"X-Request-Id", "q2"}};
    call.timeout = 5s;
    HttpClient client(1 << 20);
    CHECK(fetchOnce(client, call).kind == HttpResult::Kind::Broken);
    target.truncatesAnswers = false;
    CHECK(system.get(system.gateway->callersAddress(), "/p/x", "q3").body.size() == Large);
}

TEST_CASE("a graceful stop completes routed requests and routes none just before the exit")
{
    ServingSystem serving;
    System &system = serving.system;
    FakeTarget &target = serving.target;
    const Address callers = system.gateway->callersAddress();
    target.hold();
    std::future<Answer> held = std::async(std::launch::async, [&] { return system.get(callers, "/p/x", "q1"); });
    REQUIRE(System::eventually([&] { return target.runs() == 1; }));
    std::future<void> stopped = std::async(std::launch::async, [&] { system.gateway->stopGracefully(); });
    REQUIRE(System::eventually(
        [&] { return system.get(system.gateway->readinessAddress(), "/api/readyz").status == 503; }));
    target.release();
    CHECK(held.get().status == 200);
    // Callers arrive until the exit. Each one is served, or refused without a run.
    int served = 0;
    while (stopped.wait_for(0s) != std::future_status::ready) {
        const int before = target.runs();
        const Answer answer = system.get(callers, "/p/x", "q2");
        if (answer.status == 200) {
            ++served;
            CHECK(target.runs() == before + 1);
        } else {
            CHECK(answer.status == 503);
            CHECK(target.runs() == before);
        }
    }
    CHECK(served > 0);
    const int runs = target.runs();
    CHECK(system.get(callers, "/p/x", "q3").status == 503);
    CHECK(target.runs() == runs);
}

TEST_CASE("a target that left serves again after a start with the same id")
{
    ServingSystem serving;
    const auto reportOf = [&](std::uint64_t startedAt, int sequence) {
        nlohmann::json report = System::reportOf(serving.target, sequence);
        report["born"] = startedAt;
        return serving.system.sendReport("i-1", report.dump());
    };
    REQUIRE(reportOf(1000, 50).status == 200);
    REQUIRE(System::eventually(
        [&] { return serving.system.operatorCall("/api/Instances.Leave/i-1", R"({"born":1000})").status == 200; }));
    REQUIRE(System::eventually([&] { return serving.statusOf("/p/x") == 503; }));
    REQUIRE(reportOf(2000, 1).status == 200);
    REQUIRE(System::eventually([&] { return serving.statusOf("/p/x") == 200; }));
    // A delayed departure of the earlier incarnation.
    CHECK(serving.system.operatorCall("/api/Instances.Leave/i-1", R"({"born":1000})").status == 200);
    CHECK(serving.statusOf("/p/x") == 200);
}

TEST_CASE("invalid reports of another writer change nothing and are answered with status 400")
{
    ServingSystem serving;
    const nlohmann::json good = System::reportOf(serving.target, 1);
    const auto statusOf = [&](const std::string &id, const std::string &body) {
        return serving.system.sendReport(id, body).status;
    };
    nlohmann::json unknownService = good;
    unknownService["service"] = "unheard-of";
    CHECK(statusOf("i-2", unknownService.dump()) == 400);
    nlohmann::json unknownState = good;
    unknownState["state"] = "stopping";
    CHECK(statusOf("i-1", unknownState.dump()) == 400);
    CHECK(statusOf("i-1", "\xff\xfe{") == 400);
    CHECK(statusOf("i-1", R"({"service":"\xff"})") == 400);
    nlohmann::json noSequence = good;
    noSequence.erase("seq");
    CHECK(statusOf("i-3", noSequence.dump()) == 400);
    CHECK(serving.statusOf("/p/x") == 200);
}
