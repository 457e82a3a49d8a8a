//===- Clients.cpp - Look-ups of client blocks ----------------------------===//
#include "Measures.h"

#include <algorithm>
#include <set>

namespace pepperlug
{

namespace
{

double nanosecondsSince(std::chrono::steady_clock::time_point start, std::size_t count)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count()
        / static_cast<double>(count);
}

} // namespace

ExitCode measureClients(const MeasureContext &context)
{
    constexpr std::size_t Lookups = 2000000;
    printRow({"blocks", "family", "bytes MB", "median ns", "p99 ns", "build ms"});
    for (const std::size_t blocks : {69000UL, 345000UL, 690000UL}) {
        for (const bool isV4 : {true, false}) {
            std::mt19937_64 random(context.seed);
            ClientMap map;
            std::set<std::uint64_t> taken;
            while (taken.size() < blocks) {
                const std::uint64_t bits = random() >> (isV4 ? 40 : 16); // a /24, or a /48
                if (!taken.insert(bits).second) {
                    continue;
                }
                std::string text;
                if (isV4) {
                    text = std::to_string(bits >> 16 & 255) + "." + std::to_string(bits >> 8 & 255) + "."
                        + std::to_string(bits & 255) + ".0/24";
                } else {
                    std::array<char, 48> buf{};
                    std::snprintf(buf.data(), buf.size(), "%x:%x:%x::/48", static_cast<unsigned>(bits >> 32 & 0xffff),
                                  static_cast<unsigned>(bits >> 16 & 0xffff), static_cast<unsigned>(bits & 0xffff));
                    text = buf.data();
                }
                map.add(text, makeId<ZoneId>(bits % 24));
            }
            const std::vector<std::uint64_t> known(taken.begin(), taken.end());
            const auto buildStart = std::chrono::steady_clock::now();
            map.build();
            const double buildMs = nanosecondsSince(buildStart, 1) / 1e6;
            // Timed in groups of 64, since the clock itself costs about as much as a look-up.
            constexpr std::size_t Group = 64;
            std::vector<double> costs;
            std::uint64_t found = 0;
            std::vector<std::uint64_t> keys(Group);
            for (std::size_t n = 0; n < Lookups / Group; ++n) {
                std::generate(keys.begin(), keys.end(),
                              [&] { return known[random() % known.size()] << (isV4 ? 8 : 16); });
                const auto start = std::chrono::steady_clock::now();
                for (const std::uint64_t key : keys) {
                    const auto zone = isV4 ? map.findV4(static_cast<std::uint32_t>(key)) : map.findV6(key);
                    found += zone ? 1 : 0;
                }
                costs.push_back(nanosecondsSince(start, Group));
            }
            std::sort(costs.begin(), costs.end());
            printRow({std::to_string(blocks), isV4 ? "IPv4" : "IPv6", fixed(static_cast<double>(map.bytes()) / 1e6, 1),
                      fixed(costs[costs.size() / 2], 0), fixed(costs[costs.size() * 99 / 100], 0), fixed(buildMs, 0)});
            if (found != Lookups / Group * Group) {
                throw Error("measure", "", "a look-up did not find its block");
            }
        }
    }
    return ExitCode::Success;
}

} // namespace pepperlug
