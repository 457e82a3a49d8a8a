//===- Callers.h - Callers of a service, as a load ---------------*- C++ -*-===//
//
// Callers in every availability zone of a bundle: each asks an entry host which
// one to use, keeps the answer for its time, sends reads and once-only
// operations there, and checks that what comes back is the whole answer to its
// own request.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Tool.h"

#include <random>

namespace pepperlug
{

struct LoadSettings {
    std::string service;
    double ratePerZone = 0; ///< requests a second that start in each zone, whatever comes back
    double onceShare = 0; ///< of requests that are once-only operations
    std::string readPath; ///< prefix of reads
    std::string oncePath; ///< prefix of once-only operations
    Duration duration{};
    Milliseconds deadline{};
    unsigned callersPerZone = 8;
    std::uint64_t seed = 1;
};

/// What callers of one region saw.
struct RegionResult {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< told for certain that it was not run
    std::uint64_t lost = 0; ///< neither an answer nor certainty
    std::uint64_t mixedUp = 0; ///< an answer to another request
    std::uint64_t resent = 0;
    std::vector<Duration> latencies; ///< of answered requests

    Duration quantile(double share) const;
};

/// Runs a load and gathers what the callers saw, by RegionId.
class Callers
{
public:
    Callers(BundlePtr bundle, LoadSettings settings, const Clock &clock);
    ~Callers();

    /// Returns when every request has ended.
    std::vector<RegionResult> run();
    /// Keys of once-only operations that were told, as the last word, not to have run.
    const std::vector<std::string> &notRunKeys() const;

private:
    struct Caller {
        ZoneId zone{};
        std::string ip;
        std::vector<Address> hosts; ///< of the last look-up, in order
        std::string home;
        TimePoint validUntil{};
        bool isLookingUp = false;
        std::vector<std::function<void()>> waiting; ///< for the look-up
    };

    struct Operation {
        std::size_t caller = 0;
        bool isOnce = false;
        std::string echo;
        std::string key;
        std::size_t nextHost = 0;
        unsigned attempts = 0;
        TimePoint startedAt{};
        TimePoint deadline{};
    };
    using OperationPtr = std::shared_ptr<Operation>;

    void start(std::size_t caller);
    void withLookup(std::size_t caller, std::function<void()> next);
    void lookUp(std::size_t caller, std::size_t attempt);
    void send(const OperationPtr &operation);
    void replied(const OperationPtr &operation, const HttpResult &result);
    void retry(const OperationPtr &operation, Duration delay);
    void end(const OperationPtr &operation, std::uint64_t RegionResult::*count);
    void after(Duration delay, std::function<void()> work);
    RegionResult &resultOf(const Operation &operation);

    BundlePtr m_bundle;
    LoadSettings m_settings;
    const Clock &m_clock;
    ServiceId m_service{};
    std::mt19937_64 m_random;
    std::vector<Caller> m_callers;
    std::vector<RegionResult> m_results;
    std::uint64_t m_lastEcho = 0;
    std::size_t m_open = 0;
    std::vector<std::string> m_notRunKeys;

    std::recursive_mutex m_mutex; ///< guards all above
    std::condition_variable_any m_wake;
    std::multimap<TimePoint, std::function<void()>> m_timers;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace pepperlug
