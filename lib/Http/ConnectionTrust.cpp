//===- ConnectionTrust.cpp - Which kept connections are in doubt ----------===//
#include "ConnectionTrust.h"

namespace pepperlug
{

void ConnectionTrust::addUse(const Address &to, std::uint16_t port, std::optional<TimePoint> madeAt, TimePoint now)
{
    m_uses[{to, port}] = {madeAt, now};
}

std::optional<TimePoint> ConnectionTrust::madeAt(const Address &to, std::uint16_t port) const
{
    const auto it = m_uses.find({to, port});
    return it == m_uses.end() ? std::nullopt : it->second.madeAt;
}

bool ConnectionTrust::addUnanswered(const Address &to, std::optional<TimePoint> madeAt, Duration waited, TimePoint now)
{
    // A connection from before the doubt tells nothing new, and connections made since are not to suffer from it.
    const std::optional<TimePoint> before = doubtedBefore(to, now);
    const bool isKnown = before && madeAt && *madeAt < *before;
    if (waited < TrustTime || isKnown) {
        return false;
    }
    m_doubts[to] = {now, madeAt};
    return true;
}

void ConnectionTrust::addAnswer(const Address &to, std::optional<TimePoint> madeAt)
{
    const auto it = m_doubts.find(to);
    if (it == m_doubts.end() || !madeAt || !it->second.silentMadeAt) {
        return;
    }
    // A newer connection than the silent one may have been made after the others went silent.
    if (*madeAt <= *it->second.silentMadeAt) {
        m_doubts.erase(it);
    }
}

std::optional<TimePoint> ConnectionTrust::doubtedBefore(const Address &to, TimePoint now) const
{
    const auto it = m_doubts.find(to);
    const bool isDoubted = it != m_doubts.end() && now - it->second.before < DoubtTime;
    return isDoubted ? std::optional(it->second.before) : std::nullopt;
}

void ConnectionTrust::expire(TimePoint now)
{
    constexpr std::chrono::seconds Interval{1};
    if (now - m_expiredAt < Interval) {
        return;
    }
    m_expiredAt = now;
    std::erase_if(m_uses, [now](const auto &it) { return now - it.second.usedAt >= DoubtTime; });
    std::erase_if(m_doubts, [now](const auto &it) { return now - it.second.before >= DoubtTime; });
}

std::optional<std::chrono::seconds> lifetimeSince(TimePoint before, TimePoint now)
{
    // The library drops the part of a second from a connection's age, and takes 0 for no limit.
    const auto lifetime = std::chrono::floor<std::chrono::seconds>(now - before) - std::chrono::seconds(1);
    return lifetime > std::chrono::seconds::zero() ? std::optional(lifetime) : std::nullopt;
}

} // namespace pepperlug
