//===- DepartureTest.cpp - Acknowledged departures hold -------------------===//
#include "Fleet/DepartureStore.h"
#include "Fleet/SavedUpdates.h"
#include "System.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

TargetReport departureOf(const std::string &id, std::uint64_t sequence = 5, Presence presence = Presence::Gone)
{
    return {id, "s", "10.0.0.1:80", "z1", 4, presence, 0ms, sequence, 1000ms};
}

/// A path in a folder of its own.
class TemporaryFile
{
public:
    TemporaryFile()
    {
        std::string name = (std::filesystem::temp_directory_path() / "departures-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        m_folder = name;
    }

    ~TemporaryFile()
    {
        std::filesystem::remove_all(m_folder);
    }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path() const
    {
        return m_folder / "departures";
    }

private:
    std::filesystem::path m_folder;
};

std::vector<std::string> idsIn(const DepartureStore &store)
{
    std::vector<std::string> ids;
    for (const TargetReport &it : store.saved()) {
        ids.push_back(it.id);
    }
    return ids;
}

} // namespace

// Guards against requests to a target that has left, after a restart of all hosts and a report from before it left.
TEST_CASE("an acknowledged departure holds after a restart of all hosts, whatever report comes late")
{
    for (const bool drains : {true, false}) {
        ServingSystem serving;
        System &system = serving.system;
        FakeTarget other("i-2");
        REQUIRE(system.sendReport("i-1", serving.target, 10).status == 200);
        if (drains) {
            serving.drainUntilAcknowledged();
            REQUIRE(System::eventually(
                [&] { return system.sendReport("i-1", serving.target, 20, "draining").status == 200; }));
        } else {
            REQUIRE(System::eventually(
                [&] { return system.operatorCall("/api/Instances.Leave/i-1", "{}").status == 200; }));
        }
        system.restartAll();
        const int runs = serving.target.runs();
        REQUIRE(System::eventually([&] { return system.sendReport("i-1", serving.target, 9).status == 200; }));
        // What is reported later is used, so the late report has been read.
        system.sendReport("i-2", other, 1);
        REQUIRE(System::eventually([&] { return serving.statusOf("/p/x") == 200 && other.runs() > 0; }));
        for (int n = 0; n < 30; ++n) {
            CHECK(serving.statusOf("/p/x") == 200);
        }
        CHECK(serving.target.runs() == runs);
    }
}

// Guards against departures that are forgotten with the process, and against a file that only grows.
TEST_CASE("saved departures are read after a restart, and the file holds those of the retention time")
{
    const TemporaryFile file;
    TimePoint now{1000s};
    {
        DepartureStore store(file.path(), now);
        CHECK(store.saved().empty());
        store.add({departureOf("i-1"), departureOf("i-2", 7, Presence::Draining)}, now);
    }
    {
        DepartureStore store(file.path(), now);
        REQUIRE(idsIn(store) == std::vector<std::string>{"i-1", "i-2"});
        CHECK(store.saved()[1].presence == Presence::Draining);
        CHECK(store.saved()[1].sequence == 7);
        CHECK(store.saved()[1].startedAt == 1000ms);
        std::size_t most = 0;
        for (int n = 0; n < 3000; ++n) {
            now += 1s;
            store.add({departureOf("j-" + std::to_string(n))}, now);
            most = std::max(most, store.recordCount());
        }
        CHECK(most <= 256);
    }
    const std::vector<std::string> ids = idsIn(DepartureStore(file.path(), now));
    for (int n = 2940; n < 3000; ++n) {
        CHECK(std::ranges::count(ids, "j-" + std::to_string(n)) == 1);
    }
}

// Guards against a target that is back under its id and refused after a restart for a departure of long ago.
TEST_CASE("departures older than the retention time are removed from the file without another departure")
{
    const TemporaryFile file;
    TimePoint now{1000s};
    DepartureStore store(file.path(), now);
    store.add({departureOf("i-1")}, now);
    now += DepartureRetention;
    store.add({departureOf("i-2")}, now);
    store.removeExpired(now);
    CHECK(idsIn(DepartureStore(file.path(), now)) == std::vector<std::string>{"i-1", "i-2"});
    now += 1s;
    store.removeExpired(now);
    CHECK(idsIn(DepartureStore(file.path(), now)) == std::vector<std::string>{"i-2"});
    CHECK(store.recordCount() == 1);
}

// Guards against a control host that does not start, or loses what it could read, after a write was cut.
TEST_CASE("a torn record at the end of saved departures is dropped, and damage before it names the file")
{
    const TemporaryFile file;
    DepartureStore(file.path(), {}).add({departureOf("i-1"), departureOf("i-2")}, {});
    const auto size = std::filesystem::file_size(file.path());
    std::filesystem::resize_file(file.path(), size - 3);
    CHECK(idsIn(DepartureStore(file.path(), {})) == std::vector<std::string>{"i-1"});
    {
        DepartureStore(file.path(), {}).add({departureOf("i-3")}, {});
        std::fstream bytes(file.path(), std::ios::in | std::ios::out | std::ios::binary);
        bytes.seekp(20);
        bytes.put('\xff');
    }
    CHECK_THROWS_WITH(DepartureStore(file.path(), {}), Catch::Contains(file.path()));
}

