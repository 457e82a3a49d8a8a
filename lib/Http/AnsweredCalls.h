//===- AnsweredCalls.h - Which calls connections have carried ----*- C++ -*-===//
//
// An answer names its call. A connection that has carried a call may bring a
// surplus copy of its answer in the place of the next one, and for another call
// of the same name that copy can't be told from the answer. Keeps which names
// were answered at which address, for as long as a connection from then may be
// in use. Decides without sockets: the owner reports events with their times.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <unordered_map>

namespace pepperlug
{

class AnsweredCalls
{
public:
    /// Records that a call was answered over a connection that may carry others. `within`: time in which another call
    /// of the same name may follow.
    void add(const Address &to, std::string_view name, Duration within, TimePoint now);
    /// Returns whether a kept connection to the address may have carried a call of that name.
    bool contains(const Address &to, std::string_view name, TimePoint now) const;
    /// Forgets what has expired.
    void expire(TimePoint now);

private:
    std::unordered_map<std::uint64_t, TimePoint> m_expiries; ///< by a hash of address and name
    TimePoint m_expiredAt{};
};

} // namespace pepperlug
