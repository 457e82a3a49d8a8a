//===- FailureBlock.cpp - When a failing target may be used again ---------===//
#include "FailureBlock.h"

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds MinBlock{700};
constexpr Milliseconds MaxBlock{4000};
constexpr unsigned FailuresToBlock = 3;

} // namespace

void FailureBlock::recordFailure(TimePoint now)
{
    ++m_failures;
    block(now);
}

void FailureBlock::recordOutage(TimePoint now)
{
    m_failures = std::max(m_failures + 1, FailuresToBlock);
    block(now);
}

void FailureBlock::recordAnswer()
{
    m_failures = 0;
}

void FailureBlock::clear()
{
    *this = {};
}

bool FailureBlock::mayUse(TimePoint now, unsigned inFlight) const
{
    const bool isOnTrial = m_failures >= FailuresToBlock;
    return now >= m_blockedUntil && (!isOnTrial || inFlight == 0);
}

TimePoint FailureBlock::blockedUntil() const
{
    return m_blockedUntil;
}

void FailureBlock::block(TimePoint now)
{
    if (m_failures < FailuresToBlock) {
        return;
    }
    const unsigned doublings = std::min(m_failures - FailuresToBlock, 4U);
    m_blockedUntil = now + std::min<Duration>(MinBlock * (1 << doublings), MaxBlock);
}

} // namespace pepperlug::fleet
