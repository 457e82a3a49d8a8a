//===- RoutingUpdatesTest.cpp - Routing updates as differences ------------===//
#include "pepperlug/Routes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <zlib.h>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace std::chrono_literals;

namespace
{

const std::string Peer = "control-2";
/// Routes of the largest table whose changes must arrive in time.
constexpr unsigned ManyRoutes = 4000;

Route routeAt(unsigned n)
{
    Route it;
    it.name = "route-" + std::to_string(n);
    it.host = "host" + std::to_string(n % 40) + ".shop.example";
    // A part of the prefix is not derivable from the rest, like names that people choose.
    it.prefix = "/area/" + std::to_string(hash64(it.name) % 1'000'000) + "/" + std::to_string(n) + "/";
    it.kind = n % 3 == 0 ? RouteKind::OnceOnly : RouteKind::Repeatable;
    it.timeout = Milliseconds(1000 + n % 7 * 500);
    it.objective = Milliseconds(200 + n % 5 * 100);
    it.priority = n % 4;
    it.services = {{"service-" + std::to_string(n % 60), 90}, {"service-" + std::to_string(n % 60) + "-next", 10}};
    it.attempts = 1 + n % 3;
    it.sticky = n % 11 == 0;
    if (n % 6 == 0) {
        it.homeRegions = {"north"};
    }
    return it;
}

RouteTable tableOf(unsigned routes, std::uint64_t version = 1, unsigned services = 60)
{
    RouteTable it;
    it.version = version;
    for (unsigned n = 0; n < services; ++n) {
        it.services.push_back({"service-" + std::to_string(n), 10 + n % 5, 3s, 4});
        it.services.push_back({"service-" + std::to_string(n) + "-next", 10, 5s, 2.5});
    }
    it.limits = {16384, 1048576, 5s, 30s};
    for (unsigned n = 0; n < routes; ++n) {
        it.routes.push_back(routeAt(n));
    }
    return it;
}

RoutingView viewOf(std::uint64_t index, RouteTable table, std::set<std::string> evacuated = {})
{
    return {index, std::make_shared<RouteTable>(std::move(table)), std::move(evacuated)};
}

/// Copies the table too, so that a modification of the original is detected.
RoutingView copyOf(const RoutingView &view)
{
    RoutingView copy = view;
    if (view.table) {
        copy.table = std::make_shared<RouteTable>(*view.table);
    }
    return copy;
}

bool hasSameRoutes(const RouteTable &a, const RouteTable &b)
{
    const auto sorted = [](const RouteTable &table) {
        std::map<std::pair<std::string, std::string>, Route> routes;
        for (const Route &it : table.routes) {
            routes.emplace(std::make_pair(it.host, it.prefix), it);
        }
        return routes;
    };
    return a.routes.size() == b.routes.size() && sorted(a) == sorted(b);
}

bool hasSameTenants(const RouteTable &a, const RouteTable &b)
{
    const auto sorted = [](std::vector<Tenant> tenants) {
        std::ranges::sort(tenants, {}, &Tenant::name);
        return tenants;
    };
    return sorted(a.tenants) == sorted(b.tenants);
}

bool isSame(const RoutingView &a, const RoutingView &b)
{
    if (a.index != b.index || a.evacuatedZones != b.evacuatedZones || !a.table != !b.table) {
        return false;
    }
    return !a.table
        || (a.table->version == b.table->version && a.table->services == b.table->services
            && a.table->limits == b.table->limits && hasSameRoutes(*a.table, *b.table)
            && hasSameTenants(*a.table, *b.table));
}

std::size_t bytesIn(const std::vector<std::string> &changes)
{
    std::size_t bytes = 0;
    for (const std::string &it : changes) {
        bytes += it.size();
    }
    return bytes;
}

std::string compressed(const std::string &text)
{
    uLongf size = compressBound(text.size());
    std::string data(size, '\0');
    const int ec = compress(reinterpret_cast<Bytef *>(data.data()), &size, reinterpret_cast<const Bytef *>(text.data()),
                            text.size());
    REQUIRE(ec == Z_OK);
    data.resize(size);
    return data;
}

std::string expanded(const std::string &data)
{
    uLongf size = 1024 * 1024;
    std::string text(size, '\0');
    const int ec = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                              reinterpret_cast<const Bytef *>(data.data()), data.size());
    REQUIRE(ec == Z_OK);
    text.resize(size);
    return text;
}

