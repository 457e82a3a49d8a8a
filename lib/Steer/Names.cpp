//===- Names.cpp - Names of enumerations for logs and answers -------------===//
#include "pepperlug/Steer.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::array<const char *, 4> StrategyNames{"leases", "nearest", "round-robin", "reported-load"};

constexpr std::array<const char *, 27> ReasonNames{
    "local-target",
    "leased-zone",
    "neighbour",
    "home",
    "queued",
    "hedge",
    "retry",
    "no-capacity",
    "over-lease",
    "shift-cap",
    "link-limit",
    "slice-expired",
    "shed",
    "target-unreachable",
    "target-failed",
    "deadline-passed",
    "key-missing",
    "key-mismatch",
    "key-expired",
    "key-foreign",
    "home-unreachable",
    "claim-closed",
    "claim-unknown",
    "not-ready",
    "leaving",
    "loop-refused",
    "caller-gone",
};
static_assert(ReasonNames.size() == static_cast<std::size_t>(Reason::CallerGone) + 1);

} // namespace

std::optional<Strategy> parseStrategy(const std::string &name)
{
    const auto it = std::find(StrategyNames.begin(), StrategyNames.end(), name);
    if (it == StrategyNames.end()) {
        return std::nullopt;
    }
    return static_cast<Strategy>(it - StrategyNames.begin());
}

const char *nameOf(Strategy strategy)
{
    return StrategyNames.at(static_cast<std::size_t>(strategy));
}

const char *nameOf(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

const char *nameOf(Reason reason)
{
    return ReasonNames.at(static_cast<std::size_t>(reason));
}

} // namespace pepperlug
