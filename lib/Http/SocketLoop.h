//===- SocketLoop.h - Waits for the sockets of a libcurl multi handle -*- C++ -*-===//
//
// Asked to "perform", libcurl looks at every transfer in progress, with a system
// call for each. So the sockets are watched here, and the library is told only of
// those on which something happened.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <curl/curl.h>

#include <functional>

namespace pepperlug
{

class SocketLoop
{
public:
    /// Takes the socket and timer callbacks of the handle. Throws Error with step "start client".
    explicit SocketLoop(CURLM *multi);
    ~SocketLoop();
    SocketLoop(const SocketLoop &) = delete;
    SocketLoop &operator=(const SocketLoop &) = delete;

    /// Waits until something happened, a timer of the library is due, `maxWait` has passed or wake() was called, and
    /// tells the library.
    void runOnce(std::optional<Milliseconds> maxWait = std::nullopt);
    /// Watches a descriptor that is not the library's; the handler is called by runOnce() when it is readable.
    /// Throws Error with step "start client".
    void watchReadable(int descriptor, std::function<void()> handler);
    /// From any thread.
    void wake();

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *known);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
    void watch(curl_socket_t socket, int what, bool isKnown);
    int waitTime(std::optional<Milliseconds> maxWait) const;

    CURLM *m_multi;
    int m_epoll = -1;
    int m_event = -1;
    std::map<int, std::function<void()>> m_others; ///< descriptors that are not the library's
    std::optional<std::chrono::steady_clock::time_point> m_due; ///< of the library's timer
};

} // namespace pepperlug
