//===- EntryEffects.cpp - Effects become calls and answers ----------------===//
#include "EntryImpl.h"
#include "Forwarding.h"
#include "HttpStatus.h"

namespace pepperlug
{

namespace
{

constexpr const char *ShedHeader = "pepperlug-not-run";
constexpr const char *LeavingHeader = "pepperlug-leaving";
/// A forwarded call may take a little longer than its deadline, so that the other side's own word arrives.
constexpr auto ReplyGrace = Milliseconds(200);

bool hasHeader(const Answer &answer, std::string_view name)
{
    for (const HeaderField &field : answer.headers) {
        if (sameName(field.name, name)) {
            return true;
        }
    }
    return false;
}

unsigned statusOf(const Refuse &effect)
{
    switch (effect.reason) {
    case Reason::KeyMissing:
        return 428;
    case Reason::KeyMismatch:
        return 422;
    case Reason::KeyExpired:
    case Reason::KeyForeign:
    case Reason::ClaimClosed:
    case Reason::ClaimUnknown:
        return 409;
    case Reason::DeadlinePassed:
        return 504;
    case Reason::Leaving:
        return effect.outcome == Outcome::Unknown ? 504 : Unavailable;
    case Reason::TargetFailed:
    case Reason::TargetUnreachable:
    case Reason::OwnerUnreachable:
    case Reason::LoopRefused:
        return 502;
    default:
        return Unavailable;
    }
}

const char *stepOf(Reason reason)
{
    switch (reason) {
    case Reason::KeyMissing:
    case Reason::KeyMismatch:
    case Reason::KeyExpired:
    case Reason::KeyForeign:
    case Reason::ClaimClosed:
    case Reason::ClaimUnknown:
    case Reason::OwnerUnreachable:
    case Reason::LoopRefused:
        return "claim";
    case Reason::TargetFailed:
    case Reason::TargetUnreachable:
    case Reason::Shed:
    case Reason::DeadlinePassed:
        return "dispatch";
    default:
        return "admit";
    }
}

Answer refusalAnswer(const Refuse &effect)
{
    Answer answer = jsonAnswer(statusOf(effect),
                               {{"outcome", nameOf(effect.outcome)},
                                {"step", stepOf(effect.reason)},
                                {"peer", effect.peer},
                                {"reason", nameOf(effect.reason)},
                                {"retry_after_ms", effect.retryAfter.count()}});
    answer.headers.push_back({"Pepperlug-Outcome", nameOf(effect.outcome)});
    if (effect.retryAfter > Milliseconds{}) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(effect.retryAfter);
        answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
        answer.headers.push_back({"Pepperlug-Retry-After-Ms", std::to_string(effect.retryAfter.count())});
    }
    return answer;
}

AttemptResult resultOf(const HttpResult &result)
{
    switch (result.kind) {
    case HttpResult::Kind::NotSent:
        return AttemptResult::NotSent;
    case HttpResult::Kind::Broken:
    case HttpResult::Kind::Endless:
        return AttemptResult::Broken;
    case HttpResult::Kind::TooLarge:
        return AttemptResult::TooLarge;
    case HttpResult::Kind::Answered:
        break;
    }
    if (result.answer.status == Unavailable && hasHeader(result.answer, ShedHeader)) {
        return AttemptResult::Shed;
    }
    return result.answer.status >= ServerErrors ? AttemptResult::ServerError : AttemptResult::Answered;
}

} // namespace

void EntryDaemon::Impl::carryOut(const AnswerLookup &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    std::string body = R"({"hosts":[)";
    for (std::size_t n = 0; n < effect.hosts.size(); ++n) {
        body += n == 0 ? "" : ",";
        body += m_hostJson[idx(effect.hosts[n])];
    }
    body += R"(],"ttl_ms":)" + std::to_string(effect.ttl.count());
    body += R"(,"version":)" + std::to_string(effect.bundleVersion);
    body += R"(,"home":")" + (effect.ownerToken ? effect.ownerToken->text() : std::string()) + "\"}\n";
    it->second.exchange->respond({Ok, {{"Content-Type", "application/json"}}, std::move(body)});
    m_pending.erase(it);
}

