//===- SparePlan.cpp - Which spare connections to open and close ----------===//
#include "SparePlan.h"

namespace pepperlug
{

void SparePlan::setWanted(const std::vector<Address> &addresses)
{
    for (auto &[address, spare] : m_spares) {
        spare.isWanted = false;
    }
    m_order.clear();
    for (const Address &it : addresses) {
        Spare &spare = m_spares[it];
        if (!spare.isWanted) {
            spare.isWanted = true;
            m_order.push_back(it);
        }
    }
}

void SparePlan::addUse(const Address &address, TimePoint now)
{
    m_lastUse[address] = now;
}

std::vector<Address> SparePlan::startDue(TimePoint now)
{
    std::erase_if(m_lastUse, [now](const auto &it) { return now - it.second >= UseInterval; });
    std::size_t pending = 0;
    std::size_t held = 0;
    for (const auto &[address, spare] : m_spares) {
        pending += spare.state == State::Pending ? 1 : 0;
        held += spare.state == State::Closed ? 0 : 1;
    }
    std::vector<Address> due;
    for (const Address &it : m_order) {
        if (pending >= MaxPending || held >= MaxHeld) {
            break;
        }
        Spare &spare = m_spares[it];
        if (spare.state == State::Closed && now >= spare.notBefore && !m_lastUse.contains(it)) {
            spare.state = State::Pending;
            spare.since = now;
            ++pending;
            ++held;
            due.push_back(it);
        }
    }
    return due;
}

std::vector<Address> SparePlan::closeDue(TimePoint now)
{
    std::vector<Address> due;
    for (auto it = m_spares.begin(); it != m_spares.end();) {
        Spare &spare = it->second;
        const bool hasTimedOut = spare.state == State::Pending && now - spare.since >= ConnectTimeout;
        const bool isTooOld = spare.state == State::Connected && now - spare.since >= MaxAge;
        if (spare.state != State::Closed && (hasTimedOut || isTooOld || !spare.isWanted)) {
            spare.state = State::Closed;
            due.push_back(it->first);
        }
        if (hasTimedOut) {
            spare.notBefore = now + ReopenDelay;
        }
        // An address that is wanted again within the delay still has to wait for it.
        const bool isObsolete = !spare.isWanted && now >= spare.notBefore;
        it = isObsolete ? m_spares.erase(it) : std::next(it);
    }
    return due;
}

void SparePlan::setConnected(const Address &address, TimePoint now)
{
    Spare &spare = m_spares[address];
    spare.state = State::Connected;
    spare.since = now;
}

void SparePlan::setLost(const Address &address, TimePoint now)
{
    Spare &spare = m_spares[address];
    spare.state = State::Closed;
    spare.notBefore = now + ReopenDelay;
}

void SparePlan::setTaken(const Address &address)
{
    m_spares[address].state = State::Closed;
}

} // namespace pepperlug
