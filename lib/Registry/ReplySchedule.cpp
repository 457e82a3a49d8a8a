//===- ReplySchedule.cpp - When recipients are sent updates ---------------===//
#include "pepperlug/Registry.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

/// Share of a processor for replies.
constexpr double ReplyShare = 0.1;

} // namespace

ReplySchedule::ReplySchedule(Duration costPerReply)
    : m_costPerReply(costPerReply)
{
}

Duration ReplySchedule::gatherTime(std::size_t recipients) const
{
    const auto cost = m_costPerReply * static_cast<Duration::rep>(recipients);
    return std::min<Duration>(std::chrono::duration_cast<Duration>(cost / ReplyShare), MaxGatherTime);
}

bool ReplySchedule::isDue(TimePoint now, std::size_t recipients) const
{
    return !m_repliedAt || now - *m_repliedAt >= gatherTime(recipients);
}

void ReplySchedule::recordReplies(TimePoint now)
{
    m_repliedAt = now;
}

} // namespace pepperlug::fleet
