//===- UpdateExchange.h - Tables that hosts keep together ----------*- C++ -*-===//
//
// An entry host tells what it noticed with its asks, until a reply tells that it
// was heard; a control host that has started anew is told all that is known.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "FleetMessages.h"

namespace pepperlug::fleet
{

/// Up to where something was told, between an entry host and one life of a control host.
struct EpochVersion {
    std::string epoch; ///< of the control host's life
    std::uint64_t version = 0;
    bool operator==(const EpochVersion &) const = default;
};

/// Fills in what an entry host tells the control host whose life the epoch names.
template <typename Report, typename Table>
void fillOffer(UpdateOffer<Report> &offer, const Table &table, const EpochVersion &told, const std::string &epoch,
               TimePoint now)
{
    const bool hasHeard = !epoch.empty() && epoch == told.epoch;
    offer.reports = table.changedSince(hasHeard ? told.version : 0, NewsReader::ControlHost, now);
    offer.version = table.version();
}

/// Takes the reports out of an offer, and from it what a control host's earlier life was told.
template <typename Report>
std::vector<Report> takeReports(UpdateOffer<Report> &offer, bool isSameEpoch, bool knowsNoEpoch)
{
    offer.since = isSameEpoch ? offer.since : 0;
    // An asker that knew an earlier life of this host may have left out what it told that one.
    offer.version = isSameEpoch || knowsNoEpoch ? offer.version : 0;
    return std::exchange(offer.reports, {});
}

/// What a control host replies.
template <typename Report, typename Table>
UpdateReply<Report> makeUpdateReply(const UpdateOffer<Report> &offer, const Table &table, NewsReader reader,
                                    TimePoint now)
{
    return {table.changedSince(offer.since, reader, now), table.version(), offer.version};
}

} // namespace pepperlug::fleet
