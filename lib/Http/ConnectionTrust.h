//===- ConnectionTrust.h - Which kept connections are in doubt --*- C++ -*-===//
//
// A connection that has gone silent looks like one whose answer is slow. Keeps
// for each target from when on its connections have to be to carry a request.
// Decides without sockets: the owner reports events with their times.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <map>

namespace pepperlug
{

class ConnectionTrust
{
public:
    /// Time without a byte after which a request that ends puts connections in doubt.
    static constexpr Milliseconds TrustTime{500};
    /// Longer than a connection is kept without use: no connection from before is left when a doubt ends by itself.
    static constexpr Duration DoubtTime = std::chrono::seconds(8);

    /// Records that a request went over a connection, or has ended on it. `port`: its local one; `madeAt`: nothing if
    /// that is not known.
    void addUse(const Address &to, std::uint16_t port, std::optional<TimePoint> madeAt, TimePoint now);
    /// Returns when a connection was made; nothing if that is not known.
    std::optional<TimePoint> madeAt(const Address &to, std::uint16_t port) const;
    /// Records that a request which went over an older connection ended without a byte, `waited` after it was sent.
    /// Returns whether connections to the address are in doubt for that.
    bool addUnanswered(const Address &to, std::optional<TimePoint> madeAt, Duration waited, TimePoint now);
    /// Records a byte of an answer.
    void addAnswer(const Address &to, std::optional<TimePoint> madeAt);
    /// Returns the time before which connections to the address were made that must not be used; nothing if all may.
    std::optional<TimePoint> doubtedBefore(const Address &to, TimePoint now) const;
    /// Forgets what has expired.
    void expire(TimePoint now);

private:
    struct Use {
        std::optional<TimePoint> madeAt;
        TimePoint usedAt{};
    };
    struct Doubt {
        TimePoint before{};
        std::optional<TimePoint> silentMadeAt; ///< when the connection was made that caused it, if known
    };

    std::map<std::pair<Address, std::uint16_t>, Use> m_uses;
    std::map<Address, Doubt> m_doubts;
    TimePoint m_expiredAt{};
};

/// Lifetime in whole seconds that leaves the library only connections made after `before`; nothing if there is none,
/// so that a new one is needed.
std::optional<std::chrono::seconds> lifetimeSince(TimePoint before, TimePoint now);

} // namespace pepperlug
