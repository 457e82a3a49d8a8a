//===- UpdateExchange.h - Updates of shared tables --------------*- C++ -*-===//
//
// An entry host repeats the events that it has noticed with each request until
// a reply acknowledges them. A control host that has restarted gets the whole
// table.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "FleetMessages.h"

namespace pepperlug::fleet
{

/// Version of a table, valid for one incarnation of a control host.
struct EpochVersion {
    std::string epoch; ///< of the control host's incarnation
    std::uint64_t version = 0;
    bool operator==(const EpochVersion &) const = default;
};

/// Fills in the updates for the control host whose incarnation the epoch names.
template <typename Report, typename Table>
void fillOffer(UpdateOffer<Report> &offer, const Table &table, const EpochVersion &acknowledged,
               const std::string &epoch, TimePoint now)
{
    const bool isKnownEpoch = !epoch.empty() && epoch == acknowledged.epoch;
    offer.reports = table.changedSince(isKnownEpoch ? acknowledged.version : 0, UpdateRecipient::ControlHost, now);
    offer.version = table.version();
}

/// Moves the reports out of an offer, and resets the versions in it that an earlier incarnation of this control host
/// had assigned or acknowledged.
template <typename Report>
std::vector<Report> takeReports(UpdateOffer<Report> &offer, bool isSameEpoch, bool hasNoEpoch)
{
    offer.since = isSameEpoch ? offer.since : 0;
    // A sender that knew an earlier incarnation of this host may have left out what that one acknowledged.
    offer.version = isSameEpoch || hasNoEpoch ? offer.version : 0;
    return std::exchange(offer.reports, {});
}

/// Returns a control host's reply to an offer.
template <typename Report, typename Table>
UpdateReply<Report> makeUpdateReply(const UpdateOffer<Report> &offer, const Table &table, UpdateRecipient reader,
                                    TimePoint now)
{
    return {table.changedSince(offer.since, reader, now), table.version(), offer.version};
}

} // namespace pepperlug::fleet
