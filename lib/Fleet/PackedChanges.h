//===- PackedChanges.h - Compressed registry changes ------------*- C++ -*-===//
#pragma once

#include "FleetMessages.h"

namespace pepperlug::fleet
{

/// Changes from which on a reply is compressed. Fewer are not worth the time.
constexpr std::size_t MinPackedChanges = 32;

/// Changes that are compressed together. A recipient holds one such part twice while it decodes it.
constexpr std::size_t ChangesPerPart = 1000;

std::size_t changeCount(const RegistryChanges &changes);
/// Returns the changes in one or more compressed parts.
std::vector<std::string> packChanges(const RegistryChanges &changes);
/// Throws Error that names the peer.
RegistryChanges unpackChanges(const std::vector<std::string> &parts, const std::string &peer);

/// The same for targets alone.
std::vector<std::string> packTargets(const std::vector<TargetReport> &targets);
std::vector<TargetReport> unpackTargets(const std::vector<std::string> &parts, const std::string &peer);

} // namespace pepperlug::fleet
