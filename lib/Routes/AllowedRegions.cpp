//===- AllowedRegions.cpp - Regions that may receive a request ------------===//
#include "pepperlug/Routes.h"

#include <algorithm>

namespace pepperlug::fleet
{

AllowedRegions::AllowedRegions(const Route &route, const Tenant *tenant)
{
    restrictTo(route.homeRegions);
    if (tenant != nullptr) {
        restrictTo(tenant->homeRegions);
    }
}

void AllowedRegions::restrictTo(const std::vector<std::string> &homeRegions)
{
    if (homeRegions.empty()) {
        return;
    }
    if (!m_isBound) {
        m_homes = homeRegions;
    } else {
        std::erase_if(m_homes, [&](const std::string &it) {
            return std::find(homeRegions.begin(), homeRegions.end(), it) == homeRegions.end();
        });
    }
    m_isBound = true;
}

bool AllowedRegions::contains(std::string_view region) const
{
    return !m_isBound || std::find(m_homes.begin(), m_homes.end(), region) != m_homes.end();
}

bool AllowedRegions::isBound() const
{
    return m_isBound;
}

bool AllowedRegions::isEmpty() const
{
    return m_isBound && m_homes.empty();
}

const std::vector<std::string> &AllowedRegions::homes() const
{
    return m_homes;
}

} // namespace pepperlug::fleet
