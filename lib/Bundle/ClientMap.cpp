//===- ClientMap.cpp - Longest-prefix lookup of client blocks -------------===//
//
// Prefixes are flattened once into sorted, disjoint ranges, so that a look-up is one search for the last start that is
// not above the address. A trie was weighed: it costs one cache miss a level. The search goes over a sampled array that
// stays in the second-level cache, then over one short run.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Bundle.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstring>

namespace pepperlug
{

namespace
{

constexpr std::size_t RunLength = 32;
constexpr std::uint16_t NoZone = 0xffff;

struct ParsedIp {
    bool isV4 = false;
    std::uint32_t v4 = 0;
    std::uint64_t topHalf = 0;
    std::uint64_t lowHalf = 0;
};

std::uint64_t bigEndian64(const unsigned char *bytes)
{
    std::uint64_t value = 0;
    for (int n = 0; n < 8; ++n) {
        value = value << 8 | bytes[n];
    }
    return value;
}

std::optional<ParsedIp> parseIp(const std::string &text)
{
    ParsedIp ip;
    std::uint32_t v4 = 0;
    if (inet_pton(AF_INET, text.c_str(), &v4) == 1) {
        ip.isV4 = true;
        ip.v4 = ntohl(v4);
        return ip;
    }
    std::array<unsigned char, 16> v6{};
    if (inet_pton(AF_INET6, text.c_str(), v6.data()) != 1) {
        return std::nullopt;
    }
    ip.topHalf = bigEndian64(v6.data());
    ip.lowHalf = bigEndian64(v6.data() + 8);
    return ip;
}

template <typename Key>
Key lastOf(Key start, unsigned length)
{
    constexpr unsigned Bits = sizeof(Key) * 8;
    if (length == Bits) {
        return start;
    }
    return start | static_cast<Key>(static_cast<Key>(-1) >> length);
}

} // namespace

std::optional<std::string> ClientMap::add(const std::string &block, ZoneId zone)
{
    const std::size_t slash = block.find('/');
    if (slash == std::string::npos) {
        return "block " + block + " has no prefix length";
    }
    const std::optional<ParsedIp> ip = parseIp(block.substr(0, slash));
    unsigned length = 0;
    const char *end = block.data() + block.size();
    const auto [stop, ec] = std::from_chars(block.data() + slash + 1, end, length);
    if (!ip || ec != std::errc() || stop != end) {
        return "block " + block + " is not an IP prefix";
    }
    const auto zoneValue = static_cast<std::uint16_t>(idx(zone));
    if (ip->isV4) {
        if (length > 32 || (length < 32 && (ip->v4 & (~0U >> length)) != 0)) {
            return "block " + block + " has bits set past its length";
        }
        m_prefixes4.push_back({ip->v4, static_cast<std::uint8_t>(length), zoneValue});
        return std::nullopt;
    }
    if (length > 64) {
        return "block " + block + " is longer than /64";
    }
    if (ip->lowHalf != 0 || (length < 64 && (ip->topHalf & (~0ULL >> length)) != 0)) {
        return "block " + block + " has bits set past its length";
    }
    m_prefixes6.push_back({ip->topHalf, static_cast<std::uint8_t>(length), zoneValue});
    return std::nullopt;
}

std::vector<std::string> ClientMap::build()
{
    std::vector<std::string> duplicates;
    m_blocks = m_prefixes4.size() + m_prefixes6.size();
    m_table4.build(std::exchange(m_prefixes4, {}), duplicates);
    m_table6.build(std::exchange(m_prefixes6, {}), duplicates);
    return duplicates;
}

// A sweep over prefixes sorted by start, longer ones after shorter ones, with a stack of those that are open. Each
// change of the innermost open prefix starts a range.
template <typename Key>
void ClientMap::RangeTable<Key>::build(std::vector<Prefix<Key>> prefixes, std::vector<std::string> &duplicates)
{
    std::sort(prefixes.begin(), prefixes.end(), [](const Prefix<Key> &lhs, const Prefix<Key> &rhs) {
        return lhs.start != rhs.start ? lhs.start < rhs.start : lhs.length < rhs.length;
    });
    std::vector<Prefix<Key>> open;
    const auto mark = [this](Key start, std::uint16_t zone) {
        if (!starts.empty() && starts.back() == start) {
            zones.back() = zone;
        } else if (starts.empty() || zones.back() != zone) {
            starts.push_back(start);
            zones.push_back(zone);
        }
    };
    const auto closeUntil = [&](auto isDone) {
        while (!open.empty() && isDone(open.back())) {
            const Key last = lastOf<Key>(open.back().start, open.back().length);
            open.pop_back();
            if (last != static_cast<Key>(-1)) {
                mark(last + 1, open.empty() ? NoZone : open.back().zone);
            }
        }
    };
    starts.reserve(prefixes.size());
    zones.reserve(prefixes.size());
    mark(0, NoZone);
    for (const Prefix<Key> &it : prefixes) {
        closeUntil([&](const Prefix<Key> &top) { return lastOf<Key>(top.start, top.length) < it.start; });
        if (!open.empty() && open.back().start == it.start && open.back().length == it.length) {
            duplicates.push_back("block with start " + std::to_string(it.start) + " and length "
                                 + std::to_string(it.length) + " is given twice");
            continue;
        }
        mark(it.start, it.zone);
        open.push_back(it);
    }
    closeUntil([](const Prefix<Key> &) { return true; });
    starts.shrink_to_fit();
    zones.shrink_to_fit();
    for (std::size_t n = 0; n < starts.size(); n += RunLength) {
        sampled.push_back(starts[n]);
    }
}

template <typename Key>
std::optional<ZoneId> ClientMap::RangeTable<Key>::find(Key key) const
{
    if (sampled.empty()) {
        return std::nullopt;
    }
    // Branch-free halving: the compiler turns the choice into a conditional move.
    const Key *base = sampled.data();
    for (std::size_t n = sampled.size(); n > 1;) {
        const std::size_t half = n / 2;
        base = base[half] <= key ? base + half : base;
        n -= half;
    }
    const std::size_t first = static_cast<std::size_t>(base - sampled.data()) * RunLength;
    const std::size_t count = std::min(RunLength, starts.size() - first);
    const auto begin = starts.begin() + static_cast<std::ptrdiff_t>(first);
    const auto it = std::upper_bound(begin, begin + static_cast<std::ptrdiff_t>(count), key);
    const std::uint16_t zone = zones[static_cast<std::size_t>(it - starts.begin()) - 1];
    if (zone == NoZone) {
        return std::nullopt;
    }
    return makeId<ZoneId>(zone);
}

template <typename Key>
std::size_t ClientMap::RangeTable<Key>::bytes() const
{
    return (sampled.capacity() + starts.capacity()) * sizeof(Key) + zones.capacity() * sizeof(std::uint16_t);
}

std::optional<ZoneId> ClientMap::find(const std::string &ip) const
{
    const std::optional<ParsedIp> parsed = parseIp(ip);
    if (!parsed) {
        return std::nullopt;
    }
    return parsed->isV4 ? findV4(parsed->v4) : findV6(parsed->topHalf);
}

std::optional<ZoneId> ClientMap::findV4(std::uint32_t address) const
{
    return m_table4.find(address);
}

std::optional<ZoneId> ClientMap::findV6(std::uint64_t topHalf) const
{
    return m_table6.find(topHalf);
}

std::size_t ClientMap::blocks() const
{
    return m_blocks;
}

std::size_t ClientMap::bytes() const
{
    return m_table4.bytes() + m_table6.bytes();
}

} // namespace pepperlug
