//===- EndlessCheck.h - What endless answers do to entry hosts --*- C++ -*-===//
#pragma once

#include "Cluster.h"
#include "Ledger.h"

namespace pepperlug::soak
{

/// Reads the memory of hosts all the time, and remembers how much more each had while a target sent without end.
class MemoryWatch
{
public:
    explicit MemoryWatch(std::vector<Process *> hosts);
    ~MemoryWatch();
    MemoryWatch(const MemoryWatch &) = delete;
    MemoryWatch &operator=(const MemoryWatch &) = delete;

    /// What a host has more from now on until end() counts; for one that doesn't run now, more than it has first.
    void begin();
    void end();
    /// The most that a host had more, in bytes, and its name.
    std::pair<std::size_t, std::string> most() const;

private:
    /// Memory of a host in the time that counts.
    struct Growth {
        std::optional<std::size_t> before;
        std::size_t most = 0; ///< more than before, of all times that counted
    };

    void run();

    std::vector<Process *> m_hosts;
    mutable std::mutex m_mutex; ///< guards what follows
    std::vector<Growth> m_growths; ///< by host
    bool m_isCounting = false;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

/// What is broken by the requests that targets answered without end; empty: nothing. A host that was started again
/// knows nothing of those before.
std::vector<std::string> brokenEndless(const std::vector<EndlessRequest> &requests, Cluster &cluster);

} // namespace pepperlug::soak
