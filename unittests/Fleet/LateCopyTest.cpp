//===- LateCopyTest.cpp - Late second answers of targets ------------------===//
#include "Fleet/StubControl.h"
#include "test/soak/EndlessForm.h"
#include "unittests/Http/RawTarget.h"

#include <map>
#include <mutex>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;
using pepperlug::test::RawTarget;

namespace
{

/// Long enough that no request is hedged before its deadline.
constexpr auto WorkTime = 1s;

/// The status that each request got where it ran, once for each run.
class Runs
{
public:
    void add(const std::string &id, unsigned status)
    {
        const std::lock_guard lock(m_mutex);
        m_statuses[id].push_back(status);
    }

    std::vector<unsigned> of(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<unsigned>> m_statuses;
};

std::string answerTo(const std::string &id, unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + id
        + "\r\nX-Upstream-Seal: s\r\nContent-Length: 4\r\n\r\nheld";
}

/// Sends a second copy of each answer in the place of the next one on the same connection. A request behind a copy
/// fails, all others are served.
class CopyingTarget
{
public:
    explicit CopyingTarget(Runs &runs)
        : m_target([&runs](RawTarget::Socket &socket) { serve(socket, runs); })
    {
    }

    std::string address() const
    {
        return m_target.address().text();
    }

private:
    static void serve(RawTarget::Socket &socket, Runs &runs)
    {
        std::string copy;
        for (;;) {
            const std::string id = soak::valueInHead(RawServer::readRequest(socket), "X-Request-Id");
            if (id.empty()) {
                return;
            }
            const unsigned status = copy.empty() ? 200 : 500;
            runs.add(id, status);
            RawServer::send(socket, copy);
            std::this_thread::sleep_for(WorkTime);
            RawServer::send(socket, answerTo(id, status));
            copy = answerTo(id, status);
        }
    }

    RawTarget m_target;
};

/// The status of a read.
unsigned read(const Entry &entry, const std::string &id)
{
    constexpr std::size_t StatusAt = 9;
    RawSocket caller(*Address::parse(entry.address()));
    caller.send("GET /read/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
    const std::string answer = caller.readToEnd();
    return answer.size() > StatusAt ? static_cast<unsigned>(std::stoul(answer.substr(StatusAt))) : 0;
}

} // namespace

// Guards against a success for a read that its target has answered with a failure: the read is given up at a late copy
// of an earlier answer while it runs, and runs again at another target.
TEST_CASE("a read behind a late copy of another answer gets the answer of its only run")
{
    constexpr int Reads = 4;
    Runs runs;
    std::array<CopyingTarget, 2> targets{CopyingTarget(runs), CopyingTarget(runs)};
    Entry entry(42);
    for (const CopyingTarget &it : targets) {
        entry.control.setTarget("i-" + it.address(), it.address());
    }
    int tries = 0;
    REQUIRE(System::eventually([&] { return read(entry, "w" + std::to_string(++tries)) == 200; }));
    for (int n = 0; n < Reads; ++n) {
        const std::string id = "r" + std::to_string(n);
        const unsigned status = read(entry, id);
        INFO(id << " got " << status);
        CHECK(runs.of(id) == std::vector{status});
    }
}
