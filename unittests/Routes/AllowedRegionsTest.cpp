//===- AllowedRegionsTest.cpp - Regions that may receive a request --------===//
#include "pepperlug/Routes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug::fleet;

namespace
{

using Regions = std::vector<std::string>;

AllowedRegions allowedBy(const Regions &ofRoute, const Regions &ofTenant)
{
    Route route;
    route.homeRegions = ofRoute;
    const Tenant tenant{"t", {}, {}, {}, ofTenant};
    return {route, &tenant};
}

bool allows(const Regions &list, const std::string &region)
{
    return list.empty() || std::find(list.begin(), list.end(), region) != list.end();
}

} // namespace

TEST_CASE("without home regions all regions are allowed")
{
    CHECK_FALSE(AllowedRegions().isBound());
    CHECK(AllowedRegions().contains("r1"));
    CHECK_FALSE(AllowedRegions(Route{}, nullptr).isBound());
    CHECK_FALSE(allowedBy({}, {}).isEmpty());
}

// Guards against an empty intersection that is taken for "any region".
TEST_CASE("a route and a tenant without a common home region allow no region")
{
    const AllowedRegions regions = allowedBy({"r1"}, {"r2"});
    CHECK(regions.isBound());
    CHECK(regions.isEmpty());
    CHECK(regions.homes().empty());
    CHECK_FALSE(regions.contains("r1"));
    CHECK_FALSE(regions.contains("r2"));
    CHECK_FALSE(regions.contains("r3"));
}

TEST_CASE("a region is allowed if the route and the tenant allow it")
{
    CHECK(rc::check([] {
        const auto lists = rc::gen::container<Regions>(rc::gen::element<std::string>("r1", "r2", "r3"));
        const Regions ofRoute = *lists;
        const Regions ofTenant = *lists;
        const AllowedRegions regions = allowedBy(ofRoute, ofTenant);
        RC_ASSERT(regions.isBound() == !(ofRoute.empty() && ofTenant.empty()));
        for (const char *region : {"r1", "r2", "r3", "r4"}) {
            RC_ASSERT(regions.contains(region) == (allows(ofRoute, region) && allows(ofTenant, region)));
        }
    }));
}
