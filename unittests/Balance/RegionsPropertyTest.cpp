//===- RegionsPropertyTest.cpp - Home regions over generated orders -------===//
//
// Three entry hosts in two regions, each with the routing that it has received so far. Tables add, move and remove home
// regions of routes and tenants; hosts lose their targets and relay; connections are made any time later.
//
//===----------------------------------------------------------------------===//
#include "BalanceFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperlug;
using namespace pepperlug::fleet;

namespace
{

constexpr int Steps = 300;
const std::vector<std::vector<std::string>> HomeLists{{}, {}, {"r1"}, {"r2"}, {"r1", "r2"}};
const std::vector<std::string> Paths{"/read/x", "/once/x"};
const std::vector<std::string> Keys{"k1", "k2"};

enum class Step : std::uint8_t { AddTable, ReceiveTable, ToggleTargets, Tick, Request, Connect };

bool allows(const std::vector<std::string> &homeRegions, const std::string &region)
{
    return homeRegions.empty() || std::ranges::find(homeRegions, region) != homeRegions.end();
}

class RegionsNetwork
{
public:
    RegionsNetwork()
    {
        addTable();
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            receiveTable(n);
            for (const char *id : {"near-1", "near-2"}) {
                m_hosts[n].host->report(Host::targetOf(id, "z1"));
            }
            m_hosts[n].host->report(Host::targetOf("far-1", "z3"));
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                reportHost(n, other);
            }
        }
    }

    void step()
    {
        const auto n = *rc::gen::inRange<std::size_t>(0, m_hosts.size());
        m_now += Milliseconds(*rc::gen::element(1, 30, 200));
        switch (*rc::gen::weightedElement<Step>({{1, Step::AddTable},
                                                 {2, Step::ReceiveTable},
                                                 {1, Step::ToggleTargets},
                                                 {6, Step::Tick},
                                                 {6, Step::Request},
                                                 {8, Step::Connect}})) {
        case Step::AddTable:
            addTable();
            break;
        case Step::ReceiveTable:
            receiveTable(n);
            break;
        case Step::ToggleTargets:
            m_hosts[n].reachesTargets = !m_hosts[n].reachesTargets;
            break;
        case Step::Tick:
            tick(n);
            break;
        case Step::Request:
            request(n, *rc::gen::elementOf(Paths), *rc::gen::elementOf(Keys), std::nullopt);
            break;
        case Step::Connect:
            connectNext();
        }
    }

    std::size_t relayed = 0; ///< requests that arrived at another entry host
    std::size_t withheld = 0;

