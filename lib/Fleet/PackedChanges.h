//===- PackedChanges.h - Compressed registry changes ------------*- C++ -*-===//
#pragma once

#include "FleetMessages.h"

namespace pepperlug::fleet
{

/// Changes from which on a reply is compressed. Fewer are not worth the time.
constexpr std::size_t MinPackedChanges = 32;

std::size_t changeCount(const RegistryChanges &changes);
std::string packChanges(const RegistryChanges &changes);
/// Throws Error that names the peer.
RegistryChanges unpackChanges(const std::string &data, const std::string &peer);

} // namespace pepperlug::fleet
