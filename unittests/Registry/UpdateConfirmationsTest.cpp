//===- UpdateConfirmationsTest.cpp - Who has confirmed what news ------------===//
//
// First the rules one by one, then a small model of control hosts and entry
// hosts in which whatever can go wrong does.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Registry.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1000s);
constexpr auto Lease = 1000ms;

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("a follower is missing until it has both the reports and the routing that are asked for")
{
    struct Case {
        const char *what;
        UpdateVersions has;
        UpdateVersions wanted;
        bool isMissing;
    };
    const std::vector<Case> cases{
        {"just reached", {5, 7}, {5, 7}, false},          {"beyond", {9, 9}, {5, 7}, false},
        {"behind in reports", {4, 7}, {5, 7}, true},      {"behind in routing", {5, 6}, {5, 7}, true},
        {"routing not asked for", {5, 0}, {5, 0}, false}, {"reports not asked for", {0, 7}, {0, 7}, false},
        {"nothing asked for", {0, 0}, {0, 0}, false},
    };
    for (const Case &it : cases) {
        INFO(it.what);
        UpdateConfirmations news(Lease);
        news.recordPoll("e1", it.has, Start);
        CHECK(news.unconfirmedHosts(it.wanted, {}, Start) == (it.isMissing ? Names{"e1"} : Names{}));
        UpdateConfirmations ofPeer(Lease);
        ofPeer.recordPeerConfirmation("c2", it.has);
        CHECK(ofPeer.unconfirmedHosts(it.wanted, {"c2"}, Start) == (it.isMissing ? Names{"c2"} : Names{}));
    }
}

TEST_CASE("a follower is waited for until a lease after its last ask, and again as soon as it asks again")
{
    UpdateConfirmations news(Lease);
    const UpdateVersions wanted{5, 0};
    news.recordPoll("e1", {4, 0}, Start);
    news.recordPoll("e2", {4, 0}, Start + 600ms);
    CHECK(news.unconfirmedHosts(wanted, {}, Start + Lease) == Names{"e1", "e2"});
    CHECK(news.unconfirmedHosts(wanted, {}, Start + Lease + 1ms) == Names{"e2"});
    CHECK(news.unconfirmedHosts(wanted, {}, Start + 600ms + Lease + 1ms).empty());
    news.recordPoll("e1", {4, 0}, Start + 5s);
    CHECK(news.unconfirmedHosts(wanted, {}, Start + 5s) == Names{"e1"});
    news.recordPoll("e1", {5, 0}, Start + 5s);
    CHECK(news.unconfirmedHosts(wanted, {}, Start + 5s).empty());
}

TEST_CASE("the newest ask of a follower counts, also where it goes back")
{
    UpdateConfirmations news(Lease);
    news.recordPoll("e1", {9, 9}, Start);
    news.recordPoll("e1", {0, 3}, Start + 1ms);
    CHECK(news.unconfirmedHosts({9, 0}, {}, Start + 1ms) == Names{"e1"});
    CHECK(news.unconfirmedHosts({0, 9}, {}, Start + 1ms) == Names{"e1"});
    CHECK(news.unconfirmedHosts({0, 3}, {}, Start + 1ms).empty());
}

TEST_CASE("a follower that has left is not waited for")
{
    UpdateConfirmations news(Lease);
    news.recordMerge("c2", "x", 30, 5);
    news.recordPoll("e1", {4, 1}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start) == UpdateVersions{0, 1});
    news.removeFollower("e1");
    CHECK(news.unconfirmedHosts({5, 2}, {}, Start).empty());
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start) == UpdateVersions{30, 2});
    news.removeFollower("e1"); // it may be told twice
}

TEST_CASE("control hosts that live are waited for until they confirm; the newest confirmation counts")
{
    UpdateConfirmations news(Lease);
    const UpdateVersions wanted{5, 0};
    CHECK(news.unconfirmedHosts(wanted, {"c2", "c3"}, Start) == Names{"c2", "c3"});
    news.recordPeerConfirmation("c2", {5, 0});
    CHECK(news.unconfirmedHosts(wanted, {"c2", "c3"}, Start) == Names{"c3"});
    CHECK(news.unconfirmedHosts(wanted, {"c2"}, Start).empty());
    // An entry host that knows less has come to it, or it has been started anew.
    news.recordPeerConfirmation("c2", {4, 0});
    CHECK(news.unconfirmedHosts(wanted, {"c2"}, Start) == Names{"c2"});
}

TEST_CASE("followers are named before control hosts, those that live only")
{
    UpdateConfirmations news(Lease);
    news.recordPoll("e2", {1, 0}, Start);
    news.recordPoll("e1", {1, 0}, Start);
    news.recordPeerConfirmation("c9", {1, 0});
    CHECK(news.unconfirmedHosts({5, 0}, {"c3", "c2"}, Start) == Names{"e1", "e2", "c3", "c2"});
}

