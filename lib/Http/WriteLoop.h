//===- WriteLoop.h - Waits for sockets to take more bytes -------*- C++ -*-===//
//
// Pistache's own queue of writes can fail an assertion when a queue that was
// emptied for another reason is found empty by an event that was already under
// way, and it names sockets by numbers that the kernel may give away meanwhile.
// So what a socket did not take at once is written from here.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <functional>
#include <thread>
#include <unordered_map>

namespace pepperlug
{

/// Names a wait; 0 is none.
enum class WatchId : std::uint64_t {};

class WriteLoop
{
public:
    WriteLoop() = default;
    ~WriteLoop();
    WriteLoop(const WriteLoop &) = delete;
    WriteLoop &operator=(const WriteLoop &) = delete;

    /// Calls the handler once, on the loop's thread, when the socket takes bytes or has ended. The socket may be closed
    /// meanwhile: a copy of it is watched. Throws Error with step "watch socket".
    WatchId watch(int socket, std::function<void()> handler);
    /// Ends a wait; its handler may be running already.
    void forget(WatchId id);

private:
    struct Watch {
        int socket = -1; ///< a copy
        std::function<void()> handler;
    };

    void startLocked();
    void run();
    std::function<void()> takeLocked(WatchId id);

    std::mutex m_mutex;
    std::unordered_map<WatchId, Watch> m_watches;
    std::uint64_t m_lastId = 0;
    int m_epoll = -1;
    int m_stopEvent = -1;
    std::thread m_thread; ///< started with the first wait: many servers never need one
};

} // namespace pepperlug
