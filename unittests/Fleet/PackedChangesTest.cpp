//===- PackedChangesTest.cpp - Compressed registry changes ----------------===//
#include "Fleet/PackedChanges.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);

RegistryChanges manyChanges(std::size_t targets)
{
    Registry registry;
    for (std::size_t n = 0; n < targets; ++n) {
        const std::string random = digestHex(std::to_string(n));
        const std::string address = "10." + std::to_string(n / 250) + ".0." + std::to_string(n % 250) + ":8080";
        registry.receive(TargetReport{"i-" + random.substr(0, 8), "service-" + std::to_string(n % 2), address,
                                      "zone-" + std::to_string(n % 9), 8, Presence::Ready, 0ms, 1,
                                      Milliseconds(1'700'000'000'000 + static_cast<int>(n % 997))},
                         Start);
        if (n % 10 == 0) {
            HostReport host;
            host.id = "edge-" + std::to_string(n) + "#" + random.substr(0, 16);
            host.zone = "zone-" + std::to_string(n % 9);
            host.address = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":80";
            host.sequence = 1;
            registry.receive(host, Start);
        }
    }
    return registry.changedSince(0, Start + 1s);
}

} // namespace

TEST_CASE("packed changes are read as they were")
{
    for (const std::size_t targets : {0U, 100U, 2000U, 2500U}) {
        const RegistryChanges changes = manyChanges(targets);
        CHECK(encode(unpackChanges(packChanges(changes), "control")) == encode(changes));
    }
}

TEST_CASE("packed targets are read as they were")
{
    std::vector<TargetReport> targets;
    for (const AgedReport<TargetReport> &it : manyChanges(1500).targets) {
        targets.push_back(it.report);
    }
    CHECK(encode(unpackTargets(packTargets(targets), "control")) == encode(targets));
}

TEST_CASE("a snapshot takes at most 60 bytes a target", "[scale]")
{
    constexpr std::size_t MostBytes = 60;
    for (const std::size_t targets : {10000U, 20000U}) {
        CHECK(encode(packChanges(manyChanges(targets))).size() <= MostBytes * targets);
    }
}

TEST_CASE("packed changes that can't be read are an error that names the peer")
{
    std::string cut = packChanges(manyChanges(100)).at(0);
    cut.resize(cut.size() / 2);
    for (const std::string &data :
         {std::string("no such thing"), cut, compressed("\x90\x01", Compression::Fast, "test")}) {
        try {
            unpackChanges({data}, "control-7");
            FAIL("the changes were read");
        } catch (const Error &ex) {
            CHECK(ex.peer() == "control-7");
        }
    }
}