/// Routing that changes at random: mostly a little, sometimes completely.
class RandomRouting
{
public:
    /// Few, so that changes are short compared with the whole view and are sent to recipients further behind too.
    static constexpr unsigned FewServices = 3;

    RoutingView next()
    {
        m_index += *rc::gen::inRange<std::uint64_t>(1, 4);
        change(*rc::gen::inRange(0, 15));
        RoutingView view{m_index, nullptr, m_evacuated};
        if (m_hasTable) {
            view.table = std::make_shared<RouteTable>(m_table);
        }
        return view;
    }

private:
    void change(int what)
    {
        if (what < 3) {
            toggleZone("z" + std::to_string(what));
            return;
        }
        ++m_table.version;
        m_hasTable = what != 11;
        switch (what) {
        case 3:
            m_table = tableOf(*rc::gen::inRange(0U, 60U), m_table.version, FewServices);
            break;
        case 4:
            std::reverse(m_table.routes.begin(), m_table.routes.end());
            break;
        case 5:
            m_table.limits.bodyBytes += 1;
            break;
        case 6:
            m_table.services.push_back({"s" + std::to_string(m_table.version), 1, 1s, 0.5});
            break;
        case 7:
            addRoute();
            break;
        case 12:
            addTenant();
            break;
        case 13:
        case 14:
            changeTenant(what);
            break;
        default:
            changeRoute(what);
        }
    }

    void toggleZone(const std::string &zone)
    {
        if (m_evacuated.erase(zone) == 0) {
            m_evacuated.insert(zone);
        }
    }

    void addRoute()
    {
        m_table.routes.push_back(routeAt(1000 + m_added));
        ++m_added;
    }

    void addTenant()
    {
        const std::string name = "t" + std::to_string(m_table.version);
        m_table.tenants.push_back({name, {digestOfSecret(name)}, 1, {5, 5}});
    }

    void changeTenant(int what)
    {
        if (m_table.tenants.empty()) {
            return;
        }
        const auto n = *rc::gen::inRange<std::size_t>(0, m_table.tenants.size());
        if (what == 13) {
            m_table.tenants.erase(m_table.tenants.begin() + static_cast<std::ptrdiff_t>(n));
            return;
        }
        m_table.tenants[n].keyDigests.clear();
        m_table.tenants[n].limit.perSecond += 1;
    }

    void changeRoute(int what)
    {
        if (m_table.routes.empty()) {
            return;
        }
        const auto n = *rc::gen::inRange<std::size_t>(0, m_table.routes.size());
        if (what == 8) {
            m_table.routes.erase(m_table.routes.begin() + static_cast<std::ptrdiff_t>(n));
            return;
        }
        Route &route = m_table.routes[n];
        route.services[0].weight += 0.25;
        route.sticky = !route.sticky;
    }

    std::uint64_t m_index = 0;
    bool m_hasTable = false;
    RouteTable m_table = tableOf(40, 0, FewServices);
    std::set<std::string> m_evacuated;
    unsigned m_added = 0;
};

} // namespace

TEST_CASE("a recipient of any earlier view that applies the changes has exactly the latest view")
{
    CHECK(rc::check([] {
        RandomRouting routing;
        RoutingHistory history;
        std::vector<RoutingView> views{{}};
        const auto steps = *rc::gen::inRange(1, 25);
        std::size_t longest = 0;
        for (int n = 0; n < steps; ++n) {
            views.push_back(routing.next());
            history.append(views.back());
            for (const RoutingView &it : views) {
                const RoutingView before = copyOf(it);
                const std::vector<std::string> changes = history.changesSince(it.index);
                RC_ASSERT(isSame(applyRoutingChanges(it, changes, Peer), views.back()));
                RC_ASSERT(isSame(it, before));
                RC_ASSERT(changes.empty() == (it.index == views.back().index));
                RC_ASSERT(bytesIn(changes) <= bytesIn(history.changesSince(0)));
                longest = std::max(longest, changes.size());
            }
        }
        RC_CLASSIFY(longest > 3, "sent in more than three changes");
    }));
}

