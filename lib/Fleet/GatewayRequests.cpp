//===- GatewayRequests.cpp - Callers' requests at an entry host -----------===//
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

void GatewayDaemon::Impl::onHttp(const HttpExchangePtr &exchange)
{
    const HttpRequest &http = exchange->request();
    OpenExchange open;
    open.exchange = exchange;
    open.fields = m_dialect.readRequest(http);
    open.digest = digestOf({http.method, open.fields.host, http.resource, open.fields.caller, http.body});
    open.arrivedAt = m_clock.now() - http.waited;
    if (!http.body.empty()) {
        open.body = std::make_shared<const std::string>(http.body);
    }
    CallerRequest request;
    request.host = open.fields.host;
    request.path = open.fields.path;
    request.affinityKey = open.fields.affinityKey;
    request.deadline = open.fields.deadline;
    request.waited = http.waited;
    request.digest = open.digest;
    request.keyDigest = open.fields.keyDigest;
    request.relayedByIndex = open.fields.relayedByIndex;
    request.isOnceOnly = open.fields.isOnceOnly;
    request.age = http.age;
    m_metrics.count(open.fields.relayedByIndex ? "pepperlug_relayed_requests" : "pepperlug_requests");
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed) {
            refuseStopping(open);
            return;
        }
        request.id = static_cast<RequestId>(++m_lastRequest);
        request.dueAhead = m_stoppingSince ? dueAheadOn(http.connection) : TimePoint{};
        m_open[m_lastRequest] = std::move(open);
    }
    const RequestId id = request.id;
    reduce(std::move(request));
    exchange->onDeparture([this, id] {
        reduce(CallerLeft{id});
        const std::lock_guard lock(m_mutex);
        m_open.erase(static_cast<std::uint64_t>(id));
    });
}

GatewayDaemon::Impl::OpenExchange *GatewayDaemon::Impl::findOpen(RequestId id)
{
    const auto it = m_open.find(static_cast<std::uint64_t>(id));
    return it == m_open.end() ? nullptr : &it->second;
}

void GatewayDaemon::Impl::reduce(const BalanceEvent &event)
{
    const std::lock_guard lock(m_mutex);
    BalanceEffects effects;
    m_balancer->reduce(event, m_clock.now(), effects);
    for (const BalanceEffect &effect : effects) {
        // The balancer has done with the requests of all effects, so one that fails must not take the others along.
        try {
            std::visit([this](const auto &it) { carryOut(it); }, effect);
        } catch (const std::exception &ex) {
            m_metrics.count("pepperlug_failed_effects");
            m_events.state("effect-failed", {{"effect", effect.index()}, {"reason", ex.what()}});
        }
    }
}

// Streams only an answer that is passed on in any case; all others are buffered first.
bool GatewayDaemon::Impl::onAnswerBegun(RequestId id, unsigned attempt, const Answer &head, const AnswerFields &fields,
                                        std::uint64_t length)
{
    if (fields.isWrongTarget || !fields.isExecuted || !fields.hasRequiredFields) {
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        OpenExchange *const open = findOpen(id);
        if (open == nullptr || open->streamedAttempt != 0) {
            return false;
        }
        open->answer = head;
        open->length = length;
    }
    reduce(AnswerBegun{id, attempt});
    const std::lock_guard lock(m_mutex);
    const OpenExchange *const open = findOpen(id);
    return open != nullptr && open->streamedAttempt == attempt;
}

void GatewayDaemon::Impl::onAnswerPart(RequestId id, unsigned attempt, std::string_view part)
{
    const std::lock_guard lock(m_mutex);
    OpenExchange *const open = findOpen(id);
    if (open != nullptr && open->streamedAttempt == attempt) {
        open->exchange->more(part);
    }
}

bool GatewayDaemon::Impl::wantsAnswerPart(RequestId id, unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    const OpenExchange *const open = findOpen(id);
    const bool isWanted = open == nullptr || open->streamedAttempt != attempt || open->exchange->hasRoomForMore();
    if (!isWanted) {
        m_metrics.count("pepperlug_answer_parts_delayed");
    }
    return isWanted;
}

