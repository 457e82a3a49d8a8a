//===- RepeatedAnswers.h - Which addresses answer more than once -*- C++ -*-===//
//
// A surplus answer arrives in the place of the next one on its connection. Keeps
// which addresses have sent one, so that their connections carry one call each
// for a while, and nothing has to be read past. Decides without sockets: the owner
// reports events with their times.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

class RepeatedAnswers
{
public:
    /// Since the last surplus answer that was seen. Connections of one call show none, so one call may meet one
    /// each time that this has passed.
    static constexpr Duration SeparateTime = std::chrono::seconds(60);

    /// Records an answer that belongs to no call on its way.
    void add(const Address &from, TimePoint now)
    {
        m_expiries[from] = now + SeparateTime;
    }

    /// Returns whether connections to the address carry one call each.
    bool contains(const Address &to, TimePoint now) const
    {
        const auto it = m_expiries.find(to);
        return it != m_expiries.end() && now < it->second;
    }

    /// Forgets what has expired.
    void expire(TimePoint now)
    {
        std::erase_if(m_expiries, [&](const auto &it) { return now >= it.second; });
    }

    std::size_t size() const
    {
        return m_expiries.size();
    }

private:
    std::map<Address, TimePoint> m_expiries;
};

} // namespace pepperlug