TEST_CASE("a recipient that applies changes step by step has the latest view")
{
    CHECK(rc::check([] {
        RandomRouting routing;
        RoutingHistory history;
        RoutingView recipient;
        for (int n = 0; n < 30; ++n) {
            history.append(routing.next());
            if (*rc::gen::inRange(0, 3) == 0) {
                recipient = applyRoutingChanges(recipient, history.changesSince(recipient.index), Peer);
                RC_ASSERT(isSame(recipient, history.view()));
            }
        }
    }));
}

TEST_CASE("no changes are sent to a recipient that has the latest view or a newer one")
{
    RoutingHistory history;
    CHECK(history.index() == 0);
    CHECK(history.changesSince(0).empty());
    history.append(viewOf(7, tableOf(5)));
    CHECK(history.index() == 7);
    CHECK(history.changesSince(7).empty());
    CHECK(history.changesSince(8).empty());
    CHECK(history.changesSince(6).size() == 1);
}

TEST_CASE("a view that is not newer than the latest is ignored")
{
    RoutingHistory history;
    history.append(viewOf(7, tableOf(5, 2)));
    history.append(viewOf(7, tableOf(6, 3)));
    history.append(viewOf(6, tableOf(4, 1)));
    CHECK(history.index() == 7);
    CHECK(history.view().table->version == 2);
    const RoutingView recipient = applyRoutingChanges({}, history.changesSince(0), Peer);
    CHECK(isSame(recipient, history.view()));
}

TEST_CASE("a recipient whose index is between two views is sent the whole view")
{
    RoutingHistory history;
    history.append(viewOf(3, tableOf(40)));
    history.append(viewOf(6, tableOf(40), {"z1"}));
    history.append(viewOf(9, tableOf(40), {"z2"}));
    CHECK(history.changesSince(6).size() == 1);
    CHECK(history.changesSince(3).size() == 2);
    CHECK(history.changesSince(5) == history.changesSince(0));
}

TEST_CASE("an evacuation holds no routes, and the recipient keeps its table")
{
    RoutingHistory history;
    history.append(viewOf(1, tableOf(ManyRoutes)));
    const RoutingView recipient = applyRoutingChanges({}, history.changesSince(0), Peer);
    history.append({2, history.view().table, {"z1"}});
    const std::vector<std::string> changes = history.changesSince(1);
    CHECK(expanded(changes.at(0)).find("/area/") == std::string::npos);
    const RoutingView after = applyRoutingChanges(recipient, changes, Peer);
    CHECK(isSame(after, history.view()));
    CHECK(after.table == recipient.table);
}

TEST_CASE("a change of weights in a table of 4,000 routes takes less than 1 KB")
{
    RouteTable table = tableOf(ManyRoutes);
    RoutingHistory history;
    history.append(viewOf(1, table));
    ++table.version;
    for (std::size_t n = 100; n < 110; ++n) {
        table.routes[n].services[0].weight = 50;
        table.routes[n].services[1].weight = 50;
    }
    history.append(viewOf(2, table));
    REQUIRE(history.changesSince(1).size() == 1);
    INFO("bytes: " << bytesIn(history.changesSince(1)) << ", of the whole: " << bytesIn(history.changesSince(0)));
    CHECK(bytesIn(history.changesSince(1)) < 1024);
}

