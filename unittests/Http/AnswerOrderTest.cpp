//===- AnswerOrderTest.cpp - Requests and answers of a connection ---------===//
#include "Http/AnswerOrder.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace pepperlug;

namespace
{

struct Request : OwedAnswer {
    std::size_t number = 0;
    bool isReplaced = false;
};
using RequestPtr = std::shared_ptr<Request>;

constexpr std::uint64_t HeldBytes = 100;

/// A connection whose caller reads at once.
class Caller
{
public:
    explicit Caller(std::size_t inProgress = 16)
        : m_order({HeldBytes, inProgress})
    {
    }

    void send()
    {
        auto request = std::make_shared<Request>();
        request->number = all.size();
        all.push_back(request);
        m_order.add(request);
        passOn();
    }

    void begin(Request &request, std::uint64_t bytesToCome)
    {
        m_order.begin(request, "h", bytesToCome, false);
        receive();
    }

    void give(Request &request, std::size_t bytes)
    {
        m_order.give(request, std::string(bytes, 'x'));
        receive();
    }

    void breakOff(Request &request)
    {
        request.isReplaced = m_order.breakOff(request, "f", false);
        receive();
    }

    std::vector<RequestPtr> inProgress() const
    {
        std::vector<RequestPtr> found;
        std::ranges::copy_if(all, std::back_inserter(found),
                             [](const RequestPtr &it) { return it->isPassedOn && !it->isWhole(); });
        return found;
    }

    std::size_t passedOn() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(all, [](const RequestPtr &it) { return it->isPassedOn; }));
    }

    /// Whether an answer leaves in parts while a request behind it is in progress.
    bool isExposed() const
    {
        const std::vector<RequestPtr> open = inProgress();
        return open.size() > 1 && open.front()->hasLeft;
    }

    std::vector<RequestPtr> all; ///< in the order in which they were sent
    std::vector<std::size_t> answered; ///< numbers of those whose answers are whole, replaced ones included
    std::string received;
    bool isClosed = false;
    bool mayHold = true;

private:
    void receive()
    {
        while (!isClosed) {
            const RequestPtr it = m_order.sendNext(mayHold);
            if (!it) {
                break;
            }
            received += std::exchange(it->unsent, {});
            if (it->isWhole()) {
                isClosed = it->closesAfter;
                if (!it->isBrokenOff) {
                    answered.push_back(it->number);
                }
            }
        }
        passOn();
    }

    void passOn()
    {
        while (!isClosed) {
            const RequestPtr it = m_order.nextToPassOn();
            if (!it) {
                break;
            }
            it->isPassedOn = true;
        }
    }

    AnswerOrder<Request> m_order;
};

/// Does one of the things that may happen on a connection.
void step(Caller &caller, std::uint64_t longest)
{
    const std::vector<RequestPtr> open = caller.inProgress();
    const auto what = *rc::gen::inRange(0, 4);
    if (what == 0 || open.empty()) {
        caller.send();
        return;
    }
    Request &it = *open[*rc::gen::inRange<std::size_t>(0, open.size())];
    if (!it.hasBegun) {
        caller.begin(it, *rc::gen::inRange<std::uint64_t>(0, longest));
    } else if (what == 1) {
        caller.breakOff(it);
    } else {
        caller.give(it, *rc::gen::inRange<std::size_t>(1, 60));
    }
}

/// Ends all that is in progress, and so what waits for it.
void finish(Caller &caller)
{
    for (std::vector<RequestPtr> open = caller.inProgress(); !open.empty() && !caller.isClosed;
         open = caller.inProgress()) {
        Request &it = *open.back();
        if (!it.hasBegun) {
            caller.begin(it, 0);
        } else {
            caller.give(it, it.bytesToCome);
        }
    }
}

} // namespace

