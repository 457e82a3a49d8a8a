//===- TenantTest.cpp - Who may ask, and in whose name --------------------===//
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
        hearNews();
    }

    /// The host is told that it knows all there is.
    void hearNews()
    {
        reduce(UpdateReceived{now});
    }

    RequestId ask(const std::string &path, const std::string &key)
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

    void putTable()
    {
        ++table.version;
        useTable();
    }
};

} // namespace

TEST_CASE("a request goes out in the name of the tenant that holds its key")
{
    TenantHost host;
    host.ask("/once/x", "k1b");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant == "t1");
    CHECK(host.find<StartAttempt>()->hasTenants);
    host.ask("/once/x", "k2");
    CHECK(host.find<StartAttempt>()->tenant == "t2");
}

TEST_CASE("a key that nobody holds, or none, is refused at once")
{
    TenantHost host;
    host.ask("/once/x", "k9");
    CHECK(host.refusal() == Refusal::UnknownKey);
    CHECK(host.find<RefuseRequest>()->retryAfter == 0ms);
    host.ask("/once/x", "");
    CHECK(host.refusal() == Refusal::UnknownKey);
}

TEST_CASE("a host that may not have heard of a new key does not deny it")
{
    TenantHost host;
    host.now += NewsLease + 1ms;
    host.ask("/once/x", "k9");
    CHECK(host.refusal() == Refusal::RoutingLate);
    host.hearNews();
    host.ask("/once/x", "k9");
    CHECK(host.refusal() == Refusal::UnknownKey);
    host.reduce(UpdateReceived{host.now, host.now});
    host.ask("/once/x", "k9");
    CHECK(host.refusal() == Refusal::RoutingLate);
}

TEST_CASE("a public route needs no key, and a known key still names its tenant")
{
    TenantHost host;
    host.table.routes[0].isPublic = true;
    host.putTable();
    host.ask("/read/x", "");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant.empty());
    CHECK(host.find<StartAttempt>()->hasTenants);
    host.ask("/read/x", "k9");
    CHECK(host.find<StartAttempt>()->tenant.empty());
    host.ask("/read/x", "k2");
    CHECK(host.find<StartAttempt>()->tenant == "t2");
}

TEST_CASE("a table without tenants asks for no key")
{
    TenantHost host;
    host.table.tenants.clear();
    host.putTable();
    host.ask("/once/x", "");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK_FALSE(host.find<StartAttempt>()->hasTenants);
}

TEST_CASE("a key that was taken away before the request is sent is not sent with")
{
    TenantHost host;
    const RequestId id = host.ask("/once/x", "k1");
    REQUIRE(host.balancer.maySend(id, 1));
    host.table.tenants[0].keyDigests = {"k1b"};
    host.putTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
    host.end(id, 1, AttemptOutcome::Withdrawn);
    CHECK(host.refusal() == Refusal::RouteChanged);
    host.hearNews();
    host.ask("/once/x", "k1");
    CHECK(host.refusal() == Refusal::UnknownKey);
    // It comes back.
    host.table.tenants[0].keyDigests = {"k1"};
    host.putTable();
    host.ask("/once/x", "k1");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a key that was given to another tenant before the request is sent goes out in that one's name")
{
    TenantHost host;
    const RequestId id = host.ask("/once/x", "k1");
    host.table.tenants[0].keyDigests = {"k1b"};
    host.table.tenants[1].keyDigests = {"k2", "k1"};
    host.putTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
    host.end(id, 1, AttemptOutcome::Withdrawn);
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->tenant == "t2");
    CHECK(host.balancer.maySend(id, 2));
}

TEST_CASE("a second attempt asks for the key again")
{
    TenantHost host;
    const RequestId id = host.ask("/read/x", "k1");
    host.table.tenants[0].keyDigests = {};
    host.putTable();
    host.end(id, 1, AttemptOutcome::Lost);
    CHECK(host.find<StartAttempt>() == nullptr);
    CHECK(host.refusal() == Refusal::Lost);
}