TEST_CASE("a key removed from one of 76 tenants takes less than 300 bytes")
{
    RouteTable table = tableOf(40, 1);
    for (unsigned n = 0; n < 76; ++n) {
        const std::string name = "tenant-" + std::to_string(n);
        table.tenants.push_back({name, {digestOfSecret(name), digestOfSecret(name + "'s second")}, 1, {40, 40}});
    }
    RoutingHistory history;
    history.append(viewOf(1, table));
    const std::size_t limits = bytesIn(history.changesSince(0));
    table.version = 2;
    table.tenants[7].keyDigests.pop_back();
    history.append(viewOf(2, table));
    // Each change holds all services and limits; of the tenants only those that differ.
    RoutingHistory withoutTenants;
    RouteTable plain = tableOf(40, 1);
    withoutTenants.append(viewOf(1, plain));
    plain.version = 2;
    withoutTenants.append(viewOf(2, plain));
    CHECK(bytesIn(history.changesSince(1)) < bytesIn(withoutTenants.changesSince(1)) + 300);
    CHECK(limits > 76 * 2 * 16);
    const RoutingView recipient =
        applyRoutingChanges(viewOf(1,
                                   [&] {
                                       RouteTable old = table;
                                       old.version = 1;
                                       old.tenants[7].keyDigests.push_back(digestOfSecret("tenant-7's second"));
                                       return old;
                                   }()),
                            history.changesSince(1), Peer);
    CHECK(isSame(recipient, history.view()));
}

TEST_CASE("a change made for other tenants under the recipient's index is an error")
{
    RouteTable table = tableOf(4, 1);
    table.tenants = {{"t1", {"k1"}}};
    RoutingHistory history;
    history.append(viewOf(3, table));
    table.version = 2;
    table.limits.bodyBytes += 1;
    history.append(viewOf(4, table));
    RouteTable other = table;
    other.version = 1;
    other.tenants = {{"t1", {"k2"}}};
    CHECK_THROWS_AS(applyRoutingChanges(viewOf(3, other), history.changesSince(3), Peer), Error);
}

TEST_CASE("1,400 added routes take less than 60 KB")
{
    RoutingHistory history;
    history.append(viewOf(1, tableOf(ManyRoutes - 1400, 1)));
    history.append(viewOf(2, tableOf(ManyRoutes, 2)));
    REQUIRE(history.changesSince(1).size() == 1);
    INFO("bytes: " << bytesIn(history.changesSince(1)) << ", of the whole: " << bytesIn(history.changesSince(0)));
    CHECK(bytesIn(history.changesSince(1)) < 60 * 1024);
}

TEST_CASE("a recipient too far behind is sent the whole view, in one change that applies to any view")
{
    RoutingHistory history;
    std::vector<RoutingView> views;
    for (std::uint64_t n = 1; n <= 300; ++n) {
        RouteTable table = tableOf(40, n);
        table.routes[n % 40].services[0].weight = static_cast<double>(n);
        views.push_back(viewOf(n, std::move(table)));
        history.append(views.back());
    }
    const std::vector<std::string> whole = history.changesSince(0);
    REQUIRE(whole.size() == 1);
    CHECK(history.changesSince(1) == whole);
    CHECK(history.changesSince(299) != whole);
    CHECK(isSame(applyRoutingChanges({}, whole, Peer), views.back()));
    CHECK(isSame(applyRoutingChanges(views.front(), whole, Peer), views.back()));
    // A recipient that is not far behind is sent no more bytes than the whole view has.
    const auto behind = [&](std::uint64_t n) {
        return bytesIn(history.changesSince(300 - n));
    };
    CHECK(behind(2) > behind(1));
    CHECK(behind(2) < bytesIn(whole));
}

TEST_CASE("a change that replaces nearly all routes is sent as the whole view")
{
    RoutingHistory history;
    history.append(viewOf(1, tableOf(200, 1)));
    RouteTable other = tableOf(0, 2);
    for (unsigned n = 0; n < 20; ++n) {
        other.routes.push_back(routeAt(5000 + n));
    }
    history.append(viewOf(2, std::move(other)));
    CHECK(history.changesSince(1) == history.changesSince(0));
    CHECK(isSame(applyRoutingChanges({}, history.changesSince(1), Peer), history.view()));
}

