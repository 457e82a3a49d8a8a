//===- Trace.cpp - Recording and replay of events -------------------------===//
//
// A trace holds the settings of the reducer, its events with their times, and stated outcomes. Ids are stored as
// numbers: they mean positions in the bundle that the trace carries.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Steer.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

using nlohmann::json;

template <typename Id>
json optionalId(const std::optional<Id> &id)
{
    return id ? json(idx(*id)) : json();
}

template <typename Id>
std::optional<Id> readOptionalId(const json &value, const char *key)
{
    const auto it = value.find(key);
    if (it == value.end() || it->is_null()) {
        return std::nullopt;
    }
    return makeId<Id>(it->get<std::size_t>());
}

template <typename Id>
Id readId(const json &value, const char *key)
{
    return makeId<Id>(value.at(key).get<std::size_t>());
}

TimePoint readTime(const json &value, const char *key)
{
    return TimePoint(Duration(value.at(key).get<std::int64_t>()));
}

// Writers: one overload for each event.
class EventWriter
{
public:
    explicit EventWriter(const std::string &bundleText)
        : m_bundleText(bundleText)
    {
    }

    json operator()(const ConfigApplied &it) const
    {
        return {{"event", "config"},
                {"bundle", m_bundleText},
                {"index", it.index},
                {"drained_targets", it.drainedTargets},
                {"drained_hosts", it.drainedHosts},
                {"void_hosts", it.voidHosts}};
    }

    json operator()(const ControlHeard &it) const
    {
        return {{"event", "control-heard"}, {"index", it.index}};
    }

    json operator()(const LookupArrived &it) const
    {
        return {
            {"event", "lookup"}, {"id", idx(it.id)}, {"service", idx(it.service)}, {"zone", optionalId(it.callerZone)}};
    }

    json operator()(const RequestArrived &it) const
    {
        return {{"event", "request"},
                {"id", idx(it.id)},
                {"service", idx(it.service)},
                {"class", static_cast<int>(it.cls)},
                {"zone", optionalId(it.callerZone)},
                {"deadline", it.deadline.time_since_epoch().count()},
                {"forwarded_by", optionalId(it.forwardedBy)},
                {"to_home", it.toHome},
                {"claimed", it.claimed},
                {"key", it.key},
                {"digest", it.requestDigest}};
    }

    json operator()(const AttemptEnded &it) const
    {
        return {{"event", "attempt-ended"},
                {"id", idx(it.id)},
                {"attempt", it.attempt},
                {"result", static_cast<int>(it.result)},
                {"leaving", it.targetLeaving}};
    }

    json operator()(const CallerLeft &it) const
    {
        return {{"event", "caller-left"}, {"id", idx(it.id)}};
    }

    json operator()(const LeaseAsked &it) const
    {
        json wants = json::array();
        for (const ServiceWant &want : it.request.wants) {
            wants.push_back({want.service, want.keep, want.want});
        }
        return {{"event", "lease-asked"},
                {"holder", idx(it.holder)},
                {"sequence", it.request.sequence},
                {"incarnation", it.request.incarnation},
                {"index", it.request.configIndex},
                {"leaving", it.request.leaving},
                {"ledger", it.request.ledgerId},
                {"ledger_age_s", it.request.ledgerAge.count()},
                {"wants", wants}};
    }

    json operator()(const LeaseGranted &it) const
    {
        json grants = json::array();
        for (const ServiceGrant &grant : it.grant.grants) {
            grants.push_back({grant.service, grant.amount, grant.spare});
        }
        return {{"event", "lease-granted"},
                {"issuer", idx(it.issuer)},
                {"sequence", it.grant.sequence},
                {"index", it.grant.configIndex},
                {"duration_us", it.grant.duration.count()},
                {"leaving", it.grant.leaving},
                {"ledger", it.grant.ledgerId},
                {"ledger_age_s", it.grant.ledgerAge.count()},
                {"grants", grants}};
    }

