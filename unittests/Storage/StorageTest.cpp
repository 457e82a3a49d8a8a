//===- StorageTest.cpp - Crashes and damage at every byte -----------------===//
#include "pepperlug/Storage.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pepperlug;

namespace
{

/// A folder of its own for each test, removed at the end.
class TestFolder
{
public:
    TestFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "pepperlug-test-XXXXXX";
        path = mkdtemp(pattern.data());
    }

    ~TestFolder()
    {
        std::filesystem::remove_all(path);
    }

    TestFolder(const TestFolder &) = delete;
    TestFolder &operator=(const TestFolder &) = delete;

    std::string path;
};

void writeFile(const std::string &path, const std::string &bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

PersistLog entryEffect(std::uint64_t index, const std::string &data)
{
    return {std::nullopt, std::nullopt, {{1, index, EntryKind::Command, data}}};
}

/// A file in memory whose writes or syncs fail when told to.
class FaultyFile
{
public:
    struct State {
        std::string bytes;
        bool failsAppend = false;
        bool failsSync = false;
        int syncs = 0;
    };

    explicit FaultyFile(std::shared_ptr<State> state)
        : m_state(std::move(state))
    {
    }

    std::string readAll()
    {
        return m_state->bytes;
    }

    void append(const std::string &bytes)
    {
        if (m_state->failsAppend) {
            m_state->bytes += bytes.substr(0, bytes.size() / 2); // a full disk takes a part
            throw Error("write", name(), "no space left on device");
        }
        m_state->bytes += bytes;
    }

    void truncate(std::uint64_t size)
    {
        m_state->bytes.resize(size);
    }

    void sync()
    {
        if (m_state->failsSync) {
            throw Error("sync", name(), "input/output error");
        }
        ++m_state->syncs;
    }

    std::string name() const
    {
        return "faulty";
    }

private:
    std::shared_ptr<State> m_state;
};

} // namespace

TEST_CASE("a log cut at any byte gives back a prefix of whole records")
{
    std::string bytes;
    std::vector<std::size_t> ends;
    for (int n = 0; n < 5; ++n) {
        bytes +=
            frameRecord(static_cast<std::uint8_t>(n), "record " + std::string(static_cast<std::size_t>(n) * 7, 'x'));
        ends.push_back(bytes.size());
    }
    for (std::size_t size = 0; size <= bytes.size(); ++size) {
        const ScannedRecords scanned = scanRecords(bytes.substr(0, size), "log");
        const auto whole = static_cast<std::size_t>(
            std::count_if(ends.begin(), ends.end(), [&](std::size_t end) { return end <= size; }));
        CHECK(scanned.records.size() == whole);
        CHECK(scanned.goodBytes == (whole == 0 ? 0 : ends[whole - 1]));
        CHECK(scanned.hasTornTail == (scanned.goodBytes != size));
    }
}

TEST_CASE("a bit flipped anywhere is found, and named with file and offset")
{
    const std::string first = frameRecord(1, "first record");
    const std::string bytes = first + frameRecord(2, "second record") + frameRecord(3, "third");
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        std::string damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
        try {
            scanRecords(damaged, "folder/log");
            FAIL("the damage at byte " << n << " was not found");
        } catch (const Error &ex) {
            CHECK(ex.peer() == "folder/log");
            const std::size_t offset = n < first.size() ? 0
                : n < first.size() + frameRecord(2, "second record").size()
                ? first.size()
                : first.size() + frameRecord(2, "second record").size();
            CHECK(ex.reason().ends_with("at offset " + std::to_string(offset)));
        }
    }
}

TEST_CASE("a tail of zeros is torn, not damaged")
{
    const std::string good = frameRecord(1, "record");
    const ScannedRecords scanned = scanRecords(good + std::string(100, '\0'), "log");
    CHECK(scanned.records.size() == 1);
    CHECK(scanned.hasTornTail);
}

TEST_CASE("after a failed write or sync nothing more is promised until a restart")
{
    for (const bool failsAppend : {true, false}) {
        auto state = std::make_shared<FaultyFile::State>();
        RecordLog<FaultyFile> log{FaultyFile(state)};
        log.add(1, "kept");
        log.sync();
        state->failsAppend = failsAppend;
        state->failsSync = !failsAppend;
        log.add(1, "failed");
        CHECK_THROWS_AS(log.sync(), Error);
        state->failsAppend = false;
        state->failsSync = false;
        CHECK_THROWS_AS(log.sync(), Error); // a later success must not cover it up
        RecordLog<FaultyFile> again{FaultyFile(state)};
        const std::vector<StoredRecord> records = again.takeRecords();
        REQUIRE_FALSE(records.empty());
        CHECK(records[0].data == "kept");
    }
}

TEST_CASE("the control store gives back what was synced, in order, with truncations")
{
    const TestFolder test;
    {
        const DataFolder folder(test.path);
        ControlStore store(folder);
        store.add({HardState{3, "c2"}, std::nullopt, {}});
        for (std::uint64_t n = 1; n <= 5; ++n) {
            store.add(entryEffect(n, "e" + std::to_string(n)));
        }
        store.add({std::nullopt, 4, {{2, 4, EntryKind::Command, "other"}}});
        store.sync();
    }
    const DataFolder folder(test.path);
    const RecoveredLog recovered = ControlStore(folder).recovered();
    CHECK(recovered.hardState == HardState{3, "c2"});
    REQUIRE(recovered.entries.size() == 4);
    CHECK(recovered.entries[3].data == "other");
}