TEST_CASE("a control host confirms what all its followers have come to, and all of it if it has none")
{
    UpdateConfirmations news(Lease);
    CHECK(news.versionsConfirmedTo("c2", "x", 4, Start) == UpdateVersions{0, 4});
    news.recordMerge("c2", "x", 30, 5);
    CHECK(news.versionsConfirmedTo("c2", "x", 4, Start) == UpdateVersions{30, 4});
    news.recordPoll("e1", {5, 4}, Start);
    news.recordPoll("e2", {7, 4}, Start);
    news.recordMerge("c2", "x", 40, 8);
    news.recordMerge("c2", "x", 50, 10);
    news.recordMerge("c2", "x", 60, 12);
    struct Case {
        UpdateVersions e1;
        UpdateVersions e2;
        UpdateVersions confirmed; ///< with 9 as the routing that is applied here
    };
    // Each line goes on from the one before.
    const std::vector<Case> cases{
        {{5, 4}, {7, 4}, {30, 4}},     {{7, 4}, {9, 9}, {30, 4}},     {{8, 6}, {9, 9}, {40, 6}},
        {{11, 9}, {9, 9}, {40, 9}},    {{11, 11}, {11, 10}, {50, 9}}, {{12, 11}, {11, 10}, {50, 9}},
        {{12, 11}, {99, 10}, {60, 9}},
    };
    for (const Case &it : cases) {
        INFO(it.e1.registryVersion << " and " << it.e2.registryVersion);
        news.recordPoll("e1", it.e1, Start);
        news.recordPoll("e2", it.e2, Start);
        CHECK(news.versionsConfirmedTo("c2", "x", 9, Start) == it.confirmed);
    }
}

TEST_CASE("followers whose lease is over hold no confirmation back; one that is new with nothing does")
{
    UpdateConfirmations news(Lease);
    news.recordMerge("c2", "x", 30, 5);
    news.recordPoll("e1", {4, 1}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start + Lease) == UpdateVersions{0, 1});
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start + Lease + 1ms) == UpdateVersions{30, 2});
    news.recordPoll("e2", {0, 0}, Start + 2s);
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start + 2s) == UpdateVersions{0, 0});
    news.recordPoll("e2", {5, 2}, Start + 2s);
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start + 2s) == UpdateVersions{30, 2});
}

TEST_CASE("reports are confirmed to the life of a control host that told them; routing means the same in each")
{
    UpdateConfirmations news(Lease);
    news.recordMerge("c2", "x", 30, 5);
    news.recordMerge("c3", "v", 70, 6);
    CHECK(news.versionsConfirmedTo("c2", "y", 3, Start) == UpdateVersions{0, 3});
    CHECK(news.versionsConfirmedTo("c9", "x", 3, Start) == UpdateVersions{0, 3});
    news.recordMerge("c2", "y", 2, 9);
    CHECK(news.versionsConfirmedTo("c2", "x", 3, Start) == UpdateVersions{0, 3});
    CHECK(news.versionsConfirmedTo("c2", "y", 3, Start) == UpdateVersions{2, 3});
    news.recordPoll("e1", {8, 3}, Start);
    CHECK(news.versionsConfirmedTo("c2", "y", 3, Start) == UpdateVersions{0, 3});
    CHECK(news.versionsConfirmedTo("c3", "v", 3, Start) == UpdateVersions{70, 3});
}

TEST_CASE("news that change nothing here are confirmed by whoever had come so far")
{
    UpdateConfirmations news(Lease);
    news.recordPoll("e1", {5, 0}, Start);
    news.recordMerge("c2", "x", 30, 5);
    news.recordMerge("c2", "x", 31, 5);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == 31);
    // What was told before is not asked of followers again.
    news.recordMerge("c2", "x", 31, 9);
    news.recordMerge("c2", "x", 30, 9);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == 31);
    news.recordPoll("e1", {9, 0}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == 31);
}

TEST_CASE("pairs that all followers have reached collapse into the newest such pair")
{
    UpdateConfirmations news(Lease);
    news.recordPoll("e1", {0, 0}, Start);
    news.recordMerge("c2", "x", 30, 5);
    news.recordMerge("c2", "x", 40, 8);
    news.recordMerge("c2", "x", 50, 10);
    news.recordPoll("e1", {9, 0}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == 40);
    // The pair at 5 is no longer kept: a follower that goes back below 8 has to catch up first.
    news.recordPoll("e1", {6, 0}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == 0);
    news.recordPoll("e1", {10, 0}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == 50);
}

TEST_CASE("a follower that stays behind for very long makes nothing confirmed that it has not got, and may catch up")
{
    UpdateConfirmations news(Lease);
    news.recordPoll("e1", {1, 0}, Start);
    // For each n, own version 10 n goes with version n of the other host.
    constexpr std::uint64_t Many = 100000;
    for (std::uint64_t n = 1; n <= Many; ++n) {
        news.recordMerge("c2", "x", n, 10 * n);
    }
    for (const std::uint64_t has : {9UL, 10UL, 19UL, 25UL, 999UL, 500000UL, 999999UL}) {
        news.recordPoll("e1", {has, 0}, Start);
        CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion <= has / 10);
    }
    news.recordPoll("e1", {10 * Many, 0}, Start);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == Many);
}