TEST_CASE("a change made for another index than the recipient's is an error that names the peer")
{
    RoutingHistory history;
    history.append(viewOf(3, tableOf(40)));
    history.append(viewOf(5, tableOf(40), {"z1"}));
    history.append(viewOf(9, tableOf(41, 2), {"z1"}));
    const std::vector<std::string> changes = history.changesSince(3);
    REQUIRE(changes.size() == 2);
    const RoutingView first = viewOf(3, tableOf(40));
    const auto failsOn = [&](const RoutingView &from, const std::vector<std::string> &sent) {
        const RoutingView before = copyOf(from);
        try {
            applyRoutingChanges(from, sent, Peer);
        } catch (const Error &ex) {
            CHECK(ex.peer() == Peer);
            CHECK_FALSE(ex.step().empty());
            CHECK(ex.reason().find("follows on index") != std::string::npos);
            CHECK(isSame(from, before));
            return true;
        }
        return false;
    };
    CHECK(failsOn(first, {changes[1]}));
    CHECK(failsOn(first, {changes[0], changes[0]}));
    CHECK(failsOn(first, {changes[1], changes[0]}));
    CHECK(failsOn({}, changes));
    CHECK(failsOn(viewOf(9, tableOf(40)), changes));
    CHECK_FALSE(failsOn(first, changes));
}

TEST_CASE("a change made for other routes under the recipient's index is an error, and the whole view repairs it")
{
    RoutingHistory sent;
    sent.append(viewOf(1, tableOf(20)));
    RoutingHistory other;
    RouteTable otherTable = tableOf(20);
    otherTable.routes[6].homeRegions = {"south"};
    other.append(viewOf(1, otherTable));
    RouteTable next = tableOf(20, 2);
    next.routes[3].attempts = 7;
    sent.append(viewOf(2, next));
    const RoutingView recipient = applyRoutingChanges({}, other.changesSince(0), Peer);
    try {
        applyRoutingChanges(recipient, sent.changesSince(1), Peer);
        FAIL("the change was applied");
    } catch (const Error &ex) {
        CHECK(std::string(ex.what()).find(Peer) != std::string::npos);
    }
    const RoutingView repaired = applyRoutingChanges(recipient, sent.changesSince(0), Peer);
    CHECK(hasSameRoutes(*repaired.table, next));
}

TEST_CASE("a change that removes an unknown route is an error that names the peer")
{
    RoutingHistory history;
    history.append(viewOf(3, tableOf(40, 1)));
    history.append(viewOf(4, tableOf(39, 2)));
    // The recipient claims to have index 3, but has another table.
    const RoutingView recipient = viewOf(3, tableOf(20, 1));
    try {
        applyRoutingChanges(recipient, history.changesSince(3), Peer);
        FAIL("the change was applied");
    } catch (const Error &ex) {
        CHECK(ex.peer() == Peer);
        CHECK(ex.reason().find(routeAt(39).prefix) != std::string::npos);
    }
    CHECK(recipient.table->routes.size() == 20);
}

namespace
{

/// A change for a recipient of index 1, as a difference and as the whole view.
class SampleChange
{
public:
    SampleChange()
    {
        recipient = viewOf(1, tableOf(40, 1));
        RoutingHistory history;
        history.append(recipient);
        history.append(viewOf(2, tableOf(42, 2), {"z1"}));
        newest = history.view();
        change = history.changesSince(1).at(0);
        whole = history.changesSince(0).at(0);
    }

    /// Returns one of the two, at random.
    std::string any() const
    {
        return *rc::gen::arbitrary<bool>() ? change : whole;
    }

    /// Returns nothing if the change can't be applied; the error must name the peer.
    std::optional<RoutingView> apply(const std::string &data) const
    {
        try {
            return applyRoutingChanges(recipient, {data}, Peer);
        } catch (const Error &ex) {
            RC_ASSERT(ex.peer() == Peer);
            return std::nullopt;
        }
    }

