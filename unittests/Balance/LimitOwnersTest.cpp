//===- LimitOwnersTest.cpp - Entry hosts that share a target's limit ------===//
#include "BalanceFixture.h"

#include "Balance/TargetSet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

const TimePoint Start = TimePoint(1000s);

/// Entry hosts in two regions, and one limited target in the smaller region r2.
class LimitedNetwork
{
public:
    LimitedNetwork(std::size_t hostsInRegion, std::size_t otherHosts, const std::string &target, double perSecond)
    {
        std::vector<HostReport> reports;
        for (std::size_t n = 0; n < hostsInRegion + otherHosts; ++n) {
            reports.push_back(Host::entryOf("e-" + std::to_string(n), n < hostsInRegion ? "z3" : "z1"));
        }
        RegistryChanges changes;
        changes.targets.push_back({Host::targetOf(target, "z3"), 0ms, false});
        for (const HostReport &it : reports) {
            changes.hosts.push_back({it, 0ms, false});
        }
        for (const HostReport &it : reports) {
            auto settings = std::make_unique<BalanceSettings>(Host::settingsOf(it.zone, hash64(it.id)));
            settings->host = it.id;
            TargetSet set(*settings);
            set.apply(changes, Start);
            set.setLimit({target, 0ms}, perSecond);
            ++(sends(set) ? (it.zone == "z3" ? ownersInRegion : ownersElsewhere) : nonOwners);
        }
    }

    std::size_t ownersInRegion = 0;
    std::size_t ownersElsewhere = 0;
    std::size_t nonOwners = 0;

private:
    /// Returns true if the host sends the target a request once its share has had time to fill.
    static bool sends(TargetSet &set)
    {
        TargetQuery query;
        query.service = "s";
        query.responseTimeout = 1s;
        query.isUrgent = true;
        set.choose(query, Start);
        return set.choose(query, Start + 1h).target != nullptr;
    }
};

} // namespace

// Guards against a limited target that gets nothing since all hosts that share its limit stay in another region.
TEST_CASE("half of the hosts that share a target's limit at least are of its region")
{
    CHECK(rc::check([] {
        const auto inRegion = *rc::gen::inRange<std::size_t>(0, 8);
        const auto elsewhere = *rc::gen::inRange<std::size_t>(0, 15);
        const double perSecond = *rc::gen::element(0.5, 1.9, 4.0, 20.0);
        const LimitedNetwork network(inRegion, elsewhere, "t-" + std::to_string(*rc::gen::inRange(0, 1000)), perSecond);
        const std::size_t hosts = inRegion + elsewhere;
        const std::size_t owners = hosts == 0 ? 0 : ownerCount(perSecond, hosts);
        RC_ASSERT(network.ownersInRegion + network.ownersElsewhere == owners);
        RC_ASSERT(network.ownersInRegion >= std::min(inRegion, (owners + 1) / 2));
        RC_ASSERT(network.ownersElsewhere >= std::min(elsewhere, owners / 2));
    }));
}