TEST_CASE("a follower that is always some replies behind is confirmed for step by step, however long this goes on")
{
    UpdateConfirmations news(Lease);
    constexpr std::uint64_t Behind = 200;
    for (std::uint64_t n = 1; n <= 5000; ++n) {
        news.recordMerge("c2", "x", n, 10 * n);
        const std::uint64_t has = n > Behind ? n - Behind : 0;
        news.recordPoll("e1", {10 * has, 0}, Start);
        REQUIRE(news.versionsConfirmedTo("c2", "x", 0, Start).registryVersion == has);
    }
}

TEST_CASE("forgetting drops who is not known any more, and changes nothing for followers in lease and known peers")
{
    UpdateConfirmations news(Lease);
    news.recordPoll("e1", {4, 0}, Start);
    news.recordMerge("c2", "x", 30, 5);
    news.recordMerge("c3", "v", 70, 5);
    news.recordPeerConfirmation("c2", {9, 0});
    news.recordPeerConfirmation("c3", {9, 0});
    news.removeExpired({"c2"}, Start + Lease);
    CHECK(news.unconfirmedHosts({5, 0}, {"c2", "c3"}, Start + Lease) == Names{"e1", "c3"});
    news.removeExpired({"c2"}, Start + 10 * Lease);
    CHECK(news.versionsConfirmedTo("c2", "x", 0, Start + 10 * Lease).registryVersion == 30);
    CHECK(news.versionsConfirmedTo("c3", "v", 0, Start + 10 * Lease).registryVersion == 0);
    // Also for a caller whose time was read earlier.
    CHECK(news.unconfirmedHosts({5, 0}, {}, Start).empty());
}

TEST_CASE("a host that moves is waited for where it left until its lease is over, and where it came from its first ask")
{
    // Two control hosts, a and b; the entry host follows a and then b, before a hears of a departure.
    UpdateConfirmations a(Lease);
    UpdateConfirmations b(Lease);
    a.recordPoll("e1", {4, 0}, Start);
    const UpdateVersions departure{5, 0};
    b.recordMerge("a", "x", 5, 2);
    // b confirmed just before the host came to it. It is a that waits for the host.
    a.recordPeerConfirmation("b", b.versionsConfirmedTo("a", "x", 0, Start + 10ms));
    b.recordPoll("e1", {0, 0}, Start + 20ms);
    CHECK(a.unconfirmedHosts(departure, {"b"}, Start + 20ms) == Names{"e1"});
    // From then on b confirms with the host, and both wait for it.
    a.recordPeerConfirmation("b", b.versionsConfirmedTo("a", "x", 0, Start + 30ms));
    CHECK(a.unconfirmedHosts(departure, {"b"}, Start + 30ms) == Names{"e1", "b"});
    CHECK(a.unconfirmedHosts(departure, {"b"}, Start + Lease + 1ms) == Names{"b"});
    b.recordPoll("e1", {2, 0}, Start + 40ms);
    a.recordPeerConfirmation("b", b.versionsConfirmedTo("a", "x", 0, Start + 50ms));
    CHECK(a.unconfirmedHosts(departure, {"b"}, Start + Lease + 1ms).empty());
}

TEST_CASE("a follower that has nothing is waited for by what its first reply told it")
{
    UpdateConfirmations news(Lease);
    news.recordMerge("c2", "x", 30, 5);
    news.recordPoll("e1", {0, 0}, Start);
    CHECK(news.unconfirmedHosts({5, 2}, {}, Start) == Names{"e1"});
    news.recordFirstReply("e1", {5, 2});
    // While that reply is on its way the host acts upon nothing, and then upon it.
    CHECK(news.unconfirmedHosts({5, 2}, {}, Start).empty());
    CHECK(news.versionsConfirmedTo("c2", "x", 2, Start) == UpdateVersions{30, 2});
    // What came to be later is not in that reply.
    CHECK(news.unconfirmedHosts({6, 0}, {}, Start) == Names{"e1"});
    CHECK(news.unconfirmedHosts({0, 3}, {}, Start) == Names{"e1"});
    news.renewFollowerLease("e1", Start + Lease);
    CHECK(news.unconfirmedHosts({6, 0}, {}, Start + Lease + 1ms) == Names{"e1"});
    CHECK(news.unconfirmedHosts({5, 2}, {}, Start + Lease + 1ms).empty());
    CHECK(news.unconfirmedHosts({6, 0}, {}, Start + 2 * Lease + 1ms).empty());
    // It has the reports, and fetches the routing of which it was told, or newer one.
    news.recordPoll("e1", {5, 0}, Start + 2 * Lease);
    CHECK(news.unconfirmedHosts({5, 2}, {}, Start + 2 * Lease).empty());
    CHECK(news.unconfirmedHosts({5, 3}, {}, Start + 2 * Lease) == Names{"e1"});
}

