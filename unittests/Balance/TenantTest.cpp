//===- TenantTest.cpp - Tests of tenants' keys, regions and limits --------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

/// A host whose table has two tenants, and targets in two regions.
class TenantHost : public Host
{
public:
    TenantHost()
    {
        table.tenants = {{"t1", {"k1", "k1b"}}, {"t2", {"k2"}}};
        useTable();
        report(targetOf("a"));
        report(targetOf("far", "z3"));
        receiveUpdate();
    }

    /// Receives an update after which the host has all routing.
    void receiveUpdate()
    {
        reduce(UpdateReceived{now});
    }

    RequestId sendRequest(const std::string &path, const std::string &key)
    {
        const auto id = static_cast<RequestId>(++lastRequest);
        CallerRequest request{id, "h", path, {}, {}};
        request.keyDigest = key;
        reduce(request);
        return id;
    }

    std::optional<Refusal> refusal() const
    {
        const auto *effect = find<RefuseRequest>();
        return effect == nullptr ? std::nullopt : std::optional(effect->reason);
    }

    void publishTable()
    {
        ++table.version;
        useTable();
    }
};

} // namespace

TEST_CASE("a request belongs to the tenant that holds its key")
{
    TenantHost host;
    host.sendRequest("/once/x", "k1b");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant == "t1");
    CHECK(host.find<StartAttempt>()->hasTenants);
    host.sendRequest("/once/x", "k2");
    CHECK(host.find<StartAttempt>()->tenant == "t2");
}

TEST_CASE("a request with an unknown key or without a key is refused at once")
{
    TenantHost host;
    host.sendRequest("/once/x", "k9");
    CHECK(host.refusal() == Refusal::UnknownKey);
    CHECK(host.find<RefuseRequest>()->retryAfter == 0ms);
    host.sendRequest("/once/x", "");
    CHECK(host.refusal() == Refusal::UnknownKey);
}

TEST_CASE("a host that may not have received a new key does not deny it")
{
    TenantHost host;
    host.now += UpdateLease + 1ms;
    host.sendRequest("/once/x", "k9");
    CHECK(host.refusal() == Refusal::RoutingLate);
    host.receiveUpdate();
    host.sendRequest("/once/x", "k9");
    CHECK(host.refusal() == Refusal::UnknownKey);
    host.reduce(UpdateReceived{host.now, host.now});
    host.sendRequest("/once/x", "k9");
    CHECK(host.refusal() == Refusal::RoutingLate);
}

TEST_CASE("a public route needs no key, and a known key still identifies its tenant")
{
    TenantHost host;
    host.table.routes[0].isPublic = true;
    host.publishTable();
    host.sendRequest("/read/x", "");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant.empty());
    CHECK(host.find<StartAttempt>()->hasTenants);
    host.sendRequest("/read/x", "k9");
    CHECK(host.find<StartAttempt>()->tenant.empty());
    host.sendRequest("/read/x", "k2");
    CHECK(host.find<StartAttempt>()->tenant == "t2");
}

TEST_CASE("a table without tenants requires no key")
{
    TenantHost host;
    host.table.tenants.clear();
    host.publishTable();
    host.sendRequest("/once/x", "");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK_FALSE(host.find<StartAttempt>()->hasTenants);
}

TEST_CASE("an unsent request is withdrawn if its key is removed")
{
    TenantHost host;
    const RequestId id = host.sendRequest("/once/x", "k1");
    REQUIRE(host.balancer.maySend(id, 1));
    host.table.tenants[0].keyDigests = {"k1b"};
    host.publishTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
    host.end(id, 1, AttemptOutcome::Withdrawn);
    CHECK(host.refusal() == Refusal::RouteChanged);
    host.receiveUpdate();
    host.sendRequest("/once/x", "k1");
    CHECK(host.refusal() == Refusal::UnknownKey);
    // The key is added again.
    host.table.tenants[0].keyDigests = {"k1"};
    host.publishTable();
    host.sendRequest("/once/x", "k1");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("an unsent request whose key is given to another tenant is sent for that tenant")
{
    TenantHost host;
    const RequestId id = host.sendRequest("/once/x", "k1");
    host.table.tenants[0].keyDigests = {"k1b"};
    host.table.tenants[1].keyDigests = {"k2", "k1"};
    host.publishTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
    host.end(id, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant == "t2");
    CHECK(host.balancer.maySend(id, 2));
}

// Guards against an attempt that tells its target the tenant of an earlier table, since the request was refreshed for a
// second attempt meanwhile.
TEST_CASE("an unsent attempt for another tenant is withdrawn although a hedge was started for the new one")
{
    TenantHost host;
    const RequestId id = host.sendRequest("/read/x", "k1");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.table.tenants[0].keyDigests = {"k1b"};
    host.table.tenants[1].keyDigests = {"k2", "k1"};
    host.publishTable();
    host.now += 1600ms;
    host.reduce(BalanceTick{});
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant == "t2");
    CHECK(host.balancer.withheldBecause(id, 1) == Withheld::OtherTenant);
    CHECK(host.balancer.maySend(id, 2));
}