void EntryDaemon::Impl::carryOut(const Dispatch &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    PendingRequest &pending = it->second;
    HttpCall call;
    call.to = m_bundle->targets[idx(effect.target)].address;
    call.method = pending.method;
    call.resource = pending.resource;
    call.headers = pending.headers;
    call.body = pending.body;
    call.timeout = std::max<Duration>(effect.deadline - m_clock.now(), Milliseconds(1));
    call.mayRepeat = pending.cls == RouteClass::Read;
    std::erase_if(call.headers, [](const HeaderField &field) { return sameName(field.name, "pepperlug-deadline-ms"); });
    const auto budget = std::chrono::duration_cast<Milliseconds>(call.timeout);
    call.headers.push_back({"Pepperlug-Deadline-Ms", std::to_string(budget.count())});
    // A claimed operation may outlive its caller's deadline; the reducer ends it.
    if (pending.cls == RouteClass::Once) {
        call.timeout += m_bundle->services[idx(pending.service)].maxDeadline;
    }
    pending.attempts[effect.attempt].httpCall =
        m_client.start(std::move(call), [this, id = effect.id, attempt = effect.attempt](HttpResult result) {
            targetReplied(id, attempt, std::move(result));
        });
}

void EntryDaemon::Impl::targetReplied(RequestId id, unsigned attempt, HttpResult result)
{
    const AttemptResult kind = resultOf(result);
    const bool isLeaving = hasHeader(result.answer, LeavingHeader);
    m_metrics.count(std::string("pepperlug_attempts{result=\"")
                    + (kind == AttemptResult::Answered ? "answered" : "failed") + "\"}");
    std::shared_ptr<Answer> answer;
    if (result.kind == HttpResult::Kind::Answered) {
        answer = std::make_shared<Answer>(std::move(result.answer));
        std::string length;
        for (const HeaderField &field : answer->headers) {
            length = sameName(field.name, "content-length") ? field.value : length;
        }
        answer->headers = endToEndHeaders(answer->headers);
        if (answer->body.empty() && !length.empty()) {
            answer->headers.push_back({"Content-Length", length}); // what HEAD tells
        }
    }
    attemptEnded(id, attempt, kind, isLeaving, std::move(answer));
}

void EntryDaemon::Impl::attemptEnded(RequestId id, unsigned attempt, AttemptResult result, bool targetLeaving,
                                     AnswerPtr answer)
{
    AttemptEnded event;
    event.id = id;
    event.attempt = attempt;
    event.result = result;
    event.targetLeaving = targetLeaving;
    event.answer = answer;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_pending.find(id);
        if (it != m_pending.end()) {
            it->second.attempts[attempt].answer = std::move(answer);
        }
    }
    post(event);
}

void EntryDaemon::Impl::carryOut(const Forward &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    PendingRequest &pending = it->second;
    const Duration left = std::max<Duration>(effect.deadline - m_clock.now(), Milliseconds(1));
    ForwardCall message;
    message.sender = m_settings.name;
    message.service = pending.serviceName;
    message.callerZone = pending.callerZone;
    message.method = pending.method;
    message.resource = pending.resource;
    for (const HeaderField &field : pending.headers) {
        message.headers.push_back({field.name, field.value});
    }
    message.body = *pending.body;
    message.budget = std::chrono::ceil<Milliseconds>(left);
    message.key = pending.key;
    message.toHome = effect.toOwner;
    message.claimed = pending.cls == RouteClass::Once && !effect.toOwner;
    message.mayRepeat = pending.cls == RouteClass::Read;
    const EntryHost &host = m_bundle->hosts[idx(effect.host)];
    m_metrics.count("pepperlug_forwards");
    pending.attempts[effect.attempt].peerCall =
        m_net.call(host.peer, path::Forward, encode(message), left + ReplyGrace,
                   [this, id = effect.id, attempt = effect.attempt, name = host.name](const PeerReply &reply) {
                       hostReplied(id, attempt, name, reply);
                   });
}