TEST_CASE("a sign of life of a host that is not known, or what one is told that has something, confirms nothing")
{
    UpdateConfirmations news(Lease);
    news.renewFollowerLease("e1", Start);
    CHECK(news.unconfirmedHosts({1, 0}, {}, Start) == Names{"e1"});
    news.recordPoll("e2", {3, 1}, Start);
    news.recordFirstReply("e2", {9, 9});
    CHECK(news.unconfirmedHosts({4, 0}, {}, Start) == Names{"e1", "e2"});
    news.recordFirstReply("e3", {9, 9});
    CHECK(news.unconfirmedHosts({9, 9}, {}, Start) == Names{"e1", "e2"});
}

namespace
{

/// News that a control host is to acknowledge: a departure that it heard, or a change of the routing.
struct News {
    std::size_t departure = 0; ///< counted from 1; 0 for a change of the routing
    UpdateVersions position;
    TimePoint arose{}; ///< when the position came to be
    bool isAcknowledged = false;
};

/// What a departure's number is known as, and since which version of a registry.
using Departures = std::map<std::size_t, std::uint64_t>;

struct ModelAsk {
    std::size_t from = 0;
    std::uint64_t fromLife = 0;
    std::size_t to = 0;
    std::uint64_t number = 0;
    std::uint64_t epoch = 0; ///< of the asked host, as known to the asker; 0 at first
    UpdateVersions has; ///< since which version, and the routing
    UpdateVersions confirmed; ///< by a control host
};

struct ModelReply {
    ModelAsk ask;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t routing = 0;
    std::set<std::size_t> departures;
    TimePoint madeAt{};
};

/// What an asker knows of a host that it follows.
struct ModelWatch {
    std::uint64_t epoch = 0;
    std::uint64_t since = 0;
    std::uint64_t number = 0; ///< of the ask whose reply is taken
};

struct ModelControl {
    bool isUp = true;
    std::uint64_t life = 1;
    TimePoint startedAt = Start - 10 * Lease;
    TimePoint endedAt{};
    UpdateConfirmations confirmations{Lease};
    std::uint64_t version = 1;
    std::uint64_t routing = 1; ///< kept on the disk
    Departures heard; ///< from targets
    Departures known; ///< from targets and other control hosts
    std::vector<News> news;
    std::map<std::size_t, ModelWatch> watches; ///< of other control hosts
    /// Life and number of the newest ask that was noted of each entry host.
    std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> newest;
};

/// One life of an entry host.
struct ModelEntry {
    std::uint64_t life = 1;
    std::size_t follows = 0;
    ModelWatch watch;
    std::uint64_t routing = 0;
    std::set<std::size_t> knows;
    std::vector<std::pair<std::size_t, TimePoint>> heardBy; ///< control host that took an ask, and when
    std::vector<News> owed; ///< what its first reply has to hold

    /// It has no routing, so it sends nothing to any target.
    bool actsUponNothing() const
    {
        return routing == 0;
    }
};

/// Control hosts have the numbers below `controls`, entry hosts those from there on. Messages are delivered in any
/// order, also an ask after a later one. What the model does beside the class is what its user has to do:
///  - A host that follows another one's registry from the start, in a new life of either, asks with since 0.
///  - A control host that started less than a lease ago confirms nothing and acknowledges nothing: the followers of its
///    former life may not have asked it again.
///  - A control host that is down is waited for, by what it confirmed last, until a lease after its end: by then its
///    followers have asked elsewhere, or are out of lease.
///  - An ask that comes after a later one says nothing of what its host has now, only that it lives.
///  - recordFirstReply() is called with each reply to an ask of an entry host that has nothing yet.
///  - removeFollower() is called for entry hosts that have ended, and never for one that has moved: the control host
///  that
///    it left goes on counting it, also in what it confirms to third ones, which may not have heard yet that another
///    one counts it.
class Model
{
public:
    Model(std::size_t controls, std::size_t entries)
        : m_controls(controls)
        , m_entries(entries)
    {
        for (std::size_t n = 0; n < entries; ++n) {
            m_entries[n].follows = n % controls;
        }
    }

    std::size_t controls() const
    {
        return m_controls.size();
    }

    std::size_t hosts() const
    {
        return m_controls.size() + m_entries.size();
    }

    std::size_t messages() const
    {
        return m_asks.size() + m_replies.size();
    }

    bool isControl(std::size_t host) const
    {
        return host < controls();
    }

    void pass(Duration time)
    {
        m_now += time;
    }

    void depart(std::size_t at)
    {
        ModelControl &control = m_controls[at];
        if (!control.isUp) {
            return;
        }
        const std::size_t departure = ++m_departures;
        control.heard[departure] = ++control.version;
        control.known[departure] = control.version;
        control.news.push_back({departure, {control.version, 0}, m_now});
    }

    /// The hosts agree on a change of the routing. The one that was asked for it applies it first.
    void changeRouting(std::size_t at)
    {
        ModelControl &control = m_controls[at];
        if (!control.isUp) {
            return;
        }
        control.routing = ++m_routing;
        control.news.push_back({0, {0, m_routing}, m_now});
    }

