//===- pepperlug/Quarantine.h - Requests that end the targets which run them -===//
//
// Which requests are the same one, though each try bears an id of its own. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Registry.h"

namespace pepperlug::fleet
{

/// What makes two tries the same request. Nothing that a caller draws anew for each try belongs to it.
struct RequestIdentity {
    std::string_view method;
    std::string_view host;
    std::string_view resource; ///< path and query as sent
    std::string_view affinityKey; ///< empty: none
    std::string_view body;
};

/// The same for the same request at every host and after each restart; nobody can make another request look alike.
std::string digestOf(const RequestIdentity &identity);

} // namespace pepperlug::fleet
