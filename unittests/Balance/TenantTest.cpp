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
    CHECK(host.find<StartAttempt>()->hasHomeRegions);
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

TEST_CASE("a request over the limit is refused as not run, with a retry time")
{
    TenantHost host;
    host.table.tenants[0].limit = {10, 10};
    host.publishTable();
    host.reduce(TenantLoadsReceived{{{tenantHash("t1"), 100, 0.1}}});
    int sent = 0;
    for (int n = 0; n < 100; ++n) {
        host.now += 10ms;
        host.receiveUpdate();
        const RequestId id = host.sendRequest("/once/x", "k1");
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
    TenantHost host;
    host.table.tenants[0].limit = {10, 10};
    host.publishTable();
    const auto reportedDemand = [&] {
        const std::vector<TenantDemand> demand = host.balancer.tenantDemand(host.now);
        return demand.empty() ? 0.0F : demand.front().perSecond;
    };
    const RequestId id = host.sendRequest("/read/x", "k1");
    const float once = reportedDemand();
    CHECK(once > 0);
    host.end(id, 1, AttemptOutcome::Shed); // the request is retried
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(reportedDemand() == once);
    host.end(id, 2, AttemptOutcome::NotSent);
    REQUIRE(host.refusal());
    host.now += 1s;
    CHECK(reportedDemand() == 0);
}
