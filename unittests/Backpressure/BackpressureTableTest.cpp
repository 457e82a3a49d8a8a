//===- BackpressureTableTest.cpp - Table of load signals from targets -------------===//
#include "pepperlug/Backpressure.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const Incarnation Target{"t1", 1000ms};
const TimePoint Start{1000s};

BackpressureSignal signalWithLimit(double perSecond)
{
    BackpressureSignal signal;
    signal.rateLimit = perSecond;
    return signal;
}

/// Records an answer that comes 100 ms after its request was sent.
bool recordSignal(BackpressureTable &table, const BackpressureSignal &signal, TimePoint now)
{
    return table.recordSignal(Target, signal, now - 100ms, now);
}

std::vector<BackpressureReport> allReports(const BackpressureTable &table, TimePoint now)
{
    return table.changedSince(0, UpdateRecipient::ControlHost, now);
}

} // namespace

TEST_CASE("a limit holds until answers to later requests show that it is no longer advertised")
{
    BackpressureTable table;
    CHECK(recordSignal(table, signalWithLimit(2), Start));
    CHECK(table.limitOf(Target) == 2.0);
    CHECK(table.limitedCount() == 1);
    // Answers that may have been created before the limit, and a single later one without it.
    CHECK_FALSE(table.recordSignal(Target, {}, Start - 1s, Start + 1500ms));
    CHECK_FALSE(table.recordSignal(Target, {}, Start + 500ms, Start + 1500ms));
    CHECK_FALSE(recordSignal(table, {}, Start + 1500ms));
    CHECK_FALSE(recordSignal(table, signalWithLimit(2), Start + 1600ms));
    CHECK_FALSE(recordSignal(table, {}, Start + 3s));
    CHECK(table.limitOf(Target) == 2.0);
    CHECK(recordSignal(table, {}, Start + 4s));
    CHECK_FALSE(table.limitOf(Target));
    CHECK(table.limitedCount() == 0);
}

TEST_CASE("an answer that overtook another one does not raise a limit")
{
    BackpressureTable table;
    recordSignal(table, signalWithLimit(8), Start);
    CHECK(table.recordSignal(Target, signalWithLimit(2), Start + 100ms, Start + 200ms));
    // Its request was sent before the lower limit was received, so the answer may be older than that limit.
    CHECK_FALSE(table.recordSignal(Target, signalWithLimit(8), Start + 100ms, Start + 300ms));
    CHECK(table.limitOf(Target) == 2.0);
    CHECK(table.recordSignal(Target, signalWithLimit(8), Start + 300ms, Start + 400ms));
    CHECK(table.limitOf(Target) == 8.0);
}

TEST_CASE("a malformed limit lifts none, and with a limit of 0 the target still gets some requests")
{
    BackpressureTable table;
    recordSignal(table, signalWithLimit(2), Start);
    BackpressureSignal malformed;
    malformed.malformedHeader = "limit: x";
    for (int n = 0; n < 5; ++n) {
        CHECK_FALSE(recordSignal(table, malformed, Start + 2s + n * 1s));
    }
    CHECK(table.limitOf(Target) == 2.0);
    recordSignal(table, signalWithLimit(0), Start + 10s);
    REQUIRE(table.limitOf(Target));
    CHECK(*table.limitOf(Target) > 0);
    CHECK(*table.limitOf(Target) < 0.1);
}

TEST_CASE("a limit belongs to one incarnation")
{
    BackpressureTable table;
    recordSignal(table, signalWithLimit(2), Start);
    CHECK_FALSE(table.limitOf({"t1", 2000ms}));
}

TEST_CASE("hosts that exchange reports agree, in any order and any number of times")
{
    BackpressureTable first;
    BackpressureTable second;
    BackpressureTable control;
    recordSignal(first, signalWithLimit(2), Start);
    for (const BackpressureReport &it : allReports(first, Start + 10ms)) {
        CHECK(control.merge(it, true, Start + 20ms));
        CHECK_FALSE(control.merge(it, true, Start + 20ms));
    }
    const auto reports = control.changedSince(0, UpdateRecipient::EntryHost, Start + 30ms);
    REQUIRE(reports.size() == 1);
    CHECK(second.merge(reports.front(), false, Start + 40ms));
    CHECK(second.limitOf(Target) == 2.0);
    // An entry host doesn't report what it received from others.
    CHECK_FALSE(second.hasChangedSince(0, UpdateRecipient::ControlHost));
    CHECK(control.hasChangedSince(0, UpdateRecipient::ControlHost));

    recordSignal(second, {}, Start + 2s);
    CHECK(recordSignal(second, {}, Start + 3s));
    for (const BackpressureReport &it : allReports(second, Start + 3s)) {
        CHECK(control.merge(it, true, Start + 3s));
        CHECK(first.merge(it, false, Start + 3s));
    }
    CHECK_FALSE(control.limitOf(Target));
    CHECK_FALSE(first.limitOf(Target));
    // A late copy of the first report changes nothing.
    CHECK_FALSE(control.merge(reports.front(), true, Start + 3s - reports.front().age));
    CHECK_FALSE(control.limitOf(Target));
}

TEST_CASE("an invalid report changes nothing")
{
    BackpressureTable table;
    CHECK_FALSE(table.merge({Target, true, -1, 0ms}, false, Start));
    CHECK_FALSE(table.merge({Target, true, std::numeric_limits<double>::quiet_NaN(), 0ms}, false, Start));
    CHECK_FALSE(table.merge({Target, false, 0, 0ms}, false, Start));
    CHECK(table.limitedCount() == 0);
}

TEST_CASE("a limit that is still advertised is reported again, one that no answer confirms expires")
{
    BackpressureTable table;
    recordSignal(table, signalWithLimit(2), Start);
    const std::uint64_t reportedVersion = table.version();
    CHECK_FALSE(recordSignal(table, signalWithLimit(2), Start + 1s));
    CHECK(table.version() == reportedVersion);
    CHECK_FALSE(recordSignal(table, signalWithLimit(2.1), Start + 6s));
    CHECK(table.hasChangedSince(reportedVersion, UpdateRecipient::ControlHost));
    CHECK(table.removeExpired(Start + 30s).empty());
    CHECK(table.removeExpired(Start + 40s) == std::vector<Incarnation>{Target});
    CHECK_FALSE(table.limitOf(Target));
}

TEST_CASE("a leaving target is reported to all, whatever its limit, and remembered for its incarnation")
{
    BackpressureTable table;
    BackpressureSignal signal = signalWithLimit(2);
    signal.isLeaving = true;
    CHECK(recordSignal(table, signal, Start));
    CHECK_FALSE(recordSignal(table, signal, Start + 1s));
    CHECK(table.isLeaving(Target));
    CHECK_FALSE(table.isLeaving({"t1", 2000ms}));
    BackpressureTable other;
    recordSignal(other, signalWithLimit(2), Start + 1s);
    for (const BackpressureReport &it : allReports(table, Start)) {
        CHECK(other.merge(it, false, Start + 2s));
        CHECK_FALSE(other.merge(it, false, Start + 2s));
    }
    CHECK(other.isLeaving(Target));
    // The limit expires; that the target is leaving stays known until it has certainly stopped.
    CHECK(table.removeExpired(Start + 1min) == std::vector<Incarnation>{Target});
    CHECK(table.removeExpired(Start + 1min).empty());
    CHECK(table.isLeaving(Target));
    CHECK_FALSE(table.limitOf(Target));
    table.removeExpired(Start + 11min);
    CHECK_FALSE(table.isLeaving(Target));
}
