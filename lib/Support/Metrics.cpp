//===- Metrics.cpp - Counters and summaries by Boost.Accumulators ---------===//
#include "pepperlug/Support.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <sstream>

namespace pepperlug
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array<double, 4> Quantiles{0.5, 0.9, 0.99, 0.999};

using Summary =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square>>;

// Prometheus wants one TYPE line for a family, and labels are part of our names.
std::string familyOf(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

std::string withLabel(const std::string &name, const std::string &label)
{
    const std::size_t brace = name.find('{');
    if (brace == std::string::npos) {
        return name + "{" + label + "}";
    }
    return name.substr(0, brace + 1) + label + "," + name.substr(brace + 1);
}

std::string withSuffix(const std::string &name, const std::string &suffix)
{
    const std::size_t brace = std::min(name.find('{'), name.size());
    return name.substr(0, brace) + suffix + name.substr(brace);
}

} // namespace

struct Metrics::Impl {
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Summary> summaries;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t by)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->counters[name] += by;
}

void Metrics::gauge(const std::string &name, double value)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->gauges[name] = value;
}

void Metrics::latency(const std::string &name, Duration value)
{
    const std::lock_guard lock(m_impl->mutex);
    auto it = m_impl->summaries.find(name);
    if (it == m_impl->summaries.end()) {
        it = m_impl->summaries.emplace(name, Summary(acc::tag::extended_p_square::probabilities = Quantiles)).first;
    }
    it->second(std::chrono::duration<double>(value).count());
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::ostringstream out;
    std::string family;
    const auto type = [&](const std::string &name, const char *kind) {
        if (familyOf(name) != family) {
            family = familyOf(name);
            out << "# TYPE " << family << " " << kind << "\n";
        }
    };
    for (const auto &[name, value] : m_impl->counters) {
        type(name, "counter");
        out << name << " " << value << "\n";
    }
    for (const auto &[name, value] : m_impl->gauges) {
        type(name, "gauge");
        out << name << " " << value << "\n";
    }
    for (const auto &[name, summary] : m_impl->summaries) {
        type(name, "summary");
        for (std::size_t n = 0; n < Quantiles.size(); ++n) {
            out << withLabel(name, "quantile=\"" + std::to_string(Quantiles[n]).substr(0, 5) + "\"") << " "
                << acc::extended_p_square(summary)[static_cast<long>(n)] << "\n";
        }
        out << withSuffix(name, "_sum") << " " << acc::sum(summary) << "\n";
        out << withSuffix(name, "_count") << " " << acc::count(summary) << "\n";
        out << withSuffix(name, "_max") << " " << acc::max(summary) << "\n";
    }
    return out.str();
}

} // namespace pepperlug
