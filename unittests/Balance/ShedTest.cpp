//===- ShedTest.cpp - Targets that shed although they have free slots -----===//
#include "BalanceFixture.h"

#include "Balance/RetryAdvice.h"
#include "Balance/ShedWatch.h"

#include <catch2/catch.hpp>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr TargetLoad Idle{1, 0, 8};
constexpr TargetLoad Full{8, 4, 8};

/// An entry host with several targets, some of which shed.
class SheddingHost : public Host
{
public:
    explicit SheddingHost(unsigned targets)
    {
        useTable();
        for (unsigned n = 0; n < targets; ++n) {
            report(targetOf("t" + std::to_string(n), "z1", 8));
        }
    }

    /// Sends a request whose first attempt is shed with a load. Returns the targets of its attempts.
    std::vector<std::string> shed(const std::string &key, TargetLoad load)
    {
        now += 500ms;
        const RequestId id = request("/once/", key);
        const std::string first = find<StartAttempt>()->target;
        reduce(AttemptEnded{id, 1, AttemptOutcome::Shed, load, 0});
        const auto *attempt = find<StartAttempt>();
        if (attempt == nullptr) {
            return {first};
        }
        const std::string second = attempt->target;
        end(id, 2, AttemptOutcome::Answered);
        return {first, second};
    }

    void answer(const std::string &key)
    {
        now += 500ms;
        end(request("/once/", key), 1, AttemptOutcome::Answered);
    }
};

std::string keyOf(unsigned n)
{
    return "key-" + std::to_string(n);
}

} // namespace

TEST_CASE("where most targets shed with free slots, a request is tried again at the target that knows its key")
{
    SheddingHost host(40);
    for (unsigned n = 0; n < 8; ++n) {
        host.shed(keyOf(n), Idle);
    }
    const std::vector<std::string> targets = host.shed("key", Idle);
    REQUIRE(targets.size() == 2);
    CHECK(targets[0] == targets[1]);
}

TEST_CASE("where one target sheds, or targets are full, a request is tried at another one")
{
    SheddingHost oneSheds(40);
    for (unsigned n = 0; n < 8; ++n) {
        oneSheds.answer(keyOf(n));
    }
    for (unsigned n = 0; n < 4; ++n) {
        const std::vector<std::string> targets = oneSheds.shed("key", Idle);
        REQUIRE(targets.size() == 2);
        CHECK(targets[0] != targets[1]);
    }
    SheddingHost allFull(40);
    for (unsigned n = 0; n < 8; ++n) {
        allFull.shed(keyOf(n), Full);
    }
    const std::vector<std::string> targets = allFull.shed("key", Full);
    REQUIRE(targets.size() == 2);
    CHECK(targets[0] != targets[1]);
}

TEST_CASE("a caller whose request was shed with free slots need not wait for a slot")
{
    struct Case {
        const char *what;
        TargetLoad load;
        Milliseconds most;
    };
    const std::vector<Case> cases{{"free slots", Idle, OtherHostRetryAfter}, {"full", Full, 2 * MaxRetryAfter}};
    for (const Case &it : cases) {
        INFO(it.what);
        SheddingHost host(2);
        const RequestId id = host.request("/once/", "key");
        host.reduce(AttemptEnded{id, 1, AttemptOutcome::Shed, it.load, 0});
        host.reduce(AttemptEnded{id, 2, AttemptOutcome::Shed, it.load, 0});
        const auto *refused = host.find<RefuseRequest>();
        REQUIRE(refused != nullptr);
        CHECK(refused->reason == Refusal::Overloaded);
        CHECK(refused->retryAfter > 0ms);
        CHECK(refused->retryAfter <= it.most);
    }
}

TEST_CASE("sheds are widespread if at least four targets, and half of those tried lately, shed")
{
    struct Case {
        unsigned shedding;
        unsigned answering;
        bool isWidespread;
    };
    const std::vector<Case> cases{{0, 8, false}, {3, 0, false}, {4, 4, true},
                                  {4, 5, false}, {9, 7, true},  {16, 0, true}};
    for (const Case &it : cases) {
        INFO(it.shedding << " shed, " << it.answering << " answer");
        ShedWatch sheds;
        for (unsigned n = 0; n < it.shedding; ++n) {
            sheds.record("s" + std::to_string(n), true);
        }
        for (unsigned n = 0; n < it.answering; ++n) {
            sheds.record("a" + std::to_string(n), false);
        }
        CHECK(sheds.isWidespread() == it.isWidespread);
    }
    ShedWatch recovered;
    for (unsigned n = 0; n < 16; ++n) {
        recovered.record("t" + std::to_string(n), true);
    }
    for (unsigned n = 0; n < 16; ++n) {
        recovered.record("t" + std::to_string(n), false);
    }
    CHECK_FALSE(recovered.isWidespread());
}
