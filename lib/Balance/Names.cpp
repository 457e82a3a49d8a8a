//===- Names.cpp - Names of outcomes and refusals in lines and headers ----===//
#include "pepperlug/Balance.h"

namespace pepperlug::fleet
{

const char *nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NotSent:
        return "not-sent";
    case AttemptOutcome::Withdrawn:
        return "withdrawn";
    case AttemptOutcome::Shed:
        return "shed";
    case AttemptOutcome::WrongTarget:
        return "wrong-target";
    case AttemptOutcome::Lost:
        return "lost";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::Endless:
        return "endless";
    }
    return "lost";
}

const char *nameOf(Refusal refusal)
{
    switch (refusal) {
    case Refusal::NoConfiguration:
        return "no-configuration";
    case Refusal::NoRoute:
        return "no-route";
    case Refusal::UnknownKey:
        return "unknown-key";
    case Refusal::RoutingLate:
        return "routing-late";
    case Refusal::RouteChanged:
        return "route-changed";
    case Refusal::OverQuota:
        return "over-quota";
    case Refusal::NoTarget:
        return "no-target";
    case Refusal::Overloaded:
        return "overloaded";
    case Refusal::Backpressure:
        return "backpressure";
    case Refusal::LinkFull:
        return "link-full";
    case Refusal::Quarantined:
        return "shut-out";
    case Refusal::NotReached:
        return "not-reached";
    case Refusal::Stopping:
        return "stopping";
    case Refusal::Lost:
        return "lost";
    case Refusal::TimedOut:
        return "timed-out";
    }
    return "lost";
}

const char *nameOf(Withheld reason)
{
    switch (reason) {
    case Withheld::Ended:
        return "ended";
    case Withheld::Suspended:
        return "routing-late";
    case Withheld::Quarantined:
        return "shut-out";
    case Withheld::TargetUnusable:
        return "target-unusable";
    case Withheld::NoRoute:
        return "no-route";
    case Withheld::OtherTenant:
        return "other-tenant";
    case Withheld::OtherService:
        return "other-service";
    case Withheld::OutsideRegions:
        return "outside-regions";
    case Withheld::RoutingChanged:
        return "routing-changed";
    case Withheld::Stopping:
        return "stopping";
    }
    return "ended";
}

std::optional<Refusal> refusalNamed(std::string_view name)
{
    for (auto it = Refusal::NoConfiguration; it <= Refusal::TimedOut;
         it = static_cast<Refusal>(static_cast<int>(it) + 1)) {
        if (name == nameOf(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace pepperlug::fleet