    RoutingView recipient;
    RoutingView newest;
    std::string change;
    std::string whole;
};

void flipOne(std::string &data)
{
    const auto place = *rc::gen::inRange<std::size_t>(0, data.size());
    const auto mask = *rc::gen::inRange(1, 256);
    data[place] = static_cast<char>(static_cast<unsigned char>(data[place]) ^ mask);
}

} // namespace

TEST_CASE("a truncated change, or one with trailing bytes, is an error that names the peer")
{
    const SampleChange sample;
    CHECK(rc::check([&] {
        std::string data = sample.any();
        const auto size = *rc::gen::inRange<std::size_t>(0, data.size());
        RC_ASSERT_FALSE(sample.apply(data.substr(0, size)).has_value());
        data += *rc::gen::nonEmpty<std::string>();
        RC_ASSERT_FALSE(sample.apply(data).has_value());
    }));
}

TEST_CASE("a change with flipped bits is an error, or has the same content")
{
    const SampleChange sample;
    CHECK(rc::check([&] {
        std::string data = sample.any();
        const auto flips = *rc::gen::inRange(1, 4);
        for (int n = 0; n < flips; ++n) {
            flipOne(data);
        }
        const std::optional<RoutingView> view = sample.apply(data);
        RC_ASSERT(!view || isSame(*view, sample.newest));
    }));
}

TEST_CASE("random bytes are an error")
{
    const SampleChange sample;
    CHECK(rc::check([&] {
        const auto data = *rc::gen::arbitrary<std::string>();
        RC_ASSERT_FALSE(sample.apply(data).has_value());
    }));
}

TEST_CASE("a change that was corrupted before compression is harmless")
{
    const SampleChange sample;
    CHECK(rc::check([&] {
        std::string text = expanded(sample.any());
        const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
        RC_ASSERT_FALSE(sample.apply(compressed(text.substr(0, size))).has_value());
        const auto flips = *rc::gen::inRange(1, 4);
        for (int n = 0; n < flips; ++n) {
            flipOne(text);
        }
        const std::optional<RoutingView> view = sample.apply(compressed(text));
        RC_ASSERT(!view || view->index > 0);
        RC_ASSERT(isSame(sample.recipient, viewOf(1, tableOf(40, 1))));
    }));
}

TEST_CASE("a change that declares more elements than it holds allocates no memory for them")
{
    const SampleChange sample;
    // MessagePack: a list, and a map, of 2^32 - 1 elements that don't follow.
    CHECK_FALSE(sample.apply(compressed("\xdd\xff\xff\xff\xff")).has_value());
    CHECK_FALSE(sample.apply(compressed("\xdf\xff\xff\xff\xff")).has_value());
}

TEST_CASE("a change that expands to more than the longest message is an error that names the peer")
{
    constexpr std::size_t LongestMessage = 64 * 1024 * 1024;
    const std::string data = compressed(std::string(LongestMessage + 1, '\0'));
    REQUIRE(data.size() < 1024 * 1024);
    try {
        applyRoutingChanges({}, {data}, Peer);
        FAIL("the change was applied");
    } catch (const Error &ex) {
        CHECK(ex.peer() == Peer);
        CHECK(ex.reason().find("more than a message") != std::string::npos);
    }
}

TEST_CASE("a change that leads to no newer index is an error")
{
    const SampleChange sample;
    // MessagePack: a list without elements, of which all members keep their defaults.
    CHECK_FALSE(sample.apply(compressed("\x90")).has_value());
}

TEST_CASE("a route of an unknown kind is an error that names the peer")
{
    RouteTable table = tableOf(3);
    table.routes[1].kind = static_cast<RouteKind>(7);
    RoutingHistory history;
    history.append(viewOf(1, std::move(table)));
    try {
        applyRoutingChanges({}, history.changesSince(0), Peer);
        FAIL("the change was applied");
    } catch (const Error &ex) {
        CHECK(ex.peer() == Peer);
        CHECK(ex.reason().find("route-1") != std::string::npos);
    }
}