void EntryDaemon::Impl::hostReplied(RequestId id, unsigned attempt, const std::string &host, const PeerReply &reply)
{
    if (!reply.delivered) {
        attemptEnded(id, attempt, reply.maybeSent ? AttemptResult::Broken : AttemptResult::NotSent, false, nullptr);
        return;
    }
    if (reply.status != Ok) {
        attemptEnded(id, attempt, AttemptResult::RemoteUnknown, false, nullptr);
        return;
    }
    try {
        auto message = decode<ForwardReply>(reply.body, host);
        if (!message.answered) {
            attemptEnded(id, attempt, message.notRun ? AttemptResult::RemoteNotRun : AttemptResult::RemoteUnknown,
                         false, nullptr);
            return;
        }
        std::optional<Answer> answer = answerIn(std::move(message));
        if (!answer) {
            throw Error("read reply", host, "the answer has no status");
        }
        const AttemptResult kind =
            answer->status >= ServerErrors ? AttemptResult::ServerError : AttemptResult::Answered;
        attemptEnded(id, attempt, kind, false, std::make_shared<Answer>(std::move(*answer)));
    } catch (const Error &) {
        m_metrics.count("pepperlug_bad_peer_messages");
        attemptEnded(id, attempt, AttemptResult::RemoteUnknown, false, nullptr);
    }
}

void EntryDaemon::Impl::carryOut(const CancelAttempt &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    const PendingRequest::Running &running = it->second.attempts[effect.attempt];
    if (running.httpCall) {
        m_client.cancel(*running.httpCall);
    }
    if (running.peerCall) {
        m_net.cancel(*running.peerCall);
    }
}

void EntryDaemon::Impl::sendAnswer(RequestId id, PendingRequest &pending, const AnswerPtr &answer)
{
    if (pending.exchange) {
        m_metrics.latency("pepperlug_request_seconds{service=\"" + pending.serviceName + "\"}",
                          m_clock.now() - pending.arrivedAt);
        pending.exchange->respond(*answer);
    }
    if (pending.call) {
        ForwardReply reply;
        reply.answered = true;
        reply.status = answer->status;
        reply.body = answer->body;
        for (const HeaderField &field : answer->headers) {
            reply.headers.push_back({field.name, field.value});
        }
        pending.call->reply(Ok, encode(reply));
    }
    m_pending.erase(id);
}

void EntryDaemon::Impl::carryOut(const RelayAnswer &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    const AnswerPtr answer = it->second.attempts[effect.attempt].answer;
    m_metrics.count("pepperlug_requests{outcome=\"answered\"}");
    sendAnswer(effect.id, it->second, answer);
}

void EntryDaemon::Impl::carryOut(const SendStoredAnswer &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    m_metrics.count("pepperlug_requests{outcome=\"stored\"}");
    sendAnswer(effect.id, it->second, effect.answer);
}

void EntryDaemon::Impl::carryOut(const Refuse &effect)
{
    const auto it = m_pending.find(effect.id);
    if (it == m_pending.end()) {
        return;
    }
    m_metrics.count(std::string("pepperlug_requests{outcome=\"") + nameOf(effect.outcome) + "\"}");
    m_metrics.count(std::string("pepperlug_refusals{reason=\"") + nameOf(effect.reason) + "\"}");
    if (it->second.exchange) {
        it->second.exchange->respond(refusalAnswer(effect));
    }
    if (it->second.call) {
        ForwardReply reply;
        reply.notRun = effect.outcome == Outcome::NotRun;
        reply.reason = nameOf(effect.reason);
        reply.peer = effect.peer;
        reply.retryAfter = effect.retryAfter;
        it->second.call->reply(Ok, encode(reply));
    }
    m_pending.erase(it);
}

