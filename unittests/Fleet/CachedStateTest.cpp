//===- CachedStateTest.cpp - Control host state from before a restart -----===//
#include "Fleet/CachedState.h"

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

/// A file that is removed at the end of the test.
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
        std::filesystem::remove(path + "-changes");
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

TEST_CASE("ready and warm targets are cached and restored from the file")
{
    TemporaryFile file;
    CHECK_FALSE(readCachedState(file.path));
    writeCachedState(file.path, makeCachedState(RoutingState{}, someTargets()));
    const std::optional<CachedState> read = readCachedState(file.path);
    REQUIRE(read);
    REQUIRE(read->targets.size() == 2);
    CHECK(read->targets[0].id == "1");
    CHECK(read->targets[1].id == "4");
    CHECK(read->routing.index() == 0);
}

TEST_CASE("an error about an unreadable file names its path")
{
    TemporaryFile file;
    std::ofstream(file.path) << "no such thing";
    CHECK_THROWS_WITH(readCachedState(file.path), Catch::Contains(file.path));
}

TEST_CASE("the committed routing is restored from the file")
{
    TemporaryFile file;
    RoutingState routing;
    RoutingCommand put{RoutingCommandKind::PutTable, 0, 3, "table", {}};
    REQUIRE(routing.apply(put, 6) == RoutingResult::Done);
    RoutingCommand evacuate{RoutingCommandKind::EvacuateZone, 0, 0, {}, "z2"};
    REQUIRE(routing.apply(evacuate, 7) == RoutingResult::Done);
    writeCachedState(file.path, makeCachedState(routing, someTargets()));
    const std::optional<CachedState> read = readCachedState(file.path);
    REQUIRE(read);
    CHECK(read->routing.index() == 7);
    CHECK(read->routing.text() == "table");
    CHECK(read->routing.evacuatedZones() == std::set<std::string>{"z2"});
}

TEST_CASE("a cached target is sent only while there is no newer report of it")
{
    const CachedState state = makeCachedState(RoutingState{}, someTargets());
    Registry now;
    now.receive(report("1", Presence::Draining), Start);
    const std::vector<TargetReport> unreported = unreportedTargets(state.targets, now);
    REQUIRE(unreported.size() == 1);
    CHECK(unreported[0].id == "4");
}

TEST_CASE("a target that left after the last write of all targets is not restored, and newer routing is")
{
    TemporaryFile file;
    Registry registry = someTargets();
    RoutingState routing;
    writeCachedState(file.path, makeCachedState(routing, registry));
    const std::uint64_t version = registry.changedVersion();
    TargetReport departure = report("1", Presence::Draining);
    departure.sequence = 2;
    registry.receive(departure, Start + 1s);
    REQUIRE(routing.apply({RoutingCommandKind::PutTable, 0, 3, "table", {}}, 6) == RoutingResult::Done);
    writeRecentChanges(file.path, makeRecentChanges(routing, registry, version, Start + 1s));
    const std::optional<CachedState> read = readCachedState(file.path);
    REQUIRE(read);
    REQUIRE(read->targets.size() == 1);
    CHECK(read->targets[0].id == "4");
    CHECK(read->routing.index() == 6);
}

TEST_CASE("a target that became cold, warm or moved after the last write of all targets is restored as it is now")
{
    TemporaryFile file;
    Registry registry = someTargets(); // 1 and 4 are warm, 3 is cold for 3 s
    writeCachedState(file.path, makeCachedState(RoutingState{}, registry));
    const std::uint64_t version = registry.changedVersion();
    TargetReport cold = report("1", Presence::Ready, 2000ms);
    TargetReport warm = report("3");
    TargetReport moved = report("4");
    moved.address = "10.0.0.99:80";
    for (TargetReport *it : {&cold, &warm, &moved}) {
        it->sequence = 2;
        registry.receive(*it, Start + 1s);
    }
    writeRecentChanges(file.path, makeRecentChanges(RoutingState{}, registry, version, Start + 1s));
    const std::optional<CachedState> read = readCachedState(file.path);
    REQUIRE(read);
    std::map<std::string, std::string> addresses;
    for (const TargetReport &it : read->targets) {
        addresses[it.id] = it.address;
    }
    CHECK(addresses == std::map<std::string, std::string>{{"3", "10.0.0.3:80"}, {"4", "10.0.0.99:80"}});
}

TEST_CASE("what is written after a change does not grow with the number of targets", "[scale]")
{
    const auto bytesWritten = [](unsigned targets) {
        Registry registry;
        for (unsigned n = 0; n < targets; ++n) {
            registry.receive(report(std::to_string(n)), Start);
        }
        const std::uint64_t version = registry.changedVersion();
        TargetReport departure = report("7", Presence::Draining);
        departure.sequence = 2;
        registry.receive(departure, Start + 1s);
        TemporaryFile file;
        writeRecentChanges(file.path, makeRecentChanges(RoutingState{}, registry, version, Start + 1s));
        return std::filesystem::file_size(file.path + "-changes");
    };
    CHECK(bytesWritten(2000) == bytesWritten(1000));
    CHECK(cacheWriteInterval(20000) == 2 * cacheWriteInterval(10000)); // so the writes of all take the same share
}
