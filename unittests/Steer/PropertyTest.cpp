//===- PropertyTest.cpp - Random orders of events -------------------------===//
//
// One host gets random events in random order, valid and stale ones, and its counts are checked after each of them.
// Then a model of several hosts runs with random faults and load.
//
//===----------------------------------------------------------------------===//
#include "SteerFixture.h"

#include <rapidcheck.h>

#include <set>

using namespace pepperlug;
using namespace std::chrono_literals;

namespace
{

struct OpenAttempt {
    RequestId id{};
    unsigned attempt = 0;
    bool toTarget = false;
};

/// A single host with randomly generated callers, peers and targets.
class RandomHost
{
public:
    explicit RandomHost(bool syncClaims)
        : m_bundle(exampleBundle("kemal"))
    {
        SteerSettings settings;
        settings.hostName = "istanbul-a-1";
        settings.ledgerId = "led";
        settings.syncClaims = syncClaims;
        m_syncClaims = syncClaims;
        m_steering.emplace(settings, m_now);
        reduce(ConfigApplied{m_bundle, ++m_index, {}, {}, {}});
        reduce(ControlReplied{m_index});
        confirmPeers();
    }

    void step()
    {
        m_now += Milliseconds(*rc::gen::inRange(0, 40));
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
        case 1:
        case 2:
            addRequest();
            break;
        case 3:
        case 4:
        case 5:
            endAttempt();
            break;
        case 6:
            reduce(Tick{});
            break;
        case 7:
            sendLeaseRequest();
            break;
        case 8:
            disconnectCaller();
            break;
        case 9:
            reduce(LookupArrived{makeId<RequestId>(++m_lastId), ServiceId{}, randomZone()});
            break;
        case 10:
            changeConfig();
            break;
        default:
            syncClaim();
            break;
        }
        check();
    }

    void finish()
    {
        // Once time has passed and all attempts have ended, every request must have been answered exactly once.
        for (int n = 0; n < 3000 && !m_open.empty(); ++n) {
            while (!m_attempts.empty()) {
                endAttempt();
            }
            while (!m_syncs.empty()) {
                syncClaim();
            }
            m_now += 50ms;
            reduce(Tick{});
        }
        RC_ASSERT(m_open.empty());
    }

private:
    std::optional<ZoneId> randomZone()
    {
        const int n = *rc::gen::inRange(0, 7);
        return n == 6 ? std::nullopt : std::optional(makeId<ZoneId>(static_cast<std::size_t>(n)));
    }

    void addRequest()
    {
        RequestArrived event;
        event.id = makeId<RequestId>(++m_lastId);
        event.cls = static_cast<RouteClass>(*rc::gen::inRange(0, 3));
        event.callerZone = randomZone();
        event.deadline = m_now + Milliseconds(*rc::gen::inRange(1, 3000));
        if (*rc::gen::inRange(0, 4) == 0) {
            event.forwardedBy = makeId<HostId>(static_cast<std::size_t>(*rc::gen::inRange(1, 9)));
            event.claimed = event.cls == RouteClass::Once;
        }
        if (event.cls == RouteClass::Once) {
            const HomeToken token = m_steering->ledger().token(m_now);
            event.key = token.text() + "." + std::to_string(*rc::gen::inRange(0, 20));
            event.requestDigest = "d" + std::to_string(*rc::gen::inRange(0, 2));
        }
        m_open.insert(event.id);
        m_keys[event.id] = event.claimed ? std::string() : event.key;
        reduce(event);
    }