    void applyRouting(std::size_t at)
    {
        if (m_controls[at].isUp) {
            m_controls[at].routing = m_routing;
        }
    }

    /// A report that only moves the version on.
    void renew(std::size_t at)
    {
        ++m_controls[at].version;
    }

    /// Has pending departures confirmed anew, as of now.
    void askAgain(std::size_t at)
    {
        ModelControl &control = m_controls[at];
        ++control.version;
        for (News &it : control.news) {
            if (it.departure != 0 && !it.isAcknowledged) {
                it.position.registryVersion = control.version;
                it.arose = m_now;
            }
        }
    }

    void stop(std::size_t at)
    {
        if (m_controls[at].isUp) {
            m_controls[at].isUp = false;
            m_controls[at].endedAt = m_now;
        }
    }

    void start(std::size_t at)
    {
        ModelControl &old = m_controls[at];
        if (old.isUp) {
            return;
        }
        ModelControl fresh;
        fresh.life = old.life + 1;
        fresh.startedAt = m_now;
        fresh.routing = old.routing;
        old = std::move(fresh);
    }

    void move(std::size_t entry, std::size_t to)
    {
        ModelEntry &host = m_entries[entry];
        if (host.follows != to) {
            host.follows = to;
            host.watch = {0, 0, host.watch.number};
        }
    }

    /// The control host that it follows hears that it has ended. A new life, with an id of its own, begins.
    void restartEntry(std::size_t entry)
    {
        ModelEntry &host = m_entries[entry];
        m_controls[host.follows].confirmations.removeFollower(idOf(entry, host.life));
        ModelEntry fresh;
        fresh.life = host.life + 1;
        fresh.follows = host.follows;
        host = std::move(fresh);
    }

    void ask(std::size_t host, std::size_t of)
    {
        if (isControl(host)) {
            askAsControl(host, of);
        } else {
            askAsEntry(host - controls());
        }
    }

    void lose(std::size_t message)
    {
        if (message < m_asks.size()) {
            m_asks.erase(m_asks.begin() + static_cast<std::ptrdiff_t>(message));
        } else {
            m_replies.erase(m_replies.begin() + static_cast<std::ptrdiff_t>(message - m_asks.size()));
        }
    }

    void deliver(std::size_t message)
    {
        if (message < m_asks.size()) {
            const ModelAsk ask = m_asks[message];
            lose(message);
            onAsk(ask);
            return;
        }
        const ModelReply reply = m_replies[message - m_asks.size()];
        lose(message);
        if (isControl(reply.ask.from)) {
            onReplyToControl(reply);
        } else {
            onReplyToEntry(reply);
        }
    }

    void exchange(std::size_t host, std::size_t of)
    {
        const std::size_t before = m_asks.size();
        ask(host, of);
        if (m_asks.size() == before) {
            return;
        }
        const std::size_t replies = m_replies.size();
        deliver(m_asks.size() - 1);
        if (m_replies.size() > replies) {
            deliver(messages() - 1);
        }
    }

    void deliverAll()
    {
        while (messages() > 0) {
            deliver(0);
        }
    }

    /// Delivers the replies that have been on their way for so long.
    void deliverRepliesAfter(Duration onTheirWay)
    {
        for (std::size_t n = m_asks.size(); n < messages();) {
            if (m_now - m_replies[n - m_asks.size()].madeAt >= onTheirWay) {
                deliver(n);
            } else {
                ++n;
            }
        }
    }

    void deliverAsks()
    {
        while (!m_asks.empty()) {
            deliver(0);
        }
    }

    bool hasNothing(std::size_t host) const
    {
        return !isControl(host) && m_entries[host - controls()].actsUponNothing();
    }

    void forget(std::size_t at)
    {
        Names known;
        for (std::size_t n = 0; n < controls(); ++n) {
            if (n != at) {
                known.push_back(nameOf(n));
            }
        }
        m_controls[at].confirmations.removeExpired(known, m_now);
    }

    /// Acknowledges what nobody misses. Returns whether all that nobody misses in this moment holds.
    bool acknowledge()
    {
        bool isTrue = m_allBeganWell;
        for (std::size_t n = 0; n < controls(); ++n) {
            ModelControl &control = m_controls[n];
            if (!control.isUp || isYoung(control)) {
                continue;
            }
            const Names peers = waitedFor(n);
            for (News &it : control.news) {
                const bool isDone = control.confirmations.unconfirmedHosts(it.position, peers, m_now).empty();
                it.isAcknowledged = it.isAcknowledged || isDone;
                isTrue = isTrue && (!isDone || holds(it));
                if (isDone) {
                    noteOwed(it);
                }
            }
        }
        return isTrue;
    }

