//===- DialectTest.cpp - The platform's words and the product's ----------===//
#include "platform/Dialect.h"
#include "platform/Contracts.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;
using platform::Clients;
using platform::Control;

namespace
{

const std::string TableText =
    R"({"version":"r7","services":[{"name":"s1","healthPath":"/healthz","maxConns":330,"coldS":3.0,"coldPerS":3.5},
    {"name":"s2"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15},
    "hosts":[{"host":"a.example","paths":[
    {"name":"r1","pathPrefix":"/p/","kind":"unsafe","timeoutS":4,"sloS":0.6,"prio":1,"service":"s1","attempts":2,
     "sticky":true,"homeRegions":["x"]},
    {"name":"r2","pathPrefix":"/q/","kind":"download","timeoutS":3,"sloS":0.4,"prio":2,"attempts":1,
     "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}]}]})";

HttpRequest request(const std::string &method, const std::string &resource, const std::string &body = {})
{
    HttpRequest it;
    it.method = method;
    it.resource = resource;
    it.body = body;
    return it;
}

std::string headerOf(const Answer &answer, const std::string &name)
{
    for (const HeaderField &field : answer.headers) {
        if (sameName(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

} // namespace

TEST_CASE("a configuration is read whole")
{
    const RouteTable table = Control::readTable(TableText);
    CHECK(table.version == 7);
    CHECK(table.services.at(0).coldPerSecond == 3.5);
    CHECK(table.services.at(0).coldTime == 3s);
    const fleet::Route &once = table.routes.at(0);
    CHECK(once.kind == RouteKind::OnceOnly);
    CHECK(once.timeout == 4s);
    CHECK(once.objective == 600ms);
    CHECK(once.sticky);
    CHECK(once.homeRegions == std::vector<std::string>{"x"});
    const fleet::Route &split = table.routes.at(1);
    CHECK(split.kind == RouteKind::Repeatable);
    CHECK(split.services.at(1).weight == 10);
    CHECK(table.limits.idleTimeout == 15s);
    CHECK(checkRouteTable(table, "f").empty());
}

// Guards against requests that are sent again although nothing says that they may run twice.
TEST_CASE("only routes of the kinds that may be repeated are read as such")
{
    const auto kindOf = [](const std::string &name) {
        std::string text = TableText;
        const std::string known = "\"unsafe\"";
        text.replace(text.find(known), known.size(), "\"" + name + "\"");
        return Control::readTable(text).routes.at(0).kind;
    };
    CHECK(kindOf("safe") == RouteKind::Repeatable);
    CHECK(kindOf("download") == RouteKind::Repeatable);
    for (const char *name : {"unsafe", "keyed", "Safe", ""}) {
        CHECK(kindOf(name) == RouteKind::OnceOnly);
    }
}

TEST_CASE("a configuration that is cut short or lacks a field is an error, not a part of one")
{
    CHECK_THROWS_AS(Control::readTable(TableText.substr(0, TableText.size() / 2)), Error);
    CHECK_THROWS_AS(Control::readTable(R"({"version":"7"})"), Error);
    CHECK_THROWS_AS(Control::readTable("[]"), Error);
}

TEST_CASE("targets' reports and departures")
{
    const std::string body = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":3,)"
                             R"("state":"draining","coldLeftS":1.5,"seq":4})";
    const auto beat =
        std::get<ReportTarget>(Control::readControlRequest(request("POST", "/api/Instances.Heartbeat/i-1", body)));
    CHECK(beat.report.id == "i-1");
    CHECK(beat.report.presence == Presence::Draining);
    CHECK(beat.report.coldLeft == 1500ms);
    CHECK(beat.report.sequence == 4);
    const auto leave = std::get<ReportTarget>(Control::readControlRequest(request("POST", "/api/Instances.Leave/i-1")));
    CHECK(leave.report.presence == Presence::Gone);
    const auto bad = Control::readControlRequest(request("POST", "/api/Instances.Heartbeat/i-1", "{"));
    CHECK(std::get<UnknownCall>(bad).isKnownPath);
}

TEST_CASE("a report and a departure tell which incarnation they are of, where it is said")
{
    const std::string body = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":3,)"
                             R"("state":"ready","coldLeftS":0,"seq":4,"born":1760000000123})";
    const auto beat =
        std::get<ReportTarget>(Control::readControlRequest(request("POST", "/api/Instances.Heartbeat/i-1", body)));
    CHECK(beat.report.startedAt == 1760000000123ms);
    const auto leave = std::get<ReportTarget>(
        Control::readControlRequest(request("POST", "/api/Instances.Leave/i-1", R"({"born":1760000000123})")));
    CHECK(leave.report.startedAt == 1760000000123ms);
    CHECK(leave.report.presence == Presence::Gone);
}

TEST_CASE("a report of another writer is refused with the field and the reason")
{
    const nlohmann::json good{{"service", "s"}, {"addr", "10.0.0.9:80"}, {"zone", "z"},    {"version", "v1"},
                              {"slots", 3},     {"state", "ready"},      {"coldLeftS", 0}, {"seq", 4},
                              {"born", 7}};
    const auto read = [](const std::string &id, const std::string &body) {
        return Control::readControlRequest(request("POST", "/api/Instances.Heartbeat/" + id, body));
    };
    REQUIRE(std::holds_alternative<ReportTarget>(read("i-1", good.dump())));
    struct Case {
        const char *field;
        nlohmann::json value; ///< null: the field is missing
    };
    const std::vector<Case> cases{
        {"service", nullptr},
        {"service", 5},
        {"service", ""},
        {"service", std::string(300, 's')},
        {"addr", nullptr},
        {"addr", 7},
        {"addr", "nowhere"},
        {"addr", nlohmann::json::array()},
        {"zone", nullptr},
        {"zone", true},
        {"version", nullptr},
        {"version", 1},
        {"slots", nullptr},
        {"slots", -1},
        {"slots", 2.5},
        {"slots", "3"},
        {"slots", 1e300},
        {"slots", 100000},
        {"state", nullptr},
        {"state", "starting"},
        {"state", 1},
        {"state", "Ready"},
        {"coldLeftS", nullptr},
        {"coldLeftS", "0"},
        {"coldLeftS", 1e300},
        {"coldLeftS", -1e300},
        {"coldLeftS", -1},
        {"seq", nullptr},
        {"seq", -4},
        {"seq", 4.0},
        {"seq", "4"},
        {"seq", 18446744073709551615ULL},
        {"born", -1},
        {"born", 1.5},
        {"born", "7"},
        {"born", 1e300},
        {"born", nlohmann::json::object()},
    };
    for (const Case &it : cases) {
        nlohmann::json body = good;
        if (it.value.is_null()) {
            body.erase(it.field);
        } else {
            body[it.field] = it.value;
        }
        INFO(body.dump());
        const ControlRequest result = read("i-1", body.dump());
        REQUIRE(std::holds_alternative<UnknownCall>(result));
        CHECK(std::get<UnknownCall>(result).isKnownPath);
        CHECK(std::get<UnknownCall>(result).reason.find(it.field) != std::string::npos);
    }
    for (const std::string &body :
         {std::string("[]"), std::string("null"), std::string("\xff\xfe\x00", 3), std::string()}) {
        CHECK(std::holds_alternative<UnknownCall>(read("i-1", body)));
    }
    for (const std::string &id : {std::string(), std::string(300, 'i'), std::string("a\xff"), std::string("a b")}) {
        CHECK(std::holds_alternative<UnknownCall>(read(id, good.dump())));
    }
    for (const std::string &body : {std::string("[]"), std::string("{"), std::string(R"({"born":"x"})")}) {
        CHECK(std::holds_alternative<UnknownCall>(
            Control::readControlRequest(request("POST", "/api/Instances.Leave/i-1", body))));
    }
}

TEST_CASE("whatever bytes a report has, they are read or refused")
{
    const std::string good = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":3,)"
                             R"("state":"ready","coldLeftS":0.5,"seq":4,"born":1760000000123})";
    CHECK(rc::check([&] {
        std::string body = good;
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            3, rc::gen::pair(rc::gen::inRange<std::size_t>(0, good.size()), rc::gen::arbitrary<char>()));
        for (const auto &[at, byte] : changes) {
            body[at] = byte;
        }
        body.resize(*rc::gen::inRange<std::size_t>(0, good.size() + 1));
        const ControlRequest result =
            Control::readControlRequest(request("POST", "/api/Instances.Heartbeat/i-1", body));
        const auto *says = std::get_if<ReportTarget>(&result);
        const bool isRead = says != nullptr;
        const bool isSound = isRead && says->report.coldLeft >= 0ms && Address::parse(says->report.address);
        const bool isRefused = std::holds_alternative<UnknownCall>(result);
        RC_ASSERT(isSound != isRefused);
    }));
}

TEST_CASE("a configuration with a time that no clock can hold is an error")
{
    std::string text = TableText;
    text.replace(text.find("\"timeoutS\":4"), 12, "\"timeoutS\":1e300");
    CHECK_THROWS_AS(Control::readTable(text), Error);
}

TEST_CASE("orders of the operator")
{
    HttpRequest put = request("POST", "/api/Config.Put", TableText);
    put.headers.push_back({"X-If-Rev", "r5"});
    CHECK(std::get<PutTable>(Control::readControlRequest(put)).baseVersion == 5);
    put.headers = {{"X-If-Rev", "0"}};
    CHECK(std::get<PutTable>(Control::readControlRequest(put)).baseVersion == 0);
    const auto start = Control::readControlRequest(request("POST", "/api/Evacuations.Start/z-a"));
    CHECK(std::get<SetEvacuation>(start).zone == "z-a");
    const std::string unreadable = std::string("/api/Evacuations.End/z\xff");
    const auto refused = Control::readControlRequest(request("POST", unreadable));
    REQUIRE(std::holds_alternative<UnknownCall>(refused));
    CHECK(std::get<UnknownCall>(refused).isKnownPath);
    CHECK(std::get<SetEvacuation>(start).isEvacuated);
    const auto end = Control::readControlRequest(request("POST", "/api/Evacuations.End/z-a"));
    CHECK_FALSE(std::get<SetEvacuation>(end).isEvacuated);
    const auto find = Control::readControlRequest(request("GET", "/api/resolve?name=a&region=r&zone=z-a"));
    CHECK(std::get<FindEntryHosts>(find).zone == "z-a");
    CHECK_FALSE(std::get<UnknownCall>(Control::readControlRequest(request("GET", "/other"))).isKnownPath);
}

TEST_CASE("answers of control hosts")
{
    CHECK(Control::controlAnswer(ControlAnswer::Done, {}).status == 200);
    CHECK(Control::controlAnswer(ControlAnswer::Conflict, {}).status == 412);
    CHECK(Control::controlAnswer(ControlAnswer::Invalid, {}).status == 400);
    CHECK(Control::controlAnswer(ControlAnswer::Unavailable, {}).status == 503);
    const Answer elsewhere = Control::redirect(request("POST", "/api/Config.Put"), "10.0.0.4:80");
    CHECK(elsewhere.status == 307);
    CHECK(headerOf(elsewhere, "Location") == "http://10.0.0.4:80/api/Config.Put");
    const nlohmann::json hosts = nlohmann::json::parse(Control::entryHosts({"10.0.0.1:80"}, 1500ms).body);
    CHECK(hosts == nlohmann::json{{"addrs", {"10.0.0.1:80"}}, {"ttlS", 1.5}});
}

TEST_CASE("a caller's request")
{
    HttpRequest it = request("GET", "/p/x?y=1");
    it.headers = {{"Host", "a.example"},
                  {"X-Request-Id", "q1"},
                  {"Cookie", "a=b; X-Affinity-Key=17; c=d"},
                  {"X-Deadline-Ms", "2500"}};
    const CallerRequestFields terms = Clients::readRequest(it);
    CHECK(terms.requestId == "q1");
    CHECK(terms.path == "/p/x");
    CHECK(terms.affinityKey == "17");
    CHECK(terms.deadline == Duration(2500ms));
}

TEST_CASE("a caller is the same with each try, and another one with other credentials or cookies")
{
    const auto callerOf = [](const std::vector<HeaderField> &headers) {
        HttpRequest it = request("GET", "/p/x");
        it.headers = headers;
        return Clients::readRequest(it).caller;
    };
    const std::string caller = callerOf({{"Cookie", "a=b"}, {"Authorization", "c"}, {"X-Request-Id", "q1"}});
    CHECK(callerOf({{"Cookie", "a=b"}, {"Authorization", "c"}, {"X-Request-Id", "q2"}, {"X-Deadline-Ms", "9"}})
          == caller);
    CHECK(callerOf({{"Cookie", "a=c"}, {"Authorization", "c"}}) != caller);
    CHECK(callerOf({{"Cookie", "a=b"}, {"Authorization", "d"}}) != caller);
    CHECK(callerOf({{"Cookie", "c"}}) != callerOf({{"Authorization", "c"}}));
}

TEST_CASE("a target is told who is meant and what time is left, once")
{
    const auto headers = Clients::targetHeaders({{"X-Deadline-Ms", "9000"}, {"X-Expect-Instance", "evil"}, {"A", "b"}},
                                                {"i-1", 1234ms, false, {}});
    CHECK(headers == std::vector<HeaderField>{{"A", "b"}, {"X-Deadline-Ms", "1234"}, {"X-Expect-Instance", "i-1"}});
}

TEST_CASE("a target is told the tenant that holds the key, never the key nor what the caller says of it")
{
    const std::vector<HeaderField> sent{
        {"Api-Key", "secret"}, {"x-tenant", "someone"}, {"X-Tenant", "another"}, {"api-key", "second"}, {"A", "b"}};
    const std::vector<HeaderField> rest{{"A", "b"}, {"X-Deadline-Ms", "1000"}, {"X-Expect-Instance", "i-1"}};
    std::vector<HeaderField> named = rest;
    named.push_back({"X-Tenant", "holder"});
    CHECK(Clients::targetHeaders(sent, {"i-1", 1s, true, "holder"}) == named);
    CHECK(Clients::targetHeaders(sent, {"i-1", 1s, true, {}}) == rest); // a public route, without a key
}

// Guards against a caller whose own mark of a relayed request reaches another host, or lets requests go round.
TEST_CASE("a relayed request bears the routing of the host that relays it, once")
{
    const auto headers =
        Clients::relayHeaders({{"X-Relayed", "99"}, {"X-Deadline-Ms", "9000"}, {"A", "b"}}, {1234ms, 7});
    CHECK(headers == std::vector<HeaderField>{{"A", "b"}, {"X-Deadline-Ms", "1234"}, {"X-Relayed", "7"}});
    const auto relayedByIndex = [](const std::string &value) {
        HttpRequest it = request("GET", "/p/x");
        it.headers = {{"x-relayed", value}};
        return Clients::readRequest(it).relayedByIndex;
    };
    CHECK(relayedByIndex("7") == 7);
    CHECK(relayedByIndex("18446744073709551615") == std::numeric_limits<std::uint64_t>::max());
    for (const char *unreadable : {"many", "-1", "7x", "18446744073709551616"}) {
        CHECK(relayedByIndex(unreadable) == std::numeric_limits<std::uint64_t>::max());
    }
    CHECK(relayedByIndex("") == std::nullopt);
}

// Guards against a second run by the receiver of a relayed request, and against a mark that reaches a target.
TEST_CASE("a relayed request that may run once says so to the receiver alone")
{
    const std::vector<HeaderField> sent{{"x-relayed-once", "1"}, {"A", "b"}};
    const auto isOnceOnly = [](const std::vector<HeaderField> &headers) {
        HttpRequest it = request("GET", "/p/x");
        it.headers = headers;
        return Clients::readRequest(it).isOnceOnly;
    };
    CHECK(isOnceOnly(Clients::relayHeaders({{"A", "b"}}, {1s, 7, true})));
    CHECK_FALSE(isOnceOnly(Clients::relayHeaders(sent, {1s, 7, false})));
    CHECK_FALSE(isOnceOnly(Clients::targetHeaders(sent, {"i-1", 1s, false, {}})));
}

TEST_CASE("a caller's key is read only where it is the one key that it shows")
{
    const auto digestOf = [](const std::vector<HeaderField> &headers) {
        HttpRequest it = request("GET", "/p/x");
        it.headers = headers;
        return Clients::readRequest(it).keyDigest;
    };
    CHECK(digestOf({{"Api-Key", "k1"}}) == digestOfSecret("k1"));
    CHECK(digestOf({{"api-key", "k1"}}) == digestOfSecret("k1"));
    CHECK(digestOf({{"Api-Key", "k1"}}) != digestOfSecret("k2"));
    CHECK(digestOf({}).empty());
    CHECK(digestOf({{"Api-Key", ""}}).empty());
    CHECK(digestOf({{"Api-Key", "k1"}, {"Api-Key", "k2"}}).empty());
    CHECK(digestOf({{"Api-Key", std::string(10'000, 'k')}}).empty());
    CHECK(digestOf({{"Api-Key", "\xff\x01"}}) != digestOfSecret("k1"));
}

TEST_CASE("tenants of a configuration are read, their keys as digests")
{
    const auto tableWith = [](const std::string &tenants) {
        return Control::readTable(TableText.substr(0, TableText.size() - 1) + ",\"tenants\":" + tenants + "}");
    };
    const RouteTable table = tableWith(
        R"([{"name":"t1","apiKeys":["k1","k2"],"prio":0,"ratePerS":4.5,"burst":9,"homeRegions":["x"]},
            {"name":"t2","apiKeys":[]}])");
    REQUIRE(table.tenants.size() == 2);
    CHECK(table.tenants[0].keyDigests == std::vector{digestOfSecret("k1"), digestOfSecret("k2")});
    CHECK(table.tenants[0].priority == 0U);
    CHECK(table.tenants[0].limit == TenantLimit{4.5, 9});
    CHECK(table.tenants[0].homeRegions == std::vector<std::string>{"x"});
    CHECK_FALSE(table.tenants[1].priority);
    CHECK(table.tenants[1].limit == TenantLimit{});
    CHECK(tableWith("null").tenants.empty());
    std::string many = "[";
    for (int n = 0; n < 10'000; ++n) {
        many += std::string(n > 0 ? "," : "") + R"({"name":"n)" + std::to_string(n) + R"(","apiKeys":["key)"
            + std::to_string(n) + R"("]})";
    }
    const RouteTable large = tableWith(many + "]");
    CHECK(large.tenants.size() == 10'000);
    CHECK(checkRouteTable(large, "f").empty());
}

TEST_CASE("a broken tenant is an error that names the field and never a key")
{
    const auto reasonOf = [](const std::string &tenants) -> std::string {
        try {
            Control::readTable(TableText.substr(0, TableText.size() - 1) + ",\"tenants\":" + tenants + "}");
            return "";
        } catch (const Error &ex) {
            return ex.what();
        }
    };
    const std::vector<std::pair<std::string, std::string>> cases{
        {R"([{"apiKeys":["hidden"]}])", "name"},
        {R"([{"name":"","apiKeys":["hidden"]}])", "name"},
        {R"([{"name":7,"apiKeys":["hidden"]}])", "name"},
        {R"([{"name":"t","apiKeys":"hidden"}])", "apiKeys"},
        {R"([{"name":"t","apiKeys":["hidden",7]}])", "apiKeys[1]"},
        {R"([{"name":"t","apiKeys":["hidden",""]}])", "apiKeys[1]"},
        {R"([{"name":"t","apiKeys":["hidden"],"ratePerS":-1}])", "ratePerS"},
        {R"([{"name":"t","apiKeys":["hidden"],"ratePerS":"5"}])", "ratePerS"},
        {R"([{"name":"t","apiKeys":["hidden"],"burst":-1}])", "burst"},
        {R"([{"name":"t","apiKeys":["hidden"],"prio":"high"}])", "must be number"},
        {R"([{"name":"t","apiKeys":["hidden"],"prio":"high"}])", "prio"},
        {R"([{"name":"t","apiKeys":["hidden"],"prio":-1}])", "prio"},
        {R"([{"name":"t","apiKeys":["hidden"],"prio":1.5}])", "prio"},
        {R"([{"name":"t","apiKeys":["hidden"],"homeRegions":"hidden"}])", "homeRegions"},
        {R"([{"name":"t","apiKeys":["hidden"],"homeRegions":[7]}])", "homeRegions"},
        {R"(["hidden"])", "tenants[0]"},
        {R"({"t":["hidden"]})", "tenants"},
        {R"([{"name":"t","apiKeys":["hidden"],"ratePerS":hidden}])", "byte"},
        {R"([{"name":"t","apiKeys":["hidden)", "byte"},
    };
    for (const auto &[tenants, field] : cases) {
        const std::string reason = reasonOf(tenants);
        CAPTURE(tenants, reason);
        CHECK(reason.find(field) != std::string::npos);
        CHECK(reason.find("hidden") == std::string::npos);
    }
}

TEST_CASE("what an answer says")
{
    CHECK(Clients::answersRequest({{"x-request-id", "q1"}}, "q1"));
    CHECK_FALSE(Clients::answersRequest({{"x-request-id", "q2"}}, "q1"));
    CHECK_FALSE(Clients::answersRequest({}, "q1"));
    CHECK(Clients::answersRequest({{"X-Request-Id", "q1"}, {"X-Request-Id", "q1"}}, "q1"));
    CHECK_FALSE(Clients::answersRequest({{"X-Request-Id", "q1"}, {"x-request-id", "q2"}}, "q1"));
    CHECK(Clients::answeredRequest({{"x-request-id", "q2"}}) == "q2");
    CHECK(Clients::answeredRequest({{"Content-Length", "2"}}).empty());
    CHECK(Clients::answeredRequest({{"X-Request-Id", "q2"}, {"X-Request-Id", "q1"}}).empty());
    const AnswerFields good = Clients::readAnswer({200, {{"X-Upstream-Seal", "s"}, {"X-Upstream-Load", "3,1,8"}}, {}});
    CHECK(good.isExecuted);
    CHECK(good.hasRequiredFields);
    CHECK(good.load->waiting == 1);
    CHECK(good.load->slots == 8);
    CHECK_FALSE(Clients::readAnswer({503, {{"X-Not-Executed", "full"}}, {}}).isExecuted);
    CHECK(Clients::readAnswer({421, {}, {}}).isWrongTarget);
    CHECK_FALSE(Clients::readAnswer({200, {}, {}}).hasRequiredFields);
    CHECK_FALSE(Clients::readAnswer({200, {{"X-Upstream-Load", "3,x,8"}}, {}}).load);
}

// Guards against a host that takes an unreadable pace for one, and so follows losses where it should not, and against
// a load that is dropped with its pace.
TEST_CASE("the fourth figure of a load is a pace from 1 to 10000, and anything else is ignored")
{
    const auto read = [](const std::string &load) {
        return Clients::readAnswer({200, {{"X-Upstream-Seal", "s"}, {"X-Upstream-Load", load}}, {}}).load;
    };
    for (const auto &[text, pace] :
         std::vector<std::pair<std::string, std::optional<unsigned>>>{{"3,1,8", {}},
                                                                      {"3,1,8,", {}},
                                                                      {"3,1,8,100", 100},
                                                                      {"3,1,8,1", 1},
                                                                      {"3,1,8,10000", 10000},
                                                                      {"3,1,8,0", {}},
                                                                      {"3,1,8,10001", {}},
                                                                      {"3,1,8,99999999999", {}},
                                                                      {"3,1,8,-5", {}},
                                                                      {"3,1,8,2.5", {}},
                                                                      {"3,1,8,fast", {}},
                                                                      {"3,1,8,100x", {}},
                                                                      {"3,1,8,100,5", {}}}) {
        CAPTURE(text);
        const std::optional<TargetLoad> load = read(text);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK(load->slots == 8);
        CHECK(load->pacePercent == pace);
    }
    CHECK_FALSE(read("3,1"));
}

// Guards against losses that are followed in deployments whose contracts do not call for it.
TEST_CASE("a contract of pressure turns following of losses on where it is \"paced\"")
{
    const auto [contracts, before, after] = GENERATE(table<std::vector<std::string>, LossFollowing, LossFollowing>(
        {{{}, LossFollowing::Paced, LossFollowing::Paced},
         {{"tenants", "pressures"}, LossFollowing::Paced, LossFollowing::Paced},
         {{"tenants", "pressure"}, LossFollowing::Paced, LossFollowing::On},
         {{"pressure"}, LossFollowing::Off, LossFollowing::Off},
         {{"pressure"}, LossFollowing::On, LossFollowing::On},
         {{}, LossFollowing::Off, LossFollowing::Off}}));
    FleetSettings settings;
    settings.features = contracts;
    settings.policy.lossFollowing = before;
    platform::applyContracts(settings);
    CHECK(settings.policy.lossFollowing == after);
}

TEST_CASE("a limit that an answer names is a decimal number, and anything else is told as unreadable")
{
    const auto read = [](const std::vector<HeaderField> &headers) {
        return Clients::readAnswer({200, headers, {}}).backpressure;
    };
    CHECK_FALSE(read({}).rateLimit);
    CHECK(read({}).malformedHeader.empty());
    CHECK(read({{"server-limit", "2.25"}}).rateLimit == 2.25);
    CHECK(read({{"Server-Limit", "0"}}).rateLimit == 0);
    CHECK(read({{"Server-Limit", "3"}, {"Server-Limit", "3.0"}}).rateLimit == 3);
    const std::string longValue(1000, 'x');
    for (const std::string &value : {std::string(), std::string("-1"), std::string("nan"), std::string("inf"),
                                     std::string("1e999"), std::string("2,5"), std::string("1 "), longValue}) {
        const BackpressureSignal signal = read({{"Server-Limit", value}});
        CAPTURE(value);
        CHECK_FALSE(signal.rateLimit);
        CHECK(signal.malformedHeader.find("Server-Limit: " + value.substr(0, 5)) == 0);
        CHECK(signal.malformedHeader.size() < 80);
    }
    CHECK_FALSE(read({{"Server-Limit", "2"}, {"Server-Limit", "3"}}).rateLimit);
}

TEST_CASE("a target asks for a rest with 503 and a time in seconds")
{
    const auto read = [](unsigned status, const std::string &value) {
        return Clients::readAnswer({status, {{"X-Not-Executed", "full"}, {"Retry-After", value}}, {}}).backpressure;
    };
    CHECK(read(503, "3").backOff == 3s);
    CHECK(read(503, "0.25").backOff == 250ms);
    CHECK_FALSE(read(429, "3").backOff);
    CHECK_FALSE(read(200, "3").backOff);
    for (const std::string value : {"", "-3", "nan", "1e999", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        CAPTURE(value);
        CHECK_FALSE(read(503, value).backOff);
        CHECK(read(503, value).malformedHeader.find("Retry-After: ") == 0);
    }
}

TEST_CASE("a target says in its answers that it leaves")
{
    const auto isLeaving = [](const std::vector<HeaderField> &headers) {
        return Clients::readAnswer({200, headers, {}}).backpressure.isLeaving;
    };
    CHECK(isLeaving({{"server-leaving", "1"}}));
    CHECK_FALSE(isLeaving({{"Server-Leaving", "0"}}));
    CHECK_FALSE(isLeaving({}));
}

TEST_CASE("only what has not run is refused with a promise")
{
    for (const Refusal reason :
         {Refusal::UnknownKey, Refusal::OverQuota, Refusal::RouteChanged, Refusal::NoConfiguration, Refusal::NoTarget,
          Refusal::Overloaded, Refusal::LinkFull, Refusal::NotReached, Refusal::Stopping, Refusal::NoRoute,
          Refusal::RoutingLate, Refusal::Lost, Refusal::TimedOut}) {
        const Answer answer = Clients::refusal({"q1", reason, 150ms});
        const bool promises =
            answer.status == 503 || answer.status == 429 || answer.status == 404 || answer.status == 401;
        CHECK(promises == promisesNotRun(reason));
        CHECK(headerOf(answer, "X-Request-Id") == "q1");
        CHECK(headerOf(answer, "Retry-After") == "0.150");
    }
}
