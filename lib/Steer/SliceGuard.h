//===- SliceGuard.h - Which slots of the zone are this host's ----*- C++ -*-===//
//
// Divides the zone's slots among its entry hosts as the configuration in force
// says. Slots are given up at once and taken over only when no other host can
// still believe that they are its own.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "LeaseHolder.h"
#include "TargetPool.h"

namespace pepperlug
{

class SliceGuard
{
public:
    /// Takes over a configuration. `slots` are the bundle's targets; those of targets that stay are kept by name.
    void applyConfig(const Bundle *before, const Bundle &bundle, HostId self, const std::vector<std::string> &voidHosts,
                     std::uint64_t index, TimePoint now);
    void handleControlReply(std::uint64_t index, TimePoint now);

    /// Whether this host may use its slice: a control host that is current was heard, or every other owner of the zone
    /// was and none knows a newer configuration, or there is no other.
    bool isValid(const LeaseHolder &holder, TimePoint now) const;
    /// Takes slots over where that is safe now. Returns whether slots() has changed.
    bool refresh(const LeaseHolder &holder, TimePoint now);
    /// Slots owned on each target, by TargetId.
    const std::vector<unsigned> &slots() const;
    bool hasPendingSlots() const;

private:
    bool othersConfirmed(const LeaseHolder &holder) const;

    HostId m_self{};
    std::uint64_t m_index = 0;
    TimePoint m_appliedAt{};
    std::optional<TimePoint> m_controlHeard;
    Duration m_sliceLease{};
    double m_drift = 0;
    std::vector<HostId> m_others; ///< owners of the zone besides this host
    std::vector<HostId> m_mustConfirm; ///< owners before or now, besides this host
    bool m_mustWaitOut = false; ///< an owner before can't confirm
    std::vector<unsigned> m_slots;
    std::vector<unsigned> m_wanted;
};

} // namespace pepperlug