// Guards against a request that has run and has no answer, since one ahead of it broke off.
TEST_CASE("what is passed on is answered in its turn, whatever breaks off")
{
    CHECK(rc::check([] {
        Caller caller(*rc::gen::inRange<std::size_t>(1, 5));
        const int steps = *rc::gen::inRange(1, 60);
        for (int n = 0; n < steps && !caller.isClosed; ++n) {
            step(caller, HeldBytes - 1);
        }
        finish(caller);
        std::vector<std::size_t> numbers;
        for (const RequestPtr &it : caller.all) {
            if (it->isPassedOn && !it->isBrokenOff) {
                numbers.push_back(it->number);
            }
        }
        RC_ASSERT(caller.answered == numbers);
        // A connection that goes on leaves nothing waiting.
        RC_ASSERT(caller.isClosed || numbers.size() == caller.all.size());
    }));
}

// Guards against a connection that loses requests again and again, since its answers are too long to be held.
TEST_CASE("behind answers that are too long to be held, requests are lost at most once")
{
    CHECK(rc::check([] {
        Caller caller;
        const int steps = *rc::gen::inRange(1, 80);
        bool wasExposed = false;
        for (int n = 0; n < steps && !caller.isClosed; ++n) {
            const std::size_t before = caller.passedOn();
            step(caller, 3 * HeldBytes);
            const bool isOneMore = caller.passedOn() > before;
            RC_ASSERT(!(wasExposed && isOneMore && caller.inProgress().size() > 1));
            wasExposed |= caller.isExposed();
        }
        finish(caller);
        RC_ASSERT(std::ranges::is_sorted(caller.answered));
        RC_ASSERT(caller.isClosed || caller.answered.size() == caller.all.size());
    }));
}

TEST_CASE("an answer leaves in parts where no request behind it is passed on, and none is until it is whole")
{
    Caller caller;
    caller.send();
    caller.begin(*caller.all[0], 10);
    caller.give(*caller.all[0], 4);
    CHECK(caller.received == "hxxxx");
    caller.send();
    CHECK_FALSE(caller.all[1]->isPassedOn);
    SECTION("it ends")
    {
        caller.give(*caller.all[0], 6);
        CHECK(caller.all[1]->isPassedOn);
        CHECK_FALSE(caller.isClosed);
    }
    SECTION("it breaks off")
    {
        caller.breakOff(*caller.all[0]);
        CHECK_FALSE(caller.all[1]->isPassedOn);
        CHECK(caller.isClosed);
        CHECK(caller.received == "hxxxx");
    }
}

TEST_CASE("an answer is held while a request behind it is in progress, and replaced if it breaks off")
{
    Caller caller;
    caller.send();
    caller.send();
    caller.begin(*caller.all[0], 10);
    caller.give(*caller.all[0], 4);
    caller.begin(*caller.all[1], 0);
    CHECK(caller.received.empty());
    SECTION("it ends")
    {
        caller.give(*caller.all[0], 6);
        CHECK(caller.received == "hxxxxxxxxxxh");
    }
    SECTION("it breaks off")
    {
        caller.breakOff(*caller.all[0]);
        CHECK(caller.received == "fh");
        CHECK_FALSE(caller.isClosed);
    }
    SECTION("there is no memory to hold it")
    {
        caller.mayHold = false;
        caller.give(*caller.all[0], 1);
        CHECK(caller.received == "hxxxxx");
    }
}

TEST_CASE("after an answer that was too long to be held, requests are passed on one at a time")
{
    Caller caller;
    caller.send();
    caller.send();
    caller.begin(*caller.all[0], 2 * HeldBytes);
    CHECK(caller.received == "h");
    caller.give(*caller.all[0], 2 * HeldBytes);
    caller.send();
    CHECK(caller.all[1]->isPassedOn);
    CHECK_FALSE(caller.all[2]->isPassedOn);
    caller.begin(*caller.all[1], 0);
    CHECK(caller.all[2]->isPassedOn);
}

TEST_CASE("an answer of which nothing has left can be taken back, and another one leaves in its place")
{
    Caller caller;
    caller.send();
    caller.send();
    caller.begin(*caller.all[0], 10);
    caller.give(*caller.all[0], 4);
    CHECK(AnswerOrder<Request>::takeBack(*caller.all[0]));
    CHECK(caller.received.empty());
    caller.begin(*caller.all[1], 0);
    caller.begin(*caller.all[0], 2);
    caller.give(*caller.all[0], 2);
    CHECK(caller.received == "hxxh");
    CHECK_FALSE(AnswerOrder<Request>::takeBack(*caller.all[0]));
}
