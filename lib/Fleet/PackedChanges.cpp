//===- PackedChanges.cpp - Compressed registry changes --------------------===//
#include "PackedChanges.h"

namespace pepperlug::fleet
{

std::size_t changeCount(const RegistryChanges &changes)
{
    return changes.targets.size() + changes.hosts.size() + changes.renewals.size();
}

std::string packChanges(const RegistryChanges &changes)
{
    return compressed(encode(changes), Compression::Fast);
}

RegistryChanges unpackChanges(const std::string &data, const std::string &peer)
{
    return decode<RegistryChanges>(expanded(data, "expand registry changes", peer), peer);
}

} // namespace pepperlug::fleet