    std::size_t pending() const
    {
        std::size_t sum = 0;
        for (const ModelControl &control : m_controls) {
            sum += static_cast<std::size_t>(std::count_if(control.news.begin(), control.news.end(),
                                                          [](const News &it) { return !it.isAcknowledged; }));
        }
        return sum;
    }

private:
    static std::string nameOf(std::size_t control)
    {
        return "c" + std::to_string(control);
    }

    static std::string idOf(std::size_t entry, std::uint64_t life)
    {
        return "e" + std::to_string(entry) + "#" + std::to_string(life);
    }

    bool isYoung(const ModelControl &control) const
    {
        return m_now - control.startedAt <= Lease;
    }

    Names waitedFor(std::size_t by) const
    {
        Names names;
        for (std::size_t n = 0; n < controls(); ++n) {
            const ModelControl &it = m_controls[n];
            if (n != by && (it.isUp || m_now - it.endedAt <= Lease)) {
                names.push_back(nameOf(n));
            }
        }
        return names;
    }

    bool holds(const News &news) const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [&](const ModelEntry &entry) {
            const bool hasIt = news.departure != 0 ? entry.knows.contains(news.departure)
                                                   : entry.routing >= news.position.routingIndex;
            const bool willHaveIt = entry.actsUponNothing() && beginsWith(entry, news);
            return hasIt || willHaveIt || !isPromised(entry, news);
        });
    }

    // Entry hosts that have nothing, and that the news was promised for, owe to begin with it.
    void noteOwed(const News &news)
    {
        for (ModelEntry &entry : m_entries) {
            if (entry.actsUponNothing() && isPromised(entry, news)) {
                entry.owed.push_back(news);
            }
        }
    }

    static bool holdsNews(const ModelReply &reply, const News &news)
    {
        return news.departure != 0 ? reply.departures.contains(news.departure)
                                   : reply.routing >= news.position.routingIndex;
    }

    // Whether an entry host that has nothing gets the news with whichever reply it may take next.
    bool beginsWith(const ModelEntry &entry, const News &news) const
    {
        return std::all_of(m_replies.begin(), m_replies.end(), [&](const ModelReply &reply) {
            if (isControl(reply.ask.from) || &m_entries[reply.ask.from - controls()] != &entry
                || !mayTake(entry, reply)) {
                return true;
            }
            return holdsNews(reply, news);
        });
    }

    static bool mayTake(const ModelEntry &entry, const ModelReply &reply)
    {
        const bool isAskedFor = entry.life == reply.ask.fromLife && entry.watch.number == reply.ask.number;
        return isAskedFor && entry.follows == reply.ask.to;
    }

    // Whether a control host has heard the entry host within the lease, and before the news arose.
    bool isPromised(const ModelEntry &entry, const News &news) const
    {
        return std::any_of(entry.heardBy.begin(), entry.heardBy.end(),
                           [&](const auto &it) { return m_now - it.second <= Lease && it.second <= news.arose; });
    }

    void askAsControl(std::size_t host, std::size_t of)
    {
        ModelControl &control = m_controls[host];
        if (!control.isUp || of == host) {
            return;
        }
        ModelWatch &watch = control.watches[of];
        ModelAsk ask{host, control.life, of, ++watch.number, watch.epoch, {watch.since, 0}, {}};
        if (!isYoung(control)) {
            ask.confirmed = control.confirmations.versionsConfirmedTo(nameOf(of), std::to_string(watch.epoch),
                                                                      control.routing, m_now);
        }
        m_asks.push_back(ask);
    }

    void askAsEntry(std::size_t entry)
    {
        ModelEntry &host = m_entries[entry];
        m_asks.push_back({controls() + entry,
                          host.life,
                          host.follows,
                          ++host.watch.number,
                          host.watch.epoch,
                          {host.watch.since, host.routing},
                          {}});
    }

    void onAsk(const ModelAsk &ask)
    {
        ModelControl &control = m_controls[ask.to];
        if (!control.isUp) {
            return;
        }
        const bool isThisLife = ask.epoch == control.life;
        const std::uint64_t since = isThisLife ? ask.has.registryVersion : 0;
        if (isControl(ask.from)) {
            const std::uint64_t upTo = isThisLife ? ask.confirmed.registryVersion : 0;
            control.confirmations.recordPeerConfirmation(nameOf(ask.from), {upTo, ask.confirmed.routingIndex});
        } else {
            noteFollower(control, ask, since);
        }
        m_replies.push_back(makeReply(control, ask, since));
        const bool hasNothing = !isControl(ask.from) && ask.epoch == 0 && ask.has.routingIndex == 0;
        if (hasNothing && isNoted(control, ask)) {
            const ModelReply &reply = m_replies.back();
            control.confirmations.recordFirstReply(idOf(ask.from - controls(), ask.fromLife),
                                                   {reply.version, reply.routing});
        }
    }

    // Whether no later ask of the same life was noted before.
    static bool isNoted(const ModelControl &control, const ModelAsk &ask)
    {
        const auto it = control.newest.find(ask.from);
        return it != control.newest.end() && it->second == std::pair(ask.fromLife, ask.number);
    }

    void noteFollower(ModelControl &control, const ModelAsk &ask, std::uint64_t since)
    {
        const std::size_t entry = ask.from - controls();
        std::pair<std::uint64_t, std::uint64_t> &newest = control.newest[ask.from];
        if (newest < std::pair(ask.fromLife, ask.number)) {
            newest = {ask.fromLife, ask.number};
            control.confirmations.recordPoll(idOf(entry, ask.fromLife), {since, ask.has.routingIndex}, m_now);
        } else {
            control.confirmations.renewFollowerLease(idOf(entry, ask.fromLife), m_now);
        }
        if (ask.fromLife == m_entries[entry].life) {
            m_entries[entry].heardBy.emplace_back(ask.to, m_now);
        }
    }

    // Other control hosts are told what was heard here, and all if they have nothing; entry hosts are told all.
    ModelReply makeReply(const ModelControl &control, const ModelAsk &ask, std::uint64_t since) const
    {
        ModelReply reply{ask, control.life, control.version, control.routing, {}, m_now};
        for (const auto &[departure, version] : isControl(ask.from) && since != 0 ? control.heard : control.known) {
            if (version > since) {
                reply.departures.insert(departure);
            }
        }
        return reply;
    }

    void onReplyToControl(const ModelReply &reply)
    {
        ModelControl &control = m_controls[reply.ask.from];
        const bool isOfThisLife = control.isUp && control.life == reply.ask.fromLife;
        if (!isOfThisLife || control.watches[reply.ask.to].number != reply.ask.number) {
            return;
        }
        ModelWatch &watch = control.watches[reply.ask.to];
        watch.epoch = reply.epoch;
        watch.since = reply.version;
        for (const std::size_t it : reply.departures) {
            if (!control.known.contains(it)) {
                control.known[it] = ++control.version;
            }
        }
        control.confirmations.recordMerge(nameOf(reply.ask.to), std::to_string(reply.epoch), reply.version,
                                          control.version);
    }

    void onReplyToEntry(const ModelReply &reply)
    {
        ModelEntry &host = m_entries[reply.ask.from - controls()];
        if (!mayTake(host, reply)) {
            return;
        }
        for (const News &it : std::exchange(host.owed, {})) {
            m_allBeganWell = m_allBeganWell && holdsNews(reply, it);
        }
        host.watch.epoch = reply.epoch;
        host.watch.since = reply.version;
        host.routing = std::max(host.routing, reply.routing);
        host.knows.insert(reply.departures.begin(), reply.departures.end());
    }

    TimePoint m_now = Start;
    std::size_t m_departures = 0;
    std::uint64_t m_routing = 1;
    std::vector<ModelControl> m_controls;
    std::vector<ModelEntry> m_entries;
    std::vector<ModelAsk> m_asks;
    std::vector<ModelReply> m_replies;
    bool m_allBeganWell = true; ///< each first reply held what was owed
};