    json operator()(const LeaseFailed &it) const
    {
        return {{"event", "lease-failed"}, {"issuer", idx(it.issuer)}, {"sequence", it.sequence}};
    }

    json operator()(const TargetReported &it) const
    {
        return {{"event", "target-reported"},
                {"target", idx(it.target)},
                {"healthy", it.healthy},
                {"load", it.load},
                {"leaving", it.leaving}};
    }

    json operator()(const PlatformListed &it) const
    {
        return {{"event", "platform-listed"}, {"leaving", it.leavingTargets}};
    }

    json operator()(const ClaimSynced &it) const
    {
        return {{"event", "claim-synced"}, {"id", idx(it.id)}, {"state", static_cast<int>(it.state)}};
    }

    json operator()(const StopAsked &) const
    {
        return {{"event", "stop"}};
    }

    json operator()(const Tick &) const
    {
        return {{"event", "tick"}};
    }

private:
    const std::string &m_bundleText;
};

LeaseRequest readLeaseRequest(const json &line)
{
    LeaseRequest request;
    request.sequence = line.at("sequence").get<std::uint64_t>();
    request.incarnation = line.at("incarnation").get<std::uint64_t>();
    request.configIndex = line.at("index").get<std::uint64_t>();
    request.leaving = line.at("leaving").get<bool>();
    request.ledgerId = line.at("ledger").get<std::string>();
    request.ledgerAge = std::chrono::seconds(line.at("ledger_age_s").get<std::int64_t>());
    for (const json &want : line.at("wants")) {
        request.wants.push_back(
            {want.at(0).get<std::uint32_t>(), want.at(1).get<std::uint32_t>(), want.at(2).get<std::uint32_t>()});
    }
    return request;
}

LeaseGrant readLeaseGrant(const json &line)
{
    LeaseGrant grant;
    grant.sequence = line.at("sequence").get<std::uint64_t>();
    grant.configIndex = line.at("index").get<std::uint64_t>();
    grant.duration = std::chrono::microseconds(line.at("duration_us").get<std::int64_t>());
    grant.leaving = line.at("leaving").get<bool>();
    grant.ledgerId = line.at("ledger").get<std::string>();
    grant.ledgerAge = std::chrono::seconds(line.at("ledger_age_s").get<std::int64_t>());
    for (const json &it : line.at("grants")) {
        grant.grants.push_back(
            {it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint32_t>(), it.at(2).get<std::uint32_t>()});
    }
    return grant;
}

RequestArrived readRequest(const json &line)
{
    RequestArrived event;
    event.id = readId<RequestId>(line, "id");
    event.service = readId<ServiceId>(line, "service");
    event.cls = static_cast<RouteClass>(line.at("class").get<int>());
    event.callerZone = readOptionalId<ZoneId>(line, "zone");
    event.deadline = readTime(line, "deadline");
    event.forwardedBy = readOptionalId<HostId>(line, "forwarded_by");
    event.toHome = line.value("to_home", false);
    event.claimed = line.value("claimed", false);
    event.key = line.value("key", std::string());
    event.requestDigest = line.value("digest", std::string());
    return event;
}

AttemptEnded readAttemptEnded(const json &line)
{
    AttemptEnded event;
    event.id = readId<RequestId>(line, "id");
    event.attempt = line.at("attempt").get<unsigned>();
    event.result = static_cast<AttemptResult>(line.at("result").get<int>());
    event.targetLeaving = line.value("leaving", false);
    event.answer = std::make_shared<Answer>();
    return event;
}