// Guards against a caller's key that is passed on to a target after keys have come into use.
TEST_CASE("an unsent request is withdrawn if the first tenants come meanwhile")
{
    TenantHost host;
    const std::vector<Tenant> tenants = std::exchange(host.table.tenants, {});
    host.table.routes[1].isPublic = true;
    host.publishTable();
    const RequestId id = host.sendRequest("/once/x", "unknown");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK_FALSE(host.find<StartAttempt>()->hasTenants);
    host.table.tenants = tenants;
    host.publishTable();
    CHECK(host.balancer.withheldBecause(id, 1) == Withheld::OtherTenant);
    host.end(id, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->hasTenants);
    CHECK(host.balancer.maySend(id, 2));
}

TEST_CASE("a retry looks up the key again")
{
    TenantHost host;
    const RequestId id = host.sendRequest("/read/x", "k1");
    host.table.tenants[0].keyDigests = {};
    host.publishTable();
    host.end(id, 1, AttemptOutcome::Lost);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Lost);
}

TEST_CASE("home regions of tenants and of routes both apply")
{
    TenantHost host;
    host.table.tenants[0].homeRegions = {"r2"};
    host.table.routes[1].homeRegions = {"r1", "r2"};
    host.publishTable();
    host.sendRequest("/read/x", "k1");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "far");
    CHECK(host.find<StartAttempt>()->homeRegions == std::vector<std::string>{"r2"});
    host.sendRequest("/once/x", "k1");
    CHECK(host.find<StartAttempt>()->target == "far");
    host.table.routes[1].homeRegions = {"r1"};
    host.publishTable();
    host.sendRequest("/once/x", "k1");
    CHECK(host.refusal() == Refusal::NoTarget);
    host.sendRequest("/once/x", "k2");
    CHECK(host.find<StartAttempt>()->target == "a");
}

TEST_CASE("an unsent request is withdrawn if its target is outside new home regions of the tenant")
{
    TenantHost host;
    const RequestId id = host.sendRequest("/once/x", "k2");
    REQUIRE(host.find<StartAttempt>()->target == "a");
    host.table.tenants[1].homeRegions = {"r2"};
    host.publishTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
}

TEST_CASE("a tenant's priority overrides that of the route")
{
    // A target whose only spare capacity is what less urgent requests leave admits only an urgent one.
    TenantHost host;
    host.table.routes[0].priority = 2;
    host.table.tenants[0].priority = 0;
    host.table.tenants[1].priority = 3;
    host.publishTable();
    for (int n = 0; n < 40; ++n) { // learns the service time
        const RequestId id = host.sendRequest("/read/x", "k1");
        host.now += 350ms;
        host.receiveUpdate();
        host.end(id, 1, AttemptOutcome::Answered);
    }
    for (int n = 0; n < 3; ++n) {
        host.sendRequest("/read/x", "k1");
    }
    host.sendRequest("/read/x", "k2");
    CHECK(host.refusal() == Refusal::Overloaded);
    host.sendRequest("/read/x", "k1");
    CHECK(host.find<StartAttempt>() != nullptr);
}

namespace
{

/// A host of which two tenants' limits are issued by the test.
class LimitedHost : public TenantHost
{
public:
    LimitedHost()
    {
        table.tenants[0].limit = {10, 10};
        publishTable();
    }

