//===- SliceGuard.h - Ownership of the zone's slots --------------*- C++ -*-===//
//
// Divides the zone's slots among its entry hosts according to the configuration
// in force. Slots are given up at once, and taken over only when no other host
// can still use them as its own.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "LeaseHolder.h"
#include "TargetPool.h"

namespace pepperlug
{

/// The slots that this host owns, and the lease under which it may use them.
class SliceGuard
{
public:
    /// Applies a configuration. Slots of targets that remain are kept, matched by name.
    void applyConfig(const Bundle *before, const Bundle &bundle, HostId self, const std::vector<std::string> &voidHosts,
                     std::uint64_t index, TimePoint now);
    void handleControlReply(std::uint64_t index, TimePoint now);

    /// Returns true if this host may use its slice: within the slice lease, a control host that is current has replied,
    /// or every other owner of the zone has sent a message and none has a newer configuration; or there is no other
    /// owner.
    bool isValid(const LeaseHolder &holder, TimePoint now) const;
    /// Takes over pending slots if that is safe now. Returns true if slots() has changed.
    bool refresh(const LeaseHolder &holder, TimePoint now);
    /// Returns the slots owned on each target, by TargetId.
    const std::vector<unsigned> &slots() const;
    /// Returns true if slots of the configuration in force are not taken over yet.
    bool hasPendingSlots() const;

private:
    bool othersConfirmed(const LeaseHolder &holder) const;

    HostId m_self{};
    std::uint64_t m_index = 0;
    TimePoint m_appliedAt{};
    std::optional<TimePoint> m_lastControlReply;
    Duration m_sliceLease{};
    double m_drift = 0;
    std::vector<HostId> m_otherOwners; ///< other owners of the zone's slots
    std::vector<HostId> m_awaitedOwners; ///< other present and former owners, which must report m_index
    bool m_mustAwaitExpiry = false; ///< a former owner can't report m_index
    std::vector<unsigned> m_slots; ///< slots owned now, by TargetId
    std::vector<unsigned> m_assignedSlots; ///< slots of the configuration in force, by TargetId
};

} // namespace pepperlug
