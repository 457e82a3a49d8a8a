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
        parts.push_back(compressed(encode(part), Compression::Fast, "compress registry changes"));
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

std::vector<std::string> packTargets(const std::vector<TargetReport> &targets)
{
    RegistryChanges changes;
    std::transform(targets.begin(), targets.end(), std::back_inserter(changes.targets), [](const TargetReport &it) {
        return AgedReport<TargetReport>{it, Milliseconds(0), false};
    });
    return packChanges(changes);
}

std::vector<TargetReport> unpackTargets(const std::vector<std::string> &parts, const std::string &peer)
{
    RegistryChanges changes = unpackChanges(parts, peer);
    std::vector<TargetReport> targets;
    std::transform(changes.targets.begin(), changes.targets.end(), std::back_inserter(targets),
                   [](AgedReport<TargetReport> &it) { return std::move(it.report); });
    return targets;
}

} // namespace pepperlug::fleet