    void endAttempt()
    {
        if (m_attempts.empty()) {
            return;
        }
        const auto n = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(m_attempts.size())));
        const OpenAttempt attempt = m_attempts[n];
        m_attempts.erase(m_attempts.begin() + static_cast<std::ptrdiff_t>(n));
        const std::vector<AttemptResult> local{AttemptResult::Answered, AttemptResult::ServerError,
                                               AttemptResult::NotSent,  AttemptResult::Shed,
                                               AttemptResult::Broken,   AttemptResult::TooLarge};
        const std::vector<AttemptResult> remote{AttemptResult::Answered, AttemptResult::NotSent, AttemptResult::Broken,
                                                AttemptResult::RemoteNotRun, AttemptResult::RemoteUnknown};
        const AttemptResult result = *rc::gen::elementOf(attempt.toTarget ? local : remote);
        const bool mayHaveRun =
            result != AttemptResult::NotSent && result != AttemptResult::Shed && result != AttemptResult::RemoteNotRun;
        if (mayHaveRun) {
            m_maybeRan.insert(attempt.id);
            const std::string &key = m_keys[attempt.id];
            if (!key.empty()) {
                RC_ASSERT(m_ranKeys.insert(key).second);
                RC_ASSERT(m_notRunKeys.count(key) == 0U);
            }
        }
        const AttemptEnded event{attempt.id, attempt.attempt, result, *rc::gen::inRange(0, 50) == 0,
                                 std::make_shared<Answer>(Answer{200, {}, ""})};
        reduce(event);
        reduce(event); // a repeated end is ignored
    }

    void sendLeaseRequest()
    {
        const auto holder = makeId<HostId>(static_cast<std::size_t>(*rc::gen::inRange(1, 9)));
        LeaseRequest request;
        request.sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 30)); // includes old sequences
        request.incarnation = static_cast<std::uint64_t>(*rc::gen::inRange(1, 3));
        request.configIndex = m_index;
        for (std::uint32_t service = 0; service < 2; ++service) {
            request.wants.push_back({service, static_cast<std::uint32_t>(*rc::gen::inRange(0, 5)),
                                     static_cast<std::uint32_t>(*rc::gen::inRange(0, 8))});
        }
        reduce(LeaseRequestArrived{holder, request});
    }

    void disconnectCaller()
    {
        if (m_open.empty()) {
            return;
        }
        const RequestId id = *m_open.begin();
        const bool mayContinue = !m_keys[id].empty();
        reduce(CallerDisconnected{id});
        if (!mayContinue) {
            m_open.erase(id); // no answer is expected
        } else {
            m_disconnected.insert(id);
            m_open.erase(id);
        }
    }

    void changeConfig()
    {
        ConfigApplied config{m_bundle, ++m_index, {}, {}, {}};
        if (*rc::gen::inRange(0, 2) == 0) {
            config.drainedTargets.push_back(m_bundle->targets[static_cast<std::size_t>(*rc::gen::inRange(0, 4))].name);
        }
        if (*rc::gen::inRange(0, 3) == 0) {
            config.voidHosts.push_back("istanbul-a-2");
        }
        reduce(config);
        reduce(ControlReplied{m_index});
        if (*rc::gen::inRange(0, 2) == 0) {
            confirmPeers();
        }
    }

    void confirmPeers()
    {
        LeaseRequest request;
        request.sequence = ++m_peerSequence + 1000;
        request.incarnation = 77;
        request.configIndex = m_index;
        reduce(LeaseRequestArrived{makeId<HostId>(1), request});
        reduce(Tick{});
    }

    void syncClaim()
    {
        if (m_syncs.empty()) {
            return;
        }
        const ClaimSynced event = m_syncs.front();
        m_syncs.pop_front();
        reduce(event);
    }

    void reduce(const Event &event)
    {
        Effects effects;
        m_steering->reduce(event, m_now, effects);
        for (const Effect &effect : effects) {
            handleEffect(effect);
        }
    }

    void end(RequestId id)
    {
        const bool wasOpen = m_open.erase(id) == 1;
        const bool wasDisconnected = m_disconnected.erase(id) == 1;
        RC_ASSERT(wasOpen || wasDisconnected);
    }

    void handleEffect(const Effect &effect)
    {
        if (const auto *it = std::get_if<Dispatch>(&effect)) {
            m_attempts.push_back({it->id, it->attempt, true});
            const std::string &key = m_keys[it->id];
            RC_ASSERT(key.empty() || m_notRunKeys.count(key) == 0U);
            RC_ASSERT(key.empty() || !m_syncClaims || m_syncedKeys.count(key) == 1U);
        } else if (const auto *it = std::get_if<Forward>(&effect)) {
            m_attempts.push_back({it->id, it->attempt, false});
        } else if (const auto *it = std::get_if<CancelAttempt>(&effect)) {
            m_maybeRan.insert(it->id);
            std::erase_if(m_attempts, [&](const OpenAttempt &attempt) {
                return attempt.id == it->id && attempt.attempt == it->attempt;
            });
        } else if (const auto *it = std::get_if<RelayAnswer>(&effect)) {
            end(it->id);
        } else if (const auto *it = std::get_if<SendStoredAnswer>(&effect)) {
            RC_ASSERT(m_ranKeys.count(m_keys[it->id]) == 1U);
            end(it->id);
        } else if (const auto *it = std::get_if<Refuse>(&effect)) {
            handleRefusal(*it);
        } else if (const auto *it = std::get_if<SyncClaim>(&effect)) {
            if (it->awaited) {
                m_syncs.push_back({it->id, it->record.state});
                m_syncedKeys.insert(it->record.key);
            }
        }
    }

    void handleRefusal(const Refuse &refusal)
    {
        if (static_cast<std::uint64_t>(refusal.id) > 0
            && (m_open.count(refusal.id) == 1U || m_disconnected.count(refusal.id) == 1U)) {
            if (refusal.outcome == Outcome::NotRun) {
                RC_ASSERT(m_maybeRan.count(refusal.id) == 0U);
                const std::string &key = m_keys[refusal.id];
                const bool concernsKey = !key.empty() && refusal.reason != Reason::KeyMismatch;
                if (concernsKey) {
                    RC_ASSERT(m_ranKeys.count(key) == 0U);
                    m_notRunKeys.insert(key);
                }
            }
            end(refusal.id);
        }
    }

    void check()
    {
        for (std::size_t n = 0; n < 2; ++n) {
            const ServiceView view = m_steering->view(makeId<ServiceId>(n));
            RC_ASSERT(view.inFlight <= view.sliceSlots + m_slotsBefore);
        }
    }

    BundlePtr m_bundle;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::optional<Steering> m_steering;
    bool m_syncClaims = false;
    std::uint64_t m_index = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_peerSequence = 0;
    unsigned m_slotsBefore = 4; ///< requests that may still run on slots that the slice has lost
    std::set<RequestId> m_open;
    std::set<RequestId> m_disconnected;
    std::set<RequestId> m_maybeRan;
    std::map<RequestId, std::string> m_keys;
    std::set<std::string> m_ranKeys;
    std::set<std::string> m_notRunKeys;
    std::set<std::string> m_syncedKeys;
    std::vector<OpenAttempt> m_attempts;
    std::deque<ClaimSynced> m_syncs;
};

} // namespace

