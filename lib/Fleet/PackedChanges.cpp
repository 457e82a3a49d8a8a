//===- PackedChanges.cpp - Compressed registry changes --------------------===//
#include "PackedChanges.h"

#include <algorithm>
#include <iterator>

namespace pepperlug::fleet
{

std::size_t changeCount(const RegistryChanges &changes)
{
    return changes.targets.size() + changes.hosts.size() + changes.renewals.size();
}

std::vector<std::string> packChanges(const RegistryChanges &changes)
{
    std::vector<std::string> parts;
    RegistryChanges part;
    const auto endPart = [&] {
        parts.push_back(compressed(encode(part), Compression::Fast));
        part = {};
    };
    const auto addAll = [&](const auto &from, auto &to) {
        for (const auto &it : from) {
            to.push_back(it);
            if (changeCount(part) == ChangesPerPart) {
                endPart();
            }
        }
    };
    addAll(changes.targets, part.targets);
    addAll(changes.hosts, part.hosts);
    addAll(changes.renewals, part.renewals);
    if (!part.empty()) {
        endPart();
    }
    return parts;
}

RegistryChanges unpackChanges(const std::vector<std::string> &parts, const std::string &peer)
{
    RegistryChanges changes;
    const auto append = [](auto &to, auto &&from) {
        std::move(from.begin(), from.end(), std::back_inserter(to));
    };
    for (const std::string &it : parts) {
        auto part = decode<RegistryChanges>(expanded(it, "expand registry changes", peer), peer);
        append(changes.targets, std::move(part.targets));
        append(changes.hosts, std::move(part.hosts));
        append(changes.renewals, std::move(part.renewals));
    }
    return changes;
}

} // namespace pepperlug::fleet
