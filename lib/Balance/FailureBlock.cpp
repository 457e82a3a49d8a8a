//===- FailureBlock.cpp - When a failing target may be used again ---------===//
#include "FailureBlock.h"

#include <algorithm>

namespace pepperlug::fleet
{

namespace
{

constexpr Milliseconds MinBlock{700};
constexpr Milliseconds MaxBlock{4000};
constexpr unsigned FailuresToBlock = 3;

} // namespace

// What is sent after a block is a trial; the next one is due in another block unless an answer comes.
void FailureBlock::recordSent(TimePoint now)
{
    block(now);
}

void FailureBlock::recordFailure(TimePoint now)
{
    ++m_failures;
    block(now);
}

void FailureBlock::recordOutrun(TimePoint sentAt, TimePoint now)
{
    if (sentAt >= m_outrunAt) {
        m_outrunAt = now;
        recordFailure(now);
    }
}

void FailureBlock::recordOutage(TimePoint now)
{
    m_failures = std::max(m_failures + 1, FailuresToBlock);
    block(now);
}

void FailureBlock::recordEndless(TimePoint now)
{
    m_isEndless = true;
    recordOutage(now);
}

void FailureBlock::recordAnswer()
{
    clear();
}

void FailureBlock::clear()
{
    *this = {};
}

bool FailureBlock::mayUse(TimePoint now) const
{
    return now >= m_blockedUntil;
}

bool FailureBlock::mayUseWithoutOther() const
{
    return !m_isEndless;
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