// Evenly from the whole range also in the first, small cases, in which inRange() alone draws low numbers.
int between(int low, int high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

std::size_t below(std::size_t limit)
{
    return static_cast<std::size_t>(between(0, static_cast<int>(limit)));
}

/// Time that each step takes, so that no two happen at once.
constexpr auto StepTime = 1us;

constexpr std::size_t MostControls = 4;
constexpr std::size_t MostEntries = 4;

/// What happens in a random series.
enum class Step : std::uint8_t {
    Exchange, ///< an ask and its reply, both at once
    Ask,
    Deliver,
    Lose,
    Pass,
    Depart,
    ChangeRouting,
    ApplyRouting,
    Renew,
    Move,
    AskAgain,
    Forget,
    StopControl,
    StartControl,
    RestartEntry,
    BeSilent,
};

Step drawStep()
{
    return *rc::gen::weightedElement<Step>({{60, Step::Exchange},
                                            {30, Step::Ask},
                                            {40, Step::Deliver},
                                            {4, Step::Lose},
                                            {8, Step::Pass},
                                            {4, Step::Depart},
                                            {2, Step::ChangeRouting},
                                            {4, Step::ApplyRouting},
                                            {2, Step::Renew},
                                            {4, Step::Move},
                                            {1, Step::AskAgain},
                                            {2, Step::Forget},
                                            {2, Step::StopControl},
                                            {4, Step::StartControl},
                                            {1, Step::RestartEntry},
                                            {1, Step::BeSilent}});
}

void takeMessage(Model &model, bool arrives)
{
    if (model.messages() == 0) {
        return;
    }
    const std::size_t message = below(model.messages());
    if (arrives) {
        model.deliver(message);
    } else {
        model.lose(message);
    }
}

void take(Model &model, Step step)
{
    const std::size_t control = below(model.controls());
    const std::size_t entry = below(model.hosts() - model.controls());
    model.pass(StepTime);
    switch (step) {
    case Step::Exchange:
        return model.exchange(below(model.hosts()), control);
    case Step::Ask:
        return model.ask(below(model.hosts()), control);
    case Step::Deliver:
        return takeMessage(model, true);
    case Step::Lose:
        return takeMessage(model, false);
    case Step::Pass:
        return model.pass(Milliseconds(between(1, 60)));
    case Step::Depart:
        return model.depart(control);
    case Step::ChangeRouting:
        return model.changeRouting(control);
    case Step::ApplyRouting:
        return model.applyRouting(control);
    case Step::Renew:
        return model.renew(control);
    case Step::Move:
        return model.move(entry, control);
    case Step::AskAgain:
        return model.askAgain(control);
    case Step::Forget:
        return model.forget(control);
    case Step::StopControl:
        return model.stop(control);
    case Step::StartControl:
        return model.start(control);
    case Step::RestartEntry:
        return model.restartEntry(entry);
    case Step::BeSilent:
        return model.pass(Lease + Milliseconds(between(-100, 300)));
    }
}

// Asks and replies that all arrive at once, twice as often as news need to come from one control host to another, from
// there to its followers, and back.
void settle(Model &model)
{
    for (std::size_t n = 0; n < model.controls(); ++n) {
        model.start(n);
        model.applyRouting(n);
    }
    model.deliverAll();
    model.pass(2 * Lease);
    constexpr int Rounds = 8;
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t host = 0; host < model.hosts(); ++host) {
            for (std::size_t of = 0; of < model.controls(); ++of) {
                model.ask(host, of);
                model.deliverAll();
            }
        }
    }
}

} // namespace

