//===- TargetRing.h - Targets of one service and region ---------*- C++ -*-===//
//
// The targets lie on a ring by the hash of their id. A key looks at several points of the ring, which its hash gives,
// and prefers the targets that follow these points most closely. So all entry hosts prefer the same targets for a key
// without communication, the keys are spread evenly, and few move when a target comes or goes; and the cost hardly
// depends on the number of targets.
//
// The ring also keeps the sum of the targets' slots, which changes with single targets.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Balance.h"

#include <functional>

namespace pepperlug::fleet
{

struct TargetState;

/// Targets of one service in one region.
class TargetRing
{
public:
    using Filter = std::function<bool(TargetState &target)>;
    /// A target, by its distance from the closest point of a key.
    using Ranked = std::vector<std::pair<std::uint64_t, TargetState *>>;

    void add(TargetState &target);
    void remove(TargetState &target);
    std::size_t size() const;

    /// Adds the accepted targets that a key prefers, with their distances, in no order.
    void addPreferred(std::uint64_t key, const Filter &accepts, Ranked &out) const;
    /// Returns accepted targets: all of a small ring, some of a large one, from a point of the ring on.
    std::vector<TargetState *> sample(std::uint64_t point, const Filter &accepts) const;
    const std::set<std::pair<std::uint64_t, TargetState *>> &targets() const;

    /// Sets what a target adds to the sums. A target whose share depends on the time is counted apart.
    void setShare(TargetState &target, unsigned slots, bool isTimed);
    std::uint64_t slots() const; ///< of the targets whose share does not depend on the time
    std::size_t usable() const; ///< number of these targets that have slots
    const std::set<TargetState *> &timed() const;
    /// Returns false if no target of the ring is usable.
    bool mayHaveUsable() const;

private:
    std::set<std::pair<std::uint64_t, TargetState *>> m_targets; ///< by hash
    std::set<TargetState *> m_timed;
    std::uint64_t m_slots = 0;
    std::size_t m_usable = 0;
};

} // namespace pepperlug::fleet
