//===- RememberedTest.cpp - What a control host knew before a restart -----===//
#include "Fleet/Remembered.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);

TargetReport report(const std::string &id, Presence presence = Presence::Ready, Milliseconds coldLeft = 0ms)
{
    return {id, "s", "10.0.0." + id + ":80", "z1", 4, presence, coldLeft, 1};
}

/// A file of its own, removed at the end.
class TemporaryFile
{
public:
    TemporaryFile()
        : path(std::filesystem::temp_directory_path() / ("pepperlug-remembered-" + std::to_string(getpid())))
    {
    }

    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string path;
};

Registry someTargets()
{
    Registry registry;
    registry.receive(report("1"), Start);
    registry.receive(report("2", Presence::Draining), Start);
    registry.receive(report("3", Presence::Ready, 3000ms), Start);
    registry.receive(report("4"), Start);
    return registry;
}

} // namespace

TEST_CASE("targets that are ready and warm are remembered, and come back from the file")
{
    TemporaryFile file;
    CHECK_FALSE(readRemembered(file.path));
    writeRemembered(file.path, rememberedOf(RoutingState{}, someTargets()));
    const std::optional<Remembered> read = readRemembered(file.path);
    REQUIRE(read);
    REQUIRE(read->targets.size() == 2);
    CHECK(read->targets[0].id == "1");
    CHECK(read->targets[1].id == "4");
    CHECK(read->routingIndex == 0);
}

TEST_CASE("a file that can't be read is told with its path")
{
    TemporaryFile file;
    std::ofstream(file.path) << "no such thing";
    CHECK_THROWS_WITH(readRemembered(file.path), Catch::Contains(file.path));
}

TEST_CASE("a reply is filled only with what is not known better")
{
    Remembered remembered = rememberedOf(RoutingState{}, someTargets());
    remembered.routingIndex = 7;
    remembered.tableText = "table";
    remembered.evacuatedZones = {"z2"};
    Registry now;
    now.receive(report("1", Presence::Draining), Start);

    FleetWatchReply older;
    addRemembered(older, remembered, now);
    REQUIRE(older.remembered.size() == 1);
    CHECK(older.remembered[0].id == "4");
    CHECK(older.hasRouting);
    CHECK(older.routingIndex == 7);
    CHECK(older.evacuatedZones == std::vector<std::string>{"z2"});

    FleetWatchReply newer;
    newer.hasRouting = true;
    newer.routingIndex = 8;
    newer.tableText = "newer";
    addRemembered(newer, remembered, now);
    CHECK(newer.tableText == "newer");
    CHECK(newer.routingIndex == 8);
}
