//===- Remembered.cpp - What a control host knew before a restart ---------===//
#include "Remembered.h"
#include "pepperlug/Storage.h"

#include <filesystem>

namespace pepperlug::fleet
{

Remembered rememberedOf(const RoutingState &routing, const Registry &registry)
{
    Remembered remembered;
    remembered.routingIndex = routing.index();
    remembered.tableText = routing.text();
    remembered.evacuatedZones.assign(routing.evacuatedZones().begin(), routing.evacuatedZones().end());
    for (const auto &[id, entry] : registry.targets()) {
        // How many hosts share a cold target is not known right after a restart, so none sends to it.
        const bool isWarm = entry.report.coldLeft <= Milliseconds(0);
        if (entry.report.presence == Presence::Ready && !entry.isSilent && isWarm) {
            remembered.targets.push_back(entry.report);
        }
    }
    return remembered;
}

void writeRemembered(const std::string &path, const Remembered &remembered)
{
    replaceFile(path, encode(remembered));
}

std::optional<Remembered> readRemembered(const std::string &path)
{
    std::error_code ec; // whatever else keeps the file from being read is told by readFile()
    if (std::filesystem::status(path, ec).type() == std::filesystem::file_type::not_found) {
        return std::nullopt;
    }
    return decode<Remembered>(readFile(path), path);
}

void addRemembered(FleetWatchReply &reply, const Remembered &remembered, const Registry &registry)
{
    for (const TargetReport &it : remembered.targets) {
        if (registry.target(it.id) == nullptr) {
            reply.remembered.push_back(it);
        }
    }
    if (reply.routingIndex < remembered.routingIndex && !remembered.tableText.empty()) {
        reply.hasRouting = true;
        reply.routingIndex = remembered.routingIndex;
        reply.tableText = remembered.tableText;
        reply.evacuatedZones = remembered.evacuatedZones;
    }
}

} // namespace pepperlug::fleet
