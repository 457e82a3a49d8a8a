//===- SurplusTarget.h - A target that repeats its refusals -----*- C++ -*-===//
#pragma once

#include "RawTarget.h"
#include "test/soak/EndlessForm.h"

#include <mutex>
#include <set>

namespace pepperlug::test
{

/// Turns the first attempt of each request away, and sends a second copy of that answer in the place of the next one on
/// the same connection. Runs all later attempts.
class SurplusTarget
{
public:
    Address address() const
    {
        return m_target.address();
    }

    /// Whether a request with that id was run.
    bool hasRun(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_run.contains(id);
    }

    std::size_t runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_run.size();
    }

private:
    void serve(RawTarget::Socket &socket)
    {
        std::string surplus;
        for (;;) {
            const std::string head = RawServer::readRequest(socket);
            if (head.empty()) {
                return;
            }
            RawServer::send(socket, std::exchange(surplus, {}));
            const std::string id = soak::valueInHead(head, "X-Request-Id");
            const std::string fields = "X-Request-Id: " + id + "\r\nX-Upstream-Load: 0,0,3\r\n";
            if (isFirst(id)) {
                surplus =
                    "HTTP/1.1 503 Service Unavailable\r\n" + fields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                RawServer::send(socket, surplus);
            } else {
                RawServer::send(socket,
                                "HTTP/1.1 200 OK\r\n" + fields + "X-Upstream-Seal: s\r\nContent-Length: 4\r\n\r\nheld");
            }
        }
    }

    bool isFirst(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        const bool isNew = m_seen.insert(id).second;
        if (!isNew) {
            m_run.insert(id);
        }
        return isNew;
    }

    std::mutex m_mutex;
    std::set<std::string> m_seen;
    std::set<std::string> m_run;
    RawTarget m_target{[this](RawTarget::Socket &socket) {
        serve(socket);
    }};
};

} // namespace pepperlug::test
