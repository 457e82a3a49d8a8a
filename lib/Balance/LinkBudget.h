//===- LinkBudget.h - Budget of answer bytes on a host's link ---*- C++ -*-===//
#pragma once

#include "TokenBucket.h"

namespace pepperlug::fleet
{

/// Token bucket of the answer bytes that a host may request from targets. Once a target answers, its bytes queue on the
/// link ahead of everything else, including updates from control hosts, and can't be held back; so they are bounded
/// before they are requested.
class LinkBudget
{
public:
    /// `bytesPerSecond`: capacity of the link; 0: unlimited.
    explicit LinkBudget(std::uint64_t bytesPerSecond)
        : m_config{static_cast<double>(bytesPerSecond) * UsableShare,
                   static_cast<double>(bytesPerSecond) * UsableShare * BurstTime.count()}
        , m_bytes(m_config.depth)
    {
    }

    /// Returns true if an answer of this size may be requested now. The first one may always be, whatever its size.
    bool has(double bytes, TimePoint now)
    {
        return m_config.perSecond <= 0 || m_bytes.has(bytes, m_config, now);
    }

    /// Counts an answer of this size; a negative size refunds bytes.
    void take(double bytes, TimePoint now)
    {
        m_bytes.refill(m_config, now);
        m_bytes.take(bytes);
    }

private:
    /// Each answer passes the link twice, from its target and to its caller, and both directions share the capacity; so
    /// less than half is usable.
    static constexpr double UsableShare = 0.4;
    /// Room for two large answers on a narrow link. With less, a large answer beside a steady stream of small ones
    /// blocks the next large one for a second.
    static constexpr std::chrono::duration<double> BurstTime{0.7};

    BucketConfig m_config;
    TokenBucket m_bytes;
};

} // namespace pepperlug::fleet
