//===- EndlessCheck.cpp - What endless answers do to entry hosts ----------===//
#include "EndlessCheck.h"

#include <algorithm>
#include <tuple>

namespace pepperlug::soak
{

namespace
{

using namespace std::chrono_literals;

/// From one entry host to a target that sends without end.
constexpr std::size_t MostRequests = 20;
constexpr auto RequestsTime = 10s;

std::size_t mostWithin(const std::vector<TimePoint> &times, Duration length)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t n = 0; n < times.size(); ++n) {
        while (times[n] - times[first] >= length) {
            ++first;
        }
        most = std::max(most, n - first + 1);
    }
    return most;
}

} // namespace

MemoryWatch::MemoryWatch(std::vector<Process *> hosts)
    : m_hosts(std::move(hosts))
    , m_growths(m_hosts.size())
    , m_thread([this] { run(); })
{
}

MemoryWatch::~MemoryWatch()
{
    m_stop = true;
    m_thread.join();
}

void MemoryWatch::begin()
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        m_growths[n].before = m_hosts[n]->residentBytes();
    }
    m_isCounting = true;
}

void MemoryWatch::end()
{
    const std::lock_guard lock(m_mutex);
    m_isCounting = false;
}

std::pair<std::size_t, std::string> MemoryWatch::most() const
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::ranges::max_element(m_growths, {}, &Growth::most);
    return {it->most, m_hosts[static_cast<std::size_t>(it - m_growths.begin())]->name()};
}

void MemoryWatch::run()
{
    constexpr auto Interval = 10ms;
    while (!m_stop) {
        {
            const std::lock_guard lock(m_mutex);
            for (std::size_t n = 0; m_isCounting && n < m_hosts.size(); ++n) {
                const std::optional<std::size_t> now = m_hosts[n]->residentBytes();
                Growth &growth = m_growths[n];
                growth.before = growth.before ? growth.before : now;
                if (now && *now > *growth.before) {
                    growth.most = std::max(growth.most, *now - *growth.before);
                }
            }
        }
        std::this_thread::sleep_for(Interval);
    }
}

std::vector<std::string> brokenEndless(const std::vector<EndlessRequest> &requests, Cluster &cluster)
{
    const std::vector<Process *> hosts = cluster.entryHosts();
    const std::vector<Address> addresses = cluster.entryAddresses();
    std::map<std::tuple<std::string, std::string, std::ptrdiff_t>, std::vector<TimePoint>> times;
    for (const EndlessRequest &it : requests) {
        const auto host = std::ranges::find(addresses, it.entryHost, &Address::text);
        std::ptrdiff_t start = 0;
        if (host != addresses.end()) {
            const auto &starts = hosts[static_cast<std::size_t>(host - addresses.begin())]->starts();
            start = std::ranges::upper_bound(starts, it.at) - starts.begin();
        }
        times[{it.target, it.entryHost, start}].push_back(it.at);
    }
    std::vector<std::string> broken;
    for (auto &[key, series] : times) {
        std::ranges::sort(series);
        const std::size_t most = mostWithin(series, RequestsTime);
        if (most > MostRequests) {
            broken.push_back(std::get<0>(key) + " sends without end and gets " + std::to_string(most)
                             + " requests in 10 s from " + std::get<1>(key));
        }
    }
    return broken;
}

} // namespace pepperlug::soak
