//===- SparePlan.h - Which spare connections to open and close --*- C++ -*-===//
//
// Decides without sockets: the owner reports what happened to each connection,
// and asks which ones to open and which ones to close.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <map>

namespace pepperlug
{

class SparePlan
{
public:
    static constexpr std::size_t MaxPending = 20;
    static constexpr std::size_t MaxHeld = 300; ///< pending ones included
    /// For that long after a call, the connection that the call used is assumed to be open.
    static constexpr Duration UseInterval = std::chrono::seconds(8);
    static constexpr Duration ReopenDelay = std::chrono::seconds(1);
    static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
    /// Targets close idle connections after 10 s. A request that meets this close may be lost, so spare connections
    /// are replaced before.
    static constexpr Duration MaxAge = std::chrono::seconds(8);

    /// Replaces the wanted addresses, the most important one first.
    void setWanted(const std::vector<Address> &addresses);
    /// Records that a call to the address starts or has ended.
    void addUse(const Address &address, TimePoint now);
    /// Returns the addresses to connect to now, and counts them as pending.
    std::vector<Address> startDue(TimePoint now);
    /// Returns the addresses whose connection or connect attempt has to be closed now, and counts them as closed.
    std::vector<Address> closeDue(TimePoint now);
    void setConnected(const Address &address, TimePoint now);
    /// Records that a connect attempt failed or that the peer closed the connection.
    void setLost(const Address &address, TimePoint now);
    /// Records that a call took the connection.
    void setTaken(const Address &address);

private:
    enum class State { Closed, Pending, Connected };
    struct Spare {
        State state = State::Closed;
        bool isWanted = false;
        TimePoint since{}; ///< of the state, unless it is Closed
        TimePoint notBefore{}; ///< no connect attempt before
    };

    std::vector<Address> m_order; ///< of the wanted addresses
    std::map<Address, Spare> m_spares;
    std::map<Address, TimePoint> m_lastUse; ///< within UseInterval
};

} // namespace pepperlug
