//===- GatewayStop.cpp - Planned stop of an entry host --------------------===//
#include "../Balance/RetryAdvice.h"
#include "GatewayImpl.h"

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds AdvanceInterval{25};
/// For the answers that give open requests up, and for those held behind them, to leave.
constexpr Milliseconds LastAnswersTime{50};
constexpr Milliseconds FlushTime{50};
/// Requests given up at the exit that are logged one by one; the "stopped" line has their number.
constexpr std::size_t MaxLoggedCuts = 64;

} // namespace

void GatewayDaemon::Impl::stopGracefully()
{
    const TimePoint now = m_clock.now();
    PlannedStop stop(now, m_settings.bounds.gracePeriod);
    m_events.state("stop", {{"role", "entry"}});
    {
        const std::lock_guard lock(m_mutex);
        m_stoppingSince = now;
    }
    reduce(StopPlanned{stop.times()});
    m_callersServer->closeAfterAnswers();
    m_watch->sendReport();
    while (advance(stop) != PlannedStop::Phase::Over) {
        std::this_thread::sleep_for(AdvanceInterval);
    }
    reportCutRequests();
    reduce(ExitDue{});
    m_callersServer->awaitDelivery(LastAnswersTime);
    m_callersServer->abandonAnswers();
    m_events.flush(FlushTime);
}

// An answer leaves m_open once it is whole, and then counts as undelivered: both are looked at under the mutex, so that
// none is missed in between.
PlannedStop::Phase GatewayDaemon::Impl::advance(PlannedStop &stop)
{
    PlannedStop::Work work;
    PlannedStop::Phase phase{};
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        work = {m_open.size(), m_callersServer->undelivered()};
        phase = stop.advance(work, m_clock.now());
        isNew = phase != PlannedStop::Phase::Serving && (!m_isClosed || phase == PlannedStop::Phase::Over);
        m_isClosed = phase != PlannedStop::Phase::Serving;
    }
    if (isNew) {
        m_events.state(phase == PlannedStop::Phase::Over ? "stopped" : "refusing",
                       {{"open_requests", work.openRequests}, {"undelivered_answers", work.undelivered}});
        m_watch->sendReport();
    }
    return phase;
}

// Answers leave in the order of the requests, so one that is due early may have to wait. The mutex is held.
TimePoint GatewayDaemon::Impl::dueAheadOn(std::uint64_t connection) const
{
    TimePoint due{};
    for (const auto &[id, open] : m_open) {
        if (open.deadline && open.exchange->request().connection == connection) {
            due = std::max(due, *open.deadline);
        }
    }
    return due;
}

void GatewayDaemon::Impl::refuseStopping(OpenExchange &open)
{
    m_events.decision("refused", {{"request", open.fields.requestId}, {"reason", nameOf(Refusal::Stopping)}});
    open.exchange->respond(m_dialect.refusal({open.fields.requestId, Refusal::Stopping, OtherHostRetryAfter}));
}

// The exit gives these requests up, so this is the last that is known of them.
void GatewayDaemon::Impl::reportCutRequests()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto since = [](TimePoint from, TimePoint to) {
        return std::chrono::duration_cast<Milliseconds>(to - from).count();
    };
    std::size_t lines = 0;
    for (const auto &[id, open] : m_open) {
        if (++lines > MaxLoggedCuts) {
            return;
        }
        const HttpRequest &http = open.exchange->request();
        m_events.state("request-cut",
                       {{"request", open.fields.requestId},
                        {"connection", http.connection},
                        {"place", http.place},
                        {"arrived_after_stop_ms", since(m_stoppingSince.value_or(now), open.arrivedAt)},
                        {"age_ms", since(open.arrivedAt, now)},
                        {"attempts_in_progress", open.calls.size()},
                        {"time_left_ms", open.deadline ? nlohmann::json(since(now, *open.deadline)) : nullptr}});
    }
}

} // namespace pepperlug::fleet