// What is claimed: in a moment in which missing() of the control host that took a departure is empty, each entry host
// has taken the departure over of which any control host has taken an ask
//  - within the lease before that moment, and
//  - not after the departure's position came to be.
// One that has no routing and so sends nothing may lack it until its first reply comes, which must hold it.
// It does not matter which control host that was, whether the entry host has moved since, any number of times, whether
// its asks after that one arrive, or whether the control host has ended or begun a new life since. The same is claimed
// of a change of the routing.
//
// What is not claimed: anything of an entry host whose asks within the lease all came after the departure. It has just
// started, or was silent for as long as the departure was pending and longer. A control host may have confirmed the
// departure before this host came to it; its reply to the first ask then holds the departure, but that reply may be on
// its way. An entry host that asks at least once in each time G, wherever, is thus covered by what is acknowledged
// within the lease less G of its position. A departure that is pending for longer is given a newer position (askAgain).
TEST_CASE("random series: what nobody misses, each entry host has that asked within the lease and before it arose")
{
    const bool holds = rc::check([] {
        Model model(1 + below(MostControls), 1 + below(MostEntries));
        const int steps = between(100, 2000);
        for (int n = 0; n < steps; ++n) {
            take(model, drawStep());
            RC_ASSERT(model.acknowledge());
        }
        // When all is well again, all that is pending comes to be acknowledged.
        settle(model);
        RC_ASSERT(model.acknowledge());
        RC_ASSERT(model.pending() == 0U);
    });
    CHECK(holds);
}

// The pattern: 300 entry hosts of which 14 restart each second, for long. A host that has restarted gets all that there
// is over its narrow link, which takes about as long as the pause to the next restarts; so at each moment some host has
// asked and has nothing yet. What is agreed on has to be acknowledged all the same: hosts that send nothing break no
// promise, and begin with what their first reply tells.
TEST_CASE("hosts that restart in series hold up neither departures nor changes")
{
    constexpr std::size_t Controls = 3;
    constexpr std::size_t Entries = 300;
    constexpr std::size_t RestartsEachSecond = 14;
    constexpr auto StepLength = 50ms;
    constexpr auto FirstReply = 900ms; ///< on its way: some 200 KB over 2.6 Mbit/s, beside the answers of targets
    constexpr auto Bound = 2s; ///< in which all is to be acknowledged; operators wait for 4 s and more
    Model model(Controls, Entries);
    std::size_t restarted = 0;
    const auto step = [&](int n) {
        model.pass(StepLength);
        if (n % (1s / StepLength) == 0) {
            for (std::size_t k = 0; k < RestartsEachSecond; ++k) {
                const std::size_t entry = restarted++ % Entries;
                model.restartEntry(entry);
                model.ask(Controls + entry, 0);
            }
        }
        model.deliverAsks();
        model.deliverRepliesAfter(FirstReply);
        for (std::size_t host = 0; host < model.hosts(); ++host) {
            if (!model.hasNothing(host)) {
                model.exchange(host, static_cast<std::size_t>(n) % Controls);
            }
        }
        REQUIRE(model.acknowledge());
    };
    for (std::size_t host = 0; host < model.hosts(); ++host) {
        model.exchange(host, 0);
    }
    int n = 0;
    for (; n < 4s / StepLength; ++n) {
        step(n);
    }
    model.depart(0);
    model.changeRouting(1);
    for (std::size_t control = 0; control < Controls; ++control) {
        model.applyRouting(control);
    }
    for (const int end = n + static_cast<int>(Bound / StepLength); n < end; ++n) {
        step(n);
    }
    CHECK(model.pending() == 0U);
}