private:
    struct Entry {
        std::string id;
        std::string zone;
        std::unique_ptr<Host> host;
        std::uint64_t index = 0; ///< of the routing that it has
        bool reachesTargets = true;
        std::map<std::uint64_t, CallerRequest> requests;
    };

    struct Pending {
        std::size_t entry = 0;
        StartAttempt attempt;
    };

    static Entry entryIn(const std::string &id, const std::string &zone)
    {
        BalanceSettings settings = Host::settingsOf(zone, hash64(id));
        settings.host = id;
        return {id, zone, std::make_unique<Host>(settings), 0, true, {}};
    }

    static std::vector<Entry> threeEntries()
    {
        std::vector<Entry> entries;
        entries.push_back(entryIn("e1", "z1"));
        entries.push_back(entryIn("e2", "z2"));
        entries.push_back(entryIn("e3", "z3"));
        return entries;
    }

    void addTable()
    {
        RouteTable table;
        table.version = m_tables.size() + 1;
        table.services = {{"s", 100, 3s, 4}};
        table.routes = {Host::routeOf("/read/", RouteKind::Repeatable), Host::routeOf("/once/", RouteKind::OnceOnly)};
        table.tenants = {{"t1", {"k1"}}, {"t2", {"k2"}}};
        for (Route &it : table.routes) {
            it.homeRegions = *rc::gen::elementOf(HomeLists);
        }
        for (Tenant &it : table.tenants) {
            it.homeRegions = *rc::gen::elementOf(HomeLists);
        }
        m_tables.push_back(table);
    }

    void receiveTable(std::size_t n)
    {
        Entry &entry = m_hosts[n];
        entry.index = m_tables.size();
        entry.host->now = m_now;
        entry.host->table = m_tables.back();
        entry.host->routingIndex = entry.index;
        entry.host->useTable();
        applyEffects(n);
    }

    void reportHost(std::size_t n, std::size_t other)
    {
        HostReport report = Host::entryOf(m_hosts[other].id, m_hosts[other].zone);
        report.address = "10.9.0." + std::to_string(other + 1) + ":80";
        m_hosts[n].host->report(report);
    }

    void tick(std::size_t n)
    {
        m_hosts[n].host->now = m_now;
        m_hosts[n].host->reduce(BalanceTick{});
        applyEffects(n);
    }

    void request(std::size_t n, const std::string &path, const std::string &key, std::optional<std::uint64_t> relayedBy)
    {
        Entry &entry = m_hosts[n];
        CallerRequest request{static_cast<RequestId>(++entry.host->lastRequest), "h", path, {}, {}, {}, key, relayedBy};
        entry.requests[entry.host->lastRequest] = request;
        entry.host->now = m_now;
        entry.host->reduce(request);
        applyEffects(n);
    }

    void applyEffects(std::size_t n)
    {
        const BalanceEffects effects = m_hosts[n].host->effects;
        for (const BalanceEffect &effect : effects) {
            if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
                checkRegion(n, *attempt, m_hosts[n].index);
                m_pending.push_back({n, *attempt});
            } else if (const auto *probe = std::get_if<ProbeTarget>(&effect)) {
                m_hosts[n].host->reduce(TargetProbed{
                    probe->service, m_hosts[n].reachesTargets ? ProbeResult::Answered : ProbeResult::Failed});
                applyEffects(n);
            }
        }
    }

    void checkRegion(std::size_t n, const StartAttempt &attempt, std::uint64_t index) const
    {
        const CallerRequest &request = m_hosts[n].requests.at(static_cast<std::uint64_t>(attempt.id));
        const RouteTable &table = m_tables.at(index - 1);
        RC_ASSERT(allows(table.match("h", request.path)->homeRegions, attempt.region));
        RC_ASSERT(allows(table.tenants[request.keyDigest == "k1" ? 0 : 1].homeRegions, attempt.region));
        RC_ASSERT(!request.relayedByIndex || *request.relayedByIndex <= index);
    }

    /// The connection of a pending attempt is there, or can't be made.
    void connectNext()
    {
        if (m_pending.empty()) {
            return;
        }
        const auto place = *rc::gen::inRange<std::size_t>(0, m_pending.size());
        const Pending it = m_pending[place];
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(place));
        Entry &entry = m_hosts[it.entry];
        entry.host->now = m_now;
        const std::optional<Withheld> reason = entry.host->balancer.withheldBecause(it.attempt.id, it.attempt.attempt);
        if (reason) {
            ++withheld;
            end(it, AttemptOutcome::Withdrawn);
            return;
        }
        checkRegion(it.entry, it.attempt, entry.index);
        if (it.attempt.relay.empty()) {
            end(it, entry.reachesTargets ? AttemptOutcome::Answered : AttemptOutcome::NotSent);
            return;
        }
        RC_ASSERT(it.attempt.routingIndex == entry.index);
        ++relayed;
        const auto other = std::ranges::find(m_hosts, it.attempt.relay, &Entry::id);
        const CallerRequest sent = entry.requests.at(static_cast<std::uint64_t>(it.attempt.id));
        request(static_cast<std::size_t>(other - m_hosts.begin()), sent.path, sent.keyDigest, it.attempt.routingIndex);
        end(it, *rc::gen::element(AttemptOutcome::Answered, AttemptOutcome::Shed));
    }

    void end(const Pending &it, AttemptOutcome outcome)
    {
        m_hosts[it.entry].host->end(it.attempt.id, it.attempt.attempt, outcome);
        applyEffects(it.entry);
    }

    std::vector<RouteTable> m_tables; ///< by log index, from 1
    std::vector<Entry> m_hosts = threeEntries();
    std::vector<Pending> m_pending;
    TimePoint m_now{1000s};
};

} // namespace

// Guards against any way to a target or to another entry host that the home regions in force at the sender exclude.
TEST_CASE("no request is sent to a region that its home regions exclude or relayed to a host with older routing")
{
    CHECK(rc::check([] {
        RegionsNetwork network;
        for (int n = 0; n < Steps; ++n) {
            network.step();
        }
        RC_CLASSIFY(network.relayed > 0, "relayed");
        RC_CLASSIFY(network.withheld > 0, "withheld");
    }));
}
