//===- LinkBudget.h - What answers may ask of a host's link -----*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <algorithm>

namespace pepperlug::fleet
{

/// Bytes that a host may ask its targets for, as a bucket that fills with time. Once a target answers, its bytes queue
/// on the link in front of everything else, also of news from control hosts, and nothing can hold them back; so they
/// are bounded before they are asked for.
class LinkBudget
{
public:
    /// `bytesPerSecond`: of the link; 0 for one that need not be minded.
    explicit LinkBudget(std::uint64_t bytesPerSecond)
        : m_rate(static_cast<double>(bytesPerSecond) * UsedPart)
        , m_bytes(m_rate * Burst.count())
    {
    }

    /// Whether an answer of this size may be asked for now. The first one may always be, however long it is.
    bool has(double bytes, TimePoint now)
    {
        refill(now);
        return m_rate <= 0 || m_bytes >= std::min(bytes, m_rate * Burst.count());
    }

    /// Counts an answer of this size; a negative one gives back what was counted too much.
    void take(double bytes, TimePoint now)
    {
        refill(now);
        m_bytes = std::min(m_bytes - bytes, m_rate * Burst.count());
    }

private:
    /// Each answer passes the link twice, from its target and to its caller, and both ways share it: so less than half.
    static constexpr double UsedPart = 0.4;
    /// Room for two large answers on a narrow link: with less, one large answer beside the small ones that come all the
    /// time shuts out the next for a second.
    static constexpr std::chrono::duration<double> Burst{0.7};

    void refill(TimePoint now)
    {
        const std::chrono::duration<double> passed = std::max(Duration(0), now - m_at);
        m_bytes = std::min(m_bytes + m_rate * passed.count(), m_rate * Burst.count());
        m_at = std::max(m_at, now);
    }

    double m_rate;
    double m_bytes;
    TimePoint m_at{};
};

} // namespace pepperlug::fleet
