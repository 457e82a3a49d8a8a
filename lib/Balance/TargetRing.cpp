//===- TargetRing.cpp - Targets of one service and region -----------------===//
#include "TargetRing.h"

#include "TargetSet.h"

namespace pepperlug::fleet
{

namespace
{

/// Points of a key on the ring. With fewer, targets behind a long gap would get too many keys.
constexpr std::uint64_t PointsPerKey = 32;
/// Targets that are passed over at one point if they aren't accepted.
constexpr std::size_t MaxPassedOver = 32;
/// Accepted targets of a sample, and targets that are looked at for it.
constexpr std::size_t MaxSampled = 64;
constexpr std::size_t MaxLookedAt = 256;

} // namespace

void TargetRing::add(TargetState &target)
{
    m_targets.emplace(target.hash, &target);
}

void TargetRing::remove(TargetState &target)
{
    setShare(target, 0, false);
    m_targets.erase({target.hash, &target});
}

std::size_t TargetRing::size() const
{
    return m_targets.size();
}

const std::set<std::pair<std::uint64_t, TargetState *>> &TargetRing::targets() const
{
    return m_targets;
}

void TargetRing::addPreferred(std::uint64_t key, const Filter &accepts, Ranked &out) const
{
    const std::size_t steps = std::min(m_targets.size(), MaxPassedOver);
    const std::string_view bytes(reinterpret_cast<const char *>(&key), sizeof key);
    for (std::uint64_t n = 0; n < PointsPerKey; ++n) {
        const std::uint64_t point = hash64(bytes, n);
        auto it = m_targets.lower_bound({point, nullptr});
        for (std::size_t step = 0; step < steps; ++step, ++it) {
            it = it == m_targets.end() ? m_targets.begin() : it;
            if (accepts(*it->second)) {
                out.emplace_back(it->first - point, it->second); // the difference wraps around the ring
                break;
            }
        }
    }
}

std::vector<TargetState *> TargetRing::sample(std::uint64_t point, const Filter &accepts) const
{
    std::vector<TargetState *> accepted;
    const std::size_t steps = std::min(m_targets.size(), MaxLookedAt);
    auto it = m_targets.lower_bound({point, nullptr});
    for (std::size_t step = 0; step < steps && accepted.size() < MaxSampled; ++step, ++it) {
        it = it == m_targets.end() ? m_targets.begin() : it;
        if (accepts(*it->second)) {
            accepted.push_back(it->second);
        }
    }
    return accepted;
}

void TargetRing::setShare(TargetState &target, unsigned slots, bool isTimed)
{
    m_slots = m_slots - target.countedSlots + slots;
    m_usable = m_usable - (target.countedSlots > 0 ? 1 : 0) + (slots > 0 ? 1 : 0);
    target.countedSlots = slots;
    if (isTimed) {
        m_timed.insert(&target);
    } else {
        m_timed.erase(&target);
    }
}

std::uint64_t TargetRing::slots() const
{
    return m_slots;
}

std::size_t TargetRing::usable() const
{
    return m_usable;
}

const std::set<TargetState *> &TargetRing::timed() const
{
    return m_timed;
}

bool TargetRing::mayHaveUsable() const
{
    return m_usable > 0 || !m_timed.empty();
}

} // namespace pepperlug::fleet