void GatewayDaemon::Impl::onAttemptEnded(RequestId id, unsigned attempt, const Incarnation &target,
                                         const AnswerFields &fields, HttpResult result)
{
    AttemptEnded ended = classifyResult(id, attempt, fields, result);
    {
        const std::lock_guard lock(m_mutex);
        OpenExchange *const open = findOpen(id);
        if (open == nullptr) {
            return;
        }
        open->calls.erase(attempt);
        ended.isConnectionLost = result.isConnectionLost;
        ended.answerBytes = open->streamedAttempt == attempt ? open->length : result.answer.body.size();
        m_events.decision("attempt-ended",
                          {{"request", open->fields.requestId},
                           {"digest", open->digest},
                           {"attempt", attempt},
                           {"target", target.id},
                           {"outcome", nameOf(ended.outcome)},
                           {"status", result.answer.status},
                           {"reason", result.reason},
                           {"connection_ended", result.isConnectionLost},
                           {"refused", result.isRefused},
                           {"port", result.port},
                           {"reused", result.isReused},
                           {"foreign_answers", result.foreignAnswers.size()},
                           {"signal", countSignal(fields.backpressure)}});
        reportEndless(*open, target, result);
        reportMalformed(*open, target, result);
        if (ended.outcome == AttemptOutcome::Answered) {
            open->answer = std::move(result.answer);
        } else if (open->streamedAttempt == attempt && open->exchange->takeBack()) {
            open->streamedAttempt = 0;
            ended.isTakenBack = true;
        }
    }
    m_metrics.count(std::string("pepperlug_attempt_outcomes{outcome=\"") + nameOf(ended.outcome) + "\"}");
    reduce(ended);
}

void GatewayDaemon::Impl::carryOut(const PassHead &effect)
{
    OpenExchange *const open = findOpen(effect.id);
    if (open == nullptr) {
        return;
    }
    open->streamedAttempt = effect.attempt;
    Answer head = open->answer;
    head.headers = endToEndHeaders(head.headers);
    m_events.decision("answer-begun",
                      {{"request", open->fields.requestId},
                       {"attempt", effect.attempt},
                       {"status", head.status},
                       {"bytes", open->length},
                       {"took_ms", secondsOf(m_clock.now() - open->arrivedAt) * 1000}});
    followAnswer(*open, effect.attempt, head.status);
    open->exchange->begin(head, open->length);
}

void GatewayDaemon::Impl::carryOut(const AbortAnswer &effect)
{
    OpenExchange *const open = findOpen(effect.id);
    if (open == nullptr) {
        return;
    }
    m_metrics.count(std::string("pepperlug_aborts{reason=\"") + nameOf(effect.reason) + "\"}");
    m_events.decision("aborted",
                      {{"request", open->fields.requestId},
                       {"reason", nameOf(effect.reason)},
                       {"attempt", open->streamedAttempt},
                       {"took_ms", secondsOf(m_clock.now() - open->arrivedAt) * 1000}});
    open->exchange->abort(m_dialect.refusal({open->fields.requestId, effect.reason, {}}));
    m_open.erase(static_cast<std::uint64_t>(effect.id));
}

void GatewayDaemon::Impl::carryOut(const PassAnswer &effect)
{
    OpenExchange *const open = findOpen(effect.id);
    if (open == nullptr) {
        return;
    }
    if (open->streamedAttempt == 0) {
        Answer answer = std::move(open->answer);
        answer.headers = endToEndHeaders(answer.headers);
        followAnswer(*open, effect.attempt, answer.status);
        open->exchange->respond(answer);
    }
    m_open.erase(static_cast<std::uint64_t>(effect.id));
}

void GatewayDaemon::Impl::carryOut(const RefuseRequest &effect)
{
    OpenExchange *const open = findOpen(effect.id);
    if (open == nullptr) {
        return;
    }
    const Duration took = m_clock.now() - open->arrivedAt;
    m_metrics.count(std::string("pepperlug_refusals{reason=\"") + nameOf(effect.reason) + "\"}");
    m_events.decision("refused",
                      {{"request", open->fields.requestId},
                       {"digest", open->digest},
                       {"reason", nameOf(effect.reason)},
                       {"route", effect.route},
                       {"tenant", effect.tenant},
                       {"target", effect.lastTarget},
                       {"table", m_balancer->tableVersion()},
                       {"relayed_by_index", relayingIndexOf(*open)},
                       {"view_age_ms", viewAge().count()},
                       {"retry_after_ms", effect.retryAfter.count()},
                       {"took_ms", secondsOf(took) * 1000}});
    open->exchange->respond(m_dialect.refusal({open->fields.requestId, effect.reason, effect.retryAfter}));
    m_open.erase(static_cast<std::uint64_t>(effect.id));
}

} // namespace pepperlug::fleet
