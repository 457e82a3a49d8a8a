//===- TraceWriter.cpp - Events to trace lines ----------------------------===//
#include "Trace.h"

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

// Has one overload per event.
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

    json operator()(const ControlReplied &it) const
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
                {"to_home", it.toOwner},
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

    json operator()(const CallerDisconnected &it) const
    {
        return {{"event", "caller-left"}, {"id", idx(it.id)}};
    }

    json operator()(const LeaseRequestArrived &it) const
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

    json operator()(const PlatformListArrived &it) const
    {
        return {{"event", "platform-listed"}, {"leaving", it.leavingTargets}};
    }

    json operator()(const ClaimSynced &it) const
    {
        return {{"event", "claim-synced"}, {"id", idx(it.id)}, {"state", static_cast<int>(it.state)}};
    }

    json operator()(const StopRequested &it) const
    {
        json line{{"event", "stop"}};
        if (it.times) {
            line["last_answer_at"] = it.times->lastAnswerAt.time_since_epoch().count();
            line["exit_at"] = it.times->exitAt.time_since_epoch().count();
        }
        return line;
    }

    json operator()(const Tick &) const
    {
        return {{"event", "tick"}};
    }

private:
    const std::string &m_bundleText;
};

} // namespace

std::string traceLine(const Event &event, TimePoint at, const std::string &bundleText)
{
    json line = std::visit(EventWriter(bundleText), event);
    line["at"] = at.time_since_epoch().count();
    return jsonText(line);
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
    return jsonText(line);
}

} // namespace pepperlug
