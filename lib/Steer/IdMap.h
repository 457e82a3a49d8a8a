//===- IdMap.h - Maps the ids of one bundle to those of the next -*- C++ -*-===//
//
// An id is an index into a list of the bundle. When another bundle comes into
// force, state that is keyed by id is moved to the ids that the same names have
// in the new bundle.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Bundle.h"

namespace pepperlug
{

/// Map from the ids of one list of a bundle to those of the next bundle, by name.
template <typename Id>
class IdTable
{
public:
    template <typename Item>
    IdTable(const std::vector<Item> &from, const std::vector<Item> &to)
        : m_newSize(to.size())
    {
        std::map<std::string, std::size_t> indices;
        for (std::size_t n = 0; n < to.size(); ++n) {
            indices.emplace(to[n].name, n);
        }
        for (const Item &item : from) {
            const auto it = indices.find(item.name);
            m_table.push_back(it == indices.end() ? std::nullopt : std::optional<Id>(makeId<Id>(it->second)));
        }
    }

    /// Returns the new id, or nothing if the new bundle doesn't have the name.
    std::optional<Id> operator()(Id id) const
    {
        return idx(id) < m_table.size() ? m_table[idx(id)] : std::nullopt;
    }

    /// Moves the items of a vector indexed by id; new ids get a default-constructed item, items without a new id are
    /// dropped.
    template <typename Item>
    void apply(std::vector<Item> &items) const
    {
        std::vector<Item> moved(m_newSize);
        for (std::size_t n = 0; n < items.size() && n < m_table.size(); ++n) {
            if (m_table[n]) {
                moved[idx(*m_table[n])] = std::move(items[n]);
            }
        }
        items = std::move(moved);
    }

    /// Moves the items of a map keyed by id; items without a new id are dropped.
    template <typename Item>
    void apply(std::map<Id, Item> &items) const
    {
        std::map<Id, Item> moved;
        for (auto &[id, item] : items) {
            if (const std::optional<Id> to = (*this)(id)) {
                moved.emplace(*to, std::move(item));
            }
        }
        items = std::move(moved);
    }

private:
    std::vector<std::optional<Id>> m_table;
    std::size_t m_newSize;
};

/// Maps for all lists of a bundle.
struct IdMap {
    IdTable<RegionId> regions;
    IdTable<ZoneId> zones;
    IdTable<HostId> hosts;
    IdTable<ServiceId> services;
    IdTable<TargetId> targets;

    IdMap(const Bundle &from, const Bundle &to)
        : regions(from.regions, to.regions)
        , zones(from.zones, to.zones)
        , hosts(from.hosts, to.hosts)
        , services(from.services, to.services)
        , targets(from.targets, to.targets)
    {
    }
};

} // namespace pepperlug