TEST_CASE("a snapshot takes the place of the entries that it covers, also where a crash came in between")
{
    const TestFolder test;
    std::string oldLog;
    {
        const DataFolder folder(test.path);
        ControlStore store(folder);
        for (std::uint64_t n = 1; n <= 5; ++n) {
            store.add(entryEffect(n, "e" + std::to_string(n)));
        }
        store.sync();
        oldLog = readFile(folder.file("log"));
        store.save({{3, 1, {{"c1", "initial", true}}, "state"},
                    {1, ""},
                    {{1, 4, EntryKind::Command, "e4"}, {1, 5, EntryKind::Command, "e5"}},
                    false});
        store.add(entryEffect(6, "e6"));
        store.sync();
    }
    {
        const DataFolder folder(test.path);
        const RecoveredLog recovered = ControlStore(folder).recovered();
        CHECK(recovered.snapshot.index == 3);
        CHECK(recovered.snapshot.data == "state");
        REQUIRE(recovered.entries.size() == 3);
        CHECK(recovered.entries.back().data == "e6");
    }
    // The crash came after the snapshot was put in place and before the log was: the old log overlaps.
    writeFile(test.path + "/log", oldLog);
    const DataFolder folder(test.path);
    const RecoveredLog recovered = ControlStore(folder).recovered();
    REQUIRE(recovered.entries.size() == 2);
    CHECK(recovered.entries[0].index == 4);
}

TEST_CASE("missing and foreign files are refused with their names")
{
    const TestFolder test;
    {
        const DataFolder folder(test.path);
        ControlStore store(folder);
        store.save({{9, 1, {}, "state"}, {1, ""}, {{1, 10, EntryKind::Command, "e"}}, false});
    }
    SECTION("the snapshot is missing")
    {
        std::filesystem::remove(test.path + "/snapshot");
        const DataFolder folder(test.path);
        CHECK_THROWS_WITH(ControlStore(folder), Catch::Contains("/log") && Catch::Contains("missing"));
    }
    SECTION("the snapshot is damaged")
    {
        std::string bytes = readFile(test.path + "/snapshot");
        bytes[bytes.size() / 2] ^= 1;
        writeFile(test.path + "/snapshot", bytes);
        const DataFolder folder(test.path);
        CHECK_THROWS_WITH(ControlStore(folder), Catch::Contains("/snapshot") && Catch::Contains("offset"));
    }
    SECTION("the format is of another version")
    {
        writeFile(test.path + "/FORMAT", "pepperlug data 2\n");
        CHECK_THROWS_WITH(DataFolder(test.path), Catch::Contains("/FORMAT"));
    }
    SECTION("the format is missing beside a log")
    {
        std::filesystem::remove(test.path + "/FORMAT");
        CHECK_THROWS_WITH(DataFolder(test.path), Catch::Contains("/FORMAT"));
    }
    SECTION("another process holds the folder")
    {
        const DataFolder holder(test.path);
        CHECK_THROWS_WITH(DataFolder(test.path), Catch::Contains("another process"));
    }
}

TEST_CASE("the disk id is drawn once, and never beside a log that has lost it")
{
    const TestFolder test;
    std::string id;
    {
        DataFolder folder(test.path);
        id = folder.diskId(false);
        CHECK(id != "initial");
        CHECK(folder.diskId(true) == id);
        ControlStore store(folder);
        store.add(entryEffect(1, "e"));
        store.sync();
    }
    std::filesystem::remove(test.path + "/DISK");
    DataFolder folder(test.path);
    CHECK_THROWS_WITH(folder.diskId(true), Catch::Contains("/DISK"));
}

TEST_CASE("the ledger store keeps its id and its claims; a lost file means a new id")
{
    const TestFolder test;
    std::string id;
    {
        const DataFolder folder(test.path);
        LedgerStore store(folder);
        id = store.ledgerId();
        store.add({"h~x~1.k", "digest", ClaimState::Claimed, nullptr, std::chrono::seconds(1)});
        store.add({"h~x~1.k", "digest", ClaimState::Answered,
                   std::make_shared<Answer>(Answer{201, {{"A", "b"}}, "body"}), std::chrono::seconds(2)});
        store.sync();
    }
    {
        const DataFolder folder(test.path);
        LedgerStore store(folder);
        CHECK(store.ledgerId() == id);
        const std::vector<LedgerRecord> records = store.takeRecords();
        REQUIRE(records.size() == 2);
        REQUIRE(records[1].answer);
        CHECK(records[1].answer->status == 201);
        CHECK(records[1].answer->body == "body");
        CHECK(records[1].answer->headers == std::vector<HeaderField>{{"A", "b"}});
    }
    std::filesystem::remove(test.path + "/ledger");
    const DataFolder folder(test.path);
    CHECK(LedgerStore(folder).ledgerId() != id);
}
