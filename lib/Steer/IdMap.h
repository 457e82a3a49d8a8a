//===- IdMap.h - From the ids of one bundle to those of the next -*- C++ -*-===//
//
// Ids are positions in a bundle. When another bundle comes into force, all that
// is known by id is moved to the positions that the same names have there.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Bundle.h"

namespace pepperlug
{

template <typename Id>
class IdTable
{
public:
    template <typename Item>
    IdTable(const std::vector<Item> &from, const std::vector<Item> &to)
        : m_newSize(to.size())
    {
        std::map<std::string, std::size_t> positions;
        for (std::size_t n = 0; n < to.size(); ++n) {
            positions.emplace(to[n].name, n);
        }
        for (const Item &item : from) {
            const auto it = positions.find(item.name);
            m_table.push_back(it == positions.end() ? std::nullopt : std::optional<Id>(makeId<Id>(it->second)));
        }
    }

    std::optional<Id> operator()(Id id) const
    {
        return idx(id) < m_table.size() ? m_table[idx(id)] : std::nullopt;
    }

    /// Moves the items of a vector that is indexed by this id; new positions get a fresh item.
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

    /// Moves the items of a map that is keyed by this id; those without a new position are dropped.
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