Event readEvent(const json &line, const std::string &file)
{
    const auto kind = line.at("event").get<std::string>();
    if (kind == "config") {
        ConfigApplied event;
        event.bundle = parseBundle(line.at("bundle").get<std::string>(), file);
        event.index = line.at("index").get<std::uint64_t>();
        event.drainedTargets = line.value("drained_targets", std::vector<std::string>());
        event.drainedHosts = line.value("drained_hosts", std::vector<std::string>());
        event.voidHosts = line.value("void_hosts", std::vector<std::string>());
        return event;
    }
    if (kind == "control-heard") {
        return ControlHeard{line.at("index").get<std::uint64_t>()};
    }
    if (kind == "lookup") {
        return LookupArrived{readId<RequestId>(line, "id"), readId<ServiceId>(line, "service"),
                             readOptionalId<ZoneId>(line, "zone")};
    }
    if (kind == "request") {
        return readRequest(line);
    }
    if (kind == "attempt-ended") {
        return readAttemptEnded(line);
    }
    if (kind == "caller-left") {
        return CallerLeft{readId<RequestId>(line, "id")};
    }
    if (kind == "lease-asked") {
        return LeaseAsked{readId<HostId>(line, "holder"), readLeaseRequest(line)};
    }
    if (kind == "lease-granted") {
        return LeaseGranted{readId<HostId>(line, "issuer"), readLeaseGrant(line)};
    }
    if (kind == "lease-failed") {
        return LeaseFailed{readId<HostId>(line, "issuer"), line.at("sequence").get<std::uint64_t>()};
    }
    if (kind == "target-reported") {
        return TargetReported{readId<TargetId>(line, "target"), line.at("healthy").get<bool>(),
                              line.at("load").get<double>(), line.at("leaving").get<bool>()};
    }
    if (kind == "platform-listed") {
        return PlatformListed{line.at("leaving").get<std::vector<std::string>>()};
    }
    if (kind == "claim-synced") {
        return ClaimSynced{readId<RequestId>(line, "id"), static_cast<ClaimState>(line.at("state").get<int>())};
    }
    if (kind == "stop") {
        return StopAsked{};
    }
    if (kind == "tick") {
        return Tick{};
    }
    throw Error("replay", file, "\"" + kind + "\" is not a known event");
}

// Checks the outcomes that a trace states.
class TraceReplay
{
public:
    explicit TraceReplay(std::string file)
        : m_file(std::move(file))
    {
    }

    void run(const std::vector<std::string> &lines)
    {
        for (std::size_t n = 0; n < lines.size(); ++n) {
            m_line = n + 1;
            if (lines[n].empty()) {
                continue;
            }
            try {
                apply(json::parse(lines[n]));
            } catch (const json::exception &ex) {
                fail(ex.what());
            }
        }
    }

    std::size_t held() const
    {
        return m_held;
    }

private:
    [[noreturn]] void fail(const std::string &reason) const
    {
        throw Error("replay", m_file + ":" + std::to_string(m_line), reason);
    }

    void apply(const json &line)
    {
        if (line.contains("settings")) {
            start(line);
        } else if (!m_steering) {
            fail("the first line must hold the settings");
        } else if (line.contains("event")) {
            m_effects.clear();
            const Event event = readEvent(line, m_file);
            countArrival(event);
            m_steering->reduce(event, readTime(line, "at"), m_effects);
            countEnds();
            checkAlways();
        } else if (line.contains("expect")) {
            expect(line);
            ++m_held;
        } else if (line.contains("always")) {
            m_always.push_back(line.at("always"));
        } else {
            fail("is neither settings, event, expect nor always");
        }
    }

    void start(const json &line)
    {
        const json &it = line.at("settings");
        SteerSettings settings;
        settings.hostName = it.at("host").get<std::string>();
        settings.ledgerId = it.at("ledger").get<std::string>();
        settings.syncClaims = it.at("sync_claims").get<bool>();
        settings.seed = it.at("seed").get<std::uint64_t>();
        settings.tick = Duration(it.at("tick_ns").get<std::int64_t>());
        m_steering.emplace(settings, readTime(line, "at"));
    }

    void countArrival(const Event &event)
    {
        if (const auto *request = std::get_if<RequestArrived>(&event)) {
            ++m_open[idx(request->id)];
        }
    }

    void countEnds()
    {
        for (const Effect &effect : m_effects) {
            if (const auto *finish = std::get_if<Finish>(&effect)) {
                end(idx(finish->id));
            } else if (const auto *stored = std::get_if<FinishStored>(&effect)) {
                end(idx(stored->id));
            } else if (const auto *refuse = std::get_if<Refuse>(&effect)) {
                end(idx(refuse->id));
            }
        }
    }