void EntryDaemon::Impl::carryOut(const SendLeaseRequest &effect)
{
    const EntryHost &host = m_bundle->hosts[idx(effect.issuer)];
    const std::uint64_t sequence = effect.request.sequence;
    m_net.call(host.peer, path::Lease, encode(LeaseCall{m_settings.name, effect.request}), effect.timeout,
               [this, name = host.name, sequence](const PeerReply &reply) {
                   std::optional<LeaseGrant> grant;
                   try {
                       if (reply.delivered && reply.status == Ok) {
                           grant = decode<LeaseGrant>(reply.body, name);
                       }
                   } catch (const Error &) {
                       m_metrics.count("pepperlug_bad_peer_messages");
                   }
                   // The bundle may have changed since; the name is what stays.
                   const std::lock_guard lock(m_mutex);
                   const std::optional<HostId> issuer = m_bundle->findHost(name);
                   if (issuer && grant) {
                       reduceLocked(LeaseGranted{*issuer, *grant});
                   } else if (issuer) {
                       reduceLocked(LeaseFailed{*issuer, sequence});
                   }
               });
}

void EntryDaemon::Impl::carryOut(const GrantLease &effect)
{
    if (m_leaseCall) {
        m_leaseCall->reply(Ok, encode(effect.grant));
    }
}

void EntryDaemon::Impl::carryOut(const SyncClaim &effect)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(m_claimMutex);
        isFirst = m_claims.empty();
        m_claims.push_back(effect);
    }
    if (isFirst) {
        m_diskThread.post([this] { syncClaims(); });
    }
}

// Whatever has gathered while the last sync was on its way goes out with one sync.
void EntryDaemon::Impl::syncClaims()
{
    std::vector<SyncClaim> claims;
    {
        const std::lock_guard lock(m_claimMutex);
        claims.swap(m_claims);
    }
    try {
        for (const SyncClaim &claim : claims) {
            m_ledgerStore->add(claim.record);
        }
        m_ledgerStore->sync();
    } catch (const Error &ex) {
        // Nothing is dispatched without its claim on the disk: these requests end at their deadline, as not run.
        m_metrics.count("pepperlug_disk_failures");
        m_states.write(jsonText({{"what", "disk failed"}, {"subject", ex.peer()}, {"detail", ex.reason()}}));
        return;
    }
    m_metrics.count("pepperlug_claim_syncs");
    for (const SyncClaim &claim : claims) {
        if (claim.awaited) {
            post(ClaimSynced{claim.id, claim.record.state});
        }
    }
}

void EntryDaemon::Impl::carryOut(const Decision &effect)
{
    if (!m_decisions.enabled()) {
        return;
    }
    m_decisions.writeLater([effect, bundle = m_bundle, at = m_clock.wallTime()] {
        nlohmann::json line = describe(effect, bundle.get());
        line["at_ms"] = at.count();
        return jsonText(line);
    });
}

void EntryDaemon::Impl::carryOut(const StateChange &effect)
{
    if (effect.what == "target idle") {
        m_idleTargets.insert(effect.subject);
    } else if (effect.what == "target draining" || effect.what == "target back") {
        m_idleTargets.erase(effect.subject);
    }
    m_metrics.count("pepperlug_state_changes{what=\"" + effect.what + "\"}");
    m_states.writeLater([effect, at = m_clock.wallTime()] {
        const nlohmann::json line{
            {"at_ms", at.count()}, {"what", effect.what}, {"subject", effect.subject}, {"detail", effect.detail}};
        return jsonText(line);
    });
}

void EntryDaemon::Impl::carryOut(const StopReady &)
{
    const std::lock_guard lock(m_stopMutex);
    m_stopReady = true;
    m_stopped.notify_all();
}

} // namespace pepperlug
