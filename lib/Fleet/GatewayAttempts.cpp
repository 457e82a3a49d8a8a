//===- GatewayAttempts.cpp - Attempts, their outcomes and log lines -------===//
#include "../Daemon/HttpStatus.h"
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

namespace
{

/// A target that was chosen longer ago may be draining; another one is chosen then.
constexpr Milliseconds SendTimeout{600};
/// Timeout of the HTTP client beyond the deadline, at which the request is given up anyway.
constexpr Milliseconds ClientTimeoutMargin{50};

} // namespace

nlohmann::json GatewayDaemon::Impl::relayingIndexOf(const OpenExchange &open)
{
    const std::optional<std::uint64_t> &index = open.fields.relayedByIndex;
    return index ? nlohmann::json(*index) : nlohmann::json();
}

void GatewayDaemon::Impl::reportAttempt(const StartAttempt &effect, const OpenExchange &open)
{
    m_metrics.count(effect.relay.empty() ? "pepperlug_attempts" : "pepperlug_relays");
    m_events.decision("attempt",
                      {{"request", open.fields.requestId},
                       {"digest", open.digest},
                       {"connection", open.exchange->request().connection},
                       {"place", open.exchange->request().place},
                       {"attempt", effect.attempt},
                       {"target", effect.target},
                       {"relay", effect.relay},
                       {"address", effect.address},
                       {"zone", effect.zone},
                       {"region", effect.region},
                       {"service", effect.service},
                       {"route", effect.route},
                       {"tenant", effect.tenant},
                       {"key", open.fields.affinityKey},
                       {"fill", effect.utilization},
                       {"load_age_ms", effect.loadAge.count()},
                       {"table", effect.tableVersion},
                       {"newest_table", m_balancer->tableVersion()},
                       {"index", effect.routingIndex},
                       {"relayed_by_index", relayingIndexOf(open)},
                       {"once_only", effect.isOnceOnly},
                       {"has_homes", !effect.homeRegions.empty()},
                       {"homes", effect.homeRegions},
                       {"view_age_ms", viewAge().count()},
                       {"time_left_ms", std::chrono::duration_cast<Milliseconds>(effect.timeLeft).count()}});
}

void GatewayDaemon::Impl::carryOut(const StartAttempt &effect)
{
    OpenExchange *const found = findOpen(effect.id);
    const std::optional<Address> to = Address::parse(effect.address);
    if (found == nullptr || !to) {
        return;
    }
    OpenExchange &open = *found;
    const HttpRequest &http = open.exchange->request();
    HttpCall call;
    call.to = *to;
    call.method = http.method;
    call.resource = http.resource;
    call.headers = attemptHeaders(effect, http);
    call.body = open.body;
    call.timeout = effect.timeLeft + ClientTimeoutMargin;
    call.connectTimeout = std::min<Duration>(ConnectTimeout, effect.timeLeft);
    call.sendWithin = SendTimeout;
    // State that this host has confirmed must hold also for requests that still wait for a connection.
    call.maySend = [this, id = effect.id, attempt = effect.attempt] {
        return maySend(id, attempt);
    };
    call.name = open.fields.requestId;
    call.acceptsHead = [accepts = m_dialect.answersRequest,
                        id = open.fields.requestId](const std::vector<HeaderField> &headers) {
        return accepts(headers, id);
    };
    call.nameIn = m_dialect.answeredRequest;
    const RequestId id = effect.id;
    const unsigned attempt = effect.attempt;
    const Incarnation target{effect.target, effect.targetStartedAt};
    const TimePoint sentAt = m_clock.now();
    call.onLargeHead = [this, id, attempt, target, sentAt](const Answer &head, std::uint64_t length) {
        const AnswerFields fields = readAnswer(target, head);
        onTargetSignal(target, fields, sentAt);
        return onAnswerBegun(id, attempt, head, fields, length);
    };
    call.onPart = [this, id, attempt](std::string_view part) {
        onAnswerPart(id, attempt, part);
    };
    call.wantsPart = [this, id, attempt] {
        return wantsAnswerPart(id, attempt);
    };
    if (effect.relay.empty()) {
        noteAttempt(*to, effect.zone, sentAt);
    }
    reportAttempt(effect, open);
    open.deadline = sentAt + effect.timeLeft;
    open.calls[attempt] = m_client->start(std::move(call), [this, id, attempt, target, sentAt](HttpResult result) {
        AnswerFields fields;
        if (result.kind == HttpResult::Kind::Answered) {
            fields = readAnswer(target, result.answer);
            onTargetSignal(target, fields, sentAt);
        }
        onAttemptEnded(id, attempt, target, fields, std::move(result));
    });
}

void GatewayDaemon::Impl::carryOut(const CancelAttempt &effect)
{
    OpenExchange *const open = findOpen(effect.id);
    if (open == nullptr) {
        return;
    }
    const auto call = open->calls.find(effect.attempt);
    if (call != open->calls.end()) {
        m_client->cancel(call->second);
        open->calls.erase(call);
    }
}

