//===- RegistryStopTest.cpp - Planned stops of a control host -------------===//
#include "Fleet/System.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// A control host whose orders are not confirmed, as the entry host does not hear of them.
struct UnconfirmedSystem {
    UnconfirmedSystem()
    {
        serving.system.proxy->set(soak::LinkFault::Silent);
    }

    Answer putTable()
    {
        return serving.system.operatorCall("/api/Config.Put", System::tableText("r3", {"/p/"}), "r2");
    }

    ServingSystem serving{ControlLink::Proxied};
};

} // namespace

// Guards against an operator who has to wait for the end of the connection to learn that the order is not confirmed.
TEST_CASE("an order that is pending when its control host stops is told to be sent again")
{
    UnconfirmedSystem system;
    std::future<Answer> order = std::async(std::launch::async, [&] { return system.putTable(); });
    REQUIRE(order.wait_for(300ms) == std::future_status::timeout);
    system.serving.system.registry->stopGracefully();
    CHECK(order.get().status == 503);
}

// Guards against orders and departures that a control host takes just before its exit, and that the exit cuts.
TEST_CASE("an order that arrives after the pending ones were answered is told to be sent again")
{
    UnconfirmedSystem system;
    system.serving.system.registry->stopGracefully();
    CHECK(system.putTable().status == 503);
    CHECK(system.putTable().status == 503); // decided already, not confirmed
    CHECK(system.serving.system.sendReport("i-1", system.serving.target, 2, "draining").status == 503);
}
