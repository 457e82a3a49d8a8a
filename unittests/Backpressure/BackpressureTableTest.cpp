//===- BackpressureTableTest.cpp - Limits that targets name, as hosts keep them ---===//
#include "pepperlug/Backpressure.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const Incarnation Target{"t1", 1000ms};
const TimePoint Start{1000s};

BackpressureSignal limitOf(double perSecond)
{
    BackpressureSignal signal;
    signal.perSecond = perSecond;
    return signal;
}

/// An answer that comes 100 ms after its request was sent.
bool hear(BackpressureTable &table, const BackpressureSignal &signal, TimePoint now)
{
    return table.hear(Target, signal, now - 100ms, now);
}

std::vector<BackpressureReport> allOf(const BackpressureTable &table, TimePoint now)
{
    return table.changedSince(0, UpdateRecipient::ControlHost, now);
}

} // namespace

TEST_CASE("a limit holds until answers to later requests show that it is not named any more")
{
    BackpressureTable table;
    CHECK(hear(table, limitOf(2), Start));
    CHECK(table.limitOf(Target) == 2.0);
    CHECK(table.limited() == 1);
    // Answers that may have been made before, and a single one without the limit.
    CHECK_FALSE(table.hear(Target, {}, Start - 1s, Start + 1500ms));
    CHECK_FALSE(table.hear(Target, {}, Start + 500ms, Start + 1500ms));
    CHECK_FALSE(hear(table, {}, Start + 1500ms));
    CHECK_FALSE(hear(table, limitOf(2), Start + 1600ms));
    CHECK_FALSE(hear(table, {}, Start + 3s));
    CHECK(table.limitOf(Target) == 2.0);
    CHECK(hear(table, {}, Start + 4s));
    CHECK_FALSE(table.limitOf(Target));
    CHECK(table.limited() == 0);
}

TEST_CASE("an answer that overtook another one does not raise a limit")
{
    BackpressureTable table;
    hear(table, limitOf(8), Start);
    CHECK(table.hear(Target, limitOf(2), Start + 100ms, Start + 200ms));
    // Sent before the lower limit was known, so it may have been made before it.
    CHECK_FALSE(table.hear(Target, limitOf(8), Start + 100ms, Start + 300ms));
    CHECK(table.limitOf(Target) == 2.0);
    CHECK(table.hear(Target, limitOf(8), Start + 300ms, Start + 400ms));
    CHECK(table.limitOf(Target) == 8.0);
}

TEST_CASE("a limit that can't be read lifts none, and one of 0 leaves the target to be heard")
{
    BackpressureTable table;
    hear(table, limitOf(2), Start);
    BackpressureSignal unreadable;
    unreadable.unreadable = "limit: x";
    for (int n = 0; n < 5; ++n) {
        CHECK_FALSE(hear(table, unreadable, Start + 2s + n * 1s));
    }
    CHECK(table.limitOf(Target) == 2.0);
    hear(table, limitOf(0), Start + 10s);
    REQUIRE(table.limitOf(Target));
    CHECK(*table.limitOf(Target) > 0);
    CHECK(*table.limitOf(Target) < 0.1);
}

TEST_CASE("a limit belongs to one incarnation")
{
    BackpressureTable table;
    hear(table, limitOf(2), Start);
    CHECK_FALSE(table.limitOf({"t1", 2000ms}));
}

TEST_CASE("hosts that tell each other what they heard agree, in any order and any number of times")
{
    BackpressureTable first;
    BackpressureTable second;
    BackpressureTable control;
    hear(first, limitOf(2), Start);
    for (const BackpressureReport &it : allOf(first, Start + 10ms)) {
        CHECK(control.merge(it, true, Start + 20ms));
        CHECK_FALSE(control.merge(it, true, Start + 20ms));
    }
    const auto told = control.changedSince(0, UpdateRecipient::EntryHost, Start + 30ms);
    REQUIRE(told.size() == 1);
    CHECK(second.merge(told.front(), false, Start + 40ms));
    CHECK(second.limitOf(Target) == 2.0);
    // What comes from others is not told as its own.
    CHECK_FALSE(second.hasChangedSince(0, UpdateRecipient::ControlHost));
    CHECK(control.hasChangedSince(0, UpdateRecipient::ControlHost));

    hear(second, {}, Start + 2s);
    CHECK(hear(second, {}, Start + 3s));
    for (const BackpressureReport &it : allOf(second, Start + 3s)) {
        CHECK(control.merge(it, true, Start + 3s));
        CHECK(first.merge(it, false, Start + 3s));
    }
    CHECK_FALSE(control.limitOf(Target));
    CHECK_FALSE(first.limitOf(Target));
    // A late copy of the first report changes nothing.
    CHECK_FALSE(control.merge(told.front(), true, Start + 3s - told.front().age));
    CHECK_FALSE(control.limitOf(Target));
}

TEST_CASE("what another host tells wrongly changes nothing")
{
    BackpressureTable table;
    CHECK_FALSE(table.merge({Target, true, -1, 0ms}, false, Start));
    CHECK_FALSE(table.merge({Target, true, std::numeric_limits<double>::quiet_NaN(), 0ms}, false, Start));
    CHECK_FALSE(table.merge({Target, false, 0, 0ms}, false, Start));
    CHECK(table.limited() == 0);
}

TEST_CASE("a limit that is still named is renewed at other hosts, one that nobody names is forgotten")
{
    BackpressureTable table;
    hear(table, limitOf(2), Start);
    const std::uint64_t told = table.version();
    CHECK_FALSE(hear(table, limitOf(2), Start + 1s));
    CHECK(table.version() == told);
    CHECK_FALSE(hear(table, limitOf(2.1), Start + 6s));
    CHECK(table.hasChangedSince(told, UpdateRecipient::ControlHost));
    CHECK(table.forget(Start + 30s).empty());
    CHECK(table.forget(Start + 40s) == std::vector<Incarnation>{Target});
    CHECK_FALSE(table.limitOf(Target));
}

TEST_CASE("that a target leaves is told to all, whatever is known of its limit, and kept for its incarnation")
{
    BackpressureTable table;
    BackpressureSignal signal = limitOf(2);
    signal.isLeaving = true;
    CHECK(hear(table, signal, Start));
    CHECK_FALSE(hear(table, signal, Start + 1s));
    CHECK(table.isLeaving(Target));
    CHECK_FALSE(table.isLeaving({"t1", 2000ms}));
    BackpressureTable other;
    hear(other, limitOf(2), Start + 1s);
    for (const BackpressureReport &it : allOf(table, Start)) {
        CHECK(other.merge(it, false, Start + 2s));
        CHECK_FALSE(other.merge(it, false, Start + 2s));
    }
    CHECK(other.isLeaving(Target));
    // The limit goes, the departure stays until the target has surely ended.
    CHECK(table.forget(Start + 1min) == std::vector<Incarnation>{Target});
    CHECK(table.forget(Start + 1min).empty());
    CHECK(table.isLeaving(Target));
    CHECK_FALSE(table.limitOf(Target));
    table.forget(Start + 11min);
    CHECK_FALSE(table.isLeaving(Target));
}
