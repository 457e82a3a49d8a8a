//===- HostChoosers.h - Baselines for the choice of a host -------*- C++ -*-===//
//
// Placement strategies without leases, as baselines for measurements. Each is a
// type that satisfies HostChooser.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "LeaseHolder.h"

#include <concepts>

namespace pepperlug
{

/// Input of a baseline: this host, all other hosts, and their last reports.
struct ChooserInput {
    const Bundle &bundle;
    const LeaseHolder &holder;
    HostId self{};
    ServiceId service{};
    unsigned ownSpare = 0;
    TimePoint now{};
};

/// Requirement on a baseline.
template <typename T>
concept HostChooser = requires(T chooser, const ChooserInput &input)
{
    {
        chooser.choose(input)
        } -> std::same_as<HostId>;
};

/// Chooses this host.
struct NearestChooser {
    HostId choose(const ChooserInput &input)
    {
        return input.self;
    }
};

/// Chooses each live host in turn.
struct RoundRobinChooser {
    std::size_t next = 0;

    HostId choose(const ChooserInput &input)
    {
        const std::size_t hosts = input.bundle.hosts.size();
        for (std::size_t n = 0; n < hosts; ++n) {
            const HostId host = makeId<HostId>(next++ % hosts);
            if (host == input.self || input.holder.isAlive(host, input.now)) {
                return host;
            }
        }
        return input.self;
    }
};

/// Chooses the live host that reports the most spare slots.
struct ReportedLoadChooser {
    HostId choose(const ChooserInput &input)
    {
        HostId best = input.self;
        unsigned bestSpare = input.ownSpare;
        for (const HostId host : input.holder.issuers()) {
            const unsigned spare = input.holder.spare(host, input.service);
            if (spare > bestSpare && input.holder.isAlive(host, input.now)) {
                best = host;
                bestSpare = spare;
            }
        }
        return best;
    }
};

static_assert(HostChooser<NearestChooser> && HostChooser<RoundRobinChooser> && HostChooser<ReportedLoadChooser>);

} // namespace pepperlug
