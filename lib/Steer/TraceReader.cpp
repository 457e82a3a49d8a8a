//===- TraceReader.cpp - Trace lines to events ----------------------------===//
#include "Trace.h"

namespace pepperlug
{

namespace
{

using nlohmann::json;

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
    event.toOwner = line.value("to_home", false);
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

} // namespace

TimePoint readTime(const json &value, const char *key)
{
    return TimePoint(Duration(value.at(key).get<std::int64_t>()));
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
        return ControlReplied{line.at("index").get<std::uint64_t>()};
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
        return CallerDisconnected{readId<RequestId>(line, "id")};
    }
    if (kind == "lease-asked") {
        return LeaseRequestArrived{readId<HostId>(line, "holder"), readLeaseRequest(line)};
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
        return PlatformListArrived{line.at("leaving").get<std::vector<std::string>>()};
    }
    if (kind == "claim-synced") {
        return ClaimSynced{readId<RequestId>(line, "id"), static_cast<ClaimState>(line.at("state").get<int>())};
    }
    if (kind == "stop") {
        StopRequested event;
        if (line.contains("last_answer_at")) {
            event.times = StopTimes{readTime(line, "last_answer_at"), readTime(line, "exit_at")};
        }
        return event;
    }
    if (kind == "tick") {
        return Tick{};
    }
    throw Error("replay", file, "\"" + kind + "\" is not a known event");
}

} // namespace pepperlug