TEST_CASE("homes of a tenant bind as those of a route do, and both together where both are named")
{
    TenantHost host;
    host.table.tenants[0].homeRegions = {"r2"};
    host.table.routes[1].homeRegions = {"r1", "r2"};
    host.putTable();
    host.ask("/read/x", "k1");
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(host.find<StartAttempt>()->target == "far");
    CHECK(host.find<StartAttempt>()->hasHomeRegions);
    host.ask("/once/x", "k1");
    CHECK(host.find<StartAttempt>()->target == "far");
    host.table.routes[1].homeRegions = {"r1"};
    host.putTable();
    host.ask("/once/x", "k1");
    CHECK(host.refusal() == Refusal::NoTarget);
    host.ask("/once/x", "k2");
    CHECK(host.find<StartAttempt>()->target == "a");
}

TEST_CASE("a tenant that was given a home before the request is sent does not leave it")
{
    TenantHost host;
    const RequestId id = host.ask("/once/x", "k2");
    REQUIRE(host.find<StartAttempt>()->target == "a");
    host.table.tenants[1].homeRegions = {"r2"};
    host.putTable();
    CHECK_FALSE(host.balancer.maySend(id, 1));
}

TEST_CASE("a tenant's priority goes before that of the route")
{
    // At a target that is full but for the room that less urgent requests leave, only an urgent one is let in.
    TenantHost host;
    host.table.routes[0].priority = 2;
    host.table.tenants[0].priority = 0;
    host.table.tenants[1].priority = 3;
    host.putTable();
    for (int n = 0; n < 40; ++n) { // learns how long requests take
        const RequestId id = host.ask("/read/x", "k1");
        host.now += 350ms;
        host.hearNews();
        host.end(id, 1, AttemptOutcome::Answered);
    }
    for (int n = 0; n < 3; ++n) {
        host.ask("/read/x", "k1");
    }
    host.ask("/read/x", "k2");
    CHECK(host.refusal() == Refusal::Overloaded);
    host.ask("/read/x", "k1");
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("over the limit a request is refused as not run, with when to come back")
{
    TenantHost host;
    host.table.tenants[0].limit = {10, 10};
    host.putTable();
    host.reduce(TenantLoadsReceived{{{tenantHash("t1"), 100, 0.1}}});
    int sent = 0;
    for (int n = 0; n < 100; ++n) {
        host.now += 10ms;
        host.hearNews();
        const RequestId id = host.ask("/once/x", "k1");
        if (host.find<StartAttempt>() != nullptr) {
            ++sent;
            host.end(id, 1, AttemptOutcome::Answered);
            continue;
        }
        CHECK(host.refusal() == Refusal::OverQuota);
        CHECK(host.find<RefuseRequest>()->retryAfter >= 500ms);
    }
    CHECK(sent == 10);
    host.ask("/once/x", "k2"); // no limit, and the other tenant's is none of its business
    CHECK(host.find<StartAttempt>() != nullptr);
}

TEST_CASE("a request counts once, and not at all if it has not run")
{
    TenantHost host;
    host.table.tenants[0].limit = {10, 10};
    host.putTable();
    const auto asked = [&] {
        const std::vector<TenantDemand> demand = host.balancer.tenantDemand(host.now);
        return demand.empty() ? 0.0F : demand.front().perSecond;
    };
    const RequestId id = host.ask("/read/x", "k1");
    const float once = asked();
    CHECK(once > 0);
    host.end(id, 1, AttemptOutcome::Shed); // a second attempt begins
    REQUIRE(host.find<StartAttempt>() != nullptr);
    CHECK(asked() == once);
    host.end(id, 2, AttemptOutcome::NotSent);
    REQUIRE(host.refusal());
    host.now += 1s;
    CHECK(asked() == 0);
}