    void end(std::size_t id)
    {
        const auto it = m_open.find(id);
        if (it == m_open.end()) {
            return; // a look-up
        }
        if (it->second == 0) {
            fail("request " + std::to_string(id) + " was ended twice");
        }
        it->second = 0;
    }

    void checkAlways()
    {
        for (const json &it : m_always) {
            checkView(it);
        }
    }

    void expect(const json &line)
    {
        const auto kind = line.at("expect").get<std::string>();
        if (kind == "effect") {
            expectEffect(line.at("fields"));
        } else if (kind == "no-effect") {
            expectNoEffect(line.at("fields"));
        } else if (kind == "view") {
            checkView(line);
        } else if (kind == "all-ended") {
            const bool isOpen = std::any_of(m_open.begin(), m_open.end(), [](const auto &it) { return it.second > 0; });
            if (isOpen) {
                fail("a request was never ended");
            }
        } else {
            fail("\"" + kind + "\" is not a known outcome");
        }
    }

    bool fits(const Effect &effect, const json &fields) const
    {
        const json described = describe(effect, m_steering->bundle());
        return std::all_of(fields.items().begin(), fields.items().end(), [&](const auto &it) {
            return described.contains(it.key()) && described.at(it.key()) == it.value();
        });
    }

    void expectEffect(const json &fields)
    {
        if (std::none_of(m_effects.begin(), m_effects.end(), [&](const Effect &it) { return fits(it, fields); })) {
            fail("no effect has " + fields.dump());
        }
    }

    void expectNoEffect(const json &fields)
    {
        if (std::any_of(m_effects.begin(), m_effects.end(), [&](const Effect &it) { return fits(it, fields); })) {
            fail("an effect has " + fields.dump());
        }
    }

    void checkView(const json &it)
    {
        if (m_steering->bundle() == nullptr) {
            return;
        }
        const auto service = m_steering->bundle()->findService(it.at("service").get<std::string>());
        if (!service) {
            fail("no such service");
        }
        const ServiceView view = m_steering->view(*service);
        const std::map<std::string, unsigned> fields{{"slice", view.sliceSlots},   {"capacity", view.capacity},
                                                     {"in_flight", view.inFlight}, {"committed", view.committed},
                                                     {"lent", view.lent},          {"held", view.held},
                                                     {"queued", view.queued}};
        const auto field = fields.find(it.at("field").get<std::string>());
        if (field == fields.end()) {
            fail("no such field");
        }
        const unsigned limit = it.contains("at_most_field") ? fields.at(it.at("at_most_field").get<std::string>())
                                                            : it.at("at_most").get<unsigned>();
        if (field->second > limit) {
            fail(field->first + " is " + std::to_string(field->second) + ", more than " + std::to_string(limit));
        }
    }

    std::string m_file;
    std::size_t m_line = 0;
    std::size_t m_held = 0;
    std::optional<Steering> m_steering;
    Effects m_effects;
    std::vector<json> m_always;
    std::map<std::size_t, unsigned> m_open;
};

} // namespace

std::string traceLine(const Event &event, TimePoint at, const std::string &bundleText)
{
    json line = std::visit(EventWriter(bundleText), event);
    line["at"] = at.time_since_epoch().count();
    return line.dump();
}

std::string traceHeader(const SteerSettings &settings, TimePoint startedAt)
{
    const json line{{"at", startedAt.time_since_epoch().count()},
                    {"settings",
                     {{"host", settings.hostName},
                      {"ledger", settings.ledgerId},
                      {"sync_claims", settings.syncClaims},
                      {"seed", settings.seed},
                      {"tick_ns", settings.tick.count()}}}};
    return line.dump();
}

std::size_t replayTrace(const std::vector<std::string> &lines, const std::string &file)
{
    TraceReplay replay(file);
    replay.run(lines);
    return replay.held();
}

} // namespace pepperlug
