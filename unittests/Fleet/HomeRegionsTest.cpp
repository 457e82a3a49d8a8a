//===- HomeRegionsTest.cpp - Relayed requests with home regions -----------===//
#include "Fleet/StubControl.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr int Requests = 20;

/// Two entry hosts of region r1, the first of which reaches no target, and a target in each of the regions r1 and r2.
class HomeRegionsSystem
{
public:
    HomeRegionsSystem()
    {
        const std::string refusing = addressOn(99, 17299).text();
        cutOff.control.setTarget("near", refusing, "z1");
        cutOff.control.setTarget("far", refusing, "z2");
        other.control.setTarget("near", near.address(), "z1");
        other.control.setTarget("far", far.address(), "z2");
        cutOff.control.setEntryHost("entry-2", "z1", other.address());
        REQUIRE(System::eventually([&] { return other.statusOf("/read/x") == 200; }));
        REQUIRE(System::eventually([&] { return cutOff.statusOf("/once/x") == 200; })); // through the other host
    }

    static void setHomeRegions(Entry &entry, std::uint64_t index, const std::vector<std::string> &homeRegions)
    {
        entry.control.setHomeRegions(index, homeRegions);
        REQUIRE(System::eventually([&] { return entry.control.appliedIndex() == index; }));
    }

    FakeTarget near{"near"};
    FakeTarget far{"far"};
    Entry cutOff{1};
    Entry other{2};
};

} // namespace

// Guards against a request that runs outside its home regions since the host that it was relayed to has older routing.
TEST_CASE("a relayed request goes to no region that the routing of the relaying host excludes")
{
    HomeRegionsSystem system;
    HomeRegionsSystem::setHomeRegions(system.other, 2, {"r2"});
    HomeRegionsSystem::setHomeRegions(system.cutOff, 2, {"r2"});
    HomeRegionsSystem::setHomeRegions(system.cutOff, 3, {"r1"});
    const std::size_t before = system.far.arrivals().size();
    for (int n = 0; n < Requests; ++n) {
        CHECK(system.cutOff.statusOf("/once/x") == 503);
        CHECK(system.cutOff.statusOf("/read/x") == 503);
    }
    CHECK(system.far.arrivals().size() == before);
    HomeRegionsSystem::setHomeRegions(system.other, 3, {"r1"});
    CHECK(System::eventually([&] { return system.cutOff.statusOf("/once/x") == 200; }));
    CHECK(system.far.arrivals().size() == before);
}
