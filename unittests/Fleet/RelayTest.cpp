//===- RelayTest.cpp - Entry hosts that are cut off from all targets ------===//
//
// Guards against hosts that try one target after the other while none is reachable for them, although other entry hosts
// reach all. A stub control host for each of two entry hosts gives them different ways to the same targets.
//
//===----------------------------------------------------------------------===//
#include "Fleet/StubControl.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

/// From the beginning of a cut until requests are served again, with room for a busy machine.
constexpr Duration NoticeTime = 4s;
/// Requests to compare, and those that may fail of them.
constexpr int Requests = 50;
constexpr int MaxFailures = 2;
/// Requests that wait for their answers at the same time.
constexpr int RequestsAtOnce = 10;

/// An address at which connections are never completed: the kernel's queue is full.
class Blackhole
{
public:
    /// Nobody else must listen there. Port 0 lets the kernel choose.
    explicit Blackhole(const Address &address = {"127.0.0.1", 0})
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int isReused = 1; // connections that were accepted before may still use the port
        REQUIRE(setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused) == 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(address.port);
        REQUIRE(inet_pton(AF_INET, address.ip.c_str(), &at.sin_addr) == 1);
        socklen_t length = sizeof at;
        REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr *>(&at), length) == 0);
        REQUIRE(listen(m_listener, 0) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr *>(&at), &length) == 0);
        m_address = {address.ip, ntohs(at.sin_port)};
        for (int &filler : m_fillers) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            // Returns before the connection is made.
            static_cast<void>(connect(filler, reinterpret_cast<const sockaddr *>(&at), length));
        }
    }

    ~Blackhole()
    {
        for (const int filler : m_fillers) {
            ::close(filler);
        }
        ::close(m_listener);
    }

    Blackhole(const Blackhole &) = delete;
    Blackhole &operator=(const Blackhole &) = delete;

    std::string address() const
    {
        return m_address.text();
    }

private:
    int m_listener = -1;
    std::array<int, 4> m_fillers{};
    Address m_address;
};

/// What becomes of a host's connections to targets when it is cut off from them.
enum class CutForm : std::uint8_t {
    Reset, ///< open connections are reset, new ones refused
    Hanging, ///< open connections go silent, new ones are not completed
    NewRefused, ///< open connections live on, new ones are refused
    Accepted, ///< open connections go silent, new ones are accepted and are silent as well
};

/// Two entry hosts and three targets, which the first reaches by addresses of its own.
class Pair
{
public:
    Pair()
    {
        for (const auto &[id, target] : m_targets) {
            second->control.setTarget(id, target->address());
        }
        reachTargets();
        first.control.setEntryHost(secondId(), "z1", second->address());
        second->control.setEntryHost("entry-1", "z1", first.address());
        REQUIRE(System::eventually([&] { return first.statusOf("/read/x") == 200; }));
        REQUIRE(System::eventually([&] { return second->statusOf("/read/x") == 200; }));
    }

    void reachTargets()
    {
        for (const auto &[id, target] : m_targets) {
            first.control.setTarget(id, target->address());
        }
    }

    /// The first host reaches the targets through proxies from now on. Their ports must stay free when they refuse
    /// connections, so no other test process may get them.
    void useProxies()
    {
        constexpr unsigned ProxyHost = 90;
        for (const auto &[id, target] : m_targets) {
            m_proxies.push_back(
                std::make_unique<soak::FaultProxy>(*Address::parse(target->address()), addressOn(ProxyHost, 0)));
            first.control.setTarget(id, m_proxies.back()->address().text());
        }
        sendAtOnce("/read/x"); // opens connections
    }

    /// Requires useProxies().
    void cutFirstOff(CutForm form)
    {
        for (const auto &proxy : m_proxies) {
            if (form == CutForm::Reset) {
                proxy->set(soak::LinkFault::Reset);
            } else if (form != CutForm::NewRefused) {
                proxy->set(soak::LinkFault::Silent);
            }
            if (form != CutForm::Accepted) {
                proxy->refuseNew();
            }
        }
        if (form != CutForm::Hanging) {
            return;
        }
        for (const auto &proxy : m_proxies) {
            m_blackholes.push_back(std::make_unique<Blackhole>(proxy->address()));
        }
    }

    /// The first host reaches no target at the address.
    void cutFirstOff(const std::string &address)
    {
        for (const auto &[id, target] : m_targets) {
            first.control.setTarget(id, address);
        }
    }

    void cutSecondOff(const std::string &address)
    {
        for (const auto &[id, target] : m_targets) {
            second->control.setTarget(id, address);
        }
    }

    int runs() const
    {
        int sum = 0;
        for (const auto &[id, target] : m_targets) {
            sum += target->runs();
        }
        return sum;
    }

    /// Sends requests at the first host for the time in which it may notice the cut.
    void sendUntilNoticed()
    {
        const auto end = std::chrono::steady_clock::now() + NoticeTime;
        while (std::chrono::steady_clock::now() < end) {
            first.statusOf("/read/x");
            std::this_thread::sleep_for(RetryInterval);
        }
    }