TEST_CASE("random orders of events: every request ends once, every key runs at most once, not-run outcomes are correct")
{
    for (const bool syncClaims : {false, true}) {
        const bool holds = rc::check([syncClaims] {
            RandomHost host(syncClaims);
            const int steps = *rc::gen::inRange(10, 400);
            for (int n = 0; n < steps; ++n) {
                host.step();
            }
            host.finish();
        });
        CHECK(holds);
    }
}

TEST_CASE("random faults and load: sums, shift caps, link limits and slots hold after every event")
{
    const bool holds = rc::check([] {
        const BundlePtr bundle = exampleBundle("kemal");
        DriverSettings settings;
        settings.seed = *rc::gen::arbitrary<std::uint64_t>();
        settings.lossShare = *rc::gen::element(0.0, 0.2);
        settings.repeatShare = *rc::gen::element(0.0, 0.2);
        settings.jitter = Milliseconds(*rc::gen::inRange(0, 500));
        settings.callersPerZone = 10;
        Driver driver(bundle, settings);
        Invariants invariants(*bundle);
        driver.setObserver([&invariants](const Driver &it) { invariants.check(it); });
        setLoad(driver, *bundle, *rc::gen::element(0.3, 0.8, 1.2));
        for (int n = 0; n < 6; ++n) {
            const auto host = makeId<HostId>(static_cast<std::size_t>(*rc::gen::inRange(0, 9)));
            const auto firstZone = makeId<ZoneId>(static_cast<std::size_t>(*rc::gen::inRange(0, 6)));
            const auto secondZone = makeId<ZoneId>(static_cast<std::size_t>(*rc::gen::inRange(0, 6)));
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                driver.kill(host);
                break;
            case 1:
                driver.restart(host);
                break;
            case 2:
                driver.setCut(firstZone, secondZone, true);
                break;
            case 3:
                driver.setCut(firstZone, secondZone, false);
                break;
            case 4:
                driver.setControlCut(firstZone, *rc::gen::inRange(0, 2) == 0);
                break;
            default:
                driver.endAllCaches();
                break;
            }
            driver.run(Milliseconds(*rc::gen::inRange(10, 900)));
        }
        invariants.require(driver);
        RC_ASSERT(driver.overSlots() == 0U);
        RC_ASSERT(driver.falseNotRun() == 0U);
        RC_ASSERT(driver.endedTwice() == 0U);
    });
    CHECK(holds);
}