    /// Replies to the call that the last event caused, with at most `tokens` tokens. Returns what the call needed.
    std::uint32_t reply(std::uint32_t tokens)
    {
        const auto *effect = find<RequestQuota>();
        REQUIRE(effect != nullptr);
        const RequestQuota call = *effect;
        REQUIRE(call.call.demands.size() == 1);
        const QuotaDemand &demand = call.call.demands.front();
        CHECK(demand.tenant == tenantHash("t1"));
        CHECK(demand.limit.limit == TenantLimit{10, 10});
        CHECK(demand.limit.tableVersion == table.version);
        QuotaReply reply{"control#1", ++sequence, true, {}};
        reply.grants.push_back({demand.tenant, std::min(tokens, demand.needed), 500ms, {}});
        reduce(QuotaReplied{call.sentAt, reply});
        return demand.needed;
    }

    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("a request over the limit is refused as not run, with a retry time")
{
    LimitedHost host;
    int sent = 0;
    for (int n = 0; n < 100; ++n) {
        host.now += 110ms; // requests right after a refusal are refused without a call
        host.receiveUpdate();
        const RequestId id = host.sendRequest("/once/x", "k1");
        CHECK(host.find<StartAttempt>() == nullptr);
        CHECK(host.reply(n % 10 == 0 ? 1 : 0) == 1);
        if (host.find<StartAttempt>() != nullptr) {
            ++sent;
            host.end(id, 1, AttemptOutcome::Answered);
            continue;
        }
        CHECK(host.refusal() == Refusal::OverQuota);
        CHECK(host.find<RefuseRequest>()->retryAfter >= 500ms);
    }
    CHECK(sent == 10);
    host.sendRequest("/once/x", "k2"); // no limit, and not affected by the other tenant's limit
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a request counts once towards the limit, and not at all if it has not run")
{
    LimitedHost host;
    const RequestId id = host.sendRequest("/read/x", "k1");
    REQUIRE(host.reply(1) == 1);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    host.end(id, 1, AttemptOutcome::Shed); // the request is retried
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<RequestQuota>() == nullptr);
    host.end(id, 2, AttemptOutcome::NotSent);
    REQUIRE(host.refusal());
    host.sendRequest("/read/x", "k1"); // uses the token that was returned
    CHECK(host.find<StartAttempt>() != nullptr);
    host.sendRequest("/read/x", "k1");
    CHECK(host.find<StartAttempt>() == nullptr);
}

// Guards against a request that is counted at two hosts: by the one that relays it, and by the one that sends it.
TEST_CASE("a request that is relayed returns its token")
{
    LimitedHost host;
    HostReport other = Host::entryOf("e2", "z1");
    other.address = "10.9.0.1:80";
    host.report(other);
    const auto endRound = [&](bool connects) {
        host.receiveUpdate();
        host.reduce(BalanceTick{});
        const auto isProbe = [](const BalanceEffect &it) {
            return std::holds_alternative<ProbeTarget>(it);
        };
        const auto probes = std::count_if(host.effects.begin(), host.effects.end(), isProbe);
        REQUIRE(probes > 0);
        for (auto left = probes; left > 0; --left) {
            host.reduce(TargetProbed{"s", connects ? ProbeResult::Answered : ProbeResult::Failed});
        }
    };
    host.end(host.sendRequest("/once/x", "k2"), 1, AttemptOutcome::NotSent);
    endRound(false);
    host.now += 200ms;
    endRound(false);
    host.now += 200ms;
    const RequestId id = host.sendRequest("/once/x", "k1");
    REQUIRE(host.find<RequestQuota>() != nullptr);
    const RequestQuota call = *host.find<RequestQuota>();
    endRound(false);
    REQUIRE(host.balancer.unreachableServices().size() == 1);
    host.reduce(QuotaReplied{call.sentAt, {"control#1", 1, true, {{tenantHash("t1"), 1, 2s, {}}}}});
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->relay == "e2");
    host.end(id, 1, AttemptOutcome::Answered);
    host.now += 400ms;
    endRound(true);
    host.sendRequest("/once/x", "k1");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->relay.empty());
    CHECK(host.find<RequestQuota>() == nullptr);
}