// Guards against departures that count as saved although the disk failed, or that are not saved once it works again.
TEST_CASE("departures that could not be saved are saved with the next ones")
{
    const TemporaryFile file;
    TimePoint now{1000s};
    DepartureStore store(file.path(), now);
    store.add({departureOf("i-0")}, now);
    std::filesystem::create_directory(file.path() + ".new");
    now += 2 * DepartureRetention;
    std::vector<TargetReport> many;
    many.reserve(300);
    for (int n = 0; n < 300; ++n) {
        many.push_back(departureOf("j-" + std::to_string(n)));
    }
    store.add(many, now);
    now += 2 * DepartureRetention;
    CHECK_THROWS_AS(store.add(many, now), Error);
    std::filesystem::remove(file.path() + ".new");
    store.add({departureOf("i-1")}, now);
    CHECK(DepartureStore(file.path(), now).saved().size() == 301);
}

// Guards against a version that is reported as saved before all departures up to it are on disk.
TEST_CASE("a peer is told a version as saved only once what was merged up to it is on disk")
{
    CHECK(rc::check([] {
        SavedUpdates updates;
        struct Merge {
            std::uint64_t theirs = 0; ///< version of the peer
            std::uint64_t own = 0;
        };
        std::vector<Merge> merges;
        std::uint64_t theirs = 1;
        std::uint64_t own = 0;
        for (int n = 0; n < 200; ++n) {
            if (*rc::gen::inRange(0, 4) != 0) {
                theirs += *rc::gen::inRange<std::uint64_t>(0, 3);
                own += *rc::gen::inRange<std::uint64_t>(0, 3);
                updates.recordMerge("p", "e", theirs, own);
                merges.push_back({theirs, own});
            } else {
                updates.recordSaved(*rc::gen::inRange<std::uint64_t>(0, own + 1));
            }
            const std::uint64_t saved = updates.savedOf("p", "e");
            const auto isOnDisk = [&](const Merge &it) {
                return it.theirs >= saved && it.own <= updates.saved();
            };
            RC_ASSERT(saved == 0U || std::ranges::any_of(merges, isOnDisk));
        }
        updates.recordSaved(own);
        RC_ASSERT(updates.savedOf("p", "e") == (merges.empty() ? 0U : theirs));
        RC_ASSERT(updates.savedOf("p", "another") == 0U);
        updates.recordMerge("p", "another", 3, own + 1);
        RC_ASSERT(updates.savedOf("p", "another") == 0U);
        RC_ASSERT(updates.savedOf("p", "e") == 0U);
    }));
}

// Guards against an order of reports, merges, saves and restarts after which a departed target counts as ready.
TEST_CASE("a departure that a majority has saved outlasts a restart of all hosts, whatever reports are late")
{
    constexpr std::size_t Hosts = 3;
    CHECK(rc::check([] {
        std::vector<Registry> registries(Hosts);
        std::vector<std::map<std::string, TargetReport>> disks(Hosts);
        std::vector<TargetReport> sent;
        bool isAcknowledged = false;
        std::uint64_t sequence = 0;
        TimePoint now{1000s};
        const auto report = [&](Presence presence) {
            TargetReport it = departureOf("t", ++sequence, presence);
            sent.push_back(it);
            return it;
        };
        const auto host = [] {
            return *rc::gen::inRange<std::size_t>(0, Hosts);
        };
        const auto merge = [&](std::size_t from, std::size_t to) {
            registries[to].merge(registries[from].receivedSince(0, now), now);
        };
        const auto save = [&](std::size_t n) {
            for (const TargetReport &it : registries[n].departuresSince(0)) {
                disks[n][it.id] = it;
            }
        };
        for (int n = 0; n < 30; ++n) {
            now += 10ms;
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                registries[host()].receive(isAcknowledged ? *rc::gen::elementOf(sent) : report(Presence::Ready), now);
                break;
            case 1:
                if (!sent.empty()) {
                    registries[host()].receive(*rc::gen::elementOf(sent), now); // late, or a second time
                }
                break;
            case 2:
                if (!isAcknowledged) {
                    const std::size_t at = host();
                    registries[at].receive(report(Presence::Gone), now);
                    save(at);
                    const std::size_t other = (at + 1) % Hosts;
                    merge(at, other);
                    save(other);
                    isAcknowledged = true;
                }
                break;
            case 3:
                merge(host(), host());
                break;
            case 4:
                save(host());
                break;
            default:
                for (std::size_t k = 0; k < Hosts; ++k) {
                    registries[k] = Registry();
                    RegistryChanges changes;
                    for (const auto &[id, it] : disks[k]) {
                        changes.targets.push_back({it, 0ms, false});
                    }
                    registries[k].merge(changes, now);
                }
            }
        }
        if (!isAcknowledged) {
            return;
        }
        for (std::size_t from = 0; from < Hosts; ++from) {
            for (std::size_t to = 0; to < Hosts; ++to) {
                merge(from, to);
            }
        }
        for (const Registry &it : registries) {
            RC_ASSERT(it.target("t")->report.presence == Presence::Gone);
        }
    }));
}