    /// Sends some requests at the first host while the targets hold their answers, so that each needs a connection of
    /// its own. Returns how many failed.
    int sendAtOnce(const std::string &resource)
    {
        for (const auto &[id, target] : m_targets) {
            target->hold();
        }
        std::vector<std::future<unsigned>> statuses;
        statuses.reserve(RequestsAtOnce);
        for (int n = 0; n < RequestsAtOnce; ++n) {
            statuses.push_back(std::async(std::launch::async, [&] { return first.statusOf(resource); }));
        }
        std::this_thread::sleep_for(10 * RetryInterval);
        for (const auto &[id, target] : m_targets) {
            target->release();
        }
        return static_cast<int>(
            std::count_if(statuses.begin(), statuses.end(), [](auto &status) { return status.get() != 200; }));
    }

    /// Another entry host takes the place of the second.
    void replaceSecond()
    {
        first.control.removeEntryHost(secondId());
        second = std::make_unique<Entry>(++m_secondNumber);
        for (const auto &[id, target] : m_targets) {
            second->control.setTarget(id, target->address());
        }
        first.control.setEntryHost(secondId(), "z1", second->address());
    }

    int failuresOf(const std::string &resource)
    {
        int failures = 0;
        for (int n = 0; n < Requests; ++n) {
            failures += first.statusOf(resource) == 200 ? 0 : 1;
        }
        return failures;
    }

private:
    std::string secondId() const
    {
        return "entry-" + std::to_string(m_secondNumber);
    }

    static std::map<std::string, std::unique_ptr<FakeTarget>> threeTargets()
    {
        std::map<std::string, std::unique_ptr<FakeTarget>> targets;
        for (const char *id : {"t1", "t2", "t3"}) {
            targets.emplace(id, std::make_unique<FakeTarget>(id));
        }
        return targets;
    }

    std::map<std::string, std::unique_ptr<FakeTarget>> m_targets = threeTargets();
    std::vector<std::unique_ptr<soak::FaultProxy>> m_proxies;
    std::vector<std::unique_ptr<Blackhole>> m_blackholes;
    unsigned m_secondNumber = 2;

public:
    Entry first{1};
    std::unique_ptr<Entry> second = std::make_unique<Entry>(m_secondNumber);
};

/// An address that refuses connections.
std::string refusingAddress()
{
    return addressOn(99, 17299).text();
}

} // namespace

// Guards against callers who are refused by each host that reaches no target.
TEST_CASE("a host whose connections to all targets are refused serves through another entry host")
{
    Pair pair;
    pair.cutFirstOff(refusingAddress());
    pair.sendUntilNoticed();
    CHECK(pair.failuresOf("/read/x") <= MaxFailures);
    const int runs = pair.runs();
    CHECK(pair.failuresOf("/once/x") <= MaxFailures);
    CHECK(pair.runs() - runs <= Requests);
    pair.reachTargets();
    CHECK(System::eventually([&] {
        const HttpResult result = pair.first.request("/read/x");
        return result.kind == HttpResult::Kind::Answered && result.answer.status == 200;
    }));
}

TEST_CASE("a host whose connections to all targets hang serves through another entry host")
{
    Pair pair;
    const Blackhole blackhole;
    pair.cutFirstOff(blackhole.address());
    pair.sendUntilNoticed();
    CHECK(pair.failuresOf("/read/x") <= MaxFailures);
    CHECK(pair.failuresOf("/once/x") <= MaxFailures);
}

// Guards against a cut that is noticed in some of its forms only.
TEST_CASE("a host serves through another one whatever becomes of its connections to targets", "[cut-forms]")
{
    const CutForm form = GENERATE(CutForm::Reset, CutForm::Hanging, CutForm::NewRefused, CutForm::Accepted);
    CAPTURE(static_cast<int>(form));
    Pair pair;
    pair.useProxies();
    pair.cutFirstOff(form);
    const auto end = std::chrono::steady_clock::now() + NoticeTime;
    while (std::chrono::steady_clock::now() < end) {
        pair.sendAtOnce("/read/x");
    }
    int failures = 0;
    for (int sent = 0; sent < Requests; sent += RequestsAtOnce) {
        failures += pair.sendAtOnce("/read/x") + pair.sendAtOnce("/once/x");
    }
    CHECK(failures <= 2 * MaxFailures);
}

// Guards against a host that goes on relaying to one that has ended, or after its own cut.
TEST_CASE("a host that is cut off again and again is served by whichever other host there is")
{
    Pair pair;
    for (int n = 0; n < 2; ++n) {
        pair.cutFirstOff(refusingAddress());
        pair.sendUntilNoticed();
        CHECK(pair.failuresOf("/once/x") <= MaxFailures);
        pair.reachTargets();
        pair.sendUntilNoticed();
        pair.cutSecondOff(refusingAddress()); // so the first has to serve by itself
        CHECK(pair.failuresOf("/once/x") <= MaxFailures);
        pair.replaceSecond();
        REQUIRE(System::eventually([&] { return pair.second->statusOf("/read/x") == 200; }));
    }
}

// Guards against requests that hosts without targets pass on to each other.
TEST_CASE("two hosts that reach no target refuse at once, as not run")
{
    Pair pair;
    pair.cutFirstOff(refusingAddress());
    pair.cutSecondOff(refusingAddress());
    pair.sendUntilNoticed();
    const auto begun = std::chrono::steady_clock::now();
    for (int n = 0; n < Requests; ++n) {
        CHECK(pair.first.statusOf("/once/x") == 503);
    }
    CHECK(std::chrono::steady_clock::now() - begun < NoticeTime);
}