AttemptEnded GatewayDaemon::Impl::classifyResult(RequestId id, unsigned attempt, const AnswerFields &fields,
                                                 HttpResult &result)
{
    AttemptEnded ended{id, attempt, AttemptOutcome::Lost, {}, 0};
    if (result.kind == HttpResult::Kind::NotSent) {
        ended.outcome = result.isWithdrawn ? AttemptOutcome::Withdrawn : AttemptOutcome::NotSent;
        return ended;
    }
    if (result.kind == HttpResult::Kind::Endless) {
        ended.outcome = AttemptOutcome::Endless;
        return ended;
    }
    if (result.kind != HttpResult::Kind::Answered) {
        ended.outcome = result.timedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Lost;
        return ended;
    }
    ended.load = fields.load;
    ended.refusal = fields.refusal;
    if (fields.refusal) {
        const bool mayTryAnother = concernsHostAlone(*fields.refusal) && promisesNotRun(*fields.refusal);
        ended.outcome = mayTryAnother ? AttemptOutcome::Shed : AttemptOutcome::Answered;
        ended.isFailure = true;
    } else if (fields.isWrongTarget) {
        ended.outcome = AttemptOutcome::WrongTarget;
    } else if (!fields.isExecuted) {
        ended.outcome = AttemptOutcome::Shed;
    } else if (!fields.hasRequiredFields) {
        result.reason = "the answer lacks a required header";
        ended.outcome = AttemptOutcome::Lost;
    } else {
        ended.outcome = AttemptOutcome::Answered;
        ended.isFailure = result.answer.status >= ServerErrors;
    }
    return ended;
}

void GatewayDaemon::Impl::reportEndless(const OpenExchange &open, const Incarnation &target, const HttpResult &result)
{
    if (!result.endlessPart) {
        return;
    }
    const char *const form = nameOf(*result.endlessPart);
    m_metrics.count(std::string("pepperlug_endless_answers{form=\"") + form + "\"}");
    m_events.decision(
        "endless-answer",
        {{"request", open.fields.requestId}, {"target", target.id}, {"form", form}, {"bytes", result.receivedBytes}});
}

void GatewayDaemon::Impl::reportMalformed(const OpenExchange &open, const Incarnation &target, const HttpResult &result)
{
    for (const ForeignAnswer &it : result.foreignAnswers) {
        m_metrics.count("pepperlug_foreign_answers");
        m_events.decision("foreign-answer",
                          {{"request", open.fields.requestId},
                           {"target", target.id},
                           {"port", result.port},
                           {"answered", it.name},
                           {"status", it.status}});
    }
    if (!result.answerDefect) {
        return;
    }
    const char *const defect = nameOf(*result.answerDefect);
    m_metrics.count(std::string("pepperlug_malformed_answers{defect=\"") + defect + "\"}");
    m_events.decision("malformed-answer",
                      {{"request", open.fields.requestId}, {"target", target.id}, {"defect", defect}});
}

// An answer that is whole here may still be lost with its connection, so it counts as answered once it has left.
void GatewayDaemon::Impl::followAnswer(const OpenExchange &open, unsigned attempt, unsigned status)
{
    const HttpRequest &http = open.exchange->request();
    open.exchange->onEnd([this, request = open.fields.requestId, connection = http.connection, place = http.place,
                          attempt, status, arrivedAt = open.arrivedAt](const AnswerEnd &end) {
        const Duration took = m_clock.now() - arrivedAt;
        nlohmann::json line{{"request", request},
                            {"connection", connection},
                            {"place", place},
                            {"attempt", attempt},
                            {"status", status},
                            {"sent_bytes", end.sentBytes},
                            {"took_ms", secondsOf(took) * 1000}};
        if (end.cut) {
            const char *const cause = nameOf(*end.cut);
            m_metrics.count(std::string("pepperlug_answers_cut{cause=\"") + cause + "\"}");
            line["cause"] = cause;
            m_events.decision("answer-cut", line);
        } else if (end.isReplaced) {
            m_metrics.count("pepperlug_answers_replaced");
            m_events.decision("answer-replaced", line);
        } else {
            m_metrics.latency("pepperlug_request_seconds", took);
            m_events.decision("answered", line);
        }
    });
}

bool GatewayDaemon::Impl::maySend(RequestId id, unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    const std::optional<Withheld> reason = m_balancer->withheldBecause(id, attempt);
    if (!reason) {
        return true;
    }
    m_metrics.count(std::string("pepperlug_sends_withheld{reason=\"") + nameOf(*reason) + "\"}");
    const OpenExchange *const open = findOpen(id);
    m_events.decision("send-withheld",
                      {{"request", open == nullptr ? std::string() : open->fields.requestId},
                       {"attempt", attempt},
                       {"reason", nameOf(*reason)},
                       {"table", m_balancer->tableVersion()}});
    return false;
}

} // namespace pepperlug::fleet
