//===- IntakeBudgetTest.cpp - Memory for bytes from outside ---------------===//
#include "Support/IntakeBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Kilobyte = 1000;
constexpr std::uint64_t Budget = 800 * Kilobyte;
constexpr std::uint64_t Reserved = Budget / 8;
constexpr std::uint64_t Large = 130 * Kilobyte;
constexpr std::uint64_t Small = 4 * Kilobyte;
constexpr auto Stall = IntakeBudget::StallTime;

/// Fills the room of large requests with equal ones.
std::vector<IntakeId> fill(IntakeBudget &budget, TimePoint now)
{
    std::vector<IntakeId> all;
    while (budget.heldBytes() + Large <= Budget - Reserved) {
        all.push_back(budget.add(now));
        REQUIRE(budget.hold(all.back(), Large, now).isAdmitted);
    }
    return all;
}

} // namespace

TEST_CASE("a request within its own limits is admitted while nothing else goes on, however long it is")
{
    IntakeBudget budget(Budget);
    const IntakeId id = budget.add({});
    CHECK(budget.hasRoomFor(id, 10 * Budget, {}));
    CHECK(budget.hold(id, 10 * Budget, {}).isAdmitted);
    SECTION("and small ones beside it")
    {
        const IntakeId other = budget.add({});
        CHECK(budget.hold(other, Small, {}).isAdmitted);
        CHECK_FALSE(budget.hasRoomFor(other, Large, {}));
    }
}

TEST_CASE("a large request that has no room is refused, and a small one is admitted")
{
    IntakeBudget budget(Budget);
    fill(budget, {});
    const IntakeId large = budget.add({});
    CHECK_FALSE(budget.hasRoomFor(large, Large, {}));
    const IntakeBudget::Verdict verdict = budget.hold(large, Large, {});
    CHECK_FALSE(verdict.isAdmitted);
    CHECK(verdict.givenUp.empty());
    CHECK(budget.hold(large, Small, {}).isAdmitted);
    CHECK(budget.hold(budget.add({}), Small, {}).isAdmitted);
}

TEST_CASE("what makes no progress is given up for others, the largest first")
{
    IntakeBudget budget(Budget);
    const std::vector<IntakeId> all = fill(budget, {});
    REQUIRE(budget.hold(all[2], Large + Kilobyte, TimePoint(Stall / 2)).isAdmitted);
    const TimePoint later(2 * Stall);
    const IntakeId id = budget.add(later);
    CHECK(budget.hold(id, Large, later).givenUp == std::vector{all[2]});
}

TEST_CASE("what makes progress is kept before what makes none, though it is larger")
{
    IntakeBudget budget(Budget);
    const std::vector<IntakeId> all = fill(budget, {});
    const TimePoint later(2 * Stall);
    for (std::size_t n = 1; n < all.size(); ++n) {
        REQUIRE(budget.hold(all[n], Large + 1, later).isAdmitted);
    }
    const IntakeId id = budget.add(later);
    CHECK(budget.hold(id, Large, later).givenUp == std::vector{all[0]});
}

TEST_CASE("what comes in small pieces is given up for what comes faster")
{
    IntakeBudget budget(Budget);
    const std::vector<IntakeId> all = fill(budget, {});
    const TimePoint later(10 * Stall);
    for (const IntakeId it : all) {
        REQUIRE(budget.hold(it, Large + 1, later).isAdmitted);
    }
    const IntakeId id = budget.add(later);
    const IntakeBudget::Verdict verdict = budget.hold(id, Large, later);
    CHECK(verdict.isAdmitted);
    CHECK(verdict.givenUp.size() == 1);
}

TEST_CASE("a whole request is not given up")
{
    IntakeBudget budget(Budget);
    for (const IntakeId it : fill(budget, {})) {
        budget.setWhole(it);
    }
    const TimePoint later(10 * Stall);
    const IntakeId id = budget.add(later);
    CHECK_FALSE(budget.hold(id, Large, later).isAdmitted);
}

TEST_CASE("what was given up or has ended does not count and gets nothing")
{
    IntakeBudget budget(Budget);
    const std::vector<IntakeId> all = fill(budget, {});
    budget.remove(all[0]);
    CHECK_FALSE(budget.hold(all[0], Small, {}).isAdmitted);
    CHECK(budget.hold(budget.add({}), Large, {}).isAdmitted);
}

TEST_CASE("in any order of events the sum keeps its bound, nothing whole is given up, and small requests find room")
{
    const bool holds = rc::check([] {
        IntakeBudget budget(Budget);
        struct Known {
            std::uint64_t bytes = 0;
            bool isWhole = false;
        };
        std::map<IntakeId, Known> known;
        TimePoint now{};
        const auto sumOf = [&](bool onlySmall) {
            std::uint64_t sum = 0;
            for (const auto &[id, it] : known) {
                sum += !onlySmall || it.bytes <= IntakeBudget::SmallBytes ? it.bytes : 0;
            }
            return sum;
        };
        const auto any = [&] {
            return std::next(known.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(known)));
        };
        for (int step = *rc::gen::inRange(0, 200); step > 0; --step) {
            now += *rc::gen::element<Duration>(0ms, 10ms, 400ms, 1500ms);
            const int what = known.empty() ? 0 : *rc::gen::inRange(0, 10);
            if (what < 3) {
                known[budget.add(now)];
            } else if (what == 3) {
                const auto it = any();
                budget.remove(it->first);
                known.erase(it);
            } else if (what == 4) {
                const auto it = any();
                budget.setWhole(it->first);
                it->second.isWhole = true;
            } else {
                const auto it = any();
                const std::uint64_t bytes = *rc::gen::element<std::uint64_t>(1, Small, 30 * Kilobyte, Large, 3 * Large);
                const std::uint64_t others = sumOf(false) - it->second.bytes;
                const std::uint64_t smallBefore = sumOf(true);
                const bool isMore = bytes > it->second.bytes;
                const IntakeBudget::Verdict verdict = budget.hold(it->first, bytes, now);
                for (const IntakeId id : verdict.givenUp) {
                    RC_ASSERT(id != it->first);
                    RC_ASSERT(!known.at(id).isWhole);
                    known.erase(id);
                }
                it->second.bytes = verdict.isAdmitted ? bytes : it->second.bytes;
                RC_ASSERT(verdict.isAdmitted || verdict.givenUp.empty());
                RC_ASSERT(verdict.isAdmitted || (isMore && others > 0));
                const bool hasReserve = bytes <= IntakeBudget::SmallBytes && smallBefore + bytes <= Reserved;
                RC_ASSERT(verdict.isAdmitted || !hasReserve);
            }
            RC_ASSERT(budget.heldBytes() == sumOf(false));
            RC_ASSERT(budget.smallBytes() == sumOf(true));
            // A single one that is longer than all of it comes on top of the room of small ones.
            RC_ASSERT(budget.heldBytes() <= std::max(Budget, 3 * Large + Reserved) + Reserved);
        }
    });
    CHECK(holds);
}
