//===- UnreadableTextTest.cpp - Text from outside that is no UTF-8 --------===//
#include "Fleet/System.h"
#include "unittests/Http/RawSocket.h"

#include <random>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// Sends a request over a connection of its own; the bytes of the answer.
std::string answerTo(const Address &to, const std::string &method, const std::string &target, const std::string &fields,
                     const std::string &body)
{
    RawSocket caller(to);
    caller.send(method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" + fields
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.readToEnd();
}

/// Bytes of which many are no text.
std::string drawBytes(std::mt19937_64 &random, std::size_t longest)
{
    constexpr std::string_view Likely = "\xff\xfe\xc3\x28\xed\xa0\x80%ff\"\\{}[]:,0az/?&=";
    std::string bytes(random() % (longest + 1), ' ');
    for (char &it : bytes) {
        it = random() % 4 == 0 ? static_cast<char>('!' + random() % 94) : Likely[random() % Likely.size()];
    }
    return bytes;
}

} // namespace

// Guards against one order with an unreadable name that ends each control host it is sent to.
TEST_CASE("an order that names an unreadable zone is refused, and the control host goes on")
{
    System system;
    system.putTable("r1", "0");
    for (const std::string path : {"/api/Evacuations.Start/z\xff\xfe", "/api/Evacuations.End/z\xff\xfe"}) {
        const std::string answer = answerTo(system.registry->operatorsAddress(), "POST", path, "", "");
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 400 "));
        CHECK(answer.find("\"reason\"") != std::string::npos);
    }
    CHECK(answerTo(system.registry->operatorsAddress(), "POST", "/api/Evacuations.Start/z9", "", "")
              .starts_with("HTTP/1.1 404 "));
    system.putTable("r2", "r1");
}

// Guards against text from outside that ends a process where it is told on.
TEST_CASE("unreadable bytes in paths, queries, heads and bodies end no host")
{
    constexpr int Inputs = 1500;
    constexpr std::size_t Longest = 40;
    FakeTarget target("i-1");
    System system;
    system.putTable("r1", "0");
    REQUIRE(system.sendReport("i-1", target, 1).status == 200);
    REQUIRE(system.becomesReady());
    const std::array<Address, 3> servers{system.registry->operatorsAddress(), system.gateway->callersAddress(),
                                         system.gateway->readinessAddress()};
    const std::array<std::string, 8> targets{
        "/api/Evacuations.Start/", "/api/Evacuations.End/", "/api/Instances.Heartbeat/", "/api/Instances.Leave/",
        "/api/Config.Put",         "/api/Config.Get",       "/api/resolve?zone=",        "/p/"};
    std::mt19937_64 random(20261205);
    for (int n = 0; n < Inputs; ++n) {
        const std::string method = random() % 3 == 0 ? "GET" : "POST";
        const std::string fields = "X-If-Rev: r1" + drawBytes(random, Longest) + "\r\nX-Request-Id: "
            + drawBytes(random, Longest) + "\r\nX-Deadline-Ms: 200\r\nCookie: " + drawBytes(random, Longest)
            + "\r\nApi-Key: " + drawBytes(random, Longest) + "\r\n";
        std::string body = drawBytes(random, Longest);
        if (random() % 2 == 0) {
            nlohmann::json report = System::reportOf(target, 1);
            body = report.dump();
            body.insert(random() % body.size(), drawBytes(random, 4));
        }
        const Address &to = servers[random() % servers.size()];
        const std::string answer =
            answerTo(to, method, targets[random() % targets.size()] + drawBytes(random, Longest), fields, body);
        INFO("input " << n << " to " << to.text());
        CHECK(answer.starts_with("HTTP/1.1 "));
    }
    CHECK(system.operatorCall("/api/Config.Put", System::tableText("r3", {"/p/"}), "r1").status == 200);
    // Some inputs are reports that can be read, of other targets at its address.
    int sequence = 1;
    CHECK(System::eventually([&] {
        system.sendReport("i-1", target, ++sequence);
        return system.get(system.gateway->callersAddress(), "/p/after", "after").status == 200;
    }));
}
