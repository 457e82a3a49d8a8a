//===- SurplusRefusalTest.cpp - Second refusals of a target ---------------===//
#include "Fleet/StubControl.h"
#include "unittests/Http/SurplusTarget.h"

#include <algorithm>
#include <map>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;
using pepperlug::test::SurplusTarget;

namespace
{

/// Sends a request that runs at most once, under an id of the caller's choice; its status.
unsigned statusOf(const Entry &entry, const std::string &id)
{
    constexpr std::size_t StatusAt = 9;
    RawSocket caller(*Address::parse(entry.address()));
    caller.send("POST /once/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    const std::string answer = caller.readToEnd();
    return answer.size() > StatusAt ? static_cast<unsigned>(std::stoul(answer.substr(StatusAt))) : 0;
}

} // namespace

// Guards against a request that runs at most once, has run, and is refused as one that has not.
TEST_CASE("no request is refused that a target runs at the second attempt")
{
    constexpr int Requests = 100;
    std::array<SurplusTarget, 4> targets; // a host sends to the same target again where most turn requests away
    Entry entry(42);
    for (SurplusTarget &it : targets) {
        entry.control.setTarget("i-" + std::to_string(it.address().port), it.address().text());
    }
    std::map<std::string, unsigned> statuses;
    const auto serves = [&] {
        const std::string id = "r" + std::to_string(statuses.size());
        statuses[id] = statusOf(entry, id);
        return statuses[id] == 200;
    };
    REQUIRE(System::eventually(serves));
    for (int n = 0; n < Requests; ++n) {
        serves();
    }
    CHECK(System::eventually(serves)); // after so many refusals the host sends little for a while
    // Looked at in the end, since a target may run a request after its caller has had an answer.
    for (const auto &it : statuses) {
        const bool isServed = it.second == 200;
        const bool hasRun =
            std::ranges::any_of(targets, [&](SurplusTarget &target) { return target.hasRun(it.first); });
        INFO(it.first << " got " << it.second << ", has run: " << hasRun);
        CHECK(hasRun == isServed);
    }
}