TEST_CASE("a request that waits for a token is refused as not run after an eighth of its objective")
{
    LimitedHost host;
    const RequestId first = host.sendRequest("/once/x", "k1");
    host.reply(1);
    host.end(first, 1, AttemptOutcome::Answered);
    host.sendRequest("/read/x", "k1");
    CHECK_FALSE(host.refusal());
    host.now += 49ms;
    host.reduce(BalanceTick{});
    CHECK_FALSE(host.refusal());
    host.now += 1ms;
    host.reduce(BalanceTick{});
    CHECK(host.refusal() == Refusal::OverQuota);
    CHECK(host.find<RefuseRequest>()->retryAfter <= 20ms); // another host may reach a control host
    CHECK(host.balancer.openRequests() == 0);
}

TEST_CASE("callers are told to wait for control hosts while all hosts are starting")
{
    LimitedHost host;
    host.sendRequest("/read/x", "k1");
    host.now += 50ms;
    host.reduce(BalanceTick{});
    REQUIRE(host.refusal() == Refusal::OverQuota);
    CHECK(host.find<RefuseRequest>()->retryAfter >= 1s);
}

TEST_CASE("a caller that leaves while its request waits for a token uses none")
{
    LimitedHost host;
    const RequestId id = host.sendRequest("/read/x", "k1");
    const RequestQuota call = *host.find<RequestQuota>();
    host.reduce(CallerLeft{id});
    CHECK(host.balancer.openRequests() == 0);
    host.reduce(QuotaReplied{call.sentAt, {"control#1", 1, true, {{tenantHash("t1"), 1, 500ms, {}}}}});
    CHECK(host.find<StartAttempt>() == nullptr);
    host.sendRequest("/read/x", "k1");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a request whose key was removed while it waited for a token is not sent")
{
    LimitedHost host;
    host.sendRequest("/read/x", "k1");
    const RequestQuota call = *host.find<RequestQuota>();
    host.table.tenants[0].keyDigests = {"k1b"};
    host.publishTable();
    host.reduce(QuotaReplied{call.sentAt, {"control#1", 1, true, {{tenantHash("t1"), 1, 500ms, {}}}}});
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::RouteChanged);
}

TEST_CASE("a token of one tenant does not admit a request of another one that received the key")
{
    LimitedHost host;
    host.table.tenants[1].limit = {10, 10};
    host.publishTable();
    const bool isSent = GENERATE(true, false);
    const RequestId id = host.sendRequest("/read/x", "k1");
    const RequestQuota call = *host.find<RequestQuota>();
    const QuotaReply reply{"control#1", 1, true, {{tenantHash("t1"), 1, 500ms, {}}}};
    if (isSent) {
        host.reduce(QuotaReplied{call.sentAt, reply});
    }
    host.table.tenants[0].keyDigests = {"k1b"};
    host.table.tenants[1].keyDigests = {"k2", "k1"};
    host.publishTable();
    if (isSent) {
        host.end(id, 1, AttemptOutcome::Shed);
    } else {
        host.reduce(QuotaReplied{call.sentAt, reply});
    }
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::RouteChanged);
    host.sendRequest("/read/x", "k1");
    CHECK(host.find<StartAttempt>() == nullptr);
    host.sendRequest("/read/x", "k1b"); // the token was returned to its tenant
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a control host that issues no tokens is not waited for")
{
    LimitedHost host;
    host.sendRequest("/read/x", "k1");
    const RequestQuota call = *host.find<RequestQuota>();
    host.now += 10ms;
    host.reduce(QuotaCallFailed{call.sentAt});
    REQUIRE(host.find<RequestQuota>() != nullptr); // the next one is called at once
    host.reply(1);
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("requests of a tenant whose home is elsewhere are reported as demand on its home region")
{
    TenantHost host;
    host.table.tenants[0].homeRegions = {"r2"};
    host.publishTable();
    host.sendRequest("/read/x", "k1");
    host.sendRequest("/read/x", "k2");
    std::map<std::string, double> slots;
    for (const ServiceDemand &it : host.balancer.demand(host.now)) {
        slots[it.homeRegion] += it.slots;
    }
    REQUIRE(slots.size() == 2);
    CHECK(slots.at("r2") > 0);
    CHECK(slots.at("r2") == Approx(slots.at("")));
}
