//===- LoosenedRoutes.h - Paths that were once-only lately ------*- C++ -*-===//
//
// A caller sends a request by the routes that it knows. By the time that the
// request has arrived whole, a newer table may allow it to run repeatedly.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Routes.h"

namespace pepperlug::fleet
{

/// Path prefixes whose requests a replaced table allowed to run only once, and a later one repeatedly.
class LoosenedRoutes
{
public:
    /// Compares a table with the one that replaces it.
    void replace(const RouteTable &before, const RouteIndex &indexBefore, const RouteTable &after, TimePoint now);
    /// Returns true if a request may have been sent while a table in force allowed it to run only once. `age`: time
    /// since its first byte arrived.
    bool covers(const std::string &host, std::string_view path, Duration age, TimePoint now) const;
    std::size_t size() const;

private:
    using Prefixes = std::map<std::string, TimePoint, std::less<>>;

    void removeExpired(TimePoint now);

    std::map<std::string, Prefixes, std::less<>> m_hosts; ///< when each prefix was loosened last
};

} // namespace pepperlug::fleet
