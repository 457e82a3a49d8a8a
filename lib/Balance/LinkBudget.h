//===- LinkBudget.h - What answers may ask of a host's link -----*- C++ -*-===//
#pragma once

#include "TokenBucket.h"

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
        : m_config{static_cast<double>(bytesPerSecond) * UsableShare,
                   static_cast<double>(bytesPerSecond) * UsableShare * BurstTime.count()}
        , m_bytes(m_config.depth)
    {
    }

    /// Whether an answer of this size may be asked for now. The first one may always be, however long it is.
    bool has(double bytes, TimePoint now)
    {
        return m_config.perSecond <= 0 || m_bytes.has(bytes, m_config, now);
    }

    /// Counts an answer of this size; a negative one gives back what was counted too much.
    void take(double bytes, TimePoint now)
    {
        m_bytes.refill(m_config, now);
        m_bytes.take(bytes);
    }

private:
    /// Each answer passes the link twice, from its target and to its caller, and both ways share it: so less than half.
    static constexpr double UsableShare = 0.4;
    /// Room for two large answers on a narrow link: with less, one large answer beside the small ones that come all the
    /// time shuts out the next for a second.
    static constexpr std::chrono::duration<double> BurstTime{0.7};

    BucketConfig m_config;
    TokenBucket m_bytes;
};

} // namespace pepperlug::fleet
